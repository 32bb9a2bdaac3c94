/*
 * The holder's part in slot grants: asks owners when tasks find no slot,
 * runs tasks on what was granted while the lease lasts, and gives back what
 * lies idle or is over its bound.
 */
#include <stdlib.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

struct holding *holder_holding(struct link *l, struct flow *f)
{
	struct list *n, *after;
	struct holding *hd;

	LIST_EACH(n, after, &l->holdings)
	{
		hd = LIST_ITEM(n, struct holding, in_link);
		if (hd->flow == f)
			return hd;
	}
	hd = xcalloc(1, sizeof(*hd));
	hd->link = l;
	hd->flow = f;
	hd->bound = UINT32_MAX;
	list_add(&l->holdings, &hd->in_link);
	return hd;
}

static void retag(struct held *h, struct flow *f)
{
	if (h->holding->flow == f)
		return;
	h->holding->n -= h->width;
	h->holding = holder_holding(h->link, f);
	h->holding->n += h->width;
}

bool holder_usable(const struct held *h, int64_t now)
{
	const struct target *t = h->target;

	if (h->dead || now >= h->expiry || h->holding->n > h->holding->bound)
		return false;
	return t->listed && !t->conf.leaving && t->state == TARGET_UP;
}

/* Gives a grant back to who gave it, and to who owns its target now. */
static void give_back(struct syc_dispatch *d, int64_t now, struct held *h)
{
	struct target *t = h->target;

	invariant(!h->send);
	buf_add(&h->link->returns, &h->id, sizeof(h->id));
	if (t->state != TARGET_UP || t->bad_ends)
		buf_add(&h->link->bad, &h->id, sizeof(h->id));
	slots_return(d, now, t, h->id, h->link->peer);
	h->holding->n -= h->width;
	h->link->n_held--;
	t->held--;
	list_remove(&h->in_link);
	list_remove(&h->idle);
	free(h);
}

void holder_use(struct syc_dispatch *d, struct held *h, struct flow *f,
		uint64_t send)
{
	invariant(!h->send && !h->dead);
	list_remove(&h->idle);
	retag(h, f);
	h->send = send;
}

void holder_idle(struct syc_dispatch *d, int64_t now, struct held *h)
{
	h->send = 0;
	h->idle_since = now;
	if (h->dead || now >= h->expiry)
		give_back(d, now, h);
	else
		list_add(&h->target->pool->idle, &h->idle);
}

/* Only handovers look a grant up by its id, so a search will do. */
struct held *holder_find(const struct syc_dispatch *d, const struct pool *p,
			 uint64_t id)
{
	struct list *n, *after;
	const struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	while ((l = table_next(&d->links, &pos, &h))) {
		if (l->pool != p)
			continue;
		LIST_EACH(n, after, &l->held)
		if (LIST_ITEM(n, struct held, in_link)->id == id)
			return LIST_ITEM(n, struct held, in_link);
	}
	return NULL;
}

static void take_fresh(struct syc_dispatch *d, int64_t now, struct link *l,
		       const struct slot_new *s, int64_t expiry)
{
	struct target *t = slots_find(l->pool, s->target);
	struct caller *c = dispatch_caller(d, s->caller);
	struct held *h;

	if (l->asked)
		l->asked--;
	/* A grant of a target that is ours now comes from before the map. */
	if (!t || t->owned || !c || !s->width || s->width > SLOTS_MAX) {
		buf_add(&l->returns, &s->id, sizeof(s->id));
		return;
	}
	h = xcalloc(1, sizeof(*h));
	h->id = s->id;
	h->link = l;
	h->target = t;
	h->width = s->width;
	h->learned = l->ask_seq;
	h->expiry = expiry;
	h->holding = holder_holding(l, flow_get(l->pool, c));
	h->holding->n += h->width;
	t->held++;
	l->n_held++;
	list_add(&l->held, &h->in_link);
	h->idle_since = now;
	list_add(&l->pool->idle, &h->idle);
}

static bool is_dropped(const struct slot_grant *m, uint64_t id)
{
	size_t i;

	for (i = 0; i < SLOT_COUNT(&m->dropped, uint64_t); i++)
		if (SLOT_LIST(&m->dropped, uint64_t)[i] == id)
			return true;
	return false;
}

/* Renews what the echoed ask named, but for what the owner dropped. */
static void renew(struct link *l, const struct slot_grant *m, int64_t expiry)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->held)
	{
		struct held *h = LIST_ITEM(n, struct held, in_link);

		if (h->learned >= m->echo_seq)
			continue;
		if (is_dropped(m, h->id))
			h->dead = true;
		else if (h->expiry < expiry)
			h->expiry = expiry;
	}
}

static void take_bounds(struct syc_dispatch *d, struct link *l,
			const struct slot_grant *m)
{
	struct list *n, *after;
	size_t i;

	LIST_EACH(n, after, &l->holdings)
	LIST_ITEM(n, struct holding, in_link)->bound = UINT32_MAX;
	for (i = 0; i < SLOT_COUNT(&m->bounds, struct slot_bound); i++) {
		const struct slot_bound *b;
		struct caller *c;

		b = &SLOT_LIST(&m->bounds, struct slot_bound)[i];
		c = dispatch_caller(d, b->caller);
		if (c)
			holder_holding(l, flow_get(l->pool, c))->bound = b->n;
	}
}

static void apply_grant(struct syc_dispatch *d, int64_t now, struct link *l,
			const struct slot_grant *m)
{
	int64_t expiry = m->echo_time + LEASE_MS;
	size_t i;

	l->seen = m->number;
	l->free_hint = m->free;
	renew(l, m, expiry);
	take_bounds(d, l, m);
	for (i = 0; i < SLOT_COUNT(&m->fresh, struct slot_new); i++)
		take_fresh(d, now, l, &SLOT_LIST(&m->fresh, struct slot_new)[i],
			   expiry);
}

bool holder_take_grant(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct syc_bytes msg)
{
	struct slot_grant m;
	struct pool *p;
	struct link *l;
	bool ok = slot_grant_read(msg, &m);

	p = ok ? dispatch_pool(d, m.service) : NULL;
	l = p ? link_find(d, p, from) : NULL;
	/* The echo of a time that is yet to come is no answer to us. */
	if (l && m.number > l->seen && m.echo_seq <= l->ask_seq &&
	    m.echo_time <= now) {
		apply_grant(d, now, l, &m);
		dispatch_pump(d, now, p);
	}
	slot_grant_free(&m);
	return ok;
}

static void return_slots(struct syc_dispatch *d, int64_t now, struct link *l)
{
	struct wire_out w;
	struct slot_return m = {0};

	copy_name(m.service, sizeof(m.service), l->pool->conf.name);
	m.seq = ++l->ask_seq;
	m.ids = l->returns;
	m.bad = l->bad;
	slot_return_write(&w, &m);
	dispatch_send(d, l->peer, wire_bytes(&w));
	wire_free(&w);
	l->returns.len = 0;
	l->bad.len = 0;
	l->returned_at = now;
	l->used_at = now;
}

static void return_idle(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct list *n, *after;

	LIST_EACH(n, after, &p->idle)
	{
		struct held *h = LIST_ITEM(n, struct held, idle);

		if (now - h->idle_since >= IDLE_RETURN_MS ||
		    !holder_usable(h, now))
			give_back(d, now, h);
	}
}

void holder_tick(struct syc_dispatch *d, int64_t now)
{
	struct pool *p;
	struct link *l;
	uint32_t pos;
	uint64_t h;

	for (pos = 0; (p = table_next(&d->pool_table, &pos, &h));)
		return_idle(d, now, p);
	for (pos = 0; (l = table_next(&d->links, &pos, &h));) {
		if (l->n_held && now - l->asked_at >= RENEW_MS)
			holder_ask(d, now, l);
		if (l->returns.len && now - l->returned_at >= RETURN_GAP_MS)
			return_slots(d, now, l);
	}
}
