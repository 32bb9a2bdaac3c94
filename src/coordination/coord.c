/* The public calls of the coordination, which combine its parts. */
#include <stdlib.h>
#include <string.h>

#include "coordination/coord_state.h"
#include "protocol/wire.h"
#include "util/alloc.h"
#include "util/invariant.h"
#include "util/log.h"

enum {
	/* A gap between calls above suspect_ms / PAUSE_DIVISOR is a pause. */
	PAUSE_DIVISOR = 2,
	REJOIN_BACKOFF_MS = 2000, /* doubled by each further removal */
	REJOIN_DOUBLINGS = 5,
	/* A removal this long after the last backoff counts as the first. */
	STABLE_MEMBERSHIP_MS = 120000
};

struct syc_coord *syc_coord_new(const struct syc_coord_options *opt,
				int64_t now)
{
	struct syc_coord *c = xcalloc(1, sizeof(*c));

	invariant(opt->self.id && opt->heartbeat_ms && opt->suspect_ms);
	c->opt = *opt;
	c->rng.state = opt->seed ^ opt->self.id;
	c->created_at = now;
	c->now = now;
	memset(&c->rules, true, sizeof(c->rules));
	claims_init(&c->claims);
	map_store_init(c);
	return c;
}

void syc_coord_free(struct syc_coord *c)
{
	if (!c)
		return;
	map_store_free(c);
	claims_free(&c->claims);
	peers_free(&c->peers);
	free(c);
}

struct coord_rules *coord_rules(struct syc_coord *c)
{
	return &c->rules;
}

void coord_send(struct syc_coord *c, uint64_t to, struct syc_bytes msg)
{
	if (to && to != c->opt.self.id)
		c->opt.send(c->opt.ctx, to, msg);
}

void coord_set_now(struct syc_coord *c, int64_t now)
{
	int64_t gap = now - c->now;

	if (gap <= 0)
		return;
	c->now = now;
	if (gap > (int64_t)c->opt.suspect_ms / PAUSE_DIVISOR)
		membership_handle_pause(c);
}

/*
 * Marks the copies of changed entries as incomplete and records when new loss
 * marks were first seen.
 */
static void update_slice_state(struct syc_coord *c, const struct map *old)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++) {
		const struct map_slice *after = &c->map.slices[s];
		const struct map_slice *before = &old->slices[s];

		if (after->entry_epoch != before->entry_epoch ||
		    after->primary != before->primary ||
		    after->backup != before->backup)
			c->complete_slices &= ~(1ULL << s);
		if (after->loss_epoch &&
		    after->loss_epoch != before->loss_epoch)
			c->loss_seen_at[s] = c->now;
	}
}

/*
 * Delays the next join of this instance after its removal; each removal doubles
 * the delay. Peers remove an instance whose messages do not reach them. Without
 * the delay an instance that still receives their messages would join again at
 * once. A peer that receives the messages of the instance may add it earlier.
 */
static void delay_rejoin(struct syc_coord *c, const struct map *old)
{
	unsigned doublings;

	if (map_find_member(old, c->opt.self.id) < 0 ||
	    map_find_member(&c->map, c->opt.self.id) >= 0)
		return;
	if (c->now - c->rejoin_at > STABLE_MEMBERSHIP_MS)
		c->removals = 0;
	doublings = c->removals < REJOIN_DOUBLINGS ? c->removals
						   : REJOIN_DOUBLINGS;
	c->removals++;
	c->rejoin_at = c->now + ((int64_t)REJOIN_BACKOFF_MS << doublings);
}

void coord_adopt_map(struct syc_coord *c, const struct map *m)
{
	struct map *old = xmemdup(&c->map, sizeof(c->map));

	invariant(m->epoch >= old->epoch);
	if (!map_follows(old, m)) {
		log_error("map_fork", LOG_U("epoch", m->epoch),
			  LOG_U("had", old->epoch));
		c->store.has_forked = true;
	}
	c->map = *m;
	c->map_adopted_at = c->now;
	c->store.change_at = 0;
	log_info("map_adopted", LOG_U("epoch", m->epoch),
		 LOG_U("members", m->n_members));
	delay_rejoin(c, old);
	update_slice_state(c, old);
	membership_add_members(c);
	claim_copy_map_changed(c, old);
	claim_serve_map_changed(c);
	free(old);
	c->opt.changed(c->opt.ctx);
}

void syc_coord_tick(struct syc_coord *c, int64_t now)
{
	coord_set_now(c, now);
	membership_tick(c);
	map_store_tick(c);
	claim_serve_tick(c);
	claim_ends_tick(c);
	claim_copy_tick(c);
	claim_sweep_tick(c);
}

void syc_coord_peer_up(struct syc_coord *c, int64_t now,
		       const struct syc_instance *peer)
{
	struct peer *p;

	coord_set_now(c, now);
	if (!peer->id || peer->id == c->opt.self.id)
		return;
	p = peers_add(&c->peers, peer, now);
	if (!p) {
		log_warn("peer_ignored", LOG_S("peer", peer->name));
		return;
	}
	p->instance = *peer;
	p->is_local = !strcmp(peer->domain, c->opt.self.domain);
	p->is_link_up = true;
	p->has_contact = true;
	p->is_suspected = false;
	p->last_message_at = now;
	c->next_heartbeat_at = now;
	c->opt.changed(c->opt.ctx);
}

void syc_coord_peer_down(struct syc_coord *c, int64_t now, uint64_t peer)
{
	struct peer *p = peers_find(&c->peers, peer);

	coord_set_now(c, now);
	if (p)
		p->is_link_up = false;
}

void syc_coord_peer_unlisted(struct syc_coord *c, int64_t now, uint64_t peer)
{
	struct peer *p = peers_find(&c->peers, peer);

	coord_set_now(c, now);
	if (p)
		p->is_listed_gone = true;
}

static bool receive_leave(struct peer *from, struct syc_bytes msg)
{
	struct wire_in w;

	wire_open(&w, msg);
	if (!wire_close(&w))
		return false;
	from->is_leaving = true;
	return true;
}

static bool dispatch_message(struct syc_coord *c, struct peer *from, int type,
			     struct syc_bytes msg)
{
	uint64_t id = from->instance.id;

	switch (type) {
	case SYC_PEER_LEAVE:
		return receive_leave(from, msg);
	case SYC_PEER_MAP_REQUEST:
		return map_receive_request(c, id, msg);
	case SYC_PEER_MAP:
		return map_receive(c, id, msg);
	case SYC_PEER_CLAIM:
		return claim_receive(c, id, msg);
	case SYC_PEER_CLAIM_ACK:
		return claim_receive_ack(c, id, msg);
	case SYC_PEER_CLAIM_END:
		return claim_receive_ends(c, id, msg);
	case SYC_PEER_CLAIM_COPY:
		return claim_copy_receive(c, id, msg);
	case SYC_PEER_CLAIM_COPY_ACK:
		return claim_copy_receive_ack(c, id, msg);
	default:
		return false;
	}
}

bool syc_coord_receive(struct syc_coord *c, int64_t now, uint64_t from,
		       struct syc_bytes msg)
{
	struct peer *p = peers_find(&c->peers, from);
	int type = wire_type(msg);
	bool was_suspected;

	coord_set_now(c, now);
	if (!type)
		return false;
	if (!p)
		return true;
	was_suspected = p->is_suspected;
	p->last_message_at = now;
	p->has_contact = true;
	p->is_suspected = false;
	p->is_listed_gone = false;
	if (was_suspected)
		c->opt.changed(c->opt.ctx);
	if (type == SYC_PEER_HEARTBEAT)
		return membership_receive_heartbeat(c, p, msg);
	return !p->is_local || dispatch_message(c, p, type, msg);
}

void syc_coord_set_bundle(struct syc_coord *c, uint64_t version,
			  const uint8_t digest[SYC_DIGEST_LEN])
{
	c->bundle_version = version;
	memcpy(c->bundle_digest, digest, SYC_DIGEST_LEN);
}

void syc_coord_set_retention(struct syc_coord *c, uint32_t retention_ms)
{
	if (retention_ms)
		c->opt.retention_ms = retention_ms;
}

struct syc_claim_result syc_coord_claim(struct syc_coord *c, int64_t now,
					const struct syc_claim_key *key,
					const uint8_t digest[SYC_DIGEST_LEN],
					uint64_t ticket_epoch)
{
	coord_set_now(c, now);
	return claim_serve_attempt(c, key, digest, ticket_epoch);
}

struct syc_claim_result syc_coord_lookup(struct syc_coord *c, int64_t now,
					 const struct syc_claim_key *key)
{
	coord_set_now(c, now);
	return claim_serve_lookup(c, key);
}

void syc_coord_end_claim(struct syc_coord *c, int64_t now,
			 const struct syc_claim_key *key,
			 enum syc_outcome outcome)
{
	coord_set_now(c, now);
	claim_serve_end(c, key, outcome);
}

uint64_t syc_coord_epoch(const struct syc_coord *c)
{
	return c->map.epoch;
}

bool syc_coord_ready(const struct syc_coord *c)
{
	if (c->is_leaving)
		return c->map.epoch;
	return map_find_member(&c->map, c->opt.self.id) >= 0;
}

bool syc_coord_is_primary(const struct syc_coord *c,
			  const struct syc_claim_key *key)
{
	return c->map.slices[map_slice_of(key)].primary == c->opt.self.id;
}

uint64_t syc_coord_owner(const struct syc_coord *c, const char *name)
{
	return map_target_owner(&c->map, name);
}

size_t syc_coord_members(const struct syc_coord *c, struct syc_instance *out,
			 size_t max)
{
	size_t i, n = 0;

	if (max)
		out[n++] = c->opt.self;
	for (i = 0; i < c->peers.n && n < max; i++)
		if (c->peers.list[i]->is_local &&
		    peer_is_alive(c->peers.list[i]))
			out[n++] = c->peers.list[i]->instance;
	return n;
}

bool syc_coord_peer_bundle(const struct syc_coord *c, uint64_t id,
			   uint64_t *version)
{
	const struct peer *p = peers_find(&c->peers, id);

	if (!p)
		return false;
	*version = p->bundle_version;
	return true;
}

void syc_coord_leave(struct syc_coord *c, int64_t now)
{
	auto_wire_out struct wire_out w;
	size_t i;

	wire_begin(&w, SYC_PEER_LEAVE, 0);
	coord_set_now(c, now);
	c->is_leaving = true;
	for (i = 0; i < c->peers.n; i++)
		if (c->peers.list[i]->is_local)
			coord_send(c, c->peers.list[i]->instance.id,
				   wire_bytes(&w));
}

/* Whether another instance can take over the slices. */
static bool has_successor(const struct syc_coord *c)
{
	size_t i;

	for (i = 0; i < c->peers.n; i++) {
		const struct peer *p = c->peers.list[i];

		if (p->is_local && p->has_contact && peer_is_alive(p) &&
		    !p->is_leaving)
			return true;
	}
	return false;
}

bool syc_coord_has_left(const struct syc_coord *c)
{
	unsigned s;

	if (!c->is_leaving)
		return false;
	if (!has_successor(c))
		return true;
	for (s = 0; s < SYC_SLICES; s++)
		if (c->map.slices[s].primary == c->opt.self.id ||
		    c->map.slices[s].backup == c->opt.self.id)
			return false;
	return !c->claims.n_ends && !c->claims.n_waiting;
}

char *syc_coord_dump(const struct syc_coord *c, int64_t now)
{
	return coord_dump(c);
}
