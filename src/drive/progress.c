/*
 * Stops runs that fall behind on workers that have turned slow, so that their
 * tasks start elsewhere. What decides is in policy/run_progress.c.
 */
#include "drive/drive_state.h"

enum {
	/* From a stop until the task is started elsewhere. */
	RESTART_MS = 60
};

/* The run as its worker's newest list shows it; false: nothing to judge. */
static bool view_run(const struct drive *d, const struct run *r,
		     const struct worker *w, struct run_progress *view)
{
	const struct job *j = job_get(d, r->job);

	if (!j || r->state != RUN_RUNNING || r->stopping || !r->fence ||
	    w->listed_runs_at <= r->running_at)
		return false;
	*view = (struct run_progress){
		.elapsed_ms = (double)(w->listed_runs_at - r->sent_at),
		.percent = r->percent,
		.usual_ms = run_time_expected_ms(j->run_time, j->estimate_ms),
		.left_ms = (double)(j->objective_at - w->listed_runs_at),
	};
	return true;
}

static void judge_worker(const struct drive *d, struct worker *w, int64_t now)
{
	struct worker_pace *pace = &w->pace;
	struct run_progress view;
	struct list *pos, *after;
	uint64_t behind_job = 0;

	pace->n_behind = pace->n_at_pace = 0;
	LIST_EACH(pos, after, &w->runs)
	{
		const struct run *r = LIST_ITEM(pos, struct run, worker_link);

		if (!view_run(d, r, w, &view) || !run_progress_shows(&view))
			continue;
		if (!run_progress_is_behind(&view)) {
			pace->n_at_pace++;
		} else if (r->job != behind_job) {
			behind_job = r->job;
			pace->n_behind++;
		}
	}
	w->is_slow = worker_pace_is_slow(pace, now);
}

/* Judges the workers that have sent new lists; returns how many are slow. */
static uint32_t judge_workers(struct drive *d, uint32_t *n_workers, int64_t now)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0, n_slow = 0;

	*n_workers = 0;
	while ((w = table_next(&d->workers, &pos, &handle))) {
		if (!w->listed || w->unresponsive_since)
			continue;
		++*n_workers;
		if (w->listed_runs_at > w->judged_at)
			judge_worker(d, w, now);
		w->judged_at = w->listed_runs_at;
		n_slow += w->is_slow;
	}
	return n_slow;
}

static void stop_run(struct drive *d, struct worker *w, struct run *r,
		     const struct run_progress *view, int64_t now)
{
	d->counts.behind_stops++;
	log_info("task_behind", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name), LOG_U("percent", r->percent),
		 LOG_I("after_ms", (int64_t)view->elapsed_ms),
		 LOG_I("usual_ms", (int64_t)view->usual_ms),
		 LOG_I("to_objective_ms", (int64_t)view->left_ms));
	run_stop(d, r, now);
	worker_eject(d, w, now, "task_behind");
}

static void stop_runs(struct drive *d, struct worker *w, uint32_t n_workers,
		      uint32_t n_slow, int64_t now)
{
	struct run_progress view;
	struct list *pos, *after;

	LIST_EACH(pos, after, &w->runs)
	{
		struct run *r = LIST_ITEM(pos, struct run, worker_link);

		if (!view_run(d, r, w, &view) ||
		    !run_progress_is_behind(&view) ||
		    !run_progress_restart_helps(&view, RESTART_MS))
			continue;
		if (!stop_budget_take(&d->stop_budget, now, n_workers, n_slow))
			return;
		stop_run(d, w, r, &view, now);
	}
}

void progress_review(struct drive *d, int64_t now)
{
	uint32_t n_workers, n_slow = judge_workers(d, &n_workers, now);
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	if (!n_slow)
		return;
	while ((w = table_next(&d->workers, &pos, &handle)))
		if (w->is_slow && w->listed && !w->unresponsive_since)
			stop_runs(d, w, n_workers, n_slow, now);
}

void progress_record_end(struct worker *w, const struct run *r,
			 const struct job *j, int64_t now)
{
	double actual_ms = (double)(now - r->sent_at);
	double usual_ms = run_time_expected_ms(j->run_time, j->estimate_ms);

	if (run_progress_was_behind(actual_ms, usual_ms))
		w->pace.behind_at = now;
	else
		w->pace.at_pace_at = now;
}
