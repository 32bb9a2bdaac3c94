/* The table of the settings of an entry instance, by section. */
#ifndef CMD_SETTINGS_TABLE_H
#define CMD_SETTINGS_TABLE_H

#include "util/field.h"

struct settings_section {
	const char *name; /* NULL ends the table */
	const struct field *fields; /* NULL: any name is a key, see `help` */
	const char *help;
};

extern const struct settings_section settings_sections[];

#endif
