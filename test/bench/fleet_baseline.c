/*
 * The baselines that the driver is compared with. First come first served knows
 * at once which workers have crashed, so it does better here than it could in
 * use. The upper bound knows all run times, troubles and later jobs in advance,
 * and may divide work freely instead of finding capacity for whole tasks, so no
 * rule can earn more.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet_load.h"
#include "state/heap.h"
#include "util/alloc.h"

enum { STEP_MS = 50 /* resolution of the bound */ };

/* First come first served. */

struct running_task {
	struct heap_node node;
	size_t worker;
	size_t job;
	uint32_t cpu_milli;
	bool will_fail;
};

struct first_come {
	const struct fleet_load *load;
	struct fleet_load_results *results;
	struct heap running;
	uint32_t *used_milli; /* by worker */
	uint32_t *tasks_left; /* by job */
	bool *has_failed; /* by job */
	int64_t now;
	size_t next_worker; /* the search for capacity begins there */
};

static bool has_capacity(const struct first_come *queue, size_t w,
			 uint32_t cpu_milli)
{
	const struct fleet_load_worker *worker = &queue->load->workers[w];

	return queue->used_milli[w] + cpu_milli <= worker->cpu_milli &&
	       !fleet_load_trouble_at(worker, TROUBLE_CRASH, queue->now);
}

/*
 * Returns the next worker with free capacity, or the number of workers if
 * there is none.
 */
static size_t find_worker(const struct first_come *queue, uint32_t cpu_milli)
{
	size_t k, n = queue->load->n_workers;

	for (k = 0; k < n; k++)
		if (has_capacity(queue, (queue->next_worker + k) % n,
				 cpu_milli))
			return (queue->next_worker + k) % n;
	return n;
}

/*
 * Reserves capacity for every task of the job, or for none: if one task fits
 * nowhere, the reservations of the others are released.
 */
static bool reserve_workers(struct first_come *queue,
			    const struct fleet_load_job *j, size_t *chosen)
{
	size_t i, n = queue->load->n_workers;

	for (i = 0; i < j->n_tasks; i++) {
		chosen[i] = find_worker(queue, j->cpu_milli);
		if (chosen[i] == n) {
			while (i-- > 0)
				queue->used_milli[chosen[i]] -= j->cpu_milli;
			return false;
		}
		queue->used_milli[chosen[i]] += j->cpu_milli;
		queue->next_worker = (chosen[i] + 1) % n;
	}
	return true;
}

static void start_tasks(struct first_come *queue, size_t index,
			const size_t *chosen)
{
	const struct fleet_load_job *j = &queue->load->jobs[index];
	size_t i;

	queue->tasks_left[index] = j->n_tasks;
	for (i = 0; i < j->n_tasks; i++) {
		const struct fleet_load_worker *w =
			&queue->load->workers[chosen[i]];
		struct running_task *task = xcalloc(1, sizeof(*task));
		int64_t end = queue->now +
			      fleet_load_run_ms(w, j->run_ms[i], queue->now);

		task->worker = chosen[i];
		task->job = index;
		task->cpu_milli = j->cpu_milli;
		task->will_fail = fleet_load_trouble_at(w, TROUBLE_FAIL, end) ||
				  fleet_load_trouble_at(w, TROUBLE_CRASH, end);
		heap_set(&queue->running, &task->node, end);
		queue->results->starts++;
	}
}

static void end_tasks(struct first_come *queue)
{
	int64_t link_ms = queue->load->profile->link_ms;
	struct heap_node *n;

	while ((n = heap_top(&queue->running)) && n->key <= queue->now) {
		struct running_task *task = HEAP_ITEM(n, struct running_task,
						      node);
		struct fleet_load_answer *answer =
			&queue->results->answers[task->job];

		heap_remove(&queue->running, n);
		queue->used_milli[task->worker] -= task->cpu_milli;
		queue->has_failed[task->job] |= task->will_fail;
		if (!--queue->tasks_left[task->job]) {
			answer->answered_at = queue->now + 2 * link_ms;
			answer->served = !queue->has_failed[task->job];
		}
		free(task);
	}
}

void fleet_load_run_first_come(const struct fleet_load *l,
			       struct fleet_load_results *results)
{
	struct first_come queue = {.load = l, .results = results};
	size_t chosen[FLEET_LOAD_TASKS_MAX], first_waiting = 0, arrived = 0;
	int64_t link_ms = l->profile->link_ms;

	memset(results, 0, sizeof(*results));
	results->answers = xcalloc(l->n_jobs + 1, sizeof(*results->answers));
	queue.used_milli = xcalloc(l->n_workers, sizeof(*queue.used_milli));
	queue.tasks_left = xcalloc(l->n_jobs + 1, sizeof(*queue.tasks_left));
	queue.has_failed = xcalloc(l->n_jobs + 1, sizeof(*queue.has_failed));
	for (queue.now = 0; queue.now < l->end_at + l->profile->deadline_ms;
	     queue.now++) {
		end_tasks(&queue);
		while (arrived < l->n_jobs &&
		       l->jobs[arrived].submitted_at + 2 * link_ms <= queue.now)
			arrived++;
		while (first_waiting < arrived) {
			if (queue.now < l->jobs[first_waiting].deadline_at) {
				if (!reserve_workers(&queue,
						     &l->jobs[first_waiting],
						     chosen))
					break;
				start_tasks(&queue, first_waiting, chosen);
			}
			first_waiting++;
		}
	}
	queue.now = INT64_MAX / 2; /* tasks that still run end too late */
	end_tasks(&queue);
	heap_free(&queue.running);
	free(queue.used_milli);
	free(queue.tasks_left);
	free(queue.has_failed);
}

/* The upper bound. */

/*
 * A job's demand for capacity. Each job has two: one within its objective,
 * and a late one of less worth.
 */
struct demand {
	size_t job;
	uint32_t priority; /* zero is the most urgent */
	double density; /* worth per slot-ms */
	size_t first_step, last_step;
	bool is_late;
};

struct capacity {
	const struct fleet_load *load;
	size_t n_steps;
	/* [x][y]: slot-ms that are free in the steps x to y in all */
	float *free_slot_ms;
};

static double job_slot_ms(const struct fleet_load_job *j)
{
	double work = 0;
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++)
		work += j->run_ms[i];
	return work;
}

/*
 * Returns the slots of the mean task's size on workers that neither have
 * crashed nor fail their tasks, weighted by their speed.
 */
static double usable_slots_at(const struct fleet_load *l, int64_t now)
{
	double slots = 0;
	size_t i;

	for (i = 0; i < l->n_workers; i++) {
		const struct fleet_load_worker *w = &l->workers[i];

		if (!fleet_load_trouble_at(w, TROUBLE_CRASH, now) &&
		    !fleet_load_trouble_at(w, TROUBLE_FAIL, now))
			slots += w->slots * 1000.0 /
				 (double)fleet_load_run_ms(w, 1000, now);
	}
	return slots;
}

static void capacity_init(struct capacity *capacity)
{
	size_t x, y;

	for (x = 0; x < capacity->n_steps; x++) {
		double sum = 0;

		for (y = x; y < capacity->n_steps; y++) {
			if (x)
				sum = (double)capacity->free_slot_ms[y] -
				      (double)capacity->free_slot_ms[x - 1];
			else
				sum += usable_slots_at(capacity->load,
						       (int64_t)(y * STEP_MS)) *
				       STEP_MS;
			capacity->free_slot_ms[x * capacity->n_steps + y] =
				(float)sum;
		}
	}
}

/*
 * Returns the slot-ms that are available within the demand's steps. Work is
 * divisible here, so by Hall's condition this is the minimum of the free
 * slot-ms over all spans that contain these steps.
 */
static double capacity_available(const struct capacity *capacity,
				 const struct demand *demand)
{
	float minimum =
		capacity->free_slot_ms[demand->first_step * capacity->n_steps +
				       demand->last_step];
	size_t x, y;

	for (x = 0; x <= demand->first_step; x++) {
		const float *row =
			&capacity->free_slot_ms[x * capacity->n_steps];

		for (y = demand->last_step; y < capacity->n_steps; y++)
			minimum = row[y] < minimum ? row[y] : minimum;
	}
	return minimum > 0 ? minimum : 0;
}

static void capacity_take(struct capacity *capacity,
			  const struct demand *demand, double work)
{
	size_t x, y;

	for (x = 0; x <= demand->first_step; x++) {
		float *row = &capacity->free_slot_ms[x * capacity->n_steps];

		for (y = demand->last_step; y < capacity->n_steps; y++)
			row[y] -= (float)work;
	}
}

static int64_t longest_run_ms(const struct fleet_load_job *j)
{
	uint32_t i, ms = 0;

	for (i = 0; i < j->n_tasks; i++)
		if (j->run_ms[i] > ms)
			ms = j->run_ms[i];
	return ms;
}

static int compare_demands(const void *a, const void *b)
{
	const struct demand *x = a, *y = b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->density != y->density)
		return x->density < y->density ? 1 : -1;
	return x->job < y->job ? -1 : 1;
}

static bool demand_init(const struct capacity *capacity, size_t index,
			bool is_late, struct demand *demand)
{
	const struct fleet_load_job *j = &capacity->load->jobs[index];
	int64_t objective_ms = j->objective_at - j->submitted_at;
	int64_t link_ms = capacity->load->profile->link_ms;
	int64_t factor = is_late ? FLEET_LOAD_LATE_FACTOR : 1;
	int64_t latest_at = j->submitted_at + factor * objective_ms;

	if (latest_at > j->deadline_at)
		latest_at = j->deadline_at;
	*demand = (struct demand){
		index,
		0,
		j->worth / job_slot_ms(j),
		(size_t)((j->submitted_at + 2 * link_ms) / STEP_MS),
		(size_t)((latest_at - 2 * link_ms) / STEP_MS),
		is_late};
	if (is_late)
		demand->density *= FLEET_LOAD_LATE_PERCENT / 100.0;
	return demand->last_step < capacity->n_steps &&
	       latest_at - j->submitted_at >= longest_run_ms(j) + 4 * link_ms;
}

static void capacity_assign(struct capacity *capacity, struct demand *demands,
			    size_t n, struct fleet_load_results *results)
{
	size_t i;

	qsort(demands, n, sizeof(*demands), compare_demands);
	for (i = 0; i < n; i++) {
		struct fleet_load_answer *answer =
			&results->answers[demands[i].job];
		double work = job_slot_ms(
			&capacity->load->jobs[demands[i].job]);
		double wanted = work *
				(1 - answer->in_time_part - answer->late_part);
		double granted = capacity_available(capacity, &demands[i]);

		if (granted > wanted)
			granted = wanted;
		capacity_take(capacity, &demands[i], granted);
		if (demands[i].is_late)
			answer->late_part += granted / work;
		else
			answer->in_time_part += granted / work;
	}
}

static void compute_bound(const struct fleet_load *l, bool urgent_first,
			  struct fleet_load_results *results)
{
	struct capacity capacity = {.load = l};
	struct demand *demands = xcalloc(2 * l->n_jobs + 1, sizeof(*demands));
	size_t i, n = 0;

	memset(results, 0, sizeof(*results));
	results->answers = xcalloc(l->n_jobs + 1, sizeof(*results->answers));
	results->is_divided = true;
	capacity.n_steps = (size_t)(l->end_at + l->profile->deadline_ms) /
				   STEP_MS +
			   1;
	capacity.free_slot_ms = xcalloc(capacity.n_steps * capacity.n_steps,
					sizeof(*capacity.free_slot_ms));
	capacity_init(&capacity);
	for (i = 0; i < l->n_jobs; i++) {
		n += demand_init(&capacity, i, false, &demands[n]);
		n += demand_init(&capacity, i, true, &demands[n]);
	}
	for (i = 0; urgent_first && i < n; i++)
		demands[i].priority =
			l->profile->kinds[l->jobs[demands[i].job].kind]
				.priority;
	capacity_assign(&capacity, demands, n, results);
	free(capacity.free_slot_ms);
	free(demands);
}

void fleet_load_compute_bound(const struct fleet_load *l,
			      struct fleet_load_results *results)
{
	compute_bound(l, false, results);
}

void fleet_load_compute_urgent_bound(const struct fleet_load *l,
				     struct fleet_load_results *results)
{
	compute_bound(l, true, results);
}
