/* Tests of the decisions about runs that fall behind. */
#include "policy/run_progress.h"
#include "unit.h"

/* A task of 900 ms, 200 ms after its start, with 1,300 ms to its objective. */
static struct run_progress long_run(uint32_t percent)
{
	return (struct run_progress){.elapsed_ms = 200,
				     .percent = percent,
				     .usual_ms = 900,
				     .left_ms = 1300};
}

static void run_at_pace_is_not_behind(void)
{
	struct run_progress r = long_run(22);

	CU_ASSERT_FALSE(run_progress_is_behind(&r));
	r.percent = 13; /* a worker of 0.6 times the usual speed */
	CU_ASSERT_FALSE(run_progress_is_behind(&r));
}

static void run_on_a_slowed_worker_is_behind(void)
{
	struct run_progress r = long_run(3); /* six times slower */

	CU_ASSERT(run_progress_is_behind(&r));
	CU_ASSERT(run_progress_restart_helps(&r, 60));
	r.left_ms = 900;
	CU_ASSERT_FALSE(run_progress_restart_helps(&r, 60));
	r.elapsed_ms = 50; /* too early to be judged */
	CU_ASSERT_FALSE(run_progress_is_behind(&r));
}

static void run_that_is_slow_but_in_time_is_left_alone(void)
{
	struct run_progress r = long_run(3);

	r.left_ms = 60000;
	CU_ASSERT_FALSE(run_progress_is_behind(&r));
}

static void one_run_behind_is_no_slow_worker(void)
{
	struct worker_pace p = {.n_behind = 1};

	CU_ASSERT_FALSE(worker_pace_is_slow(&p, 10000));
	p.n_behind = 2;
	CU_ASSERT(worker_pace_is_slow(&p, 10000));
	p.n_at_pace = 1;
	CU_ASSERT_FALSE(worker_pace_is_slow(&p, 10000));
}

static void run_that_ended_late_counts_for_a_while(void)
{
	struct worker_pace p = {.n_behind = 1, .behind_at = 10000};

	CU_ASSERT(worker_pace_is_slow(&p, 10500));
	CU_ASSERT_FALSE(worker_pace_is_slow(&p, 13000));
	p.at_pace_at = 10400;
	CU_ASSERT_FALSE(worker_pace_is_slow(&p, 10500));
}

static void stops_are_bounded(void)
{
	struct stop_budget b = {0};
	int i, n = 0;

	for (i = 0; i < 100; i++)
		n += stop_budget_take(&b, 5000 + i, 40, 5);
	CU_ASSERT_EQUAL(n, 5);
	CU_ASSERT(stop_budget_take(&b, 6000, 40, 5));
}

static void general_slow_down_stops_nothing(void)
{
	struct stop_budget b = {0};

	CU_ASSERT_FALSE(stop_budget_take(&b, 5000, 40, 11));
	CU_ASSERT(stop_budget_take(&b, 5000, 40, 10));
}

SUITE(policy_progress)
{
	TEST(run_at_pace_is_not_behind);
	TEST(run_on_a_slowed_worker_is_behind);
	TEST(run_that_is_slow_but_in_time_is_left_alone);
	TEST(one_run_behind_is_no_slow_worker);
	TEST(run_that_ended_late_counts_for_a_while);
	TEST(stops_are_bounded);
	TEST(general_slow_down_stops_nothing);
}
