/*
 * The grant messages of an owner: new grants, quotas, and grants that are not
 * renewed.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"

static void add_new_grants(struct slot_grant *m, struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->issued_grants)
	{
		struct issued_grant *g = LIST_ITEM(n, struct issued_grant,
						   link_node);
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

static void add_quotas(struct slot_grant *m, const struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->demands)
	{
		struct demand *demand = LIST_ITEM(n, struct demand, link_node);
		struct slot_quota quota = {0};

		if (demand->quota == UINT32_MAX)
			continue;
		copy_text(quota.caller, sizeof(quota.caller),
			  demand->flow->caller->conf.name);
		quota.slots = demand->quota;
		buf_add(&m->quotas, &quota, sizeof(quota));
	}
}

void owner_send_grants(struct syc_dispatch *d, int64_t now, struct link *l)
{
	struct wire_out w;
	struct slot_grant m = {0};

	copy_text(m.service, sizeof(m.service), l->pool->conf.name);
	m.seq = ++l->grant_seq_sent;
	m.echo_seq = l->echo_seq;
	m.echo_sent_at = l->echo_sent_at;
	m.slots_free = l->pool->slots_free;
	m.not_renewed = l->not_renewed;
	add_new_grants(&m, l);
	add_quotas(&m, l);
	slot_grant_write(&w, &m);
	dispatch_send_message(d, l->peer, wire_bytes(&w));
	wire_free(&w);
	m.not_renewed.data = NULL;
	slot_grant_free(&m);
	l->is_reply_due = false;
	l->grant_sent_at = now;
}

void owner_send_due_grants(struct syc_dispatch *d, int64_t now)
{
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	while ((l = table_next(&d->links, &pos, &h)))
		if (l->is_reply_due && now - l->grant_sent_at >= GRANT_GAP_MS)
			owner_send_grants(d, now, l);
}
