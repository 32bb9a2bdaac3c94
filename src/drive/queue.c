/*
 * Which waiting jobs begin, and in which order. A job earns its caller
 * anything only when its last task has ended, so it begins with room for all
 * of its tasks, and one that can no longer make its objective leaves at once.
 * Only the first in line begins in part, as room that others may not use
 * would lie idle until it is enough. Jobs that began come first, then by
 * priority, the widest, and by how soon they must begin. Answers loads above
 * the room there is.
 */
#include <stdlib.h>

#include "drive/drive_state.h"
#include "util/alloc.h"
#include "util/cleanup.h"

enum {
	RETRY_LEAST_MS = 1000 /* callers count in whole seconds */
};

static bool before(const struct job *a, const struct job *b)
{
	if (a->begun != b->begun)
		return a->begun;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->n_tasks != b->n_tasks)
		return a->n_tasks > b->n_tasks;
	return a->latest_start < b->latest_start;
}

void queue_add(struct drive *d, struct job *j)
{
	struct list *at;

	queue_remove(j);
	for (at = d->queue.prev; at != &d->queue; at = at->prev)
		if (!before(j, LIST_ITEM(at, struct job, queue)))
			break;
	/* list_add puts before a node; the head stands for the end */
	list_add(at->next, &j->queue);
	d->room_changed = true;
}

void queue_remove(struct job *j)
{
	list_remove(&j->queue);
}

static uint32_t n_waiting(const struct job *j)
{
	return j->n_tasks - j->n_done - j->n_active;
}

static int by_time(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* When a run should end, as far as can be told. */
static int64_t run_expected_end(const struct drive *d, const struct run *r,
				int64_t now)
{
	const struct job *j = job_get(d, r->job);
	int64_t at;

	if (!j || r->stopping)
		return now;
	at = r->sent_at + (int64_t)run_time_expect(j->times, j->estimate_ms);
	return at > now ? at : now;
}

/* The most tasks of its size that all usable workers hold at once. */
static uint32_t slots_free(const struct drive *d, const struct job *j,
			   int64_t now)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0, n = 0;

	if (!j->cpu_milli)
		return UINT32_MAX;
	while ((w = table_next(&d->workers, &pos, &handle)))
		if (worker_usable(d, w, now) && w->info.cpu_milli > w->used_cpu)
			n += (w->info.cpu_milli - w->used_cpu) / j->cpu_milli;
	return n;
}

/* When it can begin, given what is free for tasks of its size. */
static int64_t expected_start(const struct drive *d, const struct job *j,
			      uint32_t free_slots, int64_t now)
{
	auto_free int64_t *ends = NULL;
	uint32_t needed = n_waiting(j);
	const struct run *r;
	struct list *pos, *after;
	uint64_t handle;
	uint32_t at = 0;
	size_t n = 0;

	LIST_EACH(pos, after, &d->queue)
	{
		const struct job *o = LIST_ITEM(pos, struct job, queue);

		if (o != j && before(o, j))
			needed += n_waiting(o);
	}
	if (needed <= free_slots)
		return now;
	needed -= free_slots;
	ends = xcalloc(d->runs.used + 1, sizeof(*ends));
	while ((r = table_next(&d->runs, &at, &handle)))
		if (r->state != RUN_ENDED)
			ends[n++] = run_expected_end(d, r, now);
	if (needed > n)
		return INT64_MAX;
	qsort(ends, n, sizeof(*ends), by_time);
	return ends[needed - 1];
}

int64_t queue_expected_start(const struct drive *d, const struct job *j,
			     int64_t now)
{
	return expected_start(d, j, slots_free(d, j, now), now);
}

static void note_begun(struct drive *d, const struct job *j, int64_t now)
{
	histogram_add(&d->counts.begin_delay, now - j->arrived_at);
	log_info("job_begun", LOG_S("job", j->id), LOG_U("tasks", j->n_active),
		 LOG_U("done", j->n_done), LOG_U("priority", j->priority),
		 LOG_I("waited_ms", now - j->arrived_at),
		 LOG_I("to_latest_start_ms", j->latest_start - now));
}

static void refuse(struct drive *d, struct job *j, const char *reason,
		   int64_t now)
{
	job_end(d, j, DRIVE_REFUSED, RETRY_LEAST_MS, reason, now);
}

/*
 * A home that is not heard may have handed the job to another driver, which
 * adopts what runs of it.
 */
static bool homes_near(const struct drive *d, const struct job *j)
{
	size_t i;

	for (i = 0; i < j->n_waiters; i++)
		if (!d->opt.is_home_reachable(d->opt.ctx, j->waiters[i].home))
			return false;
	return true;
}

/*
 * The first in the queue keeps what comes free from all others, so it may as
 * well use it, if the rest is sure to follow in time.
 */
static bool may_begin_in_part(const struct drive *d, const struct job *j,
			      int64_t now)
{
	uint32_t free_slots;

	if (j->begun)
		return true;
	free_slots = slots_free(d, j, now);
	return free_slots &&
	       expected_start(d, j, free_slots, now) < j->latest_start;
}

static void begin_part(struct drive *d, struct job *j, int64_t now)
{
	bool begun = j->begun;

	if (!place_part(d, j, now) || begun)
		return;
	log_info("job_begun_in_part", LOG_S("job", j->id),
		 LOG_U("tasks", j->n_active), LOG_U("of", j->n_tasks),
		 LOG_U("priority", j->priority),
		 LOG_I("waited_ms", now - j->arrived_at),
		 LOG_I("to_latest_start_ms", j->latest_start - now));
}

static bool look_at(struct drive *d, struct job *j, bool first, int64_t now)
{
	if (now >= j->deadline_at)
		return false;
	if (!job_settled(d, j, now) || !homes_near(d, j))
		return false;
	if (place_job(d, j, now)) {
		queue_remove(j);
		note_begun(d, j, now);
		return false;
	}
	if (!j->begun && now > j->latest_start) {
		refuse(d, j, "objective_missed", now);
		return false;
	}
	if (first && may_begin_in_part(d, j, now))
		begin_part(d, j, now);
	return true;
}

void queue_run(struct drive *d, int64_t now)
{
	struct list *pos, *after;
	uint32_t blocked_priority = 0;
	bool blocked = false;

	if (!d->active || !d->room_changed)
		return;
	d->room_changed = false;
	LIST_EACH(pos, after, &d->queue)
	{
		struct job *j = LIST_ITEM(pos, struct job, queue);

		if (blocked && j->priority > blocked_priority)
			break;
		if (!look_at(d, j, !blocked, now))
			continue;
		blocked = true;
		blocked_priority = j->priority;
	}
}
