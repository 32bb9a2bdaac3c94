/*
 * Finds runs that fall behind on a worker that has turned slow, by the progress
 * that its lists show, and decides whether a run is to be started again
 * elsewhere.
 */
#ifndef POLICY_RUN_PROGRESS_H
#define POLICY_RUN_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

/* A run as the newest list of its worker shows it. All times are in ms. */
struct run_progress {
	double elapsed_ms; /* from its start to the list */
	uint32_t percent; /* of its work that is done */
	double usual_ms; /* run time of such a task on a usual worker */
	double left_ms; /* from the list to the objective of its job */
};

/* What is known of the pace of the runs on one worker. */
struct worker_pace {
	uint32_t n_behind; /* active runs that are behind, of different jobs */
	uint32_t n_at_pace; /* active runs that are not, of those that show */
	int64_t behind_at; /* when a run that was behind last ended */
	int64_t at_pace_at; /* when another run last ended as done */
};

/* How many runs a driver has stopped lately. */
struct stop_budget {
	int64_t second_at; /* when the second began in which it counts */
	uint32_t n_stopped; /* in this second */
};

/* Whether the run has too little progress and would miss the objective. */
bool run_progress_is_behind(const struct run_progress *r);
/* Whether a run has gone on for long enough to be judged. */
bool run_progress_shows(const struct run_progress *r);
/*
 * Whether the task would be in time if it were stopped and started elsewhere;
 * `delay_ms` is the time until that start.
 */
bool run_progress_restart_helps(const struct run_progress *r, double delay_ms);
/* Whether a run that took `actual_ms` in all was behind. */
bool run_progress_was_behind(double actual_ms, double usual_ms);

/* Whether the worker has turned slow. */
bool worker_pace_is_slow(const struct worker_pace *p, int64_t now);

/*
 * Takes one stop from the budget; false: it is used up, or so many workers are
 * slow that the cause is a general one.
 */
bool stop_budget_take(struct stop_budget *b, int64_t now, uint32_t n_workers,
		      uint32_t n_slow);

#endif
