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
	RETRY_MS = 100, /* after a failed write */
	RETRY_SPREAD_MS = 20,
	/*
	 * Peers tell of a driver and of a newer map, so the map may be older
	 * than the configuration.
	 */
	BOUND_MS = 4000,
	/* A member without heartbeat for this time is removed. */
	MEMBER_TIMEOUT_MS = 3000
};

/* The map of a whole fleet. The map of a cell is named by its domain. */
static const char map_key[] = "map";

static void get_map_key(const struct fleet *f, char key[KEY_MAX])
{
	if (*f->opt.cell)
		snprintf(key, KEY_MAX, "cell/%s", f->opt.cell);
	else
		copy_text(key, KEY_MAX, map_key);
}

static int64_t get_now(const struct fleet *f)
{
	return syc_now(&f->opt.clock);
}

static void on_reachable(void *ctx, bool reachable, const char *why)
{
	struct fleet *f = ctx;

	f->store_unreachable = !reachable;
	if (reachable)
		f->store_reachable_at = get_now(f);
	log_info(reachable ? "store_regained" : "store_lost",
		 LOG_S("why", why));
}

/* A home submits to the driver alone; members exchange heartbeats. */
static void dial_members(struct fleet *f)
{
	size_t i;

	if (fleet_is_divided(f) || !fleet_is_eligible(f))
		return;
	for (i = 0; i < f->map.n_members; i++)
		if (f->map.members[i].id != f->opt.self.id)
			f->opt.dial(f->opt.ctx, &f->map.members[i].peer_addr);
}

/* The links of a whole fleet that its cells do not use. */
static void hang_up_members(struct fleet *f)
{
	const struct syc_instance *inst;
	size_t i;

	for (i = 0; i < f->map.n_members; i++) {
		inst = &f->map.members[i];
		if (strcmp(inst->domain, f->opt.self.domain))
			f->opt.hang_up(f->opt.ctx, &inst->peer_addr);
	}
}

static void apply_map(struct fleet *f, int64_t now, const struct fleet_map *map)
{
	struct fleet_map old = f->map;
	bool was_divided = fleet_is_divided(f);

	f->map = *map;
	f->map_known = true;
	if (!fleet_map_find(map, f->opt.self.id))
		f->member_since = 0;
	else if (!f->member_since)
		f->member_since = now;
	/* A map that was lost, or written by an earlier version, lacks them. */
	if (was_divided && !fleet_is_divided(f)) {
		log_warn("cells_kept", LOG_U("index", map->index));
		fleet_map_copy_cells(&f->map, &old);
		f->lost_cells = true;
	}
	dial_members(f);
	if (fleet_is_divided(f) && !was_divided) {
		hang_up_members(f);
		fleet_retire(f, now);
	}
	election_update_driver(f, now, map->epoch, map->driver);
}

static void on_changed(void *ctx, const struct syc_platform_value *v)
{
	struct fleet *f = ctx;
	struct fleet_map next = {0};

	if (v->status == SYC_PLATFORM_OK && !fleet_map_unpack(v->value, &next))
		log_error("map_unreadable", LOG_U("index", v->index));
	next.index = v->index;
	apply_map(f, get_now(f), &next);
}

void map_sync_init(struct fleet *f, int64_t now)
{
	struct key_watch_options opt = {
		.store = f->opt.store,
		.clock = f->opt.clock,
		.bound_ms = BOUND_MS,
		.id = f->opt.self.id,
		.ctx = f,
		.changed = on_changed,
		.reachable = on_reachable,
	};

	get_map_key(f, opt.key);
	key_watch_init(&f->map_watch, &opt, now);
}

static void on_write(void *arg, const struct syc_platform_value *v)
{
	struct fleet *f = arg;
	int64_t now = get_now(f);

	f->write_in_flight = false;
	key_watch_call_ended(&f->map_watch, f->write_sent_at, v);
	if (v->status == SYC_PLATFORM_OK && v->index) {
		f->pending_map.index = v->index;
		key_watch_learned(&f->map_watch, now, v->index);
		apply_map(f, now, &f->pending_map);
		return;
	}
	f->next_write_at = now + RETRY_MS;
	if (f->store_unreachable)
		return;
	/* All instances may start at once, so the next attempts are spread. */
	f->next_write_at = now + (int64_t)(f->opt.self.id % RETRY_SPREAD_MS);
	election_lost(f);
	key_watch_read(&f->map_watch, now);
}

static void write_map(struct fleet *f, const struct fleet_map *m)
{
	auto_wire_out struct wire_out w = {0};
	char key[KEY_MAX];

	get_map_key(f, key);
	f->pending_map = *m;
	fleet_map_pack(&w, m);
	f->write_in_flight = true;
	f->write_sent_at = get_now(f);
	f->opt.store.cas(f->opt.store.ctx, key, m->index, wire_bytes(&w),
			 on_write, f);
}

void map_sync_take_over(struct fleet *f, int64_t now, uint64_t epoch)
{
	struct fleet_map next = f->map;

	if (f->write_in_flight)
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

/* Builds the map that this instance would write; false: no change. */
static bool build_next_map(struct fleet *f, int64_t now, struct fleet_map *next)
{
	bool drives = f->driver == f->opt.self.id;
	bool changed;

	*next = f->map;
	if (fleet_is_divided(f))
		return f->role == KEY_WATCH_LEADS && update_cells(f, next);
	changed = map_join_update(f, now, next);
	if (f->leaving && !drives && fleet_map_find(next, f->opt.self.id)) {
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
	struct fleet_map next;

	if (!fleet_is_eligible(f) && f->role == KEY_WATCH_FOLLOWS)
		return; /* it gets reports */
	key_watch_tick(&f->map_watch, now, f->role);
	if (!f->map_known || f->write_in_flight || f->store_unreachable ||
	    now < f->next_write_at || !fleet_is_eligible(f))
		return;
	if (build_next_map(f, now, &next))
		write_map(f, &next);
}
