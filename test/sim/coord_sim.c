#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/wire.h"
#include "coord_sim_internal.h"
#include "util/alloc.h"
#include "util/index.h"

static void queue_msg(struct coord_sim *sim, const struct coord_sim_node *from,
		      const struct coord_sim_node *to, struct syc_bytes msg)
{
	struct coord_sim_event ev = {.kind = EV_MSG,
				     .node = to->index,
				     .id = to->instance.id,
				     .from = from->instance.id,
				     .len = msg.n};

	ev.at = sim->now + (int64_t)rng_below(&sim->rng, sim->delay_max_ms + 1);
	ev.data = xmemdup(msg.p, msg.n);
	coord_sim_push(sim, ev);
}

static void on_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct coord_sim_node *from = ctx;
	struct coord_sim *sim = from->sim;
	struct coord_sim_node *receiver = coord_sim_find_node(sim, to);

	if (!receiver || !receiver->coord ||
	    sim->cut[from->index][receiver->index] ||
	    sim->blocked_types >> wire_type(msg) & 1 ||
	    coord_sim_chance(sim, sim->drop_percent))
		return;
	queue_msg(sim, from, receiver, msg);
	if (coord_sim_chance(sim, sim->duplicate_percent))
		queue_msg(sim, from, receiver, msg);
}

static void on_changed(void *ctx)
{
}

static void queue_link(struct coord_sim *sim, int node, uint64_t id,
		       uint64_t from, int64_t delay_ms)
{
	struct coord_sim_event ev = {.kind = EV_LINK_UP,
				     .node = node,
				     .id = id,
				     .from = from,
				     .at = sim->now + delay_ms};

	coord_sim_push(sim, ev);
}

void coord_sim_start(struct coord_sim *sim, int node)
{
	struct coord_sim_node *n = &sim->nodes[node];
	struct syc_coord_options opt = {.heartbeat_ms = sim->heartbeat_ms,
					.suspect_ms = sim->suspect_ms,
					.retention_ms = COORD_SIM_RETENTION_MS,
					.claims_max = 1 << 20,
					.ctx = n,
					.send = on_send,
					.claimed = coord_sim_on_claimed,
					.changed = on_changed};
	struct coord_sim_event tick = {.kind = EV_TICK, .node = node};
	int i;

	n->sim = sim;
	n->index = node;
	n->paused = false;
	n->instance.id = index_hash_number(++sim->next_id ^ 0x5eed).lo | 1;
	snprintf(n->instance.name, sizeof(n->instance.name), "i%d", node);
	snprintf(n->instance.domain, sizeof(n->instance.domain), "d");
	snprintf(n->instance.rack, sizeof(n->instance.rack), "r%d", node / 2);
	snprintf(n->instance.peer_addr.ip, sizeof(n->instance.peer_addr.ip),
		 "127.0.0.1");
	n->instance.peer_addr.port =
		(uint16_t)(1000 +
			   (sim->keeps_addr ? (uint64_t)node : sim->next_id));
	opt.self = n->instance;
	opt.seed = rng_next(&sim->rng);
	opt.store.ctx = n;
	opt.store.get = coord_sim_on_get;
	opt.store.cas = coord_sim_on_cas;
	opt.store.watch = coord_sim_on_watch;
	n->coord = syc_coord_new(&opt, sim->now);
	*coord_rules(n->coord) = sim->rules;
	tick.id = n->instance.id;
	tick.at = sim->now + (int64_t)rng_below(&sim->rng, COORD_SIM_TICK_MS);
	coord_sim_push(sim, tick);
	for (i = 0; i < sim->n_nodes; i++) {
		if (i == node || !sim->nodes[i].coord)
			continue;
		queue_link(sim, node, n->instance.id, sim->nodes[i].instance.id,
			   20);
		queue_link(sim, i, sim->nodes[i].instance.id, n->instance.id,
			   20);
	}
}

void coord_sim_kill(struct coord_sim *sim, int node)
{
	struct coord_sim_node *n = &sim->nodes[node];
	struct coord_sim_event ev = {.kind = EV_LISTED_GONE,
				     .from = n->instance.id};
	int i;

	if (!n->coord)
		return;
	syc_coord_free(n->coord);
	n->coord = NULL;
	ev.at = sim->now + sim->list_delay_ms;
	for (i = 0; i < sim->n_nodes; i++) {
		ev.node = i;
		coord_sim_push(sim, ev);
	}
}

void coord_sim_set_paused(struct coord_sim *sim, int node, bool paused)
{
	sim->nodes[node].paused = paused && sim->nodes[node].coord;
}

void coord_sim_cut_link(struct coord_sim *sim, int a, int b, bool both)
{
	sim->cut[a][b] = true;
	sim->cut[b][a] |= both;
}

void coord_sim_isolate(struct coord_sim *sim, int node)
{
	int i;

	for (i = 0; i < sim->n_nodes; i++)
		if (i != node)
			coord_sim_cut_link(sim, node, i, true);
	sim->nodes[node].store_cut = true;
}

void coord_sim_heal(struct coord_sim *sim)
{
	int i;

	memset(sim->cut, 0, sizeof(sim->cut));
	sim->store.down = false;
	sim->store.delay_max_ms = 0;
	sim->store.lost_reply_percent = 0;
	sim->store.stale_read_percent = 0;
	sim->drop_percent = 0;
	sim->duplicate_percent = 0;
	sim->blocked_types = 0;
	for (i = 0; i < sim->n_nodes; i++) {
		sim->nodes[i].paused = false;
		sim->nodes[i].store_cut = false;
	}
}

static void handle_link_up(struct coord_sim *sim, struct coord_sim_event *ev)
{
	struct coord_sim_node *n = &sim->nodes[ev->node];
	struct coord_sim_node *peer = coord_sim_find_node(sim, ev->from);

	if (!peer || !peer->coord)
		return;
	if (sim->cut[peer->index][n->index] ||
	    sim->cut[n->index][peer->index]) {
		queue_link(sim, ev->node, ev->id, ev->from, 300);
		return;
	}
	syc_coord_peer_up(n->coord, sim->now, &peer->instance);
}

static void report_listed_gone(struct coord_sim *sim,
			       const struct coord_sim_event *ev)
{
	struct coord_sim_node *n = &sim->nodes[ev->node];
	struct coord_sim_event again = *ev;

	if (n->coord && !n->paused)
		syc_coord_peer_unlisted(n->coord, sim->now, ev->from);
	again.at = sim->now + 3000;
	coord_sim_push(sim, again);
}

static void handle_event(struct coord_sim *sim, struct coord_sim_event *ev)
{
	struct coord_sim_node *n = &sim->nodes[ev->node];
	struct syc_bytes msg = {ev->data, ev->len};
	struct coord_sim_event again = *ev;

	switch (ev->kind) {
	case EV_TICK:
		syc_coord_tick(n->coord, sim->now);
		again.at = sim->now + COORD_SIM_TICK_MS;
		coord_sim_push(sim, again);
		break;
	case EV_MSG:
		syc_coord_receive(n->coord, sim->now, ev->from, msg);
		break;
	case EV_LINK_UP:
		handle_link_up(sim, ev);
		break;
	case EV_SUBMIT:
		coord_sim_submit_at(n, ev->key, ev->hops_or_outcome);
		break;
	case EV_RUN_END:
		syc_coord_end_claim(n->coord, sim->now, &sim->keys[ev->key].key,
				    ev->hops_or_outcome);
		break;
	default:
		break;
	}
}

/*
 * Handles an event that needs no running instance. Returns false for other
 * events, which it leaves to the caller.
 */
static bool handle_without_instance(struct coord_sim *sim,
				    struct coord_sim_event *ev)
{
	switch (ev->kind) {
	case EV_STORE_CALL:
	case EV_WATCH_CHECK:
		coord_sim_store_process(sim, *ev);
		return true;
	case EV_STORE_REPLY:
		if (sim->nodes[ev->node].instance.id == ev->id &&
		    sim->nodes[ev->node].coord && sim->nodes[ev->node].paused)
			return false;
		coord_sim_store_reply(sim, ev);
		return true;
	case EV_LISTED_GONE:
		report_listed_gone(sim, ev);
		return true;
	default:
		return false;
	}
}

static void process_next_event(struct coord_sim *sim)
{
	struct coord_sim_event ev = coord_sim_pop(sim);
	struct coord_sim_node *n = &sim->nodes[ev.node];

	sim->now = ev.at > sim->now ? ev.at : sim->now;
	if (handle_without_instance(sim, &ev))
		return;
	if (n->instance.id != ev.id || !n->coord) {
		free(ev.data);
		return;
	}
	if (n->paused) {
		ev.at = sim->now + 10;
		coord_sim_push(sim, ev);
		return;
	}
	handle_event(sim, &ev);
	free(ev.data);
}

void coord_sim_run(struct coord_sim *sim, int64_t ms)
{
	int64_t until = sim->now + ms;

	while (sim->n_heap && sim->heap[0].at <= until)
		process_next_event(sim);
	sim->now = until;
}

void coord_sim_init(struct coord_sim *sim, uint64_t seed, int n_nodes)
{
	unsigned i;

	memset(sim, 0, sizeof(*sim));
	sim->rng.state = seed;
	sim->now = 1000;
	sim->n_nodes = n_nodes;
	sim->delay_max_ms = 2;
	sim->list_delay_ms = 8000;
	sim->heartbeat_ms = COORD_SIM_HEARTBEAT_MS;
	sim->suspect_ms = COORD_SIM_SUSPECT_MS;
	sim->n_keys = 400;
	memset(&sim->rules, true, sizeof(sim->rules));
	for (i = 0; i < COORD_SIM_KEYS_MAX; i++) {
		struct index_key k = index_hash_number(i * 7919 + 1);

		memcpy(sim->keys[i].key.b, &k, sizeof(k));
		sim->keys[i].ticket = i % 2;
	}
}

void coord_sim_free(struct coord_sim *sim)
{
	size_t i;

	for (i = 0; i < COORD_SIM_NODES_MAX; i++)
		syc_coord_free(sim->nodes[i].coord);
	for (i = 0; i < sim->n_heap; i++) {
		struct coord_sim_event *ev = &sim->heap[i];

		free(ev->data);
		if (ev->call.done)
			coord_sim_store_reply(sim, ev);
	}
	free(sim->heap);
	for (i = 0; i < sim->store.n_history; i++)
		free(sim->store.history[i]);
}

static bool is_slice_replicated(const struct coord_sim *sim,
				const struct map *m, unsigned i, int n_live)
{
	const struct map_slice *slice = &m->slices[i];
	bool primary = false, backup = n_live == 1;
	int k;

	for (k = 0; k < sim->n_nodes; k++) {
		const struct coord_sim_node *n = &sim->nodes[k];

		if (!n->coord)
			continue;
		primary |= n->instance.id == slice->primary;
		backup |= n->instance.id == slice->backup &&
			  n->coord->complete_slices >> i & 1;
	}
	return primary && backup;
}

bool coord_sim_is_settled(const struct coord_sim *sim)
{
	const struct map *m = NULL;
	int i, n_live = 0;
	unsigned k;

	for (i = 0; i < sim->n_nodes; i++) {
		const struct syc_coord *c = sim->nodes[i].coord;

		if (!c)
			continue;
		n_live++;
		if (!m)
			m = &c->map;
		if (!syc_coord_ready(c) || c->map.epoch != m->epoch ||
		    c->map.tag != m->tag)
			return false;
	}
	if (!m || (int)m->n_members != n_live)
		return false;
	for (k = 0; k < SYC_SLICES; k++)
		if (!is_slice_replicated(sim, m, k, n_live))
			return false;
	return true;
}
