/*
 * Collects the planner's input from the state of this instance: which
 * instances are alive, are leaving or are proved to have ended, and which
 * hold a complete copy of which slices.
 */
#include <string.h>

#include "coordination/coord_state.h"

enum {
	EPOCH_JUMP_MAX = 1 << 24, /* epochs */
	UNCONTACTED_JOIN_SUSPECT_MULTIPLE = 4 /* of suspect_ms */
};

static bool reported_same_map(const struct syc_coord *c, const struct peer *p)
{
	return p->epoch == c->map.epoch && p->tag == c->map.tag &&
	       p->has_contact;
}

/*
 * Whether the plan treats a suspected member as dead. Either the platform's
 * list shows that it ended, or at least half of the live members that know
 * this map suspect it too, so that one broken link between two instances does
 * not move slices.
 */
static bool is_considered_dead(const struct syc_coord *c, const struct peer *p)
{
	int member_index = map_find_member(&c->map, p->instance.id);
	size_t i, voters = 0, agreeing = 0;

	if (!p->is_suspected)
		return false;
	if (p->is_listed_gone)
		return true;
	for (i = 0; i < c->peers.n && member_index >= 0; i++) {
		const struct peer *q = c->peers.list[i];

		if (q == p || !q->is_local || !peer_is_alive(q) ||
		    map_find_member(&c->map, q->instance.id) < 0 ||
		    !reported_same_map(c, q))
			continue;
		voters++;
		agreeing += q->suspected_members >> member_index & 1;
	}
	return 2 * agreeing >= voters;
}

/* A later incarnation at the same address proves that `p` has ended. */
static bool is_replaced(const struct syc_coord *c, const struct peer *p)
{
	size_t i;

	if (!p->is_suspected)
		return false;
	if (instance_is_restart(&p->instance, &c->opt.self))
		return true;
	for (i = 0; i < c->peers.n; i++) {
		const struct peer *q = c->peers.list[i];

		if (q->is_local && q->has_contact && peer_is_alive(q) &&
		    instance_is_restart(&p->instance, &q->instance))
			return true;
	}
	return false;
}

static struct map_member make_member(const struct syc_instance *inst)
{
	struct map_member m = {.id = inst->id, .addr = inst->peer_addr};

	memcpy(m.name, inst->name, sizeof(m.name));
	memcpy(m.rack, inst->rack, sizeof(m.rack));
	return m;
}

static void fill_self(const struct syc_coord *c, struct plan_instance *out)
{
	out->member = make_member(&c->opt.self);
	out->is_alive = true;
	out->is_leaving = c->is_leaving;
	out->complete_slices = c->complete_slices;
}

static bool holds_slice(const struct map *m, uint64_t id)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++)
		if (m->slices[s].primary == id || m->slices[s].backup == id)
			return true;
	return false;
}

static void fill_peer(const struct syc_coord *c, struct plan_instance *out,
		      const struct peer *p)
{
	bool is_dead = is_considered_dead(c, p);

	out->member = make_member(&p->instance);
	out->is_alive = !is_dead;
	out->is_leaving = p->is_leaving;
	out->is_uncontacted = !p->has_contact &&
			      !holds_slice(&c->map, p->instance.id);
	out->has_ended = is_dead && (p->is_listed_gone || is_replaced(c, p));
	out->complete_slices = reported_same_map(c, p) ? p->complete_slices : 0;
	if (!c->rules.ended_before_replacement)
		out->has_ended = is_dead;
	if (!c->rules.complete_before_primary && out->is_alive)
		out->complete_slices = ~0ULL;
}

/* Fills in the members of the map, which come first. */
static size_t list_members(const struct syc_coord *c,
			   struct plan_instance *instances)
{
	size_t i;

	for (i = 0; i < c->map.n_members; i++) {
		const struct peer *p = peers_find(&c->peers,
						  c->map.members[i].id);

		instances[i].member = c->map.members[i];
		if (instances[i].member.id == c->opt.self.id)
			fill_self(c, &instances[i]);
		else if (p)
			fill_peer(c, &instances[i], p);
	}
	return c->map.n_members;
}

/*
 * Whether this instance may add itself to the map. An instance that can link to
 * no member, for example one with another cluster key, can still read the map.
 * It joins once without contact, after a wait, in case all members are dead.
 * If it is removed, members are alive, and it stays out until it has contact
 * with one of them.
 */
static bool may_join(const struct syc_coord *c)
{
	bool all_ended = true;
	size_t i;

	for (i = 0; i < c->map.n_members; i++) {
		const struct peer *p = peers_find(&c->peers,
						  c->map.members[i].id);

		if (p && p->has_contact && peer_is_alive(p))
			return c->now >= c->rejoin_at;
		all_ended &= p && p->is_suspected &&
			     (p->is_listed_gone || is_replaced(c, p));
	}
	if (all_ended)
		return true;
	return !c->removals &&
	       c->now - c->created_at >
		       (int64_t)c->opt.suspect_ms *
			       UNCONTACTED_JOIN_SUSPECT_MULTIPLE;
}

/*
 * Returns how many new members the next map can take. Dead members may have
 * to stay in it, unless all of them are proved to have ended.
 */
static size_t count_free_member_places(const struct plan_instance *instances,
				       size_t n)
{
	size_t i, n_dead = 0;
	bool all_ended = true;

	for (i = 0; i < n; i++) {
		if (instances[i].is_alive)
			continue;
		n_dead++;
		all_ended &= instances[i].has_ended;
	}
	return SYC_MEMBERS_MAX - (all_ended ? n - n_dead : n);
}

static size_t list_instances(const struct syc_coord *c,
			     struct plan_instance *instances)
{
	size_t i, n = list_members(c, instances);
	size_t end = n + count_free_member_places(instances, n);

	if (map_find_member(&c->map, c->opt.self.id) < 0 && !c->is_leaving &&
	    n < end)
		fill_self(c, &instances[n++]);
	for (i = 0; i < c->peers.n && n < end; i++) {
		const struct peer *p = c->peers.list[i];

		if (p->is_local && p->has_contact && peer_is_alive(p) &&
		    !p->is_leaving &&
		    map_find_member(&c->map, p->instance.id) < 0)
			fill_peer(c, &instances[n++], p);
	}
	return n;
}

static uint64_t expired_losses(const struct syc_coord *c)
{
	uint64_t bits = 0;
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++)
		if (c->map.slices[s].loss_epoch &&
		    c->now - c->loss_seen_at[s] > (int64_t)c->opt.retention_ms)
			bits |= 1ULL << s;
	return bits;
}

enum plan_result map_plan_from_state(struct syc_coord *c, struct map *next)
{
	struct plan_instance instances[PLAN_INSTANCES_MAX];
	struct plan_input in = {.current = &c->map, .instances = instances};
	enum plan_result r;

	/* An instance outside of the map knows too little to change it. */
	if (map_find_member(&c->map, c->opt.self.id) < 0 && !may_join(c))
		return PLAN_UNCHANGED;
	memset(instances, 0, sizeof(instances));
	in.n = list_instances(c, instances);
	in.expired_losses = expired_losses(c);
	in.all_claims_lost = c->store.has_forked;
	in.epoch_jump = rng_below(&c->rng, EPOCH_JUMP_MAX);
	r = map_plan(&in, next);
	next->tag = (uint32_t)rng_next(&c->rng);
	return r;
}
