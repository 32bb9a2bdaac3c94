#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "cmd/settings_file.h"

enum { SETTINGS_BYTES_MAX = 256 * 1024 /* of a settings file */ };

bool settings_file_read(const char *path, struct buf *text, char *err,
			size_t errlen)
{
	char chunk[4096];
	FILE *f = fopen(path, "re");
	size_t n;
	bool bad;

	if (!f) {
		snprintf(err, errlen, "%s: %s", path, strerror(errno));
		return false;
	}
	while ((n = fread(chunk, 1, sizeof(chunk), f)) &&
	       text->len <= SETTINGS_BYTES_MAX)
		buf_add(text, chunk, n);
	bad = ferror(f);
	fclose(f);
	if (bad)
		snprintf(err, errlen, "%s: cannot be read", path);
	else if (text->len > SETTINGS_BYTES_MAX)
		snprintf(err, errlen, "%s: longer than %d bytes", path,
			 SETTINGS_BYTES_MAX);
	return !bad && text->len <= SETTINGS_BYTES_MAX;
}
