#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"
#include "util/table.h"

enum { CHUNK_ITEMS = 256 };

void table_init(struct table *t, size_t item_size)
{
	memset(t, 0, sizeof(*t));
	t->item_size = item_size;
}

void table_free(struct table *t)
{
	uint32_t i;

	for (i = 0; i < t->cap / CHUNK_ITEMS; i++)
		free(t->chunks[i]);
	free(t->chunks);
	free(t->generations);
	free(t->next_free);
	table_init(t, t->item_size);
}

static void *item_at(const struct table *t, uint32_t i)
{
	return (char *)t->chunks[i / CHUNK_ITEMS] +
	       (i % CHUNK_ITEMS) * t->item_size;
}

static void grow(struct table *t)
{
	uint32_t i, cap = t->cap + CHUNK_ITEMS;

	t->chunks = xrealloc(t->chunks, cap / CHUNK_ITEMS * sizeof(*t->chunks));
	t->chunks[t->cap / CHUNK_ITEMS] = xcalloc(CHUNK_ITEMS, t->item_size);
	t->generations = xrealloc(t->generations,
				  cap * sizeof(*t->generations));
	t->next_free = xrealloc(t->next_free, cap * sizeof(*t->next_free));
	for (i = cap; i-- > t->cap;) {
		t->generations[i] = 0;
		t->next_free[i] = t->free_head;
		t->free_head = i + 1;
	}
	t->cap = cap;
}

uint64_t table_add(struct table *t, void **item)
{
	uint32_t i;

	if (!t->free_head)
		grow(t);
	i = t->free_head - 1;
	t->free_head = t->next_free[i];
	t->generations[i]++;
	t->used++;
	*item = item_at(t, i);
	memset(*item, 0, t->item_size);
	return (uint64_t)t->generations[i] << 32 | i;
}

void *table_get(const struct table *t, uint64_t handle)
{
	uint32_t i = (uint32_t)handle;

	if (i >= t->cap || t->generations[i] != handle >> 32 ||
	    !(t->generations[i] & 1))
		return NULL;
	return item_at(t, i);
}

void table_del(struct table *t, uint64_t handle)
{
	uint32_t i = (uint32_t)handle;

	if (!table_get(t, handle))
		return;
	t->generations[i]++;
	t->next_free[i] = t->free_head;
	t->free_head = i + 1;
	t->used--;
}

void *table_next(const struct table *t, uint32_t *pos, uint64_t *handle)
{
	for (; *pos < t->cap; ++*pos) {
		uint32_t i = *pos;

		if (!(t->generations[i] & 1))
			continue;
		++*pos;
		*handle = (uint64_t)t->generations[i] << 32 | i;
		return item_at(t, i);
	}
	return NULL;
}
