/*
 * The fair queue of a pool: start-time fair queueing by caller, in
 * slot-milliseconds over the caller's share. A flow's virtual time rises by
 * the estimated cost of each task as it starts and is corrected by the real
 * cost when it ends. A flow that was idle starts at the pool's time, so that
 * it is owed nothing for what it left to others.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"

struct flow *flow_get(struct pool *p, struct caller *c)
{
	struct index_key key = index_number((uintptr_t)c);
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

enum { SHORT_FIRST = 8 /* weight of what a job has left over its age */ };

/*
 * Jobs that came early and have little left go first: the key is the arrival
 * and, weighted, how long the rest would take with all the slots here. So a
 * large job waits for small ones, but for a bounded time.
 */
static int64_t job_key(const struct job *j)
{
	const struct pool *p = j->flow->pool;
	uint64_t slots = (uint64_t)p->slots_used + p->slots_free + 1;
	uint64_t left_ms = (uint64_t)j->n_waiting * estimate_ms(j->kind, 0);

	return j->submitted_at + SHORT_FIRST * (int64_t)(left_ms / slots);
}

/* A flow that was idle is owed nothing for that time. */
static void catch_up(struct flow *f)
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
	catch_up(f);
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
	catch_up(f);
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
