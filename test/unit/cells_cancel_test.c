/*
 * Tests of jobs that a caller cancels by their id, at any instance. A cancel
 * that is acknowledged ends the job wherever it is, and for good.
 */
#include <stdio.h>
#include <stdlib.h>

#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum {
	SEED = 17,
	DOMAINS = FSIM_DOMAINS,
	MEMBERS = 6, /* of a cell, which elects a driver if two are lost */
	CALM_MS = 12000, /* by then unused links to drivers are closed */
	RUN_MS = 20000,
	BEGUN_MS = 500, /* after its submission a job runs */
	DEADLINE_MS = 40000,
	ANSWER_MS = 2000, /* a caller of a cancel waits no longer */
	STOP_MS = 50, /* a stop takes no longer */
	LATE_CANCEL_MS = 900, /* before its instance ends */
	COPY_MS = 3500 /* from the acknowledgement to a late copy */
};

static struct fsim *start(bool divided)
{
	struct fsim *s;

	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	s = divided ? fsim_new_large(SEED, MEMBERS * DOMAINS) : fsim_new(SEED);
	fsim_run(s, CALM_MS);
	s->deadline_ms = DEADLINE_MS;
	return s;
}

static int find_driver(const struct fsim *s, int domain)
{
	return s->divided ? fsim_find_driver_of(s, domain)
			  : fsim_find_driver(s);
}

/*
 * One of the instances of the domain that do not drive. An undivided fleet has
 * few of each domain, so others are taken there.
 */
static int find_other(const struct fsim *s, int domain, int skip)
{
	int driver = find_driver(s, domain);
	int k, step = s->divided ? DOMAINS : 1;

	if (!s->divided)
		skip += 2 * domain;
	for (k = s->divided ? domain : 0; k < s->n_instances; k += step)
		if (k != driver && !skip--)
			return k;
	return -1;
}

static size_t submit(struct fsim *s)
{
	size_t job = fsim_submit_at(s, find_other(s, 0, 0), 2, RUN_MS);

	fsim_run(s, BEGUN_MS);
	CU_ASSERT_EQUAL(fsim_count_runs(s, job), 2);
	return job;
}

/* Callers send a cancel again that is not acknowledged. */
static void cancel_until_acked(struct fsim *s, size_t job, int instance)
{
	const struct fsim_job *j = &s->jobs[job];
	unsigned i, refused;

	for (i = 0; i < 3 && !j->cancel_acked_at; i++) {
		refused = j->cancels_refused;
		fsim_cancel_id(s, job, instance);
		while (!j->cancel_acked_at && j->cancels_refused == refused &&
		       s->now < j->cancel_sent_at + ANSWER_MS)
			fsim_run(s, 1);
	}
	CU_ASSERT(j->cancel_acked_at);
}

/* From 3 s after the acknowledgement on, nothing of the job is there. */
static void check_gone(struct fsim *s, size_t job)
{
	const struct fsim_job *j = &s->jobs[job];
	int64_t gone_by = j->cancel_acked_at + FSIM_CANCEL_MS + STOP_MS;
	int i;

	if (s->now < gone_by)
		fsim_run(s, gone_by - s->now);
	for (i = 0; i < 8; i++) {
		CU_ASSERT_EQUAL(fsim_count_runs(s, job), 0);
		fsim_run(s, 500);
	}
	CU_ASSERT_EQUAL(s->n_cancelled_starts, 0);
	CU_ASSERT_EQUAL(s->n_double_runs, 0);
	CU_ASSERT_EQUAL(s->n_false_refusals, 0);
}

static void check_end(struct fsim *s, size_t job)
{
	check_gone(s, job);
	if (*s->message)
		printf("\n%s\n", s->message);
	fsim_free(s);
}

static bool is_cancelled(const struct fsim *s, size_t job)
{
	return s->jobs[job].answered && s->jobs[job].outcome == FLEET_CANCELLED;
}

static void cancel_at_another_domain(int skip)
{
	struct fsim *s = start(true);
	size_t job = submit(s);

	cancel_until_acked(s, job, find_other(s, 1, skip));
	fsim_run(s, 100);
	CU_ASSERT(is_cancelled(s, job));
	check_end(s, job);
}

static void cancel_at_another_domain_ends_the_job(void)
{
	cancel_at_another_domain(0);
	cancel_at_another_domain(1);
}

static void cancel_at_the_driver_ends_the_job(void)
{
	struct fsim *s = start(true);
	size_t job = submit(s);

	cancel_until_acked(s, job, find_driver(s, 0));
	check_end(s, job);
	s = start(true);
	job = submit(s);
	cancel_until_acked(s, job, find_driver(s, 1));
	check_end(s, job);
	s = start(false);
	job = submit(s);
	cancel_until_acked(s, job, find_driver(s, 0));
	check_end(s, job);
}

/* The driver of the job's cell is lost that long before the cancel. */
static void lose_driver(bool divided, int domain, int64_t before_ms,
			int64_t pause_ms)
{
	struct fsim *s = start(divided);
	size_t job = submit(s);
	int at = find_other(s, domain, 1);

	if (pause_ms)
		fsim_pause(s, find_driver(s, 0), pause_ms);
	else
		fsim_kill(s, find_driver(s, 0));
	fsim_run(s, before_ms);
	cancel_until_acked(s, job, at);
	check_end(s, job);
}

static void cancel_before_the_driver_stands_still(bool divided, int domain)
{
	struct fsim *s = start(divided);
	size_t job = submit(s);
	int driver = find_driver(s, 0);

	fsim_cancel_id(s, job, find_other(s, domain, 1));
	fsim_pause(s, driver, 3500);
	fsim_run(s, ANSWER_MS);
	if (!s->jobs[job].cancel_acked_at)
		cancel_until_acked(s, job, find_other(s, domain, 1));
	check_end(s, job);
}

static void driver_that_stands_still_loses_no_cancel(void)
{
	lose_driver(false, 1, 0, 3500);
	lose_driver(false, 1, 200, 3500);
	lose_driver(true, 0, 0, 3500);
	lose_driver(true, 0, 200, 3500);
	lose_driver(true, 1, 0, 3500);
	lose_driver(true, 1, 200, 3500);
	lose_driver(false, 1, 0, 250);
	cancel_before_the_driver_stands_still(false, 1);
	cancel_before_the_driver_stands_still(true, 0);
	cancel_before_the_driver_stands_still(true, 1);
}

static void driver_that_is_killed_loses_no_cancel(void)
{
	lose_driver(false, 1, 0, 0);
	lose_driver(false, 1, 200, 0);
	lose_driver(true, 0, 0, 0);
	lose_driver(true, 0, 200, 0);
	lose_driver(true, 1, 0, 0);
	lose_driver(true, 1, 200, 0);
}

/*
 * The driver and the instance that took the cancel are killed after it, so none
 * but the members that the driver told know of it when the home wakes. In the
 * undivided fleet the second one is a member, without which none could drive.
 */
static void next_driver_knows_the_cancel(bool divided)
{
	struct fsim *s = start(divided);
	size_t job = submit(s);
	int at = find_other(s, 1, 0);

	fsim_pause(s, s->jobs[job].home, 4000);
	fsim_run(s, 300);
	cancel_until_acked(s, job, at);
	fsim_run(s, 100);
	fsim_kill(s, find_driver(s, 0));
	if (divided)
		fsim_kill(s, at);
	check_end(s, job);
}

static void next_driver_knows_what_was_cancelled(void)
{
	next_driver_knows_the_cancel(false);
	next_driver_knows_the_cancel(true);
}

static void home_wakes_after_the_cancel(bool divided, int domain)
{
	struct fsim *s = start(divided);
	size_t job = submit(s);

	fsim_pause(s, s->jobs[job].home, 3500);
	fsim_run(s, 1000);
	cancel_until_acked(s, job, find_other(s, domain, 1));
	fsim_run(s, 4000);
	CU_ASSERT(is_cancelled(s, job));
	check_end(s, job);
}

static void home_that_wakes_after_the_cancel_runs_nothing(void)
{
	home_wakes_after_the_cancel(false, 1);
	home_wakes_after_the_cancel(true, 0);
	home_wakes_after_the_cancel(true, 1);
}

static void send_late_copy(bool divided, int domain)
{
	struct fsim *s = start(divided);
	size_t job = submit(s), copy;

	cancel_until_acked(s, job, find_other(s, 0, 1));
	fsim_run(s, COPY_MS);
	copy = fsim_submit_again(s, job, find_other(s, domain, 0));
	check_gone(s, job);
	CU_ASSERT(is_cancelled(s, copy));
	check_end(s, job);
}

static void late_copy_of_a_cancelled_job_runs_nothing(void)
{
	send_late_copy(false, 0);
	send_late_copy(false, 1);
	send_late_copy(true, 0);
	send_late_copy(true, 1);
}

static void cancel_a_job_that_has_ended(bool divided)
{
	struct fsim *s = start(divided);
	size_t job = fsim_submit_at(s, find_other(s, 0, 0), 2, 100);

	fsim_run(s, 1000);
	CU_ASSERT(s->jobs[job].answered);
	CU_ASSERT_EQUAL(s->jobs[job].outcome, FLEET_COMPLETED);
	cancel_until_acked(s, job, find_other(s, 1, 1));
	CU_ASSERT(s->now - s->jobs[job].cancel_sent_at < 100);
	check_end(s, job);
}

static void cancel_of_an_id_that_nobody_has_is_answered_soon(void)
{
	cancel_a_job_that_has_ended(false);
	cancel_a_job_that_has_ended(true);
}

static void other_jobs_run_beside_a_cancelled_one(void)
{
	struct fsim *s = start(true);
	size_t other = fsim_submit_at(s, find_other(s, 0, 0), 2, 3000);
	size_t job = submit(s);

	cancel_until_acked(s, job, find_other(s, 1, 0));
	check_gone(s, job);
	CU_ASSERT(s->jobs[other].answered);
	CU_ASSERT_EQUAL(s->jobs[other].outcome, FLEET_COMPLETED);
	fsim_free(s);
}

/* The cell's instances are all killed, and their leases have lapsed. */
static void cell_that_is_gone_holds_up_no_cancel(void)
{
	struct fsim *s = start(true);
	size_t job = submit(s);
	int k;

	for (k = 2; k < s->n_instances; k += DOMAINS)
		fsim_kill(s, k);
	fsim_run(s, 5000);
	cancel_until_acked(s, job, find_other(s, 1, 1));
	CU_ASSERT(s->now - s->jobs[job].cancel_sent_at < 200);
	check_end(s, job);
}

/* No driver can be reached, so the cancel is not acknowledged. */
static void cancel_without_a_driver_is_refused(void)
{
	struct fsim *s = start(false);
	size_t job = submit(s);
	int at = find_other(s, 1, 1);

	fsim_cut_instance(s, at, true);
	fsim_run(s, 10);
	fsim_cancel_id(s, job, at);
	fsim_run(s, ANSWER_MS);
	CU_ASSERT_EQUAL(s->jobs[job].cancel_acked_at, 0);
	CU_ASSERT_EQUAL(s->jobs[job].cancels_refused, 1);
	fsim_free(s);
}

/* An instance keeps no more than that; the oldest is answered at once. */
static void too_many_cancels_drop_the_oldest(void)
{
	enum { KEPT = 1024 };
	struct fsim *s = start(false);
	size_t job = submit(s);
	int i, at = find_other(s, 1, 1);

	fsim_cut_instance(s, at, true);
	fsim_run(s, 10);
	log_level_set(LOG_ERROR);
	for (i = 0; i <= KEPT; i++)
		fsim_cancel_id(s, job, at);
	CU_ASSERT_EQUAL(s->jobs[job].cancels_refused, 1);
	fsim_run(s, ANSWER_MS);
	CU_ASSERT_EQUAL(s->jobs[job].cancels_refused, KEPT + 1);
	fsim_free(s);
}

/*
 * Guards against a planned stop that leaves a DELETE without an answer: its
 * instance ends before it would have given up on a driver that is silent.
 */
static void stopping_instance_answers_its_cancels(void)
{
	struct fsim *s = start(false);
	size_t job = submit(s);
	int home = find_other(s, 1, 0);

	fsim_stop(s, home);
	fsim_run(s, FSIM_STOP_MS - LATE_CANCEL_MS);
	fsim_cut_instance(s, home, true);
	fsim_cancel_id(s, job, home);
	fsim_run(s, LATE_CANCEL_MS - FSIM_ANSWERS_MS / 2);
	CU_ASSERT_EQUAL(s->jobs[job].cancels_refused, 1);
	CU_ASSERT_EQUAL(s->jobs[job].cancel_acked_at, 0);
	fsim_free(s);
}

SUITE(cells_cancel)
{
	TEST(cancel_at_another_domain_ends_the_job);
	TEST(cancel_at_the_driver_ends_the_job);
	TEST(driver_that_stands_still_loses_no_cancel);
	TEST(driver_that_is_killed_loses_no_cancel);
	TEST(next_driver_knows_what_was_cancelled);
	TEST(home_that_wakes_after_the_cancel_runs_nothing);
	TEST(late_copy_of_a_cancelled_job_runs_nothing);
	TEST(cancel_of_an_id_that_nobody_has_is_answered_soon);
	TEST(other_jobs_run_beside_a_cancelled_one);
	TEST(cell_that_is_gone_holds_up_no_cancel);
	TEST(cancel_without_a_driver_is_refused);
	TEST(too_many_cancels_drop_the_oldest);
	TEST(stopping_instance_answers_its_cancels);
}
