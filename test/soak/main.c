/*
 * Runs the randomised coordination run over a range of seeds:
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
	static struct coord_sim s;
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	uint64_t seed, last;
	int64_t ms;
	int bad = 0;

	if (argc < 3)
		return 2;
	log_init(&log);
	seed = strtoull(argv[1], NULL, 10);
	last = strtoull(argv[2], NULL, 10);
	s.quiet = false;
	ms = argc > 3 ? strtoll(argv[3], NULL, 10) : RUN_MS;
	for (; seed <= last; seed++) {
		unsigned broken;

		memset(&s.rules, true, sizeof(s.rules));
		broken = coord_sim_run_random(&s, seed, ms);
		if (broken) {
			printf("seed %llu: %u second starts, %u false not_run, "
			       "%u stuck; repeat: make soak SEEDS=%llu..%llu "
			       "MS=%lld\n",
			       (unsigned long long)seed, s.second_starts,
			       s.false_not_run, s.recovery_failures,
			       (unsigned long long)seed,
			       (unsigned long long)seed, (long long)ms);
			bad = 1;
		}
		coord_sim_free(&s);
	}
	return bad;
}
