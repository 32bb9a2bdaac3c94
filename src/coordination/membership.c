#include <string.h>

#include "coordination/coord_state.h"
#include "protocol/wire.h"

enum {
	/*
	 * Multiple of suspect_ms. A peer without a link that is not in the map
	 * is dropped after this time without a message.
	 */
	DROP_SUSPECT_MULTIPLE = 20,
	HEARTBEAT_FLAG_LEAVING = 1,
	FULL_RATE_PEERS_MAX = 8, /* more peers lengthen the interval */
	HEARTBEATS_PER_SUSPECT_TIME_MIN = 3
};

static bool is_delegate(const struct syc_coord *c)
{
	return membership_rank(c) < DELEGATES;
}

/*
 * Whether `p` is one of the instances of its domain that receive heartbeats
 * from this one. A live peer has to be among the first DELEGATES live ones by
 * id. A suspected peer has to be among the first DELEGATES of all by id, so
 * that the end of a network partition is noticed.
 */
static bool is_foreign_delegate(const struct syc_coord *c, const struct peer *p)
{
	size_t i, n_before = 0;

	for (i = 0; i < c->peers.n; i++) {
		const struct peer *q = c->peers.list[i];

		if ((peer_is_alive(q) || !peer_is_alive(p)) &&
		    q->instance.id < p->instance.id &&
		    !strcmp(q->instance.domain, p->instance.domain))
			n_before++;
	}
	return n_before < DELEGATES;
}

static uint64_t suspected_members(const struct syc_coord *c)
{
	uint64_t bits = 0;
	size_t i;

	for (i = 0; i < c->map.n_members; i++) {
		const struct peer *p = peers_find(&c->peers,
						  c->map.members[i].id);

		if (p && !peer_is_alive(p))
			bits |= 1ULL << i;
	}
	return bits;
}

static void encode_heartbeat(const struct syc_coord *c, struct wire_out *w)
{
	wire_begin(w, SYC_PEER_HEARTBEAT, 6);
	wire_put_u64(w, c->map.epoch);
	wire_put_u64(w, c->map.tag);
	wire_put_u64(w, c->bundle_version);
	wire_put_u64(w, c->is_leaving ? HEARTBEAT_FLAG_LEAVING : 0);
	wire_put_u64(w, c->complete_slices);
	wire_put_u64(w, suspected_members(c));
}

static void send_heartbeats(struct syc_coord *c)
{
	auto_wire_out struct wire_out w;
	bool sends_to_other_domains = is_delegate(c);
	size_t i;

	encode_heartbeat(c, &w);
	for (i = 0; i < c->peers.n; i++) {
		const struct peer *p = c->peers.list[i];

		if (p->is_listed_gone && p->is_suspected)
			continue;
		if (!p->is_local &&
		    (!sends_to_other_domains || !is_foreign_delegate(c, p)))
			continue;
		c->stats.heartbeats++;
		c->stats.heartbeat_bytes += wire_bytes(&w).n;
		coord_send(c, p->instance.id, wire_bytes(&w));
	}
}

static bool may_drop(const struct syc_coord *c, const struct peer *p)
{
	int64_t silence_ms = c->now - p->last_message_at;

	return map_find_member(&c->map, p->instance.id) < 0 && !p->is_link_up &&
	       silence_ms > (int64_t)c->opt.suspect_ms * DROP_SUSPECT_MULTIPLE;
}

/*
 * Suspects the peers that sent no message for suspect_ms and drops those that
 * sent none for much longer. Returns whether a peer was suspected or dropped.
 */
static bool update_suspicions(struct syc_coord *c)
{
	bool any_changed = false;
	size_t i = 0;

	while (i < c->peers.n) {
		struct peer *p = c->peers.list[i];

		if (may_drop(c, p)) {
			peers_remove(&c->peers, i);
			any_changed = true;
			continue;
		}
		if (!p->is_suspected &&
		    c->now - p->last_message_at > (int64_t)c->opt.suspect_ms) {
			p->is_suspected = true;
			any_changed = true;
		}
		i++;
	}
	return any_changed;
}

/*
 * Returns the interval between heartbeats. It grows with the number of peers,
 * as far as suspect_ms allows, so that the rate of messages that an instance
 * sends stays about the same.
 */
static int64_t heartbeat_interval_ms(const struct syc_coord *c)
{
	int64_t longest_ms = c->opt.suspect_ms /
			     HEARTBEATS_PER_SUSPECT_TIME_MIN;
	int64_t interval_ms = c->opt.heartbeat_ms;
	size_t i, n = 0;

	for (i = 0; i < c->peers.n; i++)
		n += c->peers.list[i]->is_local &&
		     peer_is_alive(c->peers.list[i]);
	if (n > FULL_RATE_PEERS_MAX)
		interval_ms = interval_ms * (int64_t)n / FULL_RATE_PEERS_MAX;
	if (interval_ms > longest_ms && longest_ms > c->opt.heartbeat_ms)
		interval_ms = longest_ms;
	return interval_ms;
}

void membership_tick(struct syc_coord *c)
{
	if (c->now >= c->next_heartbeat_at) {
		c->next_heartbeat_at = c->now + heartbeat_interval_ms(c);
		send_heartbeats(c);
	}
	if (update_suspicions(c))
		c->opt.changed(c->opt.ctx);
}

/*
 * After a pause of this instance, messages of the peers may still wait to be
 * read. The instance waits suspect_ms again before it suspects a peer, and the
 * store has to confirm the map before the instance serves alone.
 */
void membership_handle_pause(struct syc_coord *c)
{
	size_t i;

	for (i = 0; i < c->peers.n; i++)
		c->peers.list[i]->last_message_at = c->now;
	c->needs_confirmation = true;
	c->store.needs_read = true;
	c->store.change_at = 0;
}

bool membership_receive_heartbeat(struct syc_coord *c, struct peer *from,
				  struct syc_bytes msg)
{
	struct wire_in w;
	struct peer reported = *from;
	uint64_t flags;

	wire_open(&w, msg);
	reported.epoch = wire_u64(&w);
	reported.tag = wire_u64(&w);
	reported.bundle_version = wire_u64(&w);
	flags = wire_u64(&w);
	reported.complete_slices = wire_u64(&w);
	reported.suspected_members = wire_u64(&w);
	if (!wire_close(&w))
		return false;
	reported.is_leaving = from->is_leaving ||
			      flags & HEARTBEAT_FLAG_LEAVING;
	*from = reported;
	if (!from->is_local)
		return true;
	if (reported.epoch > c->map.epoch)
		map_request(c, from->instance.id);
	else if (reported.epoch && reported.epoch == c->map.epoch &&
		 reported.tag != c->map.tag)
		c->store.needs_read = true;
	return true;
}

void membership_add_members(struct syc_coord *c)
{
	struct syc_instance inst;
	size_t i;

	for (i = 0; i < c->map.n_members; i++) {
		const struct map_member *m = &c->map.members[i];
		struct peer *p;

		if (m->id == c->opt.self.id || peers_find(&c->peers, m->id))
			continue;
		inst = c->opt.self;
		inst.id = m->id;
		inst.peer_addr = m->addr;
		memcpy(inst.name, m->name, sizeof(inst.name));
		memcpy(inst.rack, m->rack, sizeof(inst.rack));
		p = peers_add(&c->peers, &inst, c->now);
		if (p)
			p->is_local = true;
	}
}

size_t membership_rank(const struct syc_coord *c)
{
	bool is_member = map_find_member(&c->map, c->opt.self.id) >= 0;
	size_t i, rank = 0;

	for (i = 0; i < c->peers.n; i++) {
		const struct peer *p = c->peers.list[i];

		if (!p->is_local || !p->has_contact || !peer_is_alive(p))
			continue;
		if (is_member ? map_find_member(&c->map, p->instance.id) >= 0 &&
					p->instance.id < c->opt.self.id
			      : c->map.epoch || p->instance.id < c->opt.self.id)
			rank++;
	}
	return rank;
}

bool membership_is_alive(const struct syc_coord *c, uint64_t id)
{
	const struct peer *p = peers_find(&c->peers, id);

	return p && peer_is_alive(p);
}
