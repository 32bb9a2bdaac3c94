/*
 * The owner's side of slot grants. A granted slot counts as in use until the
 * holder returns it, does not name it in a request sent after it received the
 * grant, or until the lease and then the longest time limit of a task have
 * passed. So no more slots are in use than the target has.
 */
#include <stdlib.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

struct issued_grant *owner_find_grant(const struct syc_dispatch *d, uint64_t id)
{
	uint64_t val;

	if (!index_get(&d->issued_grants, index_hash_number(id), &val))
		return NULL;
	return (struct issued_grant *)(uintptr_t)val;
}

static struct issued_grant *new_grant(struct syc_dispatch *d, struct target *t,
				      uint64_t id, uint64_t holder,
				      uint32_t width)
{
	struct issued_grant *g = xcalloc(1, sizeof(*g));

	g->id = id;
	g->holder = holder;
	g->target = t;
	g->width = width;
	index_put(&d->issued_grants, index_hash_number(id), (uintptr_t)g);
	t->used_slots += width;
	t->granted_slots += width;
	slots_update_free(d, t);
	return g;
}

static void add_held_slots(struct issued_grant *g, int32_t n)
{
	if (!g->demand)
		return;
	g->demand->held_slots += (uint32_t)n;
	g->demand->flow->granted_slots += (uint32_t)n;
}

void owner_release_grant(struct syc_dispatch *d, struct issued_grant *g)
{
	struct target *t = g->target;

	invariant(t->used_slots >= g->width && t->granted_slots >= g->width);
	add_held_slots(g, -(int32_t)g->width);
	heap_remove(&d->grant_timers, &g->timer);
	list_remove(&g->peer_node);
	if (g->slot_peer)
		g->slot_peer->n_issued--;
	index_del(&d->issued_grants, index_hash_number(g->id));
	t->used_slots -= g->width;
	t->granted_slots -= g->width;
	slots_update_free(d, t);
	free(g);
}

/*
 * The owner's lease is longer than the holder's by the slack, since the two
 * clocks may drift.
 */
static void start_lease(struct syc_dispatch *d, int64_t now,
			struct issued_grant *g)
{
	g->is_expired = false;
	g->time_limit_ms = g->slot_peer->time_limit_ms;
	if (g->time_limit_ms < g->target->pool->max_time_limit_ms)
		g->time_limit_ms = g->target->pool->max_time_limit_ms;
	heap_set(&d->grant_timers, &g->timer, now + LEASE_MS + LEASE_SLACK_MS);
}

static struct demand *get_demand(struct slot_peer *sp, struct flow *f)
{
	struct list *n, *after;
	struct demand *demand;

	LIST_EACH(n, after, &sp->demands)
	{
		demand = LIST_ITEM(n, struct demand, peer_node);
		if (demand->flow == f)
			return demand;
	}
	demand = xcalloc(1, sizeof(*demand));
	demand->slot_peer = sp;
	demand->flow = f;
	demand->quota = UINT32_MAX;
	list_add(&sp->demands, &demand->peer_node);
	list_add(&f->demands, &demand->flow_node);
	return demand;
}

static void set_wanted_tasks(struct demand *demand, uint32_t wanted_tasks)
{
	if (wanted_tasks > SLOT_IDS_MAX)
		wanted_tasks = SLOT_IDS_MAX;
	demand->flow->demanded_tasks = demand->flow->demanded_tasks -
				       demand->wanted_tasks + wanted_tasks;
	demand->wanted_tasks = wanted_tasks;
	flow_update_demand(demand->flow);
}

static void clear_wanted_tasks(struct slot_peer *sp)
{
	struct list *n, *after;

	LIST_EACH(n, after, &sp->demands)
	set_wanted_tasks(LIST_ITEM(n, struct demand, peer_node), 0);
}

void owner_clear_demands(struct syc_dispatch *d, struct slot_peer *sp)
{
	clear_wanted_tasks(sp);
	sp->is_reply_due = false;
}

/*
 * Updates the demands of the peer. Returns them in the order of the request,
 * with NULL for a caller that is not listed here.
 */
static struct demand **update_demands(struct syc_dispatch *d,
				      struct slot_peer *sp,
				      const struct slot_request *m)
{
	size_t i, n = SLOT_COUNT(&m->demands, struct slot_demand);
	struct demand **demands = xcalloc(n, sizeof(struct demand *));

	for (i = 0; i < n; i++) {
		const struct slot_demand *wanted;
		struct caller *c;

		wanted = &SLOT_LIST(&m->demands, struct slot_demand)[i];
		c = dispatch_find_caller(d, wanted->caller);
		if (!c)
			continue;
		demands[i] = get_demand(sp, flow_get(sp->pool, c));
		demands[i]->cpus = wanted->cpus;
		demands[i]->memory_mb = wanted->memory_mb;
		demands[i]->accelerators = wanted->accelerators;
		set_wanted_tasks(demands[i], wanted->tasks);
	}
	return demands;
}

/*
 * Renews a grant that the holder named. A grant that has ended, is not from
 * this peer, or is on a target with a new owner is not renewed.
 */
static void renew_grant(struct syc_dispatch *d, int64_t now,
			struct slot_peer *sp, const struct slot_held *named,
			struct demand *demand)
{
	struct issued_grant *g = owner_find_grant(d, named->id);

	if (!g || g->slot_peer != sp || !g->target->is_owned) {
		buf_add(&sp->not_renewed, &named->id, sizeof(named->id));
		if (g && g->slot_peer == sp)
			g->is_named = true;
		return;
	}
	g->is_named = true;
	start_lease(d, now, g);
	if (!demand || demand == g->demand)
		return;
	add_held_slots(g, -(int32_t)g->width);
	g->demand = demand;
	add_held_slots(g, (int32_t)g->width);
}

/* Releases the grants that the holder received and did not name. */
static void release_unnamed(struct syc_dispatch *d, struct slot_peer *sp,
			    uint64_t grant_seq_received)
{
	struct list *n, *after;

	LIST_EACH(n, after, &sp->issued_grants)
	{
		struct issued_grant *g = LIST_ITEM(n, struct issued_grant,
						   peer_node);

		if (!g->is_named && !g->is_unsent &&
		    g->grant_seq <= grant_seq_received)
			owner_release_grant(d, g);
		else
			g->is_named = false;
	}
}

static void apply_request(struct syc_dispatch *d, int64_t now,
			  struct slot_peer *sp, const struct slot_request *m)
{
	struct demand **demands;
	size_t i;

	sp->request_seq_received = sp->echo_seq = m->seq;
	sp->echo_sent_at = m->sent_at;
	sp->request_received_at = now;
	sp->time_limit_ms = m->time_limit_ms < TIME_LIMIT_MAX_MS
				    ? m->time_limit_ms
				    : TIME_LIMIT_MAX_MS;
	sp->not_renewed.len = 0;
	clear_wanted_tasks(sp);
	demands = update_demands(d, sp, m);
	for (i = 0; i < SLOT_COUNT(&m->held, struct slot_held); i++) {
		const struct slot_held *h;

		h = &SLOT_LIST(&m->held, struct slot_held)[i];
		renew_grant(d, now, sp, h, demands[h->demand_index]);
	}
	release_unnamed(d, sp, m->grant_seq);
	sp->is_reply_due = sp->is_reply_due || m->held.len || m->demands.len ||
			   sp->n_issued;
	free(demands);
}

bool owner_receive_request(struct syc_dispatch *d, int64_t now, uint64_t from,
			   struct syc_bytes msg)
{
	struct slot_request m;
	struct pool *p;
	struct slot_peer *sp;
	bool ok = slot_request_read(msg, &m);

	p = ok ? dispatch_find_pool(d, m.service) : NULL;
	sp = p ? slot_peer_get(d, now, p, from) : NULL;
	if (sp && m.seq > sp->request_seq_received) {
		apply_request(d, now, sp, &m);
		schedule_pool(d, now, p);
		if (sp->is_reply_due)
			owner_send_grants(d, now, sp);
	}
	slot_request_free(&m);
	return ok;
}

bool owner_receive_return(struct syc_dispatch *d, int64_t now, uint64_t from,
			  struct syc_bytes msg)
{
	struct slot_return m;
	struct pool *p;
	bool ok = slot_return_read(msg, &m);
	size_t i;

	p = ok ? dispatch_find_pool(d, m.service) : NULL;
	for (i = 0; p && i < SLOT_COUNT(&m.failed_ids, uint64_t); i++) {
		struct issued_grant *g;

		g = owner_find_grant(d, SLOT_LIST(&m.failed_ids, uint64_t)[i]);
		if (g && g->holder == from)
			health_record_failure(d, now, g->target);
	}
	for (i = 0; p && i < SLOT_COUNT(&m.ids, uint64_t); i++) {
		struct issued_grant *g;

		g = owner_find_grant(d, SLOT_LIST(&m.ids, uint64_t)[i]);
		if (!g || g->holder != from)
			continue;
		health_end_probe(d, g->target);
		owner_release_grant(d, g);
	}
	if (p)
		schedule_pool(d, now, p);
	slot_return_free(&m);
	return ok;
}

/*
 * Chooses the peer that has the smallest part of what it wants, so none is
 * starved.
 */
struct demand *owner_next_demand(const struct flow *f)
{
	struct demand *best = NULL;
	struct list *n, *after;

	LIST_EACH(n, after, &f->demands)
	{
		struct demand *demand = LIST_ITEM(n, struct demand, flow_node);

		if (!demand->wanted_tasks ||
		    demand->held_slots >= demand->quota)
			continue;
		if (!best ||
		    (uint64_t)demand->held_slots *
				    (best->held_slots + best->wanted_tasks) <
			    (uint64_t)best->held_slots *
				    (demand->held_slots + demand->wanted_tasks))
			best = demand;
	}
	return best;
}

bool owner_grant_slots(struct syc_dispatch *d, int64_t now,
		       struct demand *demand)
{
	struct task task = {0};
	struct slot_peer *sp = demand->slot_peer;
	struct issued_grant *g;
	struct target *t;
	uint32_t width;

	task.cpus = demand->cpus;
	task.memory_mb = demand->memory_mb;
	task.accelerators = demand->accelerators;
	t = placement_pick(d, sp->pool, &task, &width);
	if (!t)
		return false;
	invariant(t->used_slots + width <= t->slots);
	g = new_grant(d, t, rng_next(&d->rng), sp->peer, width);
	g->slot_peer = sp;
	g->demand = demand;
	g->is_unsent = true;
	sp->is_reply_due = true;
	g->grant_seq = sp->grant_seq_sent + 1;
	list_add(&sp->issued_grants, &g->peer_node);
	sp->n_issued++;
	add_held_slots(g, (int32_t)width);
	start_lease(d, now, g);
	set_wanted_tasks(demand, demand->wanted_tasks - 1);
	flow_charge(demand->flow, (int64_t)GRANT_CHARGE_MS * width);
	demand->flow->prepaid_slot_ms += (int64_t)GRANT_CHARGE_MS * width;
	return true;
}

void owner_take_over_grant(struct syc_dispatch *d, int64_t now,
			   struct target *t, const struct slot_busy *busy)
{
	struct issued_grant *g = owner_find_grant(d, busy->id);

	if (g || !busy->width || busy->width > TARGET_SLOTS_MAX)
		return;
	g = new_grant(d, t, busy->id, busy->holder, busy->width);
	g->is_expired = true;
	heap_set(&d->grant_timers, &g->timer, now + busy->left_ms);
}

static void expire_grants(struct syc_dispatch *d, int64_t now)
{
	struct heap_node *n;

	while ((n = heap_top(&d->grant_timers)) && n->key <= now) {
		struct issued_grant *g = HEAP_ITEM(n, struct issued_grant,
						   timer);

		if (g->is_expired) {
			owner_release_grant(d, g);
			continue;
		}
		g->is_expired = true;
		heap_set(&d->grant_timers, &g->timer,
			 n->key + g->time_limit_ms + TIME_LIMIT_SLACK_MS);
	}
}

void owner_tick(struct syc_dispatch *d, int64_t now)
{
	struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	expire_grants(d, now);
	while ((sp = table_next(&d->slot_peers, &pos, &h))) {
		if (now - sp->request_received_at > DEMAND_TTL_MS)
			clear_wanted_tasks(sp);
	}
}

void owner_free(struct syc_dispatch *d)
{
	size_t i;

	for (i = 0; i < d->grant_timers.n; i++)
		free(HEAP_ITEM(d->grant_timers.nodes[i], struct issued_grant,
			       timer));
	heap_free(&d->grant_timers);
	index_free(&d->issued_grants);
}
