/*
 * The connections and requests of an HTTP server. Private to http_server.c
 * and http_conn.c.
 */
#ifndef TRANSPORT_HTTP_CONN_H
#define TRANSPORT_HTTP_CONN_H

#include <microhttpd.h>

#include "transport/http_server.h"
#include "util/buf.h"
#include "util/table.h"

/* One connection from a client. */
struct http_conn {
	struct http_conn *next;
	struct http_conn **prev;
	struct MHD_Connection *mhd;
	uint64_t request; /* being read or answered; zero: none */
	int fd;
	bool closed; /* the client sends nothing more */
	double since; /* loop time at which we began to wait for the client */
};

enum http_stage {
	HTTP_READING = 0,
	HTTP_HANDED_OVER, /* suspended, or inside the callback */
	HTTP_REPLYING, /* the answer is being written */
	HTTP_ABANDONED /* the client has gone, or the server is freed */
};

/* One request, from its headers to the last byte of its answer. */
struct http_pending {
	struct http_conn *conn;
	uint64_t id;
	enum http_stage stage;
	bool was_open; /* counted in n_open */
	bool too_large;
	struct buf body;
	size_t dropped; /* bytes of a body over the limit */
};

struct http_server {
	struct http_server_options opt;
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	uint16_t port;
	bool quiesced;
	bool draining; /* answers end their connections */
	bool freeing;
	uint64_t handing_over; /* the request inside the callback */
	size_t n_open;
	struct table requests;
	struct http_conn *conns;
	int closed_fd; /* epoll set that tells which clients have gone */
	ev_io io;
	ev_io closed_io;
	ev_timer timer;
	ev_timer sweep;
	ev_prepare kick;
};

/* Has MHD run before the loop waits again. */
void http_server_kick(struct http_server *s);

/* MHD's callbacks; `arg` is the server. */
enum MHD_Result http_conn_handle(void *arg, struct MHD_Connection *mhd,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **req);
void http_conn_notify(void *arg, struct MHD_Connection *mhd, void **ctx,
		      enum MHD_ConnectionNotificationCode code);
void http_conn_completed(void *arg, struct MHD_Connection *mhd, void **req,
			 enum MHD_RequestTerminationCode code);

/* Clients have gone: reads closed_fd. */
void http_conns_closed(struct http_server *s);

/* Closes connections whose client has kept us waiting too long. */
void http_conns_sweep(struct http_server *s);

/* Resumes what is suspended, to be closed without an answer. */
void http_conns_resume(struct http_server *s);

#endif
