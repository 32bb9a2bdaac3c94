#include <stdio.h>
#include <string.h>

#include "cmd/options.h"
#include "cmd/profile_file.h"
#include "util/alloc.h"

struct reading {
	const struct profile_form *form;
	const struct profile_section *open; /* NULL: none yet */
	void *item; /* what its fields are of */
	uint64_t seen;
	char name[INI_TEXT_SECTION_MAX + 1]; /* whole, for messages */
};

static bool close_section(struct reading *rd, const struct ini_pos *pos)
{
	if (!rd->open)
		return true;
	if (!field_apply_defaults(rd->open->fields, rd->item, rd->seen, pos,
				  rd->name))
		return false;
	return !rd->open->check || rd->open->check(rd->item, pos);
}

/* What follows the section's own name; NULL when it is another's. */
static const char *name_within(const struct profile_section *s,
			       const char *name)
{
	size_t n = strlen(s->name);

	if (strncmp(name, s->name, n))
		return NULL;
	if (!s->size)
		return name[n] ? NULL : name + n;
	return name[n] == ' ' && field_name_valid(name + n + 1) ? name + n + 1
								: NULL;
}

static bool open_named(struct reading *rd, const struct profile_section *s,
		       const char *name, const struct ini_pos *pos)
{
	char *base = rd->form->base;
	size_t *n = (size_t *)(void *)(base + s->n_at);

	if (*n == s->max)
		return ini_fail(pos, "more than %zu %ss", s->max, s->name);
	rd->item = base + s->at + *n * s->size;
	(*n)++;
	copy_name(rd->item, SYC_NAME_MAX, name);
	return true;
}

static bool on_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	struct reading *rd = ctx;
	const struct profile_section *s;
	const char *own = NULL;

	if (!close_section(rd, pos))
		return false;
	for (s = rd->form->sections; s->name && !own; s++)
		own = name_within(s, name);
	if (!own)
		return ini_fail(pos, "unknown section [%s]", name);
	rd->open = --s;
	rd->seen = 0;
	rd->item = rd->form->base;
	copy_name(rd->name, sizeof(rd->name), name);
	return !s->size || open_named(rd, s, own, pos);
}

static bool on_key(void *ctx, const struct ini_pos *pos, const char *key,
		   const char *value)
{
	struct reading *rd = ctx;

	if (!rd->open)
		return ini_fail(pos, "key %s stands in no section", key);
	return field_set(rd->open->fields, rd->item, &rd->seen, pos, key,
			 value);
}

bool profile_file_read(const struct profile_form *form, const char *path)
{
	auto_buf struct buf text = {0};
	struct reading rd = {.form = form};
	struct ini_events events = {&rd, on_section, on_key};
	char err[256] = "";
	struct ini_pos pos = {path, 0, err, sizeof(err)};
	bool ok;

	memset(form->base, 0, form->size);
	if (!file_read(path, &text))
		return false;
	ok = ini_text_read((struct syc_bytes){text.data, text.len}, &pos,
			   &events) &&
	     close_section(&rd, &pos) && form->check(form->base, &pos);
	if (!ok)
		fprintf(stderr, "%s\n", err);
	return ok;
}
