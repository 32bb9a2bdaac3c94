/*
 * Decides which instances become members of the map. There are at most
 * FLEET_VOTERS_MAX, so that the cost of heartbeats between members does not grow
 * with the fleet; other instances submit their jobs to the driver, and take the
 * places of members that are removed.
 *
 * The driver admits the instances that have a link to it, many with one write:
 * if all wrote the map themselves, most writes of a fleet that starts at once
 * would fail and be repeated. An instance writes itself only to create the map,
 * to replace its own earlier incarnation, or if it was not admitted for long.
 */
#include <string.h>

#include "fleet/fleet_state.h"

enum {
	/* Most instances that start together have links by then... */
	ADMIT_AFTER_MS = 400,
	/* ...and those that return know each other from the map. */
	ADMIT_RETURNED_AFTER_MS = 150,
	ADMIT_INTERVAL_MS = 200,
	JOIN_AFTER_MS = 1000, /* and up to JOIN_SPREAD_MS more */
	JOIN_SPREAD_MS = 1000,
	CREATE_SPREAD_MS = 1000,
	/* After a full stop, most of the writes of so many members succeed. */
	REJOIN_SPREAD_MS = 5, /* for each member */
	/* Without a driver for this time, a silent member loses its place. */
	REPLACE_AFTER_MS = 5000
};

static size_t count_members(const struct fleet_map *m, const char *domain)
{
	size_t i, n = 0;

	for (i = 0; i < m->n_members; i++)
		n += !strcmp(m->members[i].domain, domain);
	return n;
}

static bool has_earlier_incarnation(const struct fleet *f,
				    const struct fleet_map *m)
{
	size_t i;

	for (i = 0; i < m->n_members; i++)
		if (!strcmp(m->members[i].name, f->opt.self.name))
			return true;
	return false;
}

/* Whether this is the first of the map's members that are up. */
static bool is_first_member(const struct fleet *f, const struct fleet_map *m,
			    int64_t now)
{
	const struct fleet_peer *p;
	size_t i;

	for (i = 0; i < m->n_members; i++) {
		if (m->members[i].id == f->opt.self.id)
			return true;
		p = heartbeat_find_peer(f, m->members[i].id);
		if (p && heartbeat_is_reachable(p, now))
			return false;
	}
	return false;
}

static int64_t admit_after_ms(const struct fleet_map *m)
{
	return m->epoch ? ADMIT_RETURNED_AFTER_MS : ADMIT_AFTER_MS;
}

/* The driver admits, or without any the first member that is up. */
static bool may_admit(const struct fleet *f, const struct fleet_map *m,
		      int64_t now)
{
	if (f->leaving || f->takeover_in_flight || now < f->next_admit_at ||
	    now - f->started_at < admit_after_ms(m))
		return false;
	if (f->driver && !f->driver_lost_at)
		return f->driver == f->opt.self.id;
	return is_first_member(f, m, now);
}

static bool may_be_admitted(const struct fleet *f, const struct fleet_map *m,
			    const struct fleet_peer *p, int64_t now)
{
	return p->link_up && !p->leaving && heartbeat_is_reachable(p, now) &&
	       fleet_is_eligible_domain(f, p->instance.domain) &&
	       !fleet_map_find(m, p->instance.id);
}

/*
 * The joiner of the domain with the fewest members, so that the loss of a
 * domain leaves a majority; among these, the one that can drive most.
 */
static const struct fleet_peer *choose_joiner(const struct fleet *f,
					      const struct fleet_map *m,
					      int64_t now)
{
	const struct fleet_peer *p, *best = NULL;
	size_t i, n, best_n = 0;

	for (i = 0; i < f->n_peers; i++) {
		p = &f->peers[i];
		if (!may_be_admitted(f, m, p, now))
			continue;
		n = count_members(m, p->instance.domain);
		if (best && (n > best_n ||
			     (n == best_n && p->capacity <= best->capacity)))
			continue;
		best = p;
		best_n = n;
	}
	return best;
}

static bool admit_joiners(struct fleet *f, int64_t now, struct fleet_map *next)
{
	const struct fleet_peer *p;
	bool changed = false;

	while (next->n_members < FLEET_VOTERS_MAX &&
	       (p = choose_joiner(f, next, now))) {
		log_info("member_admitted", LOG_S("member", p->instance.name),
			 LOG_U("id", p->instance.id));
		fleet_map_add(next, &p->instance);
		changed = true;
	}
	if (changed)
		f->next_admit_at = now + ADMIT_INTERVAL_MS;
	return changed;
}

static int64_t join_delay_ms(const struct fleet *f, const struct fleet_map *m)
{
	uint64_t spread = index_hash_number(f->opt.self.id).lo;

	if (!m->n_members)
		return (int64_t)(spread % CREATE_SPREAD_MS);
	if (has_earlier_incarnation(f, m))
		return (int64_t)(spread % (REJOIN_SPREAD_MS * m->n_members));
	return JOIN_AFTER_MS + (int64_t)(spread % JOIN_SPREAD_MS);
}

/* Removes a member that is not heard, while no driver can do so. */
static void make_room(const struct fleet *f, int64_t now,
		      struct fleet_map *next)
{
	const struct fleet_peer *p;
	size_t i;

	if (!f->driver_lost_at || now - f->driver_lost_at < REPLACE_AFTER_MS)
		return;
	for (i = 0; i < next->n_members; i++) {
		p = heartbeat_find_peer(f, next->members[i].id);
		if (p && p->link_up)
			continue;
		log_info("member_replaced",
			 LOG_S("member", next->members[i].name));
		fleet_map_remove(next, next->members[i].id);
		return;
	}
}

/* Adds this instance if it has waited long enough to be admitted. */
static bool join(struct fleet *f, int64_t now, struct fleet_map *next)
{
	if (!f->outside_since)
		f->outside_since = now;
	if (now - f->outside_since < join_delay_ms(f, next))
		return false;
	f->outside_since = now;
	if (next->n_members >= FLEET_VOTERS_MAX &&
	    !has_earlier_incarnation(f, next))
		make_room(f, now, next);
	if (next->n_members >= FLEET_VOTERS_MAX &&
	    !has_earlier_incarnation(f, next))
		return false;
	fleet_map_add(next, &f->opt.self);
	return true;
}

bool map_join_update(struct fleet *f, int64_t now, struct fleet_map *next)
{
	if (f->leaving)
		return false;
	if (!fleet_map_find(next, f->opt.self.id))
		return join(f, now, next);
	f->outside_since = 0;
	return may_admit(f, next, now) && admit_joiners(f, now, next);
}
