/*
 * Slot requests of a holder. A request states everything that the holder has
 * and wants from one owner. Waiting tasks are spread over a few owners.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"

static void add_demands(struct slot_request *m, const struct slot_peer *sp)
{
	struct list *n, *after;

	LIST_EACH(n, after, &sp->holdings)
	{
		struct holding *holding = LIST_ITEM(n, struct holding,
						    peer_node);
		struct job *j = flow_first_job(holding->flow);
		struct slot_demand demand = {0};

		holding->request_index = UINT32_MAX;
		if (!holding->held_slots && !holding->wanted_tasks)
			continue;
		holding->request_index = (uint32_t)SLOT_COUNT(
			&m->demands, struct slot_demand);
		copy_text(demand.caller, sizeof(demand.caller),
			  holding->flow->caller->conf.name);
		demand.tasks = holding->wanted_tasks;
		if (j) {
			const struct task *t = &j->tasks[j->first_waiting - 1];

			demand.cpus = t->cpus;
			demand.memory_mb = t->memory_mb;
			demand.accelerators = t->accelerators;
		}
		buf_add(&m->demands, &demand, sizeof(demand));
	}
}

static void add_held(struct slot_request *m, const struct slot_peer *sp)
{
	struct list *n, *after;

	LIST_EACH(n, after, &sp->held_grants)
	{
		const struct held_grant *h = LIST_ITEM(n, struct held_grant,
						       peer_node);
		struct slot_held held = {h->id, h->holding->request_index};

		buf_add(&m->held, &held, sizeof(held));
	}
}

void holder_send_request(struct syc_dispatch *d, int64_t now,
			 struct slot_peer *sp)
{
	struct wire_out w;
	struct slot_request m = {0};

	copy_text(m.service, sizeof(m.service), sp->pool->conf.name);
	m.seq = ++sp->request_seq_sent;
	m.grant_seq = sp->grant_seq_received;
	m.sent_at = now;
	m.time_limit_ms = sp->pool->max_time_limit_ms;
	add_demands(&m, sp);
	add_held(&m, sp);
	slot_request_write(&w, &m);
	dispatch_send_message(d, sp->peer, wire_bytes(&w));
	wire_free(&w);
	slot_request_free(&m);
	sp->request_sent_at = now;
	sp->used_at = now;
	sp->is_request_due = false;
}

/* Assigns `sp` its part of the waiting tasks left; returns the rest. */
static uint64_t assign_to_peer(struct slot_peer *sp, struct flow *f,
			       uint64_t n_left, uint64_t *weights_left)
{
	uint64_t n_tasks = (n_left * sp->weight + *weights_left - 1) /
			   *weights_left;

	*weights_left -= sp->weight;
	if (!n_tasks)
		return n_left;
	holder_get_holding(sp, f)->wanted_tasks = (uint32_t)n_tasks;
	sp->requested_tasks += (uint32_t)n_tasks;
	sp->is_request_due = true;
	return n_left - n_tasks;
}

/*
 * Spreads the waiting tasks of `f` over the owners by weight. The first owner
 * is random, since a small number of tasks goes to the first one alone.
 */
static void assign_flow_tasks(struct syc_dispatch *d, struct pool *p,
			      struct flow *f, uint64_t weights_left)
{
	uint64_t n_left = f->ready_node.pos ? f->waiting_tasks : 0, h;
	uint32_t first = (uint32_t)rng_below(&d->rng, d->slot_peers.cap);
	uint32_t pos = first;
	bool wrapped = false;
	struct slot_peer *sp;

	while (n_left && weights_left) {
		sp = table_next(&d->slot_peers, &pos, &h);
		if (!sp && wrapped)
			return;
		if (!sp) {
			wrapped = true;
			pos = 0;
		} else if (sp->pool == p && sp->weight) {
			n_left = assign_to_peer(sp, f, n_left, &weights_left);
		}
	}
}

static void clear_weights(struct syc_dispatch *d, const struct pool *p)
{
	struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	while ((sp = table_next(&d->slot_peers, &pos, &h)))
		if (sp->pool == p)
			sp->weight = 0;
}

/*
 * Sets the weights of owners, beginning at a random one, and returns their sum.
 * With `by_free` the weight of an owner is its number of free slots, and owners
 * are added until the sum suffices for the waiting tasks. Otherwise a few
 * owners are weighted by all their slots; they grant slots that become free.
 */
static uint64_t choose_owners(struct syc_dispatch *d, struct pool *p,
			      bool by_free)
{
	uint32_t pos = (uint32_t)rng_below(&d->rng, d->slot_peers.cap);
	uint64_t sum = 0, h;
	int rounds = 0, n_owners = 0;
	struct slot_peer *sp;

	clear_weights(d, p);
	while (rounds < 2 && (by_free ? sum < p->waiting_tasks
				      : n_owners < BUSY_OWNERS_REQUESTED)) {
		sp = table_next(&d->slot_peers, &pos, &h);
		if (!sp) {
			rounds++;
			pos = 0;
		} else if (sp->pool == p && !sp->weight) {
			sp->weight = by_free ? sp->peer_slots_free
					     : sp->peer_slots;
			sum += sp->weight;
			n_owners += sp->weight > 0;
		}
	}
	return sum;
}

/*
 * Weighs owners, by free slots if these are enough for all waiting tasks.
 * Returns the sum of the weights.
 */
static uint64_t weigh_owners(struct syc_dispatch *d, struct pool *p)
{
	uint64_t slots_free = 0;
	struct slot_peer *sp;
	uint32_t pos;
	uint64_t h;

	for (pos = 0; (sp = table_next(&d->slot_peers, &pos, &h));) {
		if (sp->pool != p)
			continue;
		if (sp->peer_slots_free > sp->peer_slots)
			sp->peer_slots_free = sp->peer_slots;
		slots_free += sp->peer_slots_free;
	}
	return choose_owners(d, p, slots_free >= p->waiting_tasks);
}

static void clear_requested_tasks(struct syc_dispatch *d, const struct pool *p)
{
	struct list *n, *after;
	struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	while ((sp = table_next(&d->slot_peers, &pos, &h))) {
		if (sp->pool != p)
			continue;
		sp->requested_tasks = 0;
		LIST_EACH(n, after, &sp->holdings)
		LIST_ITEM(n, struct holding, peer_node)->wanted_tasks = 0;
	}
}

void holder_request_slots(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct slot_peer *sp;
	uint64_t weights, h;
	struct flow *f;
	uint32_t pos = 0;

	if (now - p->slots_requested_at < (p->waiting_tasks > p->requested_tasks
						   ? REQUEST_GAP_MS
						   : REQUEST_INTERVAL_MS))
		return;
	clear_requested_tasks(d, p);
	weights = weigh_owners(d, p);
	if (!weights)
		return;
	p->slots_requested_at = now;
	p->requested_tasks = p->waiting_tasks;
	for (f = p->flows; f; f = f->next)
		if (f->waiting_tasks)
			assign_flow_tasks(d, p, f, weights);
	while ((sp = table_next(&d->slot_peers, &pos, &h)))
		if (sp->pool == p && sp->is_request_due)
			holder_send_request(d, now, sp);
}
