/* Finds, ends and cancels the open jobs. */
#include <stdlib.h>
#include <string.h>

#include "drive/drive_state.h"
#include "util/alloc.h"

enum { UNSERVED_RETRY_MS = 1000 };

struct job *job_get(const struct drive *d, uint64_t handle)
{
	return table_get(&d->jobs, handle);
}

static struct index_key id_key(const char id[DRIVE_JOB_ID_MAX])
{
	return index_hash_bytes(id, DRIVE_JOB_ID_MAX);
}

double job_expected_ms(const struct job *j)
{
	return run_time_expected_ms(j->run_time, j->estimate_ms);
}

void job_index(struct drive *d, const struct job *j)
{
	index_put(&d->job_ids, id_key(j->id), j->handle);
}

struct job *job_find(const struct drive *d, const char id[DRIVE_JOB_ID_MAX])
{
	uint64_t handle;

	if (!index_get(&d->job_ids, id_key(id), &handle))
		return NULL;
	return job_get(d, handle);
}

void job_drop(struct drive *d, struct job *j)
{
	queue_remove(j);
	list_remove(&j->suspect_link);
	list_remove(&j->all_link);
	index_del(&d->job_ids, id_key(j->id));
	free(j->tasks);
	free(j->body);
	table_del(&d->jobs, j->handle);
}

static void stop_tasks(struct drive *d, struct job *j, int64_t now)
{
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++) {
		struct run *r = run_get(d, j->tasks[i].run_handle);

		if (j->tasks[i].state != TASK_ACTIVE || !r)
			continue;
		r->job = 0;
		run_stop(d, r, now);
	}
}

static void count_end(struct drive *d, enum drive_outcome outcome)
{
	if (outcome == DRIVE_COMPLETED)
		d->counts.completed++;
	else if (outcome == DRIVE_FAILED)
		d->counts.failed++;
	else if (outcome == DRIVE_REFUSED)
		d->counts.refused++;
	else if (outcome == DRIVE_ABORTED)
		d->counts.aborted++;
}

void job_end(struct drive *d, struct job *j, enum drive_outcome outcome,
	     uint32_t retry_after_ms, const char *reason, int64_t now)
{
	struct drive_job_done done = {
		.outcome = outcome,
		.retry_after_ms = retry_after_ms,
		.cell = j->cell,
		.reason = reason,
	};
	struct waiter waiters[WAITERS_MAX];
	size_t i, n = j->n_waiters;

	memcpy(waiters, j->waiters, sizeof(waiters));
	count_end(d, outcome);
	log_info("job_ended", LOG_S("job", j->id), LOG_S("reason", reason),
		 LOG_U("outcome", outcome), LOG_U("tasks", j->n_tasks),
		 LOG_U("done", j->n_done), LOG_U("active", j->n_active),
		 LOG_I("age_ms", now - j->arrived_at),
		 LOG_I("to_objective_ms", j->objective_at - now),
		 LOG_U("priority", j->priority));
	stop_tasks(d, j, now);
	job_drop(d, j);
	for (i = 0; i < n; i++) {
		done.home = waiters[i].home;
		done.tag = waiters[i].tag;
		done.generation = waiters[i].generation;
		d->opt.job_done(d->opt.ctx, &done);
	}
}

static void cancel_job(struct drive *d, struct job *j, const char *why,
		       int64_t now)
{
	d->counts.cancelled++;
	log_info("job_cancelled", LOG_S("job", j->id), LOG_S("why", why),
		 LOG_U("done", j->n_done), LOG_U("active", j->n_active));
	stop_tasks(d, j, now);
	job_drop(d, j);
	d->capacity_changed = true;
}

/* Removes the waiter of `home` and `tag`; all of `home` if `tag` is NULL. */
static bool remove_waiters(struct job *j, uint64_t home, const uint64_t *tag)
{
	size_t i, n = 0;

	for (i = 0; i < j->n_waiters; i++)
		if (j->waiters[i].home != home ||
		    (tag && j->waiters[i].tag != *tag))
			j->waiters[n++] = j->waiters[i];
	i = j->n_waiters;
	j->n_waiters = n;
	return i != n;
}

/* The job that `home` alone waits for, under that tag, or NULL. */
static struct job *find_only_of(struct drive *d, uint64_t home, uint64_t tag)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &d->all_jobs)
	{
		struct job *j = LIST_ITEM(pos, struct job, all_link);

		if (j->n_waiters == 1 && j->waiters[0].home == home &&
		    j->waiters[0].tag == tag)
			return j;
	}
	return NULL;
}

static void cancel_waiters(struct drive *d, uint64_t home, const uint64_t *tag,
			   const char *why, int64_t now)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &d->all_jobs)
	{
		struct job *j = LIST_ITEM(pos, struct job, all_link);

		if (remove_waiters(j, home, tag) && !j->n_waiters)
			cancel_job(d, j, why, now);
	}
	queue_run(d, now);
}

void drive_cancel(struct drive *d, int64_t now, uint64_t home, uint64_t tag)
{
	cancel_waiters(d, home, &tag, "caller_gone", now);
}

/* As earlier drivers or other cells may have runs of it, it may be unknown. */
static void end_before_begin(struct drive *d, struct job *j, int64_t now)
{
	if (job_is_settled(d, j, now))
		job_end_unserved(d, j, "home_stops", now);
	else
		job_end(d, j, DRIVE_ABORTED, 0, "home_stops", now);
}

static bool begins_too_late(const struct job *j, int64_t now)
{
	return j->begin_by && !j->has_begun && now > j->begin_by;
}

void drive_end_by(struct drive *d, int64_t now, uint64_t home, uint64_t tag,
		  uint32_t left_ms)
{
	struct job *j = find_only_of(d, home, tag);

	if (!j || j->has_begun)
		return;
	j->begin_by = now + left_ms - (int64_t)job_expected_ms(j);
	/* Plans then find out early whether it has to wait for longer. */
	if (j->latest_start_at > j->begin_by)
		j->latest_start_at = j->begin_by;
	log_info("job_to_end_by", LOG_S("job", j->id),
		 LOG_U("left_ms", left_ms),
		 LOG_I("to_begin_ms", j->begin_by - now));
	if (begins_too_late(j, now)) {
		end_before_begin(d, j, now);
		d->capacity_changed = true;
		queue_run(d, now);
	}
}

void job_clear_begin_by(struct job *j)
{
	j->begin_by = 0;
	j->latest_start_at = j->objective_at - (int64_t)job_expected_ms(j);
}

bool drive_cancel_id(struct drive *d, int64_t now, const char *id)
{
	char padded[DRIVE_JOB_ID_MAX] = "";
	struct job *j;
	bool is_new;

	copy_text(padded, sizeof(padded), id);
	is_new = cancelled_note(d, padded, now);
	j = job_find(d, padded);
	if (!j)
		return is_new;
	d->counts.cancelled++;
	job_end(d, j, DRIVE_CANCELLED, 0, "cancelled", now);
	d->capacity_changed = true;
	queue_run(d, now);
	return is_new;
}

void drive_cancel_home(struct drive *d, int64_t now, uint64_t home)
{
	cancel_waiters(d, home, NULL, "home_gone", now);
}

static void finish_done_task(struct drive *d, struct job *j, int64_t now)
{
	if (++j->n_done == j->n_tasks)
		job_end(d, j, DRIVE_COMPLETED, 0, "completed", now);
}

void job_task_finished(struct drive *d, struct job *j, uint32_t index,
		       enum drive_run_result result, int64_t now)
{
	struct task *t = &j->tasks[index];

	if (t->state != TASK_ACTIVE)
		return;
	t->run_handle = 0;
	j->n_active--;
	if (result == DRIVE_RUN_DONE) {
		t->state = TASK_DONE;
		finish_done_task(d, j, now);
		return;
	}
	t->state = TASK_WAITING;
	if (result == DRIVE_RUN_FAILED && ++t->n_failed >= j->attempts_max) {
		job_end(d, j, DRIVE_FAILED, 0, "attempts_used_up", now);
		return;
	}
	suspects_judge(d, j, index, now);
}

void job_end_unserved(struct drive *d, struct job *j, const char *reason,
		      int64_t now)
{
	if (j->has_begun)
		job_end(d, j, DRIVE_ABORTED, 0, reason, now);
	else
		job_end(d, j, DRIVE_REFUSED, UNSERVED_RETRY_MS, reason, now);
}

void job_tick(struct drive *d, struct job *j, int64_t now)
{
	if (now >= j->deadline_at)
		job_end_unserved(d, j, "deadline", now);
	else if (begins_too_late(j, now))
		end_before_begin(d, j, now);
}
