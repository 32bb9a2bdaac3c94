/*
 * The randomised run at fixed seeds; make soak SEEDS=a..b runs any others.
 * A failing seed prints the command that repeats it.
 */
#include <stdio.h>
#include <string.h>

#include "sim/coord_sim.h"
#include "unit.h"
#include "util/log.h"

enum { SEEDS = 16, RUN_MS = 60000 };

static struct coord_sim s;

static void fixed_seeds_keep_every_promise(void)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	uint64_t seed;
	unsigned broken;

	log_init(&log);
	for (seed = 1; seed <= SEEDS; seed++) {
		memset(&s.rules, true, sizeof(s.rules));
		s.quiet = false;
		broken = coord_sim_run_random(&s, seed, RUN_MS);
		CU_ASSERT_EQUAL(broken, 0);
		if (broken)
			printf("repeat: make soak SEEDS=%d..%d MS=%d\n",
			       (int)seed, (int)seed, RUN_MS);
		CU_ASSERT_TRUE(s.runs > 50);
		coord_sim_free(&s);
	}
}

SUITE(coord_random)
{
	TEST(fixed_seeds_keep_every_promise);
}
