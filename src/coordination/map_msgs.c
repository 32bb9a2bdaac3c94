#include <string.h>

#include "coordination/coord_state.h"
#include "protocol/wire.h"
#include "util/cleanup.h"
#include "util/log.h"

enum {
	ASK_GAP_MS = 100 /* between two requests for the map */
};

static void pack_map(const struct syc_coord *c, struct wire_out *w)
{
	auto_free char *text = map_encode(&c->map);
	struct syc_bytes b = {text, strlen(text)};

	wire_begin(w, SYC_PEER_MAP, 1);
	wire_put_bytes(w, b.p, b.n);
}

static void send_map(struct syc_coord *c, uint64_t to, struct syc_bytes msg)
{
	c->stats.map_msgs++;
	c->stats.map_bytes += msg.n;
	coord_send(c, to, msg);
}

void map_push(struct syc_coord *c, uint64_t to)
{
	auto_wire_out struct wire_out w;

	pack_map(c, &w);
	send_map(c, to, wire_bytes(&w));
}

void map_push_all(struct syc_coord *c)
{
	auto_wire_out struct wire_out w;
	size_t i;

	pack_map(c, &w);
	for (i = 0; i < c->peers.n; i++)
		if (c->peers.p[i]->local && peer_alive(c->peers.p[i]))
			send_map(c, c->peers.p[i]->inst.id, wire_bytes(&w));
}

void map_ask(struct syc_coord *c, uint64_t to)
{
	auto_wire_out struct wire_out w;

	wire_begin(&w, SYC_PEER_MAP_REQUEST, 1);
	wire_put_u64(&w, c->map.epoch);
	if (c->map_asked_at && c->now - c->map_asked_at < ASK_GAP_MS)
		return;
	c->map_asked_at = c->now;
	c->stats.map_msgs++;
	c->stats.map_bytes += wire_bytes(&w).n;
	coord_send(c, to, wire_bytes(&w));
}

bool map_asked(struct syc_coord *c, uint64_t from, struct syc_bytes msg)
{
	struct wire_in w;
	uint64_t epoch;

	wire_open(&w, msg);
	epoch = wire_u64(&w);
	if (!wire_close(&w))
		return false;
	if (epoch < c->map.epoch)
		map_push(c, from);
	return true;
}

/* A peer only sends a map that the store has taken. */
bool map_receive(struct syc_coord *c, uint64_t from, struct syc_bytes msg)
{
	struct wire_in w;
	struct syc_bytes text;
	struct map m;
	bool ok;

	wire_open(&w, msg);
	text = wire_view(&w);
	ok = !w.failed && map_decode(&m, text) == COORDINATION_OK;
	if (!wire_close(&w) || !ok) {
		log_warn("map_refused", LOG_U("peer", from),
			 LOG_S("why", coordination_message()));
		return false;
	}
	if (m.epoch > c->map.epoch)
		coord_adopt(c, &m);
	return true;
}
