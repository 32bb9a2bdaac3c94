/* Reads the log's own lines: logfmt or JSON, one event each. */
#ifndef CMD_LOG_LINES_H
#define CMD_LOG_LINES_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Copies the text or number of a field. Returns false when the line has no
 * such field.
 */
bool log_line_field(const char *line, const char *name, char *out, size_t size);

/* All lines of some files; NULL names standard input. */
struct log_lines {
	char **lines;
	size_t n, cap;
};

/* Appends a file's lines; false when it cannot be read. */
bool log_lines_read(struct log_lines *l, const char *path);
/* Puts them in the order of their times; equal ones stay as they came. */
void log_lines_sort(struct log_lines *l);
void log_lines_free(struct log_lines *l);

#endif
