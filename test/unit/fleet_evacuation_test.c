/*
 * Tests that no task is started in a failure domain that the operator has
 * evacuated, from the bound on until the request is removed, whatever fails.
 */
#include <stdlib.h>

#include "drive_fake.h"
#include "fleet/cell_choice.h"
#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum { SEED = 17, BOUND_MS = FSIM_CONFIG_APPLY_MS, STEP_MS = 50, RUN_MS = 80 };

static struct fsim *start_fleet(bool divided)
{
	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	return fsim_new_evacuating(SEED, divided);
}

static void check_and_free(struct fsim *s)
{
	CU_ASSERT_EQUAL(s->n_late_evacuations, 0);
	CU_ASSERT_EQUAL(s->n_double_runs, 0);
	CU_ASSERT_EQUAL(s->n_false_refusals, 0);
	if (*s->message)
		puts(s->message);
	fsim_free(s);
}

/* Runs with jobs from callers of all domains. */
static void run_loaded(struct fsim *s, int64_t ms)
{
	int64_t until = s->now + ms;
	int k;

	while (s->now < until) {
		for (k = 0; k < FSIM_DOMAINS; k++)
			fsim_submit(s, k, 2, RUN_MS);
		fsim_run(s, STEP_MS);
	}
}

/* Whether a task began in the domain in the last `ms`. */
static bool has_starts(const struct fsim *s, int domain, int64_t ms)
{
	int k;

	for (k = 0; k < FSIM_WORKERS; k++)
		if (s->workers[k].domain == domain &&
		    s->now - s->workers[k].last_start_at < ms)
			return true;
	return false;
}

static size_t count_unserved(const struct fsim *s, size_t first)
{
	size_t i, n = 0;

	for (i = first; i < s->n_jobs; i++)
		n += s->jobs[i].answered &&
		     s->jobs[i].outcome != FLEET_COMPLETED;
	return n;
}

static void check_calm(bool divided)
{
	struct fsim *s = start_fleet(divided);
	size_t first;

	run_loaded(s, 500);
	CU_ASSERT(has_starts(s, 0, 200));
	first = s->n_jobs;
	fsim_put_evacuation(s, 0);
	run_loaded(s, 1000);
	CU_ASSERT_FALSE(has_starts(s, 0, 950));
	CU_ASSERT(has_starts(s, 1, 200));
	fsim_end_evacuation(s, 0);
	run_loaded(s, 500);
	CU_ASSERT(has_starts(s, 0, 400));
	CU_ASSERT_EQUAL(count_unserved(s, first), 0);
	check_and_free(s);
}

static void request_is_honoured_at_once_and_others_serve(void)
{
	check_calm(false);
	check_calm(true);
}

/* Jobs that the driver of the domain's cell has refused. */
static uint64_t count_refused(const struct fsim *s, int domain)
{
	struct drive_counts c;
	struct fleet *own;
	uint64_t n = 0;
	int k;

	for (k = domain; k < s->n_instances; k += FSIM_DOMAINS) {
		own = cells_own(s->instances[k].cells);
		drive_get_counts(fleet_get_drive(own), &c);
		n += fleet_is_driver(own) ? c.refused : 0;
	}
	return n;
}

static void homes_leave_an_evacuated_cell_out_at_once(void)
{
	struct fsim *s = start_fleet(true);
	uint64_t refused;

	run_loaded(s, 500);
	fsim_put_evacuation(s, 0);
	/* A watch, and a tick of each instance. */
	fsim_run(s, 20);
	refused = count_refused(s, 0);
	run_loaded(s, 1000);
	CU_ASSERT_EQUAL(count_refused(s, 0), refused);
	check_and_free(s);
}

static void several_domains_and_a_request_that_comes_again(void)
{
	struct fsim *s = start_fleet(false);

	fsim_put_evacuation(s, 0);
	fsim_put_evacuation(s, 2);
	run_loaded(s, 1000);
	CU_ASSERT(!has_starts(s, 0, 900) && !has_starts(s, 2, 900));
	CU_ASSERT(has_starts(s, 1, 200));
	fsim_end_evacuation(s, 0);
	run_loaded(s, 300);
	CU_ASSERT(has_starts(s, 0, 200) && !has_starts(s, 2, 300));
	fsim_put_evacuation(s, 0);
	run_loaded(s, 1000);
	CU_ASSERT(!has_starts(s, 0, 900) && !has_starts(s, 2, 1000));
	check_and_free(s);
}

static void all_domains_evacuated_start_nothing(void)
{
	struct fsim *s = start_fleet(true);
	int k;

	for (k = 0; k < FSIM_DOMAINS; k++)
		fsim_put_evacuation(s, k);
	run_loaded(s, 1500);
	for (k = 0; k < FSIM_DOMAINS; k++)
		CU_ASSERT_FALSE(has_starts(s, k, 1000));
	for (k = 0; k < FSIM_DOMAINS; k++)
		fsim_end_evacuation(s, k);
	run_loaded(s, 500);
	CU_ASSERT(has_starts(s, 0, 200));
	check_and_free(s);
}

static void new_driver_honours_it(void)
{
	struct fsim *s = start_fleet(false);
	int k, driver;

	run_loaded(s, 300);
	fsim_put_evacuation(s, 1);
	for (k = 0; k < 4; k++) {
		run_loaded(s, 20);
		driver = fsim_find_driver(s);
		fsim_kill(s, driver);
		run_loaded(s, 1500);
		fsim_start(s, driver);
		CU_ASSERT_FALSE(has_starts(s, 1, 1450));
		CU_ASSERT(has_starts(s, 0, 200));
	}
	check_and_free(s);
}

static void check_silence(bool divided, int64_t before_ms, int64_t after_ms)
{
	struct fsim *s = start_fleet(divided);

	run_loaded(s, 500);
	s->store.silent = true;
	run_loaded(s, before_ms);
	fsim_put_evacuation(s, 2);
	run_loaded(s, after_ms);
	s->store.silent = false;
	run_loaded(s, BOUND_MS);
	run_loaded(s, 1000);
	CU_ASSERT_FALSE(has_starts(s, 2, 1000));
	CU_ASSERT(has_starts(s, 0, 200));
	check_and_free(s);
}

static void silence_at_the_request_delays_it_by_no_more_than_the_bound(void)
{
	check_silence(false, 100, 100);
	check_silence(false, 4000, 1500);
	check_silence(false, 0, 12000);
	check_silence(true, 1000, 6000);
}

static void deaf_watches_hide_no_request(void)
{
	struct fsim *s = start_fleet(false);

	s->store.deaf = true;
	fsim_put_evacuation(s, 0);
	run_loaded(s, BOUND_MS);
	run_loaded(s, 500);
	CU_ASSERT_FALSE(has_starts(s, 0, 500));
	s->store.deaf = false;
	fake_store_cut_watches(&s->store); /* as when history is dropped */
	fsim_end_evacuation(s, 0);
	fsim_put_evacuation(s, 1);
	run_loaded(s, BOUND_MS);
	CU_ASSERT(has_starts(s, 0, 200) && !has_starts(s, 1, 200));
	check_and_free(s);
}

static void instance_that_the_store_ignores_learns_from_its_peers(void)
{
	struct fsim *s = start_fleet(false);
	int driver = fsim_find_driver(s);

	s->instances[driver].store->silent = true;
	run_loaded(s, 500);
	fsim_put_evacuation(s, 0);
	run_loaded(s, BOUND_MS);
	CU_ASSERT_FALSE(has_starts(s, 0, 1000));
	fsim_end_evacuation(s, 0);
	run_loaded(s, BOUND_MS);
	CU_ASSERT(has_starts(s, 0, 200));
	check_and_free(s);
}

static void cut_off_domain_honours_it(void)
{
	struct fsim *s = start_fleet(false);

	fsim_cut_domain(s, 1, true);
	run_loaded(s, 2000);
	CU_ASSERT(has_starts(s, 1, 200)); /* it drives itself */
	fsim_put_evacuation(s, 1);
	run_loaded(s, BOUND_MS);
	run_loaded(s, 500);
	CU_ASSERT_FALSE(has_starts(s, 1, 500));
	fsim_cut_domain(s, 1, false);
	run_loaded(s, 3000);
	CU_ASSERT_FALSE(has_starts(s, 1, 3000));
	check_and_free(s);
}

static bool is_known_at(const struct fsim *s, int instance)
{
	struct fleet_evacuations e;

	fleet_get_evacuations(s->instances[instance].fleet, &e);
	return e.is_known && e.domains.n == 1;
}

static void new_instance_learns_it_without_the_store(void)
{
	struct fsim *s = start_fleet(false);
	int k, driver = fsim_find_driver(s);

	fsim_put_evacuation(s, 1);
	run_loaded(s, 500);
	s->store.down = true;
	k = driver ? 0 : 1;
	fsim_kill(s, k);
	fsim_start(s, k);
	CU_ASSERT_FALSE(is_known_at(s, k));
	run_loaded(s, 1000);
	CU_ASSERT(is_known_at(s, k));
	for (driver = 0; driver < s->n_instances; driver++)
		if (driver != k)
			fsim_kill(s, driver);
	run_loaded(s, 3000);
	CU_ASSERT_FALSE(has_starts(s, 1, 3000));
	check_and_free(s);
}

static void nothing_is_started_until_it_is_known(void)
{
	struct fsim *s = start_fleet(false);
	int k;

	fsim_put_evacuation(s, 1);
	run_loaded(s, 300);
	for (k = 0; k < s->n_instances; k++)
		fsim_kill(s, k);
	fsim_run(s, 200);
	s->store.silent = true;
	for (k = 0; k < s->n_instances; k++)
		fsim_start(s, k);
	run_loaded(s, 3000);
	for (k = 0; k < FSIM_DOMAINS; k++)
		CU_ASSERT_FALSE(has_starts(s, k, 3000));
	s->store.silent = false;
	run_loaded(s, 4000);
	CU_ASSERT(has_starts(s, 0, 200) && !has_starts(s, 1, 4000));
	check_and_free(s);
}

/* The index rises with each read, which is no reason for more watches. */
static void rising_index_causes_no_further_calls(void)
{
	struct fsim *s = start_fleet(false), *without;
	uint64_t reads, reads_without;

	without = fsim_new(SEED);
	fsim_run(s, 5000);
	fsim_run(without, 5000);
	reads = s->store.reads;
	reads_without = without->store.reads;
	fsim_run(s, 10000);
	fsim_run(without, 10000);
	reads = s->store.reads - reads;
	reads_without = without->store.reads - reads_without;
	/* Two reads a second, and a watch of each of the watchers in 10 s. */
	CU_ASSERT(reads - reads_without <= 20 + 2 * 4 + 2);
	fsim_free(without);
	check_and_free(s);
}

/* The damaged copies come besides the whole ones. */
static void damaged_heartbeats_stop_no_process(void)
{
	struct fsim *s = start_fleet(false);
	int k;

	fsim_put_evacuation(s, 0);
	for (k = 0; k < s->n_instances; k++) {
		s->damaged = k;
		run_loaded(s, 500);
		CU_ASSERT_PTR_NOT_NULL(s->instances[k].fleet);
	}
	fsim_free(s);
}

/* Drive alone: domain d0 has the first of two workers. */

static void evacuate(struct drive_fake *f, size_t n, const char *name)
{
	struct drive_domains domains = {.n = n};

	snprintf(domains.names[0], SYC_NAME_MAX, "%s", name);
	drive_set_evacuated(f->drive, f->now, &domains);
}

static void ends_on_evacuated_workers_are_no_capacity(void)
{
	struct drive_job job = drive_fake_job("first", 4);
	struct drive_fake f;

	drive_fake_init(&f, 2); /* capacity for four tasks */
	drive_fake_submit(&f, 1, &job);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	evacuate(&f, 1, "d0");
	job = drive_fake_job("fits", 2);
	drive_fake_submit(&f, 2, &job);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	job = drive_fake_job("too-wide", 3);
	drive_fake_submit(&f, 3, &job);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_STRING_EQUAL(f.jobs_done[0].reason, "no_room_in_time");
	drive_fake_free(&f);
}

static void job_for_evacuated_workers_alone_is_refused_with_a_time(void)
{
	struct drive_job job = drive_fake_job("a", 1);
	struct drive_fake f;

	drive_fake_init(&f, 1);
	evacuate(&f, 1, "d0");
	drive_fake_submit(&f, 1, &job);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_STRING_EQUAL(f.jobs_done[0].reason, "evacuated");
	CU_ASSERT(f.jobs_done[0].retry_after_ms > 0);
	drive_fake_free(&f);
}

static void job_waits_until_it_is_known_what_is_evacuated(void)
{
	struct drive_job job = drive_fake_job("a", 1);
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_set_evacuated(f.drive, f.now, NULL);
	drive_fake_submit(&f, 1, &job);
	CU_ASSERT(!f.n_starts && !f.n_jobs_done);
	evacuate(&f, 0, "");
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

static void cell_without_capacity_is_left_for_one_with_some(void)
{
	struct rng rng = {1};
	struct cell_view v[2] = {
		{true, false, true, 0, 0},
		{true, false, false, 100, 4},
	};

	CU_ASSERT_EQUAL(cell_choose(v, 2, 8, &rng), 1);
	CU_ASSERT_EQUAL(cell_choose(v, 2, 0, &rng), 1);
	v[1].cpu_milli = v[1].free_cpu_milli = 0;
	CU_ASSERT_EQUAL(cell_choose(v, 2, 8, &rng), 0);
}

SUITE(fleet_evacuation)
{
	TEST(request_is_honoured_at_once_and_others_serve);
	TEST(homes_leave_an_evacuated_cell_out_at_once);
	TEST(several_domains_and_a_request_that_comes_again);
	TEST(all_domains_evacuated_start_nothing);
	TEST(new_driver_honours_it);
	TEST(silence_at_the_request_delays_it_by_no_more_than_the_bound);
	TEST(deaf_watches_hide_no_request);
	TEST(instance_that_the_store_ignores_learns_from_its_peers);
	TEST(cut_off_domain_honours_it);
	TEST(new_instance_learns_it_without_the_store);
	TEST(nothing_is_started_until_it_is_known);
	TEST(rising_index_causes_no_further_calls);
	TEST(damaged_heartbeats_stop_no_process);
	TEST(ends_on_evacuated_workers_are_no_capacity);
	TEST(job_for_evacuated_workers_alone_is_refused_with_a_time);
	TEST(job_waits_until_it_is_known_what_is_evacuated);
	TEST(cell_without_capacity_is_left_for_one_with_some);
}
