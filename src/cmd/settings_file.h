/* Reads a settings file whole. */
#ifndef CMD_SETTINGS_FILE_H
#define CMD_SETTINGS_FILE_H

#include <stdbool.h>

#include "util/buf.h"

/* On failure returns false and writes a message into `err`. */
bool settings_file_read(const char *path, struct buf *text, char *err,
			size_t errlen);

#endif
