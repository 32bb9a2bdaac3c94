/* Reads log files of this program: one event a line, in logfmt or JSON. */
#ifndef CMD_LOG_LINES_H
#define CMD_LOG_LINES_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Copies the text or number of a field. Returns false when the line has no
 * such field.
 */
bool log_line_field(const char *line, const char *name, char *out, size_t size);

/* The lines of one or more files. */
struct log_lines {
	char **lines;
	size_t n, cap;
};

/*
 * Appends the lines of a file; NULL names standard input. Returns false when
 * it cannot be read.
 */
bool log_lines_read(struct log_lines *l, const char *path);
/* Sorts the lines by time; lines of equal time keep their order. */
void log_lines_sort(struct log_lines *l);
void log_lines_free(struct log_lines *l);

#endif
