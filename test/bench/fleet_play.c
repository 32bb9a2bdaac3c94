/*
 * Plays a load against the real driver. Workers guard their room, answer
 * calls after the link's time, and suffer the troubles of the load.
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
	BASE_MS = 1000000, /* the driver's time when the load begins */
	SETTLE_MS = 1000, /* in which it learns its workers */
	TICK_MS = 10,
	LEASE_MS = 1000,
	HOLD_WAIT_MS = 200,
	ANSWER_MS = 120, /* until a call counts as unanswered */
	RUNS_MAX = 256, /* on one worker */
	HOLDS_MAX = 4, /* that wait at one worker */
	HOME = 1
};

enum event_kind {
	EVENT_JOB,
	EVENT_GIVE_UP,
	EVENT_DARK,
	EVENT_ORDER,
	EVENT_ANSWER,
	EVENT_RUN_END,
	EVENT_HOLD_DUE
};

enum order_kind { ORDER_START, ORDER_STOP, ORDER_HOLD };

struct event {
	struct heap_node node;
	enum event_kind kind;
	enum order_kind order;
	size_t index; /* of the job or worker */
	uint64_t call;
	struct drive_task task;
	uint32_t run;
	uint64_t cursor;
	uint32_t wait_ms;
	uint64_t serial; /* of a run */
	struct drive_hold_answer held;
};

struct run {
	uint64_t serial;
	struct drive_task task;
	uint32_t number;
	uint32_t cpu_milli;
	int64_t began, ends;
};

struct waiting {
	uint64_t call;
	uint64_t cursor;
};

struct site {
	const struct load_worker *w;
	struct run runs[RUNS_MAX];
	size_t n_runs;
	uint32_t used_milli;
	struct drive_ended_run *ended;
	size_t n_ended, cap_ended;
	uint64_t last_end;
	struct waiting holds[HOLDS_MAX];
	size_t n_holds;
};

struct play {
	const struct load *load;
	struct load_played *out;
	struct drive *drive;
	struct drive_worker *list;
	struct site *sites;
	struct heap events;
	int64_t now;
	uint64_t serial;
	double decide_s;
};

static struct event *push(struct play *p, enum event_kind kind, int64_t at)
{
	struct event *e = xcalloc(1, sizeof(*e));

	e->kind = kind;
	heap_set(&p->events, &e->node, at);
	return e;
}

static void event_free(struct event *e)
{
	free((void *)(uintptr_t)e->held.running);
	free((void *)(uintptr_t)e->held.ended);
	free(e);
}

static bool is_dark(const struct play *p, const struct site *s)
{
	return load_trouble_at(s->w, TROUBLE_DARK, p->now - BASE_MS);
}

/* What the driver asks for. */

static void order(struct play *p, enum order_kind kind, uint64_t call,
		  const struct drive_worker *w, const struct drive_task *task,
		  uint32_t run, uint64_t cursor, uint32_t wait_ms)
{
	struct event *e = push(p, EVENT_ORDER,
			       p->now + p->load->profile->link_ms);
	struct event *late = push(p, EVENT_ANSWER,
				  p->now + ANSWER_MS + wait_ms);

	e->order = late->order = kind;
	e->index = (size_t)strtoul(w->name + 1, NULL, 10);
	e->call = late->call = call;
	if (task)
		e->task = *task;
	e->run = run;
	e->cursor = cursor;
	e->wait_ms = wait_ms;
	late->held.answer.result = DRIVE_CALL_UNANSWERED;
}

static void on_start(void *ctx, const struct drive_start *call)
{
	order(ctx, ORDER_START, call->call, call->worker, call->task, call->run,
	      0, 0);
}

static void on_stop(void *ctx, const struct drive_stop *call)
{
	order(ctx, ORDER_STOP, call->call, call->worker, call->task, call->run,
	      0, 0);
}

static void on_hold(void *ctx, const struct drive_hold *call)
{
	order(ctx, ORDER_HOLD, call->call, call->worker, NULL, 0, call->cursor,
	      call->wait_ms);
}

static void on_done(void *ctx, const struct drive_job_done *done)
{
	struct play *p = ctx;
	struct load_end *end = &p->out->ends[done->tag - 1];

	if (end->at)
		return;
	end->at = p->now - BASE_MS + p->load->profile->link_ms;
	end->served = done->outcome == DRIVE_COMPLETED;
	end->refused = done->outcome == DRIVE_REFUSED;
}

static bool on_near(void *ctx, uint64_t home)
{
	return true;
}

static uint64_t on_fenced(void *ctx, const struct drive_worker *worker)
{
	return 0;
}

/* Workers. */

static void answer(struct play *p, enum order_kind kind, uint64_t call,
		   struct site *s, enum drive_call_result end)
{
	struct event *e = push(p, EVENT_ANSWER,
			       p->now + p->load->profile->link_ms);
	struct drive_active_run *running;
	size_t i;

	e->order = kind;
	e->call = call;
	e->held.answer.result = end;
	e->held.answer.has_clock = true;
	e->held.answer.clock_ms = p->now;
	if (kind != ORDER_HOLD)
		return;
	running = xcalloc(s->n_runs + 1, sizeof(*running));
	for (i = 0; i < s->n_runs; i++) {
		const struct run *r = &s->runs[i];

		running[i].task = r->task;
		running[i].run = r->number;
		running[i].percent = (uint32_t)((p->now - r->began) * 100 /
						(r->ends - r->began + 1));
	}
	e->held.running = running;
	e->held.n_running = s->n_runs;
	e->held.ended = xmemdup(s->ended, s->n_ended * sizeof(*s->ended));
	e->held.n_ended = s->n_ended;
}

static void answer_holds(struct play *p, struct site *s)
{
	while (s->n_holds)
		answer(p, ORDER_HOLD, s->holds[--s->n_holds].call, s,
		       DRIVE_CALL_DONE);
}

static void end_run(struct play *p, struct site *s, size_t i,
		    enum drive_run_result how)
{
	struct run *r = &s->runs[i];
	struct drive_ended_run *e;

	if (how != DRIVE_RUN_DONE)
		p->out->wasted_core_s += (double)(p->now - r->began) *
					 r->cpu_milli / 1e6;
	if (s->n_ended == s->cap_ended) {
		s->cap_ended = s->cap_ended ? 2 * s->cap_ended : 16;
		s->ended = xrealloc(s->ended, s->cap_ended * sizeof(*s->ended));
	}
	e = &s->ended[s->n_ended++];
	e->sequence = ++s->last_end;
	e->task = r->task;
	e->run = r->number;
	e->result = how;
	s->used_milli -= r->cpu_milli;
	*r = s->runs[--s->n_runs];
}

static size_t job_index(const struct drive_task *task)
{
	return (size_t)strtoul(task->job, NULL, 16) - 1;
}

static enum drive_call_result start(struct play *p, struct site *s,
				    const struct event *e)
{
	const struct load_job *j = &p->load->jobs[job_index(&e->task)];
	struct event *end;
	struct run *r;

	if (s->used_milli + j->cpu_milli > s->w->cpu_milli ||
	    s->n_runs == RUNS_MAX)
		return DRIVE_CALL_NO_CAPACITY;
	r = &s->runs[s->n_runs++];
	memset(r, 0, sizeof(*r));
	r->serial = ++p->serial;
	r->task = e->task;
	r->number = e->run;
	r->cpu_milli = j->cpu_milli;
	r->began = p->now;
	r->ends = p->now +
		  load_run_ms(s->w, j->run_ms[e->task.index], p->now - BASE_MS);
	s->used_milli += j->cpu_milli;
	p->out->starts++;
	end = push(p, EVENT_RUN_END, r->ends);
	end->index = e->index;
	end->serial = r->serial;
	return DRIVE_CALL_DONE;
}

static void stop(struct play *p, struct site *s, const struct event *e)
{
	size_t i;

	for (i = s->n_runs; i-- > 0;)
		if (!memcmp(&s->runs[i].task, &e->task, sizeof(e->task)) &&
		    s->runs[i].number <= e->run)
			end_run(p, s, i, DRIVE_RUN_STOPPED);
	answer_holds(p, s);
}

static void hold(struct play *p, struct site *s, const struct event *e)
{
	size_t i, n = 0;

	for (i = 0; i < s->n_ended; i++)
		if (s->ended[i].sequence > e->cursor)
			s->ended[n++] = s->ended[i];
	s->n_ended = n;
	if (n || !e->wait_ms || s->n_holds == HOLDS_MAX) {
		answer(p, ORDER_HOLD, e->call, s, DRIVE_CALL_DONE);
		return;
	}
	s->holds[s->n_holds++] = (struct waiting){e->call, e->cursor};
	push(p, EVENT_HOLD_DUE, p->now + e->wait_ms)->index = e->index;
}

static void carry_out(struct play *p, const struct event *e)
{
	struct site *s = &p->sites[e->index];

	if (is_dark(p, s))
		return;
	if (e->order == ORDER_START) {
		answer(p, ORDER_START, e->call, s, start(p, s, e));
	} else if (e->order == ORDER_STOP) {
		stop(p, s, e);
		answer(p, ORDER_STOP, e->call, s, DRIVE_CALL_DONE);
	} else {
		hold(p, s, e);
	}
}

static void run_ends(struct play *p, const struct event *e)
{
	struct site *s = &p->sites[e->index];
	bool fails = load_trouble_at(s->w, TROUBLE_FAIL, p->now - BASE_MS);
	size_t i;

	for (i = 0; i < s->n_runs; i++) {
		if (s->runs[i].serial != e->serial)
			continue;
		end_run(p, s, i, fails ? DRIVE_RUN_FAILED : DRIVE_RUN_DONE);
		answer_holds(p, s);
		return;
	}
}

static void go_dark(struct play *p, struct site *s)
{
	while (s->n_runs)
		end_run(p, s, s->n_runs - 1, DRIVE_RUN_EXPIRED);
	s->n_holds = 0;
}

/* Jobs. */

static void submit(struct play *p, size_t index)
{
	const struct load_job *j = &p->load->jobs[index];
	const struct profile_kind *k = &p->load->profile->kinds[j->kind];
	int64_t now = p->now - BASE_MS;
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
		.age_ms = (uint32_t)(now - j->at),
		.deadline_ms = (uint32_t)(j->deadline_at - now),
		.body = {"x", 1},
	};

	snprintf(id, sizeof(id), "%016zx", index + 1);
	snprintf(domain, sizeof(domain), "d%u", j->domain);
	drive_submit(p->drive, p->now, HOME, index + 1, &spec);
}

static void hand_answer(struct play *p, const struct event *e)
{
	if (e->order == ORDER_START)
		drive_start_answered(p->drive, p->now, e->call,
				     &e->held.answer);
	else if (e->order == ORDER_STOP)
		drive_stop_answered(p->drive, p->now, e->call, &e->held.answer);
	else
		drive_hold_answered(p->drive, p->now, e->call, &e->held);
}

static void tell_driver(struct play *p, const struct event *e)
{
	double from = cpu_s();

	if (e->kind == EVENT_JOB)
		submit(p, e->index);
	else if (e->kind == EVENT_GIVE_UP)
		drive_cancel(p->drive, p->now, HOME, e->index + 1);
	else
		hand_answer(p, e);
	p->decide_s += cpu_s() - from;
}

static void take(struct play *p, const struct event *e)
{
	switch (e->kind) {
	case EVENT_ORDER:
		carry_out(p, e);
		break;
	case EVENT_RUN_END:
		run_ends(p, e);
		break;
	case EVENT_DARK:
		go_dark(p, &p->sites[e->index]);
		break;
	case EVENT_HOLD_DUE:
		answer_holds(p, &p->sites[e->index]);
		break;
	default:
		tell_driver(p, e);
	}
}

static void run_until(struct play *p, int64_t until)
{
	struct heap_node *n;
	double from;

	while (p->now < until) {
		p->now++;
		while ((n = heap_top(&p->events)) && n->key <= p->now) {
			struct event *e = HEAP_ITEM(n, struct event, node);

			heap_remove(&p->events, n);
			take(p, e);
			event_free(e);
		}
		if (p->now % TICK_MS)
			continue;
		from = cpu_s();
		drive_tick(p->drive, p->now);
		p->decide_s += cpu_s() - from;
	}
}

static void list_workers(struct play *p)
{
	const struct load *l = p->load;
	size_t i, k;

	p->list = xcalloc(l->n_workers, sizeof(*p->list));
	p->sites = xcalloc(l->n_workers, sizeof(*p->sites));
	for (i = 0; i < l->n_workers; i++) {
		const struct load_worker *w = &l->workers[i];
		struct drive_worker *d = &p->list[i];

		p->sites[i].w = w;
		snprintf(d->name, sizeof(d->name), "w%zu", i);
		snprintf(d->service, sizeof(d->service), "s");
		snprintf(d->domain, sizeof(d->domain), "d%u", w->domain);
		copy_name(d->kind, sizeof(d->kind),
			  l->profile->breeds[w->breed].name);
		copy_name(d->labels[d->n_labels++], SYC_NAME_MAX, d->kind);
		d->cpu_milli = w->cpu_milli;
		d->memory_mb = 65536;
		for (k = 0; k < w->n_troubles; k++)
			if (w->troubles[k].kind == TROUBLE_DARK)
				push(p, EVENT_DARK,
				     BASE_MS + w->troubles[k].from)
					->index = i;
	}
}

static void push_jobs(struct play *p)
{
	const struct load *l = p->load;
	size_t i;

	for (i = 0; i < l->n_jobs; i++) {
		push(p, EVENT_JOB,
		     BASE_MS + l->jobs[i].at + l->profile->link_ms)
			->index = i;
		push(p, EVENT_GIVE_UP, BASE_MS + l->jobs[i].deadline_at)
			->index = i;
	}
}

static void begin(struct play *p)
{
	struct drive_options opt = {
		.ctx = p,
		.lease_ms = LEASE_MS,
		.hold_wait_ms = HOLD_WAIT_MS,
		.start = on_start,
		.stop = on_stop,
		.hold = on_hold,
		.job_done = on_done,
		.is_home_reachable = on_near,
		.fenced = on_fenced,
	};

	p->now = BASE_MS - SETTLE_MS;
	p->drive = drive_new(&opt);
	list_workers(p);
	drive_set_workers(p->drive, p->now, p->list, p->load->n_workers);
	drive_begin(p->drive, p->now, 1);
	drive_set_workers(p->drive, p->now, p->list, p->load->n_workers);
	drive_add_unlisted_workers(p->drive, p->now, NULL, 0);
	run_until(p, BASE_MS);
	p->decide_s = 0;
}

static void finish(struct play *p)
{
	struct heap_node *n;
	size_t i;

	drive_free(p->drive);
	while ((n = heap_top(&p->events))) {
		heap_remove(&p->events, n);
		event_free(HEAP_ITEM(n, struct event, node));
	}
	heap_free(&p->events);
	for (i = 0; i < p->load->n_workers; i++)
		free(p->sites[i].ended);
	free(p->sites);
	free(p->list);
}

void load_play_drive(const struct load *l, struct load_played *out)
{
	struct play p = {.load = l, .out = out};

	memset(out, 0, sizeof(*out));
	out->ends = xcalloc(l->n_jobs + 1, sizeof(*out->ends));
	begin(&p);
	push_jobs(&p);
	run_until(&p, BASE_MS + l->until + l->profile->deadline_ms);
	if (out->starts)
		out->decide_us = p.decide_s * 1e6 / (double)out->starts;
	finish(&p);
}
