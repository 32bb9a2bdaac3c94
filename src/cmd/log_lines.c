#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/log_lines.h"
#include "util/alloc.h"
#include "util/cleanup.h"

enum { TIME_BYTES_MAX = 40 };

/* Returns the beginning of the value of field `name`, or NULL. */
static const char *find_value(const char *line, const char *name)
{
	size_t n = strlen(name);
	const char *p = line;

	while ((p = strstr(p, name))) {
		bool is_name_start = p == line || strchr(" {,\"", p[-1]);

		if (is_name_start && p[n] == '=')
			return p + n + 1;
		if (is_name_start && p[n] == '"' && p[n + 1] == ':')
			return p + n + 2;
		p += n;
	}
	return NULL;
}

bool log_line_field(const char *line, const char *name, char *out, size_t size)
{
	const char *p = find_value(line, name);
	const char *ends = " ,}\n";
	size_t n = 0;

	if (!p)
		return false;
	if (*p == '"') {
		p++;
		ends = "\"";
	}
	while (*p && !strchr(ends, *p) && n + 1 < size)
		out[n++] = *p++;
	out[n] = '\0';
	return true;
}

static void add_line(struct log_lines *l, const char *line)
{
	if (l->n == l->cap) {
		l->cap = l->cap ? l->cap * 2 : 1024;
		l->lines = xrealloc(l->lines, l->cap * sizeof(*l->lines));
	}
	l->lines[l->n++] = xstrdup(line);
}

bool log_lines_read(struct log_lines *l, const char *path)
{
	FILE *f = path ? fopen(path, "re") : stdin;
	auto_free char *line = NULL;
	size_t cap = 0;
	bool ok;

	if (!f)
		return false;
	while (getline(&line, &cap, f) > 0)
		add_line(l, line);
	ok = !ferror(f);
	if (path)
		fclose(f);
	return ok;
}

struct timed_line {
	char time[TIME_BYTES_MAX];
	size_t index;
	char *line;
};

static int compare_times(const void *a, const void *b)
{
	const struct timed_line *x = a, *y = b;
	int order = strcmp(x->time, y->time);

	if (order)
		return order;
	return x->index < y->index ? -1 : x->index > y->index;
}

void log_lines_sort(struct log_lines *l)
{
	auto_free struct timed_line *t = xcalloc(l->n + 1, sizeof(*t));
	size_t i;

	for (i = 0; i < l->n; i++) {
		t[i].index = i;
		t[i].line = l->lines[i];
		log_line_field(l->lines[i], "time", t[i].time, TIME_BYTES_MAX);
	}
	qsort(t, l->n, sizeof(*t), compare_times);
	for (i = 0; i < l->n; i++)
		l->lines[i] = t[i].line;
}

void log_lines_free(struct log_lines *l)
{
	size_t i;

	for (i = 0; i < l->n; i++)
		free(l->lines[i]);
	free(l->lines);
	*l = (struct log_lines){0};
}
