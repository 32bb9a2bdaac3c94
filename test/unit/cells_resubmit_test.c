/*
 * Tests of jobs that a caller submits again to an instance of another failure
 * domain, whose workers have another driver: a task runs once at a time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum {
	SEED = 11,
	INSTANCES =
		18, /* six in a cell, which elects a driver if two are lost */
	DOMAINS = FSIM_DOMAINS,
	RESUBMIT_MS = 1300, /* the shortest time until a second request */
	RUN_MS = 6000,
	DEADLINE_MS = 30000,
	END_MS =
		25000, /* by then all is answered, with one run after another */
	SHORT_RUN_MS = 80,
	SHORT_JOB_MS = 120
};

static struct fsim *start_fleet_of(int n_instances)
{
	struct fsim *s;

	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	s = fsim_new_large(SEED, n_instances);
	fsim_run(s, 1500);
	s->deadline_ms = DEADLINE_MS;
	return s;
}

static struct fsim *start_fleet(void)
{
	return start_fleet_of(FSIM_INSTANCES_DIVIDED);
}

/* A member of the domain that does not drive; the last one or the first. */
static int find_other(const struct fsim *s, int domain, bool last)
{
	int driver = fsim_find_driver_of(s, domain);
	int k, found = -1;

	for (k = domain; k < s->n_instances; k += DOMAINS)
		if (k != driver && (last || found < 0))
			found = k;
	return found;
}

static size_t submit_first(struct fsim *s)
{
	return fsim_submit_at(s, find_other(s, 0, false), 2, RUN_MS);
}

static size_t submit_second(struct fsim *s, size_t first, int domain)
{
	return fsim_submit_again(s, first, find_other(s, domain, true));
}

static bool is_completed(const struct fsim *s, size_t job)
{
	return s->jobs[job].answered && s->jobs[job].outcome == FLEET_COMPLETED;
}

/* Runs to the end; all callers that have not left get `completed`. */
static void check_end(struct fsim *s)
{
	size_t i;

	fsim_run(s, END_MS);
	for (i = 0; i < s->n_jobs; i++)
		CU_ASSERT(s->jobs[i].left || is_completed(s, i));
	CU_ASSERT_EQUAL(s->n_double_runs, 0);
	CU_ASSERT_EQUAL(s->n_false_refusals, 0);
	if (*s->message)
		printf("\n%s\n", s->message);
	fsim_free(s);
}

static void second_request_to_another_domain_runs_no_task_twice(void)
{
	struct fsim *s = start_fleet();
	size_t first = submit_first(s);

	fsim_run(s, RESUBMIT_MS);
	submit_second(s, first, 1);
	check_end(s);
}

static void second_request_to_the_same_domain_runs_no_task_twice(void)
{
	struct fsim *s = start_fleet();
	size_t first = submit_first(s);

	fsim_run(s, RESUBMIT_MS);
	submit_second(s, first, 0);
	check_end(s);
}

static void home_that_stood_still_runs_no_task_beside_the_second_request(void)
{
	struct fsim *s = start_fleet();
	size_t first = submit_first(s);

	fsim_run(s, 300);
	fsim_pause(s, s->jobs[first].home, 4000);
	fsim_run(s, RESUBMIT_MS);
	submit_second(s, first, 1);
	check_end(s);
}

static void home_that_was_cut_off_runs_no_task_beside_the_second_request(void)
{
	struct fsim *s = start_fleet();
	size_t first = submit_first(s);
	int home = s->jobs[first].home;

	fsim_run(s, 300);
	fsim_cut_instance(s, home, true);
	fsim_run(s, RESUBMIT_MS);
	submit_second(s, first, 1);
	fsim_run(s, 2000 - RESUBMIT_MS);
	fsim_cut_instance(s, home, false);
	check_end(s);
}

/* The first cell's driver is lost that long after the second request. */
static void lose_first_driver(int64_t after_ms, bool stands_still)
{
	struct fsim *s = start_fleet();
	int driver = fsim_find_driver_of(s, 0);
	size_t first = submit_first(s);

	fsim_run(s, RESUBMIT_MS + (after_ms < 0 ? after_ms : 0));
	if (after_ms >= 0) {
		submit_second(s, first, 1);
		fsim_run(s, after_ms);
	}
	if (stands_still)
		fsim_pause(s, driver, 1500);
	else
		fsim_kill(s, driver);
	if (after_ms < 0) {
		fsim_run(s, -after_ms);
		submit_second(s, first, 1);
	}
	check_end(s);
}

static void driver_killed_before_the_second_request_runs_no_task_twice(void)
{
	lose_first_driver(-50, false);
}

static void driver_killed_after_the_second_request_runs_no_task_twice(void)
{
	lose_first_driver(0, false);
	lose_first_driver(50, false);
}

static void driver_still_before_the_second_request_runs_no_task_twice(void)
{
	lose_first_driver(-50, true);
}

static void driver_still_after_the_second_request_runs_no_task_twice(void)
{
	lose_first_driver(0, true);
	lose_first_driver(50, true);
}

static void killed_driver_that_is_the_home_leaves_no_run_beside_the_second(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_find_driver_of(s, 0);
	size_t first = fsim_submit_at(s, driver, 2, RUN_MS);

	fsim_run(s, 300);
	fsim_kill(s, driver);
	fsim_disconnect(s, first);
	fsim_run(s, RESUBMIT_MS);
	submit_second(s, first, 1);
	check_end(s);
}

/* The leases are renewed for the runs of another job. */
static void run_that_outlives_its_caller_is_not_beside_the_second(void)
{
	struct fsim *s = start_fleet();
	size_t first;
	int k;

	for (k = 0; k < 3; k++)
		fsim_submit_at(s, find_other(s, 0, true), 2, RUN_MS);
	first = submit_first(s);
	fsim_run(s, 300);
	for (k = 0; k < FSIM_WORKERS; k++)
		s->workers[k].loses_stops = true;
	fsim_disconnect(s, first);
	fsim_run(s, RESUBMIT_MS);
	submit_second(s, first, 1);
	fsim_run(s, 2500 - RESUBMIT_MS);
	for (k = 0; k < FSIM_WORKERS; k++)
		s->workers[k].loses_stops = false;
	check_end(s);
}

static void third_request_to_the_third_domain_runs_no_task_twice(void)
{
	struct fsim *s = start_fleet();
	size_t first = submit_first(s);

	fsim_run(s, RESUBMIT_MS);
	submit_second(s, first, 1);
	fsim_run(s, RESUBMIT_MS);
	submit_second(s, first, 2);
	check_end(s);
}

/* The caller of the first request submits it again, to its own domain. */
static void second_request_after_a_full_stop_runs_no_task_twice(void)
{
	struct fsim *s = start_fleet();
	size_t first = submit_first(s);
	int k;

	fsim_run(s, 500);
	for (k = 0; k < s->n_instances; k++)
		fsim_kill(s, k);
	fsim_run(s, 50);
	for (k = 0; k < s->n_instances; k++)
		fsim_start(s, k);
	fsim_run(s, 2 * RESUBMIT_MS);
	CU_ASSERT(s->jobs[first].home >= 0);
	submit_second(s, first, 1);
	check_end(s);
}

/* What other cells are told of the long jobs must not hold up a short one. */
static void short_job_is_not_delayed_beside_long_ones(void)
{
	struct fsim *s = start_fleet();
	size_t job;
	int i, k;

	for (k = 0; k < DOMAINS; k++)
		fsim_submit_at(s, find_other(s, k, false), 2, RUN_MS);
	fsim_run(s, RESUBMIT_MS);
	for (i = 0; i < 12; i++) {
		for (k = 0; k < DOMAINS; k++) {
			job = fsim_submit_at(s, find_other(s, k, i % 2), 2,
					     SHORT_RUN_MS);
			fsim_run(s, SHORT_JOB_MS);
			CU_ASSERT(is_completed(s, job));
		}
	}
	check_end(s);
}

static void lose_answers(struct fsim *s, bool lost)
{
	size_t k;

	for (k = 0; k < FSIM_WORKERS; k++)
		s->workers[k].loses_answers = lost && s->workers[k].n_runs;
}

/*
 * The first cell's driver is killed that long before the second request, to a
 * domain, and the first home stands still.
 */
static void replace_driver(int64_t before_ms, bool answers_are_lost, int domain)
{
	struct fsim *s = start_fleet_of(INSTANCES);
	size_t first = submit_first(s);

	fsim_run(s, RESUBMIT_MS - before_ms);
	lose_answers(s, answers_are_lost);
	fsim_kill(s, fsim_find_driver_of(s, 0));
	fsim_pause(s, s->jobs[first].home, 1500);
	fsim_run(s, before_ms);
	submit_second(s, first, domain);
	fsim_run(s, 1500);
	lose_answers(s, false);
	check_end(s);
}

static void new_driver_runs_no_task_beside_one_that_it_has_not_seen(void)
{
	replace_driver(200, false, 0);
	replace_driver(100, false, 0);
}

static void new_driver_runs_no_task_beside_one_on_a_silent_worker(void)
{
	replace_driver(600, true, 0);
	replace_driver(200, true, 0);
}

static void run_on_a_silent_worker_is_told_of_through_a_takeover(void)
{
	int64_t before_ms;

	for (before_ms = 200; before_ms <= 1200; before_ms += 50)
		replace_driver(before_ms, true, 1);
}

/* A cell that has no driver for long has no runs, so nobody waits for it. */
static void first_requests_are_not_held_for_a_cell_that_is_away(void)
{
	struct fsim *s = start_fleet();
	size_t job;
	int k;

	for (k = 2; k < s->n_instances; k += DOMAINS)
		fsim_kill(s, k);
	fsim_run(s, 3000);
	fsim_kill(s, fsim_find_driver_of(s, 0));
	fsim_run(s, 700);
	for (k = 0; k < 10; k++) {
		job = fsim_submit_at(s, fsim_find_driver_of(s, 0), 2,
				     SHORT_RUN_MS);
		fsim_run(s, SHORT_JOB_MS);
		CU_ASSERT(is_completed(s, job));
	}
	check_end(s);
}

static size_t count_runs(const struct fsim *s, size_t job)
{
	size_t i, k, n = 0;

	for (i = 0; i < FSIM_WORKERS; i++)
		for (k = 0; k < s->workers[i].n_runs; k++)
			n += !strcmp(s->workers[i].runs[k].task.job,
				     s->jobs[job].id);
	return n;
}

/* Both cells have begun the job; within `ms` one of them gives way. */
static void check_one_gives_way(struct fsim *s, size_t first, size_t second,
				int64_t ms)
{
	CU_ASSERT_EQUAL(count_runs(s, first), 4);
	fsim_run(s, ms);
	CU_ASSERT_EQUAL(count_runs(s, first), 2);
	fsim_run(s, END_MS);
	CU_ASSERT(is_completed(s, first) && is_completed(s, second));
	CU_ASSERT_EQUAL(s->n_false_refusals, 0);
	fsim_free(s);
}

static void job_begun_in_two_cells_at_once_goes_on_in_one(void)
{
	struct fsim *s = start_fleet();
	size_t first = submit_first(s), second;

	fsim_run(s, 20);
	second = submit_second(s, first, 1);
	fsim_run(s, 20);
	check_one_gives_way(s, first, second, 400);
}

static void job_begun_on_both_sides_of_a_cut_goes_on_in_one_cell(void)
{
	struct fsim *s = start_fleet();
	size_t first = submit_first(s), second;

	fsim_run(s, 300);
	fsim_cut_domain(s, 0, true);
	fsim_run(s, 2000);
	second = submit_second(s, first, 1);
	fsim_run(s, 1000);
	fsim_cut_domain(s, 0, false);
	CU_ASSERT_EQUAL(s->n_double_runs, 0);
	check_one_gives_way(s, first, second, 600);
}

SUITE(cells_resubmit)
{
	TEST(job_begun_in_two_cells_at_once_goes_on_in_one);
	TEST(job_begun_on_both_sides_of_a_cut_goes_on_in_one_cell);
	TEST(second_request_to_another_domain_runs_no_task_twice);
	TEST(second_request_to_the_same_domain_runs_no_task_twice);
	TEST(home_that_stood_still_runs_no_task_beside_the_second_request);
	TEST(home_that_was_cut_off_runs_no_task_beside_the_second_request);
	TEST(driver_killed_before_the_second_request_runs_no_task_twice);
	TEST(driver_killed_after_the_second_request_runs_no_task_twice);
	TEST(driver_still_before_the_second_request_runs_no_task_twice);
	TEST(driver_still_after_the_second_request_runs_no_task_twice);
	TEST(killed_driver_that_is_the_home_leaves_no_run_beside_the_second);
	TEST(run_that_outlives_its_caller_is_not_beside_the_second);
	TEST(third_request_to_the_third_domain_runs_no_task_twice);
	TEST(second_request_after_a_full_stop_runs_no_task_twice);
	TEST(new_driver_runs_no_task_beside_one_that_it_has_not_seen);
	TEST(new_driver_runs_no_task_beside_one_on_a_silent_worker);
	TEST(run_on_a_silent_worker_is_told_of_through_a_takeover);
	TEST(first_requests_are_not_held_for_a_cell_that_is_away);
	TEST(short_job_is_not_delayed_beside_long_ones);
}
