/*
 * Seeded runs of several dispatchers under faults. They check what must
 * hold whatever happens: no task starts twice, no target runs more than its
 * slots, every submission is answered once and truthfully, and the ledger
 * agrees with what the targets saw. SYC_SEEDS sets the number of seeds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_cluster.h"
#include "unit.h"

enum {
	SEEDS = 12,
	STEPS = 300,
	STEP_MS = 40,
	SETTLE_MS = 60000,
	TASKS_MAX = 30,
	LONG_ONE_IN = 50,
	LIMIT_MS = 3500
};

static void submit_some(struct cluster *w)
{
	static const char *const kinds[] = {"job", "print", "view"};
	struct cluster_task tasks[TASKS_MAX];
	uint32_t k, n = 1 + (uint32_t)rng_below(&w->rng, TASKS_MAX);
	int kind = (int)rng_below(&w->rng, 3);
	int i = (int)rng_below(&w->rng, (uint64_t)w->n_instances);

	if (!w->instances[i].alive || w->instances[i].paused_until > w->now)
		return;
	if (kind == 2)
		n = 1;
	for (k = 0; k < n; k++) {
		tasks[k].run_ms = 5 + (uint32_t)rng_below(&w->rng, 200);
		if (!rng_below(&w->rng, LONG_ONE_IN))
			tasks[k].run_ms += 500 +
					   (uint32_t)rng_below(&w->rng, 2500);
		tasks[k].end = CLUSTER_ANSWERS;
		if (!rng_below(&w->rng, 40))
			tasks[k].end = 1 + (uint32_t)rng_below(&w->rng, 5);
	}
	cluster_submit(w, i, (int)rng_below(&w->rng, 4), kinds[kind], n, tasks,
		       rng_below(&w->rng, 4) ? 0 : 300);
}

static int living(const struct cluster *w)
{
	int i, n = 0;

	for (i = 0; i < w->n_instances; i++)
		n += w->instances[i].alive;
	return n;
}

static void disturb(struct cluster *w)
{
	int i = (int)rng_below(&w->rng, (uint64_t)w->n_instances);

	switch (rng_below(&w->rng, 40)) {
	case 0:
		if (living(w) > 2 && w->instances[i].alive)
			cluster_crash(w, i);
		break;
	case 1:
		if (w->n_instances < 12)
			cluster_join(w);
		break;
	case 2:
		cluster_pause(w, i, (int64_t)rng_below(&w->rng, 900));
		break;
	case 3:
		w->instances[i].side ^= 1;
		break;
	case 4:
		w->targets[0].conf.leaving = !w->targets[0].conf.leaving;
		cluster_list_targets(w);
		break;
	case 5:
		w->targets[1].gone = !w->targets[1].gone;
		break;
	case 6:
		if (w->n_jobs)
			cluster_cancel(w, rng_below(&w->rng, w->n_jobs));
		break;
	default:
		break;
	}
}

static void check(struct cluster *w, uint64_t seed)
{
	uint64_t bad;
	int i;

	bad = w->starts_over_limit + w->starts_over_slots +
	      w->forbidden_reruns + w->answered_twice + w->wrong_answers +
	      w->false_not_run + cluster_open(w);
	if (bad)
		printf("\nseed %llu: over limit %llu, over slots %llu, twice "
		       "%llu, answered "
		       "twice %llu, wrong %llu, not run but ran %llu, open "
		       "%zu\n"
		       "again: SYC_SEED=%llu build/unit dispatch_random\n",
		       (unsigned long long)seed,
		       (unsigned long long)w->starts_over_limit,
		       (unsigned long long)w->starts_over_slots,
		       (unsigned long long)w->forbidden_reruns,
		       (unsigned long long)w->answered_twice,
		       (unsigned long long)w->wrong_answers,
		       (unsigned long long)w->false_not_run, cluster_open(w),
		       (unsigned long long)seed);
	CU_ASSERT_EQUAL(bad, 0);
	for (i = 0; i < w->n_instances; i++) {
		if (!w->instances[i].alive)
			continue;
		CU_ASSERT_EQUAL(cluster_ledger(w, i, "starts"),
				w->instances[i].runs);
		CU_ASSERT_EQUAL(cluster_ledger(w, i, "open"), 0);
	}
}

static void run(uint64_t seed)
{
	struct cluster_options opt = {0};
	struct cluster *w;
	int i;

	opt.seed = seed;
	opt.n_instances = 4;
	opt.n_targets = 10;
	opt.slots_per_target = 4;
	opt.n_callers = 4;
	opt.queue_max = 2000;
	opt.caller_slots[3] = 6;
	opt.time_limit_ms = LIMIT_MS;
	opt.message_delay_max_ms = 30;
	opt.lost_permille = 50;
	opt.repeated_permille = 50;
	opt.is_first_map = true;
	w = cluster_new(&opt);
	for (i = 0; i < STEPS; i++) {
		submit_some(w);
		disturb(w);
		cluster_run(w, STEP_MS);
	}
	for (i = 0; i < w->n_instances; i++)
		w->instances[i].side = 0;
	cluster_run(w, SETTLE_MS);
	check(w, seed);
	cluster_free(w);
}

static void promises_hold_under_faults(void)
{
	const char *one = getenv("SYC_SEED");
	const char *many = getenv("SYC_SEEDS");
	uint64_t seed, n = many ? strtoull(many, NULL, 10) : SEEDS;

	if (one) {
		run(strtoull(one, NULL, 10));
		return;
	}
	for (seed = 1; seed <= n; seed++)
		run(seed);
}

SUITE(dispatch_random)
{
	TEST(promises_hold_under_faults);
}
