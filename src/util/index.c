#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "util/alloc.h"
#include "util/index.h"

struct index_slot {
	struct index_key key;
	uint64_t val;
	bool used;
};

struct index_key index_hash_bytes(const void *p, size_t n)
{
	XXH128_hash_t h = XXH3_128bits(p, n);
	struct index_key key = {h.high64, h.low64};

	return key;
}

struct index_key index_hash_number(uint64_t n)
{
	return index_hash_bytes(&n, sizeof(n));
}

static size_t first_slot(const struct index *ix, struct index_key key)
{
	return key.lo & (ix->cap - 1);
}

static size_t find_slot(const struct index *ix, struct index_key key)
{
	size_t i = first_slot(ix, key);

	while (ix->slots[i].used &&
	       (ix->slots[i].key.lo != key.lo || ix->slots[i].key.hi != key.hi))
		i = (i + 1) & (ix->cap - 1);
	return i;
}

static void grow(struct index *ix)
{
	struct index old = *ix;
	size_t i;

	ix->cap = old.cap ? old.cap * 2 : 16;
	ix->slots = xcalloc(ix->cap, sizeof(*ix->slots));
	for (i = 0; i < old.cap; i++)
		if (old.slots[i].used)
			ix->slots[find_slot(ix, old.slots[i].key)] =
				old.slots[i];
	free(old.slots);
}

void index_put(struct index *ix, struct index_key key, uint64_t val)
{
	size_t i;

	if ((ix->used + 1) * 4 > ix->cap * 3)
		grow(ix);
	i = find_slot(ix, key);
	if (!ix->slots[i].used)
		ix->used++;
	ix->slots[i].key = key;
	ix->slots[i].val = val;
	ix->slots[i].used = true;
}

bool index_get(const struct index *ix, struct index_key key, uint64_t *val)
{
	size_t i;

	if (!ix->cap)
		return false;
	i = find_slot(ix, key);
	if (!ix->slots[i].used)
		return false;
	*val = ix->slots[i].val;
	return true;
}

/*
 * A lookup ends at the first unused slot, so later entries whose probe sequence
 * passes the freed slot are moved into it.
 */
void index_del(struct index *ix, struct index_key key)
{
	size_t mask = ix->cap - 1;
	size_t gap, i;

	if (!ix->cap)
		return;
	gap = find_slot(ix, key);
	if (!ix->slots[gap].used)
		return;
	for (i = (gap + 1) & mask; ix->slots[i].used; i = (i + 1) & mask) {
		size_t first = first_slot(ix, ix->slots[i].key);

		if (((i - first) & mask) < ((i - gap) & mask))
			continue;
		ix->slots[gap] = ix->slots[i];
		gap = i;
	}
	ix->slots[gap].used = false;
	ix->used--;
}

void index_free(struct index *ix)
{
	free(ix->slots);
	memset(ix, 0, sizeof(*ix));
}
