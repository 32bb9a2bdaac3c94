/*
 * The owner's part in slot grants. A slot that was granted counts as in use
 * until the holder gives it back, leaves it out of an ask that answers the
 * grant's message, or until the lease and then the longest run of a task
 * have passed. So the slots in use are never more than the target has.
 */
#include <stdlib.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

struct issued_grant *owner_find_grant(const struct syc_dispatch *d, uint64_t id)
{
	uint64_t val;

	if (!index_get(&d->issued_grants, index_number(id), &val))
		return NULL;
	return (struct issued_grant *)(uintptr_t)val;
}

static struct issued_grant *granted_new(struct syc_dispatch *d,
					struct target *t, uint64_t id,
					uint64_t holder, uint32_t width)
{
	struct issued_grant *g = xcalloc(1, sizeof(*g));

	g->id = id;
	g->holder = holder;
	g->target = t;
	g->width = width;
	index_put(&d->issued_grants, index_number(id), (uintptr_t)g);
	t->used_slots += width;
	t->granted_slots += width;
	slots_update_free(d, t);
	return g;
}

static void demand_count(struct issued_grant *g, int32_t n)
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
	demand_count(g, -(int32_t)g->width);
	heap_remove(&d->grant_timers, &g->timer);
	list_remove(&g->link_node);
	if (g->link)
		g->link->n_issued--;
	index_del(&d->issued_grants, index_number(g->id));
	t->used_slots -= g->width;
	t->granted_slots -= g->width;
	slots_update_free(d, t);
	free(g);
}

/* The holder's own account of time may run ahead of ours by the slack. */
static void lease(struct syc_dispatch *d, int64_t now, struct issued_grant *g)
{
	g->is_expired = false;
	g->time_limit_ms = g->link->time_limit_ms;
	if (g->time_limit_ms < g->target->pool->max_time_limit_ms)
		g->time_limit_ms = g->target->pool->max_time_limit_ms;
	heap_set(&d->grant_timers, &g->timer, now + LEASE_MS + LEASE_SLACK_MS);
}

static struct demand *demand_get(struct link *l, struct flow *f)
{
	struct list *n, *after;
	struct demand *dm;

	LIST_EACH(n, after, &l->demands)
	{
		dm = LIST_ITEM(n, struct demand, link_node);
		if (dm->flow == f)
			return dm;
	}
	dm = xcalloc(1, sizeof(*dm));
	dm->link = l;
	dm->flow = f;
	dm->quota = UINT32_MAX;
	list_add(&l->demands, &dm->link_node);
	list_add(&f->demands, &dm->flow_node);
	return dm;
}

static void set_want(struct demand *dm, uint32_t want)
{
	if (want > SLOT_IDS_MAX)
		want = SLOT_IDS_MAX;
	dm->flow->demanded_tasks = dm->flow->demanded_tasks - dm->wanted_tasks +
				   want;
	dm->wanted_tasks = want;
	flow_update_demand(dm->flow);
}

static void clear_wants(struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->demands)
	set_want(LIST_ITEM(n, struct demand, link_node), 0);
}

void owner_forget_demands(struct syc_dispatch *d, struct link *l)
{
	clear_wants(l);
	l->is_reply_due = false;
}

/* The demands by place in the ask; NULL for a caller not known here. */
static struct demand **take_wants(struct syc_dispatch *d, struct link *l,
				  const struct slot_request *m)
{
	size_t i, n = SLOT_COUNT(&m->demands, struct slot_demand);
	struct demand **by_place = xcalloc(n, sizeof(struct demand *));

	for (i = 0; i < n; i++) {
		const struct slot_demand *w;
		struct caller *c;

		w = &SLOT_LIST(&m->demands, struct slot_demand)[i];
		c = dispatch_find_caller(d, w->caller);
		if (!c)
			continue;
		by_place[i] = demand_get(l, flow_get(l->pool, c));
		by_place[i]->cpus = w->cpus;
		by_place[i]->memory_mb = w->memory_mb;
		by_place[i]->accelerators = w->accelerators;
		set_want(by_place[i], w->tasks);
	}
	return by_place;
}

/* Renews what the holder named and still has from us. */
static void renew(struct syc_dispatch *d, int64_t now, struct link *l,
		  const struct slot_held *h, struct demand *dm)
{
	struct issued_grant *g = owner_find_grant(d, h->id);

	if (!g || g->link != l || !g->target->is_owned) {
		buf_add(&l->not_renewed, &h->id, sizeof(h->id));
		if (g && g->link == l)
			g->is_named = true;
		return;
	}
	g->is_named = true;
	lease(d, now, g);
	if (!dm || dm == g->demand)
		return;
	demand_count(g, -(int32_t)g->width);
	g->demand = dm;
	demand_count(g, (int32_t)g->width);
}

/* What the holder had been told of and did not name is free again. */
static void reconcile(struct syc_dispatch *d, struct link *l, uint64_t told)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->issued_grants)
	{
		struct issued_grant *g = LIST_ITEM(n, struct issued_grant,
						   link_node);

		if (!g->is_named && !g->is_unsent && g->grant_seq <= told)
			owner_release_grant(d, g);
		else
			g->is_named = false;
	}
}

static void apply_ask(struct syc_dispatch *d, int64_t now, struct link *l,
		      const struct slot_request *m)
{
	struct demand **by_place;
	size_t i;

	l->request_seq_received = l->echo_seq = m->seq;
	l->echo_sent_at = m->sent_at;
	l->request_received_at = now;
	l->time_limit_ms = m->time_limit_ms < TIME_LIMIT_MAX_MS
				   ? m->time_limit_ms
				   : TIME_LIMIT_MAX_MS;
	l->not_renewed.len = 0;
	clear_wants(l);
	by_place = take_wants(d, l, m);
	for (i = 0; i < SLOT_COUNT(&m->held, struct slot_held); i++) {
		const struct slot_held *h;

		h = &SLOT_LIST(&m->held, struct slot_held)[i];
		renew(d, now, l, h, by_place[h->demand_index]);
	}
	reconcile(d, l, m->grant_seq);
	l->is_reply_due = l->is_reply_due || m->held.len || m->demands.len ||
			  l->n_issued;
	free(by_place);
}

bool owner_receive_request(struct syc_dispatch *d, int64_t now, uint64_t from,
			   struct syc_bytes msg)
{
	struct slot_request m;
	struct pool *p;
	struct link *l;
	bool ok = slot_request_read(msg, &m);

	p = ok ? dispatch_find_pool(d, m.service) : NULL;
	l = p ? link_get(d, now, p, from) : NULL;
	if (l && m.seq > l->request_seq_received) {
		apply_ask(d, now, l, &m);
		schedule_pool(d, now, p);
		if (l->is_reply_due)
			owner_send_grants(d, now, l);
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

/* The lowest part of what it wants, so that no peer is passed over. */
struct demand *owner_next_demand(const struct flow *f)
{
	struct demand *best = NULL;
	struct list *n, *after;

	LIST_EACH(n, after, &f->demands)
	{
		struct demand *dm = LIST_ITEM(n, struct demand, flow_node);

		if (!dm->wanted_tasks || dm->held_slots >= dm->quota)
			continue;
		if (!best ||
		    (uint64_t)dm->held_slots *
				    (best->held_slots + best->wanted_tasks) <
			    (uint64_t)best->held_slots *
				    (dm->held_slots + dm->wanted_tasks))
			best = dm;
	}
	return best;
}

bool owner_grant_slots(struct syc_dispatch *d, int64_t now, struct demand *dm)
{
	struct task needs = {0};
	struct link *l = dm->link;
	struct issued_grant *g;
	struct target *t;
	uint32_t width;

	needs.cpus = dm->cpus;
	needs.memory_mb = dm->memory_mb;
	needs.accelerators = dm->accelerators;
	t = placement_pick(d, l->pool, &needs, &width);
	if (!t)
		return false;
	invariant(t->used_slots + width <= t->slots);
	g = granted_new(d, t, rng_next(&d->rng), l->peer, width);
	g->link = l;
	g->demand = dm;
	g->is_unsent = true;
	l->is_reply_due = true;
	g->grant_seq = l->grant_seq_sent + 1;
	list_add(&l->issued_grants, &g->link_node);
	l->n_issued++;
	demand_count(g, (int32_t)width);
	lease(d, now, g);
	set_want(dm, dm->wanted_tasks - 1);
	flow_charge(dm->flow, (int64_t)GRANT_CHARGE_MS * width);
	dm->flow->prepaid_slot_ms += (int64_t)GRANT_CHARGE_MS * width;
	return true;
}

void owner_take_over_grant(struct syc_dispatch *d, int64_t now,
			   struct target *t, const struct slot_busy *busy)
{
	struct issued_grant *g = owner_find_grant(d, busy->id);

	if (g || !busy->width || busy->width > TARGET_SLOTS_MAX)
		return;
	g = granted_new(d, t, busy->id, busy->holder, busy->width);
	g->is_expired = true;
	heap_set(&d->grant_timers, &g->timer, now + busy->left_ms);
}

static void expire(struct syc_dispatch *d, int64_t now)
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
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	expire(d, now);
	while ((l = table_next(&d->links, &pos, &h))) {
		if (now - l->request_received_at > DEMAND_TTL_MS)
			clear_wants(l);
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
