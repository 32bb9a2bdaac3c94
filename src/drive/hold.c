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
	START_LISTED_AFTER_MS = 10,
	/* Holds in a row without an answer that make a worker unresponsive. */
	MISSES_TO_SILENT = 3
};

static const uint32_t no_wait_ms = 0;

/*
 * The ends to acknowledge. A worker that has started again would forget ends that
 * nobody has recorded, as it counts them anew. So each cursor is sent until it is
 * answered, and none to a worker that is unconfirmed or in doubt.
 */
static uint64_t cursor_to_send(const struct drive *d, const struct worker *w)
{
	if (!worker_is_confirmed(d, w) || worker_is_in_doubt(w) ||
	    w->cursor == w->acknowledged)
		return 0;
	return w->cursor;
}

static void send_hold(struct drive *d, struct worker *w, uint32_t wait_ms,
		      bool probe, int64_t now)
{
	struct drive_hold call = {
		.worker = &w->info,
		.fence = worker_fence(d, w),
		.cursor = cursor_to_send(d, w),
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
	h->born_ms = w->info.born_ms;
	h->fence = call.fence;
	h->cursor = call.cursor;
	h->ends_known = w->cursor;
	h->wait_ms = wait_ms;
	h->sent_at = now;
	h->is_probe = probe;
	h->has_lease = call.lease_expires_at != 0;
	/* Nothing waits for the answers to other holds. */
	if (probe)
		call.timeout_ms = worker_limit_ms(d, w);
	else
		w->hold_call = call.call;
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

/*
 * Gives up the regular hold if another list has brought an end that it should
 * have reported long since.
 */
static void drop_overdue_hold(struct drive *d, struct worker *w, int64_t now)
{
	if (!w->hold_overdue_at || now < w->hold_overdue_at)
		return;
	w->hold_overdue_at = 0;
	w->hold_in_flight = false;
	d->counts.holds_replaced++;
}

void hold_tick(struct drive *d, struct worker *w, int64_t now)
{
	if (!d->active || !worker_is_driven(d, w))
		return;
	if (w->n_runs && w->lease_expired_at && now > w->lease_expired_at)
		hold_finish_runs(d, w, now, "lease_ended");
	if (worker_is_in_doubt(w)) {
		hold_probe(d, w, now);
		return;
	}
	drop_overdue_hold(d, w, now);
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

/* Whether a run is in doubt that the present fence does not shut out. */
static bool needs_higher_fence(const struct drive *d, const struct worker *w)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &w->runs)
	{
		const struct run *r = LIST_ITEM(pos, struct run, worker_link);

		if (r->fence < worker_fence(d, w))
			continue;
		if (r->state == RUN_UNCONFIRMED ||
		    (r->state == RUN_STARTING && r->stopping))
			return true;
	}
	return false;
}

void hold_probe(struct drive *d, struct worker *w, int64_t now)
{
	if (!d->active || w->probe_in_flight || !worker_is_driven(d, w))
		return;
	if (needs_higher_fence(d, w))
		worker_raise_fence(d, w);
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

static void finish_lost_run(struct drive *d, const struct worker *w,
			    struct run *r, int64_t now)
{
	record_lost_run(d, w, r, now);
	run_finish(d, r, DRIVE_RUN_EXPIRED, now);
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

		finish_lost_run(d, w, r, now);
	}
}

void hold_mark_replaced(struct drive *d, struct worker *w, int64_t now)
{
	enum loss_cause cause = w->info.leaving ? LOSS_OTHER : LOSS_CRASH;

	w->is_replaced = true;
	lost_runs_record(d, w, cause, now);
	losses_explain(d->losses, &w->info, cause);
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

static void update_running(const struct worker *w, struct run *r,
			   const struct drive_active_run *row, int64_t now)
{
	run_mark_running(r, now);
	r->born_ms = w->info.born_ms;
	r->is_located = true;
	due_note_running(r, now);
	if (row->percent != r->percent)
		r->percent_at = now;
	r->percent = row->percent;
}

static void record_running(struct drive *d, struct worker *w,
			   const struct drive_hold_answer *lists,
			   bool is_outdated, int64_t now)
{
	struct run *r;
	size_t i;

	for (i = 0; i < lists->n_running; i++) {
		const struct drive_active_run *row = &lists->running[i];

		r = run_find_on_worker(d, w, &row->task, row->run);
		if (!r && is_outdated)
			continue;
		if (!r) {
			run_adopt(d, w, row, now);
			continue;
		}
		update_running(w, r, row, now);
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

static bool has_ended(const struct run *r,
		      const struct drive_hold_answer *lists)
{
	size_t i;

	for (i = 0; i < lists->n_ended; i++)
		if (lists->ended[i].run == r->number &&
		    !memcmp(&lists->ended[i].task, &r->task, sizeof(r->task)))
			return true;
	return false;
}

/*
 * Marks the runs that were lost with an earlier incarnation: the present one
 * has not carried out their starts, and will not.
 */
static void mark_lost_runs(struct drive *d, struct worker *w,
			   const struct hold_call *h,
			   const struct drive_hold_answer *lists, int64_t now)
{
	struct list *pos, *after;
	bool any = false;

	LIST_EACH(pos, after, &w->runs)
	{
		struct run *r = LIST_ITEM(pos, struct run, worker_link);

		r->is_lost = incarnation_is_earlier(w, r) &&
			     list_covers(r, h) && !is_in_list(r, lists) &&
			     !has_ended(r, lists);
		any |= r->is_lost;
	}
	if (any)
		lost_runs_record_marked(d, w, now);
}

/* The start was not carried out, and will not be. */
static void record_lost_start(struct drive *d, struct worker *w,
			      const struct run *r, int64_t now)
{
	if (!r->is_unanswered) {
		d->counts.starts_unanswered++;
		worker_record_miss(d, w, r->sent_at);
	}
	log_info("start_lost", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name),
		 LOG_I("after_ms", now - r->sent_at));
	worker_record_lost_start(d, w, now);
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

		if (r->is_lost) {
			finish_lost_run(d, w, r, now);
			continue;
		}
		if (!list_covers(r, h) || is_in_list(r, lists))
			continue;
		if (r->state == RUN_UNCONFIRMED)
			record_lost_start(d, w, r, now);
		run_finish(d, r, DRIVE_RUN_OTHER, now);
	}
}

/*
 * This incarnation has not ended, so none of the runs lost with it has ended it.
 * Earlier ones have.
 */
static void note_still_runs(struct drive *d, struct worker *w)
{
	if (w->losses_seen == losses_version(d->losses))
		return;
	losses_explain(d->losses, &w->info, LOSS_OTHER);
	losses_explain_earlier(d->losses, &w->info,
			       w->has_left ? LOSS_OTHER : LOSS_CRASH);
	w->losses_seen = losses_version(d->losses);
}

/*
 * Whether the list is older than one that was read before, as it knows fewer
 * ends. A run that only such a list names may have ended since.
 */
static bool is_list_outdated(const struct worker *w, const struct hold_call *h,
			     const struct drive_hold_answer *lists)
{
	uint64_t newest = h->ends_known;
	size_t i;

	for (i = 0; i < lists->n_ended; i++)
		if (lists->ended[i].sequence > newest)
			newest = lists->ended[i].sequence;
	return newest < w->cursor;
}

/*
 * How long the answer took; -1: it waited for an end, or it would not have been
 * read if it had taken longer.
 */
static int64_t answer_time(const struct hold_call *h, int64_t now)
{
	return h->is_probe || h->wait_ms ? -1 : now - h->sent_at;
}

/* The waiting hold should bring the same end, unless its answer is lost. */
static void expect_hold(struct drive *d, struct worker *w, int64_t now)
{
	if (w->hold_in_flight && !w->hold_overdue_at)
		w->hold_overdue_at = now + worker_limit_ms(d, w);
}

static void record_lists(struct drive *d, struct worker *w,
			 const struct hold_call *h,
			 const struct drive_hold_answer *lists, int64_t now)
{
	bool is_outdated = is_list_outdated(w, h, lists);
	uint64_t cursor = w->cursor;

	worker_record_answer(d, w, h->sent_at, answer_time(h, now));
	worker_record_clock(w, now, &lists->answer);
	if (h->has_lease)
		extend_lease(d, w, h->sent_at);
	if (w->unresponsive_since)
		log_info("worker_answers", LOG_S("worker", w->info.name),
			 LOG_I("silent_ms", now - w->unresponsive_since));
	mark_lost_runs(d, w, h, lists, now);
	note_still_runs(d, w);
	w->unresponsive_since = 0;
	w->refuses_since = 0;
	w->lost_to = NULL;
	if (h->fence > w->confirmed_fence)
		w->confirmed_fence = h->fence;
	if (h->sent_at > w->confirmed_at)
		w->confirmed_at = h->sent_at;
	if (h->cursor > w->acknowledged)
		w->acknowledged = h->cursor;
	w->previous_lists_at = w->listed_runs_at;
	w->listed_runs_at = now;
	record_ends(d, w, lists, now);
	if (h->is_probe && w->cursor > cursor)
		expect_hold(d, w, now);
	record_running(d, w, lists, is_outdated, now);
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

static bool has_unconfirmed_run(const struct worker *w)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &w->runs)
	if (LIST_ITEM(pos, struct run, worker_link)->state == RUN_UNCONFIRMED)
		return true;
	return false;
}

static void set_retry(struct worker *w, int64_t now)
{
	bool is_slow = now - w->unresponsive_since >= SLOW_RETRY_AFTER_MS;

	w->next_hold_at = now + (is_slow ? HOLD_SLOW_RETRY_MS : HOLD_RETRY_MS);
}

/*
 * The worker has answered a call since the hold was sent, but may have ended
 * after that. So a list precedes the next renewal of its lease.
 */
static void replace_lost_hold(struct drive *d, struct worker *w, int64_t now)
{
	d->counts.holds_replaced++;
	w->next_hold_at = now + worker_limit_ms(d, w);
	hold_probe(d, w, now);
}

/* Handles a hold that was not answered in time. */
static void handle_miss(struct drive *d, struct worker *w,
			const struct hold_call *h, int64_t now)
{
	worker_record_miss(d, w, h->sent_at);
	if (w->answered_at > h->sent_at && !w->unresponsive_since) {
		w->lists_missed = 0;
		if (!h->is_probe)
			replace_lost_hold(d, w, now);
		else if (has_unconfirmed_run(w))
			hold_probe(d, w, now);
	} else if (++w->lists_missed >= MISSES_TO_SILENT ||
		   w->unresponsive_since) {
		mark_unresponsive(d, w, now);
		set_retry(w, now);
	}
	hold_tick(d, w, now);
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
	if (epoch <= w->epoch)
		return;
	w->epoch = epoch;
	admit_unsettle_all(d, now);
}

/* Frees the place of a call in flight, unless another call has taken it. */
static void mark_arrived(struct worker *w, uint64_t call,
			 const struct hold_call *h)
{
	/* Calls to an earlier incarnation are not counted any more. */
	if (h->born_ms && h->born_ms != w->info.born_ms)
		return;
	if (h->is_probe) {
		w->probe_in_flight = false;
		return;
	}
	if (call != w->hold_call)
		return;
	w->hold_in_flight = false;
	w->hold_overdue_at = 0;
}

void drive_hold_answered(struct drive *d, int64_t now, uint64_t call,
			 const struct drive_hold_answer *lists)
{
	struct hold_call *found = table_get(&d->holds, call);
	struct hold_call h;
	struct worker *w;
	bool is_replaced;

	if (!found)
		return;
	h = *found;
	table_del(&d->holds, call);
	w = worker_get(d, h.worker);
	if (!w)
		return;
	is_replaced = !h.is_probe && call != w->hold_call;
	mark_arrived(w, call, &h);
	if (!d->active || h.fence < d->epoch * DRIVE_FENCES_PER_EPOCH)
		return;
	if (incarnation_check(d, w, h.born_ms, &lists->answer, now) ==
	    ANSWER_OTHER)
		return;
	w->next_hold_at = now;
	if (lists->answer.result == DRIVE_CALL_DONE) {
		record_lists(d, w, &h, lists, now);
		if (has_unconfirmed_run(w))
			hold_probe(d, w, now);
		hold_tick(d, w, now);
	} else if (lists->answer.result == DRIVE_CALL_OTHER_INCARNATION) {
		hold_mark_replaced(d, w, now);
	} else if (lists->answer.result == DRIVE_CALL_FENCED) {
		worker_record_answer(d, w, h.sent_at, -1);
		handle_fenced(d, w, &h, now);
	} else if (lists->answer.result == DRIVE_CALL_NO_LISTENER) {
		hold_mark_refusing(d, w, now);
		set_retry(w, now);
	} else if (!is_replaced) {
		handle_miss(d, w, &h, now);
	}
	queue_run(d, now);
}
