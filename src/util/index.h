/*
 * A hash table from a 128-bit key to a 64-bit value, usually a handle, with
 * open addressing and linear probing. Keys are hashes already: index_hash_bytes
 * computes one with XXH3, and claims use a keyed BLAKE2b.
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
	size_t cap; /* slots: a power of two, or zero */
	size_t used;
};

/* Each returns a key: for `n` bytes at `p`, or for a number. */
struct index_key index_hash_bytes(const void *p, size_t n);
struct index_key index_hash_number(uint64_t n);

/* Sets the value of `key` and replaces an earlier one. */
void index_put(struct index *ix, struct index_key key, uint64_t val);
/* Returns false if there is no value for `key`. */
bool index_get(const struct index *ix, struct index_key key, uint64_t *val);
void index_del(struct index *ix, struct index_key key);
void index_free(struct index *ix);

#endif
