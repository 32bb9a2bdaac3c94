/* Handles the answers to starts and stops of runs. */
#include "drive/drive_state.h"

enum {
	/* Added to the run number when a worker has seen a higher one. */
	OLD_RUN_SKIP = 64
};

static void mark_unconfirmed(struct drive *d, struct run *r, struct worker *w,
			     int64_t now)
{
	r->state = RUN_UNCONFIRMED;
	d->counts.starts_unanswered++;
	log_info("start_unanswered", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name),
		 LOG_I("after_ms", now - r->sent_at));
	worker_record_failure(d, w, now, "start_unanswered");
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
	switch (answer->result) {
	case DRIVE_CALL_DONE:
		run_mark_running(r, now);
		if (answer->born_ms) {
			r->born_ms = answer->born_ms;
			r->is_located = true;
		}
		break;
	case DRIVE_CALL_UNANSWERED:
		if (r->state == RUN_STARTING)
			mark_unconfirmed(d, r, w, now);
		break;
	case DRIVE_CALL_OTHER_INCARNATION:
		hold_mark_replaced(d, w, now);
		break;
	default:
		/* A list decides about a run that is active or unconfirmed. */
		if (r->state == RUN_STARTING)
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
