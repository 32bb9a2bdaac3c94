/* The queue of events, in the order of their times. */
#include "coord_sim_internal.h"
#include "util/alloc.h"

static bool before(const struct coord_sim_event *a,
		   const struct coord_sim_event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void swap(struct coord_sim_event *a, struct coord_sim_event *b)
{
	struct coord_sim_event t = *a;

	*a = *b;
	*b = t;
}

void coord_sim_push(struct coord_sim *s, struct coord_sim_event ev)
{
	size_t i;

	if (s->n_heap == s->cap_heap) {
		s->cap_heap = s->cap_heap ? s->cap_heap * 2 : 1024;
		s->heap = xrealloc(s->heap, s->cap_heap * sizeof(ev));
	}
	ev.seq = s->seq++;
	i = s->n_heap++;
	s->heap[i] = ev;
	for (; i && before(&s->heap[i], &s->heap[(i - 1) / 2]); i = (i - 1) / 2)
		swap(&s->heap[i], &s->heap[(i - 1) / 2]);
}

struct coord_sim_event coord_sim_pop(struct coord_sim *s)
{
	struct coord_sim_event top = s->heap[0];
	size_t i = 0, child;

	s->heap[0] = s->heap[--s->n_heap];
	while ((child = 2 * i + 1) < s->n_heap) {
		if (child + 1 < s->n_heap &&
		    before(&s->heap[child + 1], &s->heap[child]))
			child++;
		if (!before(&s->heap[child], &s->heap[i]))
			break;
		swap(&s->heap[child], &s->heap[i]);
		i = child;
	}
	return top;
}

bool coord_sim_chance(struct coord_sim *s, unsigned percent)
{
	return rng_below(&s->rng, 100) < percent;
}

struct coord_sim_node *coord_sim_find_node(struct coord_sim *s, uint64_t id)
{
	int i;

	for (i = 0; i < s->n_nodes; i++)
		if (s->nodes[i].inst.id == id)
			return &s->nodes[i];
	return NULL;
}
