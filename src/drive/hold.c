/*
 * Renews the lease of each worker and reads what runs and what has ended
 * there. Every list that comes back proves something about the runs that
 * were started with a lower fence than the list was asked with: what it
 * does not name is over, or can no longer begin.
 */
#include "drive/drive_state.h"

enum {
	RETRY_MS = 30, /* pause after a hold that failed */
	RETRY_LATER_MS = 150, /* once it has been silent for long */
	SILENT_LONG_MS = 500,
	PROBE_AFTER_MS = 10 /* a start answered this long ago must be listed */
};

static const uint32_t at_once = 0;

static void send_hold(struct drive *d, struct worker *w, uint32_t wait_ms,
		      bool probe, int64_t now)
{
	struct drive_hold call = {
		.worker = &w->info,
		.fence = worker_fence(d, w),
		.cursor = w->cursor,
		.wait_ms = wait_ms,
	};
	struct hold_call *h;
	void *item;

	/*
	 * A worker that does not answer may hear us all the same: what is
	 * sent to it must not go on prolonging what runs there. Nor may we
	 * prolong what an earlier driver started and may be watching lapse.
	 */
	if (w->has_clock && !probe && !w->silent_since && !w->n_strays)
		call.lease_expires_at = worker_lease(d, w, now);
	call.call = table_add(&d->holds, &item);
	h = item;
	h->worker = w->handle;
	h->fence = call.fence;
	h->sent_at = now;
	h->probe = probe;
	h->leased = call.lease_expires_at != 0;
	d->counts.holds++;
	d->opt.hold(d->opt.ctx, &call);
}

static bool fresh(const struct drive *d, const struct worker *w)
{
	return w->has_clock && worker_held(d, w);
}

void hold_tick(struct drive *d, struct worker *w, int64_t now)
{
	if (!d->active || !worker_ours(d, w))
		return;
	if (w->n_runs && w->lease_over && now > w->lease_over)
		hold_lost(d, w, now, "lease_ended");
	if (w->waiting_open || now < w->hold_at)
		return;
	if (!w->listed && !w->n_runs && !worker_unseen(d, w, 0, now))
		return;
	w->waiting_open = true;
	send_hold(d, w, fresh(d, w) ? d->opt.hold_wait_ms : at_once, false,
		  now);
}

void hold_probe(struct drive *d, struct worker *w, int64_t now)
{
	if (!d->active || w->probe_open || !worker_ours(d, w))
		return;
	if (w->fence_step + 1 < DRIVE_FENCES_PER_EPOCH)
		w->fence_step++;
	w->probe_open = true;
	send_hold(d, w, at_once, true, now);
}

void hold_lost(struct drive *d, struct worker *w, int64_t now, const char *why)
{
	struct list *pos, *after;

	log_info("worker_lost", LOG_S("worker", w->info.name),
		 LOG_S("why", why), LOG_U("runs", w->n_runs),
		 LOG_I("lease_ended_ms", now - w->lease_over));
	LIST_EACH(pos, after, &w->runs)
	{
		struct run *r = LIST_ITEM(pos, struct run, of_worker);

		run_over(d, r, DRIVE_RUN_EXPIRED, now);
	}
}

void hold_other_life(struct drive *d, struct worker *w, int64_t now)
{
	w->ended = true;
	hold_lost(d, w, now, "other_life");
}

static void renewed(struct drive *d, struct worker *w, int64_t sent_at)
{
	int64_t until = sent_at + d->opt.lease_ms;

	if (until > w->lease_until)
		w->lease_until = until;
}

static void take_ends(struct drive *d, struct worker *w,
		      const struct drive_hold_answer *held, int64_t now)
{
	struct run *r;
	size_t i;

	for (i = 0; i < held->n_ended; i++) {
		const struct drive_ended_run *e = &held->ended[i];

		if (e->sequence <= w->cursor)
			continue;
		w->cursor = e->sequence;
		r = run_on(d, w, &e->task, e->run);
		if (r)
			run_over(d, r, e->result, now);
		else if (!run_find(d, &e->task))
			run_keep_end(d, w, e, now);
	}
}

static void mark_running(struct run *r, const struct drive_active_run *row,
			 int64_t now)
{
	run_runs(r, now);
	if (row->percent != r->percent)
		r->percent_at = now;
	r->percent = row->percent;
}

static void take_running(struct drive *d, struct worker *w,
			 const struct drive_hold_answer *held, int64_t now)
{
	struct run *r;
	size_t i;

	for (i = 0; i < held->n_running; i++) {
		const struct drive_active_run *row = &held->running[i];

		r = run_on(d, w, &row->task, row->run);
		if (r)
			mark_running(r, row, now);
		else
			run_adopt(d, w, row, now);
	}
}

static bool is_listed(const struct run *r, const struct drive_hold_answer *held)
{
	size_t i;

	for (i = 0; i < held->n_running; i++)
		if (held->running[i].run == r->number &&
		    !memcmp(&held->running[i].task, &r->task, sizeof(r->task)))
			return true;
	return false;
}

/* Runs that the list would name if they ran, or could still begin. */
static bool list_covers(const struct run *r, const struct hold_call *h)
{
	if (r->state == RUN_RUNNING)
		return r->running_at + PROBE_AFTER_MS < h->sent_at;
	return r->fence < h->fence;
}

static void end_unlisted(struct drive *d, struct worker *w,
			 const struct hold_call *h,
			 const struct drive_hold_answer *held, int64_t now)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &w->runs)
	{
		struct run *r = LIST_ITEM(pos, struct run, of_worker);

		if (!list_covers(r, h) || is_listed(r, held))
			continue;
		run_over(d, r, DRIVE_RUN_OTHER, now);
	}
}

static void take_lists(struct drive *d, struct worker *w,
		       const struct hold_call *h,
		       const struct drive_hold_answer *held, int64_t now)
{
	worker_note_clock(w, now, &held->answer);
	if (h->leased)
		renewed(d, w, h->sent_at);
	if (w->silent_since)
		log_info("worker_answers", LOG_S("worker", w->info.name),
			 LOG_I("silent_ms", now - w->silent_since));
	w->silent_since = 0;
	if (h->fence > w->held_fence)
		w->held_fence = h->fence;
	if (h->sent_at > w->proved_at)
		w->proved_at = h->sent_at;
	take_ends(d, w, held, now);
	take_running(d, w, held, now);
	end_unlisted(d, w, h, held, now);
	d->room_changed = true;
}

static void fell_silent(struct drive *d, struct worker *w, int64_t now)
{
	if (w->silent_since)
		return;
	w->silent_since = now;
	w->held_fence = 0; /* another may drive it until it answers again */
	log_info("worker_silent", LOG_S("worker", w->info.name),
		 LOG_U("runs", w->n_runs),
		 LOG_I("lease_left_ms", w->lease_over - now));
}

static void refused_by_fence(struct drive *d, struct worker *w,
			     const struct hold_call *h, int64_t now)
{
	uint64_t epoch;

	w->hold_at = now + RETRY_MS;
	/* An older call that a later one of ours overtook. */
	if (h->fence != worker_fence(d, w))
		return;
	w->held_fence = 0;
	epoch = d->opt.fenced(d->opt.ctx, &w->info);
	if (epoch > w->epoch)
		w->epoch = epoch;
}

void drive_hold_answered(struct drive *d, int64_t now, uint64_t call,
			 const struct drive_hold_answer *held)
{
	struct hold_call *at = table_get(&d->holds, call);
	struct hold_call h;
	struct worker *w;

	if (!at)
		return;
	h = *at;
	table_del(&d->holds, call);
	w = worker_get(d, h.worker);
	if (!w)
		return;
	if (h.probe)
		w->probe_open = false;
	else
		w->waiting_open = false;
	if (!d->active || h.fence < d->epoch * DRIVE_FENCES_PER_EPOCH)
		return;
	w->hold_at = now;
	if (held->answer.result == DRIVE_CALL_DONE) {
		take_lists(d, w, &h, held, now);
		hold_tick(d, w, now);
	} else if (held->answer.result == DRIVE_CALL_OTHER_INCARNATION) {
		hold_other_life(d, w, now);
	} else if (held->answer.result == DRIVE_CALL_FENCED) {
		refused_by_fence(d, w, &h, now);
	} else {
		fell_silent(d, w, now);
		w->hold_at = now + (now - w->silent_since < SILENT_LONG_MS
					    ? RETRY_MS
					    : RETRY_LATER_MS);
	}
	queue_run(d, now);
}
