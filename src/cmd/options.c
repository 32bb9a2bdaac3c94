#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "cmd/options.h"
#include "util/field.h"

poptContext options_open(const char *name, int argc, const char **argv,
			 const struct poptOption *option_table,
			 const char *args)
{
	poptContext ctx = poptGetContext(name, argc, argv, option_table, 0);

	poptSetOtherOptionHelp(ctx, args);
	return ctx;
}

bool options_read(poptContext ctx, const char *name)
{
	int rc = poptGetNextOpt(ctx);

	if (rc == -1)
		return true;
	fprintf(stderr, "%s: %s: %s\n", name,
		poptBadOption(ctx, POPT_BADOPTION_NOALIAS), poptStrerror(rc));
	return false;
}

static bool add_addr(struct addr_list *list, const char *text, size_t len)
{
	char addr_text[SYC_IP_MAX + 16];

	if (len >= sizeof(addr_text) ||
	    list->n == sizeof(list->addr) / sizeof(*list->addr))
		return false;
	memcpy(addr_text, text, len);
	addr_text[len] = '\0';
	return field_parse_addr(addr_text, &list->addr[list->n++]);
}

bool addr_list_read(struct addr_list *list, const char *text,
		    const char *option)
{
	size_t len;

	list->n = 0;
	while (text && *text) {
		len = strcspn(text, ",");
		if (!add_addr(list, text, len)) {
			fprintf(stderr,
				"--%s: '%.*s' is not ip:port, or the list "
				"holds more than 64 addresses\n",
				option, (int)len, text);
			return false;
		}
		text += len + (text[len] == ',');
	}
	if (!list->n)
		fprintf(stderr,
			"--%s is required: a list of addresses, "
			"ip:port,ip:port...\n",
			option);
	return list->n > 0;
}

bool file_read(const char *path, struct buf *out)
{
	FILE *f = strcmp(path, "-") ? fopen(path, "re") : stdin;
	char chunk[4096];
	bool ok;
	size_t n;

	if (!f) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return false;
	}
	while ((n = fread(chunk, 1, sizeof(chunk), f)))
		buf_add(out, chunk, n);
	ok = !ferror(f);
	if (!ok)
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
	if (f != stdin)
		fclose(f);
	return ok;
}

bool token_read(const char *path, struct buf *out)
{
	if (!file_read(path, out))
		return false;
	if (out->data) {
		out->len = strcspn(out->data, "\r\n");
		out->data[out->len] = '\0';
	}
	if (out->len)
		return true;
	fprintf(stderr, "%s: the first line holds no token\n", path);
	return false;
}
