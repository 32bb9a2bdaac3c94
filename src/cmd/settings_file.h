/* Reads a settings file whose sections and keys a table describes. */
#ifndef CMD_SETTINGS_FILE_H
#define CMD_SETTINGS_FILE_H

#include <stdbool.h>

#include "cmd/settings_table.h"

/* The sections of a file, and where its values are stored. */
struct settings_form {
	const struct settings_section *sections;
	void *base; /* the struct to which the fields' offsets refer */
	size_t size; /* size of `base`, which is cleared before reading */
	/* Stores a key of a section without fields; NULL: there is none. */
	bool (*named)(void *base, const struct ini_pos *pos,
		      const char *section, const char *key, const char *value);
	/* Checks the values against each other. */
	bool (*check)(const void *base, const struct ini_pos *pos);
};

/* On failure both return false and write a message with file and line. */
bool settings_file_read(const struct settings_form *form, const char *path,
			char *err, size_t errlen);
bool settings_file_parse(const struct settings_form *form, const char *file,
			 struct syc_bytes text, char *err, size_t errlen);

#endif
