/* Tests of the answer to a submission for each way its tasks can end. */
#include <string.h>

#include "dispatch_fake.h"
#include "unit.h"

static enum syc_outcome get_outcome(const struct fake *f, uint64_t tag)
{
	CU_ASSERT_EQUAL(f->answers[tag].count, 1);
	return f->answers[tag].answer.outcome;
}

static enum syc_reason get_reason(const struct fake *f, uint64_t tag)
{
	return f->answers[tag].answer.reason;
}

static void results_are_in_task_order(void)
{
	struct fake *f = fake_new(2);
	int i;

	fake_submit(f, 1, "a", "job", 6, 0);
	CU_ASSERT_EQUAL(f->n_open, 6);
	for (i = 5; i >= 0; i--) {
		CU_ASSERT_EQUAL(f->answers[1].count, 0);
		fake_end(f, i, SYC_SEND_ANSWERED, 200);
	}
	CU_ASSERT_EQUAL(get_outcome(f, 1), SYC_COMPLETED);
	CU_ASSERT_EQUAL(f->answers[1].answer.n_results, 6);
	for (i = 0; i < 6; i++)
		CU_ASSERT_EQUAL(f->answers[1].bodies[i][0], '0' + i);
	CU_ASSERT_EQUAL(syc_dispatch_in_flight(f->d), 0);
	fake_free(f);
}

static void slots_limit_running_tasks(void)
{
	struct fake *f = fake_new(2);

	fake_submit(f, 1, "a", "job", 20, 0);
	CU_ASSERT_EQUAL(f->n_open, 8);
	fake_end(f, 0, SYC_SEND_ANSWERED, 200);
	CU_ASSERT_EQUAL(f->n_open, 8);
	fake_end_all(f, SYC_SEND_ANSWERED);
	CU_ASSERT_EQUAL(f->n_sends, 20);
	CU_ASSERT_EQUAL(get_outcome(f, 1), SYC_COMPLETED);
	fake_free(f);
}

static void one_failed_task_fails_the_job_at_once(void)
{
	struct fake *f = fake_new(1);

	fake_submit(f, 1, "a", "job", 10, 0);
	fake_end(f, 2, SYC_SEND_FAILED, 500);
	CU_ASSERT_EQUAL(get_outcome(f, 1), SYC_FAILED);
	CU_ASSERT_EQUAL(get_reason(f, 1), SYC_TASK_FAILED);
	CU_ASSERT_EQUAL(f->answers[1].answer.n_results, 0);
	CU_ASSERT_EQUAL(f->n_stops, 3);
	CU_ASSERT_EQUAL(f->n_sends, 4);
	fake_end_all(f, SYC_SEND_BROKEN);
	CU_ASSERT_EQUAL(f->n_sends, 4);
	CU_ASSERT_EQUAL(syc_dispatch_in_flight(f->d), 0);
	fake_free(f);
}

/*
 * A task is sent again only on proof that it did not start, so never after a
 * broken connection or a timeout.
 */
static void task_is_sent_again_only_on_proof(void)
{
	static const char *const kinds[] = {"job", "print"};
	struct fake *f = fake_new(4);
	uint64_t tag = 1;
	int i, n;

	for (i = 0; i < 2; i++) {
		n = f->n_sends;
		fake_submit(f, tag, "a", kinds[i], 1, 0);
		fake_end(f, n, SYC_SEND_REFUSED, 503);
		fake_end(f, n + 1, SYC_SEND_NOT_SENT, 0);
		CU_ASSERT_EQUAL(f->n_sends, n + 3);
		CU_ASSERT_EQUAL(f->sends[n].task, f->sends[n + 2].task);
		CU_ASSERT_EQUAL(f->sends[n + 2].attempt, 3);
		fake_end(f, n + 2, SYC_SEND_BROKEN, 0);
		CU_ASSERT_EQUAL(get_outcome(f, tag), SYC_UNKNOWN);
		CU_ASSERT_EQUAL(get_reason(f, tag), SYC_CONNECTION_LOST);
		CU_ASSERT_EQUAL(f->n_sends, n + 3);
		tag++;
		fake_tick(f, 10000);
	}
	fake_submit(f, tag, "a", "print", 1, 0);
	fake_end(f, f->n_sends - 1, SYC_SEND_TIMEOUT, 0);
	CU_ASSERT_EQUAL(get_outcome(f, tag), SYC_UNKNOWN);
	CU_ASSERT_EQUAL(get_reason(f, tag), SYC_TIME_LIMIT);
	CU_ASSERT_EQUAL(f->n_open, 0);
	fake_free(f);
}

/* Each refusal proves that the task did not run, so the job was not run. */
static void task_refused_everywhere_is_not_run(void)
{
	struct fake *f = fake_new(2);
	int i;

	fake_submit(f, 1, "a", "print", 1, 0);
	for (i = 0; i < 1000 && !f->answers[1].count; i++) {
		fake_end_all(f, SYC_SEND_REFUSED);
		fake_tick(f, 100);
	}
	CU_ASSERT_EQUAL(get_outcome(f, 1), SYC_NOT_RUN);
	CU_ASSERT_EQUAL(get_reason(f, 1), SYC_TARGET_REFUSED);
	CU_ASSERT_TRUE(f->answers[1].answer.retry_after_ms > 0);
	fake_free(f);
}

/*
 * An unfinished job is answered "not run" if no task has started, "unknown" if
 * a task runs, and "failed" if tasks have ended and none runs.
 */
static void outcome_of_unfinished_job_is_correct(void)
{
	struct fake *f = fake_new(1);

	fake_submit(f, 1, "a", "job", 4, 0);
	fake_submit(f, 2, "b", "job", 2, 500);
	fake_submit(f, 3, "b", "job", 2, 0);
	syc_dispatch_cancel(f->d, f->now, 3);
	CU_ASSERT_EQUAL(get_outcome(f, 3), SYC_NOT_RUN);
	CU_ASSERT_EQUAL(get_reason(f, 3), SYC_CANCELLED);
	fake_tick(f, 600);
	CU_ASSERT_EQUAL(get_outcome(f, 2), SYC_NOT_RUN);
	CU_ASSERT_EQUAL(get_reason(f, 2), SYC_DEADLINE);
	syc_dispatch_cancel(f->d, f->now, 1);
	CU_ASSERT_EQUAL(get_outcome(f, 1), SYC_UNKNOWN);
	CU_ASSERT_EQUAL(f->n_stops, 4);
	fake_end_all(f, SYC_SEND_BROKEN);
	CU_ASSERT_EQUAL(f->n_sends, 4);
	fake_free(f);
}

/* A slot whose task may still run stays in use until the time limit. */
static void broken_send_keeps_its_slot(void)
{
	struct fake *f = fake_new(1);

	fake_submit(f, 1, "a", "job", 1, 0);
	fake_end(f, 0, SYC_SEND_BROKEN, 0);
	fake_submit(f, 2, "a", "job", 4, 0);
	CU_ASSERT_EQUAL(f->n_open, 3);
	fake_tick(f, 1990);
	CU_ASSERT_EQUAL(f->n_open, 3);
	fake_tick(f, 100);
	CU_ASSERT_EQUAL(f->n_open, 4);
	fake_free(f);
}

static void refusals_state_their_reason(void)
{
	struct fake *f = fake_new(0);
	struct syc_task_spec task = {{"x", 1}, 0, 0, 0, 1};
	struct syc_job_spec spec = {"a", "job", false, 0, 1, &task};

	fake_submit(f, 1, "a", "job", 1, 0);
	CU_ASSERT_EQUAL(get_reason(f, 1), SYC_NO_TARGET);
	CU_ASSERT_TRUE(f->answers[1].answer.retry_after_ms > 0);
	fake_list_targets(f, 1, false);
	fake_submit(f, 2, "x", "job", 1, 0);
	CU_ASSERT_EQUAL(get_reason(f, 2), SYC_BAD_REQUEST);
	fake_submit(f, 3, "a", "x", 1, 0);
	CU_ASSERT_EQUAL(get_reason(f, 3), SYC_BAD_REQUEST);
	fake_submit(f, 4, "a", "job", 1601, 0);
	CU_ASSERT_EQUAL(get_reason(f, 4), SYC_TOO_LARGE);
	syc_dispatch_submit(f->d, f->now, 5, &spec);
	CU_ASSERT_EQUAL(get_reason(f, 5), SYC_NO_FIT);
	fake_submit(f, 6, "a", "job", 1000, 0);
	fake_submit(f, 7, "a", "job", 1600, 0);
	CU_ASSERT_EQUAL(get_reason(f, 7), SYC_QUEUE_FULL);
	syc_dispatch_drain(f->d, f->now);
	fake_submit(f, 8, "a", "job", 1, 0);
	CU_ASSERT_EQUAL(get_reason(f, 8), SYC_STOPPING);
	CU_ASSERT_EQUAL(get_outcome(f, 8), SYC_NOT_RUN);
	CU_ASSERT_EQUAL(f->answers[6].count, 0);
	fake_free(f);
}

static void leaving_target_gets_no_new_task(void)
{
	struct fake *f = fake_new(1);

	fake_submit(f, 1, "a", "job", 6, 0);
	fake_list_targets(f, 1, true);
	fake_end(f, 0, SYC_SEND_ANSWERED, 200);
	CU_ASSERT_EQUAL(f->n_sends, 4);
	fake_list_targets(f, 1, false);
	CU_ASSERT_EQUAL(f->n_sends, 5);
	fake_free(f);
}

SUITE(dispatch_answer)
{
	TEST(results_are_in_task_order);
	TEST(slots_limit_running_tasks);
	TEST(one_failed_task_fails_the_job_at_once);
	TEST(task_is_sent_again_only_on_proof);
	TEST(task_refused_everywhere_is_not_run);
	TEST(outcome_of_unfinished_job_is_correct);
	TEST(broken_send_keeps_its_slot);
	TEST(refusals_state_their_reason);
	TEST(leaving_target_gets_no_new_task);
}
