/*
 * One request of the HTTP client: a pooled curl handle with its state and
 * buffers. Private to http_client.c and http_transfer.c.
 */
#ifndef TRANSPORT_HTTP_TRANSFER_H
#define TRANSPORT_HTTP_TRANSFER_H

#include <curl/curl.h>
#include <ev.h>

#include "transport/http_client.h"
#include "transport/http_sock.h"
#include "util/buf.h"

enum {
	TRANSFER_HEADERS_MAX = 16, /* header lines of one request */
	TRANSFER_LINE_MAX = 256 /* bytes of the URL */
};

struct http_transfer {
	struct http_client *client;
	struct http_transfer *next; /* in the list `pool` or `finished` */
	CURL *easy;
	uint64_t handle;
	bool sent; /* curl had a connection and started to send */
	bool too_long; /* the answer exceeds body_max */
	bool running; /* added to curl's multi handle */
	enum http_end end; /* zero: curl's result decides */
	CURLcode curl_code;
	size_t body_max;
	ev_timer timer;
	unsigned first_turn; /* of the loop, when the request was made */
	void (*done)(void *arg, const struct http_answer *a);
	void *arg;
	struct buf out; /* body and header lines of the request */
	struct buf in; /* body of the answer */
	struct curl_slist lines[TRANSFER_HEADERS_MAX + 2];
	char message[CURL_ERROR_SIZE];
};

/*
 * Returns a new transfer with the options that all requests share, or NULL if
 * curl returns no handle.
 */
struct http_transfer *http_transfer_new(struct http_client *c,
					struct http_socks *socks,
					long connect_ms);
void http_transfer_free(struct http_transfer *t);

/*
 * Sets the options of one request. Returns false and sets `t->message` if the
 * request is invalid.
 */
bool http_transfer_set(struct http_transfer *t, const struct http_call *call);

/* Converts curl's result to `a`, whose pointers refer to the transfer. */
void http_transfer_answer(struct http_transfer *t, struct http_answer *a);

/* Resets the transfer for its next request. */
void http_transfer_clear(struct http_transfer *t);

#endif
