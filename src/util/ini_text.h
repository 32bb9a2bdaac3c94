/*
 * Reads INI text with inih and reports the line of every key. In addition to
 * what inih rejects, it rejects lines too long for inih, control characters,
 * repeated sections and repeated keys. Settings and bundles both use it.
 */
#ifndef UTIL_INI_TEXT_H
#define UTIL_INI_TEXT_H

#include <stdbool.h>
#include <stddef.h>

#include "sycamoreshore/types.h"

enum {
	INI_TEXT_LINE_MAX = 196, /* bytes of a line without its newline */
	INI_TEXT_SECTION_MAX = 48, /* bytes of a section's name */
	INI_TEXT_SECTIONS_MAX = 2048, /* sections of one text */
	INI_TEXT_KEYS_MAX = 64 /* keys of one section */
};

/* The current position, and the buffer for the message of the first error. */
struct ini_pos {
	const char *file; /* shown in messages */
	int line; /* the first line is 1 */
	char *err;
	size_t errlen;
};

/*
 * The callbacks for the sections and keys of a text. A callback that fails
 * calls ini_fail and returns false, which stops the reading.
 */
struct ini_events {
	void *ctx;
	bool (*section)(void *ctx, const struct ini_pos *pos, const char *name);
	bool (*key)(void *ctx, const struct ini_pos *pos, const char *key,
		    const char *value);
};

/* Writes "file:line: message" into the error buffer; returns false. */
bool ini_fail(const struct ini_pos *pos, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Reads `text`, whose first line has the number `pos->line` + 1. Stops at the
 * first error and returns false with the message in `pos->err`.
 */
bool ini_text_read(struct syc_bytes text, struct ini_pos *pos,
		   const struct ini_events *events);

#endif
