/* Tests of what is learned of the speed of workers. */
#include <math.h>
#include <string.h>

#include "policy/worker_speed.h"
#include "unit.h"
#include "util/rng.h"

enum { WORKERS = 60, RUNS = 24, NOW = 1000 };

/* Log-normal noise of about the given deviation, from four uniform draws. */
static double noise(struct rng *r, double deviation)
{
	double sum = 0;
	int i;

	for (i = 0; i < 4; i++)
		sum += (double)rng_below(r, 10001) / 10000 - 0.5;
	return sum * deviation * sqrt(3);
}

static void learn(struct worker_speeds *all, struct worker_speed *w,
		  double ratio, uint64_t source, int64_t now)
{
	struct speed_sample s = {log(ratio), 1, source};

	worker_speed_learn(all, w, &s, now);
}

/* Workers of three factors, of which the first two share a kind. */
static void learn_fleet(struct worker_speeds *all, struct worker_speed *w,
			const double *factors, int n_runs)
{
	struct rng r = {1};
	int i, k;

	memset(all, 0, sizeof(*all));
	memset(w, 0, WORKERS * sizeof(*w));
	for (i = 0; i < WORKERS; i++)
		worker_speed_begin(all, &w[i], i % 3 < 2 ? "a" : "b");
	for (k = 0; k < n_runs; k++)
		for (i = 0; i < WORKERS; i++)
			learn(all, &w[i], factors[i % 3] * exp(noise(&r, 0.3)),
			      (uint64_t)k, NOW);
}

static void factors_of_workers_of_one_kind_are_told_apart(void)
{
	static const double factors[] = {1.25, 1, 0.8};
	struct worker_speeds all;
	struct worker_speed w[WORKERS];
	double error = 0;
	int i;

	learn_fleet(&all, w, factors, RUNS);
	for (i = 0; i < WORKERS; i++)
		error += fabs(log(worker_speed_factor(&all, &w[i], NOW) /
				  factors[i % 3]));
	CU_ASSERT(error / WORKERS < 0.07);
}

static void a_common_factor_is_left_to_the_routes(void)
{
	static const double factors[] = {2.5, 2, 1.6};
	struct worker_speeds all;
	struct worker_speed w[WORKERS];
	double sum = 0;
	int i;

	learn_fleet(&all, w, factors, RUNS);
	for (i = 0; i < WORKERS; i++)
		sum += log(worker_speed_factor(&all, &w[i], NOW));
	CU_ASSERT_DOUBLE_EQUAL(sum / WORKERS, 0, 0.02);
}

static void a_new_life_begins_with_its_kind(void)
{
	static const double factors[] = {2, 2, 0.5};
	struct worker_speeds all;
	struct worker_speed w[WORKERS];

	learn_fleet(&all, w, factors, RUNS);
	worker_speed_begin(&all, &w[0], "b");
	CU_ASSERT(worker_speed_factor(&all, &w[0], NOW) < 0.65);
	worker_speed_begin(&all, &w[0], "a");
	CU_ASSERT(worker_speed_factor(&all, &w[0], NOW) > 1.1);
}

static void a_change_is_seen_after_two_runs_and_passes(void)
{
	static const double factors[] = {1, 1, 1};
	struct worker_speeds all;
	struct worker_speed w[WORKERS];

	learn_fleet(&all, w, factors, RUNS);
	learn(&all, &w[0], 6, 100, NOW);
	CU_ASSERT(worker_speed_factor(&all, &w[0], NOW) < 1.3);
	learn(&all, &w[0], 6, 100, NOW);
	CU_ASSERT(worker_speed_factor(&all, &w[0], NOW) < 1.3);
	learn(&all, &w[0], 6, 101, NOW);
	CU_ASSERT(worker_speed_factor(&all, &w[0], NOW) > 4);
	CU_ASSERT(worker_speed_usual_factor(&all, &w[0]) < 1.3);
	CU_ASSERT(worker_speed_factor(&all, &w[0], NOW + 500) > 3);
	CU_ASSERT(worker_speed_factor(&all, &w[0], NOW + 10000) < 1.3);
	learn(&all, &w[0], 1, 102, NOW + 100);
	learn(&all, &w[0], 1, 103, NOW + 100);
	CU_ASSERT(worker_speed_factor(&all, &w[0], NOW + 100) < 1.4);
}

static void progress_counts_only_if_it_shows_a_change(void)
{
	struct speed_sample s = {log(2), 1, 1};
	struct worker_speeds all = {0};
	struct worker_speed w = {0}, other = {0};

	worker_speed_begin(&all, &w, "a");
	worker_speed_begin(&all, &other, "a");
	worker_speed_learn_progress(&all, &w, &s, NOW);
	CU_ASSERT_DOUBLE_EQUAL(worker_speed_factor(&all, &w, NOW), 1, 0.001);
	s.log_ratio = log(5);
	worker_speed_learn_progress(&all, &w, &s, NOW);
	s.source = 2;
	worker_speed_learn_progress(&all, &w, &s, NOW);
	CU_ASSERT(worker_speed_factor(&all, &w, NOW) > 4);
}

static void the_slowness_of_cold_workers_is_learned(void)
{
	struct worker_speeds all = {0};
	struct worker_speed w = {0};
	int i;

	worker_speed_begin(&all, &w, "a");
	CU_ASSERT(worker_speed_cold_factor(&all) > 1.5);
	for (i = 0; i < 40; i++)
		worker_speed_learn_cold(&all, &w, log(3));
	CU_ASSERT_DOUBLE_EQUAL(worker_speed_cold_factor(&all), 3, 0.2);
	CU_ASSERT_DOUBLE_EQUAL(worker_speed_factor(&all, &w, NOW), 1, 0.001);
}

SUITE(policy_speed)
{
	TEST(factors_of_workers_of_one_kind_are_told_apart);
	TEST(a_common_factor_is_left_to_the_routes);
	TEST(a_new_life_begins_with_its_kind);
	TEST(a_change_is_seen_after_two_runs_and_passes);
	TEST(progress_counts_only_if_it_shows_a_change);
	TEST(the_slowness_of_cold_workers_is_learned);
}
