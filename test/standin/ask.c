/* `standin ask`: sends one HTTP request, valid or not, for shell scripts. */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_exchange.h"
#include "standin.h"

enum { HEAD_MAX = 256 * 1024, BODY_CHUNK = 64 * 1024 };

static char **opt_headers;
static char *opt_body;
static char *opt_file;
static char *opt_raw;
static int opt_pause_ms;

static const struct poptOption options[] = {
	{"header", 'H', POPT_ARG_ARGV, &opt_headers, 0,
	 "header to add; may be repeated", "LINE"},
	{"body", 'd', POPT_ARG_STRING, &opt_body, 0, "body of the request",
	 "TEXT"},
	{"file", 'f', POPT_ARG_STRING, &opt_file, 0,
	 "file with the body of the request", "FILE"},
	{"raw", 0, POPT_ARG_STRING, &opt_raw, 0,
	 "send this text in place of a request's head", "TEXT"},
	{"pause-ms", 0, POPT_ARG_INT, &opt_pause_ms, 0,
	 "wait for so long before the last byte of the body", "MS"},
	POPT_AUTOHELP POPT_TABLEEND};

static char *read_file(const char *path, size_t *len)
{
	FILE *f = fopen(path, "re");
	char *text = NULL;
	size_t n;

	if (!f)
		return NULL;
	do {
		text = realloc(text, *len + BODY_CHUNK);
		if (!text)
			abort();
		n = fread(text + *len, 1, BODY_CHUNK, f);
		*len += n;
	} while (n);
	fclose(f);
	return text;
}

static void write_head(char *head, const char *method, const char *addr,
		       const char *path, size_t body_len)
{
	size_t head_len = (size_t)snprintf(head, HEAD_MAX,
					   "%s %s HTTP/1.1\r\nHost: %s\r\n"
					   "Connection: close\r\n"
					   "Content-Length: %zu\r\n",
					   method, path, addr, body_len);
	char **h;

	for (h = opt_headers; h && *h && head_len < HEAD_MAX; h++)
		head_len += (size_t)snprintf(head + head_len,
					     HEAD_MAX - head_len, "%s\r\n", *h);
	if (head_len < HEAD_MAX - 2)
		strcpy(head + head_len, "\r\n");
}

/* Prints the status on the first line and the body on the further ones. */
static int print_answer(const char *text)
{
	const char *body;
	unsigned status = 0;

	if (!text) {
		puts("no connection");
		return 3;
	}
	if (sscanf(text, "HTTP/1.%*d %u", &status) != 1) {
		puts("no answer");
		return 1;
	}
	body = strstr(text, "\r\n\r\n");
	printf("%u\n%s\n", status, body ? body + 4 : "");
	return 0;
}

int standin_ask(int argc, const char **argv)
{
	poptContext ctx = poptGetContext("standin ask", argc, argv, options, 0);
	const char *method, *addr, *path;
	static char head[HEAD_MAX];
	size_t len = 0;
	char *body, *answer;
	int rc;

	poptSetOtherOptionHelp(ctx, "METHOD IP:PORT PATH");
	if (poptGetNextOpt(ctx) != -1)
		return 2;
	method = poptGetArg(ctx);
	addr = poptGetArg(ctx);
	path = poptGetArg(ctx);
	if (!path)
		return 2;
	body = opt_file ? read_file(opt_file, &len) : opt_body;
	if (!opt_file)
		len = body ? strlen(body) : 0;
	write_head(head, method, addr, path, len);
	answer = http_exchange(addr, opt_raw ? opt_raw : head, body ? body : "",
			       len, (unsigned)opt_pause_ms);
	rc = print_answer(answer);
	free(answer);
	poptFreeContext(ctx);
	return rc;
}
