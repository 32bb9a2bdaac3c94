#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/room_plan.h"
#include "util/alloc.h"

enum { PIECES_MAX = 16 /* of a worker; more are merged */ };

/* A task of this run time frees nothing. */
static const double endless_ms = 1e12;

/* Resources of a worker that are free together, from `at` on. */
struct piece {
	int64_t at;
	struct room_size size;
};

struct plan_worker {
	uint32_t pools;
	double run_time_factor;
	size_t n_pieces;
	struct piece pieces[PIECES_MAX]; /* by time */
	uint32_t n_placed; /* tasks of the job that is being placed */
};

/* The next place for a task of the job that is being placed. */
struct place {
	int64_t at;
	struct plan_worker *worker;
	size_t last_piece; /* the last one that it needs */
};

struct room_plan {
	size_t n_workers, workers_max;
	struct plan_worker *workers;
	/* A heap: the earliest place of each worker. */
	struct place *places;
	size_t n_places;
};

struct room_plan *room_plan_new(size_t workers_max)
{
	struct room_plan *p = xcalloc(1, sizeof(*p));

	p->workers_max = workers_max;
	p->workers = xcalloc(workers_max + 1, sizeof(*p->workers));
	p->places = xcalloc(workers_max + 1, sizeof(*p->places));
	return p;
}

void room_plan_free(struct room_plan *p)
{
	if (!p)
		return;
	free(p->workers);
	free(p->places);
	free(p);
}

/* UINT32_MAX: at least as much. */
static uint32_t add_capped(uint32_t a, uint32_t b)
{
	return a < UINT32_MAX - b ? a + b : UINT32_MAX;
}

static void add_size(struct room_size *sum, const struct room_size *size)
{
	sum->cpu_milli = add_capped(sum->cpu_milli, size->cpu_milli);
	sum->memory_mb = add_capped(sum->memory_mb, size->memory_mb);
	sum->accelerators = add_capped(sum->accelerators, size->accelerators);
	sum->slots = add_capped(sum->slots, size->slots);
}

static bool is_enough(const struct room_size *have,
		      const struct room_size *need)
{
	return have->cpu_milli >= need->cpu_milli &&
	       have->memory_mb >= need->memory_mb &&
	       have->accelerators >= need->accelerators &&
	       have->slots >= need->slots;
}

static bool is_nothing(const struct room_size *size)
{
	return !size->cpu_milli && !size->memory_mb && !size->accelerators &&
	       !size->slots;
}

static void remove_piece(struct plan_worker *w, size_t i)
{
	w->n_pieces--;
	memmove(&w->pieces[i], &w->pieces[i + 1],
		(w->n_pieces - i) * sizeof(*w->pieces));
}

/* Merges the two pieces that are nearest in time; the later time holds. */
static void merge_nearest(struct plan_worker *w)
{
	size_t i, nearest = 1;

	for (i = 2; i < w->n_pieces; i++)
		if (w->pieces[i].at - w->pieces[i - 1].at <
		    w->pieces[nearest].at - w->pieces[nearest - 1].at)
			nearest = i;
	add_size(&w->pieces[nearest].size, &w->pieces[nearest - 1].size);
	remove_piece(w, nearest - 1);
}

static void add_piece(struct plan_worker *w, const struct room_size *size,
		      int64_t at)
{
	size_t i;

	if (is_nothing(size))
		return;
	if (w->n_pieces == PIECES_MAX)
		merge_nearest(w);
	for (i = w->n_pieces; i > 0 && w->pieces[i - 1].at > at; i--)
		w->pieces[i] = w->pieces[i - 1];
	w->pieces[i].at = at;
	w->pieces[i].size = *size;
	w->n_pieces++;
}

void room_plan_add_worker(struct room_plan *p, uint32_t pools,
			  const struct room_size *free, int64_t at,
			  double run_time_factor)
{
	struct plan_worker *w;

	if (p->n_workers == p->workers_max)
		return;
	w = &p->workers[p->n_workers++];
	w->pools = pools;
	w->run_time_factor = run_time_factor;
	w->n_pieces = 0;
	w->n_placed = 0;
	add_piece(w, free, at);
}

void room_plan_add_run(struct room_plan *p, const struct room_size *size,
		       int64_t end_at)
{
	if (p->n_workers)
		add_piece(&p->workers[p->n_workers - 1], size, end_at);
}

/* Finds the earliest place on `w` for a task; false: there is none. */
static bool find_place(struct plan_worker *w, const struct room_job *j,
		       struct place *place)
{
	struct room_size sum = {0};
	size_t i;

	if (!(w->pools & j->pool) ||
	    (j->per_worker_max && w->n_placed >= j->per_worker_max))
		return false;
	for (i = 0; i < w->n_pieces; i++) {
		add_size(&sum, &w->pieces[i].size);
		if (!is_enough(&sum, &j->size))
			continue;
		place->at = w->pieces[i].at;
		place->worker = w;
		place->last_piece = i;
		return true;
	}
	return false;
}

static uint32_t take_part(uint32_t *from, uint32_t need)
{
	uint32_t part = *from < need ? *from : need;

	*from -= part;
	return need - part;
}

/* Takes what a task needs, the latest pieces first, until it ends. */
static void take_place(const struct place *place, const struct room_job *j)
{
	struct plan_worker *w = place->worker;
	struct room_size need = j->size;
	size_t i;

	for (i = place->last_piece + 1; i-- > 0;) {
		struct room_size *have = &w->pieces[i].size;

		need.cpu_milli = take_part(&have->cpu_milli, need.cpu_milli);
		need.memory_mb = take_part(&have->memory_mb, need.memory_mb);
		need.accelerators = take_part(&have->accelerators,
					      need.accelerators);
		need.slots = take_part(&have->slots, need.slots);
		if (is_nothing(have))
			remove_piece(w, i);
	}
	w->n_placed++;
	if (j->run_ms < endless_ms)
		add_piece(w, &j->size,
			  place->at +
				  (int64_t)(j->run_ms * w->run_time_factor));
}

static void sift_down(struct room_plan *p, size_t i)
{
	struct place moved = p->places[i];
	size_t child;

	while ((child = 2 * i + 1) < p->n_places) {
		if (child + 1 < p->n_places &&
		    p->places[child + 1].at < p->places[child].at)
			child++;
		if (p->places[child].at >= moved.at)
			break;
		p->places[i] = p->places[child];
		i = child;
	}
	p->places[i] = moved;
}

static void collect_places(struct room_plan *p, const struct room_job *j)
{
	size_t i;

	p->n_places = 0;
	for (i = 0; i < p->n_workers; i++) {
		p->workers[i].n_placed = 0;
		if (find_place(&p->workers[i], j, &p->places[p->n_places]))
			p->n_places++;
	}
	for (i = p->n_places / 2; i-- > 0;)
		sift_down(p, i);
}

/* Finds the next place of the worker whose place was taken, the earliest one. */
static void renew_earliest(struct room_plan *p, const struct room_job *j)
{
	if (!find_place(p->places[0].worker, j, &p->places[0]))
		p->places[0] = p->places[--p->n_places];
	if (p->n_places)
		sift_down(p, 0);
}

/* Takes the earliest place and returns its time; INT64_MAX: there is none. */
static int64_t take_earliest(struct room_plan *p, const struct room_job *j)
{
	int64_t at;

	if (!p->n_places)
		return INT64_MAX;
	at = p->places[0].at;
	take_place(&p->places[0], j);
	renew_earliest(p, j);
	return at;
}

int64_t room_plan_place(struct room_plan *p, const struct room_job *j)
{
	int64_t at = INT64_MIN;
	uint32_t i;

	collect_places(p, j);
	for (i = 0; i < j->n_tasks && at != INT64_MAX; i++)
		at = take_earliest(p, j);
	return at;
}

/* The processor capacity that the surges occupy at `at`. */
static double surge_cpu_milli(const struct room_surge *surges, size_t n,
			      int64_t at)
{
	double sum = 0, for_ms;
	size_t i;

	for (i = 0; i < n; i++) {
		for_ms = (double)(at - surges[i].now);
		if (for_ms > surges[i].run_ms)
			for_ms = surges[i].run_ms;
		if (for_ms > 0)
			sum += surges[i].cpu_milli_per_ms * for_ms;
	}
	return sum;
}

/* How often `need` is contained in `have`. */
static uint32_t count_in(uint32_t have, uint32_t need)
{
	return need ? have / need : UINT32_MAX;
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* How many tasks of the job fit at a place at once, one at least. */
static uint32_t count_fitting(const struct place *place,
			      const struct room_job *j)
{
	const struct plan_worker *w = place->worker;
	struct room_size sum = {0};
	uint32_t n;
	size_t i;

	for (i = 0; i <= place->last_piece; i++)
		add_size(&sum, &w->pieces[i].size);
	n = count_in(sum.cpu_milli, j->size.cpu_milli);
	n = min_u32(n, count_in(sum.memory_mb, j->size.memory_mb));
	n = min_u32(n, count_in(sum.accelerators, j->size.accelerators));
	n = min_u32(n, count_in(sum.slots, j->size.slots));
	if (j->per_worker_max)
		n = min_u32(n, j->per_worker_max - w->n_placed);
	return n;
}

/*
 * Takes the earliest place for as many tasks as fit there, `n_max` at most, and
 * returns how many these are; zero: there is no place.
 */
static uint32_t take_earliest_many(struct room_plan *p,
				   const struct room_job *j, uint32_t n_max)
{
	struct room_job many = *j;
	uint32_t n;

	if (!p->n_places)
		return 0;
	n = min_u32(n_max, count_fitting(&p->places[0], j));
	many.size.cpu_milli *= n;
	many.size.memory_mb *= n;
	many.size.accelerators *= n;
	many.size.slots *= n;
	take_place(&p->places[0], &many);
	p->places[0].worker->n_placed += n - 1;
	renew_earliest(p, j);
	return n;
}

/*
 * How many tasks of the job's size the processor capacity of the surges is worth
 * at `at`. Where the tasks request none, the surges take nothing from them.
 */
static uint32_t count_surge_tasks(const struct room_job *j,
				  const struct room_surge *surges, size_t n,
				  int64_t at)
{
	double n_tasks;

	if (!j->size.cpu_milli)
		return 0;
	n_tasks = ceil(surge_cpu_milli(surges, n, at) / j->size.cpu_milli);
	return n_tasks < UINT32_MAX ? (uint32_t)n_tasks : UINT32_MAX;
}

int64_t room_plan_expect(struct room_plan *p, const struct room_job *j,
			 const struct room_surge *surges, size_t n_surges,
			 int64_t until)
{
	struct room_job task = *j;
	uint32_t n_needed, n_had = 0;
	int64_t at;

	/* What these tasks free again is contained in the surges. */
	task.run_ms = endless_ms;
	collect_places(p, &task);
	/* Each turn uses up what a worker has by `at`, or is the last one. */
	do {
		if (!p->n_places)
			return INT64_MAX;
		at = p->places[0].at;
		if (at > until)
			return at;
		n_needed = add_capped(
			j->n_tasks, count_surge_tasks(j, surges, n_surges, at));
		n_had += take_earliest_many(p, &task, n_needed - n_had);
	} while (n_had < n_needed);
	return at;
}
