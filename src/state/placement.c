/*
 * Placement: which target a task goes to. A slot stands for an equal part of
 * its target's processors, memory and accelerators; a task that declares
 * more than one part takes several slots of the same target.
 */
#include <string.h>

#include "state/dispatch_state.h"

/* Slots that `need` takes of a target that has `have`; zero: never fits. */
static uint32_t parts(uint32_t need, uint32_t have, uint32_t slots)
{
	uint64_t n;

	if (!need)
		return 1;
	if (need > have)
		return 0;
	n = ((uint64_t)need * slots + have - 1) / have;
	return (uint32_t)n;
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* Processors or memory that the list does not state bind nothing. */
uint32_t placement_width(const struct pool *p, const struct size_class *c,
			 uint32_t cpus, uint32_t memory_mb,
			 uint32_t accelerators)
{
	uint32_t slots = p->conf.slots;
	uint32_t a = parts(c->cpus ? cpus : 0, c->cpus, slots);
	uint32_t b = parts(c->memory_mb ? memory_mb : 0, c->memory_mb, slots);
	uint32_t x = parts(accelerators, c->accelerators, slots);

	if (!a || !b || !x)
		return 0;
	return max_u32(a, max_u32(b, x));
}

bool placement_fits_any(const struct pool *p, const struct syc_task_spec *task)
{
	size_t i;

	for (i = 0; i < p->n_size_classes; i++)
		if (p->size_classes[i]->n_listed &&
		    placement_width(p, p->size_classes[i], task->cpus,
				    task->memory_mb, task->accelerators))
			return true;
	return false;
}

/* The bucket with the most free slots, at least `width`; or NULL. */
static const struct bucket *freest(const struct pool *p,
				   const struct size_class *c, uint32_t width)
{
	uint32_t n;

	for (n = p->conf.slots; n >= width; n--)
		if (c->buckets[n].n)
			return &c->buckets[n];
	return NULL;
}

/*
 * One of the bucket's targets: the better of two at random, which spreads
 * what runs over the racks and avoids the target tried last.
 */
static struct target *choose(struct syc_dispatch *d, const struct bucket *b,
			     const struct task *task)
{
	struct target *x = b->targets[rng_below(&d->rng, b->n)];
	struct target *y = b->targets[rng_below(&d->rng, b->n)];

	if (x == task->last_target || y == task->last_target)
		return x == task->last_target ? y : x;
	return y->rack->used_slots < x->rack->used_slots ? y : x;
}

struct target *placement_pick(struct syc_dispatch *d, struct pool *p,
			      const struct task *task, uint32_t *width)
{
	struct target *best = NULL;
	size_t i;

	for (i = 0; i < p->n_size_classes; i++) {
		const struct bucket *b;
		struct target *t;
		uint32_t w;

		w = placement_width(p, p->size_classes[i], task->cpus,
				    task->memory_mb, task->accelerators);
		b = w ? freest(p, p->size_classes[i], w) : NULL;
		if (!b)
			continue;
		t = choose(d, b, task);
		if (best && best->free_slots >= t->free_slots)
			continue;
		best = t;
		*width = w;
	}
	return best;
}

void placement_unreserve(struct syc_dispatch *d, struct pool *p)
{
	struct target *t = p->reserved_target;

	p->reserved_target = NULL;
	if (t)
		slots_update_free(d, t);
}

/* The target that needs the least more room, looked for once a reservation. */
static struct target *nearest(const struct pool *p, const struct task *task)
{
	struct target *t, *best = NULL;
	uint32_t pos = 0, w;
	uint64_t h;

	while ((t = table_next(&p->targets, &pos, &h))) {
		w = placement_width(p, t->size_class, task->cpus,
				    task->memory_mb, task->accelerators);
		if (w < 2 || w > t->slots || !t->is_owned || !t->is_listed ||
		    t->conf.leaving || t->unsure_until || t->state != TARGET_UP)
			continue;
		if (!best || t->used_slots < best->used_slots)
			best = t;
	}
	return best;
}

void placement_reserve(struct syc_dispatch *d, int64_t now, struct pool *p,
		       const struct task *task)
{
	struct target *t = p->reserved_target;
	uint32_t w;

	if (t) {
		w = placement_width(p, t->size_class, task->cpus,
				    task->memory_mb, task->accelerators);
		if (now >= p->reserved_until ||
		    (w >= p->reserved_width && t->used_slots + w <= t->slots))
			placement_unreserve(d, p);
		return;
	}
	t = nearest(p, task);
	if (!t)
		return;
	p->reserved_target = t;
	p->reserved_until = now + RESERVATION_MS;
	p->reserved_width = placement_width(p, t->size_class, task->cpus,
					    task->memory_mb,
					    task->accelerators);
	slots_update_free(d, t);
}
