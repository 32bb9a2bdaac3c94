/* The one table of settings, by section. */
#ifndef CMD_SETTINGS_TABLE_H
#define CMD_SETTINGS_TABLE_H

#include "util/field.h"

struct settings_section {
	const char *name; /* NULL ends the table */
	const struct field *fields; /* NULL: keys are names, see `help` */
	const char *help;
};

extern const struct settings_section settings_sections[];

#endif
