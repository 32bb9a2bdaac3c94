/* Prints the tables of settings as a reference page in Markdown. */
#ifndef CMD_SETTINGS_REFERENCE_H
#define CMD_SETTINGS_REFERENCE_H

#include "cmd/settings_table.h"
#include "util/buf.h"

/* Appends a chapter for each section up to the entry without a name. */
void settings_reference_sections(struct buf *out,
				 const struct settings_section *sections);

#endif
