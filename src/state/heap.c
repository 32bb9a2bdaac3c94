#include <stdlib.h>
#include <string.h>

#include "state/heap.h"
#include "util/alloc.h"

static void set_position(struct heap *h, size_t pos, struct heap_node *node)
{
	h->nodes[pos - 1] = node;
	node->pos = pos;
}

static void sift_up(struct heap *h, struct heap_node *node)
{
	size_t pos = node->pos;

	while (pos > 1 && node->key < h->nodes[pos / 2 - 1]->key) {
		set_position(h, pos, h->nodes[pos / 2 - 1]);
		pos /= 2;
	}
	set_position(h, pos, node);
}

static void sift_down(struct heap *h, struct heap_node *node)
{
	size_t pos = node->pos;
	size_t child;

	while ((child = pos * 2) <= h->n) {
		if (child < h->n &&
		    h->nodes[child]->key < h->nodes[child - 1]->key)
			child++;
		if (node->key <= h->nodes[child - 1]->key)
			break;
		set_position(h, pos, h->nodes[child - 1]);
		pos = child;
	}
	set_position(h, pos, node);
}

void heap_set(struct heap *h, struct heap_node *node, int64_t key)
{
	node->key = key;
	if (!node->pos) {
		if (h->n == h->cap) {
			h->cap = h->cap ? h->cap * 2 : 16;
			h->nodes = xrealloc(
				h->nodes, h->cap * sizeof(struct heap_node *));
		}
		h->n++;
		set_position(h, h->n, node);
	}
	sift_up(h, node);
	sift_down(h, node);
}

void heap_remove(struct heap *h, struct heap_node *node)
{
	struct heap_node *last;
	size_t pos = node->pos;

	if (!pos)
		return;
	last = h->nodes[--h->n];
	node->pos = 0;
	if (last == node)
		return;
	set_position(h, pos, last);
	sift_up(h, last);
	sift_down(h, last);
}

struct heap_node *heap_top(const struct heap *h)
{
	return h->n ? h->nodes[0] : NULL;
}

void heap_free(struct heap *h)
{
	free(h->nodes);
	memset(h, 0, sizeof(*h));
}
