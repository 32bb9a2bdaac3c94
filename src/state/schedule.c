/*
 * Starts tasks and grants slots. Idle grants are used first. Then the free
 * slots of owned targets go to the flow with the lowest virtual time, for a
 * task that waits here or for an instance that wants a slot.
 */
#include "state/dispatch_state.h"

enum {
	IDLE_GRANTS_SCANNED_MAX = 64, /* in one call */
	SKIPPED_FLOWS_MAX = 8
};

/* Flows skipped in this call: no target has free slots for their next task. */
struct skipped_flows {
	struct flow *flows[SKIPPED_FLOWS_MAX];
	size_t n;
};

static const struct task *next_task(const struct flow *f)
{
	const struct job *j = flow_first_job((struct flow *)f);

	return &j->tasks[j->first_waiting - 1];
}

static bool grant_fits(const struct held_grant *h, const struct flow *f)
{
	const struct task *t = next_task(f);
	uint32_t width = placement_width(h->target->pool, h->target->size_class,
					 t->cpus, t->memory_mb,
					 t->accelerators);

	return width && width <= h->width;
}

/*
 * Returns the first flow whose caller is under its limit. Suspends the flows
 * before it, whose callers are at their limits.
 */
static struct flow *first_flow_under_limit(struct pool *p, int64_t now)
{
	struct flow *f;

	while ((f = pool_first_flow(p)) && !allotment_may_start(f->caller, now))
		flow_suspend(f);
	return f;
}

/* The flow that the grant was issued for, else the first in the queue. */
static struct flow *choose_flow(struct pool *p, const struct held_grant *h,
				int64_t now)
{
	struct flow *f = h->holding->flow;

	if (f->ready_node.pos && grant_fits(h, f) &&
	    allotment_may_start(f->caller, now))
		return f;
	f = first_flow_under_limit(p, now);
	return f && grant_fits(h, f) ? f : NULL;
}

static void start_on_grants(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct list *n, *after;
	int n_left = IDLE_GRANTS_SCANNED_MAX;

	LIST_EACH(n, after, &p->idle_grants)
	{
		struct held_grant *h = LIST_ITEM(n, struct held_grant,
						 idle_node);
		struct flow *f;
		struct job *j;

		if (!pool_first_flow(p) || !n_left--)
			return;
		if (!holder_is_usable(h, now))
			continue;
		f = choose_flow(p, h, now);
		if (!f)
			continue;
		j = flow_first_job(f);
		send_start(d, now, j, job_take_task(d, j), h->target, h->width,
			   h);
	}
}

static void skip_flow(struct pool *p, struct skipped_flows *skipped,
		      struct flow *f)
{
	if (skipped->n == SKIPPED_FLOWS_MAX)
		return;
	skipped->flows[skipped->n++] = f;
	heap_remove(&p->ready_flows, &f->ready_node);
}

static void restore_flows(struct pool *p, struct skipped_flows *skipped)
{
	while (skipped->n) {
		struct flow *f = skipped->flows[--skipped->n];

		heap_set(&p->ready_flows, &f->ready_node, f->vtime);
	}
}

static bool start_on_owned_target(struct syc_dispatch *d, int64_t now,
				  struct pool *p, struct flow *f,
				  struct skipped_flows *skipped)
{
	struct job *j = flow_first_job(f);
	struct target *t;
	uint32_t width;

	t = placement_pick(d, p, next_task(f), &width);
	if (!t) {
		placement_reserve(d, now, p, next_task(f));
		t = placement_pick(d, p, next_task(f), &width);
	}
	if (t) {
		send_start(d, now, j, job_take_task(d, j), t, width, NULL);
		return true;
	}
	skip_flow(p, skipped, f);
	return skipped->n < SKIPPED_FLOWS_MAX;
}

/* Whether the peer has a smaller part of what it wants than this instance. */
static bool has_smaller_part(const struct demand *demand, const struct flow *f)
{
	uint64_t their_total = (uint64_t)demand->held_slots +
			       demand->wanted_tasks;
	uint64_t own_total = (uint64_t)f->running_owned_slots +
			     f->waiting_tasks;

	return demand->held_slots * own_total <
	       f->running_owned_slots * their_total;
}

/*
 * Grants slots to one holder. A flow whose holders all have their quota leaves
 * the heap until the next division of slots.
 */
static bool grant_to_holder(struct syc_dispatch *d, int64_t now, struct flow *f)
{
	struct demand *demand = owner_next_demand(f);

	if (demand)
		return owner_grant_slots(d, now, demand);
	heap_remove(&f->pool->demanded_flows, &f->demanded_node);
	return false;
}

/* Gives the slots of one task to the flow with the lowest virtual time. */
static bool give_next_slot(struct syc_dispatch *d, int64_t now, struct pool *p,
			   struct skipped_flows *skipped)
{
	struct flow *waiting = first_flow_under_limit(p, now);
	struct flow *demanded = pool_first_demanded_flow(p);
	struct flow *f = waiting;

	if (!waiting && !demanded)
		return false;
	if (!waiting || (demanded && demanded->vtime < waiting->vtime))
		f = demanded;
	p->vtime = f->vtime;
	if (f != waiting) {
		if (grant_to_holder(d, now, f))
			return true;
		return waiting &&
		       start_on_owned_target(d, now, p, waiting, skipped);
	}
	if (f == demanded && owner_next_demand(f) &&
	    has_smaller_part(owner_next_demand(f), f) &&
	    grant_to_holder(d, now, f))
		return true;
	if (start_on_owned_target(d, now, p, f, skipped))
		return true;
	return demanded && grant_to_holder(d, now, demanded);
}

static void give_free_slots(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct skipped_flows skipped = {{NULL}, 0};

	if (p->reserved_target && now >= p->reserved_until)
		placement_unreserve(d, p);
	while ((p->slots_free || p->reserved_target) &&
	       give_next_slot(d, now, p, &skipped))
		continue;
	restore_flows(p, &skipped);
}

void schedule_pool(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	if (d->is_scheduling)
		return;
	d->is_scheduling = true;
	start_on_grants(d, now, p);
	give_free_slots(d, now, p);
	if (!p->waiting_tasks)
		p->requested_tasks = 0;
	else
		holder_request_slots(d, now, p);
	d->is_scheduling = false;
}

void schedule_all_pools(struct syc_dispatch *d, int64_t now)
{
	struct pool *p;
	uint32_t pos = 0;
	uint64_t h;

	while ((p = table_next(&d->pool_table, &pos, &h)))
		schedule_pool(d, now, p);
}
