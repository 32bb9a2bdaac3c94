/*
 * Reads a profile of a load: an INI file with sections that stand once, such
 * as [load], and sections that carry a name of their own, such as [kind NAME].
 */
#ifndef CMD_PROFILE_FILE_H
#define CMD_PROFILE_FILE_H

#include "util/field.h"

struct profile_section {
	const char *name; /* NULL ends the table */
	const struct field *fields; /* of `base`, or of one named section */
	/* Of named sections; their struct begins with char[SYC_NAME_MAX]. */
	size_t size; /* of their struct; zero: the section stands once */
	size_t max;
	size_t at; /* offset of their array in `base` */
	size_t n_at; /* offset of their number, a size_t */
	/* Checks values against each other; NULL: nothing to check. */
	bool (*check)(void *item, const struct ini_pos *pos);
};

struct profile_form {
	const struct profile_section *sections;
	void *base; /* zeroed first */
	size_t size;
	bool (*check)(const void *base, const struct ini_pos *pos);
};

/* Tells on standard error what is wrong with the file. */
bool profile_file_read(const struct profile_form *form, const char *path);

#endif
