/*
 * Limits the log of a loaded instance to a number of lines per second, because
 * a line for each decision would cost too much at high load. Above the limit,
 * lines about jobs are left out by a hash of the job's id. So all lines of a
 * job are kept or none, and all instances keep the same jobs. All lines about
 * no job are kept.
 */
#ifndef UTIL_LOG_BUDGET_H
#define UTIL_LOG_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum { LOG_BUDGET_ALL = 65536 /* the share that keeps all jobs */ };

struct log_budget {
	uint32_t lines_per_s; /* zero: no limit */
	int64_t second_started_at; /* the current second */
	uint32_t offered, written; /* lines in the current second */
	uint32_t kept_share; /* of jobs, out of LOG_BUDGET_ALL */
	uint64_t left_out; /* lines in total */
};

void log_budget_init(struct log_budget *b, uint32_t lines_per_s);
/* Starts the next second when it is due. Returns whether the share changed. */
bool log_budget_advance(struct log_budget *b, int64_t now_ms);
/*
 * Counts a line and returns whether it may be written. `job` is NULL for a
 * line about no job.
 */
bool log_budget_admit(struct log_budget *b, const char *job);

#endif
