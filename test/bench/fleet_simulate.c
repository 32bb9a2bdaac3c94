/*
 * Runs a load against the driver's own code on a virtual clock. Simulated
 * workers refuse starts beyond their capacity, answer calls after the delay
 * of the link and have the troubles of the load.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cpu_time.h"
#include "drive/drive.h"
#include "fleet_load.h"
#include "state/heap.h"
#include "util/alloc.h"
#include "util/log.h"

enum {
	BEGIN_AT = 1000000, /* the driver's time when the load begins */
	WARM_UP_MS = 1000, /* in which the first holds are answered */
	TICK_MS = 10,
	LEASE_MS = 1000,
	HOLD_WAIT_MS = 200,
	CALL_TIMEOUT_MS = 120, /* plus the wait that a hold requests */
	RUNS_MAX = 256, /* on one worker */
	HOLDS_MAX = 4, /* pending at one worker */
	HOME_ID = 1
};

enum event_kind {
	EVENT_JOB_ARRIVAL,
	EVENT_JOB_DEADLINE,
	EVENT_WORKER_CRASH,
	EVENT_CALL,
	EVENT_CALL_ANSWER,
	EVENT_RUN_END,
	EVENT_HOLD_TIMEOUT
};

enum call_kind { CALL_START, CALL_STOP, CALL_HOLD };

struct event {
	struct heap_node node;
	enum event_kind kind;
	enum call_kind call_kind;
	size_t index; /* of the job or worker */
	uint64_t call_id;
	struct drive_task task;
	uint32_t run;
	uint64_t cursor; /* of a hold */
	uint32_t wait_ms;
	uint64_t serial; /* of the run that ends */
	struct drive_hold_answer hold_answer;
};

struct run {
	uint64_t serial;
	struct drive_task task;
	uint32_t number;
	uint32_t cpu_milli;
	int64_t begin_at, end_at;
};

struct waiting_hold {
	uint64_t call_id;
	uint64_t cursor;
};

struct worker_state {
	const struct fleet_load_worker *spec;
	struct run runs[RUNS_MAX];
	size_t n_runs;
	uint32_t used_milli;
	struct drive_ended_run *ended;
	size_t n_ended, ended_capacity;
	uint64_t last_sequence;
	struct waiting_hold holds[HOLDS_MAX];
	size_t n_holds;
};

struct simulation {
	const struct fleet_load *load;
	struct fleet_load_results *results;
	struct drive *drive;
	struct drive_worker *listed; /* the list that the driver gets */
	struct worker_state *workers;
	struct heap events;
	int64_t now;
	uint64_t serial; /* of the run started last */
	double decision_s; /* processor time of src/drive */
};

static struct event *schedule_event(struct simulation *sim,
				    enum event_kind kind, int64_t at)
{
	struct event *e = xcalloc(1, sizeof(*e));

	e->kind = kind;
	heap_set(&sim->events, &e->node, at);
	return e;
}

static void event_free(struct event *e)
{
	free((void *)(uintptr_t)e->hold_answer.running);
	free((void *)(uintptr_t)e->hold_answer.ended);
	free(e);
}

static bool is_crashed(const struct simulation *sim,
		       const struct worker_state *worker)
{
	return fleet_load_trouble_at(worker->spec, TROUBLE_CRASH,
				     sim->now - BEGIN_AT);
}

/* The driver's calls. */

/* Schedules a call's arrival at its worker, and its timeout. */
static void send_call(struct simulation *sim, enum call_kind kind,
		      uint64_t call_id, const struct drive_worker *w,
		      const struct drive_task *task, uint32_t run,
		      uint64_t cursor, uint32_t wait_ms)
{
	struct event *e = schedule_event(
		sim, EVENT_CALL, sim->now + sim->load->profile->link_ms);
	struct event *timeout = schedule_event(
		sim, EVENT_CALL_ANSWER, sim->now + CALL_TIMEOUT_MS + wait_ms);

	e->call_kind = timeout->call_kind = kind;
	e->index = (size_t)strtoul(w->name + 1, NULL, 10);
	e->call_id = timeout->call_id = call_id;
	if (task)
		e->task = *task;
	e->run = run;
	e->cursor = cursor;
	e->wait_ms = wait_ms;
	timeout->hold_answer.answer.result = DRIVE_CALL_UNANSWERED;
}

static void on_start(void *ctx, const struct drive_start *call)
{
	send_call(ctx, CALL_START, call->call, call->worker, call->task,
		  call->run, 0, 0);
}

static void on_stop(void *ctx, const struct drive_stop *call)
{
	send_call(ctx, CALL_STOP, call->call, call->worker, call->task,
		  call->run, 0, 0);
}

static void on_hold(void *ctx, const struct drive_hold *call)
{
	send_call(ctx, CALL_HOLD, call->call, call->worker, NULL, 0,
		  call->cursor, call->wait_ms);
}

static void on_done(void *ctx, const struct drive_job_done *done)
{
	struct simulation *sim = ctx;
	struct fleet_load_answer *answer =
		&sim->results->answers[done->tag - 1];

	if (answer->answered_at)
		return;
	answer->answered_at = sim->now - BEGIN_AT + sim->load->profile->link_ms;
	answer->served = done->outcome == DRIVE_COMPLETED;
	answer->refused = done->outcome == DRIVE_REFUSED;
}

static bool is_home_reachable(void *ctx, uint64_t home)
{
	return true;
}

/* Keeps the epoch although a worker has seen a higher fence. */
static uint64_t keep_epoch(void *ctx, const struct drive_worker *worker)
{
	return 0;
}

static uint32_t is_in_time(void *ctx)
{
	return 0;
}

/* Workers. */

static void send_answer(struct simulation *sim, enum call_kind kind,
			uint64_t call_id, struct worker_state *worker,
			enum drive_call_result result)
{
	struct event *e = schedule_event(
		sim, EVENT_CALL_ANSWER, sim->now + sim->load->profile->link_ms);
	struct drive_active_run *running;
	size_t i;

	e->call_kind = kind;
	e->call_id = call_id;
	e->hold_answer.answer.result = result;
	e->hold_answer.answer.has_clock = true;
	e->hold_answer.answer.clock_ms = sim->now;
	if (kind != CALL_HOLD)
		return;
	running = xcalloc(worker->n_runs + 1, sizeof(*running));
	for (i = 0; i < worker->n_runs; i++) {
		const struct run *r = &worker->runs[i];

		running[i].task = r->task;
		running[i].run = r->number;
		running[i].percent = (uint32_t)((sim->now - r->begin_at) * 100 /
						(r->end_at - r->begin_at + 1));
	}
	e->hold_answer.running = running;
	e->hold_answer.n_running = worker->n_runs;
	e->hold_answer.ended = xmemdup(
		worker->ended, worker->n_ended * sizeof(*worker->ended));
	e->hold_answer.n_ended = worker->n_ended;
}

static void answer_holds(struct simulation *sim, struct worker_state *worker)
{
	while (worker->n_holds)
		send_answer(sim, CALL_HOLD,
			    worker->holds[--worker->n_holds].call_id, worker,
			    DRIVE_CALL_DONE);
}

static void end_run(struct simulation *sim, struct worker_state *worker,
		    size_t i, enum drive_run_result result)
{
	struct run *r = &worker->runs[i];
	struct drive_ended_run *e;

	if (result != DRIVE_RUN_DONE)
		sim->results->lost_core_s += (double)(sim->now - r->begin_at) *
					     r->cpu_milli / 1e6;
	if (worker->n_ended == worker->ended_capacity) {
		worker->ended_capacity = worker->ended_capacity
						 ? 2 * worker->ended_capacity
						 : 16;
		worker->ended = xrealloc(worker->ended,
					 worker->ended_capacity *
						 sizeof(*worker->ended));
	}
	e = &worker->ended[worker->n_ended++];
	e->sequence = ++worker->last_sequence;
	e->task = r->task;
	e->run = r->number;
	e->result = result;
	worker->used_milli -= r->cpu_milli;
	*r = worker->runs[--worker->n_runs];
}

static size_t job_index(const struct drive_task *task)
{
	return (size_t)strtoul(task->job, NULL, 16) - 1;
}

static enum drive_call_result start_run(struct simulation *sim,
					struct worker_state *worker,
					const struct event *e)
{
	const struct fleet_load_job *j = &sim->load->jobs[job_index(&e->task)];
	struct event *end;
	struct run *r;

	if (worker->used_milli + j->cpu_milli > worker->spec->cpu_milli ||
	    worker->n_runs == RUNS_MAX)
		return DRIVE_CALL_NO_CAPACITY;
	r = &worker->runs[worker->n_runs++];
	memset(r, 0, sizeof(*r));
	r->serial = ++sim->serial;
	r->task = e->task;
	r->number = e->run;
	r->cpu_milli = j->cpu_milli;
	r->begin_at = sim->now;
	r->end_at = sim->now + fleet_load_run_ms(worker->spec,
						 j->run_ms[e->task.index],
						 sim->now - BEGIN_AT);
	worker->used_milli += j->cpu_milli;
	sim->results->starts++;
	end = schedule_event(sim, EVENT_RUN_END, r->end_at);
	end->index = e->index;
	end->serial = r->serial;
	return DRIVE_CALL_DONE;
}

static void stop_runs(struct simulation *sim, struct worker_state *worker,
		      const struct event *e)
{
	size_t i;

	for (i = worker->n_runs; i-- > 0;)
		if (!memcmp(&worker->runs[i].task, &e->task, sizeof(e->task)) &&
		    worker->runs[i].number <= e->run)
			end_run(sim, worker, i, DRIVE_RUN_STOPPED);
	answer_holds(sim, worker);
}

static void handle_hold(struct simulation *sim, struct worker_state *worker,
			const struct event *e)
{
	size_t i, n = 0;

	for (i = 0; i < worker->n_ended; i++)
		if (worker->ended[i].sequence > e->cursor)
			worker->ended[n++] = worker->ended[i];
	worker->n_ended = n;
	if (n || !e->wait_ms || worker->n_holds == HOLDS_MAX) {
		send_answer(sim, CALL_HOLD, e->call_id, worker,
			    DRIVE_CALL_DONE);
		return;
	}
	worker->holds[worker->n_holds++] = (struct waiting_hold){e->call_id,
								 e->cursor};
	schedule_event(sim, EVENT_HOLD_TIMEOUT, sim->now + e->wait_ms)->index =
		e->index;
}

static void handle_call(struct simulation *sim, const struct event *e)
{
	struct worker_state *worker = &sim->workers[e->index];

	if (is_crashed(sim, worker))
		return;
	if (e->call_kind == CALL_START) {
		send_answer(sim, CALL_START, e->call_id, worker,
			    start_run(sim, worker, e));
	} else if (e->call_kind == CALL_STOP) {
		stop_runs(sim, worker, e);
		send_answer(sim, CALL_STOP, e->call_id, worker,
			    DRIVE_CALL_DONE);
	} else {
		handle_hold(sim, worker, e);
	}
}

static void handle_run_end(struct simulation *sim, const struct event *e)
{
	struct worker_state *worker = &sim->workers[e->index];
	bool fails = fleet_load_trouble_at(worker->spec, TROUBLE_FAIL,
					   sim->now - BEGIN_AT);
	size_t i;

	for (i = 0; i < worker->n_runs; i++) {
		if (worker->runs[i].serial != e->serial)
			continue;
		end_run(sim, worker, i,
			fails ? DRIVE_RUN_FAILED : DRIVE_RUN_DONE);
		answer_holds(sim, worker);
		return;
	}
}

static void crash_worker(struct simulation *sim, struct worker_state *worker)
{
	while (worker->n_runs)
		end_run(sim, worker, worker->n_runs - 1, DRIVE_RUN_EXPIRED);
	worker->n_holds = 0;
}

/* Jobs. */

static void submit_job(struct simulation *sim, size_t index)
{
	const struct fleet_load_job *j = &sim->load->jobs[index];
	const struct profile_kind *k = &sim->load->profile->kinds[j->kind];
	int64_t now = sim->now - BEGIN_AT;
	char id[DRIVE_JOB_ID_MAX], domain[SYC_NAME_MAX];
	struct drive_job spec = {
		.id = id,
		.service = "s",
		.route = k->name,
		.domain = domain,
		.label = "",
		.priority = k->priority,
		.attempts_max = k->attempts,
		.n_tasks = j->n_tasks,
		.cpu_milli = j->cpu_milli,
		.memory_mb = 1,
		.estimate_ms = j->estimate_ms,
		.objective_percent = k->objective_percent,
		.objective_add_ms = k->objective_add_ms,
		.age_ms = (uint32_t)(now - j->submitted_at),
		.deadline_ms = (uint32_t)(j->deadline_at - now),
		.body = {"x", 1},
	};

	snprintf(id, sizeof(id), "%016zx", index + 1);
	snprintf(domain, sizeof(domain), "d%u", j->domain);
	drive_submit(sim->drive, sim->now, HOME_ID, index + 1, &spec);
}

static void deliver_answer(struct simulation *sim, const struct event *e)
{
	if (e->call_kind == CALL_START)
		drive_start_answered(sim->drive, sim->now, e->call_id,
				     &e->hold_answer.answer);
	else if (e->call_kind == CALL_STOP)
		drive_stop_answered(sim->drive, sim->now, e->call_id,
				    &e->hold_answer.answer);
	else
		drive_hold_answered(sim->drive, sim->now, e->call_id,
				    &e->hold_answer);
}

static void notify_driver(struct simulation *sim, const struct event *e)
{
	double from = cpu_s();

	if (e->kind == EVENT_JOB_ARRIVAL)
		submit_job(sim, e->index);
	else if (e->kind == EVENT_JOB_DEADLINE)
		drive_cancel(sim->drive, sim->now, HOME_ID, e->index + 1);
	else
		deliver_answer(sim, e);
	sim->decision_s += cpu_s() - from;
}

static void handle_event(struct simulation *sim, const struct event *e)
{
	switch (e->kind) {
	case EVENT_CALL:
		handle_call(sim, e);
		break;
	case EVENT_RUN_END:
		handle_run_end(sim, e);
		break;
	case EVENT_WORKER_CRASH:
		crash_worker(sim, &sim->workers[e->index]);
		break;
	case EVENT_HOLD_TIMEOUT:
		answer_holds(sim, &sim->workers[e->index]);
		break;
	default:
		notify_driver(sim, e);
	}
}

static void run_until(struct simulation *sim, int64_t until)
{
	struct heap_node *n;
	double from;

	while (sim->now < until) {
		sim->now++;
		while ((n = heap_top(&sim->events)) && n->key <= sim->now) {
			struct event *e = HEAP_ITEM(n, struct event, node);

			heap_remove(&sim->events, n);
			handle_event(sim, e);
			event_free(e);
		}
		if (sim->now % TICK_MS)
			continue;
		from = cpu_s();
		drive_tick(sim->drive, sim->now);
		sim->decision_s += cpu_s() - from;
	}
}

static void list_workers(struct simulation *sim)
{
	const struct fleet_load *l = sim->load;
	size_t i, k;

	sim->listed = xcalloc(l->n_workers, sizeof(*sim->listed));
	sim->workers = xcalloc(l->n_workers, sizeof(*sim->workers));
	for (i = 0; i < l->n_workers; i++) {
		const struct fleet_load_worker *w = &l->workers[i];
		const struct profile_worker_type *type =
			&l->profile->worker_types[w->worker_type];
		struct drive_worker *d = &sim->listed[i];

		sim->workers[i].spec = w;
		snprintf(d->name, sizeof(d->name), "w%zu", i);
		snprintf(d->service, sizeof(d->service), "s");
		snprintf(d->domain, sizeof(d->domain), "d%u", w->domain);
		copy_text(d->kind, sizeof(d->kind),
			  *type->kind ? type->kind : type->name);
		copy_text(d->labels[d->n_labels++], SYC_NAME_MAX, d->kind);
		d->cpu_milli = w->cpu_milli;
		d->memory_mb = 65536;
		for (k = 0; k < w->n_troubles; k++)
			if (w->troubles[k].kind == TROUBLE_CRASH)
				schedule_event(sim, EVENT_WORKER_CRASH,
					       BEGIN_AT +
						       w->troubles[k].begin_at)
					->index = i;
	}
}

static void schedule_jobs(struct simulation *sim)
{
	const struct fleet_load *l = sim->load;
	size_t i;

	for (i = 0; i < l->n_jobs; i++) {
		schedule_event(sim, EVENT_JOB_ARRIVAL,
			       BEGIN_AT + l->jobs[i].submitted_at +
				       l->profile->link_ms)
			->index = i;
		schedule_event(sim, EVENT_JOB_DEADLINE,
			       BEGIN_AT + l->jobs[i].deadline_at)
			->index = i;
	}
}

static void simulation_begin(struct simulation *sim)
{
	struct drive_options opt = {
		.ctx = sim,
		.lease_ms = LEASE_MS,
		.hold_wait_ms = HOLD_WAIT_MS,
		.start = on_start,
		.stop = on_stop,
		.hold = on_hold,
		.job_done = on_done,
		.is_home_reachable = is_home_reachable,
		.choose_higher_epoch = keep_epoch,
		.get_late_ms = is_in_time,
	};

	sim->now = BEGIN_AT - WARM_UP_MS;
	sim->drive = drive_new(&opt);
	list_workers(sim);
	drive_set_workers(sim->drive, sim->now, sim->listed,
			  sim->load->n_workers);
	drive_begin(sim->drive, sim->now, 1);
	drive_set_workers(sim->drive, sim->now, sim->listed,
			  sim->load->n_workers);
	drive_add_unlisted_workers(sim->drive, sim->now, NULL, 0);
	run_until(sim, BEGIN_AT);
	sim->decision_s = 0;
}

static void simulation_free(struct simulation *sim)
{
	struct heap_node *n;
	size_t i;

	drive_free(sim->drive);
	while ((n = heap_top(&sim->events))) {
		heap_remove(&sim->events, n);
		event_free(HEAP_ITEM(n, struct event, node));
	}
	heap_free(&sim->events);
	for (i = 0; i < sim->load->n_workers; i++)
		free(sim->workers[i].ended);
	free(sim->workers);
	free(sim->listed);
}

void fleet_load_simulate_driver(const struct fleet_load *l,
				struct fleet_load_results *results)
{
	struct simulation sim = {.load = l, .results = results};

	memset(results, 0, sizeof(*results));
	results->answers = xcalloc(l->n_jobs + 1, sizeof(*results->answers));
	simulation_begin(&sim);
	schedule_jobs(&sim);
	run_until(&sim, BEGIN_AT + l->end_at + l->profile->deadline_ms);
	if (results->starts)
		results->decision_us_per_start = sim.decision_s * 1e6 /
						 (double)results->starts;
	simulation_free(&sim);
}
