/* Tests of which worker suits a task best. */
#include "policy/placement.h"
#include "unit.h"

/* A worker of that factor, for a task that takes 100 ms on a usual one. */
static struct placement_worker worker_of(double factor, uint32_t free_cpu_milli)
{
	return (struct placement_worker){
		.free_cpu_milli = free_cpu_milli,
		.expected_ms = 100 * factor,
		.factor = factor,
	};
}

static void the_worker_in_time_comes_first(void)
{
	struct placement_worker slow = worker_of(2, 16000);
	struct placement_worker usual = worker_of(1, 32000);
	struct placement_task t = {.left_ms = 160};

	slow.in_home_domain = true;
	CU_ASSERT(placement_is_better(&t, &usual, &slow));
	CU_ASSERT(!placement_is_in_time(&t, &slow));
	CU_ASSERT(placement_is_in_time(&t, &usual));
}

static void fast_workers_are_left_to_tasks_that_need_them(void)
{
	struct placement_worker slow = worker_of(1.6, 16000);
	struct placement_worker fast = worker_of(0.6, 16000);
	struct placement_task t = {.left_ms = 1000};

	CU_ASSERT(placement_is_better(&t, &slow, &fast));
	t.left_ms = 170;
	CU_ASSERT(placement_is_better(&t, &fast, &slow));
	t.left_ms = 50;
	CU_ASSERT(placement_is_better(&t, &fast, &slow));
}

static void home_domain_precedes_fit_among_equal_workers(void)
{
	struct placement_worker tight = worker_of(1, 16000);
	struct placement_worker home = worker_of(1.1, 32000);
	struct placement_task t = {.left_ms = 1000};

	home.in_home_domain = true;
	CU_ASSERT(placement_is_better(&t, &home, &tight));
	home.in_home_domain = false;
	CU_ASSERT(placement_is_better(&t, &tight, &home));
	tight.is_mixed = true;
	CU_ASSERT(placement_is_better(&t, &home, &tight));
}

SUITE(policy_placement)
{
	TEST(the_worker_in_time_comes_first);
	TEST(fast_workers_are_left_to_tasks_that_need_them);
	TEST(home_domain_precedes_fit_among_equal_workers);
}
