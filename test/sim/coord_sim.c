#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/wire.h"
#include "coord_sim_internal.h"
#include "util/alloc.h"
#include "util/index.h"

static void queue_msg(struct coord_sim *s, const struct coord_sim_node *from,
		      const struct coord_sim_node *to, struct syc_bytes msg)
{
	struct coord_sim_event ev = {.kind = EV_MSG,
				     .node = to->place,
				     .id = to->inst.id,
				     .from = from->inst.id,
				     .len = msg.n};

	ev.at = s->now + (int64_t)rng_below(&s->rng, s->delay_ms + 1);
	ev.data = xmemdup(msg.p, msg.n);
	coord_sim_push(s, ev);
}

static void on_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct coord_sim_node *from = ctx;
	struct coord_sim *s = from->sim;
	struct coord_sim_node *dst = coord_sim_find_node(s, to);

	if (!dst || !dst->coord || s->cut[from->place][dst->place] ||
	    s->blocked_types >> wire_type(msg) & 1 ||
	    coord_sim_chance(s, s->drop_percent))
		return;
	queue_msg(s, from, dst, msg);
	if (coord_sim_chance(s, s->duplicate_percent))
		queue_msg(s, from, dst, msg);
}

static void on_changed(void *ctx)
{
}

static void queue_link(struct coord_sim *s, int place, uint64_t id,
		       uint64_t from, int64_t delay)
{
	struct coord_sim_event ev = {.kind = EV_LINK,
				     .node = place,
				     .id = id,
				     .from = from,
				     .at = s->now + delay};

	coord_sim_push(s, ev);
}

void coord_sim_start(struct coord_sim *s, int place)
{
	struct coord_sim_node *n = &s->nodes[place];
	struct syc_coord_options opt = {.heartbeat_ms = s->heartbeat_ms,
					.suspect_ms = s->suspect_ms,
					.retention_ms = COORD_SIM_RETENTION_MS,
					.claims_max = 1 << 20,
					.ctx = n,
					.send = on_send,
					.claimed = coord_sim_on_claimed,
					.changed = on_changed};
	struct coord_sim_event tick = {.kind = EV_TICK, .node = place};
	int i;

	n->sim = s;
	n->place = place;
	n->paused = false;
	n->inst.id = index_number(++s->next_id ^ 0x5eed).lo | 1;
	snprintf(n->inst.name, sizeof(n->inst.name), "i%d", place);
	snprintf(n->inst.domain, sizeof(n->inst.domain), "d");
	snprintf(n->inst.rack, sizeof(n->inst.rack), "r%d", place / 2);
	snprintf(n->inst.peer_addr.ip, sizeof(n->inst.peer_addr.ip),
		 "127.0.0.1");
	n->inst.peer_addr.port = (uint16_t)(1000 + (s->keeps_addr
							    ? (uint64_t)place
							    : s->next_id));
	opt.self = n->inst;
	opt.seed = rng_next(&s->rng);
	opt.store.ctx = n;
	opt.store.get = coord_sim_on_get;
	opt.store.cas = coord_sim_on_cas;
	opt.store.watch = coord_sim_on_watch;
	n->coord = syc_coord_new(&opt, s->now);
	*coord_rules(n->coord) = s->rules;
	tick.id = n->inst.id;
	tick.at = s->now + (int64_t)rng_below(&s->rng, COORD_SIM_TICK_MS);
	coord_sim_push(s, tick);
	for (i = 0; i < s->n_nodes; i++) {
		if (i == place || !s->nodes[i].coord)
			continue;
		queue_link(s, place, n->inst.id, s->nodes[i].inst.id, 20);
		queue_link(s, i, s->nodes[i].inst.id, n->inst.id, 20);
	}
}

void coord_sim_kill(struct coord_sim *s, int place)
{
	struct coord_sim_node *n = &s->nodes[place];
	struct coord_sim_event ev = {.kind = EV_GONE, .from = n->inst.id};
	int i;

	if (!n->coord)
		return;
	syc_coord_free(n->coord);
	n->coord = NULL;
	ev.at = s->now + s->list_delay_ms;
	for (i = 0; i < s->n_nodes; i++) {
		ev.node = i;
		coord_sim_push(s, ev);
	}
}

void coord_sim_set_paused(struct coord_sim *s, int place, bool paused)
{
	s->nodes[place].paused = paused && s->nodes[place].coord;
}

void coord_sim_cut_link(struct coord_sim *s, int a, int b, bool both)
{
	s->cut[a][b] = true;
	s->cut[b][a] |= both;
}

void coord_sim_isolate(struct coord_sim *s, int place)
{
	int i;

	for (i = 0; i < s->n_nodes; i++)
		if (i != place)
			coord_sim_cut_link(s, place, i, true);
	s->nodes[place].store_cut = true;
}

void coord_sim_heal(struct coord_sim *s)
{
	int i;

	memset(s->cut, 0, sizeof(s->cut));
	s->store.down = false;
	s->store.delay_max_ms = 0;
	s->store.lost_reply_percent = 0;
	s->store.stale_read_percent = 0;
	s->drop_percent = 0;
	s->duplicate_percent = 0;
	s->blocked_types = 0;
	for (i = 0; i < s->n_nodes; i++) {
		s->nodes[i].paused = false;
		s->nodes[i].store_cut = false;
	}
}

static void link_up(struct coord_sim *s, struct coord_sim_event *ev)
{
	struct coord_sim_node *n = &s->nodes[ev->node];
	struct coord_sim_node *peer = coord_sim_find_node(s, ev->from);

	if (!peer || !peer->coord)
		return;
	if (s->cut[peer->place][n->place] || s->cut[n->place][peer->place]) {
		queue_link(s, ev->node, ev->id, ev->from, 300);
		return;
	}
	syc_coord_peer_up(n->coord, s->now, &peer->inst);
}

static void tell_gone(struct coord_sim *s, const struct coord_sim_event *ev)
{
	struct coord_sim_node *n = &s->nodes[ev->node];
	struct coord_sim_event again = *ev;

	if (n->coord && !n->paused)
		syc_coord_listed_gone(n->coord, s->now, ev->from);
	again.at = s->now + 3000;
	coord_sim_push(s, again);
}

static void handle(struct coord_sim *s, struct coord_sim_event *ev)
{
	struct coord_sim_node *n = &s->nodes[ev->node];
	struct syc_bytes msg = {ev->data, ev->len};
	struct coord_sim_event again = *ev;

	switch (ev->kind) {
	case EV_TICK:
		syc_coord_tick(n->coord, s->now);
		again.at = s->now + COORD_SIM_TICK_MS;
		coord_sim_push(s, again);
		break;
	case EV_MSG:
		syc_coord_receive(n->coord, s->now, ev->from, msg);
		break;
	case EV_LINK:
		link_up(s, ev);
		break;
	case EV_SUBMIT:
		coord_sim_submit_at(n, ev->key, ev->hops);
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
static bool handle_anyway(struct coord_sim *s, struct coord_sim_event *ev)
{
	switch (ev->kind) {
	case EV_STORE:
	case EV_WATCH:
		coord_sim_store_process(s, *ev);
		return true;
	case EV_REPLY:
		if (s->nodes[ev->node].inst.id == ev->id &&
		    s->nodes[ev->node].coord && s->nodes[ev->node].paused)
			return false;
		coord_sim_store_reply(s, ev);
		return true;
	case EV_GONE:
		tell_gone(s, ev);
		return true;
	default:
		return false;
	}
}

static void step(struct coord_sim *s)
{
	struct coord_sim_event ev = coord_sim_pop(s);
	struct coord_sim_node *n = &s->nodes[ev.node];

	s->now = ev.at > s->now ? ev.at : s->now;
	if (handle_anyway(s, &ev))
		return;
	if (n->inst.id != ev.id || !n->coord) {
		free(ev.data);
		return;
	}
	if (n->paused) {
		ev.at = s->now + 10;
		coord_sim_push(s, ev);
		return;
	}
	handle(s, &ev);
	free(ev.data);
}

void coord_sim_run(struct coord_sim *s, int64_t ms)
{
	int64_t until = s->now + ms;

	while (s->n_heap && s->heap[0].at <= until)
		step(s);
	s->now = until;
}

void coord_sim_init(struct coord_sim *s, uint64_t seed, int n_nodes)
{
	unsigned i;

	memset(s, 0, sizeof(*s));
	s->rng.state = seed;
	s->now = 1000;
	s->n_nodes = n_nodes;
	s->delay_ms = 2;
	s->list_delay_ms = 8000;
	s->heartbeat_ms = COORD_SIM_HEARTBEAT_MS;
	s->suspect_ms = COORD_SIM_SUSPECT_MS;
	s->n_keys = 400;
	memset(&s->rules, true, sizeof(s->rules));
	for (i = 0; i < COORD_SIM_KEYS_MAX; i++) {
		struct index_key k = index_number(i * 7919 + 1);

		memcpy(s->keys[i].key.b, &k, sizeof(k));
		s->keys[i].ticket = i % 2;
	}
}

void coord_sim_free(struct coord_sim *s)
{
	size_t i;

	for (i = 0; i < COORD_SIM_NODES_MAX; i++)
		syc_coord_free(s->nodes[i].coord);
	for (i = 0; i < s->n_heap; i++) {
		struct coord_sim_event *ev = &s->heap[i];

		free(ev->data);
		if (ev->call.done)
			coord_sim_store_reply(s, ev);
	}
	free(s->heap);
	for (i = 0; i < s->store.n_history; i++)
		free(s->store.history[i]);
}

static bool slice_whole(const struct coord_sim *s, const struct map *m,
			unsigned i, int live)
{
	const struct map_slice *sl = &m->slices[i];
	bool primary = false, backup = live == 1;
	int k;

	for (k = 0; k < s->n_nodes; k++) {
		const struct coord_sim_node *n = &s->nodes[k];

		if (!n->coord)
			continue;
		primary |= n->inst.id == sl->primary;
		backup |= n->inst.id == sl->backup &&
			  n->coord->complete_slices >> i & 1;
	}
	return primary && backup;
}

bool coord_sim_is_settled(const struct coord_sim *s)
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
	if (!m || (int)m->n_members != live)
		return false;
	for (k = 0; k < SYC_SLICES; k++)
		if (!slice_whole(s, m, k, live))
			return false;
	return true;
}
