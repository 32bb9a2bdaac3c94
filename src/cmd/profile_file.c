#include <stdio.h>
#include <string.h>

#include "cmd/options.h"
#include "cmd/profile_file.h"
#include "util/alloc.h"

struct reading {
	const struct profile_form *form;
	/* NULL before the first section */
	const struct profile_section *section;
	void *item; /* the struct that the section's keys fill */
	uint64_t seen; /* bit `i`: field `i` was read */
	char name[INI_TEXT_SECTION_MAX + 1]; /* full name, for messages */
};

static bool close_section(struct reading *rd, const struct ini_pos *pos)
{
	if (!rd->section)
		return true;
	if (!field_apply_defaults(rd->section->fields, rd->item, rd->seen, pos,
				  rd->name))
		return false;
	return !rd->section->check || rd->section->check(rd->item, pos);
}

/*
 * Returns the NAME of a section such as [kind NAME], or "" for a single
 * section. Returns NULL when `s` does not describe the section `name`.
 */
static const char *section_own_name(const struct profile_section *s,
				    const char *name)
{
	size_t n = strlen(s->name);

	if (strncmp(name, s->name, n))
		return NULL;
	if (!s->item_size)
		return name[n] ? NULL : name + n;
	return name[n] == ' ' && field_name_valid(name + n + 1) ? name + n + 1
								: NULL;
}

static bool add_named_section(struct reading *rd,
			      const struct profile_section *s, const char *name,
			      const struct ini_pos *pos)
{
	char *base = rd->form->base;
	size_t *n = (size_t *)(void *)(base + s->count_offset);

	if (*n == s->items_max)
		return ini_fail(pos, "more than %zu sections [%s NAME]",
				s->items_max, s->name);
	rd->item = base + s->items_offset + *n * s->item_size;
	(*n)++;
	copy_text(rd->item, SYC_NAME_MAX, name);
	return true;
}

static bool on_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	struct reading *rd = ctx;
	const struct profile_section *s;
	const char *own_name = NULL;

	if (!close_section(rd, pos))
		return false;
	for (s = rd->form->sections; s->name && !own_name; s++)
		own_name = section_own_name(s, name);
	if (!own_name)
		return ini_fail(pos, "unknown section [%s]", name);
	rd->section = --s;
	rd->seen = 0;
	rd->item = rd->form->base;
	copy_text(rd->name, sizeof(rd->name), name);
	return !s->item_size || add_named_section(rd, s, own_name, pos);
}

static bool on_key(void *ctx, const struct ini_pos *pos, const char *key,
		   const char *value)
{
	struct reading *rd = ctx;

	if (!rd->section)
		return ini_fail(pos, "key '%s' is outside of any section", key);
	return field_set(rd->section->fields, rd->item, &rd->seen, pos, key,
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
