/*
 * Tests of a whole fleet under one fault at a time: the outcomes of the
 * callers' jobs and the time to them.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_state.h"
#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/alloc.h"
#include "util/cleanup.h"
#include "util/log.h"

enum { SEED = 11, DOMAINS = FSIM_DOMAINS };

static struct fsim *start_fleet(void)
{
	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	return fsim_new(SEED);
}

/* Submits a job in each domain; returns how many complete in time. */
static size_t complete_jobs_in_all_domains(struct fsim *s, int64_t within_ms)
{
	size_t before = fsim_count_outcomes(s, FLEET_COMPLETED);
	int k;

	for (k = 0; k < DOMAINS; k++)
		fsim_submit(s, k, 2, 80);
	fsim_run(s, within_ms);
	return fsim_count_outcomes(s, FLEET_COMPLETED) - before;
}

static void check_and_free(struct fsim *s)
{
	CU_ASSERT_EQUAL(s->n_double_runs, 0);
	CU_ASSERT_EQUAL(s->n_false_refusals, 0);
	fsim_free(s);
}

static void healthy_fleet_completes_jobs_at_once(void)
{
	struct fsim *s = start_fleet();

	CU_ASSERT(fsim_find_driver(s) >= 0);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 120), DOMAINS);
	check_and_free(s);
}

/*
 * Half a second covers 350 ms without heartbeat, the change of the map and the
 * first lists of the workers.
 */
static void killed_driver_is_replaced_within_half_a_second(void)
{
	struct fsim *s = start_fleet();

	fsim_kill(s, fsim_find_driver(s));
	fsim_run(s, 500);
	CU_ASSERT(fsim_find_driver(s) >= 0);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 200), DOMAINS);
	check_and_free(s);
}

static void killed_driver_is_replaced_without_the_store(void)
{
	struct fsim *s = start_fleet();

	s->store.down = true;
	fsim_kill(s, fsim_find_driver(s));
	fsim_run(s, 800);
	CU_ASSERT(fsim_find_driver(s) >= 0);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 200), DOMAINS);
	check_and_free(s);
}

static void check_map_after_silence(int64_t before_ms, int64_t silence_ms)
{
	struct fsim *s = start_fleet();
	int k;

	fsim_run(s, before_ms);
	s->store.silent = true;
	fsim_run(s, silence_ms);
	s->store.silent = false;
	fsim_run(s, 1100);
	for (k = 0; k < s->n_instances; k++)
		CU_ASSERT(!s->instances[k].fleet->store_unreachable);
	fsim_kill(s, 2);
	fsim_start(s, 2);
	fsim_run(s, 1000);
	for (k = 0; k < s->n_instances; k++)
		CU_ASSERT(fleet_map_find(&s->instances[k].fleet->map,
					 s->instances[2].instance.id) != NULL);
	check_and_free(s);
}

static void silence_that_swallows_watches_delays_no_map(void)
{
	int64_t before_ms;

	for (before_ms = 1000; before_ms <= 9000; before_ms += 2000) {
		check_map_after_silence(before_ms, 1900);
		check_map_after_silence(before_ms, 7000);
	}
}

/* Whether the driver knows that the worker is leaving. */
static bool knows_leaving(const struct fsim *s, int worker)
{
	const struct fleet *f = s->instances[fsim_find_driver(s)].fleet;
	size_t i;

	for (i = 0; i < f->n_workers; i++)
		if (!strcmp(f->workers[i].name, s->workers[worker].info.name))
			return f->workers[i].leaving;
	return false;
}

/* The list says so just after a read; the read after that one is lost. */
static void lost_list_hides_a_leaving_worker_for_less_than_two_seconds(void)
{
	struct fsim *s = start_fleet();
	const struct fleet *f = s->instances[fsim_find_driver(s)].fleet;

	while (f->workers_read_in_flight || f->next_workers_read_at < s->now)
		fsim_run(s, 1);
	while (!f->workers_read_in_flight)
		fsim_run(s, 1);
	fsim_run(s, 6);
	s->workers[4].info.leaving = true;
	s->lose_lists = 1;
	fsim_run(s, 1900);
	CU_ASSERT(knows_leaving(s, 4));
	check_and_free(s);
}

/* Active runs go on under the next driver and are not started again. */
static void leaving_driver_hands_over_active_runs(void)
{
	struct fsim *s = start_fleet();
	int old = fsim_find_driver(s), k;

	for (k = 0; k < DOMAINS; k++)
		fsim_submit(s, k, 2, 900);
	fsim_run(s, 100);
	fsim_leave(s, old);
	fsim_run(s, 950);
	CU_ASSERT_NOT_EQUAL(fsim_find_driver(s), old);
	CU_ASSERT_EQUAL(fsim_count_outcomes(s, FLEET_COMPLETED), DOMAINS);
	check_and_free(s);
}

static void store_outage_changes_nothing(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_find_driver(s);

	s->store.down = true;
	fsim_run(s, 6000);
	CU_ASSERT_EQUAL(fsim_find_driver(s), driver);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 120), DOMAINS);
	check_and_free(s);
}

/*
 * Checks that all callers are served while `domain` is cut off and after it:
 * both sides of the cut serve their own callers.
 */
static void check_service_during_cut(struct fsim *s, int domain)
{
	fsim_cut_domain(s, domain, true);
	fsim_run(s, 1200);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 300), DOMAINS);
	fsim_cut_domain(s, domain, false);
	fsim_run(s, 1500);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 300), DOMAINS);
}

static void cut_off_domain_serves_its_callers(void)
{
	struct fsim *s = start_fleet();

	check_service_during_cut(
		s, (s->instances[fsim_find_driver(s)].domain + 1) % DOMAINS);
	check_and_free(s);
}

static void callers_are_served_while_domain_of_driver_is_cut_off(void)
{
	struct fsim *s = start_fleet();

	check_service_during_cut(s, s->instances[fsim_find_driver(s)].domain);
	check_and_free(s);
}

/*
 * The driver removes cut-off instances from the map before it is killed. Then
 * the map has no live member, and the instances must join it again without
 * a driver (seed 5353).
 */
static void removed_members_elect_a_driver(void)
{
	struct fsim *s = start_fleet();
	int domain = s->instances[fsim_find_driver(s)].domain, drivers = 0, k;

	for (k = 0; k < DOMAINS; k++)
		fsim_cut_domain(s, k, true);
	fsim_run(s, 6000);
	for (k = domain; k < FSIM_INSTANCES; k += DOMAINS)
		fsim_kill(s, k);
	for (k = 0; k < DOMAINS; k++)
		fsim_cut_domain(s, k, false);
	fsim_run(s, 4000);
	for (k = 0; k < FSIM_INSTANCES; k++)
		if (s->instances[k].fleet)
			drivers += fleet_is_driver(s->instances[k].fleet);
	CU_ASSERT_EQUAL(drivers, 1);
	check_and_free(s);
}

/* Each domain has two instances, so the other one takes over as its driver. */
static void cut_off_domain_is_served_when_its_driver_leaves(void)
{
	struct fsim *s = start_fleet();
	int domain = (s->instances[fsim_find_driver(s)].domain + 1) % DOMAINS;
	int k;

	fsim_cut_domain(s, domain, true);
	fsim_run(s, 1200);
	for (k = domain; k < FSIM_INSTANCES; k += DOMAINS)
		if (fleet_is_driver(s->instances[k].fleet))
			break;
	CU_ASSERT(k < FSIM_INSTANCES);
	fsim_leave(s, k);
	fsim_run(s, 1300);
	fsim_kill(s, k);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 300), DOMAINS);
	check_and_free(s);
}

/*
 * A leaving driver in a cut-off domain kept driving beside its successor
 * (hunt-93bf-7 of reskassa-nord).
 */
static void driver_that_leaves_a_cut_off_domain_stops_driving(void)
{
	struct fsim *s = start_fleet();
	int old = fsim_find_driver(s), domain = s->instances[old].domain, k;

	/* The old driver must not learn of the next one from the map. */
	s->store.down = true;
	fsim_cut_domain(s, domain, true);
	fsim_run(s, 900);
	fsim_leave(s, old);
	fsim_run(s, 500);
	CU_ASSERT_FALSE(fleet_is_driver(s->instances[old].fleet));
	for (k = 0; k < 40; k++) {
		fsim_submit(s, domain, 2, 400);
		fsim_run(s, 100);
	}
	fsim_run(s, 4000);
	CU_ASSERT_FALSE(fleet_is_driver(s->instances[old].fleet));
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 900), DOMAINS);
	check_and_free(s);
}

/*
 * An instance without its peers must not elect itself as the driver of a
 * cut-off domain: it still reaches workers of other domains, so its domain is
 * not cut off, and the driver still reaches all workers.
 */
static void instance_that_lost_its_peers_drives_nothing(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_find_driver(s);
	int lost = (driver + 1) % FSIM_INSTANCES;
	const char *why;

	fsim_cut_instance(s, lost, true);
	fsim_run(s, 6000);
	CU_ASSERT_EQUAL(fsim_find_driver(s), driver);
	CU_ASSERT_FALSE(fleet_is_driver(s->instances[lost].fleet));
	CU_ASSERT_FALSE(fleet_is_ready(s->instances[lost].fleet, &why));
	fsim_cut_instance(s, lost, false);
	fsim_run(s, 1000);
	CU_ASSERT(fleet_is_ready(s->instances[lost].fleet, &why));
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 200), DOMAINS);
	check_and_free(s);
}

static void resumed_driver_gives_way_to_its_successor(void)
{
	struct fsim *s = start_fleet();
	int old = fsim_find_driver(s), k;

	for (k = 0; k < DOMAINS; k++)
		fsim_submit(s, k, 2, 400);
	fsim_run(s, 20);
	fsim_pause(s, old, 2500);
	fsim_run(s, 3500);
	CU_ASSERT_NOT_EQUAL(fsim_find_driver(s), old);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 300), DOMAINS);
	check_and_free(s);
}

static size_t count_runs_of(const struct fsim *s, const struct fsim_job *j)
{
	size_t i, k, n = 0;

	for (i = 0; i < FSIM_WORKERS; i++)
		for (k = 0; k < s->workers[i].n_runs; k++)
			n += !strcmp(s->workers[i].runs[k].task.job, j->id);
	return n;
}

/*
 * The cancellation is sent again once the link is up, long before the home
 * times out at the driver.
 */
static void job_cancelled_during_a_cut_is_stopped(void)
{
	struct fsim *s = start_fleet();
	struct fsim_job *j = &s->jobs[0];
	int domain = (s->instances[fsim_find_driver(s)].domain + 1) % DOMAINS;

	fsim_submit(s, domain, 2, 900);
	fsim_run(s, 60);
	CU_ASSERT_EQUAL(count_runs_of(s, j), 2);
	fsim_cut_instance(s, j->home, true);
	fsim_run(s, 20);
	fleet_cancel(s->instances[j->home].fleet, s->now, 1);
	j->answered = true;
	fsim_run(s, 60);
	fsim_cut_instance(s, j->home, false);
	fsim_run(s, 400);
	CU_ASSERT_EQUAL(count_runs_of(s, j), 0);
	check_and_free(s);
}

static void job_taken_without_a_link_is_submitted_with_it(void)
{
	struct fsim *s = start_fleet();
	int domain = (s->instances[fsim_find_driver(s)].domain + 1) % DOMAINS;
	int k;

	for (k = 0; k < FSIM_INSTANCES; k++)
		if (s->instances[k].domain == domain)
			fsim_cut_instance(s, k, true);
	fsim_run(s, 20);
	fsim_submit(s, domain, 2, 80);
	fsim_run(s, 20);
	for (k = 0; k < FSIM_INSTANCES; k++)
		fsim_cut_instance(s, k, false);
	fsim_run(s, 400);
	CU_ASSERT_EQUAL(fsim_count_outcomes(s, FLEET_COMPLETED), 1);
	check_and_free(s);
}

/* The driver was late for less time than its peers tolerate. */
static void job_that_reaches_a_late_driver_is_not_lost(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_find_driver(s);
	int domain = (s->instances[driver].domain + 1) % DOMAINS;

	/* For 10 s, a new driver may not know all workers that have runs. */
	fsim_run(s, 10000);
	fsim_pause(s, driver, 250);
	fsim_run(s, 200);
	fsim_submit(s, domain, 2, 80);
	fsim_run(s, 400);
	CU_ASSERT_EQUAL(fsim_find_driver(s), driver);
	CU_ASSERT_EQUAL(fsim_count_outcomes(s, FLEET_COMPLETED), 1);
	check_and_free(s);
}

static void restart_all(struct fsim *s)
{
	int k;

	for (k = 0; k < FSIM_INSTANCES; k++)
		fsim_kill(s, k);
	for (k = 0; k < FSIM_INSTANCES; k++)
		fsim_start(s, k);
	fsim_run(s, 3000);
}

static void weak_machine_drives_only_if_no_stronger_one_is_up(void)
{
	enum { WEAK = FSIM_INSTANCES - 2 };
	struct fsim *s = start_fleet();
	int k, n;

	for (k = 0; k < FSIM_INSTANCES; k++)
		s->instances[k].capacity = k < WEAK ? 1200 : 5000;
	restart_all(s);
	fsim_run(s, 2000); /* the first in the map may yield */
	for (n = 0; n < 4; n++) {
		CU_ASSERT(fsim_find_driver(s) >= WEAK);
		/* The weak instances have the least uptime. */
		for (k = 0; k < WEAK; k++) {
			fsim_kill(s, k);
			fsim_start(s, k);
		}
		fsim_run(s, 2500);
		k = fsim_find_driver(s);
		fsim_kill(s, k);
		fsim_run(s, 1000);
		CU_ASSERT(fsim_find_driver(s) >= WEAK);
		fsim_start(s, k);
		fsim_run(s, 2000);
	}
	for (k = WEAK; k < FSIM_INSTANCES; k++)
		fsim_kill(s, k);
	fsim_run(s, 1000);
	k = fsim_find_driver(s);
	CU_ASSERT(k >= 0 && k < WEAK);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 200), DOMAINS);
	check_and_free(s);
}

/* It links to its peers while these have no driver. */
static void instance_that_starts_without_a_driver_gets_the_list(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_find_driver(s);
	int started = (driver + 1) % FSIM_INSTANCES;

	fsim_kill(s, started);
	fsim_run(s, 1000);
	fsim_kill(s, driver);
	fsim_start(s, started);
	fsim_run(s, 900);
	CU_ASSERT(fsim_find_driver(s) >= 0);
	CU_ASSERT(s->instances[started].fleet->workers_known);
	check_and_free(s);
}

static void weak_driver_yields_to_a_strong_instance_that_returns(void)
{
	struct fsim *s = start_fleet();
	int k;

	for (k = 0; k < FSIM_INSTANCES; k++)
		s->instances[k].capacity = 1200;
	s->instances[0].capacity = 5000;
	restart_all(s);
	CU_ASSERT_EQUAL(fsim_find_driver(s), 0);
	fsim_kill(s, 0);
	fsim_run(s, 1000);
	CU_ASSERT(fsim_find_driver(s) > 0);
	fsim_start(s, 0);
	fsim_run(s, 2000);
	CU_ASSERT(fsim_find_driver(s) > 0);
	for (k = 0; k < DOMAINS; k++)
		fsim_submit(s, k, 2, 900);
	fsim_run(s, 1500);
	CU_ASSERT_EQUAL(fsim_find_driver(s), 0);
	fsim_run(s, 600);
	CU_ASSERT_EQUAL(fsim_count_outcomes(s, FLEET_COMPLETED), DOMAINS);
	check_and_free(s);
}

/* All other instances were late at once, as after a burst that hit them all. */
static void late_instances_do_not_replace_a_healthy_driver(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_find_driver(s);
	int k, n;

	for (n = 0; n < 5; n++) {
		for (k = 0; k < FSIM_INSTANCES; k++)
			if (k != driver)
				fsim_pause(s, k, 400 + 20 * n);
		fsim_run(s, 1000);
		CU_ASSERT_EQUAL(fsim_find_driver(s), driver);
	}
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 200), DOMAINS);
	check_and_free(s);
}

enum { LOAD_TASKS = 2, LOAD_RUN_MS = 20, LOAD_STEP_MS = 10 };

/* Submits `per_s` jobs a second for `ms`; returns the number of the first. */
static size_t submit_load(struct fsim *s, unsigned per_s, int64_t ms)
{
	size_t first = s->n_jobs;
	int64_t began_at = s->now;

	while (s->now < began_at + ms) {
		size_t due = (size_t)(s->now - began_at) * per_s / 1000;

		while (s->n_jobs - first < due)
			fsim_submit(s, (int)(s->n_jobs % DOMAINS), LOAD_TASKS,
				    LOAD_RUN_MS);
		fsim_run(s, LOAD_STEP_MS);
	}
	return first;
}

/* How many of 100 jobs from `first` on completed within `limit_ms`. */
static size_t percent_completed(const struct fsim *s, size_t first, size_t end,
				int64_t limit_ms)
{
	size_t i, n = 0;

	for (i = first; i < end; i++)
		n += s->jobs[i].answered &&
		     s->jobs[i].outcome == FLEET_COMPLETED &&
		     s->jobs[i].ended_at - s->jobs[i].began_at <= limit_ms;
	return n * 100 / (end - first);
}

/*
 * The driver carries about 110 of these jobs a second. It gets 60, then 400 for
 * three seconds, then 60 again. The workers have capacity for all. In the
 * overload, half of what the driver carries must be served.
 */
static void service_returns_when_an_overload_ends(void)
{
	struct fsim *s = start_fleet();
	size_t before, during, after, settled;
	int driver;

	s->event_us = 100;
	s->start_us = 4000;
	s->objective_add_ms = 100;
	before = submit_load(s, 60, 1000);
	fsim_run(s, 150); /* its last jobs end before the overload */
	driver = fsim_find_driver(s);
	during = submit_load(s, 400, 3000);
	after = submit_load(s, 60, 1000);
	settled = submit_load(s, 60, 1000);
	fsim_run(s, 300);
	CU_ASSERT_EQUAL(fsim_find_driver(s), driver);
	CU_ASSERT(percent_completed(s, before, during, 150) >= 99);
	CU_ASSERT(percent_completed(s, during, after, 150) >= 110 * 50 / 400);
	CU_ASSERT(percent_completed(s, settled, s->n_jobs, 150) >= 99);
	check_and_free(s);
}

/* The next driver places tasks by what the last one told it of a worker. */
static void changed_worker_is_sent_to_the_other_instances(void)
{
	struct fsim *s = start_fleet();
	int k, driver = fsim_find_driver(s);

	fsim_run(s, 1000);
	s->workers[3].info.cpu_milli = 8000;
	fsim_run(s, 700);
	for (k = 0; k < FSIM_INSTANCES; k++)
		CU_ASSERT_EQUAL(s->instances[k].fleet->workers[3].cpu_milli,
				8000);
	CU_ASSERT_EQUAL(fsim_find_driver(s), driver);
	check_and_free(s);
}

static void life_of_a_worker_is_sent_to_the_other_instances(void)
{
	enum { COLD_MS = 6000, MARGIN_MS = 1200 };
	struct fsim *s = start_fleet();
	const struct drive_worker *w;
	unsigned long n_lists;
	int k;

	fsim_keep_names(s);
	s->workers[3].cold_until = s->now + COLD_MS;
	fsim_run(s, 700);
	for (k = 0; k < FSIM_INSTANCES; k++) {
		w = &s->instances[k].fleet->workers[3];
		CU_ASSERT_EQUAL(w->born_ms, s->workers[3].info.born_ms);
		CU_ASSERT(w->cold_ms > COLD_MS - MARGIN_MS);
	}
	/* That it is cold for less time is no reason to send the list again. */
	n_lists = s->n_lists;
	CU_ASSERT_NOT_EQUAL(n_lists, 0);
	fsim_run(s, COLD_MS);
	CU_ASSERT_EQUAL(s->n_lists, n_lists);
	fsim_restart_worker(s, 3);
	fsim_run(s, 1700);
	CU_ASSERT(s->n_lists > n_lists);
	for (k = 0; k < FSIM_INSTANCES; k++) {
		w = &s->instances[k].fleet->workers[3];
		CU_ASSERT_EQUAL(w->born_ms, s->workers[3].info.born_ms);
	}
	check_and_free(s);
}

/* An earlier version reads no more than the two lists, and sends no more. */
static void lists_of_workers_are_exchanged_with_an_earlier_version(void)
{
	struct fsim *s = start_fleet();
	int other = (fsim_find_driver(s) + 1) % FSIM_INSTANCES;
	struct fleet *f = s->instances[other].fleet;
	auto_free struct drive_worker *listed = NULL;
	auto_free struct drive_worker *unlisted = NULL;
	auto_wire_out struct wire_out sent = {0};
	auto_wire_out struct wire_out old = {0};
	uint32_t n, n_unlisted;
	struct wire_in w;

	f->workers[0].born_ms = 7;
	wire_begin(&sent, SYC_PEER_WORKERS, 4);
	workers_pack_list(&sent, f->workers, f->n_workers);
	workers_pack_list(&sent, f->workers, 1);
	workers_pack_lives(&sent, f->workers, f->n_workers);
	workers_pack_lives(&sent, f->workers, 1);
	wire_open(&w, wire_bytes(&sent));
	listed = workers_unpack_list(&w, &n);
	unlisted = workers_unpack_list(&w, &n_unlisted);
	CU_ASSERT(wire_close(&w));
	CU_ASSERT_EQUAL(n, FSIM_WORKERS);
	CU_ASSERT_EQUAL(n_unlisted, 1);
	CU_ASSERT_STRING_EQUAL(unlisted[0].name, f->workers[0].name);
	CU_ASSERT_STRING_EQUAL(listed[3].name, f->workers[3].name);
	wire_begin(&old, SYC_PEER_WORKERS, 2);
	workers_pack_list(&old, f->workers, f->n_workers);
	workers_pack_list(&old, f->workers, 1);
	CU_ASSERT(workers_receive(f, s->now, wire_bytes(&old)));
	CU_ASSERT_EQUAL(f->n_workers, FSIM_WORKERS);
	CU_ASSERT_EQUAL(f->workers[0].born_ms, 0);
	CU_ASSERT(workers_receive(f, s->now, wire_bytes(&sent)));
	CU_ASSERT_EQUAL(f->workers[0].born_ms, 7);
	check_and_free(s);
}

static void restarted_fleet_elects_a_driver(void)
{
	struct fsim *s = start_fleet();
	int k;

	for (k = 0; k < FSIM_INSTANCES; k++)
		fsim_kill(s, k);
	fsim_run(s, 1000);
	for (k = 0; k < FSIM_INSTANCES; k++)
		fsim_start(s, k);
	fsim_run(s, 900);
	CU_ASSERT(fsim_find_driver(s) >= 0);
	CU_ASSERT_EQUAL(complete_jobs_in_all_domains(s, 200), DOMAINS);
	check_and_free(s);
}

static void count_crashes_across_drivers(bool keep_names)
{
	struct fsim *s = fsim_new(SEED);
	const struct fsim_job *j = &s->jobs[0];
	int driver, i;

	if (keep_names)
		fsim_keep_names(s);
	fsim_submit_crashing(s, 0, 2);
	for (i = 0; i < 8; i++) {
		fsim_run(s, 1300);
		driver = fsim_find_driver(s);
		if (driver < 0)
			continue;
		fsim_kill(s, driver);
		fsim_run(s, 300);
		fsim_start(s, driver);
	}
	CU_ASSERT(j->answered);
	CU_ASSERT_EQUAL(j->outcome, FLEET_FAILED);
	CU_ASSERT(j->crashes[0] <= 3);
	CU_ASSERT_EQUAL(s->n_over_budget, 0);
	CU_ASSERT_EQUAL(s->n_false_failures, 0);
	fsim_free(s);
}

static void crashes_are_counted_across_drivers(void)
{
	count_crashes_across_drivers(false);
}

static void crashes_of_workers_that_keep_their_ids_are_counted(void)
{
	count_crashes_across_drivers(true);
}

static void crashes_are_counted_across_a_full_stop(void)
{
	struct fsim *s = fsim_new(SEED);
	const struct fsim_job *j = &s->jobs[0];
	int i, k;

	fsim_submit_crashing(s, 0, 2);
	for (i = 0; i < 6; i++) {
		fsim_run(s, 1700);
		for (k = 0; k < s->n_instances; k++)
			fsim_kill(s, k);
		for (k = 0; k < s->n_instances; k++)
			fsim_start(s, k);
	}
	fsim_run(s, 12000);
	CU_ASSERT(j->answered);
	CU_ASSERT(j->crashes[0] <= 4);
	CU_ASSERT_EQUAL(s->n_over_budget, 0);
	CU_ASSERT_EQUAL(s->n_false_failures, 0);
	fsim_free(s);
}

SUITE(fleet)
{
	TEST(healthy_fleet_completes_jobs_at_once);
	TEST(killed_driver_is_replaced_within_half_a_second);
	TEST(silence_that_swallows_watches_delays_no_map);
	TEST(lost_list_hides_a_leaving_worker_for_less_than_two_seconds);
	TEST(killed_driver_is_replaced_without_the_store);
	TEST(leaving_driver_hands_over_active_runs);
	TEST(store_outage_changes_nothing);
	TEST(cut_off_domain_serves_its_callers);
	TEST(callers_are_served_while_domain_of_driver_is_cut_off);
	TEST(removed_members_elect_a_driver);
	TEST(cut_off_domain_is_served_when_its_driver_leaves);
	TEST(driver_that_leaves_a_cut_off_domain_stops_driving);
	TEST(instance_that_lost_its_peers_drives_nothing);
	TEST(resumed_driver_gives_way_to_its_successor);
	TEST(job_cancelled_during_a_cut_is_stopped);
	TEST(job_taken_without_a_link_is_submitted_with_it);
	TEST(job_that_reaches_a_late_driver_is_not_lost);
	TEST(weak_machine_drives_only_if_no_stronger_one_is_up);
	TEST(instance_that_starts_without_a_driver_gets_the_list);
	TEST(weak_driver_yields_to_a_strong_instance_that_returns);
	TEST(late_instances_do_not_replace_a_healthy_driver);
	TEST(service_returns_when_an_overload_ends);
	TEST(changed_worker_is_sent_to_the_other_instances);
	TEST(life_of_a_worker_is_sent_to_the_other_instances);
	TEST(lists_of_workers_are_exchanged_with_an_earlier_version);
	TEST(restarted_fleet_elects_a_driver);
	TEST(crashes_are_counted_across_drivers);
	TEST(crashes_of_workers_that_keep_their_ids_are_counted);
	TEST(crashes_are_counted_across_a_full_stop);
}
