#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "cmd/settings_file.h"
#include "util/buf.h"

enum { FILE_BYTES_MAX = 256 * 1024, SECTIONS_MAX = 16 };

struct reading {
	const struct settings_form *form;
	const struct settings_section *sec;
	uint64_t seen[SECTIONS_MAX]; /* bit `i`: field `i` was read */
};

static bool on_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	struct reading *rd = ctx;

	for (rd->sec = rd->form->sections; rd->sec->name; rd->sec++)
		if (!strcmp(rd->sec->name, name))
			return true;
	return ini_fail(pos, "unknown section [%s]", name);
}

static bool on_key(void *ctx, const struct ini_pos *pos, const char *key,
		   const char *value)
{
	struct reading *rd = ctx;
	const struct settings_form *form = rd->form;

	if (!rd->sec->fields)
		return form->named(form->base, pos, rd->sec->name, key, value);
	return field_set(rd->sec->fields, form->base,
			 &rd->seen[rd->sec - form->sections], pos, key, value);
}

static bool finish_sections(const struct reading *rd, const struct ini_pos *pos)
{
	const struct settings_form *form = rd->form;
	const struct settings_section *sec;

	for (sec = form->sections; sec->name; sec++)
		if (sec->fields &&
		    !field_apply_defaults(sec->fields, form->base,
					  rd->seen[sec - form->sections], pos,
					  sec->name))
			return false;
	return form->check(form->base, pos);
}

bool settings_file_parse(const struct settings_form *form, const char *file,
			 struct syc_bytes text, char *err, size_t errlen)
{
	struct reading rd = {.form = form};
	struct ini_events events = {&rd, on_section, on_key};
	struct ini_pos pos = {file, 0, err, errlen};

	memset(form->base, 0, form->size);
	return ini_text_read(text, &pos, &events) && finish_sections(&rd, &pos);
}

static bool read_file(const char *path, struct buf *text, char *err,
		      size_t errlen)
{
	char chunk[4096];
	FILE *f = fopen(path, "re");
	size_t n;
	bool bad;

	if (!f) {
		snprintf(err, errlen, "%s: %s", path, strerror(errno));
		return false;
	}
	while ((n = fread(chunk, 1, sizeof(chunk), f)) &&
	       text->len <= FILE_BYTES_MAX)
		buf_add(text, chunk, n);
	bad = ferror(f);
	fclose(f);
	if (bad)
		snprintf(err, errlen, "%s: cannot be read", path);
	else if (text->len > FILE_BYTES_MAX)
		snprintf(err, errlen, "%s: the file is longer than %d bytes",
			 path, FILE_BYTES_MAX);
	return !bad && text->len <= FILE_BYTES_MAX;
}

bool settings_file_read(const struct settings_form *form, const char *path,
			char *err, size_t errlen)
{
	auto_buf struct buf text = {0};

	if (!read_file(path, &text, err, errlen))
		return false;
	return settings_file_parse(form, path,
				   (struct syc_bytes){text.data, text.len}, err,
				   errlen);
}
