/* Runs of tasks: started, watched, stopped, taken over, ended. */
#include <string.h>

#include "drive/drive_state.h"

enum {
	STOP_RETRY_MS = 100, /* until an unanswered stop is sent again */
	STRAY_MS = 150, /* a run whose job nobody hands in is stopped after */
	ENDED_KEEP_MS = 1500, /* an end whose job may be handed in again */
	STALL_LEAST_MS = 150, /* without progress until a run is stalled */
	STALL_PART = 4, /* or this part of what it should take */
	GENERATION_RUNS = 1024 /* run numbers of one generation of a job */
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

void run_runs(struct run *r, int64_t now)
{
	if (r->state == RUN_RUNNING)
		return;
	r->state = RUN_RUNNING;
	r->running_at = r->percent_at = now;
}

struct run *run_on(const struct drive *d, const struct worker *w,
		   const struct drive_task *task, uint32_t number)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &w->runs)
	{
		struct run *r = LIST_ITEM(pos, struct run, of_worker);

		if (r->number == number &&
		    !memcmp(&r->task, task, sizeof(*task)))
			return r;
	}
	return NULL;
}

static struct run *add(struct drive *d, struct worker *w,
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
	list_add(&w->runs, &r->of_worker);
	w->n_runs++;
	return r;
}

static void put_index(struct drive *d, const struct run *r)
{
	index_put(&d->run_tasks, task_key(&r->task), r->handle);
}

static void leave_worker(struct worker *w, struct run *r)
{
	if (!r->of_worker.next)
		return;
	list_remove(&r->of_worker);
	w->n_runs--;
	w->n_strays -= r->stray;
	r->stray = false;
}

static void take_room(struct worker *w, struct run *r, uint32_t cpu,
		      uint32_t memory, uint32_t accelerators)
{
	r->cpu_milli = cpu;
	r->memory_mb = memory;
	r->accelerators = accelerators;
	w->used_cpu += cpu;
	w->used_memory += memory;
	w->used_accelerators += accelerators;
}

static void give_room(struct worker *w, struct run *r)
{
	w->used_cpu -= r->cpu_milli;
	w->used_memory -= r->memory_mb;
	w->used_accelerators -= r->accelerators;
	r->cpu_milli = r->memory_mb = r->accelerators = 0;
}

void run_forget(struct drive *d, struct run *r)
{
	struct worker *w = worker_get(d, r->worker);
	uint64_t handle;

	if (w) {
		give_room(w, r);
		leave_worker(w, r);
	}
	if (index_get(&d->run_tasks, task_key(&r->task), &handle) &&
	    handle == r->handle)
		index_del(&d->run_tasks, task_key(&r->task));
	table_del(&d->runs, r->handle);
}

static uint32_t next_number(const struct job *j, const struct task *t)
{
	if (t->runs)
		return t->runs + 1;
	return j->generation * GENERATION_RUNS + 1;
}

void run_start(struct drive *d, struct job *j, uint32_t index, struct worker *w,
	       int64_t now)
{
	struct task *t = &j->tasks[index];
	struct drive_task task = {.index = index};
	struct drive_start call = {.worker = &w->info};
	struct run *r;

	memcpy(task.job, j->id, sizeof(task.job));
	t->runs = next_number(j, t);
	r = add(d, w, &task, t->runs);
	put_index(d, r);
	r->job = j->handle;
	r->state = RUN_STARTING;
	r->sent_at = now;
	r->fence = worker_fence(d, w);
	take_room(w, r, j->cpu_milli, j->memory_mb, j->accelerators);
	t->state = TASK_ACTIVE;
	t->run = r->handle;
	j->n_active++;
	j->begun = true;
	call.call = r->handle;
	call.task = &r->task;
	call.run = r->number;
	call.fence = r->fence;
	call.lease_until = worker_lease(d, w, now);
	call.body.p = j->body;
	call.body.n = j->body_len;
	d->counts.starts++;
	d->opt.start(d->opt.ctx, &call);
}

void run_claim(struct drive *d, struct run *r, const struct job *j)
{
	struct worker *w = worker_get(d, r->worker);

	r->job = j->handle;
	if (!w)
		return;
	w->n_strays -= r->stray;
	r->stray = false;
	give_room(w, r);
	take_room(w, r, j->cpu_milli, j->memory_mb, j->accelerators);
}

/* A task of a job in hand that waits may be running unseen: join the two. */
static void attach(struct drive *d, struct run *r)
{
	struct job *j = job_find(d, r->task.job);
	struct task *t;

	if (!j || r->task.step || r->task.index >= j->n_tasks)
		return;
	t = &j->tasks[r->task.index];
	if (t->state != TASK_WAITING)
		return;
	t->state = TASK_ACTIVE;
	t->run = r->handle;
	if (r->number > t->runs)
		t->runs = r->number;
	j->n_active++;
	j->begun = true;
	run_claim(d, r, j);
	d->counts.adopted++;
}

void run_adopt(struct drive *d, struct worker *w,
	       const struct drive_running *row, int64_t now)
{
	struct run *old = run_find(d, &row->task);
	struct run *r;

	if (old && old->state == RUN_ENDED) {
		run_forget(d, old);
		old = NULL;
	}
	r = add(d, w, &row->task, row->run);
	r->state = RUN_RUNNING;
	r->sent_at = r->running_at = r->percent_at = now;
	r->percent = row->percent;
	take_room(w, r, w->info.cpu_milli / 2, 0, 0);
	worker_may_run(d, w, now);
	r->stray = true;
	w->n_strays++;
	if (old) {
		log_warn("second_run_stopped", LOG_S("job", row->task.job),
			 LOG_U("task", row->task.index), LOG_U("run", row->run),
			 LOG_S("worker", w->info.name));
		run_stop(d, r, now);
		return;
	}
	put_index(d, r);
	attach(d, r);
}

void run_keep_end(struct drive *d, struct worker *w,
		  const struct drive_ended *end, int64_t now)
{
	struct run *r;

	if (end->how != DRIVE_HOW_DONE || !w->listed)
		return;
	r = add(d, w, &end->task, end->run);
	put_index(d, r);
	leave_worker(w, r);
	r->state = RUN_ENDED;
	r->how = end->how;
	r->drop_at = now + ENDED_KEEP_MS;
}

void run_stop(struct drive *d, struct run *r, int64_t now)
{
	struct worker *w = worker_get(d, r->worker);
	struct drive_stop call = {.call = r->handle, .task = &r->task};

	if (r->state == RUN_ENDED || !w)
		return;
	r->stopping = true;
	if (r->stop_open || now < r->stop_at)
		return;
	r->stop_open = true;
	r->stop_at = now + STOP_RETRY_MS;
	call.worker = &w->info;
	call.run = r->number;
	call.fence = worker_fence(d, w);
	d->counts.stops++;
	d->opt.stop(d->opt.ctx, &call);
}

static void judge_worker(struct drive *d, struct worker *w, const struct run *r,
			 enum drive_how how, int64_t now)
{
	struct job *j = job_get(d, r->job);

	if (how == DRIVE_HOW_FAILED) {
		worker_bad_end(d, w, now, "task_failed");
		return;
	}
	if (how != DRIVE_HOW_DONE)
		return;
	worker_good_end(d, w);
	if (!j || r->state != RUN_RUNNING || !r->fence)
		return;
	run_time_learn(&d->times, j->times, w->info.kind, j->estimate_ms,
		       (double)(now - r->sent_at));
}

void run_over(struct drive *d, struct run *r, enum drive_how how, int64_t now)
{
	struct worker *w = worker_get(d, r->worker);
	struct job *j = job_get(d, r->job);
	uint32_t index = r->task.index;

	if (how == DRIVE_HOW_DONE)
		d->counts.ends_done++;
	else if (how == DRIVE_HOW_FAILED)
		d->counts.ends_failed++;
	else
		d->counts.ends_other++;
	if (w && !r->stopping)
		judge_worker(d, w, r, how, now);
	run_forget(d, r);
	d->room_changed = true;
	if (j)
		job_task_over(d, j, index, how, now);
}

static bool stalled(const struct drive *d, const struct run *r, int64_t now)
{
	const struct job *j = job_get(d, r->job);
	double most;

	if (!j || r->state != RUN_RUNNING || r->stopping)
		return false;
	most = run_time_expect(j->times, j->estimate_ms) / STALL_PART;
	if (most < STALL_LEAST_MS)
		most = STALL_LEAST_MS;
	/* The row may be as old as a hold waits. */
	return (double)(now - r->percent_at) > most + d->opt.hold_wait_ms;
}

static void stop_stalled(struct drive *d, struct run *r, int64_t now)
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

void run_tick(struct drive *d, struct run *r, int64_t now)
{
	struct worker *w = worker_get(d, r->worker);

	if (r->state == RUN_ENDED) {
		if (now >= r->drop_at)
			run_forget(d, r);
		return;
	}
	if (!w)
		return;
	if (r->state == RUN_DOUBTFUL)
		hold_probe(d, w, now);
	if (!r->job && now - r->sent_at > STRAY_MS)
		r->stopping = true;
	if (r->stopping)
		run_stop(d, r, now);
	else if (!w->silent_since && stalled(d, r, now))
		stop_stalled(d, r, now);
}
