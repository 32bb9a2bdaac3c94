/*
 * An HTTP server on libmicrohttpd (MHD), which runs in the libev loop through
 * its epoll descriptor. Each request is passed to the callback once, when its
 * body is complete, and its connection is suspended until the request is
 * answered. The sizes of bodies and headers and the waiting times are limited.
 */
#ifndef TRANSPORT_HTTP_SERVER_H
#define TRANSPORT_HTTP_SERVER_H

#include <ev.h>

#include "sycamoreshore/types.h"
#include "transport/transport_error.h"

struct http_server;

/* A request. Its pointers are valid only during the callback. */
struct http_request {
	const char *method;
	const char *path; /* without the query */
	const char *authorization; /* the header, or NULL */
	const char *idempotency_key; /* the header, or NULL */
	const char *content_type; /* the header, or NULL */
	struct syc_bytes body;
	const void *conn; /* used by http_header and http_query */
};

struct http_reply {
	unsigned status;
	const char *content_type;
	uint32_t retry_after_s; /* zero: no header */
	struct syc_bytes body; /* copied */
};

struct http_server_options {
	struct ev_loop *loop;
	struct syc_addr listen;
	size_t body_max; /* bytes; a larger body gets 413 */
	unsigned conns_max;
	unsigned idle_s; /* an idle connection is closed after this time */
	void *ctx;
	/*
	 * Called for each complete request. http_server_reply answers it,
	 * during the callback or later.
	 */
	void (*request)(void *ctx, uint64_t id, const struct http_request *req);
	/*
	 * Called when the client has disconnected before its answer. `id` is
	 * no longer valid.
	 */
	void (*client_gone)(void *ctx, uint64_t id);
};

enum transport_status http_server_new(struct http_server **s,
				      const struct http_server_options *opt);

/* Stops accepting connections. Open requests can still be answered. */
void http_server_quiesce(struct http_server *s);

/*
 * Returns the number of requests passed to the callback whose answer is not yet
 * written.
 */
size_t http_server_open_count(const struct http_server *s);
/* Returns the number of requests whose head was read, but whose body was not. */
size_t http_server_reading_count(const struct http_server *s);
void http_server_free(struct http_server *s);
uint16_t http_server_port(const struct http_server *s);

/* Answers a request. Does nothing if its client has disconnected. */
void http_server_reply(struct http_server *s, uint64_t id,
		       const struct http_reply *reply);

/*
 * While `drain` is set, each answer has the header "Connection: close", and its
 * connection is closed afterwards.
 */
void http_server_set_draining(struct http_server *s, bool drain);

/* Returns a header of the request during its callback, or NULL. */
const char *http_header(const struct http_request *req, const char *name);

/* Returns a query argument of the request during its callback, or NULL. */
const char *http_query(const struct http_request *req, const char *name);

#endif
