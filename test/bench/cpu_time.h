/* The processor clock of the benchmarks. */
#ifndef BENCH_CPU_TIME_H
#define BENCH_CPU_TIME_H

#include <time.h>

/* Returns the processor time of this process in seconds. */
static inline double cpu_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

#endif
