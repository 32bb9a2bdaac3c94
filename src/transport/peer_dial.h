/*
 * The addresses that an instance keeps dialling, each with at most one
 * outbound connection and a growing, jittered pause between tries. Private
 * to the peer_*.c files.
 */
#ifndef TRANSPORT_PEER_DIAL_H
#define TRANSPORT_PEER_DIAL_H

#include "transport/peer_conn.h"
#include "util/rng.h"

struct peer_dial {
	struct peer_dial *next;
	struct peer_dials *dials;
	struct syc_addr addr;
	bool learned; /* from an inbound peer; dropped when it stays away */
	bool self; /* reached this very instance */
	uint64_t alias; /* peer that another address reaches already */
	struct peer_conn *conn; /* NULL between tries */
	double pause_s;
	double alive_at; /* loop time of the last sign of life */
	ev_timer again;
};

struct peer_dials {
	struct peer_conns *conns;
	struct rng rng; /* of the jitter */
	uint32_t dial_backoff_max_ms;
	struct peer_dial *first;
	void *ctx;
	/* Whether an outbound connection to this peer is up. */
	bool (*reached)(void *ctx, uint64_t peer);
	/* Whether an inbound peer names this address as its own. */
	bool (*heard)(void *ctx, const struct syc_addr *addr);
};

void peer_dials_add(struct peer_dials *ds, const struct syc_addr *addr,
		    bool learned);
void peer_dials_forget(struct peer_dials *ds, const struct syc_addr *addr);
struct peer_dial *peer_dials_of(const struct peer_dials *ds,
				const struct peer_conn *c);
void peer_dials_free(struct peer_dials *ds);

/* The connection of `d` is up. */
void peer_dial_up(struct peer_dial *d);
/* The connection of `d` is closed: dials again after a pause. */
void peer_dial_closed(struct peer_dial *d);

#endif
