/* Handles the answers to starts and stops of runs. */
#include "drive/drive_state.h"

enum {
	/* Added to the run number when a worker has seen a higher one. */
	OLD_RUN_SKIP = 64,
	/* An answer that arrived by the first tick is read before the second. */
	TICKS_TO_READ = 2
};

static void handle_unanswered(struct drive *d, struct run *r, struct worker *w,
			      int64_t now)
{
	d->counts.starts_unanswered++;
	r->is_unanswered = true;
	log_info("start_unanswered", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name),
		 LOG_I("after_ms", now - r->sent_at));
	worker_record_miss(d, w, r->sent_at);
	/* Otherwise a list has decided or is about to. */
	if (r->state != RUN_STARTING)
		return;
	r->state = RUN_UNCONFIRMED;
	hold_probe(d, w, now);
}

void run_hedge_start(struct drive *d, struct run *r, struct worker *w,
		     int64_t now)
{
	int64_t waited_ms = now - r->sent_at;
	uint32_t limit_ms;

	if (waited_ms < CALL_LIMIT_MIN_MS ||
	    d->n_ticks - r->sent_tick < TICKS_TO_READ)
		return;
	limit_ms = call_limit_start_ms(&d->call_limits, &w->limit,
				       d->opt.get_late_ms(d->opt.ctx));
	/* The call itself ends at the longest limit. */
	if (waited_ms < limit_ms || limit_ms >= CALL_LIMIT_MAX_MS)
		return;
	r->state = RUN_UNCONFIRMED;
	d->counts.starts_hedged++;
	log_info("start_hedged", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name), LOG_I("after_ms", waited_ms),
		 LOG_U("limit_ms", limit_ms));
	hold_probe(d, w, now);
}

static void handle_refusal(struct drive *d, struct run *r, struct worker *w,
			   enum drive_call_result result, int64_t now)
{
	struct job *j = job_get(d, r->job);

	d->counts.starts_refused++;
	log_info("start_refused", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name), LOG_U("end", result));
	if (result == DRIVE_CALL_OLD_RUN && j)
		j->tasks[r->task.index].last_run += OLD_RUN_SKIP;
	if (result == DRIVE_CALL_UNHEALTHY)
		worker_eject(d, w, now, "refuses_starts");
	if (result == DRIVE_CALL_NO_CAPACITY) {
		worker_record_full(w, now);
		hold_probe(d, w, now);
	}
	/* It was not connected within the limit. */
	if (result == DRIVE_CALL_NOT_SENT) {
		worker_record_miss(d, w, r->sent_at);
		hold_probe(d, w, now);
	}
	if (result == DRIVE_CALL_NO_LISTENER)
		hold_mark_refusing(d, w, now);
	run_finish(d, r, DRIVE_RUN_OTHER, now);
}

/* Lets a list of the worker's present incarnation decide about the run. */
static void await_list(struct drive *d, struct run *r, struct worker *w,
		       int64_t now)
{
	if (r->state != RUN_STARTING)
		return;
	r->state = RUN_UNCONFIRMED;
	hold_probe(d, w, now);
}

static bool is_from_worker(enum drive_call_result result)
{
	return result != DRIVE_CALL_UNANSWERED &&
	       result != DRIVE_CALL_NOT_SENT &&
	       result != DRIVE_CALL_NO_LISTENER &&
	       result != DRIVE_CALL_OTHER_INCARNATION;
}

void drive_start_answered(struct drive *d, int64_t now, uint64_t call,
			  const struct drive_call_answer *answer)
{
	struct run *r = run_get(d, call);
	struct worker *w = r ? worker_get(d, r->worker) : NULL;

	if (!w || !d->active)
		return;
	if (incarnation_check(d, w, r->born_ms, answer, now) == ANSWER_OTHER) {
		await_list(d, r, w, now);
		queue_run(d, now);
		return;
	}
	worker_record_clock(w, now, answer);
	if (is_from_worker(answer->result))
		worker_record_answer(d, w, r->sent_at, now - r->sent_at);
	switch (answer->result) {
	case DRIVE_CALL_DONE:
		run_mark_running(r, now);
		if (answer->born_ms) {
			r->born_ms = answer->born_ms;
			r->is_located = true;
		}
		break;
	case DRIVE_CALL_UNANSWERED:
		handle_unanswered(d, r, w, now);
		break;
	case DRIVE_CALL_OTHER_INCARNATION:
		hold_mark_replaced(d, w, now);
		break;
	default:
		/*
		 * The only start of the run had no effect. A list decides about
		 * a run that it has shown to be active.
		 */
		if (r->state != RUN_RUNNING)
			handle_refusal(d, r, w, answer->result, now);
		break;
	}
	queue_run(d, now);
}

void drive_stop_answered(struct drive *d, int64_t now, uint64_t call,
			 const struct drive_call_answer *answer)
{
	struct run *r = run_get(d, call);
	struct worker *w = r ? worker_get(d, r->worker) : NULL;

	if (!w || !d->active)
		return;
	r->stop_in_flight = false;
	if (answer->result == DRIVE_CALL_OTHER_INCARNATION) {
		hold_mark_replaced(d, w, now);
	} else if (answer->result == DRIVE_CALL_DONE &&
		   r->state != RUN_RUNNING) {
		/* The run can no longer begin; a list shows if it has begun. */
		hold_probe(d, w, now);
	}
	queue_run(d, now);
}
