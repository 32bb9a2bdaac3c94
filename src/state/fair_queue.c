/*
 * The fair queue of a pool: start-time fair queueing by caller. The cost is
 * in slot-milliseconds divided by the caller's share. The virtual time of a
 * flow rises by the estimated cost of each task at its start and is corrected
 * by the real cost at its end. A flow that was idle starts at the virtual time
 * of the pool, so it has no claim to the slots that it left to others.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"

struct flow *flow_get(struct pool *p, struct caller *c)
{
	struct index_key key = index_hash_number((uintptr_t)c);
	struct flow *f;
	uint64_t found;

	if (index_get(&p->flow_by_caller, key, &found))
		return (struct flow *)(uintptr_t)found;
	f = xcalloc(1, sizeof(*f));
	index_put(&p->flow_by_caller, key, (uintptr_t)f);
	f->pool = p;
	f->caller = c;
	f->vtime = p->vtime;
	f->next = p->flows;
	p->flows = f;
	p->n_flows++;
	list_init(&f->demands);
	return f;
}

enum { WORK_LEFT_WEIGHT = 8 /* of a job's remaining time against its age */ };

/*
 * The key that orders the jobs of a flow: the time of submission plus the
 * weighted time that the remaining tasks would take on all available slots.
 * Early jobs and jobs with little left go first, so a large job waits for
 * small ones, but only for a bounded time.
 */
static int64_t job_key(const struct job *j)
{
	const struct pool *p = j->flow->pool;
	uint64_t slots = (uint64_t)p->slots_used + p->slots_free + 1;
	uint64_t work_left_ms = (uint64_t)j->n_waiting *
				estimate_ms(j->kind, 0);

	return j->submitted_at +
	       WORK_LEFT_WEIGHT * (int64_t)(work_left_ms / slots);
}

/* Raises the virtual time of an idle flow to that of the pool. */
static void skip_idle_time(struct flow *f)
{
	if (f->ready_node.pos || f->demanded_node.pos || f->granted_slots ||
	    f->running_owned_slots)
		return;
	if (f->vtime < f->pool->vtime)
		f->vtime = f->pool->vtime;
}

void flow_resume(struct flow *f)
{
	if (f->ready_node.pos || !heap_top(&f->waiting_jobs))
		return;
	skip_idle_time(f);
	f->active_share = f->caller->conf.share;
	f->pool->active_shares += f->active_share;
	heap_set(&f->pool->ready_flows, &f->ready_node, f->vtime);
}

void flow_suspend(struct flow *f)
{
	if (!f->ready_node.pos)
		return;
	f->pool->active_shares -= f->active_share;
	f->active_share = 0;
	heap_remove(&f->pool->ready_flows, &f->ready_node);
}

void flow_add_job(struct flow *f, struct job *j)
{
	heap_set(&f->waiting_jobs, &j->flow_node, job_key(j));
	flow_resume(f);
}

void flow_reorder_job(struct flow *f, struct job *j)
{
	heap_set(&f->waiting_jobs, &j->flow_node, job_key(j));
}

void flow_update_demand(struct flow *f)
{
	skip_idle_time(f);
	if (!f->demanded_tasks)
		heap_remove(&f->pool->demanded_flows, &f->demanded_node);
	else if (!f->demanded_node.pos)
		heap_set(&f->pool->demanded_flows, &f->demanded_node, f->vtime);
}

void flow_remove_job(struct flow *f, struct job *j)
{
	heap_remove(&f->waiting_jobs, &j->flow_node);
	if (!heap_top(&f->waiting_jobs))
		flow_suspend(f);
}

struct flow *pool_first_flow(struct pool *p)
{
	struct heap_node *n = heap_top(&p->ready_flows);

	return n ? HEAP_ITEM(n, struct flow, ready_node) : NULL;
}

struct flow *pool_first_demanded_flow(struct pool *p)
{
	struct heap_node *n = heap_top(&p->demanded_flows);

	return n ? HEAP_ITEM(n, struct flow, demanded_node) : NULL;
}

struct job *flow_first_job(struct flow *f)
{
	struct heap_node *n = heap_top(&f->waiting_jobs);

	return n ? HEAP_ITEM(n, struct job, flow_node) : NULL;
}

void flow_charge(struct flow *f, int64_t slot_ms)
{
	uint32_t share = f->caller->conf.share ? f->caller->conf.share : 1;

	f->vtime += slot_ms * VTIME_SCALE / share;
	if (f->ready_node.pos)
		heap_set(&f->pool->ready_flows, &f->ready_node, f->vtime);
	if (f->demanded_node.pos)
		heap_set(&f->pool->demanded_flows, &f->demanded_node, f->vtime);
}
