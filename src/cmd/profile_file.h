/*
 * Reads a profile of a load: an INI file with single sections, such as
 * [load], and named sections, such as [kind NAME], of which there may be
 * several.
 */
#ifndef CMD_PROFILE_FILE_H
#define CMD_PROFILE_FILE_H

#include "util/field.h"

struct profile_section {
	const char *name; /* NULL ends the table */
	const struct field *fields; /* of `base`, or of one named section */
	/* Of named sections; their struct begins with char[SYC_NAME_MAX]. */
	size_t size; /* of their struct; zero: a single section */
	size_t max; /* number of named sections */
	size_t at; /* offset of their array in `base` */
	size_t n_at; /* offset of their number, a size_t */
	/* Checks the values against each other; NULL: no check. */
	bool (*check)(void *item, const struct ini_pos *pos);
};

struct profile_form {
	const struct profile_section *sections;
	void *base; /* cleared before reading */
	size_t size;
	bool (*check)(const void *base, const struct ini_pos *pos);
};

/* Prints an error and returns false when the file is wrong. */
bool profile_file_read(const struct profile_form *form, const char *path);

#endif
