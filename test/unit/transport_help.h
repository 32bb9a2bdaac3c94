/* What the transport tests share: a loop that cannot hang, a raw server. */
#ifndef TRANSPORT_HELP_H
#define TRANSPORT_HELP_H

#include <ev.h>

#include "sycamoreshore/types.h"
#include "util/buf.h"

/* Runs `loop` until `*n` reaches `want`. Returns false after a long time. */
bool run_until(struct ev_loop *loop, const int *n, int want);
/* Runs the loop for a while, for what must not happen. */
void run_a_while(struct ev_loop *loop);
/* 127.0.0.1 with `port`. */
struct syc_addr loopback(uint16_t port);
/* A blocking client socket, connected to a port of 127.0.0.1. */
int raw_connect(uint16_t port);
/* Begins to connect without waiting. */
int raw_connect_begin(uint16_t port);
void raw_send(int fd, const char *text);

/* A server that hands every byte to the test. */
struct raw_server {
	struct ev_loop *loop;
	uint16_t port;
	int n_accepted;
	int n_read; /* times that bytes came in */
	int n_closed;
	struct buf in; /* of all connections */
	void *ctx;
	void (*data)(struct raw_server *s, int fd);
	int fd;
	ev_io io;
	struct raw_conn *conns;
};

void raw_server_start(struct raw_server *s, struct ev_loop *loop);
void raw_server_stop(struct raw_server *s);
/* Closes one connection from inside `data`, or at any time. */
void raw_server_close(struct raw_server *s, int fd);
/* Sends `text` on all connections. */
void raw_server_send_all(struct raw_server *s, const char *text);
/* Closes all connections. */
void raw_server_close_all(struct raw_server *s);

#endif
