#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/wire.h"
#include "sim_parts.h"
#include "util/alloc.h"
#include "util/index.h"

static void queue_msg(struct sim *s, const struct sim_node *from,
		      const struct sim_node *to, struct syc_bytes msg)
{
	struct sim_event ev = {.kind = EV_MSG,
			       .node = to->place,
			       .id = to->inst.id,
			       .from = from->inst.id,
			       .len = msg.n};

	ev.at = s->now + (int64_t)rng_below(&s->rng, s->delay_ms + 1);
	ev.data = xmemdup(msg.p, msg.n);
	sim_push(s, ev);
}

static void on_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct sim_node *from = ctx;
	struct sim *s = from->sim;
	struct sim_node *dst = sim_node_by_id(s, to);

	if (!dst || !dst->coord || s->cut[from->place][dst->place] ||
	    s->blocked >> wire_type(msg) & 1 || sim_chance(s, s->drop_percent))
		return;
	queue_msg(s, from, dst, msg);
	if (sim_chance(s, s->repeat_percent))
		queue_msg(s, from, dst, msg);
}

static void on_changed(void *ctx)
{
}

static void queue_link(struct sim *s, int place, uint64_t id, uint64_t from,
		       int64_t delay)
{
	struct sim_event ev = {.kind = EV_LINK,
			       .node = place,
			       .id = id,
			       .from = from,
			       .at = s->now + delay};

	sim_push(s, ev);
}

void sim_boot(struct sim *s, int place)
{
	struct sim_node *n = &s->nodes[place];
	struct syc_coord_options opt = {.heartbeat_ms = s->heartbeat_ms,
					.suspect_ms = s->suspect_ms,
					.retention_ms = SIM_RETENTION_MS,
					.claims_max = 1 << 20,
					.ctx = n,
					.send = on_send,
					.claimed = sim_on_claimed,
					.changed = on_changed};
	struct sim_event tick = {.kind = EV_TICK, .node = place};
	int i;

	n->sim = s;
	n->place = place;
	n->paused = false;
	n->inst.id = index_hash_number(++s->next_id ^ 0x5eed).lo | 1;
	snprintf(n->inst.name, sizeof(n->inst.name), "i%d", place);
	snprintf(n->inst.domain, sizeof(n->inst.domain), "d");
	snprintf(n->inst.rack, sizeof(n->inst.rack), "r%d", place / 2);
	snprintf(n->inst.peer_addr.ip, sizeof(n->inst.peer_addr.ip),
		 "127.0.0.1");
	n->inst.peer_addr.port = (uint16_t)(1000 + (s->same_addr
							    ? (uint64_t)place
							    : s->next_id));
	opt.self = n->inst;
	opt.seed = rng_next(&s->rng);
	opt.store.ctx = n;
	opt.store.get = sim_on_get;
	opt.store.cas = sim_on_cas;
	opt.store.watch = sim_on_watch;
	n->coord = syc_coord_new(&opt, s->now);
	*coord_rules(n->coord) = s->rules;
	tick.id = n->inst.id;
	tick.at = s->now + (int64_t)rng_below(&s->rng, SIM_TICK_MS);
	sim_push(s, tick);
	for (i = 0; i < s->n_nodes; i++) {
		if (i == place || !s->nodes[i].coord)
			continue;
		queue_link(s, place, n->inst.id, s->nodes[i].inst.id, 20);
		queue_link(s, i, s->nodes[i].inst.id, n->inst.id, 20);
	}
}

void sim_kill(struct sim *s, int place)
{
	struct sim_node *n = &s->nodes[place];
	struct sim_event ev = {.kind = EV_GONE, .from = n->inst.id};
	int i;

	if (!n->coord)
		return;
	syc_coord_free(n->coord);
	n->coord = NULL;
	ev.at = s->now + s->gone_lag_ms;
	for (i = 0; i < s->n_nodes; i++) {
		ev.node = i;
		sim_push(s, ev);
	}
}

void sim_pause(struct sim *s, int place, bool paused)
{
	s->nodes[place].paused = paused && s->nodes[place].coord;
}

void sim_cut(struct sim *s, int a, int b, bool both)
{
	s->cut[a][b] = true;
	s->cut[b][a] |= both;
}

void sim_isolate(struct sim *s, int place)
{
	int i;

	for (i = 0; i < s->n_nodes; i++)
		if (i != place)
			sim_cut(s, place, i, true);
	s->nodes[place].store_cut = true;
}

void sim_heal(struct sim *s)
{
	int i;

	memset(s->cut, 0, sizeof(s->cut));
	s->store.down = false;
	s->store.slow_ms = 0;
	s->store.lose_percent = 0;
	s->store.stale_percent = 0;
	s->drop_percent = 0;
	s->repeat_percent = 0;
	s->blocked = 0;
	for (i = 0; i < s->n_nodes; i++) {
		s->nodes[i].paused = false;
		s->nodes[i].store_cut = false;
	}
}

static void link_up(struct sim *s, struct sim_event *ev)
{
	struct sim_node *n = &s->nodes[ev->node];
	struct sim_node *peer = sim_node_by_id(s, ev->from);

	if (!peer || !peer->coord)
		return;
	if (s->cut[peer->place][n->place] || s->cut[n->place][peer->place]) {
		queue_link(s, ev->node, ev->id, ev->from, 300);
		return;
	}
	syc_coord_peer_up(n->coord, s->now, &peer->inst);
}

static void tell_gone(struct sim *s, const struct sim_event *ev)
{
	struct sim_node *n = &s->nodes[ev->node];
	struct sim_event again = *ev;

	if (n->coord && !n->paused)
		syc_coord_listed_gone(n->coord, s->now, ev->from);
	again.at = s->now + 3000;
	sim_push(s, again);
}

static void handle(struct sim *s, struct sim_event *ev)
{
	struct sim_node *n = &s->nodes[ev->node];
	struct syc_bytes msg = {ev->data, ev->len};
	struct sim_event again = *ev;

	switch (ev->kind) {
	case EV_TICK:
		syc_coord_tick(n->coord, s->now);
		again.at = s->now + SIM_TICK_MS;
		sim_push(s, again);
		break;
	case EV_MSG:
		syc_coord_receive(n->coord, s->now, ev->from, msg);
		break;
	case EV_LINK:
		link_up(s, ev);
		break;
	case EV_SUBMIT:
		sim_submit_at(n, ev->key, ev->hops);
		break;
	case EV_END:
		syc_coord_end(n->coord, s->now, &s->keys[ev->key].key,
			      ev->hops);
		break;
	default:
		break;
	}
}

/* Events that do not need a live, running instance. */
static bool handle_anyway(struct sim *s, struct sim_event *ev)
{
	switch (ev->kind) {
	case EV_STORE:
	case EV_WATCH:
		sim_store_take(s, *ev);
		return true;
	case EV_REPLY:
		if (s->nodes[ev->node].inst.id == ev->id &&
		    s->nodes[ev->node].coord && s->nodes[ev->node].paused)
			return false;
		sim_store_reply(s, ev);
		return true;
	case EV_GONE:
		tell_gone(s, ev);
		return true;
	default:
		return false;
	}
}

static void step(struct sim *s)
{
	struct sim_event ev = sim_pop(s);
	struct sim_node *n = &s->nodes[ev.node];

	s->now = ev.at > s->now ? ev.at : s->now;
	if (handle_anyway(s, &ev))
		return;
	if (n->inst.id != ev.id || !n->coord) {
		free(ev.data);
		return;
	}
	if (n->paused) {
		ev.at = s->now + 10;
		sim_push(s, ev);
		return;
	}
	handle(s, &ev);
	free(ev.data);
}

void sim_run(struct sim *s, int64_t ms)
{
	int64_t until = s->now + ms;

	while (s->n_heap && s->heap[0].at <= until)
		step(s);
	s->now = until;
}

void sim_init(struct sim *s, uint64_t seed, int n_nodes)
{
	unsigned i;

	memset(s, 0, sizeof(*s));
	s->rng.state = seed;
	s->now = 1000;
	s->n_nodes = n_nodes;
	s->delay_ms = 2;
	s->gone_lag_ms = 8000;
	s->heartbeat_ms = SIM_HEARTBEAT_MS;
	s->suspect_ms = SIM_SUSPECT_MS;
	s->n_keys = 400;
	memset(&s->rules, true, sizeof(s->rules));
	for (i = 0; i < SIM_KEYS; i++) {
		struct index_key k = index_hash_number(i * 7919 + 1);

		memcpy(s->keys[i].key.b, &k, sizeof(k));
		s->keys[i].ticket = i % 2;
	}
}

void sim_free(struct sim *s)
{
	size_t i;

	for (i = 0; i < SIM_NODES; i++)
		syc_coord_free(s->nodes[i].coord);
	for (i = 0; i < s->n_heap; i++) {
		struct sim_event *ev = &s->heap[i];

		free(ev->data);
		if (ev->call.done)
			sim_store_reply(s, ev);
	}
	free(s->heap);
	for (i = 0; i < s->store.n_past; i++)
		free(s->store.past[i]);
}

static bool slice_whole(const struct sim *s, const struct map *m, unsigned i,
			int live)
{
	const struct map_slice *sl = &m->slices[i];
	bool primary = false, backup = live == 1;
	int k;

	for (k = 0; k < s->n_nodes; k++) {
		const struct sim_node *n = &s->nodes[k];

		if (!n->coord)
			continue;
		primary |= n->inst.id == sl->primary;
		backup |= n->inst.id == sl->backup &&
			  n->coord->complete >> i & 1;
	}
	return primary && backup;
}

bool sim_settled(const struct sim *s)
{
	const struct map *m = NULL;
	int i, live = 0;
	unsigned k;

	for (i = 0; i < s->n_nodes; i++) {
		const struct syc_coord *c = s->nodes[i].coord;

		if (!c)
			continue;
		live++;
		if (!m)
			m = &c->map;
		if (!syc_coord_ready(c) || c->map.epoch != m->epoch ||
		    c->map.tag != m->tag)
			return false;
	}
	if (!m || (int)m->n != live)
		return false;
	for (k = 0; k < SYC_SLICES; k++)
		if (!slice_whole(s, m, k, live))
			return false;
	return true;
}
