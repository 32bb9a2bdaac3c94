/*
 * Whole fleets under random troubles: no task has two runs at one time, no
 * refusal is false, and all is served again after the troubles.
 * FLEET_SEEDS="first last" plays other seeds, FLEET_MIXED only those with a
 * mix of their own.
 */
#include <stdio.h>
#include <stdlib.h>

#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum { SEED_FIRST = 1, SEED_LAST = 24, RUN_MS = 20000 };

static void quiet_log(void)
{
	struct log_options opt = {.fd = 2, .level = LOG_ERROR};

	if (getenv("FLEET_LOG"))
		opt.level = LOG_INFO;
	log_init(&opt);
}

static void play(unsigned long seed, bool mixed)
{
	char message[200];
	bool ok = fsim_random(seed, RUN_MS, mixed, message, sizeof(message));

	CU_ASSERT(ok);
	if (!ok)
		printf("\nfleet seed %lu%s: %s\n", seed, mixed ? " mixed" : "",
		       message);
}

/* Each broke a promise once. */
static void seeds_that_found_faults(void)
{
	static const unsigned long seeds[] = {5353, 9849};
	static const unsigned long mixed[] = {840, 2420};
	size_t i;

	quiet_log();
	for (i = 0; i < sizeof(seeds) / sizeof(*seeds); i++)
		play(seeds[i], false);
	for (i = 0; i < sizeof(mixed) / sizeof(*mixed); i++)
		play(mixed[i], true);
}

static void random_troubles(void)
{
	unsigned long first = SEED_FIRST, last = SEED_LAST, seed;
	const char *env = getenv("FLEET_SEEDS");

	quiet_log();
	if (env)
		sscanf(env, "%lu %lu", &first, &last);
	for (seed = first; seed <= last; seed++)
		if (!getenv("FLEET_MIXED"))
			play(seed, false);
	for (seed = first; seed <= last; seed++)
		play(seed, true);
}

SUITE(fleet_random)
{
	TEST(seeds_that_found_faults);
	TEST(random_troubles);
}
