/*
 * Tells the incarnations of a worker apart. The present one is that which
 * answered the last call; their times of birth are never compared, as a clock
 * may be set back. See docs/design/worker-incarnations.md.
 */
#include "drive/drive_state.h"

bool incarnation_is_earlier(const struct worker *w, const struct run *r)
{
	return r->born_ms && r->born_ms != w->info.born_ms;
}

/* Forgets what does not hold for another incarnation. */
static void forget_earlier(struct worker *w, int64_t now)
{
	w->is_replaced = false;
	w->confirmed_fence = 0;
	w->confirmed_at = 0;
	w->hold_in_flight = w->probe_in_flight = false;
	w->hold_call = 0;
	w->hold_overdue_at = 0;
	w->lists_missed = 0;
	w->limit = (struct call_limit){0};
	w->answered_at = 0;
	w->next_hold_at = now;
	w->has_clock = false;
	w->lease_held_until = 0;
	w->cursor = w->acknowledged = 0;
	w->losses_seen = 0;
	w->exclusive_lost_at = 0;
	w->failures_in_row = w->ejections_in_row = 0;
	w->ejected_until = 0;
	w->full_in_row = 0;
	w->full_until = 0;
	w->on_probation = false;
}

/*
 * Its runs remain until a list of the new incarnation decides about them, as a
 * start may have been carried out by the new one.
 */
static void begin(struct drive *d, struct worker *w, int64_t born_ms,
		  int64_t now)
{
	if (d->active) {
		d->counts.restarts++;
		log_info("worker_restarted", LOG_S("worker", w->info.name),
			 LOG_I("born_ms", born_ms),
			 LOG_I("earlier_born_ms", w->info.born_ms),
			 LOG_U("runs", w->n_runs));
	}
	if (w->asked_born_ms != born_ms) {
		w->has_left = w->info.leaving;
		w->info.leaving = false;
	}
	w->earlier_born_ms = w->info.born_ms;
	w->info.born_ms = born_ms;
	forget_earlier(w, now);
	speeds_begin_life(d, w, now);
	/* The new one may have carried out a start a moment ago. */
	if (w->n_runs)
		worker_assume_renewed(d, w, now);
	/* No start that was sent to the earlier one may begin any more. */
	worker_raise_fence(d, w);
	hold_probe(d, w, now);
}

enum answer_source incarnation_check(struct drive *d, struct worker *w,
				     int64_t sent_to,
				     const struct drive_call_answer *answer,
				     int64_t now)
{
	int64_t present = w->info.born_ms, born_ms = answer->born_ms;

	/* That answer is of a worker with another name. */
	if (answer->result == DRIVE_CALL_OTHER_INCARNATION)
		born_ms = 0;
	if (!born_ms)
		return sent_to && sent_to != present ? ANSWER_OTHER
						     : ANSWER_PRESENT;
	if (!present)
		w->info.born_ms = born_ms;
	if (!present || born_ms == present)
		return ANSWER_PRESENT;
	/* Which of the two is younger is not known. */
	if (sent_to != present)
		return ANSWER_OTHER;
	begin(d, w, born_ms, now);
	return ANSWER_PRESENT;
}

void incarnation_note_listed(struct drive *d, struct worker *w,
			     const struct drive_worker *info, int64_t now)
{
	int64_t present = w->info.born_ms;
	bool was_leaving = w->info.leaving;

	/* An old entry, which the worker has not replaced yet. */
	if (info->born_ms && info->born_ms == w->earlier_born_ms)
		return;
	w->info = *info;
	if (!present || !info->born_ms || info->born_ms == present) {
		if (present)
			w->info.born_ms = present;
		return;
	}
	w->info.born_ms = present;
	if (info->born_ms == w->asked_born_ms)
		return;
	w->asked_born_ms = info->born_ms;
	w->has_left = was_leaving;
	if (!d->active || w->is_replaced) {
		begin(d, w, info->born_ms, now);
		return;
	}
	/* An entry ends no run: the worker is asked. */
	w->confirmed_fence = 0;
	worker_raise_fence(d, w);
	hold_probe(d, w, now);
}
