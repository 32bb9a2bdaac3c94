/*
 * A second way to learn ends: while calls are left unanswered, the answer to
 * the waiting hold may be lost, so a list is asked for beside it when the end
 * of a run is due.
 */
#include "drive/drive_state.h"

enum {
	LIST_PAUSE_MS = 30, /* between two such lists of one worker */
	/* Lower percentages are too coarse to tell when a run ends. */
	PROGRESS_MIN_PERCENT = 5,
	LATE_MAX_MS = 50 /* a driver that is later has other things to do */
};

void due_set(const struct drive *d, const struct worker *w, struct run *r,
	     const struct job *j)
{
	r->due_at = r->sent_at + (int64_t)worker_expected_ms(d, w, j);
}

void due_note_running(struct run *r, int64_t now)
{
	int64_t elapsed_ms = now - r->sent_at;

	/* An adopted run began at an unknown time. */
	if (r->fence && r->percent >= PROGRESS_MIN_PERCENT && r->percent < 100)
		r->due_at = r->sent_at + elapsed_ms * 100 / r->percent;
	if (r->due_at < now + LIST_PAUSE_MS)
		r->due_at = now + LIST_PAUSE_MS;
}

static bool may_list(const struct drive *d, const struct worker *w, int64_t now)
{
	if (w->unresponsive_since || w->probe_in_flight || !w->hold_in_flight)
		return false;
	if (now < w->next_list_at || !call_limits_lossy(&d->call_limits))
		return false;
	return d->opt.get_late_ms(d->opt.ctx) <= LATE_MAX_MS;
}

void due_tick(struct drive *d, struct worker *w, struct run *r, int64_t now)
{
	if (!r->fence || now < r->due_at || !may_list(d, w, now))
		return;
	w->next_list_at = now + LIST_PAUSE_MS;
	r->due_at = now + LIST_PAUSE_MS;
	d->counts.lists_due++;
	hold_probe(d, w, now);
}
