/*
 * Keeps the log of a loaded instance to so many lines a second. Over that,
 * lines about jobs are left out by the job's id, so that what is kept of a
 * job is whole, and the same jobs are kept on all instances. All other lines
 * are kept. Answers loads at which a line for each decision would be dear.
 */
#ifndef UTIL_LOG_BUDGET_H
#define UTIL_LOG_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum { LOG_BUDGET_ALL = 65536 /* all jobs are kept */ };

struct log_budget {
	uint32_t lines_per_s; /* zero: no bound */
	int64_t began; /* the second at hand */
	uint32_t offered, written; /* in it */
	uint32_t keep; /* jobs of LOG_BUDGET_ALL */
	uint64_t left_out; /* lines, ever */
};

void log_budget_init(struct log_budget *b, uint32_t lines_per_s);
/* Begins the next second when it is due; true when `keep` changed. */
bool log_budget_turn(struct log_budget *b, int64_t now_ms);
/* Whether a line may be written; `job` is NULL for one about no job. */
bool log_budget_take(struct log_budget *b, const char *job);

#endif
