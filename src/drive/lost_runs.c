/* Records the runs of a lost worker, with what speaks for a crash. */
#include "drive/drive_state.h"
#include "util/alloc.h"

enum {
	/* Runs whose starts are no further apart count as started together. */
	STARTED_TOGETHER_MS = 20,
	/* Longer than the interval between two lists of active runs. */
	SEEN_LATELY_MS = 250
};

/* When the newest run on the worker was started. */
static int64_t last_start(const struct worker *w)
{
	struct list *pos, *after;
	int64_t last = 0;

	LIST_EACH(pos, after, &w->runs)
	{
		const struct run *r = LIST_ITEM(pos, struct run, worker_link);

		if (r->sent_at > last)
			last = r->sent_at;
	}
	return last;
}

/* A task that crashes workers mostly does so soon after its start. */
static void blame_route(struct drive *d, struct worker *w, const struct run *r,
			int64_t now)
{
	const struct job *j = job_get(d, r->job);

	if (!j || w->lost_to == j->run_time)
		return;
	w->lost_to = j->run_time;
	run_time_add_crash(j->run_time, now);
}

/*
 * Whether the worker has reported the run as active lately. If its last report
 * is old, the run may have ended before the worker crashed.
 */
static bool was_seen(const struct worker *w, const struct run *r, int64_t now)
{
	int64_t seen_at = r->running_at;

	if (r->state != RUN_RUNNING)
		return false;
	if (w->listed_runs_at > seen_at)
		seen_at = w->listed_runs_at;
	return now - seen_at <= SEEN_LATELY_MS;
}

/*
 * Whether an earlier incarnation may have ended the run, by the pace that its
 * last list showed, and the answer that said so was lost.
 */
static bool may_have_ended(const struct run *r, int64_t now)
{
	int64_t took_ms = r->percent_at - r->sent_at;

	return r->percent && r->sent_at + took_ms * 100 / r->percent <= now;
}

/* Whether a restart shows that the run was lost by a crash. */
static bool was_lost_by_restart(const struct run *r, int64_t now)
{
	/* The new incarnation may have begun and ended it, unseen. */
	return r->is_located && !may_have_ended(r, now);
}

/* Whether this is the event at which the worker began to refuse connections. */
static bool begins_to_refuse(const struct worker *w, int64_t now)
{
	return w->refuses_since == now;
}

static void record_run(struct drive *d, struct worker *w, const struct run *r,
		       struct loss *loss, int64_t now)
{
	/* The answer to its start may say that it has not begun. */
	if (r->state != RUN_RUNNING && begins_to_refuse(w, now))
		return;
	loss->task = r->task;
	loss->run = r->number;
	loss->born_ms = r->born_ms;
	loss->seen = was_seen(w, r, now);
	/* The worker may have crashed without this run. */
	if (!loss->seen && loss->cause == LOSS_CRASH)
		loss->cause = LOSS_UNEXPLAINED;
	losses_add(d->losses, now, loss);
	if (loss->newest && begins_to_refuse(w, now))
		blame_route(d, w, r, now);
}

static void record_runs(struct drive *d, struct worker *w,
			enum loss_cause cause, bool only_marked, int64_t now)
{
	const struct loss common = {
		.addr = w->info.addr,
		.cause = cause,
		.alone = w->n_runs == 1,
		.refused = w->refuses_since != 0,
		.at = now,
	};
	int64_t last = last_start(w);
	struct list *pos, *after;

	if (w->n_exclusive)
		w->exclusive_lost_at = now;
	LIST_EACH(pos, after, &w->runs)
	{
		const struct run *r = LIST_ITEM(pos, struct run, worker_link);
		struct loss loss = common;

		if (only_marked && !r->is_lost)
			continue;
		if (only_marked && cause == LOSS_CRASH &&
		    !was_lost_by_restart(r, now))
			loss.cause = LOSS_UNEXPLAINED;
		copy_text(loss.worker, sizeof(loss.worker), w->info.name);
		loss.newest = r->sent_at + STARTED_TOGETHER_MS >= last;
		record_run(d, w, r, &loss, now);
	}
}

void lost_runs_record(struct drive *d, struct worker *w, enum loss_cause cause,
		      int64_t now)
{
	record_runs(d, w, w->info.leaving ? LOSS_OTHER : cause, false, now);
}

void lost_runs_record_marked(struct drive *d, struct worker *w, int64_t now)
{
	record_runs(d, w, w->has_left ? LOSS_OTHER : LOSS_CRASH, true, now);
}
