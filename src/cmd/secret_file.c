#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cmd/secret_file.h"

enum { LINE_BYTES_MAX = 1024 };

bool secret_file_read_line(const char *path, char *out, size_t size, char *err,
			   size_t errlen)
{
	FILE *f = fopen(path, "re");
	bool ok;

	if (!f) {
		snprintf(err, errlen, "%s: %s", path, strerror(errno));
		return false;
	}
	ok = fgets(out, (int)size, f) != NULL;
	fclose(f);
	if (!ok) {
		snprintf(err, errlen, "%s: the file is empty or cannot be read",
			 path);
		return false;
	}
	out[strcspn(out, "\r\n")] = '\0';
	return true;
}

bool secret_file_read_hex(const char *path, uint8_t *out, size_t n, char *err,
			  size_t errlen)
{
	char line[LINE_BYTES_MAX];
	size_t len = 0;
	bool ok;

	if (!secret_file_read_line(path, line, sizeof(line), err, errlen))
		return false;
	ok = strlen(line) == 2 * n &&
	     !sodium_hex2bin(out, n, line, 2 * n, NULL, &len, NULL) && len == n;
	sodium_memzero(line, sizeof(line));
	if (!ok)
		snprintf(err, errlen,
			 "%s: the first line is not exactly %zu hexadecimal "
			 "digits",
			 path, 2 * n);
	return ok;
}
