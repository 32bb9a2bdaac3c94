/*
 * Sends: one try of one task on one target. Every start passes through
 * send_start and is counted there, once.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

static void tell_start(struct syc_dispatch *d, const struct send *s,
		       const struct job *j)
{
	const struct task *t = &j->tasks[s->task_index];
	struct syc_start start = {0};

	start.id = s->id;
	start.target = &s->target->conf;
	start.service = &s->target->pool->conf;
	start.kind = j->kind->conf.name;
	start.caller = j->flow->caller->conf.name;
	start.task = j->first_task_id + s->task_index;
	start.attempt = t->attempts;
	start.time_limit_ms = j->kind->conf.time_limit_ms;
	start.body = t->body;
	d->opt.start(d->opt.ctx, &start);
}

static void count_running(struct send *s, int32_t n)
{
	s->flow->running_slots += (uint32_t)n;
	s->flow->caller->running_slots += (uint32_t)n;
	if (!s->grant)
		s->flow->running_owned_slots += (uint32_t)n;
}

void send_start(struct syc_dispatch *d, int64_t now, struct job *j,
		uint32_t task, struct target *t, uint32_t width,
		struct held_grant *held)
{
	struct task *k = &j->tasks[task];
	void *item;
	uint64_t id = table_add(&d->sends, &item);
	struct send *s = item;
	bool hedge = k->state == TASK_RUNNING;

	invariant(!k->send_ids[hedge] && k->state != TASK_DONE);
	invariant(!hedge || (j->is_single && !j->kind->conf.non_idempotent));
	s->id = id;
	s->job_handle = j->handle;
	s->task_index = task;
	s->flow = j->flow;
	s->kind = j->kind;
	s->target = t;
	s->width = width;
	s->estimated_ms = k->estimated_ms;
	s->bundle_version = d->bundle->version;
	s->started_at = now;
	s->time_limit_at = now + j->kind->conf.time_limit_ms;
	s->kind->n_users++;
	k->send_ids[hedge] = id;
	k->state = TASK_RUNNING;
	k->attempts++;
	j->n_running += !hedge;
	s->grant = held;
	if (held)
		holder_use_grant(d, held, s->flow, id);
	slots_occupy(d, s);
	count_running(s, (int32_t)width);
	if (!held)
		flow_charge(s->flow, (int64_t)s->estimated_ms * width);
	ledger_count_start(&s->flow->ledger, s->bundle_version,
			   k->attempts == 1, hedge);
	if (k->attempts == 1)
		retry_earn_credit(d, s->flow);
	if (!hedge)
		retry_schedule_hedge(d, s, j);
	k->last_target = t;
	tell_start(d, s, j);
}

void send_stop(struct syc_dispatch *d, uint64_t id)
{
	struct send *s = table_get(&d->sends, id);

	if (!s || s->is_stopped)
		return;
	s->is_stopped = true;
	s->job_handle = 0;
	d->opt.stop(d->opt.ctx, id);
}

void send_release(struct syc_dispatch *d, int64_t now, struct send *s)
{
	int64_t took = (now - s->started_at) * s->width;

	ledger_entry(&s->flow->ledger, s->bundle_version)->got_slot_ms += took;
	heap_remove(&d->lingering_sends, &s->linger_node);
	heap_remove(&d->hedge_timers, &s->hedge_node);
	if (!s->grant)
		flow_charge(s->flow,
			    took - (int64_t)s->estimated_ms * s->width);
	count_running(s, -(int32_t)s->width);
	slots_release(d, now, s);
	if (s->flow->caller->conf.slots)
		flow_resume(s->flow);
	s->kind->n_users--;
	table_del(&d->sends, s->id);
}

/* The task may still run on the target: its slot stays busy for a time. */
static void linger(struct syc_dispatch *d, struct send *s, int64_t until)
{
	s->is_lingering = true;
	s->job_handle = 0;
	heap_set(&d->lingering_sends, &s->linger_node, until);
}

void send_end(struct syc_dispatch *d, int64_t now, struct send *s,
	      enum syc_send_end end)
{
	int64_t until = s->time_limit_at + TIME_LIMIT_SLACK_MS;

	ledger_count_end(&s->flow->ledger, s->bundle_version, end);
	if (s->is_stopped && until > now + STOP_GRACE_MS)
		until = now + STOP_GRACE_MS;
	if (end == SYC_SEND_BROKEN && now < until)
		linger(d, s, until);
	else
		send_release(d, now, s);
}

void send_tick(struct syc_dispatch *d, int64_t now)
{
	struct heap_node *n;

	while ((n = heap_top(&d->lingering_sends)) && n->key <= now)
		send_release(d, now, HEAP_ITEM(n, struct send, linger_node));
}
