/*
 * Placement: chooses the target of a task. A slot stands for an equal part of
 * the processors, memory and accelerators of its target. A task that declares
 * more than one part takes several slots of the same target.
 */
#include <string.h>

#include "state/dispatch_state.h"

/*
 * The slots that a task takes for `need` units of a resource on a target that
 * has `have` units and `slots` slots; zero: it never fits.
 */
static uint32_t slots_for(uint32_t need, uint32_t have, uint32_t slots)
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

/*
 * Processors or memory that the list of targets does not state are no limit;
 * accelerators that it does not state are zero.
 */
uint32_t placement_width(const struct pool *p, const struct size_class *c,
			 uint32_t cpus, uint32_t memory_mb,
			 uint32_t accelerators)
{
	uint32_t slots = p->conf.slots;
	uint32_t cpu_slots = slots_for(c->cpus ? cpus : 0, c->cpus, slots);
	uint32_t memory_slots = slots_for(c->memory_mb ? memory_mb : 0,
					  c->memory_mb, slots);
	uint32_t accelerator_slots = slots_for(accelerators, c->accelerators,
					       slots);

	if (!cpu_slots || !memory_slots || !accelerator_slots)
		return 0;
	return max_u32(cpu_slots, max_u32(memory_slots, accelerator_slots));
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

/* The bucket with the most free slots, at least `width`, or NULL. */
static const struct bucket *freest_bucket(const struct pool *p,
					  const struct size_class *c,
					  uint32_t width)
{
	uint32_t n;

	for (n = p->conf.slots; n >= width; n--)
		if (c->buckets[n].n)
			return &c->buckets[n];
	return NULL;
}

/*
 * Chooses the better of two random targets of the bucket, which spreads the
 * sends over the racks and avoids the target that the task was last sent to.
 */
static struct target *choose_target(struct syc_dispatch *d,
				    const struct bucket *b,
				    const struct task *task)
{
	struct target *first = b->targets[rng_below(&d->rng, b->n)];
	struct target *second = b->targets[rng_below(&d->rng, b->n)];

	if (first == task->last_target || second == task->last_target)
		return first == task->last_target ? second : first;
	return second->rack->used_slots < first->rack->used_slots ? second
								  : first;
}

struct target *placement_pick(struct syc_dispatch *d, struct pool *p,
			      const struct task *task, uint32_t *width)
{
	struct target *best = NULL;
	size_t i;

	for (i = 0; i < p->n_size_classes; i++) {
		const struct bucket *b;
		struct target *t;
		uint32_t needed;

		needed = placement_width(p, p->size_classes[i], task->cpus,
					 task->memory_mb, task->accelerators);
		b = needed ? freest_bucket(p, p->size_classes[i], needed)
			   : NULL;
		if (!b)
			continue;
		t = choose_target(d, b, task);
		if (best && best->free_slots >= t->free_slots)
			continue;
		best = t;
		*width = needed;
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

/*
 * The target with the fewest slots in use of those that fit a task of several
 * slots, or NULL. A linear search suffices, since it runs once per reservation.
 */
static struct target *find_least_used(const struct pool *p,
				      const struct task *task)
{
	struct target *t, *best = NULL;
	uint32_t pos = 0, width;
	uint64_t h;

	while ((t = table_next(&p->targets, &pos, &h))) {
		width = placement_width(p, t->size_class, task->cpus,
					task->memory_mb, task->accelerators);
		if (width < 2 || width > t->slots || !t->is_owned ||
		    !t->is_listed || t->conf.leaving || t->uncertain_until ||
		    t->state != TARGET_UP)
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
	uint32_t width;

	if (t) {
		width = placement_width(p, t->size_class, task->cpus,
					task->memory_mb, task->accelerators);
		if (now >= p->reserved_until ||
		    (width >= p->reserved_width &&
		     t->used_slots + width <= t->slots))
			placement_unreserve(d, p);
		return;
	}
	t = find_least_used(p, task);
	if (!t)
		return;
	p->reserved_target = t;
	p->reserved_until = now + RESERVATION_MS;
	p->reserved_width = placement_width(p, t->size_class, task->cpus,
					    task->memory_mb,
					    task->accelerators);
	slots_update_free(d, t);
}
