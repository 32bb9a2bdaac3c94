/*
 * Elects the driver. A driver stays while it is reachable. When a majority of
 * the instances cannot reach it, the instance whose machine can drive most
 * takes over; among equals the one that started last, as a rolling restart
 * reaches it last. If two instances try at once, the map in the store decides
 * between them. While the store is unreachable the workers decide, as they obey
 * only the higher fence.
 */
#include "fleet/fleet_state.h"

enum {
	TAKEOVER_OVERDUE_MS = 600, /* longer than a takeover lasts */
	/* Uptime before an instance that is alone in the map may drive. */
	SINGLE_START_MS = 800,
	START_MIN_MS = 120, /* uptime before an instance may drive */
	/* Instances with less uptime drive only if no older one can. */
	UPTIME_PREFERRED_MS = 1500,
	/* A new driver counts as reachable for this time without heartbeat. */
	FIRST_HEARTBEAT_MS = 350,
	/* Two heartbeats and two reports on the way may be lost. */
	REPORT_FRESH_MS = 600,
	/* A link to a driver that is not up by then waits for... */
	DIAL_TIMEOUT_MS = 300,
	DIAL_RETRY_MS = 2000, /* ...the next attempt */
	STORE_TIMEOUT_MS = 250, /* of a takeover's change of the map */
	/*
	 * Without a driver for this time, an instance may take over without a
	 * majority if the store has been reachable for the same time.
	 */
	MINORITY_TAKEOVER_MS = 4500,
	/*
	 * Within this time after a member has joined, a running driver reads
	 * the map, and removes the member if it receives no heartbeat of it.
	 */
	MEMBER_SETTLED_MS = 2000,
	/* Time for the instance that raised a fence to announce itself. */
	FENCED_TIMEOUT_MS = 2000
};

/* Fences of a later epoch exceed the numbers that workers read. */
static const uint64_t epoch_max = INT64_MAX / DRIVE_FENCES_PER_EPOCH;

/* What decides which instance is the best driver. */
struct candidate {
	uint64_t id;
	uint32_t uptime_ms;
	uint32_t capacity;
};

static bool is_peer_reachable(const struct fleet *f, uint64_t id, int64_t now)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, id);

	return p && heartbeat_is_reachable(p, now) && !p->leaving && !p->yields;
}

static bool is_in_map(const struct fleet *f, uint64_t id)
{
	return !f->map_known || fleet_map_find(&f->map, id);
}

static bool is_known_to_end(const struct fleet *f, uint64_t id)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, id);

	return p && (p->leaving || p->yields);
}

/* Whether the driver is reported to run, and nothing shows that we miss it. */
static bool is_reported(const struct fleet *f, int64_t now)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, f->driver);

	if (f->report.driver.id != f->driver || is_known_to_end(f, f->driver) ||
	    now - f->report.heard_at > REPORT_FRESH_MS)
		return false;
	if (p && p->link_up)
		return !p->heartbeat_at;
	return !f->dialled_at || now - f->dialled_at <= DIAL_TIMEOUT_MS;
}

/* Whether the driver of the whole fleet, as the map names it, is reachable. */
static bool is_fleet_driver_reachable(const struct fleet *f, int64_t now)
{
	if (!f->driver)
		return false;
	if (f->driver == f->opt.self.id)
		return !f->leaving && !f->yielding;
	if (is_peer_reachable(f, f->driver, now) || is_reported(f, now))
		return true;
	/* The driver's first heartbeat may still be in flight. */
	return now - f->driver_learned_at < FIRST_HEARTBEAT_MS &&
	       is_in_map(f, f->driver) && !is_known_to_end(f, f->driver);
}

/*
 * Whether the driver's silence may be due to pauses of this process. Its jobs
 * wait meanwhile, but it does not suspect the driver yet.
 */
static bool may_be_own_pause(const struct fleet *f, int64_t now)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, f->driver);

	return p && heartbeat_is_reachable_awake(p, now) &&
	       !is_known_to_end(f, f->driver);
}

bool election_is_driver_reachable(const struct fleet *f, int64_t now)
{
	/* A leaving driver of a cut-off domain drives until another does. */
	if (f->domain_driver)
		return f->domain_driver == f->opt.self.id ||
		       isolated_is_driver_reachable(f, now);
	return is_fleet_driver_reachable(f, now);
}

uint64_t election_get_driver(const struct fleet *f)
{
	return f->domain_driver ? f->domain_driver : f->driver;
}

bool election_is_takeover_overdue(const struct fleet *f, int64_t now)
{
	return !election_is_driver_reachable(f, now) && f->driver_lost_at &&
	       now - f->driver_lost_at > TAKEOVER_OVERDUE_MS;
}

static uint32_t get_uptime_ms(const struct fleet *f, int64_t now)
{
	return (uint32_t)(now - f->started_at);
}

static bool is_better_candidate(const struct candidate *a,
				const struct candidate *b)
{
	bool is_young_a = a->uptime_ms < UPTIME_PREFERRED_MS;
	bool is_young_b = b->uptime_ms < UPTIME_PREFERRED_MS;

	if (is_young_a != is_young_b)
		return is_young_b;
	if (a->capacity != b->capacity)
		return a->capacity > b->capacity;
	/* Instances that started together differ by less than a second. */
	if (a->uptime_ms / 1000 != b->uptime_ms / 1000)
		return a->uptime_ms < b->uptime_ms;
	return a->id < b->id;
}

bool election_is_reachable_member(const struct fleet *f,
				  const struct fleet_peer *p, int64_t now)
{
	return heartbeat_is_reachable(p, now) &&
	       fleet_is_eligible_domain(f, p->instance.domain) &&
	       fleet_is_member(f, p->instance.id);
}

static struct candidate peer_candidate(const struct fleet_peer *p)
{
	return (struct candidate){p->instance.id, p->uptime_ms, p->capacity};
}

bool election_is_best_candidate(const struct fleet *f, int64_t now)
{
	struct candidate self = {f->opt.self.id, get_uptime_ms(f, now),
				 f->opt.capacity};
	size_t i;

	if (f->leaving || f->yielding)
		return false;
	for (i = 0; i < f->n_peers; i++) {
		const struct fleet_peer *p = &f->peers[i];
		struct candidate peer = peer_candidate(p);

		if (!election_is_reachable_member(f, p, now) || p->leaving ||
		    p->instance.id == f->driver)
			continue;
		if (is_better_candidate(&peer, &self))
			return false;
	}
	return true;
}

/* Counts the instances that reach no driver, including this one. */
static size_t count_without_driver(const struct fleet *f, int64_t now)
{
	size_t i, n = 1;

	for (i = 0; i < f->n_peers; i++)
		if (election_is_reachable_member(f, &f->peers[i], now) &&
		    !f->peers[i].has_driver)
			n++;
	return n;
}

bool election_has_quorum(const struct fleet *f, int64_t now)
{
	size_t i, n = 1;

	for (i = 0; i < f->n_peers; i++)
		n += election_is_reachable_member(f, &f->peers[i], now);
	return n * 2 > f->map.n_members;
}

static bool is_majority_without_driver(const struct fleet *f, int64_t now)
{
	return count_without_driver(f, now) * 2 > f->map.n_members;
}

/* Whether the map lacks the driver: its process has ended or none is known. */
static bool is_driver_removed(const struct fleet *f)
{
	return f->map_known && !f->store_unreachable &&
	       !fleet_map_find(&f->map, f->driver);
}

static bool may_take_over(const struct fleet *f, int64_t now)
{
	if (!f->map_known || !fleet_map_find(&f->map, f->opt.self.id))
		return false;
	if (is_majority_without_driver(f, now) || is_driver_removed(f))
		return true;
	return !f->store_unreachable &&
	       now - f->member_since > MEMBER_SETTLED_MS &&
	       now - f->driver_lost_at > MINORITY_TAKEOVER_MS &&
	       now - f->store_reachable_at > MINORITY_TAKEOVER_MS;
}

uint64_t election_next_epoch(const struct fleet *f)
{
	uint64_t wall = (uint64_t)syc_now(&f->opt.wall_clock);
	uint64_t next = f->epoch + 1;

	if (f->map.epoch >= next)
		next = f->map.epoch + 1;
	if (f->opt.epoch_floor >= next)
		next = f->opt.epoch_floor + 1;
	return wall > next ? wall : next;
}

static void begin_driving(struct fleet *f, int64_t now, uint64_t epoch)
{
	f->domain_driver = 0;
	drive_limit_to_domain(f->drive, "");
	f->epoch = epoch;
	f->driver = f->opt.self.id;
	f->drive_began_at = now;
	f->yielding = false;
	f->driver_lost_at = 0;
	f->fenced_at = 0;
	f->next_workers_read_at = now; /* the known list may be old */
	/* If it drove before, another driver may have its jobs meanwhile. */
	drive_end(f->drive, now);
	if (!fleet_is_divided(f))
		drive_begin(f->drive, now, epoch);
	workers_await_if_old(f, now);
	heartbeat_send_all(f, now);
	home_submit_all(f, now);
}

static void take_over(struct fleet *f, int64_t now)
{
	uint64_t epoch = election_next_epoch(f);

	f->takeover_in_flight = true;
	f->takeover_deadline_at = now + STORE_TIMEOUT_MS;
	log_info("takeover_begun", LOG_U("epoch", epoch),
		 LOG_U("old_driver", f->driver),
		 LOG_I("silent_ms", now - f->driver_lost_at),
		 LOG_U("deaf", count_without_driver(f, now)),
		 LOG_U("members", f->map.n_members),
		 LOG_U("store_away", f->store_unreachable),
		 LOG_U("capacity", f->opt.capacity));
	map_sync_take_over(f, now, epoch);
}

void election_lost(struct fleet *f)
{
	f->takeover_in_flight = false;
}

/* The store does not answer, so the fences on the workers decide. */
static void take_over_without_store(struct fleet *f, int64_t now)
{
	f->takeover_in_flight = false;
	if (!is_majority_without_driver(f, now))
		return;
	log_warn("takeover_without_store", LOG_U("epoch", f->epoch));
	begin_driving(f, now, election_next_epoch(f));
}

static void check_fence(struct fleet *f, int64_t now)
{
	if (!f->fenced_at || now - f->fenced_at < FENCED_TIMEOUT_MS)
		return;
	log_warn("fence_of_unknown_driver", LOG_U("epoch", f->epoch));
	begin_driving(f, now, election_next_epoch(f));
}

static void check_own_drive(struct fleet *f, int64_t now)
{
	if (f->driver != f->opt.self.id || f->domain_driver || f->leaving)
		return;
	check_fence(f, now);
	yield_tick(f, now);
}

void election_tick(struct fleet *f, int64_t now)
{
	check_own_drive(f, now);
	if (is_fleet_driver_reachable(f, now)) {
		f->driver_lost_at = 0;
		isolated_end(f, now, "driver_heard");
		return;
	}
	if (!f->driver_lost_at && may_be_own_pause(f, now))
		return;
	if (!f->driver_lost_at) {
		f->driver_lost_at = now;
		log_info("driver_silent", LOG_U("driver", f->driver),
			 LOG_U("epoch", f->epoch));
		heartbeat_send_all(f, now);
	}
	if (!fleet_is_eligible(f) || fleet_misses_division(f))
		return;
	if (f->takeover_in_flight) {
		if (now > f->takeover_deadline_at)
			take_over_without_store(f, now);
		return;
	}
	if ((f->map.n_members < 2 || !f->map.epoch) &&
	    get_uptime_ms(f, now) < SINGLE_START_MS)
		return;
	if (get_uptime_ms(f, now) < START_MIN_MS ||
	    !election_is_best_candidate(f, now))
		return;
	if (may_take_over(f, now))
		take_over(f, now);
	else if (!*f->opt.cell && fleet_is_member(f, f->opt.self.id))
		isolated_tick(f, now);
}

static const struct syc_instance *find_driver(const struct fleet *f)
{
	if (f->driver && f->report.driver.id == f->driver)
		return &f->report.driver;
	return fleet_map_find(&f->map, f->driver);
}

/* Closes the link to the driver of another cell. */
static void hang_up_driver(struct fleet *f)
{
	const struct syc_instance *driver = find_driver(f);

	if (driver && !fleet_is_eligible(f))
		f->opt.hang_up(f->opt.ctx, &driver->peer_addr);
}

void election_dial_driver(struct fleet *f, int64_t now)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, f->driver);
	const struct syc_instance *driver = find_driver(f);

	if (!driver || f->driver == f->opt.self.id || (p && p->link_up))
		return;
	if (!f->dialled_at || now - f->dialled_at > DIAL_RETRY_MS)
		f->dialled_at = now;
	f->opt.dial(f->opt.ctx, &driver->peer_addr);
}

void election_hang_up(struct fleet *f)
{
	hang_up_driver(f);
	f->dialled_at = 0;
}

void election_update_report(struct fleet *f, int64_t now, uint64_t epoch,
			    const struct driver_report *report)
{
	election_update_driver(f, now, epoch, report->driver.id);
	if (report->driver.id != f->driver || epoch != f->epoch)
		return;
	if (f->report.driver.id == f->driver &&
	    f->report.heard_at >= report->heard_at)
		return;
	if (*report->driver.name)
		f->report.driver = report->driver;
	f->report.room = report->room;
	f->report.heard_at = report->heard_at;
}

bool election_get_room(const struct fleet *f, int64_t now,
		       struct drive_room *room, int64_t *reported_at)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, f->driver);

	if (f->driver == f->opt.self.id) {
		drive_get_room(f->drive, now, room);
		*reported_at = now;
		return true;
	}
	if (p && heartbeat_is_reachable(p, now)) {
		*room = p->room;
		*reported_at = p->heartbeat_at;
		return true;
	}
	if (!f->driver || f->report.driver.id != f->driver)
		return false;
	*room = f->report.room;
	*reported_at = f->report.heard_at;
	return true;
}

/* Whether the instance is known, and cannot drive this cell. */
static bool is_of_other_domain(const struct fleet *f, uint64_t driver)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, driver);

	if (driver == f->opt.self.id)
		return !fleet_is_eligible(f);
	return p && !fleet_is_eligible_domain(f, p->instance.domain);
}

void election_update_driver(struct fleet *f, int64_t now, uint64_t epoch,
			    uint64_t driver)
{
	bool newer = epoch > f->epoch ||
		     (epoch == f->epoch && driver > f->driver);

	if (!driver || !newer)
		return;
	if (epoch > epoch_max || is_of_other_domain(f, driver)) {
		log_warn("driver_not_accepted", LOG_S("cell", f->opt.cell),
			 LOG_U("epoch", epoch), LOG_U("driver", driver));
		return;
	}
	if (driver == f->opt.self.id) {
		/* The map in the store names this instance as the driver. */
		f->takeover_in_flight = false;
		if (!f->leaving)
			begin_driving(f, now, epoch);
		return;
	}
	log_info("driver_changed", LOG_U("driver", driver),
		 LOG_U("epoch", epoch), LOG_U("old_driver", f->driver));
	hang_up_driver(f);
	f->epoch = epoch;
	f->driver = driver;
	f->dialled_at = 0;
	if (f->yielding)
		f->n_yields = 0;
	f->yielding = false;
	f->driver_learned_at = now;
	f->driver_lost_at = 0;
	f->takeover_in_flight = false;
	f->fenced_at = 0;
	f->domain_driver = 0;
	drive_end(f->drive, now);
	home_submit_all(f, now);
	/* The new driver starts nothing for a home without a heartbeat. */
	if (!fleet_is_member(f, f->opt.self.id))
		heartbeat_send_all(f, now);
}
