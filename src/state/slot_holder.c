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

struct holding *holder_get_holding(struct link *l, struct flow *f)
{
	struct list *n, *after;
	struct holding *hd;

	LIST_EACH(n, after, &l->holdings)
	{
		hd = LIST_ITEM(n, struct holding, link_node);
		if (hd->flow == f)
			return hd;
	}
	hd = xcalloc(1, sizeof(*hd));
	hd->link = l;
	hd->flow = f;
	hd->quota = UINT32_MAX;
	list_add(&l->holdings, &hd->link_node);
	return hd;
}

static void retag(struct held_grant *h, struct flow *f)
{
	if (h->holding->flow == f)
		return;
	h->holding->held_slots -= h->width;
	h->holding = holder_get_holding(h->link, f);
	h->holding->held_slots += h->width;
}

bool holder_is_usable(const struct held_grant *h, int64_t now)
{
	const struct target *t = h->target;

	if (h->is_revoked || now >= h->expires_at ||
	    h->holding->held_slots > h->holding->quota)
		return false;
	return t->is_listed && !t->conf.leaving && t->state == TARGET_UP;
}

/* Gives a grant back to who gave it, and to who owns its target now. */
static void give_back(struct syc_dispatch *d, int64_t now, struct held_grant *h)
{
	struct target *t = h->target;

	invariant(!h->send_id);
	buf_add(&h->link->returned_ids, &h->id, sizeof(h->id));
	if (t->state != TARGET_UP || t->consecutive_failures)
		buf_add(&h->link->failed_ids, &h->id, sizeof(h->id));
	slots_return_id(d, now, t, h->id, h->link->peer);
	h->holding->held_slots -= h->width;
	h->link->n_held--;
	t->n_held--;
	list_remove(&h->link_node);
	list_remove(&h->idle_node);
	free(h);
}

void holder_use_grant(struct syc_dispatch *d, struct held_grant *h,
		      struct flow *f, uint64_t send)
{
	invariant(!h->send_id && !h->is_revoked);
	list_remove(&h->idle_node);
	retag(h, f);
	h->send_id = send;
}

void holder_idle_grant(struct syc_dispatch *d, int64_t now,
		       struct held_grant *h)
{
	h->send_id = 0;
	h->idle_since = now;
	if (h->is_revoked || now >= h->expires_at)
		give_back(d, now, h);
	else
		list_add(&h->target->pool->idle_grants, &h->idle_node);
}

/* Only handovers look a grant up by its id, so a search will do. */
struct held_grant *holder_find_grant(const struct syc_dispatch *d,
				     const struct pool *p, uint64_t id)
{
	struct list *n, *after;
	const struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	while ((l = table_next(&d->links, &pos, &h))) {
		if (l->pool != p)
			continue;
		LIST_EACH(n, after, &l->held_grants)
		if (LIST_ITEM(n, struct held_grant, link_node)->id == id)
			return LIST_ITEM(n, struct held_grant, link_node);
	}
	return NULL;
}

static void take_fresh(struct syc_dispatch *d, int64_t now, struct link *l,
		       const struct slot_new_grant *s, int64_t expiry)
{
	struct target *t = slots_find_target(l->pool, s->target);
	struct caller *c = dispatch_find_caller(d, s->caller);
	struct held_grant *h;

	if (l->requested_tasks)
		l->requested_tasks--;
	/* A grant of a target that is ours now comes from before the map. */
	if (!t || t->is_owned || !c || !s->width ||
	    s->width > TARGET_SLOTS_MAX) {
		buf_add(&l->returned_ids, &s->id, sizeof(s->id));
		return;
	}
	h = xcalloc(1, sizeof(*h));
	h->id = s->id;
	h->link = l;
	h->target = t;
	h->width = s->width;
	h->request_seq = l->request_seq_sent;
	h->expires_at = expiry;
	h->holding = holder_get_holding(l, flow_get(l->pool, c));
	h->holding->held_slots += h->width;
	t->n_held++;
	l->n_held++;
	list_add(&l->held_grants, &h->link_node);
	h->idle_since = now;
	list_add(&l->pool->idle_grants, &h->idle_node);
}

static bool is_dropped(const struct slot_grant *m, uint64_t id)
{
	size_t i;

	for (i = 0; i < SLOT_COUNT(&m->not_renewed, uint64_t); i++)
		if (SLOT_LIST(&m->not_renewed, uint64_t)[i] == id)
			return true;
	return false;
}

/* Renews what the echoed ask named, but for what the owner dropped. */
static void renew(struct link *l, const struct slot_grant *m, int64_t expiry)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->held_grants)
	{
		struct held_grant *h = LIST_ITEM(n, struct held_grant,
						 link_node);

		if (h->request_seq >= m->echo_seq)
			continue;
		if (is_dropped(m, h->id))
			h->is_revoked = true;
		else if (h->expires_at < expiry)
			h->expires_at = expiry;
	}
}

static void take_bounds(struct syc_dispatch *d, struct link *l,
			const struct slot_grant *m)
{
	struct list *n, *after;
	size_t i;

	LIST_EACH(n, after, &l->holdings)
	LIST_ITEM(n, struct holding, link_node)->quota = UINT32_MAX;
	for (i = 0; i < SLOT_COUNT(&m->quotas, struct slot_quota); i++) {
		const struct slot_quota *b;
		struct caller *c;

		b = &SLOT_LIST(&m->quotas, struct slot_quota)[i];
		c = dispatch_find_caller(d, b->caller);
		if (c)
			holder_get_holding(l, flow_get(l->pool, c))->quota =
				b->slots;
	}
}

static void apply_grant(struct syc_dispatch *d, int64_t now, struct link *l,
			const struct slot_grant *m)
{
	int64_t expiry = m->echo_sent_at + LEASE_MS;
	size_t i;

	l->grant_seq_received = m->seq;
	l->peer_slots_free = m->slots_free;
	renew(l, m, expiry);
	take_bounds(d, l, m);
	for (i = 0; i < SLOT_COUNT(&m->new_grants, struct slot_new_grant); i++)
		take_fresh(d, now, l,
			   &SLOT_LIST(&m->new_grants, struct slot_new_grant)[i],
			   expiry);
}

bool holder_receive_grants(struct syc_dispatch *d, int64_t now, uint64_t from,
			   struct syc_bytes msg)
{
	struct slot_grant m;
	struct pool *p;
	struct link *l;
	bool ok = slot_grant_read(msg, &m);

	p = ok ? dispatch_find_pool(d, m.service) : NULL;
	l = p ? link_find(d, p, from) : NULL;
	/* The echo of a time that is yet to come is no answer to us. */
	if (l && m.seq > l->grant_seq_received &&
	    m.echo_seq <= l->request_seq_sent && m.echo_sent_at <= now) {
		apply_grant(d, now, l, &m);
		schedule_pool(d, now, p);
	}
	slot_grant_free(&m);
	return ok;
}

static void return_slots(struct syc_dispatch *d, int64_t now, struct link *l)
{
	struct wire_out w;
	struct slot_return m = {0};

	copy_name(m.service, sizeof(m.service), l->pool->conf.name);
	m.seq = ++l->request_seq_sent;
	m.ids = l->returned_ids;
	m.failed_ids = l->failed_ids;
	slot_return_write(&w, &m);
	dispatch_send_message(d, l->peer, wire_bytes(&w));
	wire_end(&w);
	l->returned_ids.len = 0;
	l->failed_ids.len = 0;
	l->return_sent_at = now;
	l->used_at = now;
}

static void return_idle(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct list *n, *after;

	LIST_EACH(n, after, &p->idle_grants)
	{
		struct held_grant *h = LIST_ITEM(n, struct held_grant,
						 idle_node);

		if (now - h->idle_since >= IDLE_RETURN_MS ||
		    !holder_is_usable(h, now))
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
		if (l->n_held && now - l->request_sent_at >= RENEW_INTERVAL_MS)
			holder_send_request(d, now, l);
		if (l->returned_ids.len &&
		    now - l->return_sent_at >= RETURN_GAP_MS)
			return_slots(d, now, l);
	}
}
