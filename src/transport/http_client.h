/*
 * An HTTP client on curl's multi_socket interface in the libev loop, with a
 * pool of kept-alive connections bounded per host.
 */
#ifndef TRANSPORT_HTTP_CLIENT_H
#define TRANSPORT_HTTP_CLIENT_H

#include <ev.h>

#include "sycamoreshore/types.h"
#include "transport/transport_error.h"

struct http_client;

struct http_call {
	const char *method;
	struct syc_addr addr;
	const char *path; /* with the query */
	const char *const *headers; /* whole lines, NULL-terminated; or NULL */
	struct syc_bytes body; /* copied */
	uint32_t timeout_ms;
	size_t body_max; /* a longer answer counts as broken */
};

enum http_end {
	HTTP_ANSWERED = 1, /* a whole answer */
	HTTP_NOT_SENT, /* no byte of the request left */
	HTTP_INCOMPLETE, /* broke off after the send had begun */
	HTTP_TIMEOUT, /* no whole answer in time, sent */
	HTTP_CANCELLED /* http_client_cancel */
};

struct http_answer {
	enum http_end end;
	unsigned status;
	struct syc_bytes body;
	const char *not_run; /* header Sycamoreshore-Not-Run, or NULL */
	const char *index; /* header X-Consul-Index, or NULL */
	const char *message; /* what went wrong; never NULL */
};

struct http_client_options {
	struct ev_loop *loop;
	long conns_per_host;
	long connect_ms;
};

struct http_client *http_client_new(const struct http_client_options *opt);
void http_client_free(struct http_client *c);

/*
 * Sends one request. `done` is called exactly once from the loop, never
 * before this returns, unless the client is freed first. Returns a handle.
 */
uint64_t http_client_send(struct http_client *c, const struct http_call *call,
			  void (*done)(void *arg, const struct http_answer *a),
			  void *arg);

/* Gives up on a request: `done` follows, NOT_SENT or STOPPED. */
void http_client_cancel(struct http_client *c, uint64_t call);

#endif
