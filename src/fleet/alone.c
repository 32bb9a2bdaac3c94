/*
 * A failure domain that is cut off goes on by itself: one of its instances
 * drives the domain's own workers until the driver of all is heard again.
 * An instance that only lost its peers must not do so, as the driver still
 * reaches the workers; it tells the two apart by calling workers of other
 * domains, with a fence that changes nothing.
 */
#include "fleet/fleet_state.h"

enum {
	PROBES = 3, /* workers called at once */
	PROBE_AGAIN_MS = 1000,
	UPTIME_LEAST_MS = 500 /* a new instance first hears of the others */
};

static bool in_own_domain(const struct fleet *f, const char *domain)
{
	return !strcmp(f->opt.self.domain, domain);
}

static bool hears_other_domain(const struct fleet *f, int64_t now)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		if (beat_fresh(&f->peers[i], now) &&
		    !in_own_domain(f, f->peers[i].inst.domain))
			return true;
	return false;
}

static void probe(struct fleet *f, const struct drive_worker *w)
{
	struct drive_hold call = {.call = FLEET_PROBE_CALL, .worker = w};

	f->probes_open++;
	f->opt.hold(f->opt.ctx, &call);
}

static void probe_others(struct fleet *f, int64_t now)
{
	size_t i, k, n = f->n_workers;

	f->probe_at = now + PROBE_AGAIN_MS;
	f->probes_answered = false;
	for (i = 0; i < n && f->probes_open < PROBES; i++) {
		/* Another part of the list each time. */
		k = (i + (size_t)now) % n;
		if (!in_own_domain(f, f->workers[k].domain))
			probe(f, &f->workers[k]);
	}
}

bool alone_is_heard(const struct fleet *f, int64_t now)
{
	const struct fleet_peer *p = beat_known(f, f->alone);

	return p && beat_fresh(p, now);
}

/* Whether the domain has no driver that stays. */
static bool is_vacant(const struct fleet *f)
{
	const struct fleet_peer *p;

	if (!f->alone)
		return true;
	if (f->alone == f->opt.self.id)
		return f->leaving;
	p = beat_known(f, f->alone);
	return p && p->leaving;
}

static bool may_drive(const struct fleet *f, int64_t now)
{
	return is_vacant(f) && !f->leaving &&
	       now - f->started_at >= UPTIME_LEAST_MS && f->silent_since &&
	       lead_is_best(f, now) && !hears_other_domain(f, now);
}

void alone_tick(struct fleet *f, int64_t now)
{
	if (f->alone && !lead_hears_driver(f, now)) {
		alone_end(f, now, "silent");
		f->probe_at = now;
	}
	if (!f->probes_open && now >= f->probe_at && may_drive(f, now))
		probe_others(f, now);
}

static void begin(struct fleet *f, int64_t now)
{
	uint64_t epoch = lead_next_epoch(f);

	log_warn("domain_cut_off", LOG_S("domain", f->opt.self.domain),
		 LOG_U("epoch", epoch), LOG_U("driver", f->driver),
		 LOG_I("silent_ms", now - f->silent_since));
	f->alone = f->opt.self.id;
	drive_limit_to_domain(f->drive, f->opt.self.domain);
	drive_begin(f->drive, now, epoch);
	beat_all(f, now);
	home_hand_in_all(f, now);
}

static void take_probe(struct fleet *f, int64_t now, enum drive_call_result end)
{
	if (!f->probes_open)
		return;
	if (end != DRIVE_CALL_UNANSWERED && end != DRIVE_CALL_NOT_SENT)
		f->probes_answered = true;
	if (--f->probes_open)
		return;
	if (!f->probes_answered && may_drive(f, now))
		begin(f, now);
}

void fleet_hold_answered(struct fleet *f, int64_t now, uint64_t call,
			 const struct drive_hold_answer *held)
{
	if (call == FLEET_PROBE_CALL)
		take_probe(f, now, held->answer.result);
	else
		drive_hold_answered(f->drive, now, call, held);
}

void alone_heard(struct fleet *f, int64_t now, const struct fleet_peer *p)
{
	if (!in_own_domain(f, p->inst.domain) || !f->silent_since ||
	    p->leaving || !is_vacant(f))
		return;
	log_info("domain_driver_followed", LOG_S("driver", p->inst.name));
	/* One that leaves has driven the domain, or all, until now. */
	drive_end(f->drive, now);
	drive_limit_to_domain(f->drive, "");
	f->fenced_at = 0;
	f->alone = p->inst.id;
	home_hand_in_all(f, now);
}

void alone_end(struct fleet *f, int64_t now, const char *why)
{
	bool drove = f->alone == f->opt.self.id;

	if (!f->alone)
		return;
	log_info("domain_driver_left", LOG_S("why", why),
		 LOG_U("drove", drove));
	f->alone = 0;
	if (f->silent_since)
		f->silent_since = now; /* the driver may be heard any moment */
	if (drove) {
		drive_end(f->drive, now);
		drive_limit_to_domain(f->drive, "");
	}
	home_hand_in_all(f, now);
}
