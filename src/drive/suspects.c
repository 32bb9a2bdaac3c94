/*
 * Starts tasks that may crash workers, the suspects, on workers of their own, so
 * that the next crash shows which task it was and harms no other. A few workers
 * at most are used or lost for it at any time.
 */
#include "drive/drive_state.h"

enum {
	/* One of this many workers may run a suspect. */
	WORKERS_PER_SUSPECT = 24,
	/*
	 * One of this many may run a suspect that is likely to crash it, or be
	 * down since it ran one.
	 */
	WORKERS_PER_LIKELY = 48
};

static struct drive_task name_task(const struct job *j, uint32_t index)
{
	struct drive_task task = {.index = index};

	memcpy(task.job, j->id, sizeof(task.job));
	return task;
}

static void set_suspect(struct drive *d, struct job *j, struct task *t,
			bool is_suspect)
{
	if (t->is_suspect == is_suspect)
		return;
	t->is_suspect = is_suspect;
	if (is_suspect)
		j->n_suspects++;
	else
		j->n_suspects--;
	if (!j->n_suspects)
		list_remove(&j->suspect_link);
	else if (!j->suspect_link.next)
		list_add(&d->suspect_jobs, &j->suspect_link);
	d->capacity_changed = true;
}

void suspects_clear(struct drive *d, struct job *j, struct task *t)
{
	set_suspect(d, j, t, false);
}

static void give_up(struct drive *d, struct job *j, uint32_t index,
		    enum drive_outcome outcome, const char *reason, int64_t now)
{
	d->counts.given_up++;
	log_warn("job_given_up", LOG_S("job", j->id), LOG_U("task", index),
		 LOG_S("reason", reason));
	job_end(d, j, outcome, 0, reason, now);
}

bool suspects_admit(struct drive *d, struct job *j, uint32_t index, int64_t now)
{
	const struct drive_task task = name_task(j, index);

	switch (losses_judge(d->losses, now, &task)) {
	case LOSS_CRASHING:
		give_up(d, j, index, DRIVE_FAILED, "crashes_workers", now);
		return false;
	case LOSS_EXHAUSTED:
		give_up(d, j, index, DRIVE_ABORTED, "lost_too_often", now);
		return false;
	case LOSS_SUSPECT:
	case LOSS_WAIT:
		set_suspect(d, j, &j->tasks[index], true);
		break;
	case LOSS_HARMLESS:
		set_suspect(d, j, &j->tasks[index], false);
		break;
	}
	return true;
}

bool suspects_judge(struct drive *d, struct job *j, uint32_t index, int64_t now)
{
	if (!suspects_admit(d, j, index, now))
		return false;
	if (queue_count_waiting(j))
		queue_add(d, j, now);
	else
		queue_remove(j);
	return true;
}

void suspects_review(struct drive *d, int64_t now)
{
	const struct loss *x;
	uint32_t pos = 0;
	struct job *j;

	if (d->losses_reviewed == losses_version(d->losses))
		return;
	d->losses_reviewed = losses_version(d->losses);
	while ((x = losses_next(d->losses, &pos))) {
		j = job_find(d, x->task.job);
		if (j && !x->task.step && x->task.index < j->n_tasks &&
		    j->tasks[x->task.index].state == TASK_WAITING)
			suspects_judge(d, j, x->task.index, now);
	}
}

/* How many more workers may run a suspect now. */
struct allowance {
	uint32_t any; /* suspects that may be started */
	uint32_t likely; /* of these, ones that are likely to crash workers */
	int64_t next_at; /* when the next likely one may start; zero: unknown */
};

static uint32_t remaining(uint32_t max, uint32_t used)
{
	return max > used ? max - used : 0;
}

static uint32_t one_in(uint32_t n, uint32_t divisor)
{
	return n > divisor ? n / divisor : 1;
}

static struct allowance count_allowed(const struct drive *d, int64_t now)
{
	struct allowance a = {0};
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0, n = 0, n_running = 0, n_lost = 0;

	while ((w = table_next(&d->workers, &pos, &handle))) {
		int64_t back_at = w->exclusive_lost_at + LOST_WORKER_COUNTS_MS;

		n += w->listed;
		if (w->n_exclusive) {
			n_running++;
		} else if (w->exclusive_lost_at && now < back_at) {
			n_lost++;
			if (!a.next_at || back_at < a.next_at)
				a.next_at = back_at;
		}
	}
	a.any = remaining(one_in(n, WORKERS_PER_SUSPECT), n_running);
	a.likely = remaining(one_in(n, WORKERS_PER_LIKELY), n_running + n_lost);
	return a;
}

static struct worker *find_empty(const struct drive *d, const struct job *j,
				 int64_t now)
{
	struct worker *w, *found = NULL;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (!w->n_runs && worker_is_available(d, w, now) &&
		    place_fits_empty(w, j) && (!found || w->is_reserved))
			found = w;
	return found;
}

/* Keeps a worker for `j` that is empty soon, as the fewest tasks run there. */
static void reserve_worker(struct drive *d, const struct job *j, int64_t now)
{
	struct worker *w, *best = NULL;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (worker_is_usable(d, w, now) && place_fits_empty(w, j) &&
		    (!best || w->n_runs < best->n_runs))
			best = w;
	if (best)
		best->is_reserved = true;
}

static bool has_reserved(const struct drive *d, const struct job *j,
			 int64_t now)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (w->is_reserved && worker_is_available(d, w, now) &&
		    place_fits_empty(w, j))
			return true;
	return false;
}

static void release_reserved(struct drive *d)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		w->is_reserved = false;
}

static void start_alone(struct drive *d, struct job *j, uint32_t index,
			struct worker *w, int64_t now)
{
	struct run *r;

	w->is_reserved = false;
	set_suspect(d, j, &j->tasks[index], false);
	r = run_get(d, run_start(d, j, index, w, now));
	if (r)
		run_make_exclusive(w, r);
	d->counts.exclusive_starts++;
	log_info("suspect_started", LOG_S("job", j->id), LOG_U("task", index),
		 LOG_S("worker", w->info.name));
}

/*
 * Starts suspects of the job: those that are likely to have crashed their
 * worker, or the others. Returns false if none can be started any more.
 */
static bool start_suspects(struct drive *d, struct job *j, bool likely,
			   struct allowance *a, int64_t now)
{
	enum loss_verdict verdict;
	struct drive_task task;
	struct worker *w;
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++) {
		if (!a->any || (likely && !a->likely))
			return false;
		if (!j->tasks[i].is_suspect)
			continue;
		task = name_task(j, i);
		verdict = losses_judge(d->losses, now, &task);
		if (verdict == LOSS_WAIT)
			continue;
		/* The task waited for an explanation, and the wait is over. */
		if (verdict != LOSS_SUSPECT) {
			if (!suspects_judge(d, j, i, now))
				return true;
			continue;
		}
		if (losses_is_newest(d->losses, &task) != likely)
			continue;
		w = find_empty(d, j, now);
		if (!w) {
			if (!has_reserved(d, j, now))
				reserve_worker(d, j, now);
			return true;
		}
		start_alone(d, j, i, w, now);
		a->any--;
		a->likely -= a->likely > 0;
	}
	return true;
}

static void start_all(struct drive *d, bool likely, struct allowance *a,
		      int64_t now)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &d->suspect_jobs)
	{
		struct job *j = LIST_ITEM(pos, struct job, suspect_link);

		if (queue_may_start(d, j, now) &&
		    !start_suspects(d, j, likely, a, now))
			return;
	}
}

/* Whether a suspect of the job is likely to crash its worker. */
static bool has_likely_suspect(const struct drive *d, const struct job *j)
{
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++) {
		const struct drive_task task = name_task(j, i);

		if (j->tasks[i].is_suspect &&
		    losses_is_newest(d->losses, &task))
			return true;
	}
	return false;
}

/* Ends the jobs whose suspects cannot be started in time any more. */
static void end_hopeless(struct drive *d, const struct allowance *a,
			 int64_t now)
{
	struct list *pos, *after;

	if (a->likely)
		return;
	LIST_EACH(pos, after, &d->suspect_jobs)
	{
		struct job *j = LIST_ITEM(pos, struct job, suspect_link);

		if (a->next_at >= j->deadline_at && has_likely_suspect(d, j))
			job_end_unserved(d, j, "no_room_in_time", now);
	}
}

void suspects_run(struct drive *d, int64_t now)
{
	struct allowance a;

	if (list_empty(&d->suspect_jobs)) {
		if (d->has_suspects)
			release_reserved(d);
		d->has_suspects = false;
		return;
	}
	d->has_suspects = true;
	a = count_allowed(d, now);
	if (!a.any)
		release_reserved(d);
	start_all(d, false, &a, now);
	start_all(d, true, &a, now);
	end_hopeless(d, &a, now);
}
