/*
 * Links between instances: TCP with length-prefixed frames. Each side dials
 * the other and sends on its own connection only, so a one-way cut stays
 * one. A mutual handshake proves the cluster key (libsodium), binds fresh
 * nonces against replay and keys every frame's authenticator.
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
	struct syc_instance
		self; /* peer_addr.port 0: any; see peer_links_port */
	struct syc_addr listen;
	const uint8_t *cluster_key; /* PEER_KEY_LEN bytes */
	size_t send_max; /* bytes waiting on one link; more are dropped */
	uint32_t dial_backoff_max_ms; /* between tries to dial; zero: 5 s */
	void *ctx;
	/* A peer proved itself on a connection it dialled, or we did. */
	void (*up)(void *ctx, const struct syc_instance *peer);
	/* The last connection with that peer is closed. */
	void (*down)(void *ctx, uint64_t peer);
	void (*receive)(void *ctx, uint64_t from, struct syc_bytes msg);
	/* Somebody failed the handshake; for the log. */
	void (*rejected)(void *ctx, const char *addr, const char *why);
};

enum transport_status peer_links_new(struct peer_links **p,
				     const struct peer_links_options *opt);
void peer_links_free(struct peer_links *p);
uint16_t peer_links_port(const struct peer_links *p);

/*
 * Keeps a connection to `addr` from now on, dialling again with a growing,
 * jittered pause. Dialling ourselves or a known address does nothing.
 */
void peer_links_dial(struct peer_links *p, const struct syc_addr *addr);

/* Stops dialling `addr`. */
void peer_links_forget(struct peer_links *p, const struct syc_addr *addr);

/* Queues one message. Returns false when no link is up or its queue is full. */
bool peer_links_send(struct peer_links *p, uint64_t to, struct syc_bytes msg);

/* Bytes sent and received on all links so far, frame headers included. */
void peer_links_traffic(const struct peer_links *p, uint64_t *sent,
			uint64_t *received);

#endif
