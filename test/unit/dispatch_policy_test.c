/* Tests of fair queueing, admission, retries, target health and limits. */
#include <string.h>

#include "dispatch_fake.h"
#include "unit.h"

static enum syc_reason get_reason(const struct fake *f, uint64_t tag)
{
	CU_ASSERT_EQUAL(f->answers[tag].count, 1);
	return f->answers[tag].answer.reason;
}

static int count_sends_of(const struct fake *f, const char *caller, int from)
{
	int i, n = 0;

	for (i = from; i < f->n_sends; i++)
		n += !strcmp(f->sends[i].caller, caller);
	return n;
}

static int count_sends_to(const struct fake *f, const char *target, int from)
{
	int i, n = 0;

	for (i = from; i < f->n_sends; i++)
		n += !strcmp(f->sends[i].target, target);
	return n;
}

/* Ends every open send after 100 ms, `n` times. */
static void run_rounds(struct fake *f, int n)
{
	int i, sends;

	while (n--) {
		f->now += 100;
		sends = f->n_sends;
		for (i = 0; i < sends; i++)
			if (f->sends[i].is_open)
				fake_end(f, i, SYC_SEND_ANSWERED, 200);
		fake_tick(f, 0);
	}
}

/* Runs tasks so that the learned run time of "job" is 100 ms. */
static void teach_run_time(struct fake *f)
{
	fake_submit(f, 4000, "a", "job", 20, 0);
	run_rounds(f, 10);
	CU_ASSERT_EQUAL(f->answers[4000].answer.outcome, SYC_COMPLETED);
}

static void slots_follow_shares_while_all_wait(void)
{
	struct fake *f = fake_new(4);
	int from;

	fake_submit(f, 1, "a", "job", 800, 0);
	fake_submit(f, 2, "b", "job", 800, 0);
	run_rounds(f, 2);
	from = f->n_sends;
	run_rounds(f, 20);
	CU_ASSERT_EQUAL(f->n_sends - from, 320);
	CU_ASSERT_TRUE(count_sends_of(f, "a", from) >= 228);
	CU_ASSERT_TRUE(count_sends_of(f, "a", from) <= 252);
	fake_free(f);
}

/*
 * Slots that "b" does not use go to "a". When "b" has tasks again, it receives
 * its share as tasks end, without compensation for the time in which it had
 * none.
 */
static void unused_share_is_lent_and_returned(void)
{
	struct fake *f = fake_new(4);
	int from;

	fake_submit(f, 3, "b", "job", 1, 0);
	fake_submit(f, 1, "a", "job", 900, 0);
	run_rounds(f, 5);
	CU_ASSERT_EQUAL(count_sends_of(f, "a", 0), 95);
	fake_submit(f, 2, "b", "job", 100, 0);
	from = f->n_sends;
	run_rounds(f, 10);
	CU_ASSERT_TRUE(count_sends_of(f, "b", from) >= 36);
	CU_ASSERT_TRUE(count_sends_of(f, "b", from) <= 44);
	fake_free(f);
}

static void small_job_overtakes_large_one(void)
{
	struct fake *f = fake_new(4);

	fake_submit(f, 1, "a", "job", 900, 0);
	fake_submit(f, 2, "a", "job", 4, 0);
	run_rounds(f, 2);
	CU_ASSERT_EQUAL(f->answers[2].count, 1);
	CU_ASSERT_EQUAL(f->answers[1].count, 0);
	fake_free(f);
}

/* The kind has no samples, so only the size of the queue decides. */
static void burst_is_refused_without_harm_to_others(void)
{
	struct fake *f = fake_new(1);
	uint64_t tag;

	for (tag = 1; tag <= 40; tag++)
		fake_submit(f, tag, "a", "print", 100, 0);
	CU_ASSERT_EQUAL(get_reason(f, 40), SYC_QUEUE_FULL);
	fake_submit(f, 41, "b", "print", 300, 0);
	CU_ASSERT_EQUAL(f->answers[41].count, 0);
	fake_free(f);
}

static void work_that_would_end_late_is_refused(void)
{
	struct fake *f = fake_new(1);

	teach_run_time(f);
	fake_submit(f, 1, "a", "job", 40, 0);
	fake_submit(f, 2, "a", "job", 4, 500);
	CU_ASSERT_EQUAL(get_reason(f, 2), SYC_DEADLINE);
	CU_ASSERT_EQUAL(f->answers[2].answer.outcome, SYC_NOT_RUN);
	CU_ASSERT_TRUE(f->answers[2].answer.retry_after_ms > 0);
	fake_submit(f, 3, "a", "job", 4, 5000);
	CU_ASSERT_EQUAL(f->answers[3].count, 0);
	fake_submit(f, 4, "a", "job", 4, 0);
	CU_ASSERT_EQUAL(get_reason(f, 4), SYC_QUEUE_FULL);
	fake_free(f);
}

/*
 * With the one slot available at this moment, 40 tasks of 100 ms would wait for
 * 4 s and be refused. Just before, 16 slots were available.
 */
static void prediction_uses_mean_of_obtained_slots(void)
{
	struct fake *f = fake_new(4);

	teach_run_time(f);
	fake_submit(f, 1, "a", "job", 1, 0);
	f->owner = f->self + 1;
	fake_list_targets(f, 4, false);
	fake_submit(f, 2, "a", "job", 40, 0);
	fake_submit(f, 3, "a", "job", 4, 0);
	CU_ASSERT_EQUAL(f->answers[3].count, 0);
	fake_submit(f, 4, "a", "job", 4, 800);
	CU_ASSERT_EQUAL(f->answers[4].count, 0);
	fake_submit(f, 5, "a", "job", 160, 0);
	fake_submit(f, 6, "a", "job", 4, 0);
	CU_ASSERT_EQUAL(get_reason(f, 6), SYC_QUEUE_FULL);
	fake_free(f);
}

/* Ten first sends earn one retry and no more. */
static void retries_stay_within_budget(void)
{
	struct fake *f = fake_new(4);
	uint64_t tag;
	int n;

	for (tag = 1; tag <= 10; tag++)
		fake_submit(f, tag, "a", "view", 1, 0);
	n = f->n_sends;
	fake_end(f, 0, SYC_SEND_BROKEN, 0);
	CU_ASSERT_EQUAL(f->n_sends, n + 1);
	CU_ASSERT_EQUAL(f->sends[n].task, f->sends[0].task);
	CU_ASSERT_STRING_NOT_EQUAL(f->sends[n].target, f->sends[0].target);
	fake_end(f, 1, SYC_SEND_BROKEN, 0);
	CU_ASSERT_EQUAL(f->n_sends, n + 1);
	CU_ASSERT_EQUAL(f->answers[2].answer.outcome, SYC_UNKNOWN);
	fake_end(f, n, SYC_SEND_ANSWERED, 200);
	CU_ASSERT_EQUAL(f->answers[1].answer.outcome, SYC_COMPLETED);
	fake_free(f);
}

static void first_answer_of_hedged_request_counts(void)
{
	struct fake *f = fake_new(4);
	uint64_t tag;
	int n;

	for (tag = 1; tag <= 10; tag++)
		fake_submit(f, tag, "a", "hedged", 1, 0);
	n = f->n_sends;
	fake_tick(f, 100);
	CU_ASSERT_EQUAL(f->n_sends, n);
	fake_tick(f, 60);
	CU_ASSERT_EQUAL(f->n_sends, n + 1);
	fake_end(f, n, SYC_SEND_ANSWERED, 200);
	CU_ASSERT_EQUAL(f->n_stops, 1);
	fake_end_all(f, SYC_SEND_ANSWERED);
	for (tag = 1; tag <= 10; tag++)
		CU_ASSERT_EQUAL(f->answers[tag].answer.outcome, SYC_COMPLETED);
	fake_free(f);
}

/* Ends open sends: those to t0 with `bad_end`, others with success. */
static void end_with_bad_target(struct fake *f, enum syc_send_end bad_end)
{
	int i, n = f->n_sends;

	for (i = 0; i < n; i++) {
		if (!f->sends[i].is_open)
			continue;
		if (strcmp(f->sends[i].target, "t0"))
			fake_end(f, i, SYC_SEND_ANSWERED, 200);
		else
			fake_end(f, i, bad_end, 500);
	}
}

static void failing_target_is_ejected_and_probed(void)
{
	struct fake *f = fake_new(8);
	uint64_t tag = 1;
	int i, from;

	for (i = 0; i < 20; i++) {
		for (; f->n_open < 28; tag++)
			fake_submit(f, tag, "a", "job", 1, 0);
		end_with_bad_target(f, SYC_SEND_FAILED);
		f->now += 10;
	}
	CU_ASSERT_TRUE(count_sends_to(f, "t0", 0) >= 5);
	CU_ASSERT_TRUE(count_sends_to(f, "t0", 0) <= 8);
	from = f->n_sends;
	fake_tick(f, 1100);
	for (; f->n_open < 28; tag++)
		fake_submit(f, tag, "a", "job", 1, 0);
	CU_ASSERT_EQUAL(count_sends_to(f, "t0", from), 1);
	fake_end_all(f, SYC_SEND_ANSWERED);
	from = f->n_sends;
	for (; f->n_open < 28; tag++)
		fake_submit(f, tag, "a", "job", 1, 0);
	CU_ASSERT_TRUE(count_sends_to(f, "t0", from) > 1);
	fake_free(f);
}

/* If all targets fail, most of the service stays in use. */
static void ejection_is_bounded(void)
{
	struct fake *f = fake_new(10);
	uint64_t tag = 1;
	int i;

	for (i = 0; i < 40; i++) {
		for (; f->n_open < 28; tag++)
			fake_submit(f, tag, "a", "job", 1, 0);
		fake_end_all(f, SYC_SEND_FAILED);
		f->now++;
	}
	for (i = 0; i < 28; i++)
		fake_submit(f, tag + (uint64_t)i, "a", "job", 1, 0);
	CU_ASSERT_EQUAL(f->n_open, 28);
	fake_free(f);
}

static void unreachable_target_is_in_backoff(void)
{
	struct fake *f = fake_new(2);
	int from;

	fake_submit(f, 1, "a", "job", 8, 0);
	end_with_bad_target(f, SYC_SEND_NOT_SENT);
	from = f->n_sends;
	fake_submit(f, 2, "a", "job", 8, 0);
	fake_tick(f, 20);
	CU_ASSERT_EQUAL(count_sends_to(f, "t0", from), 0);
	fake_tick(f, 60);
	CU_ASSERT_EQUAL(count_sends_to(f, "t0", from), 1);
	fake_free(f);
}

static void submit_task_with_cpus(struct fake *f, uint64_t tag, uint32_t cpus)
{
	struct syc_task_spec task = {{"x", 1}, 100, cpus, 0, 0};
	struct syc_job_spec spec = {"b", "print", false, 0, 1, &task};

	syc_dispatch_submit(f->d, f->now, tag, &spec);
}

/*
 * Guards against a task of several slots that never starts because tasks of
 * one slot take every slot that becomes free.
 */
static void wide_task_is_not_starved(void)
{
	struct fake *f = fake_new(2);
	int i;

	fake_submit(f, 1, "a", "job", 900, 0);
	submit_task_with_cpus(f, 2, 8);
	for (i = 0; i < 400 && !f->answers[2].count; i++) {
		f->now += 10;
		fake_end(f, i, SYC_SEND_ANSWERED, 200);
	}
	CU_ASSERT_EQUAL(f->answers[2].answer.outcome, SYC_COMPLETED);
	CU_ASSERT_TRUE(i < 40);
	submit_task_with_cpus(f, 3, 9);
	CU_ASSERT_EQUAL(get_reason(f, 3), SYC_NO_FIT);
	fake_free(f);
}

static void caller_limits_hold(void)
{
	struct fake *f = fake_new(4);
	uint64_t tag;
	int n_completed = 0;

	fake_submit(f, 1, "few", "job", 10, 0);
	CU_ASSERT_EQUAL(f->n_open, 2);
	fake_tick(f, 200);
	CU_ASSERT_EQUAL(f->n_open, 2);
	fake_end(f, 0, SYC_SEND_ANSWERED, 200);
	CU_ASSERT_EQUAL(f->n_open, 2);
	run_rounds(f, 20);
	CU_ASSERT_EQUAL(f->answers[1].answer.outcome, SYC_COMPLETED);
	for (tag = 100; tag < 400; tag++) {
		fake_submit(f, tag, "metered", "job", 1, 0);
		fake_end_all(f, SYC_SEND_ANSWERED);
		n_completed += f->answers[tag].answer.outcome == SYC_COMPLETED;
		fake_tick(f, 10);
	}
	CU_ASSERT_EQUAL(get_reason(f, 399), SYC_RATE_LIMIT);
	/* 3 s at 5 submissions per second, and a burst of 1 s. */
	CU_ASSERT_TRUE(n_completed >= 14);
	CU_ASSERT_TRUE(n_completed <= 20);
	fake_free(f);
}

static void wait_for_service_without_targets_is_bounded(void)
{
	struct fake *f = fake_new(1);

	fake_submit(f, 1, "a", "job", 8, 0);
	fake_list_targets(f, 0, false);
	fake_end_all(f, SYC_SEND_ANSWERED);
	fake_tick(f, 10);
	fake_tick(f, 9000);
	CU_ASSERT_EQUAL(f->answers[1].count, 0);
	fake_tick(f, 1600);
	CU_ASSERT_EQUAL(get_reason(f, 1), SYC_NO_TARGET);
	CU_ASSERT_EQUAL(f->answers[1].answer.outcome, SYC_FAILED);
	fake_free(f);
}

/* The only target that is large enough leaves while its task waits. */
static void wait_for_target_that_fits_is_bounded(void)
{
	struct fake *f = fake_new(1);

	fake_submit(f, 1, "a", "job", 8, 0);
	submit_task_with_cpus(f, 2, 8);
	fake_list_small_targets(f, 2);
	fake_tick(f, 10);
	fake_tick(f, 9000);
	CU_ASSERT_EQUAL(f->answers[2].count, 0);
	fake_tick(f, 1600);
	CU_ASSERT_EQUAL(get_reason(f, 2), SYC_NO_TARGET);
	CU_ASSERT_EQUAL(f->answers[2].answer.outcome, SYC_NOT_RUN);
	run_rounds(f, 10);
	CU_ASSERT_EQUAL(f->answers[1].answer.outcome, SYC_COMPLETED);
	fake_free(f);
}

SUITE(dispatch_policy)
{
	TEST(slots_follow_shares_while_all_wait);
	TEST(unused_share_is_lent_and_returned);
	TEST(small_job_overtakes_large_one);
	TEST(burst_is_refused_without_harm_to_others);
	TEST(work_that_would_end_late_is_refused);
	TEST(prediction_uses_mean_of_obtained_slots);
	TEST(retries_stay_within_budget);
	TEST(first_answer_of_hedged_request_counts);
	TEST(failing_target_is_ejected_and_probed);
	TEST(ejection_is_bounded);
	TEST(unreachable_target_is_in_backoff);
	TEST(wide_task_is_not_starved);
	TEST(caller_limits_hold);
	TEST(wait_for_service_without_targets_is_bounded);
	TEST(wait_for_target_that_fits_is_bounded);
}
