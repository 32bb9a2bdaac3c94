/*
 * A binary min-heap of nodes embedded in their items. Each node holds its
 * position, so a change of key or a removal takes O(log n).
 */
#ifndef STATE_HEAP_H
#define STATE_HEAP_H

#include <stddef.h>
#include <stdint.h>

struct heap_node {
	int64_t key;
	size_t pos; /* position in the heap from 1; zero: in no heap */
};

struct heap {
	struct heap_node **nodes;
	size_t n;
	size_t cap;
};

/* Sets the key of `node`, adding it when it is not in the heap. */
void heap_set(struct heap *h, struct heap_node *node, int64_t key);
/* Removes `node`; does nothing when it is not in the heap. */
void heap_remove(struct heap *h, struct heap_node *node);
/* The node with the lowest key, or NULL. */
struct heap_node *heap_top(const struct heap *h);
void heap_free(struct heap *h);

/* The item of `type` whose member `member` is the node `n`. */
#define HEAP_ITEM(n, type, member) \
	((type *)(void *)((char *)(n)-offsetof(type, member)))

#endif
