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

	return j->arrival + SHORT_FIRST * (int64_t)(left_ms / slots);
}

/* A flow that was idle is owed nothing for that time. */
static void catch_up(struct flow *f)
{
	if (f->ready.pos || f->wanted_node.pos || f->granted || f->running_own)
		return;
	if (f->vtime < f->pool->vtime)
		f->vtime = f->pool->vtime;
}

void flow_resume(struct flow *f)
{
	if (f->ready.pos || !heap_top(&f->jobs))
		return;
	catch_up(f);
	f->active_share = f->caller->conf.share;
	f->pool->active_shares += f->active_share;
	heap_set(&f->pool->ready, &f->ready, f->vtime);
}

void flow_rest(struct flow *f)
{
	if (!f->ready.pos)
		return;
	f->pool->active_shares -= f->active_share;
	f->active_share = 0;
	heap_remove(&f->pool->ready, &f->ready);
}

void flow_job_waits(struct flow *f, struct job *j)
{
	heap_set(&f->jobs, &j->in_flow, job_key(j));
	flow_resume(f);
}

void flow_job_moved(struct flow *f, struct job *j)
{
	heap_set(&f->jobs, &j->in_flow, job_key(j));
}

void flow_wanted(struct flow *f)
{
	catch_up(f);
	if (!f->wanted)
		heap_remove(&f->pool->wanted, &f->wanted_node);
	else if (!f->wanted_node.pos)
		heap_set(&f->pool->wanted, &f->wanted_node, f->vtime);
}

void flow_job_gone(struct flow *f, struct job *j)
{
	heap_remove(&f->jobs, &j->in_flow);
	if (!heap_top(&f->jobs))
		flow_rest(f);
}

struct flow *queue_first(struct pool *p)
{
	struct heap_node *n = heap_top(&p->ready);

	return n ? HEAP_ITEM(n, struct flow, ready) : NULL;
}

struct flow *queue_first_wanted(struct pool *p)
{
	struct heap_node *n = heap_top(&p->wanted);

	return n ? HEAP_ITEM(n, struct flow, wanted_node) : NULL;
}

struct job *flow_first(struct flow *f)
{
	struct heap_node *n = heap_top(&f->jobs);

	return n ? HEAP_ITEM(n, struct job, in_flow) : NULL;
}

void flow_charge(struct flow *f, int64_t slot_ms)
{
	uint32_t share = f->caller->conf.share ? f->caller->conf.share : 1;

	f->vtime += slot_ms * VTIME_SCALE / share;
	if (f->ready.pos)
		heap_set(&f->pool->ready, &f->ready, f->vtime);
	if (f->wanted_node.pos)
		heap_set(&f->pool->wanted, &f->wanted_node, f->vtime);
}
