/*
 * What a holder asks of owners: its asks state all that it has and wants,
 * and what waits is spread over a few owners.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"

static void state_wants(struct slot_request *m, const struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->holdings)
	{
		struct holding *hd = LIST_ITEM(n, struct holding, link_node);
		struct job *j = flow_first_job(hd->flow);
		struct slot_demand w = {0};

		hd->request_index = UINT32_MAX;
		if (!hd->held_slots && !hd->wanted_tasks)
			continue;
		hd->request_index = (uint32_t)SLOT_COUNT(&m->demands,
							 struct slot_demand);
		copy_name(w.caller, sizeof(w.caller),
			  hd->flow->caller->conf.name);
		w.tasks = hd->wanted_tasks;
		if (j) {
			const struct task *t = &j->tasks[j->first_waiting - 1];

			w.cpus = t->cpus;
			w.memory_mb = t->memory_mb;
			w.accelerators = t->accelerators;
		}
		buf_add(&m->demands, &w, sizeof(w));
	}
}

static void state_held(struct slot_request *m, const struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->held_grants)
	{
		const struct held_grant *h = LIST_ITEM(n, struct held_grant,
						       link_node);
		struct slot_held s = {h->id, h->holding->request_index};

		buf_add(&m->held, &s, sizeof(s));
	}
}

void holder_send_request(struct syc_dispatch *d, int64_t now, struct link *l)
{
	struct wire_out w;
	struct slot_request m = {0};

	copy_name(m.service, sizeof(m.service), l->pool->conf.name);
	m.seq = ++l->request_seq_sent;
	m.grant_seq = l->grant_seq_received;
	m.sent_at = now;
	m.time_limit_ms = l->pool->max_time_limit_ms;
	state_wants(&m, l);
	state_held(&m, l);
	slot_request_write(&w, &m);
	dispatch_send_message(d, l->peer, wire_bytes(&w));
	wire_end(&w);
	slot_request_free(&m);
	l->request_sent_at = now;
	l->used_at = now;
	l->is_request_due = false;
}

/* Gives link `l` its part of what is left to want; returns the rest. */
static uint64_t want_of_link(struct link *l, struct flow *f, uint64_t left,
			     uint64_t *weights)
{
	uint64_t part = (left * l->weight + *weights - 1) / *weights;

	*weights -= l->weight;
	if (!part)
		return left;
	holder_get_holding(l, f)->wanted_tasks = (uint32_t)part;
	l->requested_tasks += (uint32_t)part;
	l->is_request_due = true;
	return left - part;
}

/*
 * Spreads the waiting tasks of `f` over the owners by weight, from a random
 * one on, as a small want goes to the first alone.
 */
static void want_of_flow(struct syc_dispatch *d, struct pool *p, struct flow *f,
			 uint64_t weights)
{
	uint64_t left = f->ready_node.pos ? f->waiting_tasks : 0, h;
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
	while (laps < 2 &&
	       (by_free ? sum < p->waiting_tasks : n < BUSY_OWNERS_REQUESTED)) {
		l = table_next(&d->links, &pos, &h);
		if (!l) {
			laps++;
			pos = 0;
		} else if (l->pool == p && !l->weight) {
			l->weight = by_free ? l->peer_slots_free
					    : l->peer_slots;
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
		if (l->peer_slots_free > l->peer_slots)
			l->peer_slots_free = l->peer_slots;
		free += l->peer_slots_free;
	}
	return choose_owners(d, p, free >= p->waiting_tasks);
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
		l->requested_tasks = 0;
		LIST_EACH(n, after, &l->holdings)
		LIST_ITEM(n, struct holding, link_node)->wanted_tasks = 0;
	}
}

void holder_request_slots(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct link *l;
	uint64_t weights, h;
	struct flow *f;
	uint32_t pos = 0;

	if (now - p->slots_requested_at < (p->waiting_tasks > p->requested_tasks
						   ? REQUEST_GAP_MS
						   : REQUEST_INTERVAL_MS))
		return;
	clear_asked(d, p);
	weights = weigh_owners(d, p);
	if (!weights)
		return;
	p->slots_requested_at = now;
	p->requested_tasks = p->waiting_tasks;
	for (f = p->flows; f; f = f->next)
		if (f->waiting_tasks)
			want_of_flow(d, p, f, weights);
	while ((l = table_next(&d->links, &pos, &h)))
		if (l->pool == p && l->is_request_due)
			holder_send_request(d, now, l);
}
