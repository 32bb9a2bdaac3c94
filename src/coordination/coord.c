/* The parts of the coordination put together behind its public calls. */
#include <stdlib.h>
#include <string.h>

#include "coordination/coord_state.h"
#include "protocol/wire.h"
#include "util/alloc.h"
#include "util/invariant.h"
#include "util/log.h"

enum {
	PAUSE_DIVISOR = 2, /* a gap over this part of the suspicion time */
	REJOIN_MS = 2000, /* doubled with each removal in a row */
	REJOIN_DOUBLINGS = 5,
	STAYED_MS = 120000 /* a membership that ends a row of removals */
};

struct syc_coord *syc_coord_new(const struct syc_coord_options *opt,
				int64_t now)
{
	struct syc_coord *c = xcalloc(1, sizeof(*c));

	invariant(opt->self.id && opt->heartbeat_ms && opt->suspect_ms);
	c->opt = *opt;
	c->rng.state = opt->seed ^ opt->self.id;
	c->born = now;
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

void coord_enter(struct syc_coord *c, int64_t now)
{
	int64_t gap = now - c->now;

	if (gap <= 0)
		return;
	c->now = now;
	if (gap > (int64_t)c->opt.suspect_ms / PAUSE_DIVISOR)
		membership_paused(c);
}

/* Keeps what still holds of the copies that this instance has. */
static void keep_complete(struct syc_coord *c, const struct map *old)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++) {
		const struct map_slice *is = &c->map.slices[s];
		const struct map_slice *was = &old->slices[s];

		if (is->since != was->since || is->primary != was->primary ||
		    is->backup != was->backup)
			c->complete &= ~(1ULL << s);
		if (is->lost && is->lost != was->lost)
			c->lost_seen[s] = c->now;
	}
}

/*
 * Peers that do not hear an instance remove it, though it hears them and
 * would join again at once. It waits longer each time; who hears it may add
 * it at any time.
 */
static void note_removal(struct syc_coord *c, const struct map *old)
{
	unsigned doublings;

	if (map_find(old, c->opt.self.id) < 0 ||
	    map_find(&c->map, c->opt.self.id) >= 0)
		return;
	if (c->now - c->rejoin_at > STAYED_MS)
		c->removals = 0;
	doublings = c->removals < REJOIN_DOUBLINGS ? c->removals
						   : REJOIN_DOUBLINGS;
	c->removals++;
	c->rejoin_at = c->now + ((int64_t)REJOIN_MS << doublings);
}

void coord_adopt(struct syc_coord *c, const struct map *m)
{
	struct map *old = xmemdup(&c->map, sizeof(c->map));

	invariant(m->epoch >= old->epoch);
	if (!map_follows(old, m)) {
		log_error("map_fork", LOG_U("epoch", m->epoch),
			  LOG_U("had", old->epoch));
		c->store.fork_seen = true;
	}
	c->map = *m;
	c->adopted_at = c->now;
	c->store.plan_at = 0;
	log_info("map_adopted", LOG_U("epoch", m->epoch),
		 LOG_U("members", m->n));
	note_removal(c, old);
	keep_complete(c, old);
	membership_adopted(c);
	claim_copy_adopted(c, old);
	claim_serve_adopted(c);
	free(old);
	c->opt.changed(c->opt.ctx);
}

void syc_coord_tick(struct syc_coord *c, int64_t now)
{
	coord_enter(c, now);
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

	coord_enter(c, now);
	if (!peer->id || peer->id == c->opt.self.id)
		return;
	p = peers_add(&c->peers, peer, now);
	if (!p) {
		log_warn("peer_ignored", LOG_S("peer", peer->name));
		return;
	}
	p->inst = *peer;
	p->local = !strcmp(peer->domain, c->opt.self.domain);
	p->link_up = true;
	p->met = true;
	p->suspect = false;
	p->heard = now;
	c->heartbeat_at = now;
	c->opt.changed(c->opt.ctx);
}

void syc_coord_peer_down(struct syc_coord *c, int64_t now, uint64_t peer)
{
	struct peer *p = peers_find(&c->peers, peer);

	coord_enter(c, now);
	if (p)
		p->link_up = false;
}

void syc_coord_peer_unlisted(struct syc_coord *c, int64_t now, uint64_t peer)
{
	struct peer *p = peers_find(&c->peers, peer);

	coord_enter(c, now);
	if (p)
		p->gone = true;
}

static bool leave_received(struct peer *from, struct syc_bytes msg)
{
	struct wire_in w;

	wire_open(&w, msg);
	if (!wire_close(&w))
		return false;
	from->leaving = true;
	return true;
}

static bool dispatch(struct syc_coord *c, struct peer *from, int type,
		     struct syc_bytes msg)
{
	uint64_t id = from->inst.id;

	switch (type) {
	case SYC_PEER_LEAVE:
		return leave_received(from, msg);
	case SYC_PEER_MAP_REQUEST:
		return map_asked(c, id, msg);
	case SYC_PEER_MAP:
		return map_receive(c, id, msg);
	case SYC_PEER_CLAIM:
		return claim_receive(c, id, msg);
	case SYC_PEER_CLAIM_ACK:
		return claim_ack_receive(c, id, msg);
	case SYC_PEER_CLAIM_END:
		return claim_end_receive(c, id, msg);
	case SYC_PEER_CLAIM_COPY:
		return claim_copy_receive(c, id, msg);
	case SYC_PEER_CLAIM_COPY_ACK:
		return claim_copy_acked(c, id, msg);
	default:
		return false;
	}
}

bool syc_coord_receive(struct syc_coord *c, int64_t now, uint64_t from,
		       struct syc_bytes msg)
{
	struct peer *p = peers_find(&c->peers, from);
	int type = wire_type(msg);
	bool was_suspect;

	coord_enter(c, now);
	if (!type)
		return false;
	if (!p)
		return true;
	was_suspect = p->suspect;
	p->heard = now;
	p->met = true;
	p->suspect = false;
	p->gone = false;
	if (was_suspect)
		c->opt.changed(c->opt.ctx);
	if (type == SYC_PEER_HEARTBEAT)
		return membership_heartbeat(c, p, msg);
	return !p->local || dispatch(c, p, type, msg);
}

void syc_coord_set_bundle(struct syc_coord *c, uint64_t version,
			  const uint8_t digest[SYC_DIGEST_LEN])
{
	c->bundle = version;
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
	coord_enter(c, now);
	return claim_serve(c, key, digest, ticket_epoch);
}

struct syc_claim_result syc_coord_lookup(struct syc_coord *c, int64_t now,
					 const struct syc_claim_key *key)
{
	coord_enter(c, now);
	return claim_look(c, key);
}

void syc_coord_end_claim(struct syc_coord *c, int64_t now,
			 const struct syc_claim_key *key,
			 enum syc_outcome outcome)
{
	coord_enter(c, now);
	claim_serve_end(c, key, outcome);
}

uint64_t syc_coord_epoch(const struct syc_coord *c)
{
	return c->map.epoch;
}

bool syc_coord_ready(const struct syc_coord *c)
{
	if (c->leaving)
		return c->map.epoch;
	return map_find(&c->map, c->opt.self.id) >= 0;
}

bool syc_coord_is_primary(const struct syc_coord *c,
			  const struct syc_claim_key *key)
{
	return c->map.slices[map_slice_of(key)].primary == c->opt.self.id;
}

uint64_t syc_coord_owner(const struct syc_coord *c, const char *name)
{
	return map_owner(&c->map, name);
}

size_t syc_coord_members(const struct syc_coord *c, struct syc_instance *out,
			 size_t max)
{
	size_t i, n = 0;

	if (max)
		out[n++] = c->opt.self;
	for (i = 0; i < c->peers.n && n < max; i++)
		if (c->peers.p[i]->local && peer_alive(c->peers.p[i]))
			out[n++] = c->peers.p[i]->inst;
	return n;
}

bool syc_coord_peer_bundle(const struct syc_coord *c, uint64_t id,
			   uint64_t *version)
{
	const struct peer *p = peers_find(&c->peers, id);

	if (!p)
		return false;
	*version = p->bundle;
	return true;
}

void syc_coord_leave(struct syc_coord *c, int64_t now)
{
	auto_wire_out struct wire_out w;
	size_t i;

	wire_begin(&w, SYC_PEER_LEAVE, 0);
	coord_enter(c, now);
	c->leaving = true;
	for (i = 0; i < c->peers.n; i++)
		if (c->peers.p[i]->local)
			coord_send(c, c->peers.p[i]->inst.id, wire_bytes(&w));
}

/* Whether somebody is there to take the slices over. */
static bool has_heir(const struct syc_coord *c)
{
	size_t i;

	for (i = 0; i < c->peers.n; i++) {
		const struct peer *p = c->peers.p[i];

		if (p->local && p->met && peer_alive(p) && !p->leaving)
			return true;
	}
	return false;
}

bool syc_coord_has_left(const struct syc_coord *c)
{
	unsigned s;

	if (!c->leaving)
		return false;
	if (!has_heir(c))
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
