/*
 * Keeps a job that its caller submits twice to one driver. A driver redirects
 * the homes of a job that another cell has told that it has. A job that may be
 * old, as its home submits it again or held it for long, waits until the other
 * cells have said that they do not have it: the one that has it may have got it
 * too lately to be known here. See docs/design/job-in-one-cell.md.
 */
#include <string.h>

#include "drive/drive_state.h"
#include "util/alloc.h"

enum {
	/* A caller that submits again waits longer than that before it does. */
	FRESH_MS = 300
};

static bool has_run_of(const struct drive *d, const char *id)
{
	const struct run *r;
	uint64_t handle;
	uint32_t pos = 0;

	while ((r = table_next(&d->runs, &pos, &handle)))
		if (r->state != RUN_ENDED && !strcmp(r->task.job, id))
			return true;
	return false;
}

static enum drive_presence presence_of(const struct job *j)
{
	if (!j->awaits_cells || j->n_active)
		return DRIVE_PRESENT;
	return j->may_have_runs ? DRIVE_MAY_HAVE_RUNS : DRIVE_AWAITS_CELLS;
}

enum drive_presence drive_find_job(const struct drive *d, const char *id)
{
	char padded[DRIVE_JOB_ID_MAX] = "";
	const struct job *j;

	copy_text(padded, sizeof(padded), id);
	j = job_find(d, padded);
	if (j)
		return presence_of(j);
	return has_run_of(d, padded) ? DRIVE_PRESENT : DRIVE_ABSENT;
}

bool drive_knows_runs(const struct drive *d, int64_t now)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	if (!d->active)
		return false;
	if (now - d->began_at > worker_lease_max_ms(d))
		return true;
	if (!d->is_list_fresh)
		return false;
	while ((w = table_next(&d->workers, &pos, &handle)))
		if (worker_may_hide_runs(d, w, 0, now))
			return false;
	return true;
}

void drive_list_jobs(const struct drive *d, int64_t now, int64_t min_age_ms,
		     void (*each)(void *ctx, const char *id,
				  enum drive_presence presence),
		     void *ctx)
{
	const struct run *r;
	const struct job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&d->jobs, &pos, &handle)))
		if (now - j->arrived_at >= min_age_ms)
			each(ctx, j->id, presence_of(j));
	for (pos = 0; (r = table_next(&d->runs, &pos, &handle));)
		if (!r->job && r->state != RUN_ENDED)
			each(ctx, r->task.job, DRIVE_PRESENT);
}

bool elsewhere_redirect(struct drive *d, uint64_t home, uint64_t tag,
			const struct drive_job *spec)
{
	struct drive_job_done done = {
		.home = home,
		.tag = tag,
		.generation = spec->generation,
		.outcome = DRIVE_ELSEWHERE,
		.reason = "elsewhere",
	};

	if (!d->opt.find_told ||
	    !d->opt.find_told(d->opt.ctx, spec->id, &done.cell) ||
	    done.cell == DRIVE_OWN_CELL || has_run_of(d, spec->id))
		return false;
	d->counts.redirected++;
	log_info("job_elsewhere", LOG_S("job", spec->id), LOG_U("home", home),
		 LOG_U("generation", spec->generation),
		 LOG_U("cell", done.cell));
	d->opt.job_done(d->opt.ctx, &done);
	return true;
}

static bool is_fresh(const struct drive_job *spec)
{
	return !spec->generation && !spec->may_be_old &&
	       spec->age_ms <= FRESH_MS;
}

static void ask_cells(struct drive *d, struct job *j, bool fresh)
{
	const struct drive_job_query q = {
		.id = j->id,
		.is_fresh = fresh,
		.may_have_runs = j->n_active || j->may_have_runs,
	};

	if (!d->opt.ask_cells || !d->opt.ask_cells(d->opt.ctx, &q))
		return;
	j->awaits_cells = true;
	d->counts.asked++;
	log_info("job_asked", LOG_S("job", j->id), LOG_S("cell", d->opt.cell),
		 LOG_U("generation", j->generation), LOG_U("fresh", fresh));
}

void elsewhere_check(struct drive *d, struct job *j,
		     const struct drive_job *spec)
{
	uint32_t cell;

	/* Another driver of this cell may have begun it. */
	j->may_have_runs = spec->generation ||
			   (d->opt.find_told &&
			    d->opt.find_told(d->opt.ctx, j->id, &cell));
	ask_cells(d, j, is_fresh(spec));
}

void drive_ask_for_job(struct drive *d, const char *id)
{
	char padded[DRIVE_JOB_ID_MAX] = "";
	struct job *j;

	copy_text(padded, sizeof(padded), id);
	j = job_find(d, padded);
	if (j && !j->awaits_cells)
		ask_cells(d, j, false);
}

void drive_ask_again(struct drive *d)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &d->all_jobs)
	ask_cells(d, LIST_ITEM(pos, struct job, all_link), false);
	d->capacity_changed = true;
}

static struct job *end_wait(struct drive *d, const char *id)
{
	char padded[DRIVE_JOB_ID_MAX] = "";
	struct job *j;

	copy_text(padded, sizeof(padded), id);
	j = job_find(d, padded);
	if (!j || !j->awaits_cells)
		return NULL;
	j->awaits_cells = false;
	d->capacity_changed = true;
	return j;
}

void drive_job_was_here(struct drive *d, const char *id)
{
	char padded[DRIVE_JOB_ID_MAX] = "";
	struct job *j;

	copy_text(padded, sizeof(padded), id);
	j = job_find(d, padded);
	if (j)
		j->may_have_runs = true;
}

void drive_job_not_elsewhere(struct drive *d, int64_t now, const char *id)
{
	if (end_wait(d, id))
		queue_run(d, now);
}

void drive_job_elsewhere(struct drive *d, int64_t now, const char *id,
			 uint32_t cell, bool yields)
{
	struct job *j = end_wait(d, id);

	if (!j)
		return;
	if (yields || !j->n_active) {
		d->counts.redirected++;
		j->cell = cell;
		job_end(d, j, DRIVE_ELSEWHERE, 0, "elsewhere", now);
	}
	queue_run(d, now);
}
