/*
 * Taking a job in: joined with one in hand, adopted, begun, queued or refused
 * at once. What cannot make its objective is told so before it waits.
 */
#include "drive/drive_state.h"
#include "util/alloc.h"

enum {
	NO_WORKER_RETRY_MS = 1000,
	TOO_LARGE_RETRY_MS = 0 /* it never fits */
};

static bool add_waiter(struct job *j, uint64_t home, uint64_t tag,
		       uint32_t generation)
{
	struct waiter *w = NULL;
	size_t i;

	for (i = 0; i < j->n_waiters; i++)
		if (j->waiters[i].home == home && j->waiters[i].tag == tag)
			w = &j->waiters[i];
	if (!w && j->n_waiters == WAITERS_MAX)
		return false;
	if (!w)
		w = &j->waiters[j->n_waiters++];
	w->home = home;
	w->tag = tag;
	w->generation = generation;
	return true;
}

static void set_times(struct drive *d, struct job *j,
		      const struct drive_job *spec, int64_t now)
{
	double expected;
	int64_t objective;

	j->times = run_time_of(&d->times, spec->route);
	expected = run_time_expect(j->times, spec->estimate_ms);
	objective = (int64_t)(expected * spec->objective_percent / 100);
	objective += spec->objective_add_ms;
	j->arrived_at = now - spec->age_ms;
	j->objective_at = j->arrived_at + objective;
	j->latest_start = j->objective_at - (int64_t)expected;
	j->deadline_at = now + spec->deadline_ms;
	j->handed_at = now;
	j->settled_at = now + DRIVE_HOME_TIMEOUT_MS + worker_lease_most(d);
}

static struct job *job_new(struct drive *d, const struct drive_job *spec,
			   int64_t now)
{
	struct job *j;
	void *item;
	uint64_t handle = table_add(&d->jobs, &item);

	j = item;
	j->handle = handle;
	copy_name(j->id, sizeof(j->id), spec->id);
	copy_name(j->service, sizeof(j->service), spec->service);
	copy_name(j->label, sizeof(j->label), spec->label);
	copy_name(j->domain, sizeof(j->domain), spec->domain);
	j->generation = spec->generation;
	j->priority = spec->priority;
	j->attempts_max = spec->attempts_max;
	j->per_worker_max = spec->per_worker_max;
	j->cpu_milli = spec->cpu_milli;
	j->memory_mb = spec->memory_mb;
	j->accelerators = spec->accelerators;
	j->estimate_ms = spec->estimate_ms;
	j->n_tasks = spec->n_tasks;
	j->tasks = xcalloc(spec->n_tasks, sizeof(*j->tasks));
	j->body = xmemdup(spec->body.p, spec->body.n);
	j->body_len = spec->body.n;
	set_times(d, j, spec, now);
	list_add(&d->all, &j->all);
	job_index(d, j);
	return j;
}

/* What ran or ended before the job was handed in again is its own. */
static void adopt_runs(struct drive *d, struct job *j)
{
	struct drive_task task = {.step = 0};
	uint32_t i;

	memcpy(task.job, j->id, sizeof(task.job));
	for (i = 0; i < j->n_tasks; i++) {
		struct run *r;

		task.index = i;
		r = run_find(d, &task);
		if (!r)
			continue;
		j->begun = true;
		j->tasks[i].runs = r->number;
		d->counts.adopted++;
		if (r->state == RUN_ENDED) {
			j->tasks[i].state = TASK_DONE;
			j->n_done++;
			run_forget(d, r);
			continue;
		}
		run_claim(d, r, j);
		j->tasks[i].state = TASK_ACTIVE;
		j->tasks[i].run = r->handle;
		j->n_active++;
	}
}

static void refuse_new(struct drive *d, uint64_t home, uint64_t tag,
		       const struct drive_job *spec, uint32_t retry_ms,
		       const char *reason)
{
	struct drive_job_done done = {
		.home = home,
		.tag = tag,
		.generation = spec->generation,
		.outcome = DRIVE_REFUSED,
		.retry_after_ms = retry_ms,
		.reason = reason,
	};

	d->counts.refused++;
	log_info("job_refused", LOG_S("job", spec->id), LOG_S("reason", reason),
		 LOG_U("retry_ms", retry_ms));
	d->opt.job_done(d->opt.ctx, &done);
}

static void join(struct drive *d, struct job *j, uint64_t home, uint64_t tag,
		 const struct drive_job *spec, int64_t now)
{
	int64_t deadline = now + spec->deadline_ms;

	if (!add_waiter(j, home, tag, spec->generation)) {
		refuse_new(d, home, tag, spec, NO_WORKER_RETRY_MS,
			   "handed_in_too_often");
		return;
	}
	if (deadline > j->deadline_at)
		j->deadline_at = deadline;
	log_info("job_joined", LOG_S("job", j->id), LOG_U("home", home),
		 LOG_U("generation", spec->generation),
		 LOG_U("active", j->n_active));
}

/*
 * A job that was handed to another driver before may still run where this
 * one has not raised the fence yet. The other gives it up when it no longer
 * hears the job's home, or sees our fence; its leases end after that.
 */
bool job_settled(const struct drive *d, const struct job *j, int64_t now)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	if (!j->generation || now >= j->settled_at)
		return true;
	if (*d->only || !d->list_fresh ||
	    now - d->known_since < UNLISTED_RUNS_MS)
		return false;
	while ((w = table_next(&d->workers, &pos, &handle)))
		if (worker_unseen(d, w, j->handed_at, now))
			return false;
	return true;
}

/* Asks every worker at once what runs there. */
static void prove_all(struct drive *d, const struct job *j, int64_t now)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (worker_held(d, w) && !w->silent_since &&
		    w->proved_at < j->handed_at)
			hold_probe(d, w, now);
}

/* A new driver knows no room until its workers have answered. */
static bool lists_are_due(const struct drive *d)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (w->listed && worker_ours(d, w) && !worker_held(d, w) &&
		    !w->silent_since)
			return true;
	return false;
}

/* What decides whether a job that does not fit now may wait. */
static void note_waits(const struct drive *d, const struct job *j,
		       int64_t start, int64_t now)
{
	bool never = start == INT64_MAX;

	log_info("job_waits", LOG_S("job", j->id), LOG_U("tasks", j->n_tasks),
		 LOG_U("priority", j->priority), LOG_U("runs", d->runs.used),
		 LOG_I("expected_in_ms", never ? -1 : start - now),
		 LOG_I("to_latest_start_ms", j->latest_start - now));
}

/* Decides on a new job: begin, wait or refuse. */
static void admit(struct drive *d, struct job *j, int64_t now)
{
	uint64_t handle = j->handle;
	int64_t start;

	if (j->n_done == j->n_tasks) {
		job_end(d, j, DRIVE_COMPLETED, 0, "completed", now);
		return;
	}
	if (j->n_active + j->n_done == j->n_tasks)
		return;
	if (!d->workers.used) {
		job_end(d, j, DRIVE_REFUSED, NO_WORKER_RETRY_MS,
			"no_worker_known", now);
		return;
	}
	if (!place_possible(d, j)) {
		job_end(d, j, DRIVE_REFUSED, TOO_LARGE_RETRY_MS,
			"fits_no_worker", now);
		return;
	}
	if (!job_settled(d, j, now))
		prove_all(d, j, now);
	queue_add(d, j);
	queue_run(d, now);
	j = job_get(d, handle);
	if (!j || !j->queue.next || j->begun)
		return;
	if (!job_settled(d, j, now))
		return;
	if (lists_are_due(d))
		return;
	start = queue_expected_start(d, j, now);
	note_waits(d, j, start, now);
	if (start > j->latest_start)
		job_end(d, j, DRIVE_REFUSED, NO_WORKER_RETRY_MS,
			"no_room_in_time", now);
}

void drive_submit(struct drive *d, int64_t now, uint64_t home, uint64_t tag,
		  const struct drive_job *spec)
{
	char id[DRIVE_JOB_ID_MAX] = "";
	struct job *j;

	copy_name(id, sizeof(id), spec->id);
	d->counts.jobs++;
	if (!d->active) {
		refuse_new(d, home, tag, spec, NO_WORKER_RETRY_MS,
			   "not_driving");
		return;
	}
	j = job_find(d, id);
	if (j) {
		join(d, j, home, tag, spec, now);
		return;
	}
	j = job_new(d, spec, now);
	add_waiter(j, home, tag, spec->generation);
	adopt_runs(d, j);
	admit(d, j, now);
}
