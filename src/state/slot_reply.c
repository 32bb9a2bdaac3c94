/*
 * The grant messages of an owner: new grants, quotas, and grants that are not
 * renewed.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"

static void add_new_grants(struct slot_grant *m, struct slot_peer *sp)
{
	struct list *n, *after;

	LIST_EACH(n, after, &sp->issued_grants)
	{
		struct issued_grant *g = LIST_ITEM(n, struct issued_grant,
						   peer_node);
		struct slot_new_grant grant = {0};

		if (!g->is_unsent)
			continue;
		g->is_unsent = false;
		grant.id = g->id;
		grant.width = g->width;
		copy_text(grant.target, sizeof(grant.target),
			  g->target->conf.name);
		copy_text(grant.caller, sizeof(grant.caller),
			  g->demand->flow->caller->conf.name);
		buf_add(&m->new_grants, &grant, sizeof(grant));
	}
}

static void add_quotas(struct slot_grant *m, const struct slot_peer *sp)
{
	struct list *n, *after;

	LIST_EACH(n, after, &sp->demands)
	{
		struct demand *demand = LIST_ITEM(n, struct demand, peer_node);
		struct slot_quota quota = {0};

		if (demand->quota == UINT32_MAX)
			continue;
		copy_text(quota.caller, sizeof(quota.caller),
			  demand->flow->caller->conf.name);
		quota.slots = demand->quota;
		buf_add(&m->quotas, &quota, sizeof(quota));
	}
}

void owner_send_grants(struct syc_dispatch *d, int64_t now,
		       struct slot_peer *sp)
{
	struct wire_out w;
	struct slot_grant m = {0};

	copy_text(m.service, sizeof(m.service), sp->pool->conf.name);
	m.seq = ++sp->grant_seq_sent;
	m.echo_seq = sp->echo_seq;
	m.echo_sent_at = sp->echo_sent_at;
	m.slots_free = sp->pool->slots_free;
	m.not_renewed = sp->not_renewed;
	add_new_grants(&m, sp);
	add_quotas(&m, sp);
	slot_grant_write(&w, &m);
	dispatch_send_message(d, sp->peer, wire_bytes(&w));
	wire_free(&w);
	m.not_renewed.data = NULL;
	slot_grant_free(&m);
	sp->is_reply_due = false;
	sp->grant_sent_at = now;
}

void owner_send_due_grants(struct syc_dispatch *d, int64_t now)
{
	struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	while ((sp = table_next(&d->slot_peers, &pos, &h)))
		if (sp->is_reply_due && now - sp->grant_sent_at >= GRANT_GAP_MS)
			owner_send_grants(d, now, sp);
}
