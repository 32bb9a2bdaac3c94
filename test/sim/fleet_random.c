/* Random troubles for the simulated fleet. */
#include <stdio.h>

#include "fleet_sim.h"
#include "util/log.h"

enum {
	STEP_MS = 50,
	QUIET_MS = 8000, /* without trouble before the last check */
	PROBE_JOBS = 6
};

static bool chance(struct fsim *s, unsigned per_mille)
{
	return rng_below(&s->rng, 1000) < per_mille;
}

static int any_instance(struct fsim *s)
{
	return (int)rng_below(&s->rng, FSIM_INSTANCES);
}

static void disturb(struct fsim *s)
{
	int k;

	if (chance(s, 8))
		fsim_kill(s, any_instance(s));
	if (chance(s, 6) && fsim_driver(s) >= 0)
		fsim_kill(s, fsim_driver(s));
	if (chance(s, 8))
		fsim_pause(s, any_instance(s),
			   200 + (int64_t)rng_below(&s->rng, 3000));
	if (chance(s, 5))
		fsim_leave(s, any_instance(s));
	if (chance(s, 8))
		fsim_cut_domain(s, (int)rng_below(&s->rng, FSIM_DOMAINS), true);
	if (chance(s, 6))
		fsim_cut_instance(s, any_instance(s), true);
	if (chance(s, 8))
		s->store.down = !s->store.down;
	if (chance(s, 10))
		s->late_percent = s->late_percent ? 0 : 6;
	if (chance(s, 8))
		fsim_crash_worker(s, (int)rng_below(&s->rng, FSIM_WORKERS));
	if (chance(s, 15))
		fsim_list_worker(s, (int)rng_below(&s->rng, FSIM_WORKERS),
				 chance(s, 600));
	for (k = 0; k < FSIM_INSTANCES; k++)
		if (chance(s, 30))
			fsim_start(s, k);
	for (k = 0; k < FSIM_DOMAINS; k++)
		if (chance(s, 25))
			fsim_cut_domain(s, k, false);
	for (k = 0; k < FSIM_INSTANCES; k++)
		if (chance(s, 25))
			fsim_cut_instance(s, k, false);
}

static void heal(struct fsim *s)
{
	int k;

	s->store.down = false;
	s->late_percent = 0;
	for (k = 0; k < FSIM_DOMAINS; k++)
		fsim_cut_domain(s, k, false);
	for (k = 0; k < FSIM_WORKERS; k++)
		fsim_list_worker(s, k, true);
	for (k = 0; k < FSIM_INSTANCES; k++) {
		const char *why;

		fsim_cut_instance(s, k, false);
		if (s->instances[k].fleet &&
		    !fleet_ready(s->instances[k].fleet, &why) &&
		    s->instances[k].paused_until <= s->now)
			fsim_kill(s, k); /* one that was asked to leave */
		fsim_start(s, k);
	}
}

static void submit_some(struct fsim *s)
{
	uint32_t run_ms = chance(s, 300) ? 900 : 80;

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

bool fsim_random(uint64_t seed, int64_t ms, char *message, size_t size)
{
	struct fsim *s = fsim_new(seed);
	int64_t until = s->now + ms;
	bool ok;

	while (s->now < until) {
		disturb(s);
		submit_some(s);
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
