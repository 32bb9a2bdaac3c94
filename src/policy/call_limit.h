/*
 * Learns how long workers take to answer, and from that how long an answer may
 * take before something follows: the time that nearly all answers of all
 * workers have met, or, for a slow worker, the smoothed mean of its own and a
 * multiple of their deviation, as for a retransmission timeout. It doubles with
 * each call to the worker in a row that was not answered. While many calls are
 * left unanswered a false alarm costs less than waiting, so a start may take
 * only as long as most answers have.
 */
#ifndef POLICY_CALL_LIMIT_H
#define POLICY_CALL_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CALL_LIMIT_MIN_MS = 10,
	CALL_LIMIT_MAX_MS = 120 /* and as long as there are too few samples */
};

/* The answers of one worker. */
struct call_limit {
	double mean_ms, deviation_ms;
	uint32_t n_samples;
	uint32_t misses; /* calls in a row without an answer */
};

/* The answers of all workers. */
struct call_limits {
	uint32_t times[CALL_LIMIT_MAX_MS + 1]; /* number of answers, by ms */
	uint32_t n_times;
	uint32_t n_samples;
	uint32_t most_ms, nearly_all_ms; /* times that so many have met */
	double missed; /* smoothed share of calls without an answer */
};

/*
 * A call that is answered at once was answered after that time. Calls that end
 * at a learned limit give no sample, as it would never grow.
 */
void call_limit_sample(struct call_limits *all, struct call_limit *worker,
		       int64_t answer_ms);
/* A call was answered, whether at once or not. */
void call_limit_answered(struct call_limits *all, struct call_limit *worker);
/* A call was not answered. */
void call_limits_missed(struct call_limits *all);
/* A call was not answered, nor any later one to this worker. */
void call_limit_missed(struct call_limit *worker);

/*
 * The time limit of a list, in ms. Answers may wait `late_ms` before this
 * process reads them.
 */
uint32_t call_limit_ms(const struct call_limits *all,
		       const struct call_limit *worker, uint32_t late_ms);
/* When a start that is not answered is to be followed by a list. */
uint32_t call_limit_start_ms(const struct call_limits *all,
			     const struct call_limit *worker, uint32_t late_ms);

/* Whether so many calls are left unanswered that ends need a second way. */
bool call_limits_lossy(const struct call_limits *all);

#endif
