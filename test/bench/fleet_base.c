/*
 * What the driver is measured against. First come first served knows at once
 * which workers are dark, which flatters it. The bound knows all run times,
 * troubles and what will come, divides work as it likes and keeps no room for
 * whole tasks, so nobody can earn more.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet_load.h"
#include "state/heap.h"
#include "util/alloc.h"

enum { STEP_MS = 50 /* of time, as the bound sees it */ };

/* First come, first served. */

struct busy {
	struct heap_node node;
	size_t worker;
	size_t job;
	uint32_t cpu_milli;
	bool fails;
};

struct line {
	const struct load *load;
	struct load_played *out;
	struct heap busy;
	uint32_t *used; /* by worker */
	uint32_t *left; /* tasks by job */
	bool *broken; /* by job */
	int64_t now;
	size_t next; /* worker to look at first */
};

static bool place_here(const struct line *q, size_t w, uint32_t cpu_milli)
{
	const struct load_worker *worker = &q->load->workers[w];

	return q->used[w] + cpu_milli <= worker->cpu_milli &&
	       !load_trouble_at(worker, TROUBLE_DARK, q->now);
}

/* The next worker with room; their number when there is none. */
static size_t find_room(const struct line *q, uint32_t cpu_milli)
{
	size_t k, n = q->load->n_workers;

	for (k = 0; k < n; k++)
		if (place_here(q, (q->next + k) % n, cpu_milli))
			return (q->next + k) % n;
	return n;
}

/* Finds room for each task; what was taken is given back when one has none. */
static bool place_whole(struct line *q, const struct load_job *j, size_t *at)
{
	size_t i, n = q->load->n_workers;

	for (i = 0; i < j->n_tasks; i++) {
		at[i] = find_room(q, j->cpu_milli);
		if (at[i] == n) {
			while (i-- > 0)
				q->used[at[i]] -= j->cpu_milli;
			return false;
		}
		q->used[at[i]] += j->cpu_milli;
		q->next = (at[i] + 1) % n;
	}
	return true;
}

static void run_job(struct line *q, size_t index, const size_t *at)
{
	const struct load_job *j = &q->load->jobs[index];
	size_t i;

	q->left[index] = j->n_tasks;
	for (i = 0; i < j->n_tasks; i++) {
		const struct load_worker *w = &q->load->workers[at[i]];
		struct busy *b = xcalloc(1, sizeof(*b));
		int64_t end = q->now + load_run_ms(w, j->run_ms[i], q->now);

		b->worker = at[i];
		b->job = index;
		b->cpu_milli = j->cpu_milli;
		b->fails = load_trouble_at(w, TROUBLE_FAIL, end) ||
			   load_trouble_at(w, TROUBLE_DARK, end);
		heap_set(&q->busy, &b->node, end);
		q->out->starts++;
	}
}

static void end_runs(struct line *q)
{
	int64_t link = q->load->profile->link_ms;
	struct heap_node *n;

	while ((n = heap_top(&q->busy)) && n->key <= q->now) {
		struct busy *b = HEAP_ITEM(n, struct busy, node);
		struct load_end *end = &q->out->ends[b->job];

		heap_remove(&q->busy, n);
		q->used[b->worker] -= b->cpu_milli;
		q->broken[b->job] |= b->fails;
		if (!--q->left[b->job]) {
			end->at = q->now + 2 * link;
			end->served = !q->broken[b->job];
		}
		free(b);
	}
}

void load_play_first_come(const struct load *l, struct load_played *out)
{
	struct line q = {.load = l, .out = out};
	size_t at[LOAD_WIDTH_MAX], first = 0, come = 0;
	int64_t link = l->profile->link_ms;

	memset(out, 0, sizeof(*out));
	out->ends = xcalloc(l->n_jobs + 1, sizeof(*out->ends));
	q.used = xcalloc(l->n_workers, sizeof(*q.used));
	q.left = xcalloc(l->n_jobs + 1, sizeof(*q.left));
	q.broken = xcalloc(l->n_jobs + 1, sizeof(*q.broken));
	for (q.now = 0; q.now < l->until + l->profile->deadline_ms; q.now++) {
		end_runs(&q);
		while (come < l->n_jobs && l->jobs[come].at + 2 * link <= q.now)
			come++;
		while (first < come) {
			if (q.now < l->jobs[first].deadline_at) {
				if (!place_whole(&q, &l->jobs[first], at))
					break;
				run_job(&q, first, at);
			}
			first++;
		}
	}
	q.now = INT64_MAX / 2; /* all that still runs is too late */
	end_runs(&q);
	heap_free(&q.busy);
	free(q.used);
	free(q.left);
	free(q.broken);
}

/* The bound. */

/* A job's share of the room is asked for in time or, for less, late. */
struct ask {
	size_t job;
	uint32_t priority; /* zero comes first */
	double density; /* worth a slot-ms */
	size_t from, until; /* steps */
	bool late;
};

struct room {
	const struct load *load;
	size_t n; /* steps */
	float *slack; /* slot-ms left of the steps from x to y, at [x][y] */
};

static double job_work(const struct load_job *j)
{
	double work = 0;
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++)
		work += j->run_ms[i];
	return work;
}

/* Slots of the mean size that sound workers have, by their speed. */
static double slots_at(const struct load *l, int64_t now)
{
	double slots = 0;
	size_t i;

	for (i = 0; i < l->n_workers; i++) {
		const struct load_worker *w = &l->workers[i];

		if (!load_trouble_at(w, TROUBLE_DARK, now) &&
		    !load_trouble_at(w, TROUBLE_FAIL, now))
			slots += w->slots * 1000.0 /
				 (double)load_run_ms(w, 1000, now);
	}
	return slots;
}

static void room_fill(struct room *r)
{
	size_t x, y;

	for (x = 0; x < r->n; x++) {
		double sum = 0;

		for (y = x; y < r->n; y++) {
			if (x)
				sum = (double)r->slack[y] -
				      (double)r->slack[x - 1];
			else
				sum += slots_at(r->load,
						(int64_t)(y * STEP_MS)) *
				       STEP_MS;
			r->slack[x * r->n + y] = (float)sum;
		}
	}
}

/*
 * What can be taken within the ask's steps: work is divisible here, so by
 * Hall's condition the least slack of all spans around them.
 */
static double room_left(const struct room *r, const struct ask *a)
{
	float least = r->slack[a->from * r->n + a->until];
	size_t x, y;

	for (x = 0; x <= a->from; x++) {
		const float *row = &r->slack[x * r->n];

		for (y = a->until; y < r->n; y++)
			least = row[y] < least ? row[y] : least;
	}
	return least > 0 ? least : 0;
}

static void room_take(struct room *r, const struct ask *a, double work)
{
	size_t x, y;

	for (x = 0; x <= a->from; x++) {
		float *row = &r->slack[x * r->n];

		for (y = a->until; y < r->n; y++)
			row[y] -= (float)work;
	}
}

static int64_t longest_run(const struct load_job *j)
{
	uint32_t i, ms = 0;

	for (i = 0; i < j->n_tasks; i++)
		if (j->run_ms[i] > ms)
			ms = j->run_ms[i];
	return ms;
}

static int by_density(const void *a, const void *b)
{
	const struct ask *x = a, *y = b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->density != y->density)
		return x->density < y->density ? 1 : -1;
	return x->job < y->job ? -1 : 1;
}

static bool ask_make(const struct room *r, size_t index, bool late,
		     struct ask *a)
{
	const struct load_job *j = &r->load->jobs[index];
	int64_t objective = j->objective_at - j->at;
	int64_t link = r->load->profile->link_ms;
	int64_t factor = late ? LOAD_LATE_FACTOR : 1;
	int64_t limit = j->at + factor * objective;

	if (limit > j->deadline_at)
		limit = j->deadline_at;
	*a = (struct ask){index,
			  0,
			  j->worth / job_work(j),
			  (size_t)((j->at + 2 * link) / STEP_MS),
			  (size_t)((limit - 2 * link) / STEP_MS),
			  late};
	if (late)
		a->density *= LOAD_LATE_PERCENT / 100.0;
	return a->until < r->n && limit - j->at >= longest_run(j) + 4 * link;
}

static void room_share(struct room *r, struct ask *asks, size_t n,
		       struct load_played *out)
{
	size_t i;

	qsort(asks, n, sizeof(*asks), by_density);
	for (i = 0; i < n; i++) {
		struct load_end *end = &out->ends[asks[i].job];
		double all = job_work(&r->load->jobs[asks[i].job]);
		double want = all * (1 - end->in_time - end->late);
		double left = room_left(r, &asks[i]);

		if (left > want)
			left = want;
		room_take(r, &asks[i], left);
		if (asks[i].late)
			end->late += left / all;
		else
			end->in_time += left / all;
	}
}

static void play_bound(const struct load *l, bool urgent_first,
		       struct load_played *out)
{
	struct room r = {.load = l};
	struct ask *asks = xcalloc(2 * l->n_jobs + 1, sizeof(*asks));
	size_t i, n = 0;

	memset(out, 0, sizeof(*out));
	out->ends = xcalloc(l->n_jobs + 1, sizeof(*out->ends));
	out->divided = true;
	r.n = (size_t)(l->until + l->profile->deadline_ms) / STEP_MS + 1;
	r.slack = xcalloc(r.n * r.n, sizeof(*r.slack));
	room_fill(&r);
	for (i = 0; i < l->n_jobs; i++) {
		n += ask_make(&r, i, false, &asks[n]);
		n += ask_make(&r, i, true, &asks[n]);
	}
	for (i = 0; urgent_first && i < n; i++)
		asks[i].priority =
			l->profile->kinds[l->jobs[asks[i].job].kind].priority;
	room_share(&r, asks, n, out);
	free(r.slack);
	free(asks);
}

void load_play_bound(const struct load *l, struct load_played *out)
{
	play_bound(l, false, out);
}

void load_play_urgent_bound(const struct load *l, struct load_played *out)
{
	play_bound(l, true, out);
}
