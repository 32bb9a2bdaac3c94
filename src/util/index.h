/*
 * A hash index from a 128-bit key to a 64-bit value, usually a handle. Open
 * addressing with linear probing. Keys are hashes themselves: index_hash_bytes
 * makes one of a name (XXH3), claims bring a keyed BLAKE2b.
 */
#ifndef UTIL_INDEX_H
#define UTIL_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct index_key {
	uint64_t hi;
	uint64_t lo;
};

struct index_slot;

struct index {
	struct index_slot *slots;
	size_t cap; /* a power of two, or zero */
	size_t used;
};

struct index_key index_hash_bytes(const void *p, size_t n);
struct index_key index_hash_number(uint64_t n);

/* Sets `key`, replacing its value. */
void index_put(struct index *ix, struct index_key key, uint64_t val);
bool index_get(const struct index *ix, struct index_key key, uint64_t *val);
void index_del(struct index *ix, struct index_key key);
void index_free(struct index *ix);

#endif
