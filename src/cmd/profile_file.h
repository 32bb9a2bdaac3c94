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
	const struct field *fields; /* fields of `base` or of one item */
	/*
	 * Each named section fills one item of an array in `base`. An item
	 * begins with the section's name, a char[SYC_NAME_MAX].
	 */
	size_t item_size; /* bytes; zero: a single section */
	size_t items_max;
	size_t items_offset; /* offset in `base` of the array */
	size_t count_offset; /* offset of the number of items, a size_t */
	/* Checks the values against each other; NULL: no check. */
	bool (*check)(void *item, const struct ini_pos *pos);
};

struct profile_form {
	const struct profile_section *sections;
	void *base; /* cleared before reading */
	size_t size;
	bool (*check)(const void *base, const struct ini_pos *pos);
};

/* Fills `form->base`. On failure prints an error and returns false. */
bool profile_file_read(const struct profile_form *form, const char *path);

#endif
