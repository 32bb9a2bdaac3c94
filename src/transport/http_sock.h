/*
 * The sockets of the HTTP client in the libev loop, busy and idle. An idle
 * connection that receives bytes or is closed is not reused, because curl would
 * take the bytes for the answer to the next request.
 */
#ifndef TRANSPORT_HTTP_SOCK_H
#define TRANSPORT_HTTP_SOCK_H

#include <curl/curl.h>
#include <ev.h>

#include "transport/http_client.h"

enum {
	HTTP_IDLE_S = 3 /* an idle connection is closed after this time */
};

struct http_socks {
	struct ev_loop *loop;
	ev_timer idle_timer; /* active while a connection may be idle */
	void **by_fd; /* struct http_sock, by descriptor */
	size_t cap;
	void *ctx;
	/* Called when a busy socket is ready; `flags` are CURL_CSELECT_*. */
	void (*ready)(void *ctx, curl_socket_t fd, int flags);
};

/*
 * Initialises `socks`, of which the caller has set `loop`, `ctx` and `ready`.
 */
void http_socks_init(struct http_socks *socks);
void http_socks_free(struct http_socks *socks);

/*
 * Closes the connections that at loop time `now`, in seconds, have been idle
 * for HTTP_IDLE_S. All instances together share a limit of connections to a
 * target, so an instance keeps none that it does not use. Servers commonly
 * close an idle connection after 5 s or more. The client closes it earlier: if
 * the server closed it while a request is sent, it would be unknown whether the
 * task ran.
 */
void http_socks_close_idle(struct http_socks *socks, double now);

/* CURLMOPT_SOCKETFUNCTION; `arg` is the struct http_socks. */
int http_socks_watch(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *unused);

/* CURLOPT_CLOSESOCKETFUNCTION; `arg` is the struct http_socks. */
int http_socks_close(void *arg, curl_socket_t fd);

#endif
