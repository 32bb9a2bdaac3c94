/*
 * The holder's side of slot grants: receives and renews grants, lets tasks
 * start on granted slots until the lease ends, and returns grants that are idle
 * or exceed the quota. slot_request.c requests slots while tasks wait.
 */
#include <stdlib.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

struct holding *holder_get_holding(struct slot_peer *sp, struct flow *f)
{
	struct list *n, *after;
	struct holding *holding;

	LIST_EACH(n, after, &sp->holdings)
	{
		holding = LIST_ITEM(n, struct holding, peer_node);
		if (holding->flow == f)
			return holding;
	}
	holding = xcalloc(1, sizeof(*holding));
	holding->slot_peer = sp;
	holding->flow = f;
	holding->quota = UINT32_MAX;
	list_add(&sp->holdings, &holding->peer_node);
	return holding;
}

static void move_to_flow(struct held_grant *h, struct flow *f)
{
	if (h->holding->flow == f)
		return;
	h->holding->held_slots -= h->width;
	h->holding = holder_get_holding(h->slot_peer, f);
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

/* Returns a grant to its issuer and to the current owner of the target. */
static void return_grant(struct syc_dispatch *d, int64_t now,
			 struct held_grant *h)
{
	struct target *t = h->target;

	invariant(!h->send_id);
	buf_add(&h->slot_peer->returned_ids, &h->id, sizeof(h->id));
	if (t->state != TARGET_UP || t->consecutive_failures)
		buf_add(&h->slot_peer->failed_ids, &h->id, sizeof(h->id));
	slots_return_grant(d, now, t, h->id, h->slot_peer->peer);
	h->holding->held_slots -= h->width;
	h->slot_peer->n_held--;
	t->n_held--;
	list_remove(&h->peer_node);
	list_remove(&h->idle_node);
	free(h);
}

void holder_use_grant(struct syc_dispatch *d, struct held_grant *h,
		      struct flow *f, uint64_t send_id)
{
	invariant(!h->send_id && !h->is_revoked);
	list_remove(&h->idle_node);
	move_to_flow(h, f);
	h->send_id = send_id;
}

void holder_end_use(struct syc_dispatch *d, int64_t now, struct held_grant *h)
{
	h->send_id = 0;
	h->idle_since = now;
	if (h->is_revoked || now >= h->expires_at)
		return_grant(d, now, h);
	else
		list_add(&h->target->pool->idle_grants, &h->idle_node);
}

/* A linear search suffices, as only handovers look up a grant by its id. */
struct held_grant *holder_find_grant(const struct syc_dispatch *d,
				     const struct pool *p, uint64_t id)
{
	struct list *n, *after;
	const struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	while ((sp = table_next(&d->slot_peers, &pos, &h))) {
		if (sp->pool != p)
			continue;
		LIST_EACH(n, after, &sp->held_grants)
		if (LIST_ITEM(n, struct held_grant, peer_node)->id == id)
			return LIST_ITEM(n, struct held_grant, peer_node);
	}
	return NULL;
}

static void add_new_grant(struct syc_dispatch *d, int64_t now,
			  struct slot_peer *sp,
			  const struct slot_new_grant *grant,
			  int64_t expires_at)
{
	struct target *t = slots_find_target(sp->pool, grant->target);
	struct caller *c = dispatch_find_caller(d, grant->caller);
	struct held_grant *h;

	if (sp->requested_tasks)
		sp->requested_tasks--;
	/* A grant on a target owned here was issued under an old map. */
	if (!t || t->is_owned || !c || !grant->width ||
	    grant->width > TARGET_SLOTS_MAX) {
		buf_add(&sp->returned_ids, &grant->id, sizeof(grant->id));
		return;
	}
	h = xcalloc(1, sizeof(*h));
	h->id = grant->id;
	h->slot_peer = sp;
	h->target = t;
	h->width = grant->width;
	h->request_seq = sp->request_seq_sent;
	h->expires_at = expires_at;
	h->holding = holder_get_holding(sp, flow_get(sp->pool, c));
	h->holding->held_slots += h->width;
	t->n_held++;
	sp->n_held++;
	list_add(&sp->held_grants, &h->peer_node);
	h->idle_since = now;
	list_add(&sp->pool->idle_grants, &h->idle_node);
}

static bool is_not_renewed(const struct slot_grant *m, uint64_t id)
{
	size_t i;

	for (i = 0; i < SLOT_COUNT(&m->not_renewed, uint64_t); i++)
		if (SLOT_LIST(&m->not_renewed, uint64_t)[i] == id)
			return true;
	return false;
}

/*
 * Renews the grants that the echoed request named, except those that the owner
 * lists as not renewed.
 */
static void renew_grants(struct slot_peer *sp, const struct slot_grant *m,
			 int64_t expires_at)
{
	struct list *n, *after;

	LIST_EACH(n, after, &sp->held_grants)
	{
		struct held_grant *h = LIST_ITEM(n, struct held_grant,
						 peer_node);

		if (h->request_seq >= m->echo_seq)
			continue;
		if (is_not_renewed(m, h->id))
			h->is_revoked = true;
		else if (h->expires_at < expires_at)
			h->expires_at = expires_at;
	}
}

static void apply_quotas(struct syc_dispatch *d, struct slot_peer *sp,
			 const struct slot_grant *m)
{
	struct list *n, *after;
	size_t i;

	LIST_EACH(n, after, &sp->holdings)
	LIST_ITEM(n, struct holding, peer_node)->quota = UINT32_MAX;
	for (i = 0; i < SLOT_COUNT(&m->quotas, struct slot_quota); i++) {
		const struct slot_quota *quota;
		struct caller *c;

		quota = &SLOT_LIST(&m->quotas, struct slot_quota)[i];
		c = dispatch_find_caller(d, quota->caller);
		if (c)
			holder_get_holding(sp, flow_get(sp->pool, c))->quota =
				quota->slots;
	}
}

static void apply_grants(struct syc_dispatch *d, int64_t now,
			 struct slot_peer *sp, const struct slot_grant *m)
{
	int64_t expires_at = m->echo_sent_at + LEASE_MS;
	size_t i;

	sp->grant_seq_received = m->seq;
	sp->peer_slots_free = m->slots_free;
	renew_grants(sp, m, expires_at);
	apply_quotas(d, sp, m);
	for (i = 0; i < SLOT_COUNT(&m->new_grants, struct slot_new_grant); i++)
		add_new_grant(
			d, now, sp,
			&SLOT_LIST(&m->new_grants, struct slot_new_grant)[i],
			expires_at);
}

bool holder_receive_grants(struct syc_dispatch *d, int64_t now, uint64_t from,
			   struct syc_bytes msg)
{
	struct slot_grant m;
	struct pool *p;
	struct slot_peer *sp;
	bool ok = slot_grant_read(msg, &m);

	p = ok ? dispatch_find_pool(d, m.service) : NULL;
	sp = p ? slot_peer_find(d, p, from) : NULL;
	/* An echoed time in the future is not from this instance. */
	if (sp && m.seq > sp->grant_seq_received &&
	    m.echo_seq <= sp->request_seq_sent && m.echo_sent_at <= now) {
		apply_grants(d, now, sp, &m);
		schedule_pool(d, now, p);
	}
	slot_grant_free(&m);
	return ok;
}

static void send_return(struct syc_dispatch *d, int64_t now,
			struct slot_peer *sp)
{
	struct wire_out w;
	struct slot_return m = {0};

	copy_text(m.service, sizeof(m.service), sp->pool->conf.name);
	m.seq = ++sp->request_seq_sent;
	m.ids = sp->returned_ids;
	m.failed_ids = sp->failed_ids;
	slot_return_write(&w, &m);
	dispatch_send_message(d, sp->peer, wire_bytes(&w));
	wire_free(&w);
	sp->returned_ids.len = 0;
	sp->failed_ids.len = 0;
	sp->return_sent_at = now;
	sp->used_at = now;
}

static void return_idle_grants(struct syc_dispatch *d, int64_t now,
			       struct pool *p)
{
	struct list *n, *after;

	LIST_EACH(n, after, &p->idle_grants)
	{
		struct held_grant *h = LIST_ITEM(n, struct held_grant,
						 idle_node);

		if (now - h->idle_since >= IDLE_RETURN_MS ||
		    !holder_is_usable(h, now))
			return_grant(d, now, h);
	}
}

void holder_tick(struct syc_dispatch *d, int64_t now)
{
	struct pool *p;
	struct slot_peer *sp;
	uint32_t pos;
	uint64_t h;

	for (pos = 0; (p = table_next(&d->pool_table, &pos, &h));)
		return_idle_grants(d, now, p);
	for (pos = 0; (sp = table_next(&d->slot_peers, &pos, &h));) {
		if (sp->n_held &&
		    now - sp->request_sent_at >= RENEW_INTERVAL_MS)
			holder_send_request(d, now, sp);
		if (sp->returned_ids.len &&
		    now - sp->return_sent_at >= RETURN_GAP_MS)
			send_return(d, now, sp);
	}
}
