/*
 * Links between instances: TCP with length-prefixed frames. Each side dials the
 * other and sends only on the connection that it dialled, so a failure of one
 * direction doesn't affect the other. In a mutual handshake (libsodium), both
 * sides prove that they know the cluster key. Fresh nonces prevent replay, and
 * the session key authenticates every frame.
 */
#ifndef TRANSPORT_PEER_LINK_H
#define TRANSPORT_PEER_LINK_H

#include <ev.h>

#include "sycamoreshore/types.h"
#include "transport/transport_error.h"

enum {
	PEER_FRAME_MAX = 8 * 1024 * 1024, /* bytes */
	PEER_KEY_LEN = 32 /* bytes of the cluster key */
};

struct peer_links;

struct peer_links_options {
	struct ev_loop *loop;
	struct syc_instance self; /* peer_addr.port 0: the bound port */
	struct syc_addr listen;
	const uint8_t *cluster_key; /* PEER_KEY_LEN bytes */
	size_t send_max; /* bytes queued on one link; more are dropped */
	uint32_t dial_backoff_max_ms; /* between attempts; zero: 5000 */
	void *ctx;
	/* Called for each connection, in or out, that completes a handshake. */
	void (*up)(void *ctx, const struct syc_instance *peer);
	/* Called when the last connection with this peer is closed. */
	void (*down)(void *ctx, uint64_t peer);
	void (*receive)(void *ctx, uint64_t from, struct syc_bytes msg);
	/* Called when a handshake or a frame has an error; for the log. */
	void (*rejected)(void *ctx, const char *addr, const char *error);
};

enum transport_status peer_links_new(struct peer_links **links,
				     const struct peer_links_options *opt);
void peer_links_free(struct peer_links *links);
uint16_t peer_links_port(const struct peer_links *links);

/*
 * Maintains a connection to `addr` from now on and dials again with exponential
 * backoff and jitter. Does nothing if `addr` is known or this instance's own.
 */
void peer_links_dial(struct peer_links *links, const struct syc_addr *addr);

/* Stops dialling `addr`. */
void peer_links_stop_dialling(struct peer_links *links,
			      const struct syc_addr *addr);

/* Queues one message. Returns false if no link is up or its queue is full. */
bool peer_links_send(struct peer_links *links, uint64_t to,
		     struct syc_bytes msg);

/* Returns the bytes sent and received on all links, with frame headers. */
void peer_links_traffic(const struct peer_links *links, uint64_t *sent,
			uint64_t *received);

/* Returns the bytes that wait on all links because peers read too slowly. */
size_t peer_links_unsent(const struct peer_links *links);

#endif
