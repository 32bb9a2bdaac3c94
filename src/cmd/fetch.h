/* Sends an HTTP request and waits for its answer, for the commands. */
#ifndef CMD_FETCH_H
#define CMD_FETCH_H

#include "transport/http_client.h"
#include "util/buf.h"

enum {
	FETCH_BODY_MAX = 64 * 1024 * 1024, /* bytes */
	FETCH_TIMEOUT_MS = 10000
};

struct fetch {
	enum http_end end;
	unsigned status;
	struct buf body;
	char message[128]; /* the error, when there is no answer */
};

/* Sends `call` and waits for its end. Free with fetch_free. */
void fetch(struct fetch *f, const struct http_call *call);

/* Gets `path` from `addr` and waits for the end. Free with fetch_free. */
void fetch_get(struct fetch *f, const struct syc_addr *addr, const char *path);

/*
 * Gets `path` from `addr`. Prints an error and returns false unless the
 * answer has status 200.
 */
bool fetch_page(struct fetch *f, const struct syc_addr *addr, const char *path);
void fetch_free(struct fetch *f);

#define auto_fetch __attribute__((cleanup(fetch_free)))

#endif
