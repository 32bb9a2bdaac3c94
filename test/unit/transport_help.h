/* Helpers of the transport tests: loops with a time limit, raw TCP servers. */
#ifndef TRANSPORT_HELP_H
#define TRANSPORT_HELP_H

#include <ev.h>

#include "sycamoreshore/types.h"
#include "util/buf.h"

/* Runs `loop` until `*n` reaches `expected`. Returns false after 20 s. */
bool run_until(struct ev_loop *loop, const int *n, int expected);
/* Runs `loop` for 200 ms, to check afterwards what must not happen. */
void run_a_while(struct ev_loop *loop);
/* Returns the address 127.0.0.1 with `port`. */
struct syc_addr loopback(uint16_t port);
/* Returns a blocking client socket connected to `port` of 127.0.0.1. */
int raw_connect(uint16_t port);
/* Starts to connect without waiting and returns the socket. */
int raw_connect_begin(uint16_t port);
void raw_send(int fd, const char *text);

/* A TCP server that passes all received bytes to the test. */
struct raw_server {
	struct ev_loop *loop;
	uint16_t port;
	int n_accepted;
	int n_read; /* reads that returned bytes */
	int n_closed;
	struct buf in; /* bytes received on all connections */
	void *ctx;
	void (*data)(struct raw_server *s, int fd);
	int fd;
	ev_io io;
	struct raw_conn *conns;
};

void raw_server_start(struct raw_server *s, struct ev_loop *loop);
void raw_server_stop(struct raw_server *s);
/* Closes one connection, also during the `data` callback. */
void raw_server_close(struct raw_server *s, int fd);
/* Sends `text` on all connections. */
void raw_server_send_all(struct raw_server *s, const char *text);
/* Closes all connections. */
void raw_server_close_all(struct raw_server *s);

#endif
