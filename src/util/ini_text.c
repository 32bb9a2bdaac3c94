#include <ini.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "util/buf.h"
#include "util/index.h"
#include "util/ini_text.h"

struct ini_reader {
	struct syc_bytes rest; /* not read yet */
	struct ini_pos *pos;
	const struct ini_events *events;
	struct index sections;
	struct buf keys; /* names in this section, each ended by NUL */
	size_t n_keys;
	bool in_section;
	bool failed;
};

bool ini_fail(const struct ini_pos *pos, const char *fmt, ...)
{
	char text[192];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	snprintf(pos->err, pos->errlen, "%s:%d: %s", pos->file, pos->line,
		 text);
	return false;
}

static bool check_bytes(const struct ini_pos *pos, const char *line, size_t n)
{
	size_t i;

	if (n > INI_TEXT_LINE_MAX)
		return ini_fail(pos, "line longer than %d bytes",
				INI_TEXT_LINE_MAX);
	if (n >= 3 && !memcmp(line, "\xef\xbb\xbf", 3))
		return ini_fail(pos, "byte order mark not allowed");
	for (i = 0; i < n; i++)
		if (((unsigned char)line[i] < ' ' && line[i] != '\t') ||
		    line[i] == 0x7f)
			return ini_fail(pos,
					"control character 0x%02x not allowed",
					(unsigned char)line[i]);
	return true;
}

static bool open_section(struct ini_reader *rd, const char *name, size_t n)
{
	char copy[INI_TEXT_SECTION_MAX + 1];
	struct index_key key = index_hash_bytes(name, n);
	uint64_t first;

	if (n > INI_TEXT_SECTION_MAX)
		return ini_fail(rd->pos, "section name longer than %d bytes",
				INI_TEXT_SECTION_MAX);
	memcpy(copy, name, n);
	copy[n] = '\0';
	if (index_get(&rd->sections, key, &first))
		return ini_fail(rd->pos,
				"section [%s] repeated, first in line %d", copy,
				(int)first);
	if (rd->sections.used >= INI_TEXT_SECTIONS_MAX)
		return ini_fail(rd->pos, "more than %d sections",
				INI_TEXT_SECTIONS_MAX);
	index_put(&rd->sections, key, (uint64_t)rd->pos->line);
	buf_consume(&rd->keys, rd->keys.len);
	rd->n_keys = 0;
	rd->in_section = true;
	return rd->events->section(rd->events->ctx, rd->pos, copy);
}

/*
 * Checks a line. Also reads section headers, because inih does not report empty
 * sections.
 */
static bool check_line(struct ini_reader *rd, const char *line, size_t n)
{
	const char *end;

	if (!check_bytes(rd->pos, line, n))
		return false;
	while (n && (*line == ' ' || *line == '\t')) {
		line++;
		n--;
	}
	if (!n || *line != '[')
		return true;
	end = memchr(line, ']', n);
	if (!end)
		return ini_fail(rd->pos, "section header without ]");
	while (++end < line + n)
		if (*end != ' ' && *end != '\t')
			return ini_fail(rd->pos, "text after section header");
	end = memchr(line, ']', n);
	return open_section(rd, line + 1, (size_t)(end - line - 1));
}

/*
 * The reader callback of inih. Copies the next line to `str`, or returns NULL
 * at the end of the text or after an error.
 */
static char *next_line(char *str, int size, void *stream)
{
	struct ini_reader *rd = stream;
	const char *line = rd->rest.p;
	const char *nl;
	size_t n, consumed;

	if (rd->failed || !rd->rest.n)
		return NULL;
	nl = memchr(line, '\n', rd->rest.n);
	n = nl ? (size_t)(nl - line) : rd->rest.n;
	consumed = nl ? n + 1 : n;
	rd->pos->line++;
	if (!check_line(rd, line, n)) {
		rd->failed = true;
		return NULL;
	}
	if (n + 2 > (size_t)size) {
		rd->failed = !ini_fail(rd->pos, "line too long");
		return NULL;
	}
	memcpy(str, line, n);
	str[n] = '\n';
	str[n + 1] = '\0';
	rd->rest.p = line + consumed;
	rd->rest.n -= consumed;
	return str;
}

static bool record_key(struct ini_reader *rd, const char *name)
{
	size_t at;

	for (at = 0; at < rd->keys.len; at += strlen(rd->keys.data + at) + 1)
		if (!strcmp(rd->keys.data + at, name))
			return ini_fail(rd->pos, "key '%s' repeated", name);
	if (rd->n_keys >= INI_TEXT_KEYS_MAX)
		return ini_fail(rd->pos, "more than %d keys in one section",
				INI_TEXT_KEYS_MAX);
	buf_add(&rd->keys, name, strlen(name) + 1);
	rd->n_keys++;
	return true;
}

static int on_key(void *user, const char *section, const char *name,
		  const char *value)
{
	struct ini_reader *rd = user;

	if (rd->failed)
		return 0;
	if (!rd->in_section)
		rd->failed = !ini_fail(rd->pos, "key before any section");
	else if (!record_key(rd, name) ||
		 !rd->events->key(rd->events->ctx, rd->pos, name, value))
		rd->failed = true;
	return !rd->failed;
}

bool ini_text_read(struct syc_bytes text, struct ini_pos *pos,
		   const struct ini_events *events)
{
	struct ini_reader rd = {text, pos, events, {0}, {0}, 0, false, false};
	int line_before = pos->line;
	int bad_line;

	ini_allow_multiline = false;
	ini_stop_on_first_error = true;
	bad_line = ini_parse_stream(next_line, &rd, on_key, &rd);
	if (bad_line && !rd.failed) {
		pos->line = line_before + bad_line;
		rd.failed = !ini_fail(pos, "neither section nor key = value");
	}
	index_free(&rd.sections);
	buf_free(&rd.keys);
	return !rd.failed;
}
