/* Tests of the time limits that are learned from the answers of workers. */
#include "policy/call_limit.h"
#include "unit.h"

static void answer(struct call_limits *all, struct call_limit *w, int n,
		   int64_t ms)
{
	while (n--) {
		call_limit_answered(all, w);
		call_limit_sample(all, w, ms);
	}
}

static void limit_is_the_usual_one_until_enough_answers(void)
{
	struct call_limits all = {0};
	struct call_limit w = {0}, other = {0};

	answer(&all, &w, 63, 2);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &w, 0), CALL_LIMIT_MAX_MS);
	answer(&all, &w, 1, 2);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &w, 0), CALL_LIMIT_MIN_MS);
	answer(&all, &other, 7, 2);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &other, 0), CALL_LIMIT_MAX_MS);
}

/* One answer in 25 takes long; that is no alarm unless many get lost. */
static void rare_slow_answers_raise_no_alarm(void)
{
	struct call_limits all = {0};
	struct call_limit w = {0};
	int i;

	for (i = 0; i < 40; i++) {
		answer(&all, &w, 1, 21);
		answer(&all, &w, 24, 2);
	}
	CU_ASSERT(call_limit_ms(&all, &w, 0) > 21);
	CU_ASSERT(call_limit_start_ms(&all, &w, 0) > 21);
	for (i = 0; i < 10; i++)
		call_limits_missed(&all);
	CU_ASSERT(call_limit_ms(&all, &w, 0) > 21);
	CU_ASSERT_EQUAL(call_limit_start_ms(&all, &w, 0), CALL_LIMIT_MIN_MS);
}

static void slow_worker_has_a_longer_limit_than_the_others(void)
{
	struct call_limits all = {0};
	struct call_limit w = {0}, slow = {0};

	answer(&all, &w, 5000, 2);
	answer(&all, &slow, 8, 60);
	CU_ASSERT(call_limit_ms(&all, &slow, 0) >= 60);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &w, 0), CALL_LIMIT_MIN_MS);
}

/* All workers are far away from now on. */
static void limit_forgets_earlier_answers(void)
{
	struct call_limits all = {0};
	struct call_limit w = {0};

	answer(&all, &w, 5000, 2);
	answer(&all, &w, 1000, 30);
	CU_ASSERT(call_limit_ms(&all, &w, 0) > 30);
	answer(&all, &w, 40000, 2);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &w, 0), CALL_LIMIT_MIN_MS);
}

static void limit_grows_with_lateness_and_with_misses(void)
{
	struct call_limits all = {0};
	struct call_limit w = {0};
	uint32_t usual_ms, i;

	answer(&all, &w, 500, 2);
	usual_ms = call_limit_ms(&all, &w, 0);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &w, 25), usual_ms + 25);
	call_limit_missed(&w);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &w, 0), 2 * usual_ms);
	for (i = 0; i < 100; i++)
		call_limit_missed(&w);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &w, 0), CALL_LIMIT_MAX_MS);
	call_limit_answered(&all, &w);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &w, 0), usual_ms);
}

static void answers_are_lossy_while_some_in_a_hundred_are_missed(void)
{
	struct call_limits all = {0};
	struct call_limit w = {0};
	int i;

	call_limits_missed(&all);
	CU_ASSERT_FALSE(call_limits_lossy(&all));
	for (i = 0; i < 10; i++) {
		answer(&all, &w, 14, 2);
		call_limits_missed(&all);
	}
	CU_ASSERT(call_limits_lossy(&all));
	answer(&all, &w, 500, 2);
	CU_ASSERT_FALSE(call_limits_lossy(&all));
}

SUITE(policy_call_limit)
{
	TEST(limit_is_the_usual_one_until_enough_answers);
	TEST(rare_slow_answers_raise_no_alarm);
	TEST(slow_worker_has_a_longer_limit_than_the_others);
	TEST(limit_forgets_earlier_answers);
	TEST(limit_grows_with_lateness_and_with_misses);
	TEST(answers_are_lossy_while_some_in_a_hundred_are_missed);
}
