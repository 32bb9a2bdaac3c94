/* The event queue, a heap ordered by time. */
#include "coord_sim_internal.h"
#include "util/alloc.h"

static bool is_before(const struct coord_sim_event *a,
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

void coord_sim_push(struct coord_sim *sim, struct coord_sim_event ev)
{
	size_t i;

	if (sim->n_heap == sim->cap_heap) {
		sim->cap_heap = sim->cap_heap ? sim->cap_heap * 2 : 1024;
		sim->heap = xrealloc(sim->heap, sim->cap_heap * sizeof(ev));
	}
	ev.seq = sim->seq++;
	i = sim->n_heap++;
	sim->heap[i] = ev;
	for (; i && is_before(&sim->heap[i], &sim->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		swap(&sim->heap[i], &sim->heap[(i - 1) / 2]);
}

struct coord_sim_event coord_sim_pop(struct coord_sim *sim)
{
	struct coord_sim_event top = sim->heap[0];
	size_t i = 0, child;

	sim->heap[0] = sim->heap[--sim->n_heap];
	while ((child = 2 * i + 1) < sim->n_heap) {
		if (child + 1 < sim->n_heap &&
		    is_before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!is_before(&sim->heap[child], &sim->heap[i]))
			break;
		swap(&sim->heap[child], &sim->heap[i]);
		i = child;
	}
	return top;
}

bool coord_sim_chance(struct coord_sim *sim, unsigned percent)
{
	return rng_below(&sim->rng, 100) < percent;
}

struct coord_sim_node *coord_sim_find_node(struct coord_sim *sim, uint64_t id)
{
	int i;

	for (i = 0; i < sim->n_nodes; i++)
		if (sim->nodes[i].instance.id == id)
			return &sim->nodes[i];
	return NULL;
}
