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
	bool closed; /* the client has closed its side */
	double waiting_since; /* loop time; start of the wait for the client */
};

enum http_stage {
	HTTP_READING = 0,
	HTTP_AWAITING_REPLY, /* inside the callback, or suspended */
	HTTP_REPLYING, /* the answer is being written */
	HTTP_ABANDONED /* the client disconnected, or the server is freed */
};

/* One request, from its headers to the last byte of its answer. */
struct http_exchange {
	struct http_conn *conn;
	uint64_t id;
	enum http_stage stage;
	bool is_counted; /* counted in n_open */
	bool too_large;
	struct buf body;
	size_t discarded; /* bytes of a body that exceeds the limit */
};

struct http_server {
	struct http_server_options opt;
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	uint16_t port;
	bool quiesced;
	bool draining; /* connections are closed after their answers */
	bool freeing;
	uint64_t in_callback; /* request passed to the callback; zero: none */
	size_t n_reading; /* requests in the stage HTTP_READING */
	size_t n_open; /* requests passed to the callback, not ended yet */
	struct table requests;
	struct http_conn *conns;
	int closed_epoll_fd; /* reports connections that clients closed */
	ev_io mhd_io;
	ev_io closed_io;
	ev_timer mhd_timer;
	ev_timer idle_timer;
	ev_prepare run_scheduled;
};

/* Runs MHD before the loop waits again. */
void http_server_schedule_run(struct http_server *s);

/* The callbacks of MHD; `arg` is the server. */
enum MHD_Result http_conn_handle(void *arg, struct MHD_Connection *mhd,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **req);
void http_conn_notify(void *arg, struct MHD_Connection *mhd, void **ctx,
		      enum MHD_ConnectionNotificationCode code);
void http_conn_request_completed(void *arg, struct MHD_Connection *mhd,
				 void **req,
				 enum MHD_RequestTerminationCode code);

/* Handles the connections that closed_epoll_fd reports as closed by clients. */
void http_conns_handle_closed(struct http_server *s);

/* Closes connections that have waited for their client for too long. */
void http_conns_close_idle(struct http_server *s);

/*
 * Resumes all suspended connections, which are then closed without an answer.
 */
void http_conns_abandon(struct http_server *s);

#endif
