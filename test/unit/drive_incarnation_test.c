/* Tests of the driver with workers that start again under their names. */
#include <string.h>

#include "drive_fake.h"
#include "unit.h"

enum { EARLIER = 5000, PRESENT = 9000, SET_BACK = 4000 };

/* Drives `n` workers, of which worker 0 says when it was born. */
static void begin(struct drive_fake *f, size_t n)
{
	drive_fake_init(f, n);
	drive_fake_set_born(f, 0, EARLIER);
	drive_fake_advance(f, 1200, true);
}

/* Submits a job of one task, which worker 0 is to run; returns its start. */
static size_t start_on_first(struct drive_fake *f)
{
	struct drive_job j = drive_fake_job("a", 1);

	j.deadline_ms = 60000;
	drive_fake_submit(f, 1, &j);
	CU_ASSERT_EQUAL(f->n_starts, 1);
	CU_ASSERT_EQUAL(f->starts[0].worker, 0);
	return 0;
}

static uint64_t n_restarts(const struct drive_fake *f)
{
	struct drive_counts c;

	drive_get_counts(f->drive, &c);
	return c.restarts;
}

static size_t last_hold(const struct drive_fake *f, int worker)
{
	size_t i = f->n_holds;

	while (i-- && f->holds[i].worker != worker)
		;
	return i;
}

static void run_is_lost_when_a_hold_shows_another_incarnation(void)
{
	struct drive_fake f;

	begin(&f, 2);
	drive_fake_answer_start(&f, start_on_first(&f), DRIVE_CALL_DONE);
	drive_fake_advance(&f, 50, false);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_advance(&f, 50, false);
	f.born_ms[0] = PRESENT;
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	/* Its next call is under a higher fence, and acknowledges nothing. */
	CU_ASSERT(f.holds[last_hold(&f, 0)].fence > f.starts[0].fence);
	CU_ASSERT_EQUAL(f.holds[last_hold(&f, 0)].cursor, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.starts[1].run, 2);
	drive_fake_free(&f);
}

static void ends_of_the_new_incarnation_count_from_one(void)
{
	struct drive_fake f;
	size_t i;

	begin(&f, 1);
	for (i = 0; i < 3; i++) {
		struct drive_job j = drive_fake_job("job0", 1);
		char id[] = "job0";

		id[3] = (char)('0' + i);
		j.id = id;
		drive_fake_submit(&f, i + 1, &j);
		drive_fake_answer_start(&f, i, DRIVE_CALL_DONE);
		if (i < 2) {
			drive_fake_end_run(&f, i, i + 1, DRIVE_RUN_DONE);
			drive_fake_advance(&f, 50, false);
		}
	}
	CU_ASSERT_EQUAL(f.n_jobs_done, 2);
	/* The last run is lost, and started again at the new incarnation. */
	f.born_ms[0] = PRESENT;
	drive_fake_advance(&f, 50, false);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	drive_fake_advance(&f, 600, true);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	drive_fake_answer_start(&f, 3, DRIVE_CALL_DONE);
	drive_fake_end_run(&f, 3, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_jobs_done, 3);
	CU_ASSERT_EQUAL(f.jobs_done[2].outcome, DRIVE_COMPLETED);
	drive_fake_free(&f);
}

/* A worker that restarts unnoticed would forget its first ends. */
static void cursor_is_sent_until_it_is_acknowledged(void)
{
	struct drive_fake f;

	begin(&f, 1);
	drive_fake_answer_start(&f, start_on_first(&f), DRIVE_CALL_DONE);
	drive_fake_advance(&f, 50, false);
	CU_ASSERT_EQUAL(f.holds[last_hold(&f, 0)].cursor, 0);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	drive_fake_fail_hold(&f, 0, DRIVE_CALL_UNANSWERED);
	drive_fake_advance(&f, 50, false);
	/* It may have restarted meanwhile. */
	CU_ASSERT_EQUAL(f.holds[last_hold(&f, 0)].cursor, 0);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	drive_fake_advance(&f, 1200, false);
	CU_ASSERT_EQUAL(f.holds[last_hold(&f, 0)].cursor, 1);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	drive_fake_advance(&f, 1200, false);
	CU_ASSERT_EQUAL(f.holds[last_hold(&f, 0)].cursor, 0);
	drive_fake_free(&f);
}

static void listed_incarnation_is_asked_and_ends_no_run(void)
{
	struct drive_active_run row;
	struct drive_fake f;
	size_t n;

	begin(&f, 2);
	drive_fake_answer_start(&f, start_on_first(&f), DRIVE_CALL_DONE);
	row = (struct drive_active_run){.task = f.starts[0].task, .run = 1};
	drive_fake_advance(&f, 50, false);
	n = f.n_holds;
	f.workers[0].born_ms = PRESENT;
	drive_set_workers(f.drive, f.now, f.workers, f.n_workers);
	/* It is asked, under a higher fence, and acknowledges nothing. */
	CU_ASSERT_EQUAL(f.n_holds, n + 1);
	CU_ASSERT_EQUAL(f.holds[n].worker, 0);
	CU_ASSERT(f.holds[n].fence > f.starts[0].fence);
	CU_ASSERT_EQUAL(f.holds[n].cursor, 0);
	/* The entry was wrong. */
	drive_fake_answer_hold(&f, 0, &row, 1, NULL, 0);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(n_restarts(&f), 0);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	/* It is asked about each entry once. */
	n = f.n_holds;
	drive_set_workers(f.drive, f.now, f.workers, f.n_workers);
	CU_ASSERT_EQUAL(f.n_holds, n);
	drive_fake_free(&f);
}

static void restart_that_the_list_shows_first_is_confirmed_by_an_answer(void)
{
	struct drive_fake f;

	begin(&f, 2);
	drive_fake_answer_start(&f, start_on_first(&f), DRIVE_CALL_DONE);
	drive_fake_advance(&f, 50, false);
	drive_fake_set_born(&f, 0, PRESENT);
	CU_ASSERT_EQUAL(n_restarts(&f), 0);
	drive_fake_answer_call(&f, last_hold(&f, 0));
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_fake_free(&f);
}

static void old_answer_and_old_entry_do_not_bring_the_earlier_one_back(void)
{
	struct drive_fake f;
	size_t regular, probe;

	begin(&f, 2);
	start_on_first(&f);
	regular = last_hold(&f, 0);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_UNANSWERED);
	probe = last_hold(&f, 0);
	CU_ASSERT_NOT_EQUAL(regular, probe);
	f.born_ms[0] = PRESENT;
	drive_fake_answer_call(&f, probe);
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	f.born_ms[0] = EARLIER;
	drive_fake_answer_call(&f, regular);
	drive_set_workers(f.drive, f.now, f.workers, f.n_workers);
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	f.born_ms[0] = PRESENT;
	drive_fake_answer_call(&f, last_hold(&f, 0));
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	drive_fake_free(&f);
}

static void incarnation_whose_clock_was_set_back_is_recognised(void)
{
	struct drive_fake f;

	begin(&f, 2);
	drive_fake_answer_start(&f, start_on_first(&f), DRIVE_CALL_DONE);
	drive_fake_advance(&f, 50, false);
	f.born_ms[0] = SET_BACK;
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	/* That list was requested before the start's answer. */
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	/* The old entry, which is the younger one, changes nothing. */
	drive_set_workers(f.drive, f.now, f.workers, f.n_workers);
	drive_fake_advance(&f, 400, true);
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	drive_fake_free(&f);
}

static void leases_are_counted_on_the_new_clock(void)
{
	struct drive_fake f;

	begin(&f, 1);
	drive_fake_advance(&f, 1200, false);
	f.born_ms[0] = PRESENT;
	f.clock_behind_ms = f.now;
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	drive_fake_answer_all_holds(&f);
	start_on_first(&f);
	CU_ASSERT(f.starts[0].lease_expires_at > f.now - f.clock_behind_ms);
	CU_ASSERT(f.starts[0].lease_expires_at <=
		  f.now - f.clock_behind_ms + 1000);
	drive_fake_free(&f);
}

/* A start that has no answer may begin at the new incarnation. */
static void open_start_waits_for_a_list_under_a_higher_fence(void)
{
	struct drive_fake f;

	begin(&f, 2);
	start_on_first(&f);
	f.born_ms[0] = PRESENT;
	/* This hold had the fence of the start. */
	CU_ASSERT_EQUAL(f.holds[last_hold(&f, 0)].fence, f.starts[0].fence);
	drive_fake_answer_call(&f, last_hold(&f, 0));
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_answer_all_holds(&f);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_fake_free(&f);
}

static void open_start_that_the_new_incarnation_lists_is_kept(void)
{
	struct drive_active_run row;
	struct drive_fake f;

	begin(&f, 2);
	start_on_first(&f);
	row = (struct drive_active_run){.task = f.starts[0].task, .run = 1};
	f.born_ms[0] = PRESENT;
	drive_fake_answer_hold(&f, 0, &row, 1, NULL, 0);
	drive_fake_answer_hold(&f, 0, &row, 1, NULL, 0);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_COMPLETED);
	drive_fake_free(&f);
}

/* The answer comes from the earlier incarnation, or that is not known. */
static void late_answer_to_a_start_does_not_make_it_run(void)
{
	struct drive_fake f;

	begin(&f, 2);
	start_on_first(&f);
	f.born_ms[0] = PRESENT;
	drive_fake_answer_call(&f, last_hold(&f, 0));
	f.born_ms[0] = EARLIER;
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	f.born_ms[0] = PRESENT;
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	drive_fake_answer_all_holds(&f);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_fake_free(&f);
}

static void next_driver_with_the_old_birth_learns_the_new_one(void)
{
	struct drive_fake f;

	begin(&f, 2);
	drive_end(f.drive, f.now);
	f.born_ms[0] = PRESENT;
	drive_begin(f.drive, f.now, 6);
	CU_ASSERT_EQUAL(f.holds[last_hold(&f, 0)].born_ms, EARLIER);
	drive_set_workers(f.drive, f.now, f.workers, f.n_workers);
	drive_fake_answer_all_holds(&f);
	CU_ASSERT_EQUAL(n_restarts(&f), 1);
	CU_ASSERT_EQUAL(f.holds[last_hold(&f, 0)].born_ms, PRESENT);
	drive_fake_answer_all_holds(&f);
	start_on_first(&f);
	drive_fake_free(&f);
}

static void worker_that_says_no_birth_has_one_incarnation(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	drive_fake_answer_start(&f, start_on_first(&f), DRIVE_CALL_DONE);
	drive_fake_advance(&f, 50, false);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	/* Its birth becomes known, which is no restart. */
	drive_fake_set_born(&f, 0, PRESENT);
	drive_fake_advance(&f, 1200, true);
	CU_ASSERT_EQUAL(n_restarts(&f), 0);
	drive_fake_free(&f);
}

/* Crashes the worker under each start of the task, as far as it is started. */
static void task_that_crashes_workers_of_the_same_name_is_given_up(void)
{
	struct drive_job j = drive_fake_job("crash", 1);
	struct drive_fake f;
	size_t i;
	int w;

	drive_fake_init(&f, 4);
	for (w = 0; w < 4; w++)
		drive_fake_set_born(&f, w, EARLIER);
	drive_fake_advance(&f, 1200, true);
	j.deadline_ms = 60000;
	drive_fake_submit(&f, 1, &j);
	for (i = 0; i < f.n_starts && i < 8; i++) {
		w = f.starts[i].worker;
		drive_fake_answer_start(&f, i, DRIVE_CALL_DONE);
		drive_fake_fail_hold(&f, w, DRIVE_CALL_NO_LISTENER);
		drive_fake_advance(&f, 1500, false);
		drive_fake_set_born(&f, w, PRESENT + (int64_t)i);
		drive_fake_answer_hold(&f, w, NULL, 0, NULL, 0);
		drive_fake_advance(&f, 20, false);
	}
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_FAILED);
	drive_fake_free(&f);
}

SUITE(drive_incarnation)
{
	TEST(run_is_lost_when_a_hold_shows_another_incarnation);
	TEST(ends_of_the_new_incarnation_count_from_one);
	TEST(cursor_is_sent_until_it_is_acknowledged);
	TEST(listed_incarnation_is_asked_and_ends_no_run);
	TEST(restart_that_the_list_shows_first_is_confirmed_by_an_answer);
	TEST(old_answer_and_old_entry_do_not_bring_the_earlier_one_back);
	TEST(incarnation_whose_clock_was_set_back_is_recognised);
	TEST(leases_are_counted_on_the_new_clock);
	TEST(open_start_waits_for_a_list_under_a_higher_fence);
	TEST(open_start_that_the_new_incarnation_lists_is_kept);
	TEST(late_answer_to_a_start_does_not_make_it_run);
	TEST(next_driver_with_the_old_birth_learns_the_new_one);
	TEST(worker_that_says_no_birth_has_one_incarnation);
	TEST(task_that_crashes_workers_of_the_same_name_is_given_up);
}
