/*
 * Jobs and their tasks, which wait, run or are done, and the one answer that
 * each submission receives.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/cleanup.h"
#include "util/invariant.h"

static void copy_task(struct job *j, uint32_t index,
		      const struct syc_task_spec *spec, size_t *offset)
{
	struct task *t = &j->tasks[index];

	t->next_waiting = index + 1 < j->n_tasks ? index + 2 : 0;
	t->run_hint_ms = spec->run_ms;
	t->cpus = spec->cpus;
	t->memory_mb = spec->memory_mb;
	t->accelerators = spec->accelerators;
	if (spec->body.n)
		memcpy(j->bodies + *offset, spec->body.p, spec->body.n);
	t->body.p = j->bodies + *offset;
	t->body.n = spec->body.n;
	*offset += spec->body.n;
}

static void copy_tasks(struct job *j, const struct syc_job_spec *spec)
{
	size_t total = 0, offset = 0;
	uint32_t i;

	for (i = 0; i < spec->n_tasks; i++)
		total += spec->tasks[i].body.n;
	j->bodies = xcalloc(1, total);
	j->tasks = xcalloc(spec->n_tasks, sizeof(*j->tasks));
	j->n_tasks = spec->n_tasks;
	for (i = 0; i < spec->n_tasks; i++)
		copy_task(j, i, &spec->tasks[i], &offset);
}

static void add_waiting_tasks(struct syc_dispatch *d, struct job *j, int32_t n,
			      int64_t estimated_ms)
{
	j->n_waiting += (uint32_t)n;
	j->flow->waiting_tasks += (uint32_t)n;
	j->flow->waiting_slot_ms += estimated_ms;
	j->flow->pool->waiting_tasks += (uint32_t)n;
	j->flow->caller->waiting_tasks += (uint32_t)n;
	d->waiting_tasks += (uint32_t)n;
}

struct job *job_new(struct syc_dispatch *d, int64_t now, uint64_t tag,
		    const struct syc_job_spec *spec, struct flow *f,
		    struct kind *k)
{
	void *item;
	uint64_t handle = table_add(&d->jobs, &item);
	struct job *j = item;
	int64_t estimated_ms = 0;
	uint32_t i;

	j->handle = handle;
	j->tag = tag;
	j->flow = f;
	j->kind = k;
	j->is_single = spec->single;
	j->submitted_at = now;
	j->first_task_id = rng_next(&d->rng);
	j->first_waiting = 1;
	copy_tasks(j, spec);
	for (i = 0; i < j->n_tasks; i++) {
		j->tasks[i].estimated_ms = estimate_ms(k,
						       j->tasks[i].run_hint_ms);
		estimated_ms += j->tasks[i].estimated_ms;
	}
	k->n_users++;
	index_put(&d->job_by_tag, index_hash_number(tag), handle);
	if (spec->deadline_ms) {
		j->deadline_at = now + spec->deadline_ms;
		heap_set(&d->job_deadlines, &j->deadline_node, j->deadline_at);
	}
	add_waiting_tasks(d, j, (int32_t)j->n_tasks, estimated_ms);
	flow_add_job(f, j);
	return j;
}

uint32_t job_take_task(struct syc_dispatch *d, struct job *j)
{
	uint32_t index = j->first_waiting - 1;
	struct task *t = &j->tasks[index];

	invariant(j->first_waiting && t->state == TASK_WAITING);
	j->first_waiting = t->next_waiting;
	add_waiting_tasks(d, j, -1, -(int64_t)t->estimated_ms);
	if (!j->first_waiting)
		flow_remove_job(j->flow, j);
	else
		flow_reorder_job(j->flow, j);
	return index;
}

void job_requeue_task(struct syc_dispatch *d, struct job *j, uint32_t index)
{
	struct task *t = &j->tasks[index];

	t->state = TASK_WAITING;
	t->next_waiting = j->first_waiting;
	j->first_waiting = index + 1;
	add_waiting_tasks(d, j, 1, t->estimated_ms);
	flow_add_job(j->flow, j);
}

/*
 * Updates the counts once for all tasks, so that the cancellation of many
 * jobs costs little.
 */
static void drop_waiting(struct syc_dispatch *d, struct job *j)
{
	int64_t estimated_ms = 0;
	uint32_t i;

	for (i = j->first_waiting; i; i = j->tasks[i - 1].next_waiting)
		estimated_ms += j->tasks[i - 1].estimated_ms;
	add_waiting_tasks(d, j, -(int32_t)j->n_waiting, -estimated_ms);
	j->first_waiting = 0;
	flow_remove_job(j->flow, j);
}

static void stop_running(struct syc_dispatch *d, struct job *j)
{
	uint32_t i;

	for (i = 0; i < j->n_tasks && j->n_running; i++) {
		send_stop(d, j->tasks[i].send_ids[0]);
		send_stop(d, j->tasks[i].send_ids[1]);
	}
}

void job_free(struct syc_dispatch *d, struct job *j)
{
	uint32_t i;

	drop_waiting(d, j);
	heap_remove(&d->job_deadlines, &j->deadline_node);
	index_del(&d->job_by_tag, index_hash_number(j->tag));
	for (i = 0; i < j->n_tasks; i++)
		free(j->tasks[i].result_body);
	free(j->tasks);
	free(j->bodies);
	j->kind->n_users--;
	table_del(&d->jobs, j->handle);
}

void job_answer(struct syc_dispatch *d, int64_t now, struct job *j,
		enum syc_outcome outcome, enum syc_reason reason,
		uint32_t retry_after_ms, const char *detail)
{
	struct syc_answer answer = {0};
	uint64_t tag = j->tag;

	invariant(outcome != SYC_NOT_RUN ||
		  (!j->may_have_run && !j->n_running));
	answer.outcome = outcome;
	answer.reason = reason;
	answer.retry_after_ms = retry_after_ms;
	copy_text(answer.detail, sizeof(answer.detail), detail);
	ledger_count_answer(&j->flow->ledger, d->bundle->version, outcome,
			    reason);
	drop_waiting(d, j);
	stop_running(d, j);
	job_free(d, j);
	d->opt.done(d->opt.ctx, tag, &answer);
}

void job_give_up(struct syc_dispatch *d, int64_t now, struct job *j,
		 enum syc_reason reason, uint32_t retry_after_ms,
		 const char *detail)
{
	enum syc_outcome outcome = SYC_NOT_RUN;

	if (j->n_running)
		outcome = SYC_UNKNOWN;
	else if (j->may_have_run)
		outcome = SYC_FAILED;
	job_answer(d, now, j, outcome, reason, retry_after_ms, detail);
}

void job_complete(struct syc_dispatch *d, int64_t now, struct job *j)
{
	auto_free struct syc_task_result *results = NULL;
	struct syc_answer answer = {0};
	uint32_t i;

	invariant(j->n_done == j->n_tasks && !j->n_running && !j->n_waiting);
	results = xcalloc(j->n_tasks, sizeof(*results));
	for (i = 0; i < j->n_tasks; i++) {
		invariant(j->tasks[i].state == TASK_DONE);
		results[i].outcome = SYC_COMPLETED;
		results[i].status = j->tasks[i].http_status;
		results[i].body.p = j->tasks[i].result_body;
		results[i].body.n = j->tasks[i].result_len;
	}
	answer.outcome = SYC_COMPLETED;
	answer.n_results = j->n_tasks;
	answer.results = results;
	ledger_count_answer(&j->flow->ledger, d->bundle->version, SYC_COMPLETED,
			    SYC_REASON_NONE);
	/* The callback may submit a new job with the same tag. */
	index_del(&d->job_by_tag, index_hash_number(j->tag));
	d->opt.done(d->opt.ctx, j->tag, &answer);
	job_free(d, j);
}
