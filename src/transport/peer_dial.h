/*
 * The addresses that an instance dials. Each has at most one outbound
 * connection and an exponential backoff with jitter between attempts. Private
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
	bool learned; /* from an inbound peer; expires if unconnected */
	bool is_self; /* the address leads to this instance */
	uint64_t alias_of; /* peer reached by another address; zero: none */
	struct peer_conn *conn; /* NULL between attempts */
	bool dials_at_once; /* once `conn` is closed */
	double dialled_at_s; /* loop time of the last attempt */
	double backoff_s;
	double connected_at_s; /* loop time of creation or last connection */
	ev_timer retry_timer;
};

struct peer_dials {
	struct peer_conns *conns;
	struct rng rng; /* source of the jitter */
	uint32_t dial_backoff_max_ms;
	struct peer_dial *first;
	void *ctx;
	/* Returns whether an outbound connection to this peer is up. */
	bool (*has_outbound)(void *ctx, uint64_t peer_id);
	/*
	 * Returns whether a peer with this address has an inbound connection.
	 */
	bool (*has_inbound)(void *ctx, const struct syc_addr *addr);
};

/*
 * Dials `addr` from now on, unless it is this instance's own. If the instance
 * there has dialled this one (`learned`), an attempt that hangs is begun anew.
 */
void peer_dials_add(struct peer_dials *ds, const struct syc_addr *addr,
		    bool learned);
void peer_dials_remove(struct peer_dials *ds, const struct syc_addr *addr);
/* Notes that the connection which the instance at `addr` dialled has ended. */
void peer_dials_inbound_closed(struct peer_dials *ds,
			       const struct syc_addr *addr);
/* Returns the entry whose connection is `c`, or NULL. */
struct peer_dial *peer_dials_find(const struct peer_dials *ds,
				  const struct peer_conn *c);
void peer_dials_free(struct peer_dials *ds);

/* Resets the backoff. Called when the connection of `d` is up. */
void peer_dial_up(struct peer_dial *d);
/*
 * Dials again after the backoff. Called when the connection of `d` is closed.
 */
void peer_dial_closed(struct peer_dial *d);

#endif
