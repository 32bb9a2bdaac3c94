/*
 * Tests that a caller never has more slots than its limit, although several
 * instances start its tasks.
 */
#include "dispatch_cluster.h"
#include "unit.h"

enum { LIMIT = 4, LONG_RUN_MS = 5500, SHORT_RUN_MS = 100 };

static struct cluster *new_cluster_of_three(void)
{
	struct cluster_options opt = {.seed = 3,
				      .n_instances = 3,
				      .n_targets = 6,
				      .slots_per_target = 4,
				      .n_callers = 1,
				      .queue_max = 1000,
				      .time_limit_ms = 6000,
				      .message_delay_max_ms = 1,
				      .is_first_map = true};

	opt.caller_slots[0] = LIMIT;
	return cluster_new(&opt);
}

static void submit_job(struct cluster *c, int i, uint32_t run_ms)
{
	struct cluster_task tasks[LIMIT] = {{0}};
	int k;

	for (k = 0; k < LIMIT; k++)
		tasks[k].run_ms = run_ms;
	cluster_submit(c, i, 0, "job", LIMIT, tasks, 0);
}

/*
 * One instance uses the whole limit and is paused while the limit owner
 * crashes. The next limit owner does not know what is in use and must wait
 * before it allots slots. `holder_offset` 0 or 1 selects which of the other two
 * instances is paused.
 */
static void crash_limit_owner(int holder_offset)
{
	struct cluster *c = new_cluster_of_three();
	int limit_owner = cluster_find_owner(c, 0, "caller/c0");
	int holder = (limit_owner + 1 + holder_offset) % 3;
	int other = (limit_owner + 2 - holder_offset) % 3;

	cluster_run(c, 100);
	submit_job(c, holder, LONG_RUN_MS);
	cluster_run(c, 300);
	CU_ASSERT_EQUAL(c->caller_running[0], LIMIT);
	cluster_crash(c, limit_owner);
	cluster_pause(c, holder, 4000);
	cluster_run(c, 2600);
	CU_ASSERT_EQUAL(c->caller_running[0], LIMIT);
	submit_job(c, other, SHORT_RUN_MS);
	cluster_run(c, 1000);
	CU_ASSERT_EQUAL(c->caller_running[0], LIMIT);
	cluster_run(c, 30000);
	CU_ASSERT_EQUAL(c->starts_over_limit, 0);
	CU_ASSERT_EQUAL(c->starts_over_slots, 0);
	CU_ASSERT_EQUAL(cluster_count_open(c), 0);
	cluster_free(c);
}

static void limit_holds_when_limit_owner_crashes(void)
{
	crash_limit_owner(0);
	crash_limit_owner(1);
}

/* Several instances request more than the limit at once; all get a part. */
static void limit_is_shared_by_instances(void)
{
	struct cluster *c = new_cluster_of_three();
	int i;

	for (i = 0; i < 30; i++) {
		submit_job(c, i % 3, SHORT_RUN_MS);
		cluster_run(c, 10);
	}
	cluster_run(c, 10000);
	CU_ASSERT_EQUAL(c->starts_over_limit, 0);
	CU_ASSERT_EQUAL(cluster_count_open(c), 0);
	CU_ASSERT_TRUE(c->starts >= 30);
	cluster_free(c);
}

SUITE(dispatch_limit)
{
	TEST(limit_holds_when_limit_owner_crashes);
	TEST(limit_is_shared_by_instances);
}
