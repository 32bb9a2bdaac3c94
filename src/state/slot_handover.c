/*
 * Targets that change their owner. A new owner uses nothing until it knows
 * what is busy, so it asks every instance that it knows. The owner before
 * has stopped granting and lists what is busy. A witness says for how long
 * the grants of an owner that it saw before may still be in use. Without an
 * answer the new owner waits that time out from its own knowledge.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"

static int64_t window_ms(const struct pool *p)
{
	return MAP_SPREAD_MS + LEASE_MS + LEASE_SLACK_MS + p->limit_ms +
	       LIMIT_SLACK_MS;
}

/* Until when an owner before us may have left slots in use. */
static int64_t doubt_until(const struct target *t)
{
	int64_t from = t->prev_owner ? t->owner_since : t->known_from;

	return from + window_ms(t->pool);
}

static void acquire(struct syc_dispatch *d, int64_t now, struct target *t)
{
	int64_t until = doubt_until(t);

	t->unsure_until = 0;
	if (until <= now)
		return;
	t->unsure_until = until;
	t->pool->n_unsure++;
}

void handover_owner(struct syc_dispatch *d, int64_t now, struct target *t,
		    uint64_t owner)
{
	if (t->owner == owner)
		return;
	if (t->owned && t->unsure_until)
		t->pool->n_unsure--;
	if (t->owner) {
		t->prev_owner = t->owner;
		d->owners_at = now;
		d->first_map = false;
	}
	t->owner = owner;
	t->owner_since = now;
	t->owned = owner == d->opt.self;
	if (t->owned)
		acquire(d, now, t);
}

static void settle(struct syc_dispatch *d, struct target *t)
{
	t->unsure_until = 0;
	t->pool->n_unsure--;
	slots_update(d, t);
}

/* Collects the targets that we are not sure of; settles those that are due. */
static void collect(struct syc_dispatch *d, int64_t now, struct pool *p,
		    struct slot_handover_ask *m)
{
	struct target *t;
	uint32_t pos = 0;
	uint64_t h;

	while ((t = table_next(&p->targets, &pos, &h))) {
		struct slot_name name = {0};

		if (!t->owned || !t->unsure_until)
			continue;
		if (now >= t->unsure_until) {
			settle(d, t);
			continue;
		}
		if (SLOT_COUNT(&m->targets, struct slot_name) ==
		    SLOT_TARGETS_MAX)
			continue;
		copy_name(name.name, sizeof(name.name), t->conf.name);
		buf_add(&m->targets, &name, sizeof(name));
	}
}

static void ask_all(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct slot_handover_ask m = {0};
	struct wire_out w;
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	copy_name(m.service, sizeof(m.service), p->conf.name);
	m.nonce = d->handover_nonce;
	collect(d, now, p, &m);
	slot_handover_ask_write(&w, &m);
	while (m.targets.len && (l = table_next(&d->links, &pos, &h)))
		if (l->pool == p)
			dispatch_send(d, l->peer, wire_bytes(&w));
	wire_free(&w);
	slot_handover_ask_free(&m);
}

void handover_tick(struct syc_dispatch *d, int64_t now)
{
	struct pool *p;
	uint32_t pos = 0;
	uint64_t h;

	if (now - d->handover_at < HANDOVER_RETRY_MS)
		return;
	d->handover_at = now;
	while ((p = table_next(&d->pool_table, &pos, &h)))
		if (p->n_unsure)
			ask_all(d, now, p);
}

static uint32_t left_ms(int64_t until, int64_t now)
{
	return until > now ? (uint32_t)(until - now) : 0;
}

/* Lists `t` in the answer; returns whether its busy slots belong there. */
static bool answer_target(struct syc_dispatch *d, int64_t now, uint64_t from,
			  const struct target *t, struct slot_handover *m)
{
	struct slot_handed handed = {0};

	if (t->owner != from)
		return false;
	copy_name(handed.name, sizeof(handed.name), t->conf.name);
	handed.sure = t->prev_owner == d->opt.self;
	handed.unsure_ms = left_ms(
		handed.sure ? t->unsure_until : doubt_until(t), now);
	buf_add(&m->targets, &handed, sizeof(handed));
	return handed.sure;
}

static void add_busy(struct slot_handover *m, const struct target *t,
		     uint64_t id, uint64_t holder, uint32_t width,
		     uint32_t left)
{
	struct slot_busy b = {0};

	b.id = id;
	b.holder = holder;
	b.target = t->place;
	b.width = width;
	b.left_ms = left;
	buf_add(&m->busy, &b, sizeof(b));
}

/* Sends of our own that still run there; each gets an id to return. */
static void answer_sends(struct syc_dispatch *d, int64_t now,
			 struct slot_handover *m)
{
	struct send *s;
	uint32_t pos = 0;
	uint64_t h;

	while ((s = table_next(&d->sends, &pos, &h))) {
		if (s->held || !s->target->place_set)
			continue;
		if (!s->cover)
			s->cover = rng_next(&d->rng);
		add_busy(m, s->target, s->cover, d->opt.self, s->width,
			 left_ms(s->limit + LIMIT_SLACK_MS, now));
	}
}

static void answer_granted(struct syc_dispatch *d, int64_t now,
			   struct slot_handover *m)
{
	size_t i;

	/* Every grant has its timer, so the heap lists them all. */
	for (i = 0; i < d->grant_timers.n; i++) {
		const struct granted *g;
		int64_t until;

		g = HEAP_ITEM(d->grant_timers.at[i], struct granted, timer);
		if (!g->target->place_set)
			continue;
		until = g->timer.key +
			(g->lapsed ? 0 : g->limit_ms + LIMIT_SLACK_MS);
		add_busy(m, g->target, g->id, g->holder, g->width,
			 left_ms(until, now));
	}
}

static void answer(struct syc_dispatch *d, int64_t now, uint64_t from,
		   struct pool *p, const struct slot_handover_ask *ask,
		   struct slot_handover *m)
{
	size_t i, n = SLOT_COUNT(&ask->targets, struct slot_name);
	struct target *t;

	for (i = 0; i < n; i++) {
		t = slots_find(
			p, SLOT_LIST(&ask->targets, struct slot_name)[i].name);
		if (!t || !answer_target(d, now, from, t, m))
			continue;
		t->place = (uint32_t)SLOT_COUNT(&m->targets,
						struct slot_handed) -
			   1;
		t->place_set = true;
	}
	answer_sends(d, now, m);
	answer_granted(d, now, m);
	for (i = 0; i < n; i++) {
		t = slots_find(
			p, SLOT_LIST(&ask->targets, struct slot_name)[i].name);
		if (t)
			t->place_set = false;
	}
}

bool handover_take_ask(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct syc_bytes msg)
{
	struct slot_handover_ask ask;
	struct slot_handover m = {0};
	struct wire_out w;
	struct pool *p;
	bool ok = slot_handover_ask_read(msg, &ask);

	p = ok ? dispatch_pool(d, ask.service) : NULL;
	if (p)
		answer(d, now, from, p, &ask, &m);
	if (m.targets.len &&
	    SLOT_COUNT(&m.busy, struct slot_busy) <= SLOT_IDS_MAX) {
		copy_name(m.service, sizeof(m.service), p->conf.name);
		m.nonce = ask.nonce;
		slot_handover_write(&w, &m);
		dispatch_send(d, from, wire_bytes(&w));
		wire_free(&w);
	}
	slot_handover_free(&m);
	slot_handover_ask_free(&ask);
	return ok;
}

/* What any one instance is sure of holds. */
static void take_target(struct syc_dispatch *d, int64_t now, struct target *t,
			const struct slot_handed *handed)
{
	int64_t until = now + handed->unsure_ms;

	if (!handed->unsure_ms)
		settle(d, t);
	else if (until < t->unsure_until)
		t->unsure_until = until;
}

/* Busy slots count before the target is settled. */
static void take_busy(struct syc_dispatch *d, int64_t now, struct pool *p,
		      const struct slot_handover *m, const struct slot_busy *b)
{
	const struct slot_handed *handed;
	struct target *t;

	handed = &SLOT_LIST(&m->targets, struct slot_handed)[b->target];
	t = slots_find(p, handed->name);
	if (!t || !t->owned || !t->unsure_until || !handed->sure)
		return;
	/* A send of ours that we gave an id is counted here already. */
	if (b->holder == d->opt.self && !holder_find(d, p, b->id))
		return;
	owner_adopt(d, now, t, b);
}

bool handover_take(struct syc_dispatch *d, int64_t now, uint64_t from,
		   struct syc_bytes msg)
{
	struct slot_handover m;
	struct pool *p;
	size_t i;
	bool ok = slot_handover_read(msg, &m);

	p = ok ? dispatch_pool(d, m.service) : NULL;
	if (p && m.nonce == d->handover_nonce) {
		for (i = 0; i < SLOT_COUNT(&m.busy, struct slot_busy); i++)
			take_busy(d, now, p, &m,
				  &SLOT_LIST(&m.busy, struct slot_busy)[i]);
		for (i = 0; i < SLOT_COUNT(&m.targets, struct slot_handed);
		     i++) {
			const struct slot_handed *handed;
			struct target *t;

			handed = &SLOT_LIST(&m.targets, struct slot_handed)[i];
			t = slots_find(p, handed->name);
			if (t && t->owned && t->unsure_until)
				take_target(d, now, t, handed);
		}
		dispatch_pump(d, now, p);
	}
	slot_handover_free(&m);
	return ok;
}
