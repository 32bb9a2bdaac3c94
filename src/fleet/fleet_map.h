/*
 * The map, the fleet's only value in the store. It lists the members and
 * names the driver. Its epoch orders the drivers and is the base of their
 * fences.
 */
#ifndef FLEET_FLEET_MAP_H
#define FLEET_FLEET_MAP_H

#include "protocol/wire.h"
#include "sycamoreshore/types.h"

enum {
	FLEET_MEMBERS_MAX = 64, /* that an earlier version may have written */
	/* No more are added, as each sends heartbeats to all of them. */
	FLEET_VOTERS_MAX = 32,
	FLEET_CELLS_MAX = 16
};

struct fleet_map {
	uint64_t index; /* in the store; zero: absent */
	uint64_t epoch;
	uint64_t driver; /* zero: none */
	size_t n_members;
	struct syc_instance members[FLEET_MEMBERS_MAX];
	/* The failure domains that are cells; none: the fleet is undivided. */
	size_t n_cells;
	char cells[FLEET_CELLS_MAX][SYC_NAME_MAX];
};

void fleet_map_pack(struct wire_out *w, const struct fleet_map *m);
/* Returns false and an empty map if the text cannot be read. */
bool fleet_map_unpack(struct syc_bytes text, struct fleet_map *m);

const struct syc_instance *fleet_map_find(const struct fleet_map *m,
					  uint64_t id);
/* Adds an instance and removes earlier incarnations of the same name. */
void fleet_map_add(struct fleet_map *m, const struct syc_instance *inst);
void fleet_map_remove(struct fleet_map *m, uint64_t id);
void fleet_map_copy_cells(struct fleet_map *m, const struct fleet_map *from);

#endif
