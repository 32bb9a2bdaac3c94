/* Random faults for the simulated fleet. */
#include <stdio.h>

#include "fleet_sim.h"
#include "util/log.h"

enum {
	STEP_MS = 50,
	QUIET_MS = 8000, /* time without faults before the last check */
	PROBE_JOBS = 6,
	LATE_REPLY_PERCENT = 50,
	LONG_RUN_MS = 2000, /* and up to twice that */
	LONG_DEADLINE_MS = 10000,
	DRAINED_FOR_MS = 5000, /* from a worker's report to its end */
	AGAIN_MS = 1300, /* from a request to the next one for its job */
	AGAIN_AFTER_MS = 6000, /* from the answer, at most */
	AGAIN_MAX = 3 /* further requests for one job */
};

/*
 * Probabilities of faults and repairs in each step, per mille. A mixed run
 * leaves out half of the kinds and has some others four times as often, as
 * faults of one kind may hide the effect of another.
 */
struct fault_rates {
	unsigned kill, kill_driver, pause, leave, cut_domain, cut_instance;
	unsigned store_outage, late_calls, restart_worker, list_worker;
	unsigned start_instance, reconnect_domain, reconnect_instance;
	/* only in mixed runs */
	bool is_mixed;
	unsigned pause_driver, cut_worker, lose_answers, reconnect_worker;
	unsigned change_config;
	unsigned evacuate, end_evacuation;
	unsigned drain_worker;
	unsigned silence, silence_one, deafen, be_busy, delay_replies;
	unsigned cut_watches, end_store_fault;
	unsigned late_percent;
	unsigned long_runs;
	unsigned crashing; /* jobs with a task that crashes workers */
	unsigned crash_worker;
	bool callers_leave_early; /* if their home is not reachable */
	/* only with callers that move */
	unsigned again; /* further requests for earlier jobs */
	unsigned overlapping_runs; /* jobs that last longer than AGAIN_MS */
};

static const struct fault_rates plain_rates = {
	.kill = 8,
	.kill_driver = 6,
	.pause = 8,
	.leave = 5,
	.cut_domain = 8,
	.cut_instance = 6,
	.store_outage = 8,
	.late_calls = 10,
	.restart_worker = 8,
	.list_worker = 15,
	.start_instance = 30,
	.reconnect_domain = 25,
	.reconnect_instance = 25,
	.late_percent = 6,
	.long_runs = 300,
};

static bool happens(struct fsim *s, unsigned per_mille)
{
	return rng_below(&s->rng, 1000) < per_mille;
}

static unsigned vary_rate(struct fsim *s, unsigned per_mille)
{
	if (happens(s, 500))
		return 0;
	return happens(s, 400) ? 4 * per_mille : per_mille;
}

static void vary_all_rates(struct fsim *s, struct fault_rates *rates)
{
	*rates = plain_rates;
	rates->is_mixed = true;
	rates->kill = vary_rate(s, rates->kill);
	rates->kill_driver = vary_rate(s, rates->kill_driver);
	rates->pause = vary_rate(s, rates->pause);
	rates->leave = vary_rate(s, rates->leave);
	rates->cut_domain = vary_rate(s, rates->cut_domain);
	rates->cut_instance = vary_rate(s, rates->cut_instance);
	rates->store_outage = vary_rate(s, rates->store_outage);
	rates->late_calls = vary_rate(s, rates->late_calls);
	rates->restart_worker = vary_rate(s, rates->restart_worker);
	rates->list_worker = vary_rate(s, rates->list_worker);
	rates->pause_driver = vary_rate(s, 10);
	rates->cut_worker = vary_rate(s, 15);
	rates->lose_answers = vary_rate(s, 15);
	rates->reconnect_worker = 30;
	rates->change_config = vary_rate(s, 20) + 10;
	rates->silence = vary_rate(s, 8);
	rates->silence_one = vary_rate(s, 8);
	rates->deafen = vary_rate(s, 8);
	rates->be_busy = vary_rate(s, 6);
	rates->delay_replies = vary_rate(s, 6);
	rates->cut_watches = vary_rate(s, 10);
	rates->end_store_fault = happens(s, 500) ? 20 : 80;
	rates->late_percent = happens(s, 500) ? 6 : 30;
	rates->long_runs = happens(s, 500) ? 300 : 800;
	rates->callers_leave_early = happens(s, 500);
	rates->reconnect_domain = happens(s, 500) ? 25 : 100;
	rates->reconnect_instance = happens(s, 500) ? 25 : 100;
}

static int random_instance(struct fsim *s)
{
	return (int)rng_below(&s->rng, s->n_instances);
}

static int64_t random_pause_ms(struct fsim *s)
{
	return 200 + (int64_t)rng_below(&s->rng, 3000);
}

static void pause_instance(struct fsim *s, const struct fault_rates *rates,
			   int instance, int64_t ms)
{
	/*
	 * A shorter pause doesn't replace a longer one: events that are
	 * delayed until the end of the longer one would arrive too late.
	 */
	if (rates->is_mixed &&
	    s->instances[instance].paused_until > s->now + ms)
		return;
	fsim_pause(s, instance, ms);
}

static void end_store_faults(struct fsim *s)
{
	int k;

	s->store.silent = s->store.deaf = s->store.busy = false;
	s->store.late_reply_percent = 0;
	for (k = 0; k < s->n_instances; k++)
		if (s->instances[k].store)
			s->instances[k].store->silent = false;
}

static bool store_takes_changes(const struct fsim *s)
{
	return !s->store.down && !s->store.silent && !s->store.busy;
}

/* Troubles of the store between changes of the configuration. */
static void inject_store_faults(struct fsim *s, const struct fault_rates *rates)
{
	struct fsim_instance *i = &s->instances[random_instance(s)];

	if (happens(s, rates->silence))
		s->store.silent = true;
	if (happens(s, rates->silence_one) && i->fleet)
		i->store->silent = true;
	if (happens(s, rates->deafen))
		s->store.deaf = true;
	if (happens(s, rates->be_busy))
		s->store.busy = true;
	if (happens(s, rates->delay_replies))
		s->store.late_reply_percent = LATE_REPLY_PERCENT;
	if (happens(s, rates->cut_watches))
		fake_store_cut_watches(&s->store);
	if (happens(s, rates->end_store_fault))
		end_store_faults(s);
	if (happens(s, rates->change_config) && store_takes_changes(s) &&
	    s->n_configs + 1 < FSIM_CONFIGS)
		fsim_put_config(s);
}

static void change_evacuations(struct fsim *s, const struct fault_rates *rates)
{
	int domain = (int)rng_below(&s->rng, FSIM_DOMAINS);

	if (!store_takes_changes(s))
		return;
	if (happens(s, rates->evacuate))
		fsim_put_evacuation(s, domain);
	if (happens(s, rates->end_evacuation))
		fsim_end_evacuation(s, domain);
}

/* Each ends its process, and another starts, some time after its report. */
static void drain_workers(struct fsim *s, const struct fault_rates *rates)
{
	int k = (int)rng_below(&s->rng, FSIM_WORKERS);
	int64_t since;

	if (happens(s, rates->drain_worker) && store_takes_changes(s))
		fsim_drain_worker(s, k);
	for (k = 0; k < FSIM_WORKERS; k++) {
		since = s->workers[k].drains_since;
		if (since && s->now - since > DRAINED_FOR_MS)
			fsim_restart_worker(s, k);
	}
}

/* Plain runs lack these faults, so that their old seeds stay reproducible. */
static void inject_mixed_faults(struct fsim *s, const struct fault_rates *rates)
{
	int k;

	if (happens(s, rates->pause_driver) && fsim_find_driver(s) >= 0)
		pause_instance(s, rates, fsim_find_driver(s),
			       random_pause_ms(s));
	k = (int)rng_below(&s->rng, FSIM_WORKERS);
	if (happens(s, rates->cut_worker))
		s->workers[k].cut = true;
	k = (int)rng_below(&s->rng, FSIM_WORKERS);
	if (happens(s, rates->lose_answers))
		s->workers[k].loses_answers = true;
	for (k = 0; k < FSIM_WORKERS; k++) {
		if (!happens(s, rates->reconnect_worker))
			continue;
		s->workers[k].cut = false;
		s->workers[k].loses_answers = false;
	}
	inject_store_faults(s, rates);
	if (s->evacuates)
		change_evacuations(s, rates);
	if (rates->drain_worker)
		drain_workers(s, rates);
}

static void inject_faults(struct fsim *s, const struct fault_rates *rates)
{
	int64_t ms;
	bool listed;
	int k;

	if (happens(s, rates->kill))
		fsim_kill(s, random_instance(s));
	if (happens(s, rates->kill_driver) && fsim_find_driver(s) >= 0)
		fsim_kill(s, fsim_find_driver(s));
	if (happens(s, rates->pause)) {
		ms = random_pause_ms(s);
		pause_instance(s, rates, random_instance(s), ms);
	}
	if (happens(s, rates->leave))
		fsim_leave(s, random_instance(s));
	if (happens(s, rates->cut_domain))
		fsim_cut_domain(s, (int)rng_below(&s->rng, FSIM_DOMAINS), true);
	if (happens(s, rates->cut_instance))
		fsim_cut_instance(s, random_instance(s), true);
	if (happens(s, rates->store_outage))
		s->store.down = !s->store.down;
	if (happens(s, rates->late_calls))
		s->late_percent = s->late_percent ? 0 : rates->late_percent;
	if (happens(s, rates->restart_worker))
		fsim_restart_worker(s, (int)rng_below(&s->rng, FSIM_WORKERS));
	if (happens(s, rates->list_worker)) {
		listed = happens(s, 600);
		fsim_set_listed(s, (int)rng_below(&s->rng, FSIM_WORKERS),
				listed);
	}
	for (k = 0; k < s->n_instances; k++)
		if (happens(s, rates->start_instance))
			fsim_start(s, k);
	for (k = 0; k < FSIM_DOMAINS; k++)
		if (happens(s, rates->reconnect_domain))
			fsim_cut_domain(s, k, false);
	for (k = 0; k < s->n_instances; k++)
		if (happens(s, rates->reconnect_instance))
			fsim_cut_instance(s, k, false);
	if (rates->is_mixed)
		inject_mixed_faults(s, rates);
	k = rates->crash_worker ? (int)rng_below(&s->rng, FSIM_WORKERS) : -1;
	if (k >= 0 && s->workers[k].up && happens(s, rates->crash_worker))
		fsim_crash_worker(s, k);
}

static void repair_all(struct fsim *s)
{
	int k;

	s->store.down = false;
	end_store_faults(s);
	s->late_percent = 0;
	for (k = 0; k < FSIM_DOMAINS; k++) {
		fsim_cut_domain(s, k, false);
		fsim_end_evacuation(s, k);
	}
	for (k = 0; k < FSIM_WORKERS; k++) {
		fsim_set_listed(s, k, true);
		s->workers[k].cut = false;
		s->workers[k].loses_answers = false;
	}
	for (k = 0; k < s->n_instances; k++) {
		const char *why;

		fsim_cut_instance(s, k, false);
		if (s->instances[k].fleet &&
		    !cells_is_ready(s->instances[k].cells, &why) &&
		    s->instances[k].paused_until <= s->now)
			fsim_kill(s, k); /* the instance is leaving */
		fsim_start(s, k);
	}
}

static void maybe_submit_job(struct fsim *s, const struct fault_rates *rates)
{
	uint32_t run_ms = happens(s, rates->long_runs) ? 900 : 80;
	uint32_t n_tasks;

	if (rates->crashing && happens(s, rates->crashing) &&
	    s->n_jobs + PROBE_JOBS < FSIM_JOBS) {
		n_tasks = 1 + (uint32_t)rng_below(&s->rng, 4);
		fsim_submit_crashing(s, (int)rng_below(&s->rng, FSIM_DOMAINS),
				     n_tasks);
	}
	if (s->n_jobs + PROBE_JOBS < FSIM_JOBS && happens(s, 350)) {
		n_tasks = 1 + (uint32_t)rng_below(&s->rng, 4);
		fsim_submit(s, (int)rng_below(&s->rng, FSIM_DOMAINS), n_tasks,
			    run_ms);
	}
}

/* The job's first request is open for some time, or was answered lately. */
static bool may_come_again(const struct fsim *s, const struct fsim_job *j)
{
	if (j != &s->jobs[j->first] || j->is_crashing ||
	    j->n_again == AGAIN_MAX || s->now < j->last_sent_at + AGAIN_MS)
		return false;
	if (!j->answered)
		return j->home >= 0;
	return j->outcome == FLEET_COMPLETED &&
	       s->now < j->ended_at + AGAIN_AFTER_MS;
}

static void submit_again(struct fsim *s)
{
	size_t k, at = (size_t)rng_below(&s->rng, s->n_jobs);
	int instance = fsim_pick_live(s);

	if (instance < 0 || s->n_jobs + PROBE_JOBS >= FSIM_JOBS)
		return;
	for (k = 0; k < s->n_jobs; k++, at = (at + 1) % s->n_jobs) {
		if (!may_come_again(s, &s->jobs[at]))
			continue;
		fsim_submit_again(s, at, instance);
		return;
	}
}

static void submit_overlapping(struct fsim *s)
{
	uint32_t n_tasks = 1 + (uint32_t)rng_below(&s->rng, 2);
	uint32_t run_ms = LONG_RUN_MS +
			  (uint32_t)rng_below(&s->rng, LONG_RUN_MS);
	int domain = (int)rng_below(&s->rng, FSIM_DOMAINS);
	uint32_t usual_ms = s->deadline_ms;

	if (s->n_jobs + PROBE_JOBS >= FSIM_JOBS)
		return;
	s->deadline_ms = LONG_DEADLINE_MS;
	fsim_submit(s, domain, n_tasks, run_ms);
	s->deadline_ms = usual_ms;
}

/* Runs without these callers keep their old seeds. */
static void move_callers(struct fsim *s, const struct fault_rates *rates)
{
	if (happens(s, rates->overlapping_runs))
		submit_overlapping(s);
	if (s->n_jobs && happens(s, rates->again))
		submit_again(s);
}

static bool check_jobs_are_served(struct fsim *s, char *message, size_t size)
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

static struct fsim *new_fleet(uint64_t seed, enum fsim_mode mode)
{
	if (mode == FSIM_EVACUATING || mode == FSIM_DIVIDED_EVACUATING)
		return fsim_new_evacuating(seed,
					   mode == FSIM_DIVIDED_EVACUATING);
	if (mode == FSIM_DIVIDED || mode == FSIM_DIVIDED_CRASHING ||
	    mode == FSIM_DIVIDED_DRAINING ||
	    (mode >= FSIM_DIVIDED_REBORN && mode < FSIM_DRAINING))
		return fsim_new_divided(seed);
	return fsim_new(seed);
}

static bool has_failed_check(const struct fsim *s)
{
	return s->n_double_runs || s->n_false_refusals || s->n_late_configs ||
	       s->n_over_budget || s->n_false_failures ||
	       s->n_late_evacuations || s->n_late_drains;
}

bool fsim_run_random(uint64_t seed, int64_t ms, enum fsim_mode mode,
		     char *message, size_t size)
{
	struct fsim *s = new_fleet(seed, mode);
	int64_t until = s->now + ms;
	struct fault_rates rates = plain_rates;
	bool ok;

	if (mode != FSIM_PLAIN)
		vary_all_rates(s, &rates);
	if (s->evacuates) {
		rates.evacuate = 10;
		rates.end_evacuation = 20;
	} else if (mode >= FSIM_DRAINING) {
		rates.drain_worker = 20;
	} else if (mode >= FSIM_CRASHING) {
		rates.crashing = 30;
		rates.crash_worker = vary_rate(s, 8);
	}
	if (mode >= FSIM_REBORN && mode < FSIM_DRAINING) {
		fsim_keep_names(s);
		rates.restart_worker = 4 * plain_rates.restart_worker;
	}
	s->callers_leave_early = rates.callers_leave_early;
	s->callers_move = s->divided && mode != FSIM_DIVIDED_REBORN_STAYING;
	rates.again = 200;
	rates.overlapping_runs = 40;
	while (s->now < until) {
		inject_faults(s, &rates);
		maybe_submit_job(s, &rates);
		if (s->callers_move)
			move_callers(s, &rates);
		fsim_run(s, STEP_MS);
	}
	repair_all(s);
	log_info("healed", LOG_I("now", s->now));
	fsim_run(s, QUIET_MS);
	ok = !has_failed_check(s);
	snprintf(message, size, "%s", s->message);
	if (ok)
		ok = check_jobs_are_served(s, message, size);
	fsim_free(s);
	return ok;
}
