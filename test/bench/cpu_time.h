/* The clock of the measuring programs. */
#ifndef BENCH_CPU_TIME_H
#define BENCH_CPU_TIME_H

#include <time.h>

/* Processor time of this process in seconds. */
static inline double cpu_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

#endif
