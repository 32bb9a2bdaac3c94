/*
 * What a holder asks of owners: its asks state all that it has and wants,
 * and what waits is spread over a few owners.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"

static void state_wants(struct slot_ask *m, const struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->holdings)
	{
		struct holding *hd = LIST_ITEM(n, struct holding, in_link);
		struct job *j = flow_first(hd->flow);
		struct slot_want w = {0};

		hd->place = UINT32_MAX;
		if (!hd->n && !hd->want)
			continue;
		hd->place = (uint32_t)SLOT_COUNT(&m->wants, struct slot_want);
		copy_name(w.caller, sizeof(w.caller),
			  hd->flow->caller->conf.name);
		w.want = hd->want;
		if (j) {
			const struct task *t = &j->tasks[j->first_waiting - 1];

			w.cpus = t->cpus;
			w.memory_mb = t->memory_mb;
			w.accelerators = t->accelerators;
		}
		buf_add(&m->wants, &w, sizeof(w));
	}
}

static void state_held(struct slot_ask *m, const struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->held)
	{
		const struct held *h = LIST_ITEM(n, struct held, in_link);
		struct slot_held s = {h->id, h->holding->place};

		buf_add(&m->held, &s, sizeof(s));
	}
}

void holder_ask(struct syc_dispatch *d, int64_t now, struct link *l)
{
	struct wire_out w;
	struct slot_ask m = {0};

	copy_name(m.service, sizeof(m.service), l->pool->conf.name);
	m.seq = ++l->ask_seq;
	m.seen = l->seen;
	m.time = now;
	m.limit_ms = l->pool->limit_ms;
	state_wants(&m, l);
	state_held(&m, l);
	slot_ask_write(&w, &m);
	dispatch_send(d, l->peer, wire_bytes(&w));
	wire_free(&w);
	slot_ask_free(&m);
	l->asked_at = now;
	l->used_at = now;
	l->ask_due = false;
}

/* Gives link `l` its part of what is left to want; returns the rest. */
static uint64_t want_of_link(struct link *l, struct flow *f, uint64_t left,
			     uint64_t *weights)
{
	uint64_t part = (left * l->weight + *weights - 1) / *weights;

	*weights -= l->weight;
	if (!part)
		return left;
	holder_holding(l, f)->want = (uint32_t)part;
	l->asked += (uint32_t)part;
	l->ask_due = true;
	return left - part;
}

/*
 * Spreads the waiting tasks of `f` over the owners by weight, from a random
 * one on, as a small want goes to the first alone.
 */
static void want_of_flow(struct syc_dispatch *d, struct pool *p, struct flow *f,
			 uint64_t weights)
{
	uint64_t left = f->ready.pos ? f->waiting : 0, h;
	uint32_t first = (uint32_t)rng_below(&d->rng, d->links.cap);
	uint32_t pos = first;
	bool wrapped = false;
	struct link *l;

	while (left && weights) {
		l = table_next(&d->links, &pos, &h);
		if (!l && wrapped)
			return;
		if (!l) {
			wrapped = true;
			pos = 0;
		} else if (l->pool == p && l->weight) {
			left = want_of_link(l, f, left, &weights);
		}
	}
}

static void clear_weights(struct syc_dispatch *d, const struct pool *p)
{
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	while ((l = table_next(&d->links, &pos, &h)))
		if (l->pool == p)
			l->weight = 0;
}

/*
 * Weighs owners from a random one on: by what they have left until that is
 * enough, or a few by their size, which serve the want as slots come free.
 */
static uint64_t choose_owners(struct syc_dispatch *d, struct pool *p,
			      bool by_free)
{
	uint32_t pos = (uint32_t)rng_below(&d->rng, d->links.cap);
	uint64_t sum = 0, h;
	int laps = 0, n = 0;
	struct link *l;

	clear_weights(d, p);
	while (laps < 2 && (by_free ? sum < p->waiting : n < OWNERS_ASKED)) {
		l = table_next(&d->links, &pos, &h);
		if (!l) {
			laps++;
			pos = 0;
		} else if (l->pool == p && !l->weight) {
			l->weight = by_free ? l->free_hint : l->slots;
			sum += l->weight;
			n += l->weight > 0;
		}
	}
	return sum;
}

/* Whether owners are asked by what they have left depends on the sum. */
static uint64_t weigh_owners(struct syc_dispatch *d, struct pool *p)
{
	uint64_t free = 0;
	struct link *l;
	uint32_t pos;
	uint64_t h;

	for (pos = 0; (l = table_next(&d->links, &pos, &h));) {
		if (l->pool != p)
			continue;
		if (l->free_hint > l->slots)
			l->free_hint = l->slots;
		free += l->free_hint;
	}
	return choose_owners(d, p, free >= p->waiting);
}

static void clear_asked(struct syc_dispatch *d, const struct pool *p)
{
	struct list *n, *after;
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	while ((l = table_next(&d->links, &pos, &h))) {
		if (l->pool != p)
			continue;
		l->asked = 0;
		LIST_EACH(n, after, &l->holdings)
		LIST_ITEM(n, struct holding, in_link)->want = 0;
	}
}

void holder_want(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct link *l;
	uint64_t weights, h;
	struct flow *f;
	uint32_t pos = 0;

	if (now - p->wanted_at <
	    (p->waiting > p->wanted_tasks ? ASK_GAP_MS : WANT_MS))
		return;
	clear_asked(d, p);
	weights = weigh_owners(d, p);
	if (!weights)
		return;
	p->wanted_at = now;
	p->wanted_tasks = p->waiting;
	for (f = p->flows; f; f = f->next)
		if (f->waiting)
			want_of_flow(d, p, f, weights);
	while ((l = table_next(&d->links, &pos, &h)))
		if (l->pool == p && l->ask_due)
			holder_ask(d, now, l);
}
