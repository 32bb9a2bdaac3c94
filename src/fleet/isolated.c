/*
 * Drives this instance's failure domain while it is cut off: one instance of
 * the domain drives its workers until the driver of the fleet is reachable
 * again. An instance that lost only its peers must not do so, as the driver
 * still reaches the workers. To distinguish the two cases, it calls workers
 * of other domains, with fence zero, which changes nothing there.
 */
#include "fleet/fleet_state.h"

enum {
	PROBES_MAX = 3, /* calls in flight */
	PROBE_INTERVAL_MS = 1000,
	/* A new instance has received its peers' heartbeats by then. */
	UPTIME_MIN_MS = 500
};

static bool in_own_domain(const struct fleet *f, const char *domain)
{
	return !strcmp(f->opt.self.domain, domain);
}

static bool is_other_domain_reachable(const struct fleet *f, int64_t now)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		if (heartbeat_is_reachable(&f->peers[i], now) &&
		    !in_own_domain(f, f->peers[i].instance.domain))
			return true;
	return false;
}

static void send_probe(struct fleet *f, const struct drive_worker *w)
{
	struct drive_hold call = {.call = FLEET_PROBE_CALL, .worker = w};

	f->probes_in_flight++;
	f->opt.hold(f->opt.ctx, &call);
}

static void probe_other_domains(struct fleet *f, int64_t now)
{
	size_t i, k, n = f->n_workers;

	f->next_probe_at = now + PROBE_INTERVAL_MS;
	f->has_probe_answer = false;
	for (i = 0; i < n && f->probes_in_flight < PROBES_MAX; i++) {
		/* Each round begins at another place of the list. */
		k = (i + (size_t)now) % n;
		if (!in_own_domain(f, f->workers[k].domain))
			send_probe(f, &f->workers[k]);
	}
}

bool isolated_is_driver_reachable(const struct fleet *f, int64_t now)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, f->domain_driver);

	return p && heartbeat_is_reachable(p, now);
}

/* Whether the domain has no driver of its own, or one that is leaving. */
static bool needs_domain_driver(const struct fleet *f)
{
	const struct fleet_peer *p;

	if (!f->domain_driver)
		return true;
	if (f->domain_driver == f->opt.self.id)
		return f->leaving;
	p = heartbeat_find_peer(f, f->domain_driver);
	return p && p->leaving;
}

static bool may_drive_domain(const struct fleet *f, int64_t now)
{
	return needs_domain_driver(f) && !f->leaving &&
	       now - f->started_at >= UPTIME_MIN_MS && f->driver_lost_at &&
	       election_is_best_candidate(f, now) &&
	       !is_other_domain_reachable(f, now);
}

void isolated_tick(struct fleet *f, int64_t now)
{
	if (f->domain_driver && !election_is_driver_reachable(f, now)) {
		isolated_end(f, now, "silent");
		f->next_probe_at = now;
	}
	if (!f->probes_in_flight && now >= f->next_probe_at &&
	    may_drive_domain(f, now))
		probe_other_domains(f, now);
}

static void begin_driving_domain(struct fleet *f, int64_t now)
{
	uint64_t epoch = election_next_epoch(f);

	log_warn("domain_cut_off", LOG_S("domain", f->opt.self.domain),
		 LOG_U("epoch", epoch), LOG_U("driver", f->driver),
		 LOG_I("silent_ms", now - f->driver_lost_at));
	f->domain_driver = f->opt.self.id;
	f->next_workers_read_at = now; /* the known list may be old */
	drive_limit_to_domain(f->drive, f->opt.self.domain);
	drive_begin(f->drive, now, epoch);
	workers_await_if_old(f, now);
	heartbeat_send_all(f, now);
	home_submit_all(f, now);
}

static void handle_probe_answer(struct fleet *f, int64_t now,
				enum drive_call_result result)
{
	if (!f->probes_in_flight)
		return;
	if (result != DRIVE_CALL_UNANSWERED && result != DRIVE_CALL_NOT_SENT &&
	    result != DRIVE_CALL_NO_LISTENER)
		f->has_probe_answer = true;
	if (--f->probes_in_flight)
		return;
	if (!f->has_probe_answer && may_drive_domain(f, now))
		begin_driving_domain(f, now);
}

void fleet_hold_answered(struct fleet *f, int64_t now, uint64_t call,
			 const struct drive_hold_answer *lists)
{
	if (call == FLEET_PROBE_CALL)
		handle_probe_answer(f, now, lists->answer.result);
	else
		drive_hold_answered(f->drive, now, call, lists);
}

void isolated_update_driver(struct fleet *f, int64_t now,
			    const struct fleet_peer *p)
{
	if (!in_own_domain(f, p->instance.domain) || !f->driver_lost_at ||
	    p->leaving || !needs_domain_driver(f))
		return;
	log_info("domain_driver_accepted", LOG_S("driver", p->instance.name));
	/* If this instance is leaving, it may have driven until now. */
	drive_end(f->drive, now);
	drive_limit_to_domain(f->drive, "");
	f->fenced_at = 0;
	f->domain_driver = p->instance.id;
	home_submit_all(f, now);
}

void isolated_end(struct fleet *f, int64_t now, const char *why)
{
	bool was_driving = f->domain_driver == f->opt.self.id;

	if (!f->domain_driver)
		return;
	log_info("domain_driver_left", LOG_S("why", why),
		 LOG_U("drove", was_driving));
	f->domain_driver = 0;
	if (f->driver_lost_at)
		/*
		 * The time without a driver is counted anew, as a heartbeat of
		 * the fleet's driver may arrive soon.
		 */
		f->driver_lost_at = now;
	if (was_driving) {
		drive_end(f->drive, now);
		drive_limit_to_domain(f->drive, "");
	}
	home_submit_all(f, now);
}
