#include <string.h>

#include "coordination/bundle_delta.h"
#include "util/index.h"

enum { FIELDS_OF_STEP = 3 };

struct making {
	struct syc_bytes base;
	struct index lines; /* of the base: a line's hash to its offset */
	struct bundle_step step; /* the open one */
	size_t resume; /* where the base goes on if lines were replaced */
	struct bundle_step *steps;
	size_t n, max;
};

static size_t line_len(struct syc_bytes text, size_t at)
{
	const char *p = (const char *)text.p + at;
	const char *nl = memchr(p, '\n', text.n - at);

	return nl ? (size_t)(nl - p) + 1 : text.n - at;
}

static bool base_has(const struct making *m, size_t at, const char *line,
		     size_t n)
{
	return at <= m->base.n && n <= m->base.n - at &&
	       !memcmp((const char *)m->base.p + at, line, n);
}

static void index_base(struct making *m)
{
	size_t at, n;

	for (at = 0; at < m->base.n; at += n) {
		n = line_len(m->base, at);
		index_put(&m->lines,
			  index_hash_bytes((const char *)m->base.p + at, n),
			  at);
	}
}

static bool find_line(const struct making *m, const char *line, size_t n,
		      size_t *at)
{
	uint64_t found;

	if (base_has(m, m->resume, line, n)) {
		*at = m->resume;
		return true;
	}
	if (!index_get(&m->lines, index_hash_bytes(line, n), &found) ||
	    !base_has(m, (size_t)found, line, n))
		return false;
	*at = (size_t)found;
	return true;
}

static bool close_step(struct making *m)
{
	if (!m->step.len && !m->step.added.n)
		return true;
	if (m->n == m->max)
		return false;
	m->steps[m->n++] = m->step;
	return true;
}

static void add_line(struct making *m, const char *line, size_t n)
{
	if (!m->step.added.n)
		m->step.added.p = line;
	m->step.added.n += n;
	if (m->resume < m->base.n)
		m->resume += line_len(m->base, m->resume);
}

static bool take_line(struct making *m, const char *line, size_t n)
{
	size_t at;

	if (!m->step.added.n && m->step.len &&
	    base_has(m, m->step.from + m->step.len, line, n)) {
		m->step.len += n;
		m->resume = m->step.from + m->step.len;
		return true;
	}
	if (!find_line(m, line, n, &at)) {
		add_line(m, line, n);
		return true;
	}
	if (!close_step(m))
		return false;
	m->step = (struct bundle_step){at, n, {NULL, 0}};
	m->resume = at + n;
	return true;
}

size_t bundle_delta_make(struct syc_bytes base, struct syc_bytes next,
			 struct bundle_step *steps, size_t max)
{
	struct making m = {.base = base, .steps = steps, .max = max};
	bool ok = true;
	size_t at, n;

	index_base(&m);
	for (at = 0; ok && at < next.n; at += n) {
		n = line_len(next, at);
		ok = take_line(&m, (const char *)next.p + at, n);
	}
	ok = ok && close_step(&m);
	index_free(&m.lines);
	return ok ? m.n : 0;
}

void bundle_delta_put(struct wire_out *w, const struct bundle_step *steps,
		      size_t n)
{
	size_t i;

	wire_put_array(w, n * FIELDS_OF_STEP);
	for (i = 0; i < n; i++) {
		wire_put_u64(w, steps[i].from);
		wire_put_u64(w, steps[i].len);
		wire_put_bytes(w, steps[i].added.p, steps[i].added.n);
	}
}

bool bundle_delta_take(struct wire_in *w, struct syc_bytes base,
		       struct buf *out, size_t out_max)
{
	uint32_t n = wire_enter(w, BUNDLE_DELTA_STEPS_MAX * FIELDS_OF_STEP);
	uint32_t i;
	bool ok = n % FIELDS_OF_STEP == 0;

	for (i = 0; ok && i < n / FIELDS_OF_STEP; i++) {
		uint64_t from = wire_u64(w);
		uint64_t len = wire_u64(w);
		struct syc_bytes added = wire_view(w);

		ok = from <= base.n && len <= base.n - from &&
		     len + added.n <= out_max - out->len;
		if (!ok)
			break;
		buf_add(out, (const char *)base.p + from, (size_t)len);
		buf_add(out, added.p, added.n);
	}
	wire_leave(w);
	return ok;
}
