/* Prints tables of settings as a page. */
#ifndef CMD_SETTINGS_REFERENCE_H
#define CMD_SETTINGS_REFERENCE_H

#include "cmd/settings_table.h"
#include "util/buf.h"

/* Appends one part a section; the last of `sections` has no name. */
void settings_reference_sections(struct buf *out,
				 const struct settings_section *sections);

#endif
