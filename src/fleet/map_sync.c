/*
 * Keeps the map in step with the store: reads and watches it, adds this
 * instance, names it as the driver, and as the driver removes who is gone.
 * All changes are compare-and-swap on what was read.
 */
#include <string.h>

#include "fleet/fleet_state.h"

enum {
	WATCH_MS = 5000,
	AGAIN_MS = 100, /* after a lost race or an absent map */
	RACE_SPREAD_MS = 20,
	AWAY_MS = 500, /* between tries while the store is away */
	REMOVE_MS = 3000, /* silence after which a member is taken out */
	JOIN_AGAIN_MS = 1000
};

static const char map_key[] = "map";

static int64_t clock_now(const struct fleet *f)
{
	return syc_now(&f->opt.clock);
}

static void store_state(struct fleet *f, int64_t now, bool away,
			const char *why)
{
	if (away == f->store_away)
		return;
	f->store_away = away;
	if (!away)
		f->store_back_at = now;
	log_info(away ? "store_lost" : "store_regained", LOG_S("why", why));
}

static bool is_away(enum syc_platform_status st)
{
	return st != SYC_PLATFORM_OK && st != SYC_PLATFORM_ABSENT &&
	       st != SYC_PLATFORM_CONFLICT;
}

static void dial_members(struct fleet *f)
{
	size_t i;

	for (i = 0; i < f->map.n; i++)
		if (f->map.members[i].id != f->opt.self.id)
			f->opt.dial(f->opt.ctx, &f->map.members[i].peer_addr);
}

static void adopt(struct fleet *f, int64_t now, const struct fleet_map *map)
{
	f->map = *map;
	f->map_known = true;
	dial_members(f);
	lead_heard(f, now, map->epoch, map->driver);
}

static void adopt_text(struct fleet *f, int64_t now,
		       const struct syc_platform_value *v)
{
	struct fleet_map next = {0};

	if (f->map_known && v->index == f->map.index)
		return;
	if (v->status == SYC_PLATFORM_OK && !fleet_map_unpack(v->value, &next))
		log_error("map_unreadable", LOG_U("index", v->index));
	next.index = v->index;
	adopt(f, now, &next);
}

static void take_read(struct fleet *f, const struct syc_platform_value *v)
{
	int64_t now = clock_now(f);

	store_state(f, now, is_away(v->status), v->message);
	if (is_away(v->status)) {
		f->map_at = now + AWAY_MS;
		return;
	}
	adopt_text(f, now, v);
	if (!f->map.index)
		f->map_at = now + AGAIN_MS;
}

static void on_read(void *arg, const struct syc_platform_value *v)
{
	struct fleet *f = arg;

	f->map_open = false;
	take_read(f, v);
}

static void on_watch(void *arg, const struct syc_platform_value *v)
{
	struct fleet *f = arg;

	f->watch_open = false;
	take_read(f, v);
}

static void on_write(void *arg, const struct syc_platform_value *v)
{
	struct fleet *f = arg;
	int64_t now = clock_now(f);

	f->map_open = false;
	store_state(f, now, is_away(v->status), v->message);
	if (v->status == SYC_PLATFORM_OK && v->index) {
		f->writing.index = v->index;
		adopt(f, now, &f->writing);
		return;
	}
	f->map_at = now + AGAIN_MS;
	if (is_away(v->status))
		return;
	/* All instances may be starting at once: spread the next tries. */
	f->map_at = now + (int64_t)(f->opt.self.id % RACE_SPREAD_MS);
	lead_lost(f);
	f->map_open = true;
	f->opt.store.get(f->opt.store.ctx, map_key, on_read, f);
}

static void write_map(struct fleet *f, const struct fleet_map *m)
{
	auto_wire_out struct wire_out w = {0};

	f->writing = *m;
	fleet_map_pack(&w, m);
	f->map_open = true;
	f->opt.store.cas(f->opt.store.ctx, map_key, m->index, wire_bytes(&w),
			 on_write, f);
}

void map_sync_take(struct fleet *f, int64_t now, uint64_t epoch)
{
	struct fleet_map next = f->map;

	if (f->map_open)
		return;
	next.epoch = epoch;
	next.driver = f->opt.self.id;
	write_map(f, &next);
}

/* Whether a member has been silent for so long that it is taken out. */
static bool is_gone(struct fleet *f, const struct syc_instance *inst,
		    int64_t now)
{
	const struct fleet_peer *p = beat_peer(f, inst->id);

	if (inst->id == f->opt.self.id)
		return false;
	if (now - f->began_at < REMOVE_MS)
		return false;
	return !p || (p->heard_at && now - p->heard_at > REMOVE_MS);
}

/* As the driver: takes out who is gone, and names itself. */
static bool tidy(struct fleet *f, int64_t now, struct fleet_map *next)
{
	bool changed = false;
	size_t i;

	for (i = next->n; i-- > 0;) {
		if (!is_gone(f, &next->members[i], now))
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

/*
 * Whoever was taken out joins again at once when it hears the driver. A
 * driver that does not hear it takes it out again, so without the driver it
 * joins seldom; but it does, or no driver could be found after the last one
 * is gone. A new instance is heard of through the map.
 */
static bool may_join(const struct fleet *f, int64_t now)
{
	return !f->silent_since || !f->driver ||
	       now - f->started_at < REMOVE_MS ||
	       now - f->joined_at >= JOIN_AGAIN_MS;
}

/* The map as this instance would have it; false when it is so already. */
static bool wanted(struct fleet *f, int64_t now, struct fleet_map *next)
{
	bool in_map = fleet_map_find(&f->map, f->opt.self.id) != NULL;
	bool drives = f->driver == f->opt.self.id;
	bool changed = false;

	*next = f->map;
	if (!f->leaving && !in_map && may_join(f, now)) {
		fleet_map_add(next, &f->opt.self);
		f->joined_at = now;
		changed = true;
	} else if (f->leaving && in_map && !drives) {
		fleet_map_remove(next, f->opt.self.id);
		changed = true;
	}
	if (drives && !f->taking_over)
		changed |= tidy(f, now, next);
	return changed;
}

void map_sync_tick(struct fleet *f, int64_t now)
{
	struct fleet_map next;

	if (now < f->map_at)
		return;
	if (!f->map_known) {
		if (f->map_open)
			return;
		f->map_open = true;
		f->opt.store.get(f->opt.store.ctx, map_key, on_read, f);
		return;
	}
	if (!f->watch_open && f->map.index) {
		f->watch_open = true;
		f->opt.store.watch(f->opt.store.ctx, map_key, f->map.index,
				   WATCH_MS, on_watch, f);
	}
	if (!f->map_open && !f->store_away && wanted(f, now, &next))
		write_map(f, &next);
}
