/*
 * Decides which waiting jobs begin, and in which order, when the load exceeds
 * the capacity. A job is of use to its caller only when its last task has
 * ended, so it begins when there is capacity for all of its tasks, and a job
 * that can no longer meet its objective is refused at once (room.c). Only the
 * first job of the queue may begin partially: jobs of lower priority may not
 * use the free capacity, so it would be idle until there is enough. The order
 * is: jobs that have begun, then priority, then those whose route and domain
 * have not had more than their share, then the number of tasks, most first, then
 * the latest start.
 */
#include <stdlib.h>

#include "drive/drive_state.h"

enum {
	REFUSED_RETRY_MS = 1000 /* callers get it in whole seconds */
};

/* A job that can be in time comes before one that is of little use now. */
static bool precedes(const struct job *a, const struct job *b)
{
	if (a->is_late != b->is_late)
		return b->is_late;
	if (a->has_begun != b->has_begun)
		return a->has_begun;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->is_over_share != b->is_over_share)
		return b->is_over_share;
	if (a->n_tasks != b->n_tasks)
		return a->n_tasks > b->n_tasks;
	return a->latest_start_at < b->latest_start_at;
}

void queue_add(struct drive *d, struct job *j, int64_t now)
{
	struct list *pos;

	j->is_late = j->has_begun && now > j->latest_start_at;
	queue_remove(j);
	j->is_over_share = !list_empty(&d->queue) &&
			   fair_share_is_over(&d->shares, j->account, now);
	for (pos = d->queue.prev; pos != &d->queue; pos = pos->prev)
		if (!precedes(j, LIST_ITEM(pos, struct job, queue_link)))
			break;
	/* list_add inserts before the given node; before the head is last. */
	list_add(pos->next, &j->queue_link);
	d->capacity_changed = true;
}

void queue_remove(struct job *j)
{
	list_remove(&j->queue_link);
}

uint32_t queue_count_waiting(const struct job *j)
{
	return j->n_tasks - j->n_done - j->n_active - j->n_suspects;
}

/* Whether a usable worker has the processor capacity for a task of the job. */
static bool has_free_place(const struct drive *d, const struct job *j,
			   int64_t now)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (worker_is_usable(d, w, now) && worker_free_slots(w) &&
		    place_is_in_time(d, w, j, now) &&
		    w->info.cpu_milli >=
			    (uint64_t)w->used_cpu_milli + j->cpu_milli)
			return true;
	return false;
}

/*
 * Notes the largest free capacity of a worker, as most of a long queue does not
 * fit anywhere, and that need not be found out for each job and worker.
 */
static void note_largest_free(struct drive *d, int64_t now)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0, free_milli;

	d->largest_free_milli = 0;
	while ((w = table_next(&d->workers, &pos, &handle))) {
		if (!worker_is_usable(d, w, now) ||
		    w->info.cpu_milli <= w->used_cpu_milli)
			continue;
		free_milli = w->info.cpu_milli - w->used_cpu_milli;
		if (free_milli > d->largest_free_milli)
			d->largest_free_milli = free_milli;
	}
}

static bool may_fit(const struct drive *d, const struct job *j)
{
	return j->cpu_milli <= d->largest_free_milli;
}

static void log_begun(struct drive *d, const struct job *j, int64_t now)
{
	histogram_add(&d->counts.begin_delay, now - j->arrived_at);
	log_info("job_begun", LOG_S("job", j->id), LOG_S("cell", d->opt.cell),
		 LOG_U("epoch", d->epoch), LOG_U("home", j->waiters[0].home),
		 LOG_U("generation", j->waiters[0].generation),
		 LOG_U("tasks", j->n_active), LOG_U("done", j->n_done),
		 LOG_U("priority", j->priority),
		 LOG_I("waited_ms", now - j->arrived_at),
		 LOG_I("to_latest_start_ms", j->latest_start_at - now));
}

static void refuse_job(struct drive *d, struct job *j, const char *reason,
		       int64_t now)
{
	job_end(d, j, DRIVE_REFUSED, REFUSED_RETRY_MS, reason, now);
}

/*
 * A home that is not reachable may have submitted the job to another driver,
 * which adopts the job's runs.
 */
static bool are_homes_reachable(const struct drive *d, const struct job *j)
{
	size_t i;

	for (i = 0; i < j->n_waiters; i++)
		if (!d->opt.is_home_reachable(d->opt.ctx, j->waiters[i].home))
			return false;
	return true;
}

bool queue_may_start(const struct drive *d, const struct job *j, int64_t now)
{
	return now < j->deadline_at && job_is_settled(d, j, now) &&
	       are_homes_reachable(d, j);
}

/*
 * While the first job of the queue waits, jobs of lower priority may not use
 * the free capacity. The first job may use it at once if it has begun already,
 * or if the other capacity that it needs is expected to be free before its
 * latest start.
 */
static bool may_begin_partially(struct drive *d, const struct job *j,
				int64_t now)
{
	if (j->has_begun)
		return true;
	return has_free_place(d, j, now) && room_take_plan(d) &&
	       room_expected_start(d, j, now) < j->latest_start_at;
}

static void begin_partially(struct drive *d, struct job *j, int64_t now)
{
	bool had_begun = j->has_begun;

	if (!place_some(d, j, now) || had_begun)
		return;
	log_info("job_begun_in_part", LOG_S("job", j->id),
		 LOG_U("tasks", j->n_active), LOG_U("of", j->n_tasks),
		 LOG_U("priority", j->priority),
		 LOG_I("waited_ms", now - j->arrived_at),
		 LOG_I("to_latest_start_ms", j->latest_start_at - now));
}

/* Returns whether the job waits for capacity, which blocks lower priorities. */
static bool try_begin(struct drive *d, struct job *j, bool is_first,
		      int64_t now)
{
	if (!queue_may_start(d, j, now))
		return false;
	if (may_fit(d, j) && place_job(d, j, now)) {
		note_largest_free(d, now);
		queue_remove(j);
		log_begun(d, j, now);
		return false;
	}
	if (!j->has_begun && now > j->latest_start_at) {
		d->counts.refused_objective_missed++;
		refuse_job(d, j, "objective_missed", now);
		return false;
	}
	if (is_first && may_fit(d, j) && may_begin_partially(d, j, now)) {
		begin_partially(d, j, now);
		note_largest_free(d, now);
	}
	return !j->is_late && place_has_open_worker(d, j);
}

void queue_run(struct drive *d, int64_t now)
{
	struct list *pos, *after;
	uint32_t blocked_priority = 0;
	bool blocked = false;

	if (!d->active || !d->capacity_changed)
		return;
	d->capacity_changed = false;
	suspects_run(d, now);
	if (list_empty(&d->queue))
		return;
	note_largest_free(d, now);
	LIST_EACH(pos, after, &d->queue)
	{
		struct job *j = LIST_ITEM(pos, struct job, queue_link);

		if (blocked && j->priority > blocked_priority)
			break;
		if (!try_begin(d, j, !blocked, now))
			continue;
		blocked = true;
		blocked_priority = j->priority;
	}
}
