/*
 * Who drives. The driver stays while it is heard. When most instances hear
 * it no more, the one that was started last takes its place: it is the one
 * that a rolling restart reaches last. The store's map settles between two
 * that try at once; while the store is away the workers do, as they heed
 * only the higher fence.
 */
#include "fleet/fleet_state.h"

enum {
	FORLORN_MS = 600, /* a takeover takes less */
	FIRST_MS = 800, /* after a start, until an instance may drive alone */
	SETTLE_MS = 120, /* after a start, until it may drive */
	UPTIME_LEAST_MS = 1500, /* an instance younger than this waits */
	LEARNED_MS = 350, /* after word of a driver, until it must be heard */
	STORE_PATIENCE_MS = 250, /* for the map's change */
	MINORITY_MS = 4500, /* silence after which the store alone decides */
	FENCED_PATIENCE_MS = 2000 /* for word of who raised the fence */
};

static bool hears(const struct fleet *f, uint64_t id, int64_t now)
{
	const struct fleet_peer *p = beat_known(f, id);

	return p && beat_fresh(p, now) && !p->leaving;
}

static bool in_map(const struct fleet *f, uint64_t id)
{
	return !f->map_known || fleet_map_find(&f->map, id);
}

static bool knows_leaving(const struct fleet *f, uint64_t id)
{
	const struct fleet_peer *p = beat_known(f, id);

	return p && p->leaving;
}

/* The driver of the whole fleet, as the map names it. */
static bool hears_main(const struct fleet *f, int64_t now)
{
	if (!f->driver)
		return false;
	if (f->driver == f->opt.self.id)
		return !f->leaving;
	if (hears(f, f->driver, now))
		return true;
	/* Its first heartbeat may still be on its way. */
	return now - f->learned_at < LEARNED_MS && in_map(f, f->driver) &&
	       !knows_leaving(f, f->driver);
}

bool lead_hears_driver(const struct fleet *f, int64_t now)
{
	/* Of a domain alone, one that leaves drives until another does. */
	if (f->alone)
		return f->alone == f->opt.self.id || alone_is_heard(f, now);
	return hears_main(f, now);
}

uint64_t lead_driver(const struct fleet *f)
{
	return f->alone ? f->alone : f->driver;
}

bool lead_forlorn(const struct fleet *f, int64_t now)
{
	return !lead_hears_driver(f, now) && f->silent_since &&
	       now - f->silent_since > FORLORN_MS;
}

static uint32_t own_uptime(const struct fleet *f, int64_t now)
{
	return (uint32_t)(now - f->started_at);
}

/* Whether the first of two instances is the better driver. */
static bool better(uint32_t up_a, uint64_t a, uint32_t up_b, uint64_t b)
{
	bool young_a = up_a < UPTIME_LEAST_MS;
	bool young_b = up_b < UPTIME_LEAST_MS;

	if (young_a != young_b)
		return young_b;
	/* Instances started together differ by less than this. */
	if (up_a / 1000 != up_b / 1000)
		return up_a < up_b;
	return a < b;
}

bool lead_is_best(const struct fleet *f, int64_t now)
{
	size_t i;

	if (f->leaving)
		return false;
	for (i = 0; i < f->n_peers; i++) {
		const struct fleet_peer *p = &f->peers[i];

		if (!beat_fresh(p, now) || p->leaving ||
		    p->inst.id == f->driver)
			continue;
		if (better(p->uptime_ms, p->inst.id, own_uptime(f, now),
			   f->opt.self.id))
			return false;
	}
	return true;
}

/* Instances, this one among them, that hear no driver. */
static size_t count_deaf(const struct fleet *f, int64_t now)
{
	size_t i, n = 1;

	for (i = 0; i < f->n_peers; i++)
		if (beat_fresh(&f->peers[i], now) && !f->peers[i].hears_driver)
			n++;
	return n;
}

bool lead_hears_most(const struct fleet *f, int64_t now)
{
	size_t i, n = 1;

	for (i = 0; i < f->n_peers; i++)
		n += beat_fresh(&f->peers[i], now);
	return n * 2 > f->map.n;
}

static bool most_are_deaf(const struct fleet *f, int64_t now)
{
	return count_deaf(f, now) * 2 > f->map.n;
}

/* The map shows that the driver's process has ended, or names none. */
static bool driver_is_gone(const struct fleet *f)
{
	return f->map_known && !f->store_away &&
	       !fleet_map_find(&f->map, f->driver);
}

static bool may_take_over(const struct fleet *f, int64_t now)
{
	if (!f->map_known || !fleet_map_find(&f->map, f->opt.self.id))
		return false;
	if (most_are_deaf(f, now) || driver_is_gone(f))
		return true;
	return !f->store_away && now - f->silent_since > MINORITY_MS &&
	       now - f->store_back_at > MINORITY_MS;
}

uint64_t lead_next_epoch(const struct fleet *f)
{
	uint64_t wall = (uint64_t)syc_now(&f->opt.wall_clock);
	uint64_t next = f->epoch + 1;

	if (f->map.epoch >= next)
		next = f->map.epoch + 1;
	return wall > next ? wall : next;
}

static void begin(struct fleet *f, int64_t now, uint64_t epoch)
{
	f->alone = 0;
	drive_limit_to_domain(f->drive, "");
	f->epoch = epoch;
	f->driver = f->opt.self.id;
	f->began_at = now;
	f->silent_since = 0;
	f->fenced_at = 0;
	f->workers_at = now; /* what we know may be as old as our last look */
	drive_begin(f->drive, now, epoch);
	beat_all(f, now);
	home_hand_in_all(f, now);
}

static void take_over(struct fleet *f, int64_t now)
{
	uint64_t epoch = lead_next_epoch(f);

	f->taking_over = true;
	f->taking_until = now + STORE_PATIENCE_MS;
	log_info("takeover_begun", LOG_U("epoch", epoch),
		 LOG_U("old_driver", f->driver),
		 LOG_I("silent_ms", now - f->silent_since),
		 LOG_U("deaf", count_deaf(f, now)), LOG_U("members", f->map.n),
		 LOG_U("store_away", f->store_away));
	map_sync_take(f, now, epoch);
}

void lead_lost(struct fleet *f)
{
	f->taking_over = false;
}

/* The store does not answer: the workers' fences settle who drives. */
static void go_on_without_store(struct fleet *f, int64_t now)
{
	f->taking_over = false;
	if (!most_are_deaf(f, now))
		return;
	log_warn("takeover_without_store", LOG_U("epoch", f->epoch));
	begin(f, now, lead_next_epoch(f));
}

static void watch_fence(struct fleet *f, int64_t now)
{
	if (!f->fenced_at || now - f->fenced_at < FENCED_PATIENCE_MS)
		return;
	log_warn("fence_raised_by_nobody", LOG_U("epoch", f->epoch));
	begin(f, now, lead_next_epoch(f));
}

void lead_tick(struct fleet *f, int64_t now)
{
	if (f->driver == f->opt.self.id && !f->alone && !f->leaving)
		watch_fence(f, now);
	if (hears_main(f, now)) {
		f->silent_since = 0;
		alone_end(f, now, "driver_heard");
		return;
	}
	if (!f->silent_since) {
		f->silent_since = now;
		log_info("driver_silent", LOG_U("driver", f->driver),
			 LOG_U("epoch", f->epoch));
		beat_all(f, now);
	}
	if (f->taking_over) {
		if (now > f->taking_until)
			go_on_without_store(f, now);
		return;
	}
	if (f->map.n < 2 && own_uptime(f, now) < FIRST_MS)
		return;
	if (own_uptime(f, now) < SETTLE_MS || !lead_is_best(f, now))
		return;
	if (may_take_over(f, now))
		take_over(f, now);
	else
		alone_tick(f, now);
}

void lead_heard(struct fleet *f, int64_t now, uint64_t epoch, uint64_t driver)
{
	bool newer = epoch > f->epoch ||
		     (epoch == f->epoch && driver > f->driver);

	if (!driver || !newer)
		return;
	if (driver == f->opt.self.id) {
		/* Our change of the map was made. */
		f->taking_over = false;
		if (!f->leaving)
			begin(f, now, epoch);
		return;
	}
	log_info("driver_changed", LOG_U("driver", driver),
		 LOG_U("epoch", epoch), LOG_U("old_driver", f->driver));
	f->epoch = epoch;
	f->driver = driver;
	f->learned_at = now;
	f->silent_since = 0;
	f->taking_over = false;
	f->fenced_at = 0;
	f->alone = 0;
	drive_end(f->drive, now);
	home_hand_in_all(f, now);
}
