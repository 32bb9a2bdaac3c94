#include <string.h>
#include <xxhash.h>

#include "coordination/map.h"

unsigned map_slice_of(const struct syc_claim_key *key)
{
	return key->b[0] % SYC_SLICES;
}

int map_find_member(const struct map *m, uint64_t id)
{
	size_t i;

	for (i = 0; id && i < m->n_members; i++)
		if (m->members[i].id == id)
			return (int)i;
	return -1;
}

bool map_has_epoch(const struct map *m, uint64_t epoch)
{
	size_t i;

	if (epoch == m->epoch)
		return true;
	for (i = 0; i < MAP_ANCESTORS_MAX; i++)
		if (m->ancestors[i].epoch == epoch)
			return true;
	return false;
}

bool map_follows(const struct map *m, const struct map *next)
{
	size_t i;

	if (!m->epoch || next->epoch < m->epoch)
		return true;
	if (next->epoch == m->epoch)
		return next->tag == m->tag;
	for (i = 0; i < MAP_ANCESTORS_MAX; i++) {
		if (next->ancestors[i].epoch == m->epoch)
			return next->ancestors[i].tag == m->tag;
		if (next->ancestors[i].epoch < m->epoch)
			return false;
	}
	return true;
}

uint64_t map_target_owner(const struct map *m, const char *name)
{
	size_t i, len = strlen(name);
	uint64_t score, best = 0, owner = 0;

	for (i = 0; i < m->n_members; i++) {
		if (m->members[i].is_down)
			continue;
		score = XXH3_64bits_withSeed(name, len, m->members[i].id);
		if (owner && score <= best)
			continue;
		best = score;
		owner = m->members[i].id;
	}
	return owner;
}
