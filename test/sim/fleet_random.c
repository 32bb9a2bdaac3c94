/* Random troubles for the simulated fleet. */
#include <stdio.h>

#include "fleet_sim.h"
#include "util/log.h"

enum {
	STEP_MS = 50,
	QUIET_MS = 8000, /* without trouble before the last check */
	PROBE_JOBS = 6
};

/*
 * Troubles per mille of a step. A mixed run leaves half the kinds out and
 * brings some of the others four times as often, as one kind may hide what
 * another would show.
 */
struct mix {
	unsigned kill, kill_driver, pause, leave, cut_domain, cut_instance;
	unsigned store, late, crash_worker, list_worker;
	unsigned start, join_domain, join_instance;
	/* of mixed runs alone */
	bool mixed;
	unsigned pause_driver, cut_worker, mute_worker, join_worker;
	unsigned late_percent;
	unsigned long_runs;
	bool impatient; /* callers leave a home that does not answer */
};

static const struct mix plain = {
	.kill = 8,
	.kill_driver = 6,
	.pause = 8,
	.leave = 5,
	.cut_domain = 8,
	.cut_instance = 6,
	.store = 8,
	.late = 10,
	.crash_worker = 8,
	.list_worker = 15,
	.start = 30,
	.join_domain = 25,
	.join_instance = 25,
	.late_percent = 6,
	.long_runs = 300,
};

static bool chance(struct fsim *s, unsigned per_mille)
{
	return rng_below(&s->rng, 1000) < per_mille;
}

static unsigned weigh(struct fsim *s, unsigned per_mille)
{
	if (chance(s, 500))
		return 0;
	return chance(s, 400) ? 4 * per_mille : per_mille;
}

static void mix_kinds(struct fsim *s, struct mix *m)
{
	*m = plain;
	m->mixed = true;
	m->kill = weigh(s, m->kill);
	m->kill_driver = weigh(s, m->kill_driver);
	m->pause = weigh(s, m->pause);
	m->leave = weigh(s, m->leave);
	m->cut_domain = weigh(s, m->cut_domain);
	m->cut_instance = weigh(s, m->cut_instance);
	m->store = weigh(s, m->store);
	m->late = weigh(s, m->late);
	m->crash_worker = weigh(s, m->crash_worker);
	m->list_worker = weigh(s, m->list_worker);
	m->pause_driver = weigh(s, 10);
	m->cut_worker = weigh(s, 15);
	m->mute_worker = weigh(s, 15);
	m->join_worker = 30;
	m->late_percent = chance(s, 500) ? 6 : 30;
	m->long_runs = chance(s, 500) ? 300 : 800;
	m->impatient = chance(s, 500);
	m->join_domain = chance(s, 500) ? 25 : 100;
	m->join_instance = chance(s, 500) ? 25 : 100;
}

static int any_instance(struct fsim *s)
{
	return (int)rng_below(&s->rng, FSIM_INSTANCES);
}

static int64_t any_pause(struct fsim *s)
{
	return 200 + (int64_t)rng_below(&s->rng, 3000);
}

static void pause_one(struct fsim *s, const struct mix *m, int instance,
		      int64_t ms)
{
	/* What waits for the end of a pause would come after a shorter one. */
	if (m->mixed && s->instances[instance].paused_until > s->now + ms)
		return;
	fsim_pause(s, instance, ms);
}

/* What a plain run does not have, so that its seeds stay what they were. */
static void disturb_more(struct fsim *s, const struct mix *m)
{
	int k;

	if (chance(s, m->pause_driver) && fsim_driver(s) >= 0)
		pause_one(s, m, fsim_driver(s), any_pause(s));
	k = (int)rng_below(&s->rng, FSIM_WORKERS);
	if (chance(s, m->cut_worker))
		s->workers[k].cut = true;
	k = (int)rng_below(&s->rng, FSIM_WORKERS);
	if (chance(s, m->mute_worker))
		s->workers[k].mute = true;
	for (k = 0; k < FSIM_WORKERS; k++) {
		if (!chance(s, m->join_worker))
			continue;
		s->workers[k].cut = false;
		s->workers[k].mute = false;
	}
}

static void disturb(struct fsim *s, const struct mix *m)
{
	int64_t ms;
	int k;

	if (chance(s, m->kill))
		fsim_kill(s, any_instance(s));
	if (chance(s, m->kill_driver) && fsim_driver(s) >= 0)
		fsim_kill(s, fsim_driver(s));
	if (chance(s, m->pause)) {
		ms = any_pause(s);
		pause_one(s, m, any_instance(s), ms);
	}
	if (chance(s, m->leave))
		fsim_leave(s, any_instance(s));
	if (chance(s, m->cut_domain))
		fsim_cut_domain(s, (int)rng_below(&s->rng, FSIM_DOMAINS), true);
	if (chance(s, m->cut_instance))
		fsim_cut_instance(s, any_instance(s), true);
	if (chance(s, m->store))
		s->store.down = !s->store.down;
	if (chance(s, m->late))
		s->late_percent = s->late_percent ? 0 : m->late_percent;
	if (chance(s, m->crash_worker))
		fsim_crash_worker(s, (int)rng_below(&s->rng, FSIM_WORKERS));
	if (chance(s, m->list_worker))
		fsim_list_worker(s, (int)rng_below(&s->rng, FSIM_WORKERS),
				 chance(s, 600));
	for (k = 0; k < FSIM_INSTANCES; k++)
		if (chance(s, m->start))
			fsim_start(s, k);
	for (k = 0; k < FSIM_DOMAINS; k++)
		if (chance(s, m->join_domain))
			fsim_cut_domain(s, k, false);
	for (k = 0; k < FSIM_INSTANCES; k++)
		if (chance(s, m->join_instance))
			fsim_cut_instance(s, k, false);
	if (m->mixed)
		disturb_more(s, m);
}

static void heal(struct fsim *s)
{
	int k;

	s->store.down = false;
	s->late_percent = 0;
	for (k = 0; k < FSIM_DOMAINS; k++)
		fsim_cut_domain(s, k, false);
	for (k = 0; k < FSIM_WORKERS; k++) {
		fsim_list_worker(s, k, true);
		s->workers[k].cut = false;
		s->workers[k].mute = false;
	}
	for (k = 0; k < FSIM_INSTANCES; k++) {
		const char *why;

		fsim_cut_instance(s, k, false);
		if (s->instances[k].fleet &&
		    !fleet_is_ready(s->instances[k].fleet, &why) &&
		    s->instances[k].paused_until <= s->now)
			fsim_kill(s, k); /* one that was asked to leave */
		fsim_start(s, k);
	}
}

static void submit_some(struct fsim *s, const struct mix *m)
{
	uint32_t run_ms = chance(s, m->long_runs) ? 900 : 80;

	if (s->n_jobs + PROBE_JOBS < FSIM_JOBS && chance(s, 350))
		fsim_submit(s, (int)rng_below(&s->rng, FSIM_DOMAINS),
			    1 + (uint32_t)rng_below(&s->rng, 4), run_ms);
}

static bool serves_again(struct fsim *s, char *message, size_t size)
{
	size_t i, first = s->n_jobs;

	for (i = 0; i < PROBE_JOBS; i++)
		fsim_submit(s, (int)(i % FSIM_DOMAINS), 2, 80);
	fsim_run(s, 1000);
	for (i = first; i < s->n_jobs; i++) {
		if (s->jobs[i].answered &&
		    s->jobs[i].outcome == FLEET_COMPLETED)
			continue;
		snprintf(message, size, "at %lld ms: job %zu is not served",
			 (long long)s->now, i);
		return false;
	}
	return true;
}

bool fsim_random(uint64_t seed, int64_t ms, bool mixed, char *message,
		 size_t size)
{
	struct fsim *s = fsim_new(seed);
	int64_t until = s->now + ms;
	struct mix m = plain;
	bool ok;

	if (mixed)
		mix_kinds(s, &m);
	s->impatient = m.impatient;
	while (s->now < until) {
		disturb(s, &m);
		submit_some(s, &m);
		fsim_run(s, STEP_MS);
	}
	heal(s);
	log_info("healed", LOG_I("now", s->now));
	fsim_run(s, QUIET_MS);
	ok = !s->twice && !s->false_refusals;
	snprintf(message, size, "%s", s->message);
	if (ok)
		ok = serves_again(s, message, size);
	fsim_free(s);
	return ok;
}
