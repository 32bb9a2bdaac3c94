/*
 * Tests of the driver: which jobs begin and which are refused, and when a task
 * may be started again.
 */
#include <stdio.h>
#include <string.h>

#include "drive_fake.h"
#include "unit.h"

static void submit(struct drive_fake *f, uint64_t tag, const char *id,
		   uint32_t n, uint32_t priority)
{
	struct drive_job j = drive_fake_job(id, n);

	j.priority = priority;
	drive_fake_submit(f, tag, &j);
}

static struct drive_active_run active_run_of(const struct fake_call *c)
{
	return (struct drive_active_run){.task = c->task, .run = c->run};
}

/* A driver that has just begun does not know yet that there is no worker. */
static void job_waits_for_the_first_list(void)
{
	struct drive_worker worker = {.name = "w0",
				      .service = "s",
				      .domain = "d0",
				      .cpu_milli = 16000,
				      .memory_mb = 65536};
	struct drive_fake f;

	drive_fake_init_without_list(&f);
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_set_workers(f.drive, f.now, &worker, 1);
	drive_fake_advance(&f, 10, false);
	drive_fake_answer_all_holds(&f);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

static void job_is_refused_if_no_worker_is_listed(void)
{
	struct drive_fake f;

	drive_fake_init_without_list(&f);
	drive_set_workers(f.drive, f.now, NULL, 0);
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_REFUSED);
	drive_fake_free(&f);
}

static void first_queued_job_begins_partially(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2); /* capacity for four tasks */
	submit(&f, 1, "a", 3, 0);
	CU_ASSERT_EQUAL(f.n_starts, 3);
	submit(&f, 2, "b", 2, 0);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_starts, 5);
	CU_ASSERT_STRING_EQUAL(f.starts[3].task.job, "b");
	CU_ASSERT_STRING_EQUAL(f.starts[4].task.job, "b");
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_fake_free(&f);
}

/*
 * Half a worker is free. A task of the first queued job needs a whole worker,
 * and the second queued job waits until both of its tasks fit.
 */
static void later_job_begins_completely_or_not_at_all(void)
{
	struct drive_job wide = drive_fake_job("wide", 2);
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 3, 0);
	wide.cpu_milli = 16000;
	drive_fake_submit(&f, 2, &wide);
	submit(&f, 3, "behind", 2, 0);
	CU_ASSERT_EQUAL(f.n_starts, 3);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_starts, 5);
	CU_ASSERT_STRING_EQUAL(f.starts[3].task.job, "behind");
	CU_ASSERT_STRING_EQUAL(f.starts[4].task.job, "behind");
	drive_fake_free(&f);
}

static void lower_priority_does_not_overtake_a_waiting_job(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 4, 1);
	submit(&f, 2, "small", 1, 1);
	submit(&f, 3, "urgent", 2, 0);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_starts, 5);
	CU_ASSERT_STRING_EQUAL(f.starts[4].task.job, "urgent");
	drive_fake_end_run(&f, 1, 2, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_starts, 6);
	CU_ASSERT_STRING_EQUAL(f.starts[5].task.job, "urgent");
	drive_fake_free(&f);
}

static void job_with_most_tasks_of_a_priority_begins_first(void)
{
	struct drive_fake f;
	size_t i;

	drive_fake_init(&f, 2);
	submit(&f, 1, "all", 4, 0);
	submit(&f, 2, "narrow", 2, 0);
	submit(&f, 3, "wide", 3, 0);
	for (i = 0; i < 4; i++) {
		drive_fake_end_run(&f, i, i + 1, DRIVE_RUN_DONE);
		drive_fake_advance(&f, 10, false);
		CU_ASSERT_EQUAL(f.n_starts, 5 + i);
		CU_ASSERT_STRING_EQUAL(f.starts[4 + i].task.job,
				       i < 3 ? "wide" : "narrow");
	}
	drive_fake_free(&f);
}

static void job_without_capacity_in_time_is_refused_at_once(void)
{
	struct drive_fake f;
	struct drive_job j = drive_fake_job("long", 2);

	drive_fake_init(&f, 1);
	j.estimate_ms = 2000;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	submit(&f, 2, "late", 1, 0);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].tag, 2);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_REFUSED);
	CU_ASSERT(f.jobs_done[0].retry_after_ms > 0);
	drive_fake_free(&f);
}

/*
 * They arrived in one millisecond, so none precedes another by its times. Ten
 * rounds of 100 ms begin up to the latest start after 900 ms.
 */
static void jobs_that_arrive_together_are_refused_at_once(void)
{
	struct drive_fake f;
	char id[16];
	int i;

	drive_fake_init(&f, 2); /* capacity for four tasks */
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		submit(&f, (uint64_t)i + 1, id, 2, 0);
	}
	CU_ASSERT_EQUAL(f.n_starts, 4);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	submit(&f, 21, "late", 2, 0);
	submit(&f, 22, "narrow", 1, 0);
	CU_ASSERT_EQUAL(f.n_jobs_done, 2);
	CU_ASSERT_EQUAL(f.jobs_done[0].tag, 21);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_REFUSED);
	CU_ASSERT_EQUAL(f.jobs_done[1].tag, 22);
	drive_fake_free(&f);
}

static void job_larger_than_any_worker_is_refused_without_retry(void)
{
	struct drive_fake f;
	struct drive_job j = drive_fake_job("huge", 1);

	drive_fake_init(&f, 2);
	j.cpu_milli = 17000;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_REFUSED);
	CU_ASSERT_EQUAL(f.jobs_done[0].retry_after_ms, 0);
	drive_fake_free(&f);
}

static void tasks_start_in_the_domain_of_their_home(void)
{
	struct drive_job j = drive_fake_job("a", 2);
	struct drive_fake f;

	drive_fake_init(&f, 4); /* domains d0, d1, d0, d1 */
	j.domain = "d1";
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.starts[0].worker % 2, 1);
	CU_ASSERT_EQUAL(f.starts[1].worker % 2, 1);
	drive_fake_free(&f);
}

/* One list under the new fence is enough to start tasks. */
static void new_driver_starts_tasks_after_the_first_list(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_begin(f.drive, f.now, 6);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

/* Jobs that are submitted before the first lists wait for them. */
static void new_driver_refuses_nothing_before_its_first_lists(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_begin(f.drive, f.now, 6);
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

static void job_ends_with_its_last_task(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 9, "a", 2, 0);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_fake_end_run(&f, 1, 2, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_COMPLETED);
	CU_ASSERT_EQUAL(f.jobs_done[0].tag, 9);
	CU_ASSERT_EQUAL(drive_open_jobs(f.drive), 0);
	drive_fake_free(&f);
}

static void failed_task_is_retried_up_to_its_attempts(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_FAILED);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.starts[1].run, f.starts[0].run + 1);
	drive_fake_end_run(&f, 1, 2, DRIVE_RUN_FAILED);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_FAILED);
	drive_fake_free(&f);
}

/* A worker's two places are taken, and a job of `ms` waits for both. */
static void begin_and_wait(struct drive_fake *f, uint32_t ms)
{
	struct drive_job waiting = drive_fake_job("b", 2);

	waiting.estimate_ms = ms;
	waiting.deadline_ms = 60000;
	waiting.objective_percent = 1000;
	drive_fake_init(f, 1);
	submit(f, 1, "a", 2, 0);
	drive_fake_answer_start(f, 0, DRIVE_CALL_DONE);
	drive_fake_answer_start(f, 1, DRIVE_CALL_DONE);
	drive_fake_submit(f, 2, &waiting);
	CU_ASSERT_EQUAL(f->n_starts, 2);
	CU_ASSERT_EQUAL(f->n_jobs_done, 0);
}

static void check_refused(struct drive_fake *f, uint64_t tag)
{
	CU_ASSERT_EQUAL(f->n_jobs_done, 1);
	CU_ASSERT_EQUAL(f->jobs_done[0].tag, tag);
	CU_ASSERT_EQUAL(f->jobs_done[0].outcome, DRIVE_REFUSED);
	CU_ASSERT(f->jobs_done[0].retry_after_ms > 0);
	CU_ASSERT_EQUAL(f->n_starts, 2);
	CU_ASSERT_EQUAL(drive_open_jobs(f->drive), 1);
}

static void waiting_job_that_outlasts_its_home_is_refused_at_once(void)
{
	struct drive_fake f;

	begin_and_wait(&f, 5000);
	drive_end_by(f.drive, f.now, FAKE_HOME, 2, 4000);
	check_refused(&f, 2);
	drive_fake_free(&f);
}

static void waiting_job_is_refused_once_it_would_outlast_its_home(void)
{
	struct drive_fake f;

	begin_and_wait(&f, 500);
	drive_end_by(f.drive, f.now, FAKE_HOME, 2, 600);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_fake_advance(&f, 120, false);
	check_refused(&f, 2);
	drive_fake_free(&f);
}

static void job_that_can_end_before_its_home_is_begun(void)
{
	struct drive_fake f;

	begin_and_wait(&f, 100);
	drive_end_by(f.drive, f.now, FAKE_HOME, 2, 2000);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	drive_fake_end_run(&f, 1, 2, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_COMPLETED);
	drive_fake_free(&f);
}

/* What was begun goes on until its home ends it. */
static void begun_job_is_not_ended_before_its_home(void)
{
	struct drive_fake f;

	begin_and_wait(&f, 5000);
	drive_end_by(f.drive, f.now, FAKE_HOME, 1, 0);
	drive_fake_advance(&f, 50, false);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	CU_ASSERT_EQUAL(f.n_stops, 0);
	drive_fake_free(&f);
}

static void job_of_another_home_is_not_ended(void)
{
	struct drive_job again = drive_fake_job("b", 2);
	struct drive_fake f;

	begin_and_wait(&f, 500);
	drive_end_by(f.drive, f.now, FAKE_HOME, 2, 600);
	drive_submit(f.drive, f.now, FAKE_HOME + 1, 3, &again);
	drive_end_by(f.drive, f.now, FAKE_HOME, 2, 0);
	drive_fake_advance(&f, 300, false);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_fake_free(&f);
}

/* An earlier driver may have runs of it, so it is not known not to have run. */
static void job_that_may_have_runs_is_not_refused(void)
{
	struct drive_job moved = drive_fake_job("m", 1);
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_fake_silence(&f, 0);
	moved.generation = 1;
	moved.may_be_old = true;
	drive_fake_submit(&f, 1, &moved);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_end_by(f.drive, f.now, FAKE_HOME, 1, 0);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_ABORTED);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	drive_fake_free(&f);
}

static void worker_that_fails_twice_in_a_row_is_ejected(void)
{
	struct drive_fake f;
	struct drive_counts c;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 1, 0);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_FAILED);
	drive_fake_end_run(&f, 1, 2, DRIVE_RUN_FAILED);
	submit(&f, 2, "b", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_get_counts(f.drive, &c);
	CU_ASSERT_EQUAL(c.ejections, 1);
	drive_fake_free(&f);
}

/* A list under a higher fence that lacks the run proves it never began. */
static void unanswered_start_is_retried_after_a_raised_fence(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_UNANSWERED);
	drive_fake_advance(&f, 50, false);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	CU_ASSERT(f.holds[f.n_holds - 1].fence > f.starts[0].fence);
	CU_ASSERT_EQUAL(f.holds[f.n_holds - 1].lease_expires_at, 0);
	drive_fake_answer_hold(&f, f.starts[0].worker, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_fake_free(&f);
}

/* The start was carried out, and only its answer was lost. */
static void unanswered_start_that_is_listed_is_kept(void)
{
	struct drive_fake f;
	struct drive_active_run row;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_UNANSWERED);
	row = active_run_of(&f.starts[0]);
	drive_fake_answer_hold(&f, f.starts[0].worker, &row, 1, NULL, 0);
	drive_fake_advance(&f, 50, false);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

/* No call is answered, so only the end of the lease proves the run's end. */
static void unresponsive_worker_keeps_its_tasks_until_the_lease_expires(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	drive_fake_silence(&f, f.starts[0].worker);
	drive_fake_advance(&f, 1000, false);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	/* All open holds are answered late, also the unresponsive worker's. */
	drive_fake_answer_all_holds(&f);
	drive_fake_free(&f);

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	drive_fake_silence(&f, f.starts[0].worker);
	while (f.now < 100000 + 1200) {
		f.now += 10;
		drive_tick(f.drive, f.now);
		if (f.now % 100 == 0)
			drive_fake_answer_hold(&f, 1 - f.starts[0].worker, NULL,
					       0, NULL, 0);
	}
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_NOT_EQUAL(f.starts[1].worker, f.starts[0].worker);
	drive_fake_free(&f);
}

/* Calls to an unresponsive worker must not renew the lease of its runs. */
static void unresponsive_worker_is_called_without_a_lease(void)
{
	struct drive_fake f;
	size_t i;

	drive_fake_init(&f, 1);
	drive_fake_silence(&f, 0);
	i = f.n_holds;
	drive_fake_advance(&f, 100, false);
	CU_ASSERT(f.n_holds > i);
	CU_ASSERT_EQUAL(f.holds[f.n_holds - 1].lease_expires_at, 0);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	drive_fake_advance(&f, FAKE_IDLE_MAX_MS, false);
	CU_ASSERT(f.holds[f.n_holds - 1].lease_expires_at > 0);
	drive_fake_free(&f);
}

static size_t count_holds(struct drive_fake *f, int64_t ms)
{
	size_t before = f->n_holds;

	drive_fake_advance(f, ms, true);
	return f->n_holds - before;
}

/* Five holds a second of each idle worker filled the link of a weak driver. */
static void idle_worker_costs_one_call_a_second(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	CU_ASSERT(count_holds(&f, 10000) <= 2 * 10);
	drive_fake_free(&f);
}

/* The end of its run must be known at once, and its lease be renewed. */
static void idle_worker_that_gets_a_run_is_held_at_once(void)
{
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;
	const struct fake_call *hold;
	int64_t until;

	drive_fake_init(&f, 1);
	drive_fake_advance(&f, 3500, true);
	drive_fake_submit(&f, 1, &j);
	hold = &f.holds[f.n_holds - 1];
	CU_ASSERT_FALSE(hold->answered);
	CU_ASSERT(hold->wait_ms > 0);
	CU_ASSERT(hold->lease_expires_at > 0);
	until = f.now + 900;
	while (f.now < until) {
		drive_fake_advance(&f, 10, true);
		CU_ASSERT(f.holds[f.n_holds - 1].lease_expires_at >
			  f.starts[0].lease_expires_at + f.now - until + 400);
	}
	drive_fake_free(&f);
}

static void new_incarnation_of_a_worker_ends_its_runs(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	drive_fake_fail_hold(&f, f.starts[0].worker,
			     DRIVE_CALL_OTHER_INCARNATION);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_NOT_EQUAL(f.starts[1].worker, f.starts[0].worker);
	drive_fake_free(&f);
}

static void start_refused_as_old_gets_a_higher_run_number(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_OLD_RUN);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT(f.starts[1].run > f.starts[0].run + 1);
	drive_fake_free(&f);
}

static void tasks_of_a_disconnected_caller_are_stopped(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 2, 0);
	drive_cancel(f.drive, f.now, FAKE_HOME, 1);
	CU_ASSERT_EQUAL(f.n_stops, 2);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	CU_ASSERT_EQUAL(drive_open_jobs(f.drive), 0);
	/* A stop in flight is not sent again. */
	drive_fake_advance(&f, 200, false);
	CU_ASSERT_EQUAL(f.n_stops, 2);
	drive_fake_free(&f);
}

static void job_submitted_twice_runs_once(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	submit(&f, 2, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_jobs_done, 2);
	drive_fake_free(&f);
}

/* An earlier driver started the run, and its job is submitted again. */
static void run_of_an_earlier_driver_is_adopted(void)
{
	struct drive_active_run row = {.run = 4, .task = {.job = "a"}};
	struct drive_job j = drive_fake_job("a", 2);
	struct drive_fake f;

	drive_fake_init(&f, 2);
	drive_fake_answer_hold(&f, 0, &row, 1, NULL, 0);
	j.generation = 1;
	drive_fake_submit(&f, 1, &j);
	drive_fake_answer_hold(&f, 0, &row, 1, NULL, 0);
	drive_fake_answer_hold(&f, 1, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	CU_ASSERT_EQUAL(f.starts[0].task.index, 1);
	drive_fake_free(&f);
}

/* The run's size is known from its job: 13 cores are free besides its 3. */
static void adopted_run_uses_the_resources_of_its_job(void)
{
	struct drive_active_run row = {.run = 4, .task = {.job = "a"}};
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_fake_answer_hold(&f, 0, &row, 1, NULL, 0);
	j.generation = 1;
	j.cpu_milli = 3000;
	drive_fake_submit(&f, 1, &j);
	j = drive_fake_job("b", 1);
	j.cpu_milli = 13000;
	drive_fake_submit(&f, 2, &j);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

/* No job claims the run, so its lease is not renewed and it is stopped. */
static void orphan_run_is_stopped_and_not_renewed(void)
{
	struct drive_active_run row = {.run = 4, .task = {.job = "gone"}};
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_fake_answer_hold(&f, 0, &row, 1, NULL, 0);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(f.holds[f.n_holds - 1].lease_expires_at, 0);
	CU_ASSERT_EQUAL(f.n_stops, 0);
	drive_fake_advance(&f, 200, false);
	CU_ASSERT(f.n_stops > 0);
	CU_ASSERT_STRING_EQUAL(f.stops[0].task.job, "gone");
	drive_fake_free(&f);
}

/* A start that the worker receives late adds a second run to a task. */
static void second_run_that_starts_late_is_stopped_at_once(void)
{
	struct drive_active_run row;
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	row = active_run_of(&f.starts[0]);
	row.run += 1;
	drive_fake_answer_hold(&f, 1 - f.starts[0].worker, &row, 1, NULL, 0);
	CU_ASSERT_EQUAL(f.n_stops, 1);
	CU_ASSERT_EQUAL(f.stops[0].run, row.run);
	drive_fake_free(&f);
}

static void job_of_another_driver_waits_for_the_fence_on_all_workers(void)
{
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;

	drive_fake_init(&f, 2);
	drive_fake_fail_hold(&f, 0, DRIVE_CALL_UNANSWERED);
	j.generation = 1;
	drive_fake_submit(&f, 1, &j);
	drive_fake_advance(&f, 100, false);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	drive_fake_free(&f);
}

/* Another driver may have called a worker since its last answer. */
static void job_of_another_driver_waits_for_lists_requested_after_it(void)
{
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;
	size_t before;

	drive_fake_init(&f, 2);
	f.now += 100;
	before = f.n_holds;
	j.generation = 1;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	CU_ASSERT_EQUAL(f.n_holds, before + 2);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	drive_fake_answer_hold(&f, 1, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

/*
 * A worker left the list 11 s ago. Then the domain `reachable_domain` is
 * reachable again, and a job of another driver is submitted.
 */
static size_t count_starts_with_unlisted_worker(const char *reachable_domain)
{
	struct drive_worker unlisted = {.name = "gone", .domain = "apart"};
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;
	size_t n;

	drive_fake_init(&f, 1);
	drive_add_unlisted_workers(f.drive, f.now, &unlisted, 1);
	drive_fake_advance(&f, 11000, true);
	drive_domain_reachable(f.drive, f.now, reachable_domain);
	j.generation = 1;
	drive_fake_submit(&f, 1, &j);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	n = f.n_starts;
	drive_fake_free(&f);
	return n;
}

/*
 * A domain that was cut off may have started runs by its old list on a worker
 * that left this driver's list (seed 9849).
 */
static void job_waits_for_unlisted_workers_of_a_domain_reachable_again(void)
{
	CU_ASSERT_EQUAL(count_starts_with_unlisted_worker("other"), 1);
	CU_ASSERT_EQUAL(count_starts_with_unlisted_worker("apart"), 0);
}

static void nothing_starts_for_an_unreachable_home(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	f.homes_unreachable = true;
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	f.homes_unreachable = false;
	drive_fake_advance(&f, 30, false);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_cancel_home(f.drive, f.now, FAKE_HOME);
	CU_ASSERT_EQUAL(f.n_stops, 1);
	drive_fake_free(&f);
}

static void fence_is_raised_for_one_worker_alone(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	f.raised_epoch = 9;
	drive_fake_fail_hold(&f, 0, DRIVE_CALL_FENCED);
	drive_fake_advance(&f, 50, false);
	CU_ASSERT_EQUAL(f.n_fenced, 1);
	CU_ASSERT(f.holds[f.n_holds - 1].fence >= 9 * DRIVE_FENCES_PER_EPOCH);
	submit(&f, 1, "a", 2, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.starts[0].worker, 1);
	CU_ASSERT(f.starts[0].fence < 6 * DRIVE_FENCES_PER_EPOCH);
	drive_fake_free(&f);
}

static void leaving_worker_gets_no_new_task(void)
{
	struct drive_worker list[1] = {{.name = "w0",
					.service = "s",
					.domain = "d0",
					.cpu_milli = 16000,
					.memory_mb = 1000,
					.leaving = true}};
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_set_workers(f.drive, f.now, list, 1);
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	drive_fake_free(&f);
}

/* A worker that left the list keeps the highest fence of its calls. */
static void fence_is_kept_when_a_worker_is_listed_again(void)
{
	struct drive_worker list[1] = {{.name = "w0",
					.service = "s",
					.domain = "d0",
					.cpu_milli = 16000,
					.memory_mb = 1000}};
	struct drive_fake f;
	uint64_t fence;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_UNANSWERED);
	fence = f.holds[f.n_holds - 1].fence;
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	drive_cancel(f.drive, f.now, FAKE_HOME, 1);
	drive_set_workers(f.drive, f.now, NULL, 0);
	drive_fake_advance(&f, 1000, true);
	drive_set_workers(f.drive, f.now, list, 1);
	drive_fake_advance(&f, 500, true);
	CU_ASSERT(f.holds[f.n_holds - 1].fence >= fence);
	drive_fake_free(&f);
}

/* Lists worker 0 with that capacity. */
static void set_capacity(struct drive_fake *f, uint32_t cpu_milli)
{
	f->workers[0].cpu_milli = cpu_milli;
	drive_set_workers(f->drive, f->now, f->workers, f->n_workers);
}

static void worker_that_shrinks_gets_no_start_beyond_its_capacity(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 2, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	set_capacity(&f, 8000);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	submit(&f, 2, "b", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	set_capacity(&f, 0);
	drive_fake_end_run(&f, 1, 2, DRIVE_RUN_DONE);
	drive_fake_advance(&f, 100, false);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	/* Its runs go on to their end: nothing was stopped. */
	CU_ASSERT_EQUAL(f.n_stops, 0);
	set_capacity(&f, 16000);
	drive_fake_advance(&f, 40, false);
	CU_ASSERT_EQUAL(f.n_starts, 3);
	drive_fake_free(&f);
}

/* The size of an adopted run is not known until its job is submitted again. */
static void worker_with_adopted_runs_that_grows_again_gets_no_start(void)
{
	struct drive_active_run row = {.task.job = "orphan", .run = 1};
	struct drive_fake f;

	drive_fake_init(&f, 1);
	set_capacity(&f, 0);
	drive_fake_answer_hold(&f, 0, &row, 1, NULL, 0);
	set_capacity(&f, 16000);
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	drive_fake_free(&f);
}

/* The list of workers may be older than a change of their capacity. */
static void worker_without_room_is_not_asked_all_the_time(void)
{
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;
	size_t i = 0;
	int step;

	drive_fake_init(&f, 1);
	j.objective_add_ms = 3000;
	drive_fake_submit(&f, 1, &j);
	for (step = 0; step < 100; step++) {
		while (i < f.n_starts)
			drive_fake_answer_start(&f, i++,
						DRIVE_CALL_NO_CAPACITY);
		drive_fake_answer_all_holds(&f);
		drive_fake_advance(&f, 10, false);
	}
	CU_ASSERT(f.n_starts <= 8);
	CU_ASSERT(f.n_starts >= 3);
	drive_fake_free(&f);
}

static void deadline_ends_a_job(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	drive_fake_advance(&f, 3100, false);
	CU_ASSERT(f.n_jobs_done == 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_ABORTED);
	drive_fake_free(&f);
}

static void late_driver_refuses_what_it_would_begin_too_late(void)
{
	struct drive_job quick = drive_fake_job("quick", 1);
	struct drive_job patient = drive_fake_job("patient", 1);
	struct drive_job again = drive_fake_job("again", 1);
	struct drive_fake f;

	drive_fake_init(&f, 2);
	quick.objective_add_ms = 100;
	again.objective_add_ms = 100;
	again.generation = 1;
	f.late_ms = 60;
	drive_fake_submit(&f, 1, &quick);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_REFUSED);
	CU_ASSERT(f.jobs_done[0].retry_after_ms > 0);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	drive_fake_submit(&f, 2, &patient);
	drive_fake_submit(&f, 3, &again);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	f.late_ms = 0;
	drive_fake_submit(&f, 4, &quick);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	drive_fake_free(&f);
}

/* The driver itself was late: no list told it that the tasks stand still. */
static void late_driver_takes_no_task_for_stalled(void)
{
	struct drive_active_run row;
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	row = active_run_of(&f.starts[0]);
	row.percent = 20;
	drive_fake_advance(&f, 20, false);
	drive_fake_answer_hold(&f, f.starts[0].worker, &row, 1, NULL, 0);
	f.now += 400;
	drive_tick(f.drive, f.now);
	CU_ASSERT_EQUAL(f.n_stops, 0);
	row.percent = 60;
	drive_fake_answer_hold(&f, f.starts[0].worker, &row, 1, NULL, 0);
	drive_tick(f.drive, f.now);
	CU_ASSERT_EQUAL(f.n_stops, 0);
	/* Lists that show no progress do tell it. */
	drive_fake_advance(&f, 200, false);
	drive_fake_answer_hold(&f, f.starts[0].worker, &row, 1, NULL, 0);
	drive_fake_advance(&f, 200, false);
	drive_fake_answer_hold(&f, f.starts[0].worker, &row, 1, NULL, 0);
	drive_tick(f.drive, f.now);
	CU_ASSERT_EQUAL(f.n_stops, 1);
	drive_fake_free(&f);
}

/* Worker 0 is cold and in the home's domain; the tasks have little slack. */
static void task_with_little_slack_avoids_a_cold_worker(void)
{
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;

	drive_fake_init(&f, 2);
	f.workers[0].cold_ms = 10000;
	drive_set_workers(f.drive, f.now, f.workers, f.n_workers);
	drive_fake_advance(&f, 20, true);
	j.objective_add_ms = 50;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	CU_ASSERT_EQUAL(f.starts[0].worker, 1);
	j.id = "b";
	j.objective_add_ms = 900;
	drive_fake_submit(&f, 2, &j);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.starts[1].worker, 0);
	drive_fake_free(&f);
}

/* Lists another worker with these sizes, which answers or not. */
static void drive_with_odd_worker(struct drive_fake *f, uint32_t size,
				  bool answers)
{
	struct drive_worker list[2];
	struct drive_counts counts;
	struct drive_room room;
	int i;

	drive_fake_init(f, 1);
	list[0] = list[1] = f->workers[0];
	snprintf(list[1].name, sizeof(list[1].name), "w1\r\n&%%");
	snprintf(list[1].domain, sizeof(list[1].domain), "nowhere");
	list[1].cpu_milli = list[1].memory_mb = list[1].accelerators = size;
	list[1].cold_ms = size;
	for (i = 0; i < 8; i++) {
		list[1].born_ms = i % 3 ? INT64_MAX - i % 3 : 0;
		drive_set_workers(f->drive, f->now, list, 2);
		if (i % 4 == 0)
			submit(f, (uint64_t)i + 1, i ? "b" : "a", 1, 0);
		drive_fake_advance(f, 200, answers);
		drive_fake_answer_hold(f, 0, NULL, 0, NULL, 0);
		drive_get_counts(f->drive, &counts);
		drive_get_room(f->drive, f->now, &room);
	}
}

/*
 * Such an entry may be another writer's. Its sizes are added up, compared and
 * divided, and the other worker gets the tasks.
 */
static void worker_of_any_size_costs_no_other(void)
{
	static const uint32_t sizes[] = {0, 1, UINT32_MAX - 1, UINT32_MAX};
	struct drive_fake f;
	size_t i, k;

	for (i = 0; i < 2 * sizeof(sizes) / sizeof(*sizes); i++) {
		drive_with_odd_worker(&f, sizes[i / 2], i % 2);
		CU_ASSERT(f.n_starts > 0);
		CU_ASSERT_EQUAL(f.starts[0].worker, 0);
		for (k = 0; k < f.n_starts && !(i % 2); k++)
			CU_ASSERT_EQUAL(f.starts[k].worker, 0);
		drive_fake_free(&f);
	}
}

/* Four homes may wait for a job. */
static void running_job_is_not_refused_as_not_run_to_a_fifth_home(void)
{
	struct drive_fake f;
	uint64_t tag;

	drive_fake_init(&f, 2);
	for (tag = 1; tag <= 5; tag++)
		submit(&f, tag, "job", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	CU_ASSERT_EQUAL_FATAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].tag, 5);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_ABORTED);
	drive_fake_free(&f);
}

SUITE(drive)
{
	TEST(running_job_is_not_refused_as_not_run_to_a_fifth_home);
	TEST(worker_of_any_size_costs_no_other);
	TEST(job_waits_for_the_first_list);
	TEST(job_is_refused_if_no_worker_is_listed);
	TEST(first_queued_job_begins_partially);
	TEST(later_job_begins_completely_or_not_at_all);
	TEST(lower_priority_does_not_overtake_a_waiting_job);
	TEST(job_with_most_tasks_of_a_priority_begins_first);
	TEST(job_without_capacity_in_time_is_refused_at_once);
	TEST(jobs_that_arrive_together_are_refused_at_once);
	TEST(job_larger_than_any_worker_is_refused_without_retry);
	TEST(tasks_start_in_the_domain_of_their_home);
	TEST(new_driver_starts_tasks_after_the_first_list);
	TEST(new_driver_refuses_nothing_before_its_first_lists);
	TEST(job_ends_with_its_last_task);
	TEST(failed_task_is_retried_up_to_its_attempts);
	TEST(waiting_job_that_outlasts_its_home_is_refused_at_once);
	TEST(waiting_job_is_refused_once_it_would_outlast_its_home);
	TEST(job_that_can_end_before_its_home_is_begun);
	TEST(begun_job_is_not_ended_before_its_home);
	TEST(job_of_another_home_is_not_ended);
	TEST(job_that_may_have_runs_is_not_refused);
	TEST(worker_that_fails_twice_in_a_row_is_ejected);
	TEST(unanswered_start_is_retried_after_a_raised_fence);
	TEST(unanswered_start_that_is_listed_is_kept);
	TEST(unresponsive_worker_keeps_its_tasks_until_the_lease_expires);
	TEST(unresponsive_worker_is_called_without_a_lease);
	TEST(idle_worker_costs_one_call_a_second);
	TEST(idle_worker_that_gets_a_run_is_held_at_once);
	TEST(new_incarnation_of_a_worker_ends_its_runs);
	TEST(start_refused_as_old_gets_a_higher_run_number);
	TEST(tasks_of_a_disconnected_caller_are_stopped);
	TEST(job_submitted_twice_runs_once);
	TEST(run_of_an_earlier_driver_is_adopted);
	TEST(adopted_run_uses_the_resources_of_its_job);
	TEST(orphan_run_is_stopped_and_not_renewed);
	TEST(second_run_that_starts_late_is_stopped_at_once);
	TEST(job_of_another_driver_waits_for_the_fence_on_all_workers);
	TEST(job_of_another_driver_waits_for_lists_requested_after_it);
	TEST(job_waits_for_unlisted_workers_of_a_domain_reachable_again);
	TEST(nothing_starts_for_an_unreachable_home);
	TEST(fence_is_raised_for_one_worker_alone);
	TEST(leaving_worker_gets_no_new_task);
	TEST(fence_is_kept_when_a_worker_is_listed_again);
	TEST(late_driver_refuses_what_it_would_begin_too_late);
	TEST(late_driver_takes_no_task_for_stalled);
	TEST(worker_that_shrinks_gets_no_start_beyond_its_capacity);
	TEST(worker_with_adopted_runs_that_grows_again_gets_no_start);
	TEST(worker_without_room_is_not_asked_all_the_time);
	TEST(deadline_ends_a_job);
	TEST(task_with_little_slack_avoids_a_cold_worker);
}
