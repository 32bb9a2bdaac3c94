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

struct granted *owner_find(const struct syc_dispatch *d, uint64_t id)
{
	uint64_t val;

	if (!index_get(&d->granted, index_hash_number(id), &val))
		return NULL;
	return (struct granted *)(uintptr_t)val;
}

static struct granted *granted_new(struct syc_dispatch *d, struct target *t,
				   uint64_t id, uint64_t holder, uint32_t width)
{
	struct granted *g = xcalloc(1, sizeof(*g));

	g->id = id;
	g->holder = holder;
	g->target = t;
	g->width = width;
	index_put(&d->granted, index_hash_number(id), (uintptr_t)g);
	t->used += width;
	t->granted += width;
	slots_update(d, t);
	return g;
}

static void demand_count(struct granted *g, int32_t n)
{
	if (!g->demand)
		return;
	g->demand->held += (uint32_t)n;
	g->demand->flow->granted += (uint32_t)n;
}

void owner_release(struct syc_dispatch *d, struct granted *g)
{
	struct target *t = g->target;

	invariant(t->used >= g->width && t->granted >= g->width);
	demand_count(g, -(int32_t)g->width);
	heap_remove(&d->grant_timers, &g->timer);
	list_remove(&g->in_link);
	if (g->link)
		g->link->n_granted--;
	index_del(&d->granted, index_hash_number(g->id));
	t->used -= g->width;
	t->granted -= g->width;
	slots_update(d, t);
	free(g);
}

/* The holder's own account of time may run ahead of ours by the slack. */
static void lease(struct syc_dispatch *d, int64_t now, struct granted *g)
{
	g->lapsed = false;
	g->limit_ms = g->link->limit_ms;
	if (g->limit_ms < g->target->pool->limit_ms)
		g->limit_ms = g->target->pool->limit_ms;
	heap_set(&d->grant_timers, &g->timer, now + LEASE_MS + LEASE_SLACK_MS);
}

static struct demand *demand_get(struct link *l, struct flow *f)
{
	struct list *n, *after;
	struct demand *dm;

	LIST_EACH(n, after, &l->demands)
	{
		dm = LIST_ITEM(n, struct demand, in_link);
		if (dm->flow == f)
			return dm;
	}
	dm = xcalloc(1, sizeof(*dm));
	dm->link = l;
	dm->flow = f;
	dm->bound = UINT32_MAX;
	list_add(&l->demands, &dm->in_link);
	list_add(&f->demands, &dm->in_flow);
	return dm;
}

static void set_want(struct demand *dm, uint32_t want)
{
	if (want > SLOT_IDS_MAX)
		want = SLOT_IDS_MAX;
	dm->flow->wanted = dm->flow->wanted - dm->want + want;
	dm->want = want;
	flow_wanted(dm->flow);
}

static void clear_wants(struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->demands)
	set_want(LIST_ITEM(n, struct demand, in_link), 0);
}

void owner_peer_gone(struct syc_dispatch *d, struct link *l)
{
	clear_wants(l);
	l->reply_due = false;
}

/* The demands by place in the ask; NULL for a caller not known here. */
static struct demand **take_wants(struct syc_dispatch *d, struct link *l,
				  const struct slot_ask *m)
{
	size_t i, n = SLOT_COUNT(&m->wants, struct slot_want);
	struct demand **by_place = xcalloc(n, sizeof(struct demand *));

	for (i = 0; i < n; i++) {
		const struct slot_want *w;
		struct caller *c;

		w = &SLOT_LIST(&m->wants, struct slot_want)[i];
		c = dispatch_caller(d, w->caller);
		if (!c)
			continue;
		by_place[i] = demand_get(l, flow_get(l->pool, c));
		by_place[i]->cpus = w->cpus;
		by_place[i]->memory_mb = w->memory_mb;
		by_place[i]->accelerators = w->accelerators;
		set_want(by_place[i], w->want);
	}
	return by_place;
}

/* Renews what the holder named and still has from us. */
static void renew(struct syc_dispatch *d, int64_t now, struct link *l,
		  const struct slot_held *h, struct demand *dm)
{
	struct granted *g = owner_find(d, h->id);

	if (!g || g->link != l || !g->target->owned) {
		buf_add(&l->dropped, &h->id, sizeof(h->id));
		if (g && g->link == l)
			g->seen = true;
		return;
	}
	g->seen = true;
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

	LIST_EACH(n, after, &l->granted)
	{
		struct granted *g = LIST_ITEM(n, struct granted, in_link);

		if (!g->seen && !g->fresh && g->number <= told)
			owner_release(d, g);
		else
			g->seen = false;
	}
}

static void apply_ask(struct syc_dispatch *d, int64_t now, struct link *l,
		      const struct slot_ask *m)
{
	struct demand **by_place;
	size_t i;

	l->last_seq = l->echo_seq = m->seq;
	l->echo_time = m->time;
	l->heard_at = now;
	l->limit_ms = m->limit_ms < TIME_LIMIT_MAX_MS ? m->limit_ms
						      : TIME_LIMIT_MAX_MS;
	l->dropped.len = 0;
	clear_wants(l);
	by_place = take_wants(d, l, m);
	for (i = 0; i < SLOT_COUNT(&m->held, struct slot_held); i++) {
		const struct slot_held *h;

		h = &SLOT_LIST(&m->held, struct slot_held)[i];
		renew(d, now, l, h, by_place[h->want]);
	}
	reconcile(d, l, m->seen);
	l->reply_due = l->reply_due || m->held.len || m->wants.len ||
		       l->n_granted;
	free(by_place);
}

bool owner_take_ask(struct syc_dispatch *d, int64_t now, uint64_t from,
		    struct syc_bytes msg)
{
	struct slot_ask m;
	struct pool *p;
	struct link *l;
	bool ok = slot_ask_read(msg, &m);

	p = ok ? dispatch_pool(d, m.service) : NULL;
	l = p ? link_get(d, now, p, from) : NULL;
	if (l && m.seq > l->last_seq) {
		apply_ask(d, now, l, &m);
		dispatch_pump(d, now, p);
		if (l->reply_due)
			owner_reply(d, now, l);
	}
	slot_ask_free(&m);
	return ok;
}

bool owner_take_return(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct syc_bytes msg)
{
	struct slot_return m;
	struct pool *p;
	bool ok = slot_return_read(msg, &m);
	size_t i;

	p = ok ? dispatch_pool(d, m.service) : NULL;
	for (i = 0; p && i < SLOT_COUNT(&m.bad, uint64_t); i++) {
		struct granted *g;

		g = owner_find(d, SLOT_LIST(&m.bad, uint64_t)[i]);
		if (g && g->holder == from)
			health_bad(d, now, g->target);
	}
	for (i = 0; p && i < SLOT_COUNT(&m.ids, uint64_t); i++) {
		struct granted *g;

		g = owner_find(d, SLOT_LIST(&m.ids, uint64_t)[i]);
		if (!g || g->holder != from)
			continue;
		health_probed(d, g->target);
		owner_release(d, g);
	}
	if (p)
		dispatch_pump(d, now, p);
	slot_return_free(&m);
	return ok;
}

/* The lowest part of what it wants, so that no peer is passed over. */
struct demand *owner_next(const struct flow *f)
{
	struct demand *best = NULL;
	struct list *n, *after;

	LIST_EACH(n, after, &f->demands)
	{
		struct demand *dm = LIST_ITEM(n, struct demand, in_flow);

		if (!dm->want || dm->held >= dm->bound)
			continue;
		if (!best ||
		    (uint64_t)dm->held * (best->held + best->want) <
			    (uint64_t)best->held * (dm->held + dm->want))
			best = dm;
	}
	return best;
}

bool owner_grant(struct syc_dispatch *d, int64_t now, struct demand *dm)
{
	struct task needs = {0};
	struct link *l = dm->link;
	struct granted *g;
	struct target *t;
	uint32_t width;

	needs.cpus = dm->cpus;
	needs.memory_mb = dm->memory_mb;
	needs.accelerators = dm->accelerators;
	t = placement_pick(d, l->pool, &needs, &width);
	if (!t)
		return false;
	invariant(t->used + width <= t->slots);
	g = granted_new(d, t, rng_next(&d->rng), l->peer, width);
	g->link = l;
	g->demand = dm;
	g->fresh = true;
	l->reply_due = true;
	g->number = l->number + 1;
	list_add(&l->granted, &g->in_link);
	l->n_granted++;
	demand_count(g, (int32_t)width);
	lease(d, now, g);
	set_want(dm, dm->want - 1);
	flow_charge(dm->flow, (int64_t)GRANT_CHARGE_MS * width);
	dm->flow->prepaid_ms += (int64_t)GRANT_CHARGE_MS * width;
	return true;
}

void owner_adopt(struct syc_dispatch *d, int64_t now, struct target *t,
		 const struct slot_busy *busy)
{
	struct granted *g = owner_find(d, busy->id);

	if (g || !busy->width || busy->width > SLOTS_MAX)
		return;
	g = granted_new(d, t, busy->id, busy->holder, busy->width);
	g->lapsed = true;
	heap_set(&d->grant_timers, &g->timer, now + busy->left_ms);
}

static void expire(struct syc_dispatch *d, int64_t now)
{
	struct heap_node *n;

	while ((n = heap_top(&d->grant_timers)) && n->key <= now) {
		struct granted *g = HEAP_ITEM(n, struct granted, timer);

		if (g->lapsed) {
			owner_release(d, g);
			continue;
		}
		g->lapsed = true;
		heap_set(&d->grant_timers, &g->timer,
			 n->key + g->limit_ms + LIMIT_SLACK_MS);
	}
}

void owner_tick(struct syc_dispatch *d, int64_t now)
{
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	expire(d, now);
	while ((l = table_next(&d->links, &pos, &h))) {
		if (now - l->heard_at > WANT_TTL_MS)
			clear_wants(l);
	}
}

void owner_free(struct syc_dispatch *d)
{
	size_t i;

	for (i = 0; i < d->grant_timers.n; i++)
		free(HEAP_ITEM(d->grant_timers.at[i], struct granted, timer));
	heap_free(&d->grant_timers);
	index_free(&d->granted);
}
