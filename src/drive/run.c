/* Starts, watches, stops, adopts and finishes the runs of tasks. */
#include <string.h>

#include "drive/drive_state.h"

enum {
	STOP_RETRY_MS = 100, /* between two stop calls for one run */
	/* An adopted run is stopped if its job is not submitted by then. */
	ORPHAN_STOP_AFTER_MS = 150,
	/* A stop that is carried out has ended the run long before. */
	STOP_OVERDUE_MS = 250,
	/* A result is kept for this time, as its job may be submitted again. */
	ENDED_KEEP_MS = 1500,
	/*
	 * A run is stalled after this time without progress, or after its
	 * expected run time divided by STALL_DIVISOR if that is longer.
	 */
	STALL_MIN_MS = 150,
	STALL_DIVISOR = 4,
	RUNS_PER_GENERATION = 1024 /* run numbers of one generation of a job */
};

struct run *run_get(const struct drive *d, uint64_t handle)
{
	return table_get(&d->runs, handle);
}

static struct index_key task_key(const struct drive_task *task)
{
	return index_hash_bytes(task, sizeof(*task));
}

struct run *run_find(const struct drive *d, const struct drive_task *task)
{
	uint64_t handle;

	if (!index_get(&d->run_tasks, task_key(task), &handle))
		return NULL;
	return run_get(d, handle);
}

void run_mark_running(struct run *r, int64_t now)
{
	if (r->state == RUN_RUNNING)
		return;
	r->state = RUN_RUNNING;
	r->running_at = r->percent_at = now;
}

struct run *run_find_on_worker(const struct drive *d, const struct worker *w,
			       const struct drive_task *task, uint32_t number)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &w->runs)
	{
		struct run *r = LIST_ITEM(pos, struct run, worker_link);

		if (r->number == number &&
		    !memcmp(&r->task, task, sizeof(*task)))
			return r;
	}
	return NULL;
}

static struct run *add_run(struct drive *d, struct worker *w,
			   const struct drive_task *task, uint32_t number)
{
	struct run *r;
	void *item;
	uint64_t handle = table_add(&d->runs, &item);

	r = item;
	r->handle = handle;
	r->worker = w->handle;
	r->task = *task;
	r->number = number;
	list_add(&w->runs, &r->worker_link);
	w->n_runs++;
	return r;
}

static void index_run(struct drive *d, const struct run *r)
{
	index_put(&d->run_tasks, task_key(&r->task), r->handle);
}

static void detach_from_worker(struct worker *w, struct run *r)
{
	if (!r->worker_link.next)
		return;
	list_remove(&r->worker_link);
	w->n_runs--;
	w->n_orphans -= r->is_orphan;
	r->is_orphan = false;
	w->n_exclusive -= r->is_exclusive;
	r->is_exclusive = false;
}

static void reserve_resources(struct worker *w, struct run *r,
			      uint32_t cpu_milli, uint32_t memory_mb,
			      uint32_t accelerators)
{
	r->cpu_milli = cpu_milli;
	r->memory_mb = memory_mb;
	r->accelerators = accelerators;
	w->used_cpu_milli += cpu_milli;
	w->used_memory_mb += memory_mb;
	w->used_accelerators += accelerators;
}

static void release_resources(struct worker *w, struct run *r)
{
	w->used_cpu_milli -= r->cpu_milli;
	w->used_memory_mb -= r->memory_mb;
	w->used_accelerators -= r->accelerators;
	r->cpu_milli = r->memory_mb = r->accelerators = 0;
}

void run_remove(struct drive *d, struct run *r)
{
	struct worker *w = worker_get(d, r->worker);
	uint64_t handle;

	if (w) {
		release_resources(w, r);
		detach_from_worker(w, r);
	}
	if (index_get(&d->run_tasks, task_key(&r->task), &handle) &&
	    handle == r->handle)
		index_del(&d->run_tasks, task_key(&r->task));
	table_del(&d->runs, r->handle);
}

static uint32_t next_run_number(const struct job *j, const struct task *t)
{
	if (t->last_run)
		return t->last_run + 1;
	return j->generation * RUNS_PER_GENERATION + 1;
}

void run_make_exclusive(struct worker *w, struct run *r)
{
	if (r->is_exclusive)
		return;
	r->is_exclusive = true;
	w->n_exclusive++;
}

uint64_t run_start(struct drive *d, struct job *j, uint32_t index,
		   struct worker *w, int64_t now)
{
	struct task *t = &j->tasks[index];
	struct drive_task task = {.index = index};
	struct drive_start call = {.worker = &w->info};
	uint64_t handle;
	struct run *r;

	memcpy(task.job, j->id, sizeof(task.job));
	t->last_run = next_run_number(j, t);
	r = add_run(d, w, &task, t->last_run);
	index_run(d, r);
	r->job = j->handle;
	r->state = RUN_STARTING;
	r->sent_at = now;
	r->fence = worker_fence(d, w);
	r->born_ms = w->info.born_ms;
	r->sent_tick = d->n_ticks;
	due_set(d, w, r, j);
	r->began_cold = now < w->cold_until;
	reserve_resources(w, r, j->cpu_milli, j->memory_mb, j->accelerators);
	t->state = TASK_ACTIVE;
	t->run_handle = r->handle;
	j->n_active++;
	j->has_begun = true;
	call.call = r->handle;
	call.task = &r->task;
	call.run = r->number;
	call.fence = r->fence;
	call.lease_expires_at = worker_grant_lease(d, w, now);
	call.body.p = j->body;
	call.body.n = j->body_len;
	d->counts.starts++;
	w->last_start_at = now;
	room_count_start(d, j, now);
	d->opt.start(d->opt.ctx, &call);
	/* An idle worker has no hold that would report the run's end. */
	handle = call.call;
	hold_tick(d, w, now);
	return handle;
}

void run_assign_job(struct drive *d, struct run *r, const struct job *j)
{
	struct worker *w = worker_get(d, r->worker);

	r->job = j->handle;
	if (!w)
		return;
	w->n_orphans -= r->is_orphan;
	r->is_orphan = false;
	release_resources(w, r);
	reserve_resources(w, r, j->cpu_milli, j->memory_mb, j->accelerators);
}

/* Assigns an adopted run to its task if the job is open and the task waits. */
static void assign_waiting_task(struct drive *d, struct run *r)
{
	struct job *j = job_find(d, r->task.job);
	struct task *t;

	if (!j || r->task.step || r->task.index >= j->n_tasks)
		return;
	t = &j->tasks[r->task.index];
	if (t->state != TASK_WAITING)
		return;
	suspects_clear(d, j, t);
	t->state = TASK_ACTIVE;
	t->run_handle = r->handle;
	if (r->number > t->last_run)
		t->last_run = r->number;
	j->n_active++;
	j->has_begun = true;
	run_assign_job(d, r, j);
	d->counts.adopted++;
}

void run_adopt(struct drive *d, struct worker *w,
	       const struct drive_active_run *row, int64_t now)
{
	struct run *old = run_find(d, &row->task);
	struct run *r;

	if (old && old->state == RUN_ENDED) {
		run_remove(d, old);
		old = NULL;
	}
	r = add_run(d, w, &row->task, row->run);
	r->state = RUN_RUNNING;
	r->sent_at = r->running_at = r->percent_at = now;
	r->percent = row->percent;
	r->born_ms = w->info.born_ms;
	r->is_located = true;
	reserve_resources(w, r, w->info.cpu_milli / 2, 0, 0);
	worker_assume_renewed(d, w, now);
	r->is_orphan = true;
	w->n_orphans++;
	if (losses_judge(d->losses, now, &row->task))
		run_make_exclusive(w, r);
	if (old) {
		log_warn("second_run_stopped", LOG_S("job", row->task.job),
			 LOG_U("task", row->task.index), LOG_U("run", row->run),
			 LOG_S("worker", w->info.name));
		run_stop(d, r, now);
		return;
	}
	index_run(d, r);
	assign_waiting_task(d, r);
}

void run_keep_result(struct drive *d, struct worker *w,
		     const struct drive_ended_run *end, int64_t now)
{
	struct run *r;

	if (end->result != DRIVE_RUN_DONE || !w->listed)
		return;
	r = add_run(d, w, &end->task, end->run);
	index_run(d, r);
	detach_from_worker(w, r);
	r->state = RUN_ENDED;
	r->result = end->result;
	r->drop_at = now + ENDED_KEEP_MS;
}

static void begin_stopping(struct run *r, int64_t now)
{
	if (!r->stopping)
		r->stopping_since = now;
	r->stopping = true;
}

void run_stop(struct drive *d, struct run *r, int64_t now)
{
	struct worker *w = worker_get(d, r->worker);
	struct drive_stop call = {.call = r->handle, .task = &r->task};

	if (r->state == RUN_ENDED || !w)
		return;
	begin_stopping(r, now);
	if (r->stop_in_flight || now < r->next_stop_at)
		return;
	r->stop_in_flight = true;
	r->next_stop_at = now + STOP_RETRY_MS;
	call.worker = &w->info;
	call.run = r->number;
	call.fence = worker_fence(d, w);
	d->counts.stops++;
	d->opt.stop(d->opt.ctx, &call);
}

static void rate_worker(struct drive *d, struct worker *w, struct run *r,
			enum drive_run_result result, int64_t now)
{
	const struct job *j = job_get(d, r->job);

	if (result == DRIVE_RUN_FAILED) {
		worker_record_failure(d, w, now, "task_failed");
		return;
	}
	if (result != DRIVE_RUN_DONE)
		return;
	worker_record_success(d, w);
	if (j && r->state == RUN_RUNNING && r->fence)
		progress_record_end(w, r, j, now);
	speeds_learn_end(d, w, r, now);
}

void run_finish(struct drive *d, struct run *r, enum drive_run_result result,
		int64_t now)
{
	struct worker *w = worker_get(d, r->worker);
	struct job *j = job_get(d, r->job);
	uint32_t index = r->task.index;

	if (result == DRIVE_RUN_DONE)
		d->counts.ends_done++;
	else if (result == DRIVE_RUN_FAILED)
		d->counts.ends_failed++;
	else
		d->counts.ends_other++;
	if (w && !r->stopping)
		rate_worker(d, w, r, result, now);
	run_remove(d, r);
	d->capacity_changed = true;
	if (j)
		job_task_finished(d, j, index, result, now);
}

/*
 * Only lists show progress, and a late driver has not read them. So a list that
 * was read after the limit must still show none.
 */
static bool is_run_stalled(const struct drive *d, const struct run *r,
			   const struct worker *w, int64_t now)
{
	const struct job *j = job_get(d, r->job);
	double limit_ms;

	if (!j || r->state != RUN_RUNNING || r->stopping)
		return false;
	limit_ms = worker_expected_ms(d, w, j) / STALL_DIVISOR;
	if (limit_ms < STALL_MIN_MS)
		limit_ms = STALL_MIN_MS;
	/* A hold may wait before it lists progress, so add that time. */
	if ((double)(w->listed_runs_at - r->percent_at) <= limit_ms)
		return false;
	return (double)(now - r->percent_at) > limit_ms + d->opt.hold_wait_ms;
}

static void stop_stalled_run(struct drive *d, struct run *r, int64_t now)
{
	struct worker *w = worker_get(d, r->worker);

	d->counts.stalls++;
	log_info("task_stalled", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name), LOG_U("percent", r->percent),
		 LOG_I("for_ms", now - r->percent_at));
	run_stop(d, r, now);
	worker_eject(d, w, now, "task_stalled");
}

/* Notes a run that may last although its job has ended, and why. */
static void note_outlived_job(struct drive *d, struct run *r,
			      const struct worker *w, int64_t now)
{
	if (r->job || !r->stopping || r->outlives_job ||
	    now - r->stopping_since < STOP_OVERDUE_MS)
		return;
	r->outlives_job = true;
	d->counts.runs_outlived++;
	log_info("run_outlives_job", LOG_S("job", r->task.job),
		 LOG_U("task", r->task.index), LOG_U("run", r->number),
		 LOG_S("worker", w->info.name), LOG_S("cell", d->opt.cell),
		 LOG_U("state", r->state),
		 LOG_I("stopping_ms", now - r->stopping_since),
		 LOG_I("lease_left_ms", w->lease_expired_at - now));
}

void run_tick(struct drive *d, struct run *r, int64_t now)
{
	struct worker *w = worker_get(d, r->worker);

	if (r->state == RUN_ENDED) {
		if (now >= r->drop_at)
			run_remove(d, r);
		return;
	}
	if (!w)
		return;
	if (r->state == RUN_STARTING)
		run_hedge_start(d, r, w, now);
	if (r->state == RUN_UNCONFIRMED)
		hold_probe(d, w, now);
	if (!r->job && now - r->sent_at > ORPHAN_STOP_AFTER_MS)
		begin_stopping(r, now);
	note_outlived_job(d, r, w, now);
	if (r->stopping)
		run_stop(d, r, now);
	else if (!w->unresponsive_since && is_run_stalled(d, r, w, now))
		stop_stalled_run(d, r, now);
	else if (r->state == RUN_RUNNING)
		due_tick(d, w, r, now);
}
