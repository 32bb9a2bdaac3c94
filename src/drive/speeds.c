/*
 * Takes samples of the speed of workers from the ends and the progress of
 * their runs, and keeps each worker's factor ready for placement.
 */
#include <math.h>

#include "drive/drive_state.h"

enum {
	/* A list that took longer than a hold may have hidden the run's end. */
	LIST_GAP_MAX_MS = 100,
	START_ANSWER_MAX_MS = 50, /* the run may have begun later than asked */
	PROGRESS_MIN_MS = 100, /* less shows too little of a run */
	PROGRESS_DIVISOR = 4, /* and so does less of its expected time */
	/* A run of this time says half as much as one that is very long. */
	HALF_WEIGHT_MS = 50
};

/* A worker with a greater ratio to its usual factor counts as slowed. */
static const double slowed_ratio = 1.5;

void speeds_refresh(struct drive *d, struct worker *w, int64_t now)
{
	w->factor = worker_speed_factor(&d->speeds, &w->speed, now);
	if (now < w->cold_until)
		w->factor *= worker_speed_cold_factor(&d->speeds);
}

void speeds_begin_life(struct drive *d, struct worker *w, int64_t now)
{
	worker_speed_begin(&d->speeds, &w->speed, w->info.kind);
	speeds_refresh(d, w, now);
}

void speeds_count(const struct drive *d, const struct worker *w,
		  struct drive_counts *counts)
{
	uint64_t percent = (uint64_t)(w->factor * 100 + 0.5);
	double usual = worker_speed_usual_factor(&d->speeds, &w->speed);

	if (!counts->factor_min_percent || percent < counts->factor_min_percent)
		counts->factor_min_percent = percent;
	if (percent > counts->factor_max_percent)
		counts->factor_max_percent = percent;
	counts->workers_slowed += w->factor > usual * slowed_ratio;
}

static bool was_seen_in_time(const struct drive *d, const struct worker *w,
			     const struct run *r, int64_t now)
{
	int64_t seen_at = w->previous_lists_at > r->sent_at
				  ? w->previous_lists_at
				  : r->sent_at;

	return now - seen_at <= d->opt.hold_wait_ms + LIST_GAP_MAX_MS &&
	       r->running_at - r->sent_at <= START_ANSWER_MAX_MS;
}

/* How wrong the job's estimate seems, from its tasks that have ended. */
static double job_excess(const struct job *j)
{
	return j->excess_sum / (j->n_excess + 1);
}

static struct speed_sample sample_of(const struct job *j, double usual_ms,
				     double actual_ms)
{
	return (struct speed_sample){
		.log_ratio = log(actual_ms / usual_ms) - job_excess(j),
		.weight = usual_ms / (usual_ms + HALF_WEIGHT_MS),
		.source = j->handle,
	};
}

static double usual_ms_of(const struct job *j)
{
	return run_time_expected_ms(j->run_time, j->estimate_ms);
}

static void learn_end(struct drive *d, struct worker *w, struct run *r,
		      struct job *j, double actual_ms, int64_t now)
{
	double usual_ms = usual_ms_of(j);
	struct speed_sample s = sample_of(j, usual_ms, actual_ms);

	if (r->began_cold)
		worker_speed_learn_cold(&d->speeds, &w->speed, s.log_ratio);
	else
		worker_speed_learn(&d->speeds, &w->speed, &s, now);
	j->excess_sum += log(actual_ms / usual_ms / w->factor);
	j->n_excess++;
}

void speeds_learn_end(struct drive *d, struct worker *w, struct run *r,
		      int64_t now)
{
	struct job *j = job_get(d, r->job);
	double actual_ms = (double)(now - r->sent_at);

	if (!j || r->state != RUN_RUNNING || !r->fence || !j->estimate_ms)
		return;
	if (actual_ms < 1 || !was_seen_in_time(d, w, r, now))
		return;
	if (run_time_is_known(j->run_time))
		learn_end(d, w, r, j, actual_ms, now);
	speeds_refresh(d, w, now);
	run_time_learn(j->run_time, j->estimate_ms, actual_ms, w->factor);
}

void speeds_learn_progress(struct drive *d, struct worker *w, struct run *r,
			   int64_t now)
{
	const struct job *j = job_get(d, r->job);
	double elapsed_ms = (double)(now - r->running_at);
	struct speed_sample s;
	double usual_ms;

	if (!j || !r->fence || r->was_judged || r->began_cold || r->stopping ||
	    !j->estimate_ms || !run_time_is_known(j->run_time))
		return;
	usual_ms = usual_ms_of(j);
	if (elapsed_ms < PROGRESS_MIN_MS ||
	    elapsed_ms < usual_ms * w->factor / PROGRESS_DIVISOR)
		return;
	r->was_judged = true;
	s = sample_of(j, usual_ms, elapsed_ms * 100 / (r->percent + 1));
	worker_speed_learn_progress(&d->speeds, &w->speed, &s, now);
	speeds_refresh(d, w, now);
}
