/*
 * One TCP connection of a peer link with its handshake, frames and buffers. The
 * dialling side sends messages, the accepting side receives them. Private to
 * the peer_*.c files.
 *
 * A closed connection stays in memory until peer_conns_reap, because the
 * callers of the function that closes it may still use it.
 */
#ifndef TRANSPORT_PEER_CONN_H
#define TRANSPORT_PEER_CONN_H

#include <ev.h>

#include "transport/address.h"
#include "transport/peer_link.h"
#include "transport/peer_seal.h"
#include "util/buf.h"

enum peer_stage {
	PEER_CONNECTING = 0, /* outbound: TCP connects */
	PEER_AWAIT_REPLY, /* outbound: hello is sent */
	PEER_AWAIT_HELLO, /* inbound */
	PEER_AWAIT_FINISH, /* inbound: reply is sent */
	PEER_UP, /* the handshake is complete */
	PEER_CLOSED
};

struct peer_conn;

/* The callbacks to the owner of the connections. */
struct peer_conn_ops {
	void *ctx;
	/*
	 * Returns whether an outbound connection is kept. Called when the peer
	 * is authenticated.
	 */
	bool (*is_wanted)(void *ctx, struct peer_conn *c);
	void (*up)(void *ctx, struct peer_conn *c);
	void (*receive)(void *ctx, struct peer_conn *c, struct syc_bytes msg);
	/* `c->error` is NULL for an ordinary end. `c` is freed afterwards. */
	void (*closed)(void *ctx, struct peer_conn *c);
};

/* All connections and the data that they share. */
struct peer_conns {
	struct ev_loop *loop;
	struct peer_conn_ops ops;
	struct syc_instance self;
	uint8_t cluster_key[PEER_KEY_LEN];
	size_t send_max; /* most bytes queued on one connection */
	size_t n_handshakes; /* inbound handshakes in progress */
	uint64_t sent; /* bytes */
	uint64_t received; /* bytes */
	struct peer_conn *first; /* the newest */
	ev_prepare flush; /* flushes and reaps before the loop waits */
};

struct peer_conn {
	struct peer_conns *conns;
	struct peer_conn *next;
	enum peer_stage stage;
	bool outbound;
	bool needs_flush;
	bool is_authenticated; /* the peer knows the cluster key */
	int fd;
	struct syc_addr addr; /* the other end of the socket */
	struct syc_instance peer; /* trusted only if `is_authenticated` */
	const char *error; /* error of the handshake or a frame, or NULL */
	struct peer_seal seal;
	struct buf in;
	struct buf out;
	size_t out_sent; /* bytes of `out` already sent */
	ev_io readable;
	ev_io writable;
	ev_timer handshake_timer;
};

/*
 * Initialises `flush`. The caller has set `loop`, `ops`, `self`, `cluster_key`
 * and `send_max`.
 */
void peer_conns_init(struct peer_conns *cs);
/* Closes and frees all connections without calling `closed`. */
void peer_conns_free(struct peer_conns *cs);
/* Calls `closed` for each closed connection and frees it. */
void peer_conns_reap(struct peer_conns *cs);

/* Adds a connection that owns the accepted socket `fd`. */
void peer_conn_accept(struct peer_conns *cs, int fd,
		      const struct syc_addr *addr);
/* Starts to connect to `addr`. Returns NULL if that fails at once. */
struct peer_conn *peer_conn_dial(struct peer_conns *cs,
				 const struct syc_addr *addr);
/* Queues one message. Returns false if it cannot be queued. */
bool peer_conn_send(struct peer_conn *c, struct syc_bytes msg);
/* Closes `c`. `error` is an error of the other side, or NULL. */
void peer_conn_close(struct peer_conn *c, const char *error);

#endif
