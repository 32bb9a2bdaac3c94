/* Tests of the driver: runs on a worker that has turned slow. */
#include "drive_fake.h"
#include "unit.h"

enum { LONG_MS = 900 };

static void submit_long(struct drive_fake *f, uint64_t tag, const char *id)
{
	struct drive_job j = drive_fake_job(id, 1);

	j.estimate_ms = LONG_MS;
	j.objective_percent = 160;
	j.objective_add_ms = 60;
	drive_fake_submit(f, tag, &j);
}

static struct drive_active_run shown(const struct fake_call *c,
				     uint32_t percent)
{
	return (struct drive_active_run){c->task, c->run, percent};
}

/* Two jobs run on worker 0, which lists them at `percent` after 200 ms. */
static void begin_two(struct drive_fake *f, uint32_t percent)
{
	struct drive_active_run rows[2];

	drive_fake_init(f, 2);
	submit_long(f, 1, "a");
	submit_long(f, 2, "b");
	CU_ASSERT_EQUAL(f->n_starts, 2);
	CU_ASSERT_EQUAL(f->starts[0].worker, f->starts[1].worker);
	drive_fake_answer_start(f, 0, DRIVE_CALL_DONE);
	drive_fake_answer_start(f, 1, DRIVE_CALL_DONE);
	drive_fake_advance(f, 200, false);
	rows[0] = shown(&f->starts[0], percent);
	rows[1] = shown(&f->starts[1], percent);
	drive_fake_answer_hold(f, f->starts[0].worker, rows, 2, NULL, 0);
	drive_fake_advance(f, 10, false);
}

static void runs_behind_start_elsewhere_after_their_end(void)
{
	struct drive_active_run row;
	struct drive_ended_run end;
	struct drive_fake f;

	begin_two(&f, 3);
	CU_ASSERT_EQUAL(f.n_stops, 1); /* as many as the budget allows */
	CU_ASSERT_EQUAL(f.n_starts, 2); /* not before the end is listed */
	row = shown(&f.starts[1], 4);
	end = (struct drive_ended_run){1, f.stops[0].task, f.stops[0].run,
				       DRIVE_RUN_STOPPED};
	drive_fake_answer_hold(&f, f.starts[0].worker, &row, 1, &end, 1);
	CU_ASSERT_EQUAL(f.n_starts, 3);
	CU_ASSERT_EQUAL(f.starts[2].worker, 1 - f.starts[0].worker);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_fake_free(&f);
}

static void runs_at_pace_go_on(void)
{
	struct drive_fake f;

	begin_two(&f, 20);
	CU_ASSERT_EQUAL(f.n_stops, 0);
	drive_fake_free(&f);
}

static void run_that_ends_before_its_stop_is_kept(void)
{
	struct drive_active_run row;
	struct drive_ended_run end;
	struct drive_fake f;

	begin_two(&f, 3);
	row = shown(&f.starts[1], 4);
	end = (struct drive_ended_run){1, f.stops[0].task, f.stops[0].run,
				       DRIVE_RUN_DONE};
	drive_fake_answer_hold(&f, f.starts[0].worker, &row, 1, &end, 1);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_COMPLETED);
	drive_fake_free(&f);
}

SUITE(drive_progress)
{
	TEST(runs_behind_start_elsewhere_after_their_end);
	TEST(runs_at_pace_go_on);
	TEST(run_that_ends_before_its_stop_is_kept);
}
