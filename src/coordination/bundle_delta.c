#include <string.h>

#include "coordination/bundle_delta.h"
#include "util/index.h"

enum { STEP_FIELDS = 3 };

struct delta_builder {
	struct syc_bytes base;
	struct index line_index; /* a base line's hash to its offset */
	struct bundle_delta_step open_step;
	/*
	 * Offset of the base line that is tried first. It is the line after
	 * the last base line that was used. Each new line moves the offset on
	 * by one line, since a new line mostly replaces a base line.
	 */
	size_t next_base_offset;
	struct bundle_delta_step *steps;
	size_t n_steps, max_steps;
};

static size_t line_length(struct syc_bytes text, size_t offset)
{
	const char *p = (const char *)text.p + offset;
	const char *nl = memchr(p, '\n', text.n - offset);

	return nl ? (size_t)(nl - p) + 1 : text.n - offset;
}

/* Whether the base has the line at `offset`. */
static bool base_has_line(const struct delta_builder *b, size_t offset,
			  const char *line, size_t n)
{
	return offset <= b->base.n && n <= b->base.n - offset &&
	       !memcmp((const char *)b->base.p + offset, line, n);
}

static void index_base_lines(struct delta_builder *b)
{
	size_t offset, n;

	for (offset = 0; offset < b->base.n; offset += n) {
		n = line_length(b->base, offset);
		index_put(&b->line_index,
			  index_hash_bytes((const char *)b->base.p + offset, n),
			  offset);
	}
}

/* Finds a base line, preferably the one after the last used line. */
static bool find_base_line(const struct delta_builder *b, const char *line,
			   size_t n, size_t *offset)
{
	uint64_t found;

	if (base_has_line(b, b->next_base_offset, line, n)) {
		*offset = b->next_base_offset;
		return true;
	}
	if (!index_get(&b->line_index, index_hash_bytes(line, n), &found) ||
	    !base_has_line(b, (size_t)found, line, n))
		return false;
	*offset = (size_t)found;
	return true;
}

static bool finish_step(struct delta_builder *b)
{
	if (!b->open_step.copy_len && !b->open_step.added.n)
		return true;
	if (b->n_steps == b->max_steps)
		return false;
	b->steps[b->n_steps++] = b->open_step;
	return true;
}

static void add_new_line(struct delta_builder *b, const char *line, size_t n)
{
	if (!b->open_step.added.n)
		b->open_step.added.p = line;
	b->open_step.added.n += n;
	if (b->next_base_offset < b->base.n)
		b->next_base_offset += line_length(b->base,
						   b->next_base_offset);
}

/* Extends the open step by a line of the new text or begins the next step. */
static bool process_line(struct delta_builder *b, const char *line, size_t n)
{
	size_t offset;

	if (!b->open_step.added.n && b->open_step.copy_len &&
	    base_has_line(b, b->open_step.base_offset + b->open_step.copy_len,
			  line, n)) {
		b->open_step.copy_len += n;
		b->next_base_offset = b->open_step.base_offset +
				      b->open_step.copy_len;
		return true;
	}
	if (!find_base_line(b, line, n, &offset)) {
		add_new_line(b, line, n);
		return true;
	}
	if (!finish_step(b))
		return false;
	b->open_step = (struct bundle_delta_step){offset, n, {NULL, 0}};
	b->next_base_offset = offset + n;
	return true;
}

size_t bundle_delta_compute(struct syc_bytes base, struct syc_bytes next,
			    struct bundle_delta_step *steps, size_t max)
{
	struct delta_builder b = {
		.base = base, .steps = steps, .max_steps = max};
	bool ok = true;
	size_t offset, n;

	index_base_lines(&b);
	for (offset = 0; ok && offset < next.n; offset += n) {
		n = line_length(next, offset);
		ok = process_line(&b, (const char *)next.p + offset, n);
	}
	ok = ok && finish_step(&b);
	index_free(&b.line_index);
	return ok ? b.n_steps : 0;
}

void bundle_delta_encode(struct wire_out *w,
			 const struct bundle_delta_step *steps, size_t n)
{
	size_t i;

	wire_put_array(w, n * STEP_FIELDS);
	for (i = 0; i < n; i++) {
		wire_put_u64(w, steps[i].base_offset);
		wire_put_u64(w, steps[i].copy_len);
		wire_put_bytes(w, steps[i].added.p, steps[i].added.n);
	}
}

bool bundle_delta_apply(struct wire_in *w, struct syc_bytes base,
			struct buf *out, size_t out_max)
{
	uint32_t n = wire_enter(w, BUNDLE_DELTA_STEPS_MAX * STEP_FIELDS);
	uint32_t i;
	bool ok = n % STEP_FIELDS == 0;

	for (i = 0; ok && i < n / STEP_FIELDS; i++) {
		uint64_t offset = wire_u64(w);
		uint64_t len = wire_u64(w);
		struct syc_bytes added = wire_view(w);

		ok = offset <= base.n && len <= base.n - offset &&
		     len + added.n <= out_max - out->len;
		if (!ok)
			break;
		buf_add(out, (const char *)base.p + offset, (size_t)len);
		buf_add(out, added.p, added.n);
	}
	wire_leave(w);
	return ok;
}
