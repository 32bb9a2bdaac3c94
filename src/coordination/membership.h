/*
 * The instances that this one knows: those of its own failure domain and a
 * few of others. A peer that sends no message for too long is suspected.
 */
#ifndef COORDINATION_MEMBERSHIP_H
#define COORDINATION_MEMBERSHIP_H

#include "coordination/map.h"

enum {
	PEERS_MAX = 1024, /* of all failure domains */
	/*
	 * Instances per failure domain that exchange heartbeats with other
	 * domains and watch the map in the store.
	 */
	DELEGATES = 2
};

struct peer {
	struct syc_instance instance;
	bool is_local; /* of this instance's failure domain */
	bool is_link_up;
	bool has_contact; /* a handshake or a message arrived from it */
	bool is_suspected;
	bool is_leaving;
	bool is_listed_gone; /* the platform's list shows that it ended */
	int64_t last_message_at; /* ms */
	/* content of its last heartbeat; `epoch` and `tag` of its map */
	uint64_t epoch;
	uint64_t tag;
	uint64_t bundle_version;
	uint64_t complete_slices;
	uint64_t suspected_members; /* by index in the map of `epoch` */
};

struct peers {
	struct peer *list[PEERS_MAX];
	size_t n;
};

struct peer *peers_find(const struct peers *peers, uint64_t id);

/*
 * Finds or adds a peer. Returns NULL when the table is full. A new peer gets
 * `now` as the time of its last message.
 */
struct peer *peers_add(struct peers *peers, const struct syc_instance *inst,
		       int64_t now);
void peers_remove(struct peers *peers, size_t i);
void peers_free(struct peers *peers);

/* Whether `p` is not suspected. */
bool peer_is_alive(const struct peer *p);

/*
 * Whether `a` and `b` are two incarnations of one instance: the same name
 * and peer address, but another id.
 */
bool instance_is_restart(const struct syc_instance *a,
			 const struct syc_instance *b);

#endif
