/*
 * The map of one failure domain: the primary and the backup of each slice of
 * the keys, and the member instances. It is stored as JSON in the platform's
 * store and changes only by compare-and-swap, so its epoch only rises. Claims
 * are acknowledged per `entry_epoch`, so that a change of another slice does
 * not disturb them.
 */
#ifndef COORDINATION_MAP_H
#define COORDINATION_MAP_H

#include "coordination/coordination_error.h"
#include "sycamoreshore/coord.h"

enum {
	MAP_BYTES_MAX = 64 * 1024,
	MAP_ANCESTORS_MAX = 16 /* earlier maps that a map names */
};

struct map_member {
	uint64_t id;
	char name[SYC_NAME_MAX];
	char rack[SYC_NAME_MAX];
	struct syc_addr addr;
	bool is_down; /* stays a member only while a slice names it */
};

struct map_slice {
	uint64_t primary; /* zero only before the first map */
	uint64_t backup; /* zero: the primary serves alone */
	uint64_t entry_epoch; /* epoch of the last change of the holders */
	uint64_t primary_epoch; /* epoch of the last change of the primary */
	uint64_t loss_epoch; /* older claims are lost; zero: no loss */
};

/* An earlier map of the same history. */
struct map_ancestor {
	uint64_t epoch;
	uint32_t tag;
};

struct map {
	uint64_t epoch; /* zero: no map yet */
	uint32_t tag; /* random: distinguishes two maps of one epoch */
	struct map_ancestor ancestors[MAP_ANCESTORS_MAX]; /* latest first */
	size_t n_members;
	struct map_member members[SYC_MEMBERS_MAX];
	struct map_slice slices[SYC_SLICES];
};

unsigned map_slice_of(const struct syc_claim_key *key);

/* Returns the index of member `id`, or -1. */
int map_find_member(const struct map *m, uint64_t id);

/* Whether `epoch` is that of `m` or of an ancestor that it names. */
bool map_has_epoch(const struct map *m, uint64_t epoch);

/*
 * Whether `next` descends from `m`, as far as the ancestors that `next` names
 * show. A store that was set back can hold a map that does not descend from
 * the map of an instance.
 */
bool map_follows(const struct map *m, const struct map *next);

/* Returns target `name`'s owner by rendezvous hash; zero without a map. */
uint64_t map_target_owner(const struct map *m, const char *name);

/* Returns the stored text of `m`; the caller frees it. */
char *map_encode(const struct map *m);

/* Parses the stored text; on failure `*m` is undefined. */
enum coordination_status map_decode(struct map *m, struct syc_bytes text);

#endif
