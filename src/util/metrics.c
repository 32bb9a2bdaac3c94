#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"
#include "util/metrics.h"

struct metric {
	struct metric *next;
	enum metric_kind kind;
	const char *name;
	const char *help;
	char *labels;
	uint64_t val;
};

static struct metric *find_metric(const struct metrics *m, const char *name,
				  const char *labels)
{
	struct metric *p;

	for (p = m->first; p; p = p->next)
		if (!strcmp(p->name, name) && !strcmp(p->labels, labels))
			return p;
	return NULL;
}

/*
 * Inserts the metric after the last one of its name, because the metrics of one
 * name must be adjacent in the output.
 */
static void insert_metric(struct metrics *m, struct metric *p)
{
	struct metric **at = &m->first;
	struct metric *q;

	while (*at)
		at = &(*at)->next;
	for (q = m->first; q; q = q->next)
		if (!strcmp(q->name, p->name))
			at = &q->next;
	p->next = *at;
	*at = p;
}

uint64_t *metrics_get(struct metrics *m, enum metric_kind kind,
		      const char *name, const char *help, const char *labels)
{
	struct metric *p = find_metric(m, name, labels ? labels : "");

	if (p)
		return &p->val;
	p = xcalloc(1, sizeof(*p));
	p->kind = kind;
	p->name = name;
	p->help = help;
	p->labels = xstrdup(labels ? labels : "");
	insert_metric(m, p);
	return &p->val;
}

static void put_family_header(struct buf *out, const struct metric *p)
{
	buf_printf(out, "# HELP %s %s\n", p->name, p->help);
	buf_printf(out, "# TYPE %s %s\n", p->name,
		   p->kind == METRIC_GAUGE ? "gauge" : "counter");
}

void metrics_render(const struct metrics *m, struct buf *out)
{
	const struct metric *p;
	const char *family = "";

	for (p = m->first; p; p = p->next) {
		if (strcmp(family, p->name))
			put_family_header(out, p);
		family = p->name;
		buf_puts(out, p->name);
		if (*p->labels)
			buf_printf(out, "{%s}", p->labels);
		buf_printf(out, " %" PRIu64 "\n", p->val);
	}
}

void metrics_free(struct metrics *m)
{
	struct metric *p, *next;

	for (p = m->first; p; p = next) {
		next = p->next;
		free(p->labels);
		free(p);
	}
	m->first = NULL;
}
