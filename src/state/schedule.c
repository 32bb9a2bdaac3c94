/*
 * Starts and grants what can be: first tasks on grants that lie idle, then
 * own slots to whichever caller is furthest behind, for a task that waits
 * here or for an instance that wants the slot.
 */
#include "state/dispatch_state.h"

enum {
	IDLE_SCAN_MAX = 64, /* grants looked at in one go */
	ASIDE_MAX = 8 /* flows whose first task found no target */
};

/* Flows that are passed over in this go. */
struct skipped_flows {
	struct flow *at[ASIDE_MAX];
	size_t n;
};

static const struct task *first_task(const struct flow *f)
{
	const struct job *j = flow_first_job((struct flow *)f);

	return &j->tasks[j->first_waiting - 1];
}

static bool fits(const struct held_grant *h, const struct flow *f)
{
	const struct task *t = first_task(f);
	uint32_t width = placement_width(h->target->pool, h->target->size_class,
					 t->cpus, t->memory_mb,
					 t->accelerators);

	return width && width <= h->width;
}

/* The first flow that is under its caller's limit; others rest. */
static struct flow *first_allowed(struct pool *p, int64_t now)
{
	struct flow *f;

	while ((f = pool_first_flow(p)) && !allotment_may_start(f->caller, now))
		flow_suspend(f);
	return f;
}

/* The caller that the grant was given for, else the first in the queue. */
static struct flow *flow_for(struct pool *p, const struct held_grant *h,
			     int64_t now)
{
	struct flow *f = h->holding->flow;

	if (f->ready_node.pos && fits(h, f) &&
	    allotment_may_start(f->caller, now))
		return f;
	f = first_allowed(p, now);
	return f && fits(h, f) ? f : NULL;
}

static void start_on_grants(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct list *n, *after;
	int left = IDLE_SCAN_MAX;

	LIST_EACH(n, after, &p->idle_grants)
	{
		struct held_grant *h = LIST_ITEM(n, struct held_grant,
						 idle_node);
		struct flow *f;
		struct job *j;

		if (!pool_first_flow(p) || !left--)
			return;
		if (!holder_is_usable(h, now))
			continue;
		f = flow_for(p, h, now);
		if (!f)
			continue;
		j = flow_first_job(f);
		send_start(d, now, j, job_take_task(d, j), h->target, h->width,
			   h);
	}
}

static void pass_over(struct pool *p, struct skipped_flows *aside,
		      struct flow *f)
{
	if (aside->n == ASIDE_MAX)
		return;
	aside->at[aside->n++] = f;
	heap_remove(&p->ready_flows, &f->ready_node);
}

static void bring_back(struct pool *p, struct skipped_flows *aside)
{
	while (aside->n) {
		struct flow *f = aside->at[--aside->n];

		heap_set(&p->ready_flows, &f->ready_node, f->vtime);
	}
}

static bool start_local(struct syc_dispatch *d, int64_t now, struct pool *p,
			struct flow *f, struct skipped_flows *aside)
{
	struct job *j = flow_first_job(f);
	struct target *t;
	uint32_t width;

	t = placement_pick(d, p, first_task(f), &width);
	if (!t) {
		placement_reserve(d, now, p, first_task(f));
		t = placement_pick(d, p, first_task(f), &width);
	}
	if (t) {
		send_start(d, now, j, job_take_task(d, j), t, width, NULL);
		return true;
	}
	pass_over(p, aside, f);
	return aside->n < ASIDE_MAX;
}

/* Whether `dm` has less of what it wants than we ourselves do. */
static bool behind(const struct demand *dm, const struct flow *f)
{
	uint64_t theirs = (uint64_t)dm->held_slots + dm->wanted_tasks;
	uint64_t ours = (uint64_t)f->running_owned_slots + f->waiting_tasks;

	return dm->held_slots * ours < f->running_owned_slots * theirs;
}

/* A flow whose holders are all at their bounds rests until the next share. */
static bool grant(struct syc_dispatch *d, int64_t now, struct flow *f)
{
	struct demand *dm = owner_next_demand(f);

	if (dm)
		return owner_grant_slots(d, now, dm);
	heap_remove(&f->pool->demanded_flows, &f->demanded_node);
	return false;
}

/* Gives one own slot to the flow that is furthest behind. */
static bool give_one(struct syc_dispatch *d, int64_t now, struct pool *p,
		     struct skipped_flows *aside)
{
	struct flow *here = first_allowed(p, now);
	struct flow *there = pool_first_demanded_flow(p);
	struct flow *f = here;

	if (!here && !there)
		return false;
	if (!here || (there && there->vtime < here->vtime))
		f = there;
	p->vtime = f->vtime;
	if (f != here) {
		if (grant(d, now, f))
			return true;
		return here && start_local(d, now, p, here, aside);
	}
	if (f == there && owner_next_demand(f) &&
	    behind(owner_next_demand(f), f) && grant(d, now, f))
		return true;
	if (start_local(d, now, p, f, aside))
		return true;
	return there && grant(d, now, there);
}

static void give_slots(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct skipped_flows aside = {{NULL}, 0};

	if (p->reserved_target && now >= p->reserved_until)
		placement_unreserve(d, p);
	while ((p->slots_free || p->reserved_target) &&
	       give_one(d, now, p, &aside))
		continue;
	bring_back(p, &aside);
}

void schedule_pool(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	if (d->is_scheduling)
		return;
	d->is_scheduling = true;
	start_on_grants(d, now, p);
	give_slots(d, now, p);
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
