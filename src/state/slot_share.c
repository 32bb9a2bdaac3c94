/*
 * Division of an owner's slots while they are short: weighted max-min fairness
 * by caller over the demand of all instances, then within a caller in
 * proportion to the demand of each instance. Each holder gets its part as a
 * quota; one that has more returns slots as its tasks end.
 */
#include <stdlib.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"

/* The slots that one flow gets in a division. */
struct flow_part {
	struct flow *flow;
	uint64_t demand_slots;
	uint64_t share;
	uint64_t part_scaled; /* slots in 1/SLOT_SCALE */
};

enum { SLOT_SCALE = 256 }; /* units of a slot in a division */

/* Orders flows by demand per share, smallest first. */
static int compare_demand(const void *a, const void *b)
{
	const struct flow_part *x = a, *y = b;
	uint64_t left = x->demand_slots * y->share;
	uint64_t right = y->demand_slots * x->share;

	return left < right ? -1 : left > right;
}

static uint64_t local_demand(const struct flow *f)
{
	return (uint64_t)f->waiting_tasks + f->running_owned_slots;
}

static uint64_t total_demand(const struct flow *f)
{
	return local_demand(f) + f->demanded_tasks + f->granted_slots;
}

static void divide_slots(struct flow_part *parts, size_t n, uint64_t slots)
{
	uint64_t left_scaled = slots * SLOT_SCALE, shares = 0;
	size_t i;

	qsort(parts, n, sizeof(*parts), compare_demand);
	for (i = 0; i < n; i++)
		shares += parts[i].share;
	for (i = 0; i < n; i++) {
		uint64_t fair_scaled = left_scaled * parts[i].share / shares;

		parts[i].part_scaled = parts[i].demand_slots * SLOT_SCALE;
		if (parts[i].part_scaled > fair_scaled)
			parts[i].part_scaled = fair_scaled;
		left_scaled -= parts[i].part_scaled;
		shares -= parts[i].share;
	}
}

/* The part in whole slots, rounded down while the flow is ahead of others. */
static uint64_t whole_slots(const struct flow_part *part)
{
	uint64_t whole = part->part_scaled / SLOT_SCALE;

	if (whole * SLOT_SCALE < part->part_scaled &&
	    part->flow->vtime <= part->flow->pool->vtime)
		whole++;
	return whole;
}

/* Makes a grant message due when a holder exceeds a new quota. */
static void notify_quota(struct demand *demand)
{
	if (demand->held_slots > demand->quota &&
	    demand->quota != demand->prev_quota)
		demand->slot_peer->is_reply_due = true;
	demand->prev_quota = demand->quota;
}

/*
 * Adds slots left over by rounding, at most one each, to the quotas of holders
 * that exceed their quota if `over_quota`, otherwise of holders that want more.
 * Holders over their quota are served first, since they have the slots already.
 * Returns the slots that are left.
 */
static uint64_t distribute_rest(const struct flow *f, uint64_t rest,
				bool over_quota)
{
	struct list *n, *after;

	LIST_EACH(n, after, &f->demands)
	{
		struct demand *demand = LIST_ITEM(n, struct demand, flow_node);
		bool is_over = demand->held_slots > demand->quota;

		if (!rest || is_over != over_quota ||
		    (!demand->wanted_tasks && !is_over))
			continue;
		demand->quota++;
		rest--;
	}
	return rest;
}

static void set_quotas(const struct flow_part *part)
{
	const struct flow *f = part->flow;
	uint64_t remote_demand = (uint64_t)f->demanded_tasks + f->granted_slots;
	uint64_t total, left;
	struct list *n, *after;

	if (!remote_demand)
		return;
	total = whole_slots(part) * remote_demand / part->demand_slots;
	if (!local_demand(f))
		total = whole_slots(part);
	left = total;
	LIST_EACH(n, after, &f->demands)
	{
		struct demand *demand = LIST_ITEM(n, struct demand, flow_node);

		demand->quota = (uint32_t)(total *
					   (demand->held_slots +
					    demand->wanted_tasks) /
					   remote_demand);
		left -= demand->quota;
	}
	left = distribute_rest(f, left, true);
	distribute_rest(f, left, false);
	LIST_EACH(n, after, &f->demands)
	notify_quota(LIST_ITEM(n, struct demand, flow_node));
}

static void clear_quotas(const struct flow *f)
{
	struct list *n, *after;

	LIST_EACH(n, after, &f->demands)
	LIST_ITEM(n, struct demand, flow_node)->quota = UINT32_MAX;
}

/* Charges the caller for the time of its grants, less what was prepaid. */
static void charge_grants(struct flow *f, int64_t elapsed_ms)
{
	int64_t due_slot_ms = f->granted_slots * elapsed_ms;
	int64_t prepaid_max = (int64_t)f->granted_slots * GRANT_CHARGE_MS;
	int64_t prepaid_used = due_slot_ms < f->prepaid_slot_ms
				       ? due_slot_ms
				       : f->prepaid_slot_ms;

	f->prepaid_slot_ms -= prepaid_used;
	due_slot_ms -= prepaid_used;
	if (f->prepaid_slot_ms > prepaid_max) {
		due_slot_ms -= f->prepaid_slot_ms - prepaid_max;
		f->prepaid_slot_ms = prepaid_max;
	}
	if (due_slot_ms)
		flow_charge(f, due_slot_ms);
}

static size_t collect_flows(const struct pool *p, struct flow_part *parts)
{
	const struct flow *f;
	size_t n = 0;

	for (f = p->flows; f; f = f->next) {
		parts[n].flow = (struct flow *)f;
		parts[n].demand_slots = total_demand(f);
		parts[n].share = f->caller->conf.share ? f->caller->conf.share
						       : 1;
		n += parts[n].demand_slots > 0;
	}
	return n;
}

static uint64_t sum_demand(const struct flow_part *parts, size_t n)
{
	uint64_t sum = 0;

	while (n--)
		sum += parts[n].demand_slots;
	return sum;
}

/*
 * Adds to each caller's ledger the available slots that the caller wanted,
 * those of its share that it lent and those beyond its share that it borrowed.
 * Slots that no other caller used are not lent.
 */
static void update_ledgers(struct syc_dispatch *d, struct pool *p,
			   int64_t elapsed_ms)
{
	uint64_t slots = (uint64_t)p->slots_used + p->slots_free;
	uint64_t shares = 0, lent_scaled = 0, borrowed_scaled = 0,
		 unused_scaled = 0;
	struct flow *f;

	for (f = p->flows; f; f = f->next)
		shares += f->caller->is_listed ? f->caller->conf.share : 0;
	for (f = p->flows; f; f = f->next) {
		f->entitled_scaled = 0;
		if (f->caller->is_listed && shares)
			f->entitled_scaled = slots * SLOT_SCALE *
					     f->caller->conf.share / shares;
		if ((uint64_t)f->running_slots * SLOT_SCALE >
		    f->entitled_scaled)
			borrowed_scaled += (uint64_t)f->running_slots *
						   SLOT_SCALE -
					   f->entitled_scaled;
		else
			unused_scaled += f->entitled_scaled -
					 (uint64_t)f->running_slots *
						 SLOT_SCALE;
	}
	for (f = p->flows; f; f = f->next) {
		uint64_t used_scaled = (uint64_t)f->running_slots * SLOT_SCALE;
		uint64_t wanted_scaled = used_scaled +
					 (uint64_t)f->waiting_tasks *
						 SLOT_SCALE;
		struct ledger_entry *entry;

		if (!wanted_scaled && !f->entitled_scaled)
			continue;
		entry = ledger_get_entry(&f->ledger, d->bundle->version);
		if (wanted_scaled > slots * SLOT_SCALE)
			wanted_scaled = slots * SLOT_SCALE;
		entry->wanted_slot_ms += (int64_t)wanted_scaled * elapsed_ms /
					 SLOT_SCALE;
		lent_scaled = used_scaled < f->entitled_scaled
				      ? f->entitled_scaled - used_scaled
				      : 0;
		if (borrowed_scaled < unused_scaled)
			lent_scaled = lent_scaled * borrowed_scaled /
				      unused_scaled;
		entry->lent_slot_ms += (int64_t)lent_scaled * elapsed_ms /
				       SLOT_SCALE;
		if (used_scaled > f->entitled_scaled)
			entry->borrowed_slot_ms +=
				(int64_t)(used_scaled - f->entitled_scaled) *
				elapsed_ms / SLOT_SCALE;
	}
}

/*
 * Updates the mean of the slots that this instance obtains while it wants
 * more. The time constant is the longest wait that admission accepts. While
 * nothing waits, each sample is at least an even part of the listed slots.
 */
static void update_slots_obtained(struct pool *p, int64_t elapsed_ms)
{
	double available = (double)p->slots_used + p->slots_free;

	if (!p->waiting_tasks && available < p->slots_even_part)
		available = p->slots_even_part;
	p->slots_obtained_mean += (available - p->slots_obtained_mean) *
				  (double)elapsed_ms /
				  (double)(elapsed_ms + SLOTS_OBTAINED_MEAN_MS);
}

void share_tick(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct flow_part *parts;
	struct flow *f;
	size_t i, n;

	if (now - p->slots_divided_at < DIVISION_INTERVAL_MS)
		return;
	for (f = p->flows; f; f = f->next)
		charge_grants(f, now - p->slots_divided_at);
	if (d->bundle && p->slots_divided_at)
		update_ledgers(d, p, now - p->slots_divided_at);
	update_slots_obtained(p, now - p->slots_divided_at);
	p->slots_divided_at = now;
	parts = xcalloc(p->n_flows + 1, sizeof(*parts));
	n = collect_flows(p, parts);
	for (i = 0; i < n; i++) {
		clear_quotas(parts[i].flow);
		flow_update_demand(parts[i].flow);
	}
	if (sum_demand(parts, n) > p->slots_owned) {
		divide_slots(parts, n, p->slots_owned);
		for (i = 0; i < n; i++)
			set_quotas(&parts[i]);
	}
	free(parts);
}
