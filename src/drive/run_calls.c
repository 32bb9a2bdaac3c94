/* What answers to starts and stops say of a run. */
#include "drive/drive_state.h"

enum {
	OLD_RUN_STEP = 64 /* a worker has seen a higher run number */
};

static void doubt(struct drive *d, struct run *r, struct worker *w, int64_t now)
{
	r->state = RUN_DOUBTFUL;
	d->counts.starts_unanswered++;
	log_info("start_unanswered", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name),
		 LOG_I("after_ms", now - r->sent_at));
	worker_bad_end(d, w, now, "start_unanswered");
	hold_probe(d, w, now);
}

static void refused(struct drive *d, struct run *r, struct worker *w,
		    enum drive_call_result end, int64_t now)
{
	struct job *j = job_get(d, r->job);

	d->counts.starts_refused++;
	log_info("start_refused", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name), LOG_U("end", end));
	if (end == DRIVE_CALL_OLD_RUN && j)
		j->tasks[r->task.index].runs += OLD_RUN_STEP;
	if (end == DRIVE_CALL_UNHEALTHY)
		worker_eject(d, w, now, "refuses_starts");
	if (end == DRIVE_CALL_NO_CAPACITY)
		hold_probe(d, w, now);
	run_over(d, r, DRIVE_RUN_OTHER, now);
}

void drive_start_answered(struct drive *d, int64_t now, uint64_t call,
			  const struct drive_call_answer *answer)
{
	struct run *r = run_get(d, call);
	struct worker *w = r ? worker_get(d, r->worker) : NULL;

	if (!w || !d->active)
		return;
	worker_note_clock(w, now, answer);
	switch (answer->result) {
	case DRIVE_CALL_DONE:
		run_runs(r, now);
		break;
	case DRIVE_CALL_UNANSWERED:
		if (r->state == RUN_STARTING)
			doubt(d, r, w, now);
		break;
	case DRIVE_CALL_OTHER_INCARNATION:
		hold_other_life(d, w, now);
		break;
	default:
		/* Seen running or in doubt: a list will tell. */
		if (r->state == RUN_STARTING)
			refused(d, r, w, answer->result, now);
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
	r->stop_open = false;
	if (answer->result == DRIVE_CALL_OTHER_INCARNATION) {
		hold_other_life(d, w, now);
	} else if (answer->result == DRIVE_CALL_DONE &&
		   r->state != RUN_RUNNING) {
		/* It cannot begin any more; a list tells if it had. */
		hold_probe(d, w, now);
	}
	queue_run(d, now);
}
