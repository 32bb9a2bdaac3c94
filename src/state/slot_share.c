/*
 * How an owner divides its slots while they are short: weighted max-min by
 * caller over what is wanted here and elsewhere, then within a caller in
 * proportion to what each instance wants. A holder over its part is bounded,
 * and gives slots back as its tasks end.
 */
#include <stdlib.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"

struct flow_part {
	struct flow *flow;
	uint64_t demand; /* slots */
	uint64_t share;
	uint64_t part; /* slots, in 1/SCALE */
};

enum { SCALE = 256 };

/* Whoever wants least for its share is served first. */
static int by_need(const void *a, const void *b)
{
	const struct flow_part *x = a, *y = b;
	uint64_t l = x->demand * y->share;
	uint64_t r = y->demand * x->share;

	return l < r ? -1 : l > r;
}

static uint64_t local_demand(const struct flow *f)
{
	return (uint64_t)f->waiting_tasks + f->running_owned_slots;
}

static uint64_t demand_of(const struct flow *f)
{
	return local_demand(f) + f->demanded_tasks + f->granted_slots;
}

static void divide(struct flow_part *c, size_t n, uint64_t slots)
{
	uint64_t left = slots * SCALE, shares = 0;
	size_t i;

	qsort(c, n, sizeof(*c), by_need);
	for (i = 0; i < n; i++)
		shares += c[i].share;
	for (i = 0; i < n; i++) {
		uint64_t fair = left * c[i].share / shares;

		c[i].part = c[i].demand * SCALE;
		if (c[i].part > fair)
			c[i].part = fair;
		left -= c[i].part;
		shares -= c[i].share;
	}
}

/* Whole slots of `c`: rounded down while it is ahead of the others. */
static uint64_t whole_part(const struct flow_part *c)
{
	uint64_t whole = c->part / SCALE;

	if (whole * SCALE < c->part && c->flow->vtime <= c->flow->pool->vtime)
		whole++;
	return whole;
}

/* A holder that is over a new bound is told at once. */
static void tell_bound(struct demand *dm)
{
	if (dm->held_slots > dm->quota && dm->quota != dm->notified_quota)
		dm->link->is_reply_due = true;
	dm->notified_quota = dm->quota;
}

/* What is left by rounding goes to holders that have it already, if any. */
static uint64_t spread_rest(const struct flow *f, uint64_t rest, bool held)
{
	struct list *n, *after;

	LIST_EACH(n, after, &f->demands)
	{
		struct demand *dm = LIST_ITEM(n, struct demand, flow_node);
		bool has = dm->held_slots > dm->quota;

		if (!rest || has != held || (!dm->wanted_tasks && !has))
			continue;
		dm->quota++;
		rest--;
	}
	return rest;
}

static void bound_holders(const struct flow_part *c)
{
	const struct flow *f = c->flow;
	uint64_t remote = (uint64_t)f->demanded_tasks + f->granted_slots;
	uint64_t total, left;
	struct list *n, *after;

	if (!remote)
		return;
	total = whole_part(c) * remote / c->demand;
	if (!local_demand(f))
		total = whole_part(c);
	left = total;
	LIST_EACH(n, after, &f->demands)
	{
		struct demand *dm = LIST_ITEM(n, struct demand, flow_node);

		dm->quota = (uint32_t)(total *
				       (dm->held_slots + dm->wanted_tasks) /
				       remote);
		left -= dm->quota;
	}
	left = spread_rest(f, left, true);
	spread_rest(f, left, false);
	LIST_EACH(n, after, &f->demands)
	tell_bound(LIST_ITEM(n, struct demand, flow_node));
}

static void unbound_holders(const struct flow *f)
{
	struct list *n, *after;

	LIST_EACH(n, after, &f->demands)
	LIST_ITEM(n, struct demand, flow_node)->quota = UINT32_MAX;
}

/* Grants cost their caller what their time adds up to. */
static void charge_grants(struct flow *f, int64_t dt)
{
	int64_t due = f->granted_slots * dt;
	int64_t ahead = (int64_t)f->granted_slots * GRANT_CHARGE_MS;
	int64_t used = due < f->prepaid_slot_ms ? due : f->prepaid_slot_ms;

	f->prepaid_slot_ms -= used;
	due -= used;
	if (f->prepaid_slot_ms > ahead) {
		due -= f->prepaid_slot_ms - ahead;
		f->prepaid_slot_ms = ahead;
	}
	if (due)
		flow_charge(f, due);
}

static size_t gather(const struct pool *p, struct flow_part *c)
{
	const struct flow *f;
	size_t n = 0;

	for (f = p->flows; f; f = f->next) {
		c[n].flow = (struct flow *)f;
		c[n].demand = demand_of(f);
		c[n].share = f->caller->conf.share ? f->caller->conf.share : 1;
		n += c[n].demand > 0;
	}
	return n;
}

static uint64_t total(const struct flow_part *c, size_t n)
{
	uint64_t sum = 0;

	while (n--)
		sum += c[n].demand;
	return sum;
}

/*
 * What each caller was entitled to of the slots at hand here, what it left
 * to others and what it had of theirs. What nobody took is not lent.
 */
static void account(struct syc_dispatch *d, struct pool *p, int64_t dt)
{
	uint64_t slots = (uint64_t)p->slots_used + p->slots_free;
	uint64_t shares = 0, lent = 0, borrowed = 0, unused = 0;
	struct flow *f;

	for (f = p->flows; f; f = f->next)
		shares += f->caller->is_listed ? f->caller->conf.share : 0;
	for (f = p->flows; f; f = f->next) {
		f->entitled_scaled = 0;
		if (f->caller->is_listed && shares)
			f->entitled_scaled = slots * SCALE *
					     f->caller->conf.share / shares;
		if ((uint64_t)f->running_slots * SCALE > f->entitled_scaled)
			borrowed += (uint64_t)f->running_slots * SCALE -
				    f->entitled_scaled;
		else
			unused += f->entitled_scaled -
				  (uint64_t)f->running_slots * SCALE;
	}
	for (f = p->flows; f; f = f->next) {
		uint64_t has = (uint64_t)f->running_slots * SCALE;
		uint64_t wants = has + (uint64_t)f->waiting_tasks * SCALE;
		struct ledger_entry *e;

		if (!wants && !f->entitled_scaled)
			continue;
		e = ledger_get_entry(&f->ledger, d->bundle->version);
		if (wants > slots * SCALE)
			wants = slots * SCALE;
		e->wanted_slot_ms += (int64_t)wants * dt / SCALE;
		lent = has < f->entitled_scaled ? f->entitled_scaled - has : 0;
		if (borrowed < unused)
			lent = lent * borrowed / unused;
		e->lent_slot_ms += (int64_t)lent * dt / SCALE;
		if (has > f->entitled_scaled)
			e->borrowed_slot_ms += (int64_t)(has -
							 f->entitled_scaled) *
					       dt / SCALE;
	}
}

/*
 * What we get while we want more, smoothed over the longest wait that is
 * accepted. Until it was seen otherwise that is at least an even part.
 */
static void follow_slots(struct pool *p, int64_t dt)
{
	double at_hand = (double)p->slots_used + p->slots_free;

	if (!p->waiting_tasks && at_hand < p->slots_even_part)
		at_hand = p->slots_even_part;
	p->slots_obtained_mean += (at_hand - p->slots_obtained_mean) *
				  (double)dt /
				  (double)(dt + SLOTS_OBTAINED_MEAN_MS);
}

void share_tick(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct flow_part *c;
	struct flow *f;
	size_t i, n;

	if (now - p->slots_divided_at < DIVISION_INTERVAL_MS)
		return;
	for (f = p->flows; f; f = f->next)
		charge_grants(f, now - p->slots_divided_at);
	if (d->bundle && p->slots_divided_at)
		account(d, p, now - p->slots_divided_at);
	follow_slots(p, now - p->slots_divided_at);
	p->slots_divided_at = now;
	c = xcalloc(p->n_flows + 1, sizeof(*c));
	n = gather(p, c);
	for (i = 0; i < n; i++) {
		unbound_holders(c[i].flow);
		flow_update_demand(c[i].flow);
	}
	if (total(c, n) > p->slots_owned) {
		divide(c, n, p->slots_owned);
		for (i = 0; i < n; i++)
			bound_holders(&c[i]);
	}
	free(c);
}
