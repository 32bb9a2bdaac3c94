/*
 * Runs the randomised simulation of the coordination over a range of seeds:
 * soak FIRST LAST [MS]. A failing seed prints the command that repeats it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/coord_sim.h"
#include "util/log.h"

enum { RUN_MS = 120000 };

int main(int argc, char **argv)
{
	static struct coord_sim sim;
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	uint64_t seed, last;
	int64_t ms;
	int has_failed = 0;

	if (argc < 3)
		return 2;
	log_init(&log);
	seed = strtoull(argv[1], NULL, 10);
	last = strtoull(argv[2], NULL, 10);
	sim.quiet = false;
	ms = argc > 3 ? strtoll(argv[3], NULL, 10) : RUN_MS;
	for (; seed <= last; seed++) {
		unsigned violations;

		memset(&sim.rules, true, sizeof(sim.rules));
		violations = coord_sim_run_random(&sim, seed, ms);
		if (violations) {
			printf("seed %llu: %u second starts, %u false not_run, "
			       "%u failures to recover; repeat: make soak "
			       "SEEDS=%llu..%llu MS=%lld\n",
			       (unsigned long long)seed, sim.second_starts,
			       sim.false_not_run, sim.recovery_failures,
			       (unsigned long long)seed,
			       (unsigned long long)seed, (long long)ms);
			has_failed = 1;
		}
		coord_sim_free(&sim);
	}
	return has_failed;
}
