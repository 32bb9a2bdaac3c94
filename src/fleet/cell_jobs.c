/* Submits the callers' jobs of a divided fleet to its cells. */
#include <string.h>

#include "fleet/cell_choice.h"
#include "fleet/cells_state.h"

enum {
	TRIES_MAX = 2, /* cells that are asked for capacity for one job */
	/* Times that a job follows what its drivers say of the others. */
	MOVES_MAX = 4,
	/* A job that a cell held for longer is of no use to its caller. */
	RETRY_AGE_MAX_MS = 60
};

static struct cell_job *find_job(const struct cells *c, uint64_t tag)
{
	uint64_t handle;

	if (!index_get(&c->tags, index_hash_number(tag), &handle))
		return NULL;
	return table_get(&c->jobs, handle);
}

static struct cell_job *add_job(struct cells *c, uint64_t tag)
{
	struct cell_job *j;
	void *item;
	uint64_t handle = table_add(&c->jobs, &item);

	j = item;
	j->handle = handle;
	j->tag = tag;
	index_put(&c->tags, index_hash_number(tag), handle);
	return j;
}

static void drop_job(struct cells *c, const struct cell_job *j)
{
	index_del(&c->tags, index_hash_number(j->tag));
	table_del(&c->jobs, j->handle);
}

/* What the cell's driver last reported of its capacity. */
static void get_report(const struct cell *cell, struct cell_view *v,
		       int64_t *reported_at, int64_t now)
{
	struct drive_room room;

	*reported_at = now;
	if (!election_get_room(cell->fleet, now, &room, reported_at))
		return;
	v->cpu_milli = room.cpu_milli;
	v->free_cpu_milli = room.free_cpu_milli;
}

static void view_cell(struct cell *cell, struct cell_view *v, bool tried,
		      int64_t now)
{
	const struct fleet *f = cell->fleet;
	int64_t reported_at;

	*v = (struct cell_view){
		.reachable = election_is_driver_reachable(f, now),
		.tried = tried,
		.is_own = fleet_is_eligible(f),
	};
	get_report(cell, v, &reported_at, now);
	/* Its driver's report may be from before the request. */
	if (evacuation_has(f->whole, f->opt.cell))
		v->cpu_milli = v->free_cpu_milli = 0;
	if (reported_at != cell->reported_at)
		cell->taken_cpu_milli = 0;
	cell->reported_at = reported_at;
	v->free_cpu_milli -= v->free_cpu_milli < cell->taken_cpu_milli
				     ? v->free_cpu_milli
				     : cell->taken_cpu_milli;
}

static uint64_t job_cpu_milli(const struct drive_job *job)
{
	return (uint64_t)job->n_tasks * job->cpu_milli;
}

/* The cell to try next; `c->n`: none is left. */
static size_t choose_cell(struct cells *c, const struct cell_job *j,
			  const struct drive_job *job, int64_t now)
{
	struct cell_view views[FLEET_CELLS_MAX];
	size_t i;

	for (i = 0; i < c->n; i++)
		view_cell(&c->cells[i], &views[i], j->tried >> i & 1, now);
	return cell_choose(views, c->n, job_cpu_milli(job), &c->rng);
}

static void submit_to_cell(struct cells *c, struct cell_job *j, size_t number,
			   const struct drive_job *job, int64_t now)
{
	struct cell *cell = &c->cells[number];

	j->cell = number;
	j->tried |= 1U << number;
	j->n_tries++;
	cell->taken_cpu_milli += job_cpu_milli(job);
	cell->used_at = now;
	election_dial_driver(cell->fleet, now);
	fleet_submit(cell->fleet, now, j->tag, job);
}

void cells_submit(struct cells *c, int64_t now, uint64_t tag,
		  const struct drive_job *job)
{
	struct cell_job *j;
	size_t number;

	if (!c->n) {
		fleet_submit(c->whole.fleet, now, tag, job);
		return;
	}
	j = add_job(c, tag);
	number = choose_cell(c, j, job, now);
	/* Without a reachable driver the job waits in any cell for one. */
	submit_to_cell(c, j, number < c->n ? number : 0, job, now);
}

/*
 * A refusal for want of capacity is passed on to few cells, as it is likely
 * that all are busy, but a job that fits no worker of a cell may fit one of any
 * other.
 */
static bool may_try_again(const struct cell_job *j,
			  const struct fleet_answer *answer)
{
	if (answer->outcome != FLEET_NOT_RUN || !answer->job || j->n_moves ||
	    answer->took_ms > RETRY_AGE_MAX_MS)
		return false;
	return !answer->retry_after_ms || j->n_tries < TRIES_MAX;
}

/* Submits the job to the cell that has it; false: it has moved too often. */
static bool move_job(struct cells *c, struct cell_job *j,
		     const struct fleet_answer *answer, int64_t now)
{
	struct drive_job job = *answer->job;

	if (answer->cell >= c->n || answer->cell == j->cell ||
	    j->n_moves == MOVES_MAX)
		return false;
	log_info("job_moved", LOG_S("job", job.id),
		 LOG_S("cell", c->cells[answer->cell].fleet->opt.cell),
		 LOG_U("moves", j->n_moves));
	j->n_moves++;
	c->n_moved++;
	/* That cell may not have it any more, and then asks the others. */
	job.may_be_old = true;
	job.is_moved = true;
	submit_to_cell(c, j, answer->cell, &job, now);
	return true;
}

/* The answer to the caller of a job that no further cell is tried for. */
static void answer_caller(struct cells *c, struct cell_job *j,
			  const struct fleet_answer *answer)
{
	struct fleet_answer a = *answer;
	uint64_t tag = j->tag;

	/* Another cell has it, or had it, whatever this one says. */
	if (a.outcome == FLEET_ELSEWHERE ||
	    (j->n_moves && a.outcome == FLEET_NOT_RUN)) {
		a.outcome = FLEET_UNKNOWN;
		a.retry_after_ms = 0;
	}
	drop_job(c, j);
	c->opt.answer(c->opt.ctx, tag, &a);
}

void cell_jobs_answered(struct cell *cell, uint64_t tag,
			const struct fleet_answer *answer)
{
	struct cells *c = cell->cells;
	struct cell_job *j = find_job(c, tag);
	int64_t now = syc_now(&c->opt.clock);
	size_t number = c->n;

	if (!j || j->cell != cell->number)
		return;
	if (answer->outcome == FLEET_ELSEWHERE && move_job(c, j, answer, now))
		return;
	if (may_try_again(j, answer))
		number = choose_cell(c, j, answer->job, now);
	if (number < c->n) {
		log_info("job_to_next_cell", LOG_S("job", answer->job->id),
			 LOG_S("reason", answer->reason),
			 LOG_S("cell", c->cells[number].fleet->opt.cell));
		submit_to_cell(c, j, number, answer->job, now);
		return;
	}
	answer_caller(c, j, answer);
}

void cells_cancel(struct cells *c, int64_t now, uint64_t tag)
{
	struct cell_job *j = find_job(c, tag);

	if (!j) {
		fleet_cancel(c->whole.fleet, now, tag);
		return;
	}
	fleet_cancel(c->cells[j->cell].fleet, now, tag);
	drop_job(c, j);
}

void cell_jobs_free(struct cells *c)
{
	table_free(&c->jobs);
	index_free(&c->tags);
}
