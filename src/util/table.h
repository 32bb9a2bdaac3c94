/*
 * A table of items of one size, addressed by handles. A handle contains the
 * position of the item and the generation of that position, so the handle of a
 * deleted item finds nothing. Items never move. Zero is never a handle.
 */
#ifndef UTIL_TABLE_H
#define UTIL_TABLE_H

#include <stddef.h>
#include <stdint.h>

struct table {
	size_t item_size;
	void **chunks;
	uint32_t *generations; /* odd while in use */
	uint32_t *next_free;
	uint32_t cap; /* positions in all chunks */
	uint32_t used;
	uint32_t free_head; /* first free position plus one; zero: none */
};

void table_init(struct table *t, size_t item_size);
void table_free(struct table *t);

/* Adds a zeroed item, sets `*item` to it and returns its handle. */
uint64_t table_add(struct table *t, void **item);

/* Returns the item of `handle`, or NULL if it was deleted. */
void *table_get(const struct table *t, uint64_t handle);

void table_del(struct table *t, uint64_t handle);

/*
 * Returns the next item and sets `*handle`, or returns NULL at the end. `*pos`
 * is zero before the first call. The item just returned may be deleted.
 */
void *table_next(const struct table *t, uint32_t *pos, uint64_t *handle);

#endif
