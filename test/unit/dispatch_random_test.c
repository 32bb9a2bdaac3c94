/*
 * Seeded random runs of several dispatchers under faults. They check that a
 * task runs twice only if it may, that no target runs more tasks than it has
 * slots and no caller exceeds its limit, that every submission is answered
 * once and correctly, and that the ledger agrees with what the targets
 * counted. SYC_SEEDS sets the number of seeds, SYC_SEED runs one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_cluster.h"
#include "unit.h"

enum {
	DEFAULT_SEEDS = 12,
	STEPS = 300,
	STEP_MS = 40,
	SETTLE_MS = 60000,
	TASKS_MAX = 30, /* most tasks of one job */
	LONG_TASK_ONE_IN = 50,
	TIME_LIMIT_MS = 3500
};

static void submit_random_job(struct cluster *c)
{
	static const char *const kinds[] = {"job", "print", "view"};
	struct cluster_task tasks[TASKS_MAX] = {{0}};
	uint32_t k, n = 1 + (uint32_t)rng_below(&c->rng, TASKS_MAX);
	int kind = (int)rng_below(&c->rng, 3);
	int i = (int)rng_below(&c->rng, (uint64_t)c->n_instances);
	uint32_t limit_ms;

	if (!c->instances[i].is_alive || c->instances[i].paused_until > c->now)
		return;
	if (kind == 2)
		n = 1;
	for (k = 0; k < n; k++) {
		tasks[k].run_ms = 5 + (uint32_t)rng_below(&c->rng, 200);
		if (!rng_below(&c->rng, LONG_TASK_ONE_IN))
			tasks[k].run_ms += 500 +
					   (uint32_t)rng_below(&c->rng, 2500);
		tasks[k].end = CLUSTER_ANSWERS;
		if (!rng_below(&c->rng, 40))
			tasks[k].end = 1 + (uint32_t)rng_below(&c->rng, 5);
	}
	limit_ms = rng_below(&c->rng, 4) ? 0 : 300;
	cluster_submit(c, i, (int)rng_below(&c->rng, 4), kinds[kind], n, tasks,
		       limit_ms);
}

static int count_living(const struct cluster *c)
{
	int i, n = 0;

	for (i = 0; i < c->n_instances; i++)
		n += c->instances[i].is_alive;
	return n;
}

static void inject_random_fault(struct cluster *c)
{
	int i = (int)rng_below(&c->rng, (uint64_t)c->n_instances);

	switch (rng_below(&c->rng, 40)) {
	case 0:
		if (count_living(c) > 2 && c->instances[i].is_alive)
			cluster_crash(c, i);
		break;
	case 1:
		if (c->n_instances < 12)
			cluster_join(c);
		break;
	case 2:
		cluster_pause(c, i, (int64_t)rng_below(&c->rng, 900));
		break;
	case 3:
		c->instances[i].partition ^= 1;
		break;
	case 4:
		c->targets[0].conf.leaving = !c->targets[0].conf.leaving;
		cluster_list_targets(c);
		break;
	case 5:
		c->targets[1].is_unreachable = !c->targets[1].is_unreachable;
		break;
	case 6:
		if (c->n_jobs)
			cluster_cancel(c, rng_below(&c->rng, c->n_jobs));
		break;
	default:
		break;
	}
}

static void check_cluster(struct cluster *c, uint64_t seed)
{
	uint64_t n_violations;
	int i;

	n_violations = c->starts_over_limit + c->starts_over_slots +
		       c->forbidden_reruns + c->answered_twice +
		       c->wrong_answers + c->false_not_run +
		       cluster_count_open(c);
	if (n_violations)
		printf("\nseed %llu: starts over the limit %llu, starts "
		       "without a free slot %llu, forbidden reruns %llu, "
		       "answered twice %llu, wrong answers %llu, "
		       "false not_run %llu, unanswered %zu\n"
		       "repeat: SYC_SEED=%llu build/unit dispatch_random\n",
		       (unsigned long long)seed,
		       (unsigned long long)c->starts_over_limit,
		       (unsigned long long)c->starts_over_slots,
		       (unsigned long long)c->forbidden_reruns,
		       (unsigned long long)c->answered_twice,
		       (unsigned long long)c->wrong_answers,
		       (unsigned long long)c->false_not_run,
		       cluster_count_open(c), (unsigned long long)seed);
	CU_ASSERT_EQUAL(n_violations, 0);
	for (i = 0; i < c->n_instances; i++) {
		if (!c->instances[i].is_alive)
			continue;
		CU_ASSERT_EQUAL(cluster_sum_ledger(c, i, "starts"),
				c->instances[i].runs);
		CU_ASSERT_EQUAL(cluster_sum_ledger(c, i, "open"), 0);
	}
}

static void run_seed(uint64_t seed)
{
	struct cluster_options opt = {0};
	struct cluster *c;
	int i;

	opt.seed = seed;
	opt.n_instances = 4;
	opt.n_targets = 10;
	opt.slots_per_target = 4;
	opt.n_callers = 4;
	opt.queue_max = 2000;
	opt.caller_slots[3] = 6;
	opt.time_limit_ms = TIME_LIMIT_MS;
	opt.message_delay_max_ms = 30;
	opt.lost_permille = 50;
	opt.repeated_permille = 50;
	opt.is_first_map = true;
	c = cluster_new(&opt);
	for (i = 0; i < STEPS; i++) {
		submit_random_job(c);
		inject_random_fault(c);
		cluster_run(c, STEP_MS);
	}
	for (i = 0; i < c->n_instances; i++)
		c->instances[i].partition = 0;
	cluster_run(c, SETTLE_MS);
	check_cluster(c, seed);
	cluster_free(c);
}

static void invariants_hold_under_faults(void)
{
	const char *one = getenv("SYC_SEED");
	const char *many = getenv("SYC_SEEDS");
	uint64_t seed, n = many ? strtoull(many, NULL, 10) : DEFAULT_SEEDS;

	if (one) {
		run_seed(strtoull(one, NULL, 10));
		return;
	}
	for (seed = 1; seed <= n; seed++)
		run_seed(seed);
}

SUITE(dispatch_random)
{
	TEST(invariants_hold_under_faults);
}
