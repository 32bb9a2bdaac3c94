/*
 * Admits submitted jobs: a job is joined with an open job of the same id,
 * adopted, begun, queued or refused. A job that cannot meet its objective is
 * refused at once instead of after a wait.
 */
#include "drive/drive_state.h"
#include "util/alloc.h"

enum {
	REFUSED_RETRY_MS = 1000,
	TOO_LARGE_RETRY_MS = 0, /* a retry is useless: the job never fits */
	LATE_MIN_MS = 20, /* a driver that is less late refuses nothing */
	LATE_TURNS =
		2 /* turns of the loop to send a start and read its answer */
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

static void set_job_times(struct drive *d, struct job *j,
			  const struct drive_job *spec, int64_t now)
{
	double expected_ms;
	int64_t objective_ms;

	j->run_time = run_time_get(&d->run_times, spec->route);
	expected_ms = run_time_expected_ms(j->run_time, spec->estimate_ms);
	objective_ms = (int64_t)(expected_ms * spec->objective_percent / 100);
	objective_ms += spec->objective_add_ms;
	j->arrived_at = now - spec->age_ms;
	j->objective_at = j->arrived_at + objective_ms;
	j->latest_start_at = j->objective_at - (int64_t)expected_ms;
	j->deadline_at = now + spec->deadline_ms;
	j->submitted_at = now;
	j->settled_at = now + DRIVE_HOME_TIMEOUT_MS + worker_lease_max_ms(d);
}

static struct job *job_new(struct drive *d, const struct drive_job *spec,
			   int64_t now)
{
	struct job *j;
	void *item;
	uint64_t handle = table_add(&d->jobs, &item);

	j = item;
	j->handle = handle;
	copy_text(j->id, sizeof(j->id), spec->id);
	copy_text(j->service, sizeof(j->service), spec->service);
	copy_text(j->label, sizeof(j->label), spec->label);
	copy_text(j->domain, sizeof(j->domain), spec->domain);
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
	set_job_times(d, j, spec, now);
	room_count_job(d, j, now);
	list_add(&d->all_jobs, &j->all_link);
	job_index(d, j);
	return j;
}

/* Assigns to the job its runs that are active or have ended already. */
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
		j->has_begun = true;
		j->tasks[i].last_run = r->number;
		d->counts.adopted++;
		if (r->state == RUN_ENDED) {
			j->tasks[i].state = TASK_DONE;
			j->n_done++;
			run_remove(d, r);
			continue;
		}
		run_assign_job(d, r, j);
		j->tasks[i].state = TASK_ACTIVE;
		j->tasks[i].run_handle = r->handle;
		j->n_active++;
	}
}

static void refuse_submission(struct drive *d, uint64_t home, uint64_t tag,
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

/* Too many homes wait for the job, which may have been started for one of them. */
static void turn_away(struct drive *d, uint64_t home, uint64_t tag,
		      const struct drive_job *spec)
{
	const struct drive_job_done done = {
		.home = home,
		.tag = tag,
		.generation = spec->generation,
		.outcome = DRIVE_ABORTED,
		.reason = "submitted_too_often",
	};

	d->counts.aborted++;
	log_info("job_turned_away", LOG_S("job", spec->id),
		 LOG_U("home", home));
	d->opt.job_done(d->opt.ctx, &done);
}

static void join_job(struct drive *d, struct job *j, uint64_t home,
		     uint64_t tag, const struct drive_job *spec, int64_t now)
{
	int64_t deadline_at = now + spec->deadline_ms;

	if (!add_waiter(j, home, tag, spec->generation)) {
		turn_away(d, home, tag, spec);
		return;
	}
	if (deadline_at > j->deadline_at)
		j->deadline_at = deadline_at;
	if (j->begin_by) /* for a home that stops; this one may go on */
		job_clear_begin_by(j);
	log_info("job_joined", LOG_S("job", j->id), LOG_U("home", home),
		 LOG_U("generation", spec->generation),
		 LOG_U("active", j->n_active));
}

/*
 * A job that was submitted to another driver before may still run on workers
 * where this driver has not raised the fence yet. The other driver gives the
 * job up when it receives no heartbeats from the job's home or sees this
 * driver's fence; its leases end after that.
 */
static bool are_runs_settled(const struct drive *d, const struct job *j,
			     int64_t now)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	if (!j->may_have_runs || now >= j->settled_at)
		return true;
	if (*d->domain_limit || !d->is_list_fresh ||
	    now - d->workers_known_since < UNLISTED_MAY_RUN_MS)
		return false;
	while ((w = table_next(&d->workers, &pos, &handle)))
		if (worker_may_hide_runs(d, w, j->submitted_at, now))
			return false;
	return true;
}

bool job_is_settled(const struct drive *d, const struct job *j, int64_t now)
{
	return !j->awaits_cells && are_runs_settled(d, j, now);
}

static void unsettle(const struct drive *d, struct job *j, int64_t now)
{
	j->may_have_runs = true;
	j->submitted_at = now;
	j->settled_at = now + DRIVE_HOME_TIMEOUT_MS + worker_lease_max_ms(d);
}

/*
 * Requests the lists of all responsive workers whose last list was requested
 * before `j` was submitted.
 */
static void probe_all_workers(struct drive *d, const struct job *j, int64_t now)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (worker_is_confirmed(d, w) && !w->unresponsive_since &&
		    w->confirmed_at < j->submitted_at)
			hold_probe(d, w, now);
}

/*
 * Whether the free capacity is not known yet, as a responsive worker has not
 * answered a hold of this driver.
 */
static bool is_awaiting_lists(const struct drive *d)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (w->listed && worker_is_driven(d, w) &&
		    !worker_is_confirmed(d, w) && !w->unresponsive_since)
			return true;
	return false;
}

/* Whether this driver has just begun and knows of no worker yet. */
static bool awaits_first_list(const struct drive *d)
{
	return !d->is_list_fresh && !d->workers.used;
}

void admit_unsettle_all(struct drive *d, int64_t now)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &d->all_jobs)
	{
		struct job *j = LIST_ITEM(pos, struct job, all_link);

		unsettle(d, j, now);
		probe_all_workers(d, j, now);
	}
}

/* Logs what decides whether a job that does not fit now may wait. */
static void log_waits(const struct drive *d, const struct job *j,
		      int64_t start_at, int64_t now)
{
	bool has_estimate = start_at != INT64_MAX;

	log_info("job_waits", LOG_S("job", j->id), LOG_U("tasks", j->n_tasks),
		 LOG_U("priority", j->priority), LOG_U("runs", d->runs.used),
		 LOG_I("expected_in_ms", has_estimate ? start_at - now : -1),
		 LOG_I("to_latest_start_ms", j->latest_start_at - now));
}

/*
 * Whether a job that does not fit now may begin in time. When too many come at
 * once for a plan each, those that are like a refused one are refused.
 */
static bool may_be_in_time(struct drive *d, const struct job *j, int64_t now)
{
	int64_t start_at;

	if (room_was_refused_like(d, j))
		return false;
	if (!room_take_plan(d))
		return true;
	start_at = room_expected_start(d, j, now);
	log_waits(d, j, start_at, now);
	if (start_at <= j->latest_start_at)
		return true;
	room_note_refused(d, j);
	return false;
}

/* Decides whether a new job begins, waits or is refused. */
static void admit(struct drive *d, struct job *j, int64_t now)
{
	uint64_t handle = j->handle;
	uint32_t i;

	if (j->n_done == j->n_tasks) {
		job_end(d, j, DRIVE_COMPLETED, 0, "completed", now);
		return;
	}
	if (j->n_active + j->n_done == j->n_tasks)
		return;
	for (i = 0; i < j->n_tasks; i++)
		if (j->tasks[i].state == TASK_WAITING &&
		    !suspects_admit(d, j, i, now))
			return;
	if (awaits_first_list(d)) {
		queue_add(d, j, now);
		return;
	}
	if (!d->workers.used) {
		job_end(d, j, DRIVE_REFUSED, REFUSED_RETRY_MS,
			"no_worker_known", now);
		return;
	}
	if (!place_is_possible(d, j)) {
		job_end(d, j, DRIVE_REFUSED, TOO_LARGE_RETRY_MS,
			"fits_no_worker", now);
		return;
	}
	if (!are_runs_settled(d, j, now))
		probe_all_workers(d, j, now);
	if (!queue_count_waiting(j))
		return;
	queue_add(d, j, now);
	queue_run(d, now);
	j = job_get(d, handle);
	if (!j || !j->queue_link.next || j->has_begun)
		return;
	if (!job_is_settled(d, j, now))
		return;
	if (d->awaits_list || d->awaits_evacuated || is_awaiting_lists(d))
		return;
	if (!place_has_open_worker(d, j)) {
		job_end(d, j, DRIVE_REFUSED, REFUSED_RETRY_MS, "evacuated",
			now);
		return;
	}
	if (!may_be_in_time(d, j, now)) {
		d->counts.refused_no_room++;
		job_end(d, j, DRIVE_REFUSED, REFUSED_RETRY_MS,
			"no_room_in_time", now);
		return;
	}
	d->counts.waited++;
}

/*
 * Whether the driver is too late to begin the job before its latest start. For
 * a load that the driver cannot carry: each job that it begins makes it later,
 * while a refusal costs it little, and the caller can go elsewhere.
 */
static bool is_driver_too_late(struct drive *d, const struct drive_job *spec)
{
	uint32_t late_ms = d->opt.get_late_ms(d->opt.ctx);
	struct run_time *rt;
	double slack_ms;

	/* Another driver may have begun a job that is submitted again. */
	if (late_ms < LATE_MIN_MS || spec->generation)
		return false;
	rt = run_time_get(&d->run_times, spec->route);
	slack_ms = run_time_expected_ms(rt, spec->estimate_ms) *
			   ((double)spec->objective_percent / 100 - 1) +
		   spec->objective_add_ms - spec->age_ms;
	return slack_ms < (double)late_ms * LATE_TURNS;
}

static bool is_route_closed(struct drive *d, const struct drive_job *spec,
			    int64_t now)
{
	struct run_time *rt = run_time_get(&d->run_times, spec->route);

	rt->used_at = now;
	/* Another driver may have begun a job that is submitted again. */
	return !spec->generation && bulkhead_is_closed(d, rt, now);
}

void drive_submit(struct drive *d, int64_t now, uint64_t home, uint64_t tag,
		  const struct drive_job *spec)
{
	char id[DRIVE_JOB_ID_MAX] = "";
	struct job *j;

	copy_text(id, sizeof(id), spec->id);
	d->counts.jobs++;
	if (!d->active) {
		refuse_submission(d, home, tag, spec, REFUSED_RETRY_MS,
				  "not_driving");
		return;
	}
	if (cancelled_answer(d, home, tag, spec, id, now))
		return;
	j = job_find(d, id);
	if (j) {
		join_job(d, j, home, tag, spec, now);
		return;
	}
	if (elsewhere_redirect(d, home, tag, spec))
		return;
	if (is_driver_too_late(d, spec)) {
		d->counts.refused_late++;
		refuse_submission(d, home, tag, spec, REFUSED_RETRY_MS,
				  "driver_late");
		return;
	}
	if (is_route_closed(d, spec, now)) {
		refuse_submission(d, home, tag, spec, REFUSED_RETRY_MS,
				  "route_crashes_workers");
		return;
	}
	j = job_new(d, spec, now);
	add_waiter(j, home, tag, spec->generation);
	adopt_runs(d, j);
	elsewhere_check(d, j, spec);
	admit(d, j, now);
}
