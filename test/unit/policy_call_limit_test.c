/* Tests of the time limits that are learned from the answers of workers. */
#include "policy/call_limit.h"
#include "unit.h"

static struct call_limits all;
static struct call_limit w, slow;

static void reset(void)
{
	all = (struct call_limits){0};
	w = slow = (struct call_limit){0};
}

static void answer(struct call_limit *worker, int n, int64_t ms)
{
	while (n--) {
		call_limit_answered(&all, worker);
		call_limit_sample(&all, worker, ms);
	}
}

static uint32_t limit(void)
{
	return call_limit_ms(&all, &w, 0);
}

static void limit_follows_the_answers(void)
{
	reset();
	answer(&w, 63, 2);
	CU_ASSERT_EQUAL(limit(), CALL_LIMIT_MAX_MS);
	answer(&w, 5000, 2);
	CU_ASSERT_EQUAL(limit(), CALL_LIMIT_MIN_MS);
	/* A slow worker has a limit of its own. */
	answer(&slow, 7, 60);
	CU_ASSERT_EQUAL(call_limit_ms(&all, &slow, 0), CALL_LIMIT_MAX_MS);
	answer(&slow, 1, 60);
	CU_ASSERT(call_limit_ms(&all, &slow, 0) >= 60);
	CU_ASSERT_EQUAL(limit(), CALL_LIMIT_MIN_MS);
	/* All workers are far away for a while. */
	answer(&w, 1000, 30);
	CU_ASSERT(limit() > 30);
	answer(&w, 40000, 2);
	CU_ASSERT_EQUAL(limit(), CALL_LIMIT_MIN_MS);
	/* This process is late, and then the worker. */
	CU_ASSERT_EQUAL(call_limit_ms(&all, &w, 25), CALL_LIMIT_MIN_MS + 25);
	call_limit_missed(&w);
	CU_ASSERT_EQUAL(limit(), 2 * CALL_LIMIT_MIN_MS);
	call_limit_answered(&all, &w);
	CU_ASSERT_EQUAL(limit(), CALL_LIMIT_MIN_MS);
}

/* One answer in 25 takes long; that is no alarm unless many are lost. */
static void rare_slow_answers_raise_no_alarm(void)
{
	int i;

	reset();
	for (i = 0; i < 40; i++) {
		answer(&w, 1, 21);
		answer(&w, 24, 2);
	}
	CU_ASSERT(call_limit_start_ms(&all, &w, 0) > 21);
	call_limits_missed(&all);
	CU_ASSERT_FALSE(call_limits_lossy(&all));
	call_limits_missed(&all);
	CU_ASSERT(call_limits_lossy(&all));
	CU_ASSERT_EQUAL(call_limit_start_ms(&all, &w, 0), CALL_LIMIT_MIN_MS);
	CU_ASSERT(limit() > 21);
	answer(&w, 100, 2);
	CU_ASSERT_FALSE(call_limits_lossy(&all));
}

SUITE(policy_call_limit)
{
	TEST(limit_follows_the_answers);
	TEST(rare_slow_answers_raise_no_alarm);
}
