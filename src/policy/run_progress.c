#include "policy/run_progress.h"

enum {
	PERCENT = 100,
	/* Longer than by declared times that are off and by chance. */
	BEHIND_FACTOR = 3,
	/* A run shows its pace after this part of the usual time. */
	SHOWS_DIVISOR = 8,
	SHOWS_MIN_MS = 40,
	/* An ended run says something about its worker for this time. */
	ENDED_COUNTS_MS = 2000,
	RUNS_TO_SUSPECT = 2,
	/* More slow workers than one in this many have a common cause. */
	WORKERS_PER_SLOW = 4,
	WORKERS_PER_STOP = 10, /* in a second */
	SECOND_MS = 1000
};

bool run_progress_shows(const struct run_progress *r)
{
	return r->elapsed_ms >= SHOWS_MIN_MS &&
	       r->elapsed_ms * SHOWS_DIVISOR >= r->usual_ms;
}

/* The part of its work that the run may have done at most. */
static double max_done(const struct run_progress *r)
{
	return (double)(r->percent + 1) / PERCENT;
}

bool run_progress_is_behind(const struct run_progress *r)
{
	double total_ms = r->elapsed_ms / max_done(r);

	if (!run_progress_shows(r) || r->percent >= PERCENT)
		return false;
	return total_ms > BEHIND_FACTOR * r->usual_ms &&
	       total_ms - r->elapsed_ms > r->left_ms;
}

bool run_progress_restart_helps(const struct run_progress *r, double delay_ms)
{
	return delay_ms + r->usual_ms <= r->left_ms;
}

bool run_progress_was_behind(double actual_ms, double usual_ms)
{
	return actual_ms > BEHIND_FACTOR * usual_ms;
}

static bool is_recent(int64_t at, int64_t now)
{
	return at && now - at <= ENDED_COUNTS_MS;
}

bool worker_pace_is_slow(const struct worker_pace *p, int64_t now)
{
	uint32_t n = p->n_behind;

	if (p->n_at_pace || p->at_pace_at > p->behind_at)
		return false;
	n += is_recent(p->behind_at, now);
	return n >= RUNS_TO_SUSPECT;
}

bool stop_budget_take(struct stop_budget *b, int64_t now, uint32_t n_workers,
		      uint32_t n_slow)
{
	if (n_slow > 1 && n_slow * WORKERS_PER_SLOW > n_workers)
		return false;
	if (now - b->second_at >= SECOND_MS) {
		b->second_at = now;
		b->n_stopped = 0;
	}
	if (b->n_stopped >= n_workers / WORKERS_PER_STOP + 1)
		return false;
	b->n_stopped++;
	return true;
}
