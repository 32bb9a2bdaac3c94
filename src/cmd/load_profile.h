/*
 * The profile of a load run: rates and kinds of submissions, read from an
 * INI file such as conf/load-druckwerk.ini.
 */
#ifndef CMD_LOAD_PROFILE_H
#define CMD_LOAD_PROFILE_H

#include "sycamoreshore/types.h"

enum { LOAD_KINDS_MAX = 16 };

/* One kind of submission. */
struct load_kind {
	char name[SYC_NAME_MAX]; /* a kind of the bundle */
	uint32_t weight;
	bool single; /* a request with one task instead of a job */
	bool keyed; /* carries an idempotency key */
	uint32_t resubmit_percent; /* share of keyed submissions sent twice */
	uint32_t tasks_min, tasks_max;
	uint32_t run_ms_min, run_ms_max;
	uint32_t long_permille; /* share of tasks with a long run time */
	uint32_t long_ms_min, long_ms_max;
	uint32_t declared_off_percent; /* largest error of declared run times */
	uint32_t pad_bytes; /* padding of each body */
	uint32_t cpus, memory_mb, accelerators;
};

struct load_profile {
	uint32_t rate; /* submissions a second outside of bursts */
	uint32_t burst_every_ms; /* interval of bursts; zero: no bursts */
	uint32_t burst_ms;
	uint32_t burst_factor; /* factor of the rate during a burst */
	size_t n_kinds;
	struct load_kind kinds[LOAD_KINDS_MAX];
};

/* Reads a profile. On failure prints an error and returns false. */
bool load_profile_read(struct load_profile *p, const char *path);

/* Returns the mean slot time of a submission in milliseconds, without scale. */
double load_profile_mean_ms(const struct load_profile *p);

#endif
