/*
 * Tests of the driver's calls whose answers are lost, late or out of order.
 */
#include "drive_fake.h"
#include "unit.h"

static void submit(struct drive_fake *f, uint64_t tag, const char *id,
		   uint32_t n)
{
	struct drive_job j = drive_fake_job(id, n);

	drive_fake_submit(f, tag, &j);
}

static struct drive_active_run active_run_of(const struct fake_call *c)
{
	return (struct drive_active_run){
		.task = c->task, .run = c->run, .percent = 50};
}

static struct drive_counts counts_of(const struct drive_fake *f)
{
	struct drive_counts counts;

	drive_get_counts(f->drive, &counts);
	return counts;
}

static const struct fake_call *last_hold(const struct drive_fake *f)
{
	return &f->holds[f->n_holds - 1];
}

/* So many calls are unanswered that a list is worth its cost. */
static void lose_answers(struct drive_fake *f)
{
	drive_fake_fail_hold(f, 0, DRIVE_CALL_UNANSWERED);
	drive_fake_fail_hold(f, 0, DRIVE_CALL_UNANSWERED);
	drive_fake_answer_hold(f, 0, NULL, 0, NULL, 0);
}

/* A call that was sent after the hold has been answered. */
static void lost_hold_of_a_worker_that_answers_is_sent_again(void)
{
	struct drive_fake f;
	size_t n;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 1);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	drive_fake_advance(&f, 50, false);
	submit(&f, 2, "b", 1);
	drive_fake_answer_start(&f, 1, DRIVE_CALL_DONE);
	n = f.n_holds;
	drive_fake_fail_hold(&f, 0, DRIVE_CALL_UNANSWERED);
	CU_ASSERT_EQUAL(f.n_holds, n + 1);
	CU_ASSERT_EQUAL(last_hold(&f)->lease_expires_at, 0);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(f.n_holds, n + 1);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_holds, n + 2);
	CU_ASSERT(last_hold(&f)->lease_expires_at > 0);
	CU_ASSERT_EQUAL(last_hold(&f)->wait_ms, 200);
	CU_ASSERT_EQUAL(counts_of(&f).silences, 0);
	CU_ASSERT_EQUAL(counts_of(&f).holds_replaced, 1);
	drive_fake_free(&f);
}

static void worker_in_doubt_gets_no_task_and_no_renewal(void)
{
	struct drive_fake f;
	int i;

	drive_fake_init(&f, 2);
	for (i = 0; i < 2; i++) {
		drive_fake_fail_hold(&f, 0, DRIVE_CALL_UNANSWERED);
		CU_ASSERT_EQUAL(last_hold(&f)->wait_ms, 0);
		CU_ASSERT_EQUAL(last_hold(&f)->lease_expires_at, 0);
		CU_ASSERT_EQUAL(counts_of(&f).silences, 0);
	}
	submit(&f, 1, "a", 2);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	CU_ASSERT_EQUAL(f.starts[0].worker, 1);
	CU_ASSERT_EQUAL(f.starts[1].worker, 1);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	submit(&f, 2, "b", 2);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	CU_ASSERT_EQUAL(f.starts[3].worker, 0);
	drive_fake_free(&f);

	drive_fake_init(&f, 1);
	for (i = 0; i < 3; i++)
		drive_fake_fail_hold(&f, 0, DRIVE_CALL_UNANSWERED);
	CU_ASSERT_EQUAL(counts_of(&f).silences, 1);
	drive_fake_free(&f);
}

/* The last start, on the first worker, is lost; its task starts there again. */
static void lose_last_start(struct drive_fake *f)
{
	drive_fake_answer_start(f, f->n_starts - 1, DRIVE_CALL_UNANSWERED);
	drive_fake_answer_hold(f, 0, NULL, 0, NULL, 0);
}

static void answer_starts(struct drive_fake *f, uint64_t from, uint64_t n)
{
	struct drive_job j = drive_fake_job("b", 1);
	uint64_t i;

	j.domain = "d1";
	for (i = from; i < from + n; i++) {
		drive_fake_submit(f, i, &j);
		drive_fake_answer_start(f, f->n_starts - 1, DRIVE_CALL_DONE);
		drive_fake_end_run(f, f->n_starts - 1, i, DRIVE_RUN_DONE);
	}
}

/* While all workers lose calls, one that loses two is no worse than others. */
static void lost_starts_eject_a_worker_later_while_all_lose_calls(void)
{
	struct drive_fake f;
	size_t n;
	int i;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1);
	lose_last_start(&f);
	CU_ASSERT_EQUAL(counts_of(&f).ejections, 0);
	n = f.n_starts;
	answer_starts(&f, 1000, 120);
	drive_fake_answer_start(&f, n - 1, DRIVE_CALL_UNANSWERED);
	drive_fake_answer_hold(&f, 0, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(counts_of(&f).ejections, 1);
	drive_fake_free(&f);

	drive_fake_init(&f, 1);
	lose_answers(&f);
	submit(&f, 1, "a", 1);
	for (i = 1; i <= 4; i++) {
		CU_ASSERT_EQUAL(counts_of(&f).ejections, 0);
		lose_last_start(&f);
	}
	CU_ASSERT_EQUAL(counts_of(&f).ejections, 1);
	drive_fake_free(&f);
}

/* Nothing starts without the proof, and the lists go out one after another. */
static void lost_list_about_a_lost_start_is_followed_by_another(void)
{
	struct drive_fake f;
	uint64_t fence;
	size_t n;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_UNANSWERED);
	fence = last_hold(&f)->fence;
	n = f.n_holds;
	drive_fake_fail_hold(&f, f.starts[0].worker, DRIVE_CALL_UNANSWERED);
	CU_ASSERT_EQUAL(f.n_holds, n + 1);
	CU_ASSERT_EQUAL(last_hold(&f)->fence, fence);
	CU_ASSERT_EQUAL(f.n_starts, 1);
	drive_fake_answer_hold(&f, f.starts[0].worker, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_fake_free(&f);
}

/*
 * The order is carried out after its run was proved impossible: the worker
 * refuses it by its fence, and its late answer changes nothing.
 */
static void late_start_is_below_the_fence_of_the_proof(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 2);
	submit(&f, 1, "a", 1);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_UNANSWERED);
	CU_ASSERT(f.starts[0].fence < last_hold(&f)->fence);
	drive_fake_answer_hold(&f, f.starts[0].worker, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_fake_answer_start(&f, 1, DRIVE_CALL_DONE);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_FENCED);
	CU_ASSERT_EQUAL(f.n_starts, 2);
	drive_fake_end_run(&f, 1, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_COMPLETED);
	drive_fake_free(&f);
}

/* Every fence of the epoch is used up. */
static void fences_rise_with_every_lost_start(void)
{
	struct drive_active_run row;
	struct drive_fake f;
	uint64_t fence = 0;
	int i;

	drive_fake_init(&f, 1);
	for (i = 1; i < DRIVE_FENCES_PER_EPOCH + 10; i++) {
		f.n_starts = f.n_holds = f.n_jobs_done = 0;
		submit(&f, (uint64_t)i, "a", 1);
		drive_fake_answer_start(&f, 0, DRIVE_CALL_UNANSWERED);
		CU_ASSERT_FATAL(last_hold(&f)->fence > fence);
		fence = last_hold(&f)->fence;
		CU_ASSERT_FATAL(fence > f.starts[0].fence);
		row = active_run_of(&f.starts[0]);
		drive_fake_answer_hold(&f, 0, &row, 1, NULL, 0);
		drive_fake_end_run(&f, 0, (uint64_t)i, DRIVE_RUN_DONE);
		CU_ASSERT_EQUAL_FATAL(f.n_jobs_done, 1);
	}
	drive_fake_free(&f);
}

/* The waiting hold says nothing, but its answer may be lost. */
static void due_end_is_asked_for_beside_the_waiting_hold(void)
{
	struct drive_fake f;
	uint64_t fence;
	size_t n;

	drive_fake_init(&f, 1);
	lose_answers(&f);
	submit(&f, 1, "a", 1);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	fence = f.starts[0].fence;
	n = f.n_holds;
	drive_fake_advance(&f, 90, false);
	CU_ASSERT_EQUAL(f.n_holds, n);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(f.n_holds, n + 1);
	CU_ASSERT_EQUAL(counts_of(&f).lists_due, 1);
	CU_ASSERT_EQUAL(last_hold(&f)->wait_ms, 0);
	CU_ASSERT_EQUAL(last_hold(&f)->lease_expires_at, 0);
	CU_ASSERT_EQUAL(last_hold(&f)->fence, fence);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	drive_fake_free(&f);
}

/* A list has brought an end, and the hold beside it stays silent. */
static void hold_that_misses_an_end_is_replaced(void)
{
	struct drive_fake f;
	size_t n;

	drive_fake_init(&f, 1);
	lose_answers(&f);
	submit(&f, 1, "a", 2);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	drive_fake_answer_start(&f, 1, DRIVE_CALL_DONE);
	drive_fake_advance(&f, 250, false);
	CU_ASSERT_EQUAL(counts_of(&f).lists_due, 1);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	n = f.n_holds;
	drive_fake_advance(&f, 130, false);
	CU_ASSERT(f.n_holds > n);
	CU_ASSERT_EQUAL(counts_of(&f).holds_replaced, 1);
	/* What becomes of the replaced hold changes nothing. */
	CU_ASSERT_EQUAL(counts_of(&f).silences, 0);
	drive_fake_free(&f);
}

static void due_end_costs_nothing_while_answers_come(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a", 2);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	drive_fake_answer_start(&f, 1, DRIVE_CALL_DONE);
	drive_fake_advance(&f, 500, false);
	CU_ASSERT_EQUAL(counts_of(&f).lists_due, 0);
	drive_fake_free(&f);
}

/* A list that another one has overtaken names a run that has ended since. */
static void overtaken_list_brings_no_run_back(void)
{
	struct drive_active_run row;
	struct drive_hold_answer old = {.answer.result = DRIVE_CALL_DONE};
	struct drive_fake f;
	uint64_t call;

	drive_fake_init(&f, 1);
	lose_answers(&f);
	submit(&f, 1, "a", 1);
	drive_fake_answer_start(&f, 0, DRIVE_CALL_DONE);
	row = active_run_of(&f.starts[0]);
	call = last_hold(&f)->call;
	drive_fake_advance(&f, 250, false);
	CU_ASSERT_NOT_EQUAL(last_hold(&f)->call, call);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	old.running = &row;
	old.n_running = 1;
	drive_hold_answered(f.drive, f.now, call, &old);
	CU_ASSERT_EQUAL(counts_of(&f).running, 0);
	submit(&f, 2, "b", 2);
	CU_ASSERT_EQUAL(f.n_starts, 3);
	drive_fake_free(&f);
}

/* Answers come at once, so a start is in doubt long before its call ends. */
static void start_that_takes_longer_than_usual_is_hedged(void)
{
	struct drive_fake f;
	uint64_t i;
	size_t n;

	drive_fake_init(&f, 2);
	for (i = 1; i <= 80; i++) {
		submit(&f, i, "a", 2);
		drive_fake_answer_start(&f, f.n_starts - 1, DRIVE_CALL_DONE);
		drive_fake_answer_start(&f, f.n_starts - 2, DRIVE_CALL_DONE);
		drive_fake_end_run(&f, f.n_starts - 1, 2 * i, DRIVE_RUN_DONE);
		drive_fake_end_run(&f, f.n_starts - 2, 2 * i + 1,
				   DRIVE_RUN_DONE);
	}
	submit(&f, 100, "b", 1);
	n = f.n_starts;
	drive_fake_advance(&f, 10, false);
	CU_ASSERT_EQUAL(counts_of(&f).starts_hedged, 0);
	drive_fake_advance(&f, 10, false);
	CU_ASSERT_EQUAL(counts_of(&f).starts_hedged, 1);
	CU_ASSERT(last_hold(&f)->fence > f.starts[n - 1].fence);
	CU_ASSERT(last_hold(&f)->timeout_ms < 20);
	CU_ASSERT_EQUAL(f.n_starts, n);
	/* The answer to the start comes first: its run is kept. */
	drive_fake_answer_start(&f, n - 1, DRIVE_CALL_DONE);
	drive_fake_answer_hold(&f, f.starts[n - 1].worker, NULL, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.n_starts, n);
	drive_fake_free(&f);
}

/* No connection: nothing was sent, so no list has to prove it. */
static void hedged_start_that_was_not_sent_starts_elsewhere(void)
{
	struct drive_fake f;
	uint64_t i;
	size_t n;

	drive_fake_init(&f, 2);
	for (i = 1; i <= 80; i++) {
		submit(&f, i, "a", 1);
		drive_fake_answer_start(&f, f.n_starts - 1, DRIVE_CALL_DONE);
		drive_fake_end_run(&f, f.n_starts - 1, i, DRIVE_RUN_DONE);
	}
	submit(&f, 100, "b", 1);
	n = f.n_starts;
	drive_fake_advance(&f, 30, false);
	CU_ASSERT_EQUAL(counts_of(&f).starts_hedged, 1);
	drive_fake_answer_start(&f, n - 1, DRIVE_CALL_NOT_SENT);
	CU_ASSERT_EQUAL(f.n_starts, n + 1);
	drive_fake_free(&f);
}

/* A late driver may not have read the answer. */
static void late_driver_hedges_later(void)
{
	struct drive_fake f;
	uint64_t i;

	drive_fake_init(&f, 1);
	for (i = 1; i <= 80; i++) {
		submit(&f, i, "a", 1);
		drive_fake_answer_start(&f, f.n_starts - 1, DRIVE_CALL_DONE);
		drive_fake_end_run(&f, f.n_starts - 1, i, DRIVE_RUN_DONE);
	}
	submit(&f, 100, "b", 1);
	f.late_ms = 60;
	f.now += 50; /* the process was paused */
	drive_tick(f.drive, f.now);
	drive_fake_advance(&f, 10, false);
	CU_ASSERT_EQUAL(counts_of(&f).starts_hedged, 0);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(counts_of(&f).starts_hedged, 1);
	drive_fake_free(&f);
}

SUITE(drive_calls)
{
	TEST(lost_hold_of_a_worker_that_answers_is_sent_again);
	TEST(worker_in_doubt_gets_no_task_and_no_renewal);
	TEST(lost_starts_eject_a_worker_later_while_all_lose_calls);
	TEST(lost_list_about_a_lost_start_is_followed_by_another);
	TEST(late_start_is_below_the_fence_of_the_proof);
	TEST(fences_rise_with_every_lost_start);
	TEST(due_end_is_asked_for_beside_the_waiting_hold);
	TEST(hold_that_misses_an_end_is_replaced);
	TEST(due_end_costs_nothing_while_answers_come);
	TEST(overtaken_list_brings_no_run_back);
	TEST(start_that_takes_longer_than_usual_is_hedged);
	TEST(hedged_start_that_was_not_sent_starts_elsewhere);
	TEST(late_driver_hedges_later);
}
