/*
 * An HTTP client that runs curl's multi_socket interface in the libev loop. It
 * reuses connections and limits their number per host.
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
	const char *const *headers; /* lines, ended by NULL; or NULL */
	struct syc_bytes body; /* copied */
	uint32_t timeout_ms;
	size_t body_max; /* bytes; a longer answer is HTTP_INCOMPLETE */
	bool new_connection; /* an idle one is not used */
};

/* How a request ended. */
enum http_end {
	HTTP_ANSWERED = 1, /* the answer is complete */
	HTTP_NOT_SENT, /* no byte of the request was sent */
	HTTP_INCOMPLETE, /* sending had started; no complete answer */
	HTTP_TIMEOUT, /* sending had started; the timeout expired */
	HTTP_CANCELLED /* sending had started; the caller cancelled it */
};

struct http_answer {
	enum http_end end;
	unsigned status;
	struct syc_bytes body;
	bool refused; /* HTTP_NOT_SENT, as nothing listens at the address */
	const char *not_run; /* header Sycamoreshore-Not-Run, or NULL */
	const char *index; /* header X-Consul-Index, or NULL */
	const char *message; /* the error; never NULL */
};

struct http_client_options {
	struct ev_loop *loop;
	long conns_per_host; /* most open connections to one host */
	long connect_ms; /* timeout for a new connection */
};

struct http_client *http_client_new(const struct http_client_options *opt);
void http_client_free(struct http_client *c);

/*
 * Sends one request and returns its handle. The loop calls `done` exactly once,
 * after this function returned, unless the client is freed first.
 */
uint64_t http_client_send(struct http_client *c, const struct http_call *call,
			  void (*done)(void *arg, const struct http_answer *a),
			  void *arg);

/*
 * Cancels a request. `done` is called later with HTTP_NOT_SENT or
 * HTTP_CANCELLED.
 */
void http_client_cancel(struct http_client *c, uint64_t call);

#endif
