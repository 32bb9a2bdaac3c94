/*
 * What the end of a send means for its task: done, sent again, or the end of
 * the job. A task of a job, or of a kind that is not idempotent, is sent
 * again only on proof that it did not run. Other requests may be sent again
 * or hedged, within a budget that first sends earn.
 */
#include <stdio.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum {
	CREDIT_OF_SEND = 100, /* credit that one more send costs */
	CREDIT_MAX = 1000,
	SERVER_ERROR = 500 /* lowest HTTP status that blames the target */
};

static bool proved_not_run(enum syc_send_end end)
{
	return end == SYC_SEND_REFUSED || end == SYC_SEND_NOT_SENT;
}

static bool blames_target(const struct syc_send_result *res)
{
	if (res->end == SYC_SEND_FAILED)
		return res->status >= SERVER_ERROR;
	return res->end == SYC_SEND_BROKEN || res->end == SYC_SEND_TIMEOUT;
}

static bool may_repeat(const struct job *j)
{
	return j->is_single && !j->kind->conf.non_idempotent;
}

void retry_earn_credit(struct syc_dispatch *d, struct flow *f)
{
	f->retry_credit += d->bundle->retry_percent;
	if (f->retry_credit > CREDIT_MAX)
		f->retry_credit = CREDIT_MAX;
}

static bool spend(struct flow *f)
{
	if (f->retry_credit < CREDIT_OF_SEND)
		return false;
	f->retry_credit -= CREDIT_OF_SEND;
	return true;
}

static void task_done(struct syc_dispatch *d, int64_t now, struct job *j,
		      uint32_t task, const struct syc_send_result *res)
{
	struct task *t = &j->tasks[task];

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

static void task_refused(struct syc_dispatch *d, int64_t now, struct job *j,
			 uint32_t task)
{
	if (j->tasks[task].attempts < TASK_SENDS_MAX) {
		job_requeue_task(d, j, task);
		return;
	}
	job_give_up(d, now, j, SYC_TARGET_REFUSED, QUEUE_FULL_RETRY_MS,
		    "targets refused a task too often");
}

/* Sends the request again when its kind and the budget allow it. */
static bool task_repeated(struct syc_dispatch *d, struct job *j, uint32_t task,
			  const struct syc_send_result *res)
{
	struct task *t = &j->tasks[task];

	if (!may_repeat(j) || !blames_target(res) ||
	    t->retries >= j->kind->conf.retries || !spend(j->flow))
		return false;
	t->retries++;
	job_requeue_task(d, j, task);
	return true;
}

static void task_ended(struct syc_dispatch *d, int64_t now, struct job *j,
		       uint32_t task, const struct syc_send_result *res)
{
	char detail[SYC_DETAIL_MAX];

	j->n_running--;
	if (proved_not_run(res->end)) {
		task_refused(d, now, j, task);
		return;
	}
	if (task_repeated(d, j, task, res))
		return;
	if (res->end == SYC_SEND_FAILED) {
		snprintf(detail, sizeof(detail),
			 "task %u: the target answered %u", task, res->status);
		job_answer(d, now, j, SYC_FAILED, SYC_TASK_FAILED, 0, detail);
	} else if (res->end == SYC_SEND_TIMEOUT) {
		snprintf(detail, sizeof(detail), "task %u: over its time limit",
			 task);
		job_answer(d, now, j, SYC_UNKNOWN, SYC_TIME_LIMIT, 0, detail);
	} else {
		snprintf(detail, sizeof(detail),
			 "task %u: the target broke off", task);
		job_answer(d, now, j, SYC_UNKNOWN, SYC_CONNECTION_LOST, 0,
			   detail);
	}
}

static void learn(struct syc_dispatch *d, int64_t now, const struct send *s,
		  const struct syc_send_result *res)
{
	if (proved_not_run(res->end)) {
		health_record_refusal(d, now, s->target);
	} else if (blames_target(res)) {
		if (!s->is_stopped)
			health_record_failure(d, now, s->target);
	} else {
		health_record_success(d, s->target);
	}
	if (res->end == SYC_SEND_ANSWERED)
		estimate_add_sample(s->kind, now - s->started_at);
}

/* Drops the send from its task; true when another send of it still runs. */
static bool still_running(struct task *t, uint64_t send)
{
	invariant(t->state == TASK_RUNNING);
	invariant(t->send_ids[0] == send || t->send_ids[1] == send);
	if (t->send_ids[0] == send)
		t->send_ids[0] = t->send_ids[1];
	t->send_ids[1] = 0;
	return t->send_ids[0] != 0;
}

static void job_result(struct syc_dispatch *d, int64_t now, struct job *j,
		       uint32_t task, uint64_t send,
		       const struct syc_send_result *res)
{
	struct task *t = &j->tasks[task];
	bool other = still_running(t, send);

	j->may_have_run = j->may_have_run || !proved_not_run(res->end);
	if (res->end == SYC_SEND_ANSWERED)
		task_done(d, now, j, task, res);
	else if (!other)
		task_ended(d, now, j, task, res);
}

void syc_dispatch_result(struct syc_dispatch *d, int64_t now, uint64_t start_id,
			 const struct syc_send_result *res)
{
	struct send *s = table_get(&d->sends, start_id);
	struct pool *p;
	struct job *j;
	uint32_t task;

	if (!s || s->is_lingering)
		return;
	p = s->target->pool;
	task = s->task_index;
	j = table_get(&d->jobs, s->job_handle);
	learn(d, now, s, res);
	send_end(d, now, s, res->end);
	if (j)
		job_result(d, now, j, task, start_id, res);
	schedule_pool(d, now, p);
}

static void hedge(struct syc_dispatch *d, int64_t now, struct send *s)
{
	struct job *j = table_get(&d->jobs, s->job_handle);
	struct target *t;
	uint32_t width;

	if (!j || j->tasks[s->task_index].send_ids[1])
		return;
	t = placement_pick(d, s->target->pool, &j->tasks[s->task_index],
			   &width);
	if (!t || t == s->target || !spend(j->flow))
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
		hedge(d, now, HEAP_ITEM(n, struct send, hedge_node));
	}
}
