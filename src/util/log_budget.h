/*
 * Limits the log of a loaded instance to a number of lines per second, because
 * a line for each decision would cost too much at high load. Above the limit,
 * a hash of the job's id decides whether the lines about a job are left out. So
 * all lines of a job are kept or none, except when the load changes, and all
 * instances keep the same jobs. Lines that are not about a job are always kept.
 */
#ifndef UTIL_LOG_BUDGET_H
#define UTIL_LOG_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum { LOG_BUDGET_ALL = 65536 /* value of `kept_share` that keeps all jobs */ };

struct log_budget {
	uint32_t lines_per_s; /* zero: no limit */
	int64_t second_started_at; /* ms; start of the current second */
	uint32_t offered, written; /* lines in the current second */
	uint32_t kept_share; /* kept jobs per LOG_BUDGET_ALL jobs */
	uint64_t left_out; /* lines left out since log_budget_init */
};

void log_budget_init(struct log_budget *b, uint32_t lines_per_s);
/* Starts the next second when it is due. Returns whether the share changed. */
bool log_budget_advance(struct log_budget *b, int64_t now_ms);
/*
 * Counts a line and returns whether it may be written. `job` is the id of
 * the job that the line is about, or NULL if it is not about a job.
 */
bool log_budget_admit(struct log_budget *b, const char *job);

#endif
