/* Tests of the driver with tasks that crash the workers that start them. */
#include <string.h>

#include "drive_fake.h"
#include "unit.h"

/*
 * Crashes the worker of each start of a task, until the task is not started
 * any more; another worker then runs at its address. Returns the starts.
 */
static unsigned crash_each_worker(struct drive_fake *f, unsigned most)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < f->n_starts && n < most; i++) {
		n++;
		drive_fake_answer_start(f, i, DRIVE_CALL_DONE);
		drive_fake_fail_hold(f, f->starts[i].worker,
				     DRIVE_CALL_NO_LISTENER);
		drive_fake_advance(f, 1500, false);
		drive_fake_restart_worker(f, f->starts[i].worker);
		drive_fake_advance(f, 20, false);
	}
	return n;
}

static void task_that_crashes_its_workers_is_given_up(void)
{
	struct drive_job j = drive_fake_job("crash", 1);
	struct drive_fake f;

	drive_fake_init(&f, 4);
	j.deadline_ms = 60000;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(crash_each_worker(&f, 8), 2);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_FAILED);
	drive_fake_free(&f);
}

/* Crashes the worker of start `i` and waits until its lease has ended. */
static void crash_worker(struct drive_fake *f, size_t i)
{
	drive_fake_answer_start(f, i, DRIVE_CALL_DONE);
	drive_fake_fail_hold(f, f->starts[i].worker, DRIVE_CALL_NO_LISTENER);
	drive_fake_advance(f, 1500, false);
}

static void task_beside_one_that_crashes_workers_is_served(void)
{
	struct drive_job crashing = drive_fake_job("crash", 1);
	struct drive_job harmless = drive_fake_job("harmless", 1);
	struct drive_fake f;
	size_t i;

	drive_fake_init(&f, 4);
	crashing.deadline_ms = harmless.deadline_ms = 60000;
	drive_fake_submit(&f, 1, &harmless);
	drive_fake_submit(&f, 2, &crashing);
	CU_ASSERT_EQUAL(f.starts[0].worker, f.starts[1].worker);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	crash_worker(&f, 1);
	/* One of them is restarted, on a worker of its own. */
	CU_ASSERT_EQUAL(f.n_starts, 3);
	for (i = 2; i < f.n_starts && i < 8; i++) {
		if (!strcmp(f.starts[i].task.job, "harmless")) {
			drive_fake_answer_start(&f, i, DRIVE_CALL_DONE);
			drive_fake_end_run(&f, i, 1, DRIVE_RUN_DONE);
			drive_fake_advance(&f, 100, false);
			continue;
		}
		crash_worker(&f, i);
		drive_fake_restart_worker(&f, f.starts[0].worker);
		drive_fake_restart_worker(&f, f.starts[i].worker);
		drive_fake_advance(&f, 4000, true);
	}
	CU_ASSERT_EQUAL(f.n_starts, 4);
	CU_ASSERT_EQUAL(f.n_jobs_done, 2);
	for (i = 0; i < f.n_jobs_done; i++)
		CU_ASSERT_EQUAL(f.jobs_done[i].outcome,
				f.jobs_done[i].tag == 1 ? DRIVE_COMPLETED
							: DRIVE_FAILED);
	drive_fake_free(&f);
}

static void job_of_a_task_given_up_fails_at_once_when_submitted_again(void)
{
	struct drive_job j = drive_fake_job("crash", 1);
	struct drive_fake f;

	drive_fake_init(&f, 4);
	j.deadline_ms = 60000;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(crash_each_worker(&f, 8), 2);
	drive_fake_submit(&f, 2, &j);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.n_jobs_done, 2);
	CU_ASSERT_EQUAL(f.jobs_done[1].outcome, DRIVE_FAILED);
	drive_fake_free(&f);
}

/* Its lease lapses each time, but the worker has never ended. */
static void task_on_silent_workers_is_not_given_up_as_a_crash(void)
{
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;
	size_t i;

	drive_fake_init(&f, 4);
	j.deadline_ms = 60000;
	drive_fake_submit(&f, 1, &j);
	for (i = 0; i < 6 && i < f.n_starts; i++) {
		crash_worker(&f, i);
		drive_fake_answer_hold(&f, f.starts[i].worker, NULL, 0, NULL,
				       0);
		drive_fake_advance(&f, 100, false);
	}
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	CU_ASSERT(f.n_starts > 6);
	drive_fake_free(&f);
}

static void task_lost_without_explanation_is_started_four_times_at_most(void)
{
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;
	size_t i;

	drive_fake_init(&f, 6);
	j.deadline_ms = 60000;
	drive_fake_submit(&f, 1, &j);
	for (i = 0; i < 8 && i < f.n_starts; i++) {
		crash_worker(&f, i);
		drive_fake_advance(&f, 7000, false);
	}
	CU_ASSERT_EQUAL(f.n_starts, 4);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_ABORTED);
	drive_fake_free(&f);
}

static void route_that_crashes_workers_leaves_room_to_others(void)
{
	struct drive_job j = drive_fake_job("crash0", 1);
	struct drive_fake f;

	drive_fake_init(&f, 4);
	j.id = "before";
	j.route = "other";
	drive_fake_submit(&f, 9, &j);
	drive_cancel(f.drive, f.now, FAKE_HOME, 9);
	j.id = "crash0";
	j.route = "r";
	drive_fake_submit(&f, 1, &j);
	drive_fake_answer_start(&f, 1, DRIVE_CALL_DONE);
	drive_fake_fail_hold(&f, f.starts[1].worker, DRIVE_CALL_NO_LISTENER);
	j.id = "crash1";
	drive_fake_submit(&f, 2, &j);
	drive_fake_answer_start(&f, 2, DRIVE_CALL_DONE);
	drive_fake_fail_hold(&f, f.starts[2].worker, DRIVE_CALL_NO_LISTENER);
	j.id = "crash2";
	drive_fake_submit(&f, 3, &j);
	CU_ASSERT_EQUAL(f.n_starts, 3);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_REFUSED);
	j.id = "other";
	j.route = "other";
	drive_fake_submit(&f, 4, &j);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	drive_fake_free(&f);
}

/* The next driver takes the task for a suspect before a list shows its run. */
static void suspect_that_runs_already_is_not_started_again(void)
{
	struct drive_job j = drive_fake_job("a", 2);
	struct drive_active_run row;
	struct drive_fake f;
	uint32_t index;
	int i;

	drive_fake_init(&f, 4);
	j.deadline_ms = 60000;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.starts[0].worker, f.starts[1].worker);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	crash_worker(&f, 1);
	CU_ASSERT_EQUAL(f.n_starts, 3);
	index = f.starts[2].task.index;
	drive_fake_answer_start(&f, 2, DRIVE_CALL_DONE);
	row = (struct drive_active_run){.task = f.starts[2].task,
					.run = f.starts[2].run};
	drive_end(f.drive, f.now);
	drive_begin(f.drive, f.now, 6);
	drive_set_workers(f.drive, f.now, f.workers, f.n_workers);
	j.generation = 1;
	drive_fake_submit(&f, 1, &j);
	for (i = 0; i < 4; i++)
		if (i != f.starts[0].worker)
			drive_fake_answer_hold(
				&f, i, &row, i == f.starts[2].worker, NULL, 0);
	drive_fake_end_run(&f, 2, 1, DRIVE_RUN_DONE);
	drive_fake_advance(&f, 3000, false);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	CU_ASSERT_NOT_EQUAL(f.starts[3].task.index, index);
	drive_fake_free(&f);
}

SUITE(drive_crash)
{
	TEST(task_that_crashes_its_workers_is_given_up);
	TEST(task_beside_one_that_crashes_workers_is_served);
	TEST(job_of_a_task_given_up_fails_at_once_when_submitted_again);
	TEST(task_on_silent_workers_is_not_given_up_as_a_crash);
	TEST(task_lost_without_explanation_is_started_four_times_at_most);
	TEST(route_that_crashes_workers_leaves_room_to_others);
	TEST(suspect_that_runs_already_is_not_started_again);
}
