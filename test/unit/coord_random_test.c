/*
 * Runs the randomised simulation at fixed seeds. The target `soak` runs any
 * other seeds. A failing seed prints the command that repeats it.
 */
#include <stdio.h>
#include <string.h>

#include "sim/coord_sim.h"
#include "unit.h"
#include "util/log.h"

enum { SEEDS = 16, RUN_MS = 60000 };

static struct coord_sim sim;

static void fixed_seeds_keep_all_guarantees(void)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	uint64_t seed;
	unsigned violations;

	log_init(&log);
	for (seed = 1; seed <= SEEDS; seed++) {
		memset(&sim.rules, true, sizeof(sim.rules));
		sim.quiet = false;
		violations = coord_sim_run_random(&sim, seed, RUN_MS);
		CU_ASSERT_EQUAL(violations, 0);
		if (violations)
			printf("repeat: make soak SEEDS=%d..%d MS=%d\n",
			       (int)seed, (int)seed, RUN_MS);
		CU_ASSERT_TRUE(sim.runs > 50);
		coord_sim_free(&sim);
	}
}

SUITE(coord_random)
{
	TEST(fixed_seeds_keep_all_guarantees);
}
