/* What an owner tells its holders: fresh grants, bounds, what it dropped. */
#include "state/dispatch_state.h"
#include "util/alloc.h"

static void tell_fresh(struct slot_grant *m, struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->granted)
	{
		struct granted *g = LIST_ITEM(n, struct granted, in_link);
		struct slot_new s = {0};

		if (!g->fresh)
			continue;
		g->fresh = false;
		s.id = g->id;
		s.width = g->width;
		copy_name(s.target, sizeof(s.target), g->target->conf.name);
		copy_name(s.caller, sizeof(s.caller),
			  g->demand->flow->caller->conf.name);
		buf_add(&m->fresh, &s, sizeof(s));
	}
}

static void tell_bounds(struct slot_grant *m, const struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->demands)
	{
		struct demand *dm = LIST_ITEM(n, struct demand, in_link);
		struct slot_bound b = {0};

		if (dm->bound == UINT32_MAX)
			continue;
		copy_name(b.caller, sizeof(b.caller),
			  dm->flow->caller->conf.name);
		b.n = dm->bound;
		buf_add(&m->bounds, &b, sizeof(b));
	}
}

void owner_reply(struct syc_dispatch *d, int64_t now, struct link *l)
{
	struct wire_out w;
	struct slot_grant m = {0};

	copy_name(m.service, sizeof(m.service), l->pool->conf.name);
	m.number = ++l->number;
	m.echo_seq = l->echo_seq;
	m.echo_time = l->echo_time;
	m.free = l->pool->slots_free;
	m.dropped = l->dropped;
	tell_fresh(&m, l);
	tell_bounds(&m, l);
	slot_grant_write(&w, &m);
	dispatch_send(d, l->peer, wire_bytes(&w));
	wire_free(&w);
	m.dropped.data = NULL;
	slot_grant_free(&m);
	l->reply_due = false;
	l->told_at = now;
}

void owner_flush(struct syc_dispatch *d, int64_t now)
{
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	while ((l = table_next(&d->links, &pos, &h)))
		if (l->reply_due && now - l->told_at >= GRANT_GAP_MS)
			owner_reply(d, now, l);
}
