/*
 * An HTTP server on libmicrohttpd, run from the libev loop through its epoll
 * descriptor. A request whose body is whole is handed over once and stays
 * suspended until it is answered. Bodies, headers and times are bounded.
 */
#ifndef TRANSPORT_HTTP_SERVER_H
#define TRANSPORT_HTTP_SERVER_H

#include <ev.h>

#include "sycamoreshore/types.h"
#include "transport/transport_error.h"

struct http_server;

/* A request; views are valid during the call only. */
struct http_request {
	const char *method;
	const char *path; /* without the query */
	const char *authorization; /* the header, or NULL */
	const char *idempotency_key; /* the header, or NULL */
	const char *content_type; /* the header, or NULL */
	struct syc_bytes body;
	const void *conn; /* for http_query */
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
	unsigned idle_s; /* a silent connection is closed after this */
	void *ctx;
	/* A whole request. Answer with http_server_reply(id), now or later. */
	void (*request)(void *ctx, uint64_t id, const struct http_request *req);
	/* The client has gone before its answer; `id` is void from now on. */
	void (*gone)(void *ctx, uint64_t id);
};

enum transport_status http_server_new(struct http_server **s,
				      const struct http_server_options *opt);

/* Stops accepting; open requests may still be answered. */
void http_server_quiesce(struct http_server *s);

/* Requests handed over and not yet answered. */
size_t http_server_open_count(const struct http_server *s);
void http_server_free(struct http_server *s);
uint16_t http_server_port(const struct http_server *s);

/* Answers a request; does nothing when its client has gone. */
void http_server_reply(struct http_server *s, uint64_t id,
		       const struct http_reply *reply);

/* Whether each answer from now on asks its client to leave the connection. */
void http_server_set_draining(struct http_server *s, bool drain);

/* A header of the request being handed over, or NULL. */
const char *http_header(const struct http_request *req, const char *name);

/* A query argument of the request being handed over, or NULL. */
const char *http_query(const struct http_request *req, const char *name);

#endif
