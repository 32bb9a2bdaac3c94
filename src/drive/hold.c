/*
 * Renews the lease of each worker and reads the lists of its active and ended
 * runs. Each list decides about the runs that were started with a lower fence
 * than the list's request: those that it does not name have ended, or can no
 * longer begin.
 */
#include "drive/drive_state.h"

enum {
	HOLD_RETRY_MS = 30, /* delay after a hold that failed */
	/*
	 * A worker without runs has no lease to renew, so it is only asked
	 * whether it still answers.
	 */
	IDLE_HOLD_MS = 1000,
	HOLD_SLOW_RETRY_MS = 150, /* after SLOW_RETRY_AFTER_MS without answer */
	SLOW_RETRY_AFTER_MS = 500,
	/* A list requested this long after a start's answer names the run. */
	START_LISTED_AFTER_MS = 10
};

static const uint32_t no_wait_ms = 0;

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
	 * An unresponsive worker may still receive calls, and they must not
	 * renew the lease of its runs. Runs that an earlier driver started are
	 * not renewed either, as that driver may wait for their lease to end.
	 */
	if (w->has_clock && !probe && !w->unresponsive_since && !w->n_orphans)
		call.lease_expires_at = worker_grant_lease(d, w, now);
	call.call = table_add(&d->holds, &item);
	h = item;
	h->worker = w->handle;
	h->fence = call.fence;
	h->sent_at = now;
	h->is_probe = probe;
	h->has_lease = call.lease_expires_at != 0;
	d->counts.holds++;
	d->opt.hold(d->opt.ctx, &call);
}

/* Whether nothing runs on the worker, nor can begin there. */
static bool is_idle(const struct drive *d, const struct worker *w)
{
	return w->has_clock && worker_is_confirmed(d, w) && !w->n_runs &&
	       !w->n_orphans && !w->unresponsive_since;
}

static bool may_wait(const struct drive *d, const struct worker *w)
{
	return w->has_clock && worker_is_confirmed(d, w) && !is_idle(d, w);
}

void hold_tick(struct drive *d, struct worker *w, int64_t now)
{
	if (!d->active || !worker_is_driven(d, w))
		return;
	if (w->n_runs && w->lease_expired_at && now > w->lease_expired_at)
		hold_finish_runs(d, w, now, "lease_ended");
	if (w->hold_in_flight || now < w->next_hold_at)
		return;
	if (!w->listed && !w->n_runs && !worker_may_hide_runs(d, w, 0, now))
		return;
	if (is_idle(d, w) && now - w->listed_runs_at < IDLE_HOLD_MS)
		return;
	w->hold_in_flight = true;
	send_hold(d, w, may_wait(d, w) ? d->opt.hold_wait_ms : no_wait_ms,
		  false, now);
}

void hold_probe(struct drive *d, struct worker *w, int64_t now)
{
	if (!d->active || w->probe_in_flight || !worker_is_driven(d, w))
		return;
	if (w->fence_step + 1 < DRIVE_FENCES_PER_EPOCH)
		w->fence_step++;
	w->probe_in_flight = true;
	send_hold(d, w, no_wait_ms, true, now);
}

/* Logs the loss of a run, with how often its task has lost a worker. */
static void record_lost_run(struct drive *d, const struct worker *w,
			    const struct run *r, int64_t now)
{
	struct job *j = job_get(d, r->job);
	uint32_t times = 0;

	if (j)
		times = ++j->tasks[r->task.index].n_lost;
	d->counts.runs_lost++;
	log_info("run_lost", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name), LOG_U("times", times),
		 LOG_I("started_ms_ago", now - r->sent_at));
}

void hold_finish_runs(struct drive *d, struct worker *w, int64_t now,
		      const char *why)
{
	struct list *pos, *after;

	log_info("worker_lost", LOG_S("worker", w->info.name),
		 LOG_S("why", why), LOG_U("runs", w->n_runs),
		 LOG_I("lease_ended_ms", now - w->lease_expired_at));
	lost_runs_record(d, w, LOSS_UNEXPLAINED, now);
	LIST_EACH(pos, after, &w->runs)
	{
		struct run *r = LIST_ITEM(pos, struct run, worker_link);

		record_lost_run(d, w, r, now);
		run_finish(d, r, DRIVE_RUN_EXPIRED, now);
	}
}

void hold_mark_replaced(struct drive *d, struct worker *w, int64_t now)
{
	enum loss_cause cause = w->info.leaving ? LOSS_OTHER : LOSS_CRASH;

	w->is_replaced = true;
	lost_runs_record(d, w, cause, now);
	losses_explain(d->losses, w->info.name, cause);
	hold_finish_runs(d, w, now, "other_life");
}

static void extend_lease(struct drive *d, struct worker *w, int64_t sent_at)
{
	int64_t until = sent_at + d->opt.lease_ms;

	if (until > w->lease_held_until)
		w->lease_held_until = until;
}

static void record_ends(struct drive *d, struct worker *w,
			const struct drive_hold_answer *lists, int64_t now)
{
	struct run *r;
	size_t i;

	for (i = 0; i < lists->n_ended; i++) {
		const struct drive_ended_run *e = &lists->ended[i];

		if (e->sequence <= w->cursor)
			continue;
		w->cursor = e->sequence;
		r = run_find_on_worker(d, w, &e->task, e->run);
		if (r)
			run_finish(d, r, e->result, now);
		else if (!run_find(d, &e->task))
			run_keep_result(d, w, e, now);
	}
}

static void update_running(struct run *r, const struct drive_active_run *row,
			   int64_t now)
{
	run_mark_running(r, now);
	if (row->percent != r->percent)
		r->percent_at = now;
	r->percent = row->percent;
}

static void record_running(struct drive *d, struct worker *w,
			   const struct drive_hold_answer *lists, int64_t now)
{
	struct run *r;
	size_t i;

	for (i = 0; i < lists->n_running; i++) {
		const struct drive_active_run *row = &lists->running[i];

		r = run_find_on_worker(d, w, &row->task, row->run);
		if (!r) {
			run_adopt(d, w, row, now);
			continue;
		}
		update_running(r, row, now);
		speeds_learn_progress(d, w, r, now);
	}
}

static bool is_in_list(const struct run *r,
		       const struct drive_hold_answer *lists)
{
	size_t i;

	for (i = 0; i < lists->n_running; i++)
		if (lists->running[i].run == r->number &&
		    !memcmp(&lists->running[i].task, &r->task, sizeof(r->task)))
			return true;
	return false;
}

/*
 * Whether the list that answers `h` must name the run, provided that the run
 * is active or can still begin.
 */
static bool list_covers(const struct run *r, const struct hold_call *h)
{
	if (r->state == RUN_RUNNING)
		return r->running_at + START_LISTED_AFTER_MS < h->sent_at;
	return r->fence < h->fence;
}

static void finish_missing_runs(struct drive *d, struct worker *w,
				const struct hold_call *h,
				const struct drive_hold_answer *lists,
				int64_t now)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &w->runs)
	{
		struct run *r = LIST_ITEM(pos, struct run, worker_link);

		if (!list_covers(r, h) || is_in_list(r, lists))
			continue;
		run_finish(d, r, DRIVE_RUN_OTHER, now);
	}
}

/* The worker has not ended, so none of the runs lost with it has ended it. */
static void note_still_runs(struct drive *d, struct worker *w)
{
	if (w->losses_seen == losses_version(d->losses))
		return;
	losses_explain(d->losses, w->info.name, LOSS_OTHER);
	w->losses_seen = losses_version(d->losses);
}

static void record_lists(struct drive *d, struct worker *w,
			 const struct hold_call *h,
			 const struct drive_hold_answer *lists, int64_t now)
{
	worker_record_clock(w, now, &lists->answer);
	if (h->has_lease)
		extend_lease(d, w, h->sent_at);
	if (w->unresponsive_since)
		log_info("worker_answers", LOG_S("worker", w->info.name),
			 LOG_I("silent_ms", now - w->unresponsive_since));
	note_still_runs(d, w);
	w->unresponsive_since = 0;
	w->refuses_since = 0;
	w->lost_to = NULL;
	if (h->fence > w->confirmed_fence)
		w->confirmed_fence = h->fence;
	if (h->sent_at > w->confirmed_at)
		w->confirmed_at = h->sent_at;
	w->previous_lists_at = w->listed_runs_at;
	w->listed_runs_at = now;
	record_ends(d, w, lists, now);
	record_running(d, w, lists, now);
	finish_missing_runs(d, w, h, lists, now);
	d->capacity_changed = true;
}

/* Nothing listens at the worker's address: its process may have ended. */
static void mark_refusing(struct drive *d, struct worker *w, int64_t now)
{
	if (w->refuses_since)
		return;
	w->refuses_since = now;
	/* The next driver must know if this one is lost before the lease ends. */
	lost_runs_record(d, w, LOSS_UNEXPLAINED, now);
	log_info("worker_refuses", LOG_S("worker", w->info.name),
		 LOG_U("runs", w->n_runs),
		 LOG_I("silent_ms", now - w->unresponsive_since));
}

static void mark_unresponsive(struct drive *d, struct worker *w, int64_t now)
{
	if (w->unresponsive_since)
		return;
	w->unresponsive_since = now;
	d->counts.silences++;
	/* Another driver may call the worker until it answers again. */
	w->confirmed_fence = 0;
	log_info("worker_silent", LOG_S("worker", w->info.name),
		 LOG_U("runs", w->n_runs),
		 LOG_I("lease_left_ms", w->lease_expired_at - now));
}

void hold_mark_refusing(struct drive *d, struct worker *w, int64_t now)
{
	mark_unresponsive(d, w, now);
	mark_refusing(d, w, now);
}

static void handle_fenced(struct drive *d, struct worker *w,
			  const struct hold_call *h, int64_t now)
{
	uint64_t epoch;

	w->next_hold_at = now + HOLD_RETRY_MS;
	/* A later call of this driver has overtaken the refused one. */
	if (h->fence != worker_fence(d, w))
		return;
	w->confirmed_fence = 0;
	epoch = d->opt.choose_higher_epoch(d->opt.ctx, &w->info);
	if (epoch > w->epoch)
		w->epoch = epoch;
}

void drive_hold_answered(struct drive *d, int64_t now, uint64_t call,
			 const struct drive_hold_answer *lists)
{
	struct hold_call *found = table_get(&d->holds, call);
	struct hold_call h;
	struct worker *w;

	if (!found)
		return;
	h = *found;
	table_del(&d->holds, call);
	w = worker_get(d, h.worker);
	if (!w)
		return;
	if (h.is_probe)
		w->probe_in_flight = false;
	else
		w->hold_in_flight = false;
	if (!d->active || h.fence < d->epoch * DRIVE_FENCES_PER_EPOCH)
		return;
	w->next_hold_at = now;
	if (lists->answer.result == DRIVE_CALL_DONE) {
		record_lists(d, w, &h, lists, now);
		hold_tick(d, w, now);
	} else if (lists->answer.result == DRIVE_CALL_OTHER_INCARNATION) {
		hold_mark_replaced(d, w, now);
	} else if (lists->answer.result == DRIVE_CALL_FENCED) {
		handle_fenced(d, w, &h, now);
	} else {
		if (lists->answer.result == DRIVE_CALL_NO_LISTENER)
			hold_mark_refusing(d, w, now);
		else
			mark_unresponsive(d, w, now);
		w->next_hold_at = now + (now - w->unresponsive_since <
							 SLOW_RETRY_AFTER_MS
						 ? HOLD_RETRY_MS
						 : HOLD_SLOW_RETRY_MS);
	}
	queue_run(d, now);
}
