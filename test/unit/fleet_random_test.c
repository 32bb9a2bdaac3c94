/*
 * Tests of whole fleets under random faults: no task has two runs at one time,
 * no job is answered as not run after a start, and all jobs are served after
 * the faults. FLEET_SEEDS="first last" selects the seeds, and FLEET_MIXED
 * leaves out the plain runs.
 */
#include <stdio.h>
#include <stdlib.h>

#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum { SEED_FIRST = 1, SEED_LAST = 24, RUN_MS = 20000 };

static void init_log(void)
{
	struct log_options opt = {.fd = 2, .level = LOG_ERROR};

	if (getenv("FLEET_LOG"))
		opt.level = LOG_INFO;
	log_init(&opt);
}

static void run_seed(unsigned long seed, bool mixed)
{
	char message[200];
	bool ok = fsim_run_random(seed, RUN_MS, mixed, message,
				  sizeof(message));

	CU_ASSERT(ok);
	if (!ok)
		printf("\nfleet seed %lu%s: %s\n", seed, mixed ? " mixed" : "",
		       message);
}

/* Each of these seeds has failed a check once. */
static void seeds_of_past_failures(void)
{
	static const unsigned long seeds[] = {5353, 9849};
	static const unsigned long mixed[] = {840, 2420};
	size_t i;

	init_log();
	for (i = 0; i < sizeof(seeds) / sizeof(*seeds); i++)
		run_seed(seeds[i], false);
	for (i = 0; i < sizeof(mixed) / sizeof(*mixed); i++)
		run_seed(mixed[i], true);
}

static void random_faults(void)
{
	unsigned long first = SEED_FIRST, last = SEED_LAST, seed;
	const char *env = getenv("FLEET_SEEDS");

	init_log();
	if (env)
		sscanf(env, "%lu %lu", &first, &last);
	for (seed = first; seed <= last; seed++)
		if (!getenv("FLEET_MIXED"))
			run_seed(seed, false);
	for (seed = first; seed <= last; seed++)
		run_seed(seed, true);
}

SUITE(fleet_random)
{
	TEST(seeds_of_past_failures);
	TEST(random_faults);
}
