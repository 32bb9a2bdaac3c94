/*
 * Sends: one attempt to run one task on one target. Every start passes
 * through send_start and is counted there once.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

static void start_on_target(struct syc_dispatch *d, const struct send *s,
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

static void add_running_slots(struct send *s, int32_t n)
{
	s->flow->running_slots += (uint32_t)n;
	s->flow->caller->running_slots += (uint32_t)n;
	if (!s->grant)
		s->flow->running_owned_slots += (uint32_t)n;
}

void send_start(struct syc_dispatch *d, int64_t now, struct job *j,
		uint32_t task_index, struct target *target, uint32_t width,
		struct held_grant *grant)
{
	struct task *task = &j->tasks[task_index];
	void *item;
	uint64_t id = table_add(&d->sends, &item);
	struct send *s = item;
	bool is_hedge = task->state == TASK_RUNNING;

	invariant(!task->send_ids[is_hedge] && task->state != TASK_DONE);
	invariant(!is_hedge || (j->is_single && !j->kind->conf.non_idempotent));
	s->id = id;
	s->job_handle = j->handle;
	s->task_index = task_index;
	s->flow = j->flow;
	s->kind = j->kind;
	s->target = target;
	s->width = width;
	s->estimated_ms = task->estimated_ms;
	s->bundle_version = d->bundle->version;
	s->started_at = now;
	s->time_limit_at = now + j->kind->conf.time_limit_ms;
	s->kind->n_users++;
	task->send_ids[is_hedge] = id;
	task->state = TASK_RUNNING;
	task->attempts++;
	j->n_running += !is_hedge;
	s->grant = grant;
	if (grant)
		holder_use_grant(d, grant, s->flow, id);
	slots_occupy(d, s);
	add_running_slots(s, (int32_t)width);
	if (!grant)
		flow_charge(s->flow, (int64_t)s->estimated_ms * width);
	ledger_count_start(&s->flow->ledger, s->bundle_version,
			   task->attempts == 1, is_hedge);
	if (task->attempts == 1)
		retry_earn_credit(d, s->flow);
	if (!is_hedge)
		retry_schedule_hedge(d, s, j);
	task->last_target = target;
	start_on_target(d, s, j);
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
	int64_t took_slot_ms = (now - s->started_at) * s->width;

	ledger_get_entry(&s->flow->ledger, s->bundle_version)->got_slot_ms +=
		took_slot_ms;
	heap_remove(&d->lingering_sends, &s->linger_node);
	heap_remove(&d->hedge_timers, &s->hedge_node);
	if (!s->grant)
		flow_charge(s->flow,
			    took_slot_ms - (int64_t)s->estimated_ms * s->width);
	add_running_slots(s, -(int32_t)s->width);
	slots_release(d, now, s);
	if (s->flow->caller->conf.slots)
		flow_resume(s->flow);
	s->kind->n_users--;
	table_del(&d->sends, s->id);
}

/* Keeps the slots in use for a time, as the task may still run there. */
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
