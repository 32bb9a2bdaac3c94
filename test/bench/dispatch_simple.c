#include "dispatch_simple.h"

#include <stdlib.h>

#include "state/heap.h"
#include "util/alloc.h"
#include "util/rng.h"

enum { RETRY_MS = 10, ROUND_TRIP_MS = 1 };

enum event_kind { JOB_ARRIVAL, TASK_END, TASK_RETRY };

struct work_item {
	struct heap_node node;
	enum event_kind kind;
	size_t job;
	uint32_t task;
	int target;
	struct work_item *next;
};

struct instance {
	struct work_item *first, **last; /* queue of waiting tasks */
	uint32_t n_waiting;
	uint32_t in_flight_max;
	uint32_t in_flight; /* tasks, also those that wait for a retry */
	int *sent_to; /* tasks in flight from this instance, by target */
};

struct simulation {
	struct policy_job *jobs;
	uint32_t *tasks_left; /* by job */
	struct instance *instances;
	int *running; /* number of tasks, by target */
	int n_targets, slots;
	struct heap events;
	struct rng rng;
	int64_t now;
	uint64_t sequence; /* orders events of the same ms */
	struct policy_result *result;
};

static void schedule(struct simulation *sim, struct work_item *item,
		     enum event_kind kind, int64_t ms)
{
	item->kind = kind;
	heap_set(&sim->events, &item->node,
		 (sim->now + ms) << 20 | (int64_t)(sim->sequence++ & 0xfffff));
}

static int choose_target(struct simulation *sim,
			 const struct instance *instance)
{
	int a = (int)rng_below(&sim->rng, (uint64_t)sim->n_targets);
	int b = (int)rng_below(&sim->rng, (uint64_t)sim->n_targets);

	return instance->sent_to[b] < instance->sent_to[a] ? b : a;
}

static void send_task(struct simulation *sim, struct instance *instance,
		      struct work_item *item)
{
	const struct policy_job *j = &sim->jobs[item->job];

	item->target = choose_target(sim, instance);
	sim->result->sends++;
	if (sim->running[item->target] >= sim->slots) {
		schedule(sim, item, TASK_RETRY, RETRY_MS);
		return;
	}
	sim->running[item->target]++;
	instance->sent_to[item->target]++;
	sim->result->starts++;
	schedule(sim, item, TASK_END, j->run_ms[item->task] + ROUND_TRIP_MS);
}

static void send_waiting(struct simulation *sim, struct instance *instance)
{
	struct work_item *item;

	while (instance->in_flight < instance->in_flight_max &&
	       (item = instance->first)) {
		instance->first = item->next;
		if (!instance->first)
			instance->last = &instance->first;
		instance->n_waiting--;
		instance->in_flight++;
		send_task(sim, instance, item);
	}
}

static void enqueue_job(struct simulation *sim, struct work_item *item)
{
	struct policy_job *j = &sim->jobs[item->job];
	struct instance *instance = &sim->instances[j->instance];
	uint32_t i;

	if (instance->n_waiting + j->n_tasks > POLICY_QUEUE_MAX) {
		j->answer = POLICY_NOT_COMPLETED;
		return;
	}
	for (i = 0; i < j->n_tasks; i++) {
		struct work_item *task = xcalloc(1, sizeof(*task));

		task->job = item->job;
		task->task = i;
		*instance->last = task;
		instance->last = &task->next;
		instance->n_waiting++;
	}
}

static void end_task(struct simulation *sim, struct work_item *item)
{
	struct policy_job *j = &sim->jobs[item->job];
	struct instance *instance = &sim->instances[j->instance];

	sim->running[item->target]--;
	instance->sent_to[item->target]--;
	instance->in_flight--;
	if (--sim->tasks_left[item->job])
		return;
	j->answer = POLICY_COMPLETED;
	j->took_ms = sim->now - j->submitted_at;
}

static void handle_item(struct simulation *sim, struct work_item *item)
{
	struct instance *instance =
		&sim->instances[sim->jobs[item->job].instance];

	if (item->kind == TASK_RETRY) {
		send_task(sim, instance, item);
		return;
	}
	if (item->kind == JOB_ARRIVAL)
		enqueue_job(sim, item);
	else
		end_task(sim, item);
	free(item);
	send_waiting(sim, instance);
}

void simple_policy_run(struct policy_job *jobs, size_t n, int n_instances,
		       int n_targets, int slots, uint64_t seed,
		       struct policy_result *result)
{
	struct simulation sim = {.jobs = jobs,
				 .n_targets = n_targets,
				 .slots = slots,
				 .rng = {seed},
				 .result = result};
	struct heap_node *node;
	size_t i;

	sim.tasks_left = xcalloc(n, sizeof(*sim.tasks_left));
	sim.running = xcalloc((size_t)n_targets, sizeof(*sim.running));
	sim.instances = xcalloc((size_t)n_instances, sizeof(*sim.instances));
	for (i = 0; i < (size_t)n_instances; i++) {
		sim.instances[i].last = &sim.instances[i].first;
		sim.instances[i].in_flight_max = (uint32_t)(n_targets * slots);
		sim.instances[i].sent_to = xcalloc((size_t)n_targets,
						   sizeof(*sim.running));
	}
	for (i = 0; i < n; i++) {
		struct work_item *item = xcalloc(1, sizeof(*item));

		sim.tasks_left[i] = jobs[i].n_tasks;
		item->job = i;
		schedule(&sim, item, JOB_ARRIVAL, jobs[i].submitted_at);
	}
	while ((node = heap_top(&sim.events))) {
		sim.now = node->key >> 20;
		heap_remove(&sim.events, node);
		handle_item(&sim, HEAP_ITEM(node, struct work_item, node));
	}
	for (i = 0; i < (size_t)n_instances; i++)
		free(sim.instances[i].sent_to);
	free(sim.instances);
	free(sim.running);
	free(sim.tasks_left);
	heap_free(&sim.events);
}
