/*
 * Plans the next map from the current one and from what the writer knows of
 * the instances. The same input gives the same map on every instance.
 */
#ifndef COORDINATION_MAP_PLAN_H
#define COORDINATION_MAP_PLAN_H

#include "coordination/map.h"

enum {
	PLAN_INSTANCES_MAX = 2 * SYC_MEMBERS_MAX, /* old and new members */
	PLAN_BACKUP_MOVES_MAX = 16 /* for balance, in one change */
};

/* An instance that may be a member of the next map. */
struct plan_instance {
	struct map_member member;
	bool is_alive;
	bool is_leaving; /* its slices are to be handed over */
	bool is_uncontacted; /* stays a member, but gets no slice yet */
	bool has_ended; /* it is proved that it no longer runs */
	uint64_t complete_slices; /* bits: its copy as backup is complete */
};

enum plan_result {
	PLAN_UNCHANGED = 0,
	PLAN_DEFERRABLE, /* joins and balance, which may be batched */
	PLAN_URGENT /* a slice cannot be served before this change */
};

struct plan_input {
	const struct map *current;
	const struct plan_instance *instances; /* members of `current` first */
	size_t n; /* at most PLAN_INSTANCES_MAX */
	uint64_t expired_losses; /* slices whose loss mark has expired */
	bool all_claims_lost; /* the map forked: no holder knows all claims */
	/*
	 * Added to the epoch at a loss. It is random, so that a ticket from
	 * a history that the store has lost does not look like a newer one.
	 */
	uint64_t epoch_jump;
};

/* Writes the next map to `*next` unless the result is PLAN_UNCHANGED. */
enum plan_result map_plan(const struct plan_input *in, struct map *next);

#endif
