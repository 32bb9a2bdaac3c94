/*
 * Handles the end of a send: its task is done, is sent again or ends the job.
 * A task of a job, or of a kind that is not idempotent, is sent again only on
 * proof that it did not run. Other requests may be retried or hedged, within
 * a budget that first sends earn.
 */
#include <stdio.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum {
	RETRY_COST_CREDIT = 100, /* of one retry or hedge */
	RETRY_CREDIT_MAX = 1000,
	HTTP_SERVER_ERROR = 500 /* lowest status that is the target's fault */
};

static bool is_proved_not_run(enum syc_send_end end)
{
	return end == SYC_SEND_REFUSED || end == SYC_SEND_NOT_SENT;
}

static bool is_target_fault(const struct syc_send_result *res)
{
	if (res->end == SYC_SEND_FAILED)
		return res->status >= HTTP_SERVER_ERROR;
	return res->end == SYC_SEND_BROKEN || res->end == SYC_SEND_TIMEOUT;
}

static bool may_repeat(const struct job *j)
{
	return j->is_single && !j->kind->conf.non_idempotent;
}

void retry_earn_credit(struct syc_dispatch *d, struct flow *f)
{
	f->retry_credit += d->bundle->retry_percent;
	if (f->retry_credit > RETRY_CREDIT_MAX)
		f->retry_credit = RETRY_CREDIT_MAX;
}

static bool spend_credit(struct flow *f)
{
	if (f->retry_credit < RETRY_COST_CREDIT)
		return false;
	f->retry_credit -= RETRY_COST_CREDIT;
	return true;
}

static void finish_task(struct syc_dispatch *d, int64_t now, struct job *j,
			uint32_t task_index, const struct syc_send_result *res)
{
	struct task *t = &j->tasks[task_index];

	t->state = TASK_DONE;
	t->http_status = res->status;
	t->result_body = xmemdup(res->body.p, res->body.n);
	t->result_len = res->body.n;
	send_stop(d, t->send_ids[0]);
	send_stop(d, t->send_ids[1]);
	t->send_ids[0] = t->send_ids[1] = 0;
	j->n_running--;
	if (++j->n_done == j->n_tasks)
		job_complete(d, now, j);
}

static void requeue_refused_task(struct syc_dispatch *d, int64_t now,
				 struct job *j, uint32_t task_index)
{
	if (j->tasks[task_index].attempts < TASK_SENDS_MAX) {
		job_requeue_task(d, j, task_index);
		return;
	}
	job_give_up(d, now, j, SYC_TARGET_REFUSED, QUEUE_FULL_RETRY_MS,
		    "targets refused a task too often");
}

/* Queues the request again if its kind and the budget allow a retry. */
static bool retry_task(struct syc_dispatch *d, struct job *j,
		       uint32_t task_index, const struct syc_send_result *res)
{
	struct task *t = &j->tasks[task_index];

	if (!may_repeat(j) || !is_target_fault(res) ||
	    t->retries >= j->kind->conf.retries || !spend_credit(j->flow))
		return false;
	t->retries++;
	job_requeue_task(d, j, task_index);
	return true;
}

static void handle_task_end(struct syc_dispatch *d, int64_t now, struct job *j,
			    uint32_t task_index,
			    const struct syc_send_result *res)
{
	char detail[SYC_DETAIL_MAX];

	j->n_running--;
	if (is_proved_not_run(res->end)) {
		requeue_refused_task(d, now, j, task_index);
		return;
	}
	if (retry_task(d, j, task_index, res))
		return;
	if (res->end == SYC_SEND_FAILED) {
		snprintf(detail, sizeof(detail),
			 "task %u: the target answered %u", task_index,
			 res->status);
		job_answer(d, now, j, SYC_FAILED, SYC_TASK_FAILED, 0, detail);
	} else if (res->end == SYC_SEND_TIMEOUT) {
		snprintf(detail, sizeof(detail), "task %u: over its time limit",
			 task_index);
		job_answer(d, now, j, SYC_UNKNOWN, SYC_TIME_LIMIT, 0, detail);
	} else {
		snprintf(detail, sizeof(detail),
			 "task %u: the target broke off", task_index);
		job_answer(d, now, j, SYC_UNKNOWN, SYC_CONNECTION_LOST, 0,
			   detail);
	}
}

static void record_result(struct syc_dispatch *d, int64_t now,
			  const struct send *s,
			  const struct syc_send_result *res)
{
	if (is_proved_not_run(res->end)) {
		health_record_refusal(d, now, s->target);
	} else if (is_target_fault(res)) {
		if (!s->is_stopped)
			health_record_failure(d, now, s->target);
	} else {
		health_record_success(d, s->target);
	}
	if (res->end == SYC_SEND_ANSWERED)
		estimate_add_sample(s->kind, now - s->started_at);
}

/* Removes the send from its task; true when another send of it runs. */
static bool remove_send(struct task *t, uint64_t send_id)
{
	invariant(t->state == TASK_RUNNING);
	invariant(t->send_ids[0] == send_id || t->send_ids[1] == send_id);
	if (t->send_ids[0] == send_id)
		t->send_ids[0] = t->send_ids[1];
	t->send_ids[1] = 0;
	return t->send_ids[0] != 0;
}

static void handle_result(struct syc_dispatch *d, int64_t now, struct job *j,
			  uint32_t task_index, uint64_t send_id,
			  const struct syc_send_result *res)
{
	struct task *t = &j->tasks[task_index];
	bool is_other_running = remove_send(t, send_id);

	j->may_have_run = j->may_have_run || !is_proved_not_run(res->end);
	if (res->end == SYC_SEND_ANSWERED)
		finish_task(d, now, j, task_index, res);
	else if (!is_other_running)
		handle_task_end(d, now, j, task_index, res);
}

void syc_dispatch_result(struct syc_dispatch *d, int64_t now, uint64_t start_id,
			 const struct syc_send_result *res)
{
	struct send *s = table_get(&d->sends, start_id);
	struct pool *p;
	struct job *j;
	uint32_t task_index;

	if (!s || s->is_lingering)
		return;
	p = s->target->pool;
	task_index = s->task_index;
	j = table_get(&d->jobs, s->job_handle);
	record_result(d, now, s, res);
	send_end(d, now, s, res->end);
	if (j)
		handle_result(d, now, j, task_index, start_id, res);
	schedule_pool(d, now, p);
}

static void send_hedge(struct syc_dispatch *d, int64_t now, struct send *s)
{
	struct job *j = table_get(&d->jobs, s->job_handle);
	struct target *t;
	uint32_t width;

	if (!j || j->tasks[s->task_index].send_ids[1])
		return;
	t = placement_pick(d, s->target->pool, &j->tasks[s->task_index],
			   &width);
	if (!t || t == s->target || !spend_credit(j->flow))
		return;
	send_start(d, now, j, s->task_index, t, width, NULL);
}

void retry_schedule_hedge(struct syc_dispatch *d, struct send *s,
			  const struct job *j)
{
	if (may_repeat(j) && j->kind->conf.hedge_ms)
		heap_set(&d->hedge_timers, &s->hedge_node,
			 s->started_at + j->kind->conf.hedge_ms);
}

void retry_tick(struct syc_dispatch *d, int64_t now)
{
	struct heap_node *n;

	while ((n = heap_top(&d->hedge_timers)) && n->key <= now) {
		heap_remove(&d->hedge_timers, n);
		send_hedge(d, now, HEAP_ITEM(n, struct send, hedge_node));
	}
}
