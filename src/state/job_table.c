/*
 * Jobs and their tasks: what waits, what runs, what has ended, and the one
 * answer that each submission gets.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/cleanup.h"
#include "util/invariant.h"

static void copy_task(struct job *j, uint32_t i,
		      const struct syc_task_spec *spec, size_t *off)
{
	struct task *t = &j->tasks[i];

	t->next = i + 1 < j->n_tasks ? i + 2 : 0;
	t->run_hint_ms = spec->run_ms;
	t->cpus = spec->cpus;
	t->memory_mb = spec->memory_mb;
	t->accelerators = spec->accelerators;
	if (spec->body.n)
		memcpy(j->bodies + *off, spec->body.p, spec->body.n);
	t->body.p = j->bodies + *off;
	t->body.n = spec->body.n;
	*off += spec->body.n;
}

static void copy_tasks(struct job *j, const struct syc_job_spec *spec)
{
	size_t total = 0, off = 0;
	uint32_t i;

	for (i = 0; i < spec->n_tasks; i++)
		total += spec->tasks[i].body.n;
	j->bodies = xcalloc(1, total);
	j->tasks = xcalloc(spec->n_tasks, sizeof(*j->tasks));
	j->n_tasks = spec->n_tasks;
	for (i = 0; i < spec->n_tasks; i++)
		copy_task(j, i, &spec->tasks[i], &off);
}

static void count_waiting(struct syc_dispatch *d, struct job *j, int32_t n,
			  int64_t est_ms)
{
	j->n_waiting += (uint32_t)n;
	j->flow->waiting += (uint32_t)n;
	j->flow->waiting_ms += est_ms;
	j->flow->pool->waiting += (uint32_t)n;
	j->flow->caller->waiting += (uint32_t)n;
	d->waiting += (uint32_t)n;
}

struct job *job_new(struct syc_dispatch *d, int64_t now, uint64_t tag,
		    const struct syc_job_spec *spec, struct flow *f,
		    struct kind *k)
{
	void *item;
	uint64_t handle = table_add(&d->jobs, &item);
	struct job *j = item;
	int64_t est = 0;
	uint32_t i;

	j->handle = handle;
	j->tag = tag;
	j->flow = f;
	j->kind = k;
	j->single = spec->single;
	j->arrival = now;
	j->first_task_id = rng_next(&d->rng);
	j->first_waiting = 1;
	copy_tasks(j, spec);
	for (i = 0; i < j->n_tasks; i++) {
		j->tasks[i].est_ms = estimate_ms(k, j->tasks[i].run_hint_ms);
		est += j->tasks[i].est_ms;
	}
	k->users++;
	index_put(&d->job_by_tag, index_hash_number(tag), handle);
	if (spec->deadline_ms) {
		j->deadline = now + spec->deadline_ms;
		heap_set(&d->deadlines, &j->timer, j->deadline);
	}
	count_waiting(d, j, (int32_t)j->n_tasks, est);
	flow_job_waits(f, j);
	return j;
}

/* Takes the next waiting task out; there must be one. */
uint32_t job_take(struct syc_dispatch *d, struct job *j)
{
	uint32_t i = j->first_waiting - 1;
	struct task *t = &j->tasks[i];

	invariant(j->first_waiting && t->state == TASK_WAITING);
	j->first_waiting = t->next;
	count_waiting(d, j, -1, -(int64_t)t->est_ms);
	if (!j->first_waiting)
		flow_job_gone(j->flow, j);
	else
		flow_job_moved(j->flow, j);
	return i;
}

void job_put_back(struct syc_dispatch *d, struct job *j, uint32_t task)
{
	struct task *t = &j->tasks[task];

	t->state = TASK_WAITING;
	t->next = j->first_waiting;
	j->first_waiting = task + 1;
	count_waiting(d, j, 1, t->est_ms);
	flow_job_waits(j->flow, j);
}

/* All at once, so that a wave of cancellations costs little. */
static void drop_waiting(struct syc_dispatch *d, struct job *j)
{
	int64_t est = 0;
	uint32_t i;

	for (i = j->first_waiting; i; i = j->tasks[i - 1].next)
		est += j->tasks[i - 1].est_ms;
	count_waiting(d, j, -(int32_t)j->n_waiting, -est);
	j->first_waiting = 0;
	flow_job_gone(j->flow, j);
}

static void stop_running(struct syc_dispatch *d, struct job *j)
{
	uint32_t i;

	for (i = 0; i < j->n_tasks && j->n_running; i++) {
		send_stop(d, j->tasks[i].sends[0]);
		send_stop(d, j->tasks[i].sends[1]);
	}
}

void job_free(struct syc_dispatch *d, struct job *j)
{
	uint32_t i;

	drop_waiting(d, j);
	heap_remove(&d->deadlines, &j->timer);
	index_del(&d->job_by_tag, index_hash_number(j->tag));
	for (i = 0; i < j->n_tasks; i++)
		free(j->tasks[i].result);
	free(j->tasks);
	free(j->bodies);
	j->kind->users--;
	table_del(&d->jobs, j->handle);
}

void job_answer(struct syc_dispatch *d, int64_t now, struct job *j,
		enum syc_outcome outcome, enum syc_reason reason,
		uint32_t retry_after_ms, const char *detail)
{
	struct syc_answer a = {0};
	uint64_t tag = j->tag;

	invariant(outcome != SYC_NOT_RUN || (!j->ran && !j->n_running));
	a.outcome = outcome;
	a.reason = reason;
	a.retry_after_ms = retry_after_ms;
	copy_name(a.detail, sizeof(a.detail), detail);
	ledger_answer(&j->flow->ledger, d->bundle->version, outcome, reason);
	drop_waiting(d, j);
	stop_running(d, j);
	job_free(d, j);
	d->opt.done(d->opt.ctx, tag, &a);
}

void job_give_up(struct syc_dispatch *d, int64_t now, struct job *j,
		 enum syc_reason reason, uint32_t retry_after_ms,
		 const char *detail)
{
	enum syc_outcome outcome = SYC_NOT_RUN;

	if (j->n_running)
		outcome = SYC_UNKNOWN;
	else if (j->ran)
		outcome = SYC_FAILED;
	job_answer(d, now, j, outcome, reason, retry_after_ms, detail);
}

void job_complete(struct syc_dispatch *d, int64_t now, struct job *j)
{
	auto_free struct syc_task_result *res = NULL;
	struct syc_answer a = {0};
	uint32_t i;

	invariant(j->n_done == j->n_tasks && !j->n_running && !j->n_waiting);
	res = xcalloc(j->n_tasks, sizeof(*res));
	for (i = 0; i < j->n_tasks; i++) {
		invariant(j->tasks[i].state == TASK_DONE);
		res[i].outcome = SYC_COMPLETED;
		res[i].status = j->tasks[i].status;
		res[i].body.p = j->tasks[i].result;
		res[i].body.n = j->tasks[i].result_len;
	}
	a.outcome = SYC_COMPLETED;
	a.n_results = j->n_tasks;
	a.results = res;
	ledger_answer(&j->flow->ledger, d->bundle->version, SYC_COMPLETED,
		      SYC_REASON_NONE);
	/* The tag may be used anew from within the callback. */
	index_del(&d->job_by_tag, index_hash_number(j->tag));
	d->opt.done(d->opt.ctx, j->tag, &a);
	job_free(d, j);
}
