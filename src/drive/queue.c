/*
 * Decides which waiting jobs begin, and in which order, when the load exceeds
 * the capacity. A job is of use to its caller only when its last task has
 * ended, so it begins when there is capacity for all of its tasks, and a job
 * that can no longer meet its objective is refused at once. Only the first
 * job of the queue may begin partially: jobs of lower priority may not use the
 * free capacity, so it would be idle until there is enough. The order is: jobs
 * that have begun, then priority, then the number of tasks, most first, then
 * the latest start.
 */
#include <stdlib.h>

#include "drive/drive_state.h"
#include "util/alloc.h"
#include "util/cleanup.h"

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
	if (a->n_tasks != b->n_tasks)
		return a->n_tasks > b->n_tasks;
	return a->latest_start_at < b->latest_start_at;
}

void queue_add(struct drive *d, struct job *j, int64_t now)
{
	struct list *pos;

	j->is_late = j->has_begun && now > j->latest_start_at;
	queue_remove(j);
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

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Estimates when a run ends. */
static int64_t run_expected_end(const struct drive *d, const struct run *r,
				int64_t now)
{
	const struct job *j = job_get(d, r->job);
	const struct worker *w = worker_get(d, r->worker);
	int64_t end_at;

	if (!j || !w || r->stopping)
		return now;
	end_at = r->sent_at + (int64_t)worker_expected_ms(d, w, j);
	return end_at > now ? end_at : now;
}

/* How many further tasks of this job's size fit on all usable workers. */
static uint32_t count_free_slots(const struct drive *d, const struct job *j,
				 int64_t now)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0, n = 0;

	if (!j->cpu_milli)
		return UINT32_MAX;
	while ((w = table_next(&d->workers, &pos, &handle)))
		if (worker_is_usable(d, w, now) &&
		    place_is_in_time(d, w, j, now) &&
		    w->info.cpu_milli > w->used_cpu_milli)
			n += (w->info.cpu_milli - w->used_cpu_milli) /
			     j->cpu_milli;
	return n;
}

/*
 * Estimates when `j`, which is queued, can begin if `free_slots` tasks of its
 * size fit now.
 */
static int64_t estimate_start(const struct drive *d, const struct job *j,
			      uint32_t free_slots, int64_t now)
{
	auto_free int64_t *ends = NULL;
	uint32_t needed = queue_count_waiting(j);
	const struct run *r;
	struct list *pos, *after;
	uint64_t handle;
	uint32_t run_pos = 0;
	size_t n = 0;

	LIST_EACH(pos, after, &d->queue)
	{
		const struct job *other = LIST_ITEM(pos, struct job,
						    queue_link);

		if (other == j)
			break;
		needed += queue_count_waiting(other);
	}
	if (needed <= free_slots)
		return now;
	needed -= free_slots;
	ends = xcalloc(d->runs.used + 1, sizeof(*ends));
	while ((r = table_next(&d->runs, &run_pos, &handle)))
		if (r->state != RUN_ENDED)
			ends[n++] = run_expected_end(d, r, now);
	if (needed > n)
		return INT64_MAX;
	qsort(ends, n, sizeof(*ends), compare_times);
	return ends[needed - 1];
}

int64_t queue_expected_start(const struct drive *d, const struct job *j,
			     int64_t now)
{
	return estimate_start(d, j, count_free_slots(d, j, now), now);
}

static void log_begun(struct drive *d, const struct job *j, int64_t now)
{
	histogram_add(&d->counts.begin_delay, now - j->arrived_at);
	log_info("job_begun", LOG_S("job", j->id), LOG_U("tasks", j->n_active),
		 LOG_U("done", j->n_done), LOG_U("priority", j->priority),
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
static bool may_begin_partially(const struct drive *d, const struct job *j,
				int64_t now)
{
	uint32_t free_slots;

	if (j->has_begun)
		return true;
	free_slots = count_free_slots(d, j, now);
	return free_slots &&
	       estimate_start(d, j, free_slots, now) < j->latest_start_at;
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
	if (place_job(d, j, now)) {
		queue_remove(j);
		log_begun(d, j, now);
		return false;
	}
	if (!j->has_begun && now > j->latest_start_at) {
		refuse_job(d, j, "objective_missed", now);
		return false;
	}
	if (is_first && may_begin_partially(d, j, now))
		begin_partially(d, j, now);
	return !j->is_late;
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
