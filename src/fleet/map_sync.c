/*
 * Synchronises the map with the store: reads and watches it, adds this
 * instance, names it as the driver, and as the driver removes members that
 * timed out. Every change is a compare-and-swap on the value that was read.
 */
#include <stdio.h>
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	WATCH_MS = 5000,
	RETRY_MS = 100, /* after a failed write or an absent map */
	RETRY_SPREAD_MS = 20,
	UNREACHABLE_RETRY_MS = 500, /* while the store is unreachable */
	/* A member without heartbeat for this time is removed. */
	MEMBER_TIMEOUT_MS = 3000,
	JOIN_RETRY_MS = 1000
};

/* The map of a whole fleet. The map of a cell is named by its domain. */
static const char map_key[] = "map";

enum { MAP_KEY_MAX = 48 /* bytes with the terminator */ };

static void get_map_key(const struct fleet *f, char key[MAP_KEY_MAX])
{
	if (*f->opt.cell)
		snprintf(key, MAP_KEY_MAX, "cell/%s", f->opt.cell);
	else
		copy_text(key, MAP_KEY_MAX, map_key);
}

static void on_read(void *arg, const struct syc_platform_value *v);

static void read_map(struct fleet *f)
{
	char key[MAP_KEY_MAX];

	get_map_key(f, key);
	f->map_call_in_flight = true;
	f->opt.store.get(f->opt.store.ctx, key, on_read, f);
}

static int64_t get_now(const struct fleet *f)
{
	return syc_now(&f->opt.clock);
}

static void set_store_unreachable(struct fleet *f, int64_t now,
				  bool unreachable, const char *why)
{
	if (unreachable == f->store_unreachable)
		return;
	f->store_unreachable = unreachable;
	if (!unreachable)
		f->store_reachable_at = now;
	log_info(unreachable ? "store_lost" : "store_regained",
		 LOG_S("why", why));
}

static bool is_store_unreachable(enum syc_platform_status st)
{
	return st != SYC_PLATFORM_OK && st != SYC_PLATFORM_ABSENT &&
	       st != SYC_PLATFORM_CONFLICT;
}

static void dial_members(struct fleet *f)
{
	size_t i;

	for (i = 0; i < f->map.n_members; i++)
		if (f->map.members[i].id != f->opt.self.id)
			f->opt.dial(f->opt.ctx, &f->map.members[i].peer_addr);
}

static void apply_map(struct fleet *f, int64_t now, const struct fleet_map *map)
{
	struct fleet_map old = f->map;
	bool was_divided = fleet_is_divided(f);

	f->map = *map;
	f->map_known = true;
	/* A map that was lost, or written by an earlier version, lacks them. */
	if (was_divided && !fleet_is_divided(f)) {
		log_warn("cells_kept", LOG_U("index", map->index));
		fleet_map_copy_cells(&f->map, &old);
		f->lost_cells = true;
	}
	dial_members(f);
	if (fleet_is_divided(f) && !was_divided)
		fleet_retire(f, now);
	election_update_driver(f, now, map->epoch, map->driver);
}

static void apply_value(struct fleet *f, int64_t now,
			const struct syc_platform_value *v)
{
	struct fleet_map next = {0};

	if (f->map_known && v->index == f->map.index)
		return;
	if (v->status == SYC_PLATFORM_OK && !fleet_map_unpack(v->value, &next))
		log_error("map_unreadable", LOG_U("index", v->index));
	next.index = v->index;
	apply_map(f, now, &next);
}

static void handle_read(struct fleet *f, const struct syc_platform_value *v)
{
	int64_t now = get_now(f);

	set_store_unreachable(f, now, is_store_unreachable(v->status),
			      v->message);
	if (is_store_unreachable(v->status)) {
		f->next_map_call_at = now + UNREACHABLE_RETRY_MS;
		return;
	}
	apply_value(f, now, v);
	if (!f->map.index)
		f->next_map_call_at = now + RETRY_MS;
}

static void on_read(void *arg, const struct syc_platform_value *v)
{
	struct fleet *f = arg;

	f->map_call_in_flight = false;
	handle_read(f, v);
}

static void on_watch(void *arg, const struct syc_platform_value *v)
{
	struct fleet *f = arg;

	f->watch_in_flight = false;
	if (is_store_unreachable(v->status))
		log_warn("map_unanswered",
			 LOG_I("sent_ms_ago", get_now(f) - f->watch_sent_at),
			 LOG_S("why", v->message));
	handle_read(f, v);
}

static void on_write(void *arg, const struct syc_platform_value *v)
{
	struct fleet *f = arg;
	int64_t now = get_now(f);

	f->map_call_in_flight = false;
	set_store_unreachable(f, now, is_store_unreachable(v->status),
			      v->message);
	if (v->status == SYC_PLATFORM_OK && v->index) {
		f->pending_map.index = v->index;
		apply_map(f, now, &f->pending_map);
		return;
	}
	f->next_map_call_at = now + RETRY_MS;
	if (is_store_unreachable(v->status))
		return;
	/* All instances may start at once, so the next attempts are spread. */
	f->next_map_call_at = now + (int64_t)(f->opt.self.id % RETRY_SPREAD_MS);
	election_lost(f);
	read_map(f);
}

static void write_map(struct fleet *f, const struct fleet_map *m)
{
	auto_wire_out struct wire_out w = {0};
	char key[MAP_KEY_MAX];

	get_map_key(f, key);
	f->pending_map = *m;
	fleet_map_pack(&w, m);
	f->map_call_in_flight = true;
	f->opt.store.cas(f->opt.store.ctx, key, m->index, wire_bytes(&w),
			 on_write, f);
}

void map_sync_take_over(struct fleet *f, int64_t now, uint64_t epoch)
{
	struct fleet_map next = f->map;

	if (f->map_call_in_flight)
		return;
	next.epoch = epoch;
	next.driver = f->opt.self.id;
	write_map(f, &next);
}

/* Whether a member sent no heartbeat for MEMBER_TIMEOUT_MS. */
static bool is_member_timed_out(struct fleet *f,
				const struct syc_instance *inst, int64_t now)
{
	const struct fleet_peer *p = heartbeat_get_peer(f, inst->id);

	if (inst->id == f->opt.self.id)
		return false;
	if (now - f->drive_began_at < MEMBER_TIMEOUT_MS)
		return false;
	return !p ||
	       (p->heartbeat_at && now - p->heartbeat_at > MEMBER_TIMEOUT_MS);
}

/* Removes members that timed out, and names this instance as the driver. */
static bool update_as_driver(struct fleet *f, int64_t now,
			     struct fleet_map *next)
{
	bool changed = false;
	size_t i;

	for (i = next->n_members; i-- > 0;) {
		if (!is_member_timed_out(f, &next->members[i], now))
			continue;
		log_info("member_removed",
			 LOG_S("member", next->members[i].name),
			 LOG_U("id", next->members[i].id));
		fleet_map_remove(next, next->members[i].id);
		changed = true;
	}
	if (f->epoch <= next->epoch)
		return changed;
	next->epoch = f->epoch;
	next->driver = f->driver;
	return true;
}

/* Writes the division that was decided, or that the map has lost. */
static bool update_cells(struct fleet *f, struct fleet_map *next)
{
	bool lost = f->lost_cells;

	f->lost_cells = false;
	if (!f->wanted_cells.n_cells || next->n_cells)
		return lost;
	fleet_map_copy_cells(next, &f->wanted_cells);
	return true;
}

/*
 * A removed instance joins again at once when the driver is reachable. While
 * the driver is unreachable, it may remove the instance again, as it receives
 * no heartbeats, so the instance joins only at intervals. The instance must
 * join, as no driver can be elected from an empty map once the last driver is
 * gone. A new instance joins at once, as the others learn of it from the map.
 */
static bool may_join(const struct fleet *f, int64_t now)
{
	return !f->driver_lost_at || !f->driver ||
	       now - f->started_at < MEMBER_TIMEOUT_MS ||
	       now - f->last_join_at >= JOIN_RETRY_MS;
}

/* Builds the map that this instance would write; false: no change. */
static bool build_next_map(struct fleet *f, int64_t now, struct fleet_map *next)
{
	bool in_map = fleet_map_find(&f->map, f->opt.self.id) != NULL;
	bool drives = f->driver == f->opt.self.id;
	bool changed = false;

	*next = f->map;
	if (!f->leaving && !in_map && may_join(f, now)) {
		fleet_map_add(next, &f->opt.self);
		f->last_join_at = now;
		changed = true;
	} else if (f->leaving && in_map && !drives) {
		fleet_map_remove(next, f->opt.self.id);
		changed = true;
	}
	if (drives && !f->takeover_in_flight)
		changed |= update_as_driver(f, now, next);
	if (drives)
		changed |= update_cells(f, next);
	return changed;
}

void map_sync_tick(struct fleet *f, int64_t now)
{
	char key[MAP_KEY_MAX];
	struct fleet_map next;

	if (now < f->next_map_call_at || !fleet_is_member(f))
		return;
	if (!f->map_known) {
		if (f->map_call_in_flight)
			return;
		read_map(f);
		return;
	}
	if (!f->watch_in_flight && f->map.index) {
		f->watch_in_flight = true;
		f->watch_sent_at = now;
		get_map_key(f, key);
		f->opt.store.watch(f->opt.store.ctx, key, f->map.index,
				   WATCH_MS, on_watch, f);
	}
	if (!f->map_call_in_flight && !f->store_unreachable &&
	    build_next_map(f, now, &next))
		write_map(f, &next);
}
