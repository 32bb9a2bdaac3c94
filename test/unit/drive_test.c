/* The driver: what begins, what is refused, and when a task may run again. */
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

static struct drive_active_run row_of(const struct fake_order *o)
{
	return (struct drive_active_run){.task = o->task, .run = o->run};
}

static void first_in_line_begins_in_part(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2); /* room for four tasks */
	submit(&f, 1, "a", 3, 0);
	CU_ASSERT_EQUAL(f.n_starts, 3);
	submit(&f, 2, "b", 2, 0);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	drive_fake_started(&f, 0, DRIVE_CALL_DONE);
	drive_fake_ended(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_starts, 5);
	CU_ASSERT_STRING_EQUAL(f.starts[3].task.job, "b");
	CU_ASSERT_STRING_EQUAL(f.starts[4].task.job, "b");
	CU_ASSERT_EQUAL(f.n_done, 0);
	drive_fake_free(&f);
}

/* Half a worker is free: not for the first, and too little for the second. */
static void job_behind_begins_whole_or_not_at_all(void)
{
	struct drive_job wide = drive_fake_job("wide", 2);
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 3, 0);
	wide.cpu_milli = 16000;
	drive_fake_submit(&f, 2, &wide);
	submit(&f, 3, "behind", 2, 0);
	CU_ASSERT_EQUAL(f.n_starts, 3);
	drive_fake_ended(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_starts, 5);
	CU_ASSERT_STRING_EQUAL(f.starts[3].task.job, "behind");
	CU_ASSERT_STRING_EQUAL(f.starts[4].task.job, "behind");
	drive_fake_free(&f);
}

static void lower_priority_does_not_pass_a_waiting_job(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 4, 1);
	submit(&f, 2, "small", 1, 1);
	submit(&f, 3, "urgent", 2, 0);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	drive_fake_ended(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_starts, 5);
	CU_ASSERT_STRING_EQUAL(f.starts[4].task.job, "urgent");
	drive_fake_ended(&f, 1, 2, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_starts, 6);
	CU_ASSERT_STRING_EQUAL(f.starts[5].task.job, "urgent");
	drive_fake_free(&f);
}

static void widest_of_one_priority_begins_first(void)
{
	struct drive_fake f;
	size_t i;

	drive_fake_init(&f, 2);
	submit(&f, 1, "all", 4, 0);
	submit(&f, 2, "narrow", 2, 0);
	submit(&f, 3, "wide", 3, 0);
	for (i = 0; i < 4; i++) {
		drive_fake_ended(&f, i, i + 1, DRIVE_RUN_DONE);
		drive_fake_run(&f, 10, false);
		CU_ASSERT_EQUAL(f.n_starts, 5 + i);
		CU_ASSERT_STRING_EQUAL(f.starts[4 + i].task.job,
				       i < 3 ? "wide" : "narrow");
	}
	drive_fake_free(&f);
}

static void job_without_room_in_time_is_refused_at_once(void)
{
	struct drive_fake f;
	struct drive_job j = drive_fake_job("long", 2);

	drive_fake_init(&f, 1);
	j.estimate_ms = 2000;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	submit(&f, 2, "late", 1, 0);
	CU_ASSERT_EQUAL(f.n_done, 1);
	CU_ASSERT_EQUAL(f.done[0].tag, 2);
	CU_ASSERT_EQUAL(f.done[0].outcome, DRIVE_REFUSED);
	CU_ASSERT(f.done[0].retry_after_ms > 0);
	drive_fake_free(&f);
}

static void job_larger_than_any_worker_is_refused_for_good(void)
{
	struct drive_fake f;
	struct drive_job j = drive_fake_job("huge", 1);

	drive_fake_init(&f, 2);
	j.cpu_milli = 17000;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.done[0].outcome, DRIVE_REFUSED);
	CU_ASSERT_EQUAL(f.done[0].retry_after_ms, 0);
	drive_fake_free(&f);
}

static void tasks_begin_in_the_domain_of_their_home(void)
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

/* The first list that proves the fence is enough; no wait for the next. */
static void new_driver_begins_with_the_first_answer(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_begin(f.drive, f.now, 6);
	drive_fake_held(&f, 0, NULL, 0, NULL, 0);
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

/* Jobs that come before the first lists wait for them. */
static void new_driver_refuses_nothing_before_its_first_lists(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_begin(f.drive, f.now, 6);
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_done, 0);
	drive_fake_held(&f, 0, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

static void job_ends_with_its_last_task(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 9, "a", 2, 0);
	drive_fake_ended(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_done, 0);
	drive_fake_ended(&f, 1, 2, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_done, 1);
	CU_ASSERT_EQUAL(f.done[0].outcome, DRIVE_COMPLETED);
	CU_ASSERT_EQUAL(f.done[0].tag, 9);
	CU_ASSERT_EQUAL(drive_open_jobs(f.drive), 0);
	drive_fake_free(&f);
}

static void failed_task_is_tried_as_often_as_it_may(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_ended(&f, 0, 1, DRIVE_RUN_FAILED);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.starts[1].run, f.starts[0].run + 1);
	drive_fake_ended(&f, 1, 2, DRIVE_RUN_FAILED);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.done[0].outcome, DRIVE_FAILED);
	drive_fake_free(&f);
}

static void worker_that_fails_twice_in_a_row_is_passed_over(void)
{
	struct drive_fake f;
	struct drive_counts c;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 1, 0);
	drive_fake_ended(&f, 0, 1, DRIVE_RUN_FAILED);
	drive_fake_ended(&f, 1, 2, DRIVE_RUN_FAILED);
	submit(&f, 2, "b", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_get_counts(f.drive, &c);
	CU_ASSERT_EQUAL(c.ejections, 1);
	drive_fake_free(&f);
}

/* An answered call under a higher fence that does not list the run. */
static void unanswered_start_is_tried_again_after_a_raised_fence(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_started(&f, 0, DRIVE_CALL_UNANSWERED);
	drive_fake_run(&f, 50, false);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	CU_ASSERT(f.holds[f.n_holds - 1].fence > f.starts[0].fence);
	CU_ASSERT_EQUAL(f.holds[f.n_holds - 1].lease_until, 0);
	drive_fake_held(&f, f.starts[0].worker, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_fake_free(&f);
}

/* The start was carried out and only its answer lost: it runs on. */
static void unanswered_start_that_runs_is_kept(void)
{
	struct drive_fake f;
	struct drive_active_run row;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_started(&f, 0, DRIVE_CALL_UNANSWERED);
	row = row_of(&f.starts[0]);
	drive_fake_held(&f, f.starts[0].worker, &row, 1, NULL, 0);
	drive_fake_run(&f, 50, false);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

/* No call is answered: only the end of the lease is a proof. */
static void silent_worker_keeps_its_tasks_until_the_lease_is_over(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_started(&f, 0, DRIVE_CALL_DONE);
	drive_fake_hold_fails(&f, f.starts[0].worker, DRIVE_CALL_UNANSWERED);
	drive_fake_run(&f, 1000, false);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_hold_all(&f); /* of the other; this one answers late */
	drive_fake_free(&f);

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_started(&f, 0, DRIVE_CALL_DONE);
	drive_fake_hold_fails(&f, f.starts[0].worker, DRIVE_CALL_UNANSWERED);
	while (f.now < 100000 + 1200) {
		f.now += 10;
		drive_tick(f.drive, f.now);
		if (f.now % 100 == 0)
			drive_fake_held(&f, 1 - f.starts[0].worker, NULL, 0,
					NULL, 0);
	}
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_NOT_EQUAL(f.starts[1].worker, f.starts[0].worker);
	drive_fake_free(&f);
}

/* What is sent to a silent worker must not prolong what it runs. */
static void silent_worker_is_called_without_a_lease(void)
{
	struct drive_fake f;
	size_t i;

	drive_fake_init(&f, 1);
	drive_fake_hold_fails(&f, 0, DRIVE_CALL_UNANSWERED);
	i = f.n_holds;
	drive_fake_run(&f, 100, false);
	CU_ASSERT(f.n_holds > i);
	CU_ASSERT_EQUAL(f.holds[f.n_holds - 1].lease_until, 0);
	drive_fake_held(&f, 0, NULL, 0, NULL, 0);
	drive_fake_run(&f, 10, false);
	CU_ASSERT(f.holds[f.n_holds - 1].lease_until > 0);
	drive_fake_free(&f);
}

static void other_life_of_a_worker_ends_its_runs(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_started(&f, 0, DRIVE_CALL_DONE);
	drive_fake_hold_fails(&f, f.starts[0].worker,
			      DRIVE_CALL_OTHER_INCARNATION);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_NOT_EQUAL(f.starts[1].worker, f.starts[0].worker);
	drive_fake_free(&f);
}

static void start_refused_as_old_gets_a_higher_run(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 1, 0);
	drive_fake_started(&f, 0, DRIVE_CALL_OLD_RUN);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT(f.starts[1].run > f.starts[0].run + 1);
	drive_fake_free(&f);
}

static void caller_that_leaves_has_its_tasks_stopped(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 2, 0);
	drive_cancel(f.drive, f.now, FAKE_HOME, 1);
	CU_ASSERT_EQUAL(f.n_stops, 2);
	CU_ASSERT_EQUAL(f.n_done, 0);
	CU_ASSERT_EQUAL(drive_open_jobs(f.drive), 0);
	drive_fake_run(&f, 200, false); /* an unanswered stop is repeated */
	CU_ASSERT_EQUAL(f.n_stops, 2);
	drive_fake_free(&f);
}

static void same_job_handed_in_twice_runs_once(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	submit(&f, 2, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_ended(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_done, 2);
	drive_fake_free(&f);
}

/* A run that an earlier driver started, of a job handed in again. */
static void run_of_an_earlier_driver_is_adopted(void)
{
	struct drive_active_run row = {.run = 4, .task = {.job = "a"}};
	struct drive_job j = drive_fake_job("a", 2);
	struct drive_fake f;

	drive_fake_init(&f, 2);
	drive_fake_held(&f, 0, &row, 1, NULL, 0);
	j.generation = 1;
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	CU_ASSERT_EQUAL(f.starts[0].task.index, 1);
	drive_fake_free(&f);
}

/* Its size is known once its job is: 13 cores are free beside its 3. */
static void adopted_run_takes_the_room_of_its_job(void)
{
	struct drive_active_run row = {.run = 4, .task = {.job = "a"}};
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_fake_held(&f, 0, &row, 1, NULL, 0);
	j.generation = 1;
	j.cpu_milli = 3000;
	drive_fake_submit(&f, 1, &j);
	j = drive_fake_job("b", 1);
	j.cpu_milli = 13000;
	drive_fake_submit(&f, 2, &j);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

/* One that no job claims is not prolonged, and is stopped soon. */
static void stray_run_is_stopped_and_not_prolonged(void)
{
	struct drive_active_run row = {.run = 4, .task = {.job = "gone"}};
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_fake_held(&f, 0, &row, 1, NULL, 0);
	drive_fake_run(&f, 20, false);
	CU_ASSERT_EQUAL(f.holds[f.n_holds - 1].lease_until, 0);
	CU_ASSERT_EQUAL(f.n_stops, 0);
	drive_fake_run(&f, 200, false);
	CU_ASSERT(f.n_stops > 0);
	CU_ASSERT_STRING_EQUAL(f.stops[0].task.job, "gone");
	drive_fake_free(&f);
}

/* A start that was carried out late, beside the run that replaced it. */
static void late_second_run_is_stopped_at_once(void)
{
	struct drive_active_run row;
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1, 0);
	drive_fake_started(&f, 0, DRIVE_CALL_DONE);
	row = row_of(&f.starts[0]);
	row.run += 1;
	drive_fake_held(&f, 1 - f.starts[0].worker, &row, 1, NULL, 0);
	CU_ASSERT_EQUAL(f.n_stops, 1);
	CU_ASSERT_EQUAL(f.stops[0].run, row.run);
	drive_fake_free(&f);
}

static void job_of_another_driver_waits_for_the_fence_everywhere(void)
{
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;

	drive_fake_init(&f, 2);
	drive_fake_hold_fails(&f, 0, DRIVE_CALL_UNANSWERED);
	j.generation = 1;
	drive_fake_submit(&f, 1, &j);
	drive_fake_run(&f, 100, false);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	drive_fake_free(&f);
}

/* Another may have driven a worker since it last answered us. */
static void job_of_another_driver_waits_for_lists_asked_after_it_came(void)
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
	drive_fake_held(&f, 0, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	drive_fake_held(&f, 1, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_free(&f);
}

/* A worker left the list 11 s ago; then a job of another driver comes. */
static size_t starts_beside_unlisted(const char *back)
{
	struct drive_worker gone = {.name = "gone", .domain = "apart"};
	struct drive_job j = drive_fake_job("a", 1);
	struct drive_fake f;
	size_t n;

	drive_fake_init(&f, 1);
	drive_add_unlisted_workers(f.drive, f.now, &gone, 1);
	drive_fake_run(&f, 11000, true);
	drive_domain_reachable(f.drive, f.now, back);
	j.generation = 1;
	drive_fake_submit(&f, 1, &j);
	drive_fake_held(&f, 0, NULL, 0, NULL, 0);
	n = f.n_starts;
	drive_fake_free(&f);
	return n;
}

/* Its domain drove it by an old list until now (seed 9849). */
static void job_waits_for_unlisted_workers_of_a_domain_that_is_back(void)
{
	CU_ASSERT_EQUAL(starts_beside_unlisted("other"), 1);
	CU_ASSERT_EQUAL(starts_beside_unlisted("apart"), 0);
}

static void nothing_starts_for_a_home_that_is_not_heard(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	f.far = true;
	submit(&f, 1, "a", 1, 0);
	CU_ASSERT_EQUAL(f.n_starts, 0);
	f.far = false;
	drive_fake_run(&f, 30, false);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_cancel_home(f.drive, f.now, FAKE_HOME);
	CU_ASSERT_EQUAL(f.n_stops, 1);
	drive_fake_free(&f);
}

static void fence_of_one_worker_is_raised_alone(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	f.raise = 9;
	drive_fake_hold_fails(&f, 0, DRIVE_CALL_FENCED);
	drive_fake_run(&f, 50, false);
	CU_ASSERT_EQUAL(f.n_fenced, 1);
	CU_ASSERT(f.holds[f.n_holds - 1].fence >= 9 * DRIVE_FENCES_PER_EPOCH);
	submit(&f, 1, "a", 2, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.starts[0].worker, 1);
	CU_ASSERT(f.starts[0].fence < 6 * DRIVE_FENCES_PER_EPOCH);
	drive_fake_free(&f);
}

static void leaving_worker_gets_nothing_new(void)
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

/* A worker that left the list remembers the fences that it was called with. */
static void fence_goes_on_when_a_worker_is_listed_again(void)
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
	drive_fake_started(&f, 0, DRIVE_CALL_UNANSWERED);
	fence = f.holds[f.n_holds - 1].fence;
	drive_fake_held(&f, 0, NULL, 0, NULL, 0);
	drive_cancel(f.drive, f.now, FAKE_HOME, 1);
	drive_set_workers(f.drive, f.now, NULL, 0);
	drive_fake_run(&f, 1000, true);
	drive_set_workers(f.drive, f.now, list, 1);
	drive_fake_run(&f, 500, true);
	CU_ASSERT(f.holds[f.n_holds - 1].fence >= fence);
	drive_fake_free(&f);
}

static void deadline_ends_a_job(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 1, 0);
	drive_fake_started(&f, 0, DRIVE_CALL_DONE);
	drive_fake_run(&f, 3100, false);
	CU_ASSERT(f.n_done == 1);
	CU_ASSERT_EQUAL(f.done[0].outcome, DRIVE_ABORTED);
	drive_fake_free(&f);
}

SUITE(drive)
{
	TEST(first_in_line_begins_in_part);
	TEST(job_behind_begins_whole_or_not_at_all);
	TEST(lower_priority_does_not_pass_a_waiting_job);
	TEST(widest_of_one_priority_begins_first);
	TEST(job_without_room_in_time_is_refused_at_once);
	TEST(job_larger_than_any_worker_is_refused_for_good);
	TEST(tasks_begin_in_the_domain_of_their_home);
	TEST(new_driver_begins_with_the_first_answer);
	TEST(new_driver_refuses_nothing_before_its_first_lists);
	TEST(job_ends_with_its_last_task);
	TEST(failed_task_is_tried_as_often_as_it_may);
	TEST(worker_that_fails_twice_in_a_row_is_passed_over);
	TEST(unanswered_start_is_tried_again_after_a_raised_fence);
	TEST(unanswered_start_that_runs_is_kept);
	TEST(silent_worker_keeps_its_tasks_until_the_lease_is_over);
	TEST(silent_worker_is_called_without_a_lease);
	TEST(other_life_of_a_worker_ends_its_runs);
	TEST(start_refused_as_old_gets_a_higher_run);
	TEST(caller_that_leaves_has_its_tasks_stopped);
	TEST(same_job_handed_in_twice_runs_once);
	TEST(run_of_an_earlier_driver_is_adopted);
	TEST(adopted_run_takes_the_room_of_its_job);
	TEST(stray_run_is_stopped_and_not_prolonged);
	TEST(late_second_run_is_stopped_at_once);
	TEST(job_of_another_driver_waits_for_the_fence_everywhere);
	TEST(job_of_another_driver_waits_for_lists_asked_after_it_came);
	TEST(job_waits_for_unlisted_workers_of_a_domain_that_is_back);
	TEST(nothing_starts_for_a_home_that_is_not_heard);
	TEST(fence_of_one_worker_is_raised_alone);
	TEST(leaving_worker_gets_nothing_new);
	TEST(fence_goes_on_when_a_worker_is_listed_again);
	TEST(deadline_ends_a_job);
}
