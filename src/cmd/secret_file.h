/* Reads secrets from files that the settings name, not from arguments. */
#ifndef CMD_SECRET_FILE_H
#define CMD_SECRET_FILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Reads `n` bytes from one line of 2 * `n` hexadecimal digits. On failure
 * returns false with a message in `err` that does not show the content.
 */
bool secret_file_read_hex(const char *path, uint8_t *out, size_t n, char *err,
			  size_t errlen);

/*
 * Reads the first line without its newline into `out` of `size` bytes. On
 * failure returns false with a message in `err`.
 */
bool secret_file_read_line(const char *path, char *out, size_t size, char *err,
			   size_t errlen);

#endif
