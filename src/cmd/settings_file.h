/* Reads a settings file by a table of its sections. */
#ifndef CMD_SETTINGS_FILE_H
#define CMD_SETTINGS_FILE_H

#include <stdbool.h>

#include "cmd/settings_table.h"

/* What a file may hold, and where its values go. */
struct settings_form {
	const struct settings_section *sections;
	void *base; /* the struct that the fields' offsets are of */
	size_t size; /* of `base`, which is zeroed first */
	/* Takes a key of a section without fields; NULL: there is none. */
	bool (*named)(void *base, const struct ini_pos *pos,
		      const char *section, const char *key, const char *value);
	/* Checks values against each other. */
	bool (*check)(const void *base, const struct ini_pos *pos);
};

/* On failure return false and write a message with file and line. */
bool settings_file_read(const struct settings_form *form, const char *path,
			char *err, size_t errlen);
bool settings_file_parse(const struct settings_form *form, const char *file,
			 struct syc_bytes text, char *err, size_t errlen);

#endif
