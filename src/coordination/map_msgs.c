#include <string.h>

#include "coordination/coord_state.h"
#include "protocol/wire.h"
#include "util/cleanup.h"
#include "util/log.h"

enum {
	REQUEST_INTERVAL_MS = 100 /* between two requests for the map */
};

static void encode_map_message(const struct syc_coord *c, struct wire_out *w)
{
	auto_free char *text = map_encode(&c->map);
	struct syc_bytes encoded = {text, strlen(text)};

	wire_begin(w, SYC_PEER_MAP, 1);
	wire_put_bytes(w, encoded.p, encoded.n);
}

static void send_counted(struct syc_coord *c, uint64_t to, struct syc_bytes msg)
{
	c->stats.map_msgs++;
	c->stats.map_bytes += msg.n;
	coord_send(c, to, msg);
}

void map_send(struct syc_coord *c, uint64_t to)
{
	auto_wire_out struct wire_out w;

	encode_map_message(c, &w);
	send_counted(c, to, wire_bytes(&w));
}

void map_broadcast(struct syc_coord *c)
{
	auto_wire_out struct wire_out w;
	size_t i;

	encode_map_message(c, &w);
	for (i = 0; i < c->peers.n; i++)
		if (c->peers.list[i]->is_local &&
		    peer_is_alive(c->peers.list[i]))
			send_counted(c, c->peers.list[i]->instance.id,
				     wire_bytes(&w));
}

void map_request(struct syc_coord *c, uint64_t to)
{
	auto_wire_out struct wire_out w;

	wire_begin(&w, SYC_PEER_MAP_REQUEST, 1);
	wire_put_u64(&w, c->map.epoch);
	if (c->map_requested_at &&
	    c->now - c->map_requested_at < REQUEST_INTERVAL_MS)
		return;
	c->map_requested_at = c->now;
	c->stats.map_msgs++;
	c->stats.map_bytes += wire_bytes(&w).n;
	coord_send(c, to, wire_bytes(&w));
}

bool map_receive_request(struct syc_coord *c, uint64_t from,
			 struct syc_bytes msg)
{
	struct wire_in w;
	uint64_t epoch;

	wire_open(&w, msg);
	epoch = wire_u64(&w);
	if (!wire_close(&w))
		return false;
	if (epoch < c->map.epoch)
		map_send(c, from);
	return true;
}

/* Adopts a newer map. Peers only send maps that the store has accepted. */
bool map_receive(struct syc_coord *c, uint64_t from, struct syc_bytes msg)
{
	struct wire_in w;
	struct syc_bytes text;
	struct map m;
	bool is_valid;

	wire_open(&w, msg);
	text = wire_view(&w);
	is_valid = !w.failed && map_decode(&m, text) == COORDINATION_OK;
	if (!wire_close(&w) || !is_valid) {
		log_warn("map_refused", LOG_U("peer", from),
			 LOG_S("why", coordination_last_error()));
		return false;
	}
	if (m.epoch > c->map.epoch)
		coord_adopt_map(c, &m);
	return true;
}
