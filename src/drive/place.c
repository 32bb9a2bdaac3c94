/*
 * Chooses the workers of a job's waiting tasks, for loads where jobs of
 * several tasks compete for workers that a single task nearly fills.
 */
#include <stdlib.h>
#include <string.h>

#include "drive/drive_state.h"
#include "policy/placement.h"
#include "util/alloc.h"
#include "util/cleanup.h"

enum {
	/*
	 * While much is free, one pick of so many is for any speed: if a route
	 * only ran on slow workers, its run times could not be told from theirs.
	 */
	ANY_SPEED_PICKS = 8
};

/* The free capacity of a worker while a job is being placed. */
struct free_worker {
	struct worker *worker;
	uint32_t free_memory_mb, free_accelerators, free_slots;
	uint32_t n_tasks_placed; /* of this job */
	struct placement_worker placement;
};

static bool has_label(const struct drive_worker *info, const char *label)
{
	size_t i;

	for (i = 0; i < info->n_labels; i++)
		if (!strcmp(info->labels[i], label))
			return true;
	return false;
}

static bool is_eligible(const struct worker *w, const struct job *j)
{
	if (strcmp(w->info.service, j->service))
		return false;
	return !*j->label || has_label(&w->info, j->label);
}

static bool fits_task(const struct free_worker *fw, const struct job *j)
{
	if (j->per_worker_max && fw->n_tasks_placed >= j->per_worker_max)
		return false;
	if (fw->worker->on_probation && fw->n_tasks_placed)
		return false;
	return fw->placement.free_cpu_milli >= j->cpu_milli &&
	       fw->free_memory_mb >= j->memory_mb &&
	       fw->free_accelerators >= j->accelerators && fw->free_slots;
}

static uint32_t remaining(uint32_t total, uint32_t used)
{
	return total > used ? total - used : 0;
}

static uint32_t count_runs_of_job(const struct drive *d, const struct worker *w,
				  const struct job *j)
{
	struct list *pos, *after;
	uint32_t n = 0;

	if (!j->per_worker_max)
		return 0;
	LIST_EACH(pos, after, &w->runs)
	if (LIST_ITEM(pos, struct run, worker_link)->job == j->handle)
		n++;
	return n;
}

/*
 * Routes whose tasks crash workers are kept apart from the others, as far as
 * the free capacity allows.
 */
static bool has_other_risk(const struct drive *d, const struct worker *w,
			   bool is_risky, int64_t now)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &w->runs)
	{
		const struct run *r = LIST_ITEM(pos, struct run, worker_link);
		const struct job *j = job_get(d, r->job);

		if (j && run_time_is_risky(j->run_time, now) != is_risky)
			return true;
	}
	return false;
}

static size_t collect_workers(const struct drive *d, const struct job *j,
			      struct free_worker *free_workers, int64_t now)
{
	bool is_risky = run_time_is_risky(j->run_time, now);
	bool has_risky = run_times_has_risky(&d->run_times, now);
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;
	size_t n = 0;

	while ((w = table_next(&d->workers, &pos, &handle))) {
		struct free_worker *fw = &free_workers[n];

		if (!worker_is_usable(d, w, now) || !is_eligible(w, j))
			continue;
		fw->worker = w;
		fw->placement.free_cpu_milli = remaining(w->info.cpu_milli,
							 w->used_cpu_milli);
		fw->free_memory_mb = remaining(w->info.memory_mb,
					       w->used_memory_mb);
		fw->free_accelerators = remaining(w->info.accelerators,
						  w->used_accelerators);
		fw->free_slots = worker_free_slots(w);
		fw->n_tasks_placed = count_runs_of_job(d, w, j);
		fw->placement.expected_ms = worker_expected_ms(d, w, j);
		fw->placement.factor = w->factor;
		if (!place_is_in_time(d, w, j, now))
			continue;
		fw->placement.in_home_domain = !strcmp(w->info.domain,
						       j->domain);
		fw->placement.is_mixed = has_risky &&
					 has_other_risk(d, w, is_risky, now);
		if (fits_task(fw, j))
			n++;
	}
	return n;
}

static struct free_worker *choose_worker(struct drive *d, const struct job *j,
					 const struct placement_task *task,
					 struct free_worker *free_workers,
					 size_t n)
{
	struct free_worker *best = NULL;
	size_t i, at;

	for (i = 0; i < n; i++) {
		at = (i + d->next_pick) % n;
		if (fits_task(&free_workers[at], j) &&
		    (!best ||
		     placement_is_better(task, &free_workers[at].placement,
					 &best->placement)))
			best = &free_workers[at];
	}
	return best;
}

static void reserve(struct free_worker *fw, const struct job *j)
{
	fw->placement.free_cpu_milli -= j->cpu_milli;
	fw->free_memory_mb -= j->memory_mb;
	fw->free_accelerators -= j->accelerators;
	fw->free_slots--;
	fw->n_tasks_placed++;
}

static struct placement_task task_of(const struct job *j, int64_t now)
{
	return (struct placement_task){
		.left_ms = (double)(j->objective_at - now),
	};
}

bool place_is_in_time(const struct drive *d, const struct worker *w,
		      const struct job *j, int64_t now)
{
	struct placement_task task = task_of(j, now);
	struct placement_worker pw = {
		.expected_ms = worker_expected_ms(d, w, j)};

	return now > j->latest_start_at || placement_is_in_time(&task, &pw);
}

static bool is_startable(const struct task *t)
{
	return t->state == TASK_WAITING && !t->is_suspect;
}

/* Fills `picks` with workers for as many waiting tasks as fit. */
static uint32_t choose_workers(struct drive *d, const struct job *j,
			       struct worker **picks, int64_t now)
{
	auto_free struct free_worker *free_workers = NULL;
	struct placement_task task = task_of(j, now);
	uint32_t i, n_picks = 0;
	size_t n;

	free_workers = xcalloc(d->workers.used + 1, sizeof(*free_workers));
	n = collect_workers(d, j, free_workers, now);
	if (!n)
		return 0;
	d->next_pick++;
	task.is_any_speed = n > d->workers.used / 2 &&
			    d->next_pick % ANY_SPEED_PICKS == 0;
	for (i = 0; i < j->n_tasks; i++) {
		struct free_worker *fw;

		if (!is_startable(&j->tasks[i]))
			continue;
		fw = choose_worker(d, j, &task, free_workers, n);
		if (!fw)
			break;
		reserve(fw, j);
		picks[n_picks++] = fw->worker;
	}
	return n_picks;
}

/* Starts the waiting tasks that fit if at least `min_tasks` of them do. */
static uint32_t start_tasks(struct drive *d, struct job *j, uint32_t min_tasks,
			    int64_t now)
{
	auto_free struct worker **picks = NULL;
	uint32_t i, n, at = 0;

	picks = xcalloc(j->n_tasks, sizeof(struct worker *));
	n = choose_workers(d, j, picks, now);
	if (n < min_tasks)
		return 0;
	for (i = 0; i < j->n_tasks && at < n; i++)
		if (is_startable(&j->tasks[i]))
			run_start(d, j, i, picks[at++], now);
	return n;
}

bool place_job(struct drive *d, struct job *j, int64_t now)
{
	uint32_t waiting = queue_count_waiting(j);

	return start_tasks(d, j, waiting, now) == waiting;
}

bool place_some(struct drive *d, struct job *j, int64_t now)
{
	return start_tasks(d, j, 1, now) > 0;
}

bool place_is_eligible(const struct worker *w, const struct job *j)
{
	return is_eligible(w, j);
}

bool place_fits_empty(const struct worker *w, const struct job *j)
{
	return is_eligible(w, j) && w->info.cpu_milli >= j->cpu_milli &&
	       w->info.memory_mb >= j->memory_mb &&
	       w->info.accelerators >= j->accelerators;
}

bool place_has_open_worker(const struct drive *d, const struct job *j)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	if (!d->awaits_evacuated && !d->evacuated.n)
		return true;
	while ((w = table_next(&d->workers, &pos, &handle)))
		if (w->listed && !worker_is_evacuated(d, w) &&
		    place_fits_empty(w, j))
			return true;
	return false;
}

bool place_is_possible(const struct drive *d, const struct job *j)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (w->listed && place_fits_empty(w, j))
			return true;
	return false;
}
