/* The dispatcher's entry points for submissions, messages and ticks. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

struct syc_dispatch *syc_dispatch_new(const struct syc_dispatch_options *opt,
				      int64_t now)
{
	struct syc_dispatch *d = xcalloc(1, sizeof(*d));

	d->opt = *opt;
	d->rng.state = opt->seed ^ opt->self;
	table_init(&d->caller_table, sizeof(struct caller));
	table_init(&d->kind_table, sizeof(struct kind));
	table_init(&d->pool_table, sizeof(struct pool));
	table_init(&d->jobs, sizeof(struct job));
	table_init(&d->sends, sizeof(struct send));
	table_init(&d->slot_peers, sizeof(struct slot_peer));
	d->owners_changed_at = now;
	d->slot_peers_swept_at = now;
	d->handover_nonce = rng_next(&d->rng);
	return d;
}

void syc_dispatch_free(struct syc_dispatch *d)
{
	struct job *j;
	uint32_t pos = 0;
	uint64_t h;

	if (!d)
		return;
	while ((j = table_next(&d->jobs, &pos, &h)))
		job_free(d, j);
	slot_peers_free(d);
	owner_free(d);
	dispatch_free_names(d);
	heap_free(&d->job_deadlines);
	heap_free(&d->lingering_sends);
	heap_free(&d->hedge_timers);
	heap_free(&d->target_timers);
	table_free(&d->jobs);
	table_free(&d->sends);
	index_free(&d->job_by_tag);
	syc_bundle_unref(d->bundle);
	free(d);
}

void dispatch_send_message(struct syc_dispatch *d, uint64_t to,
			   struct syc_bytes msg)
{
	d->messages_sent++;
	d->message_bytes_sent += msg.n;
	d->opt.send(d->opt.ctx, to, msg);
}

void syc_dispatch_set_first_map(struct syc_dispatch *d)
{
	d->is_first_map = true;
}

void syc_dispatch_set_bundle(struct syc_dispatch *d, int64_t now,
			     struct syc_bundle *b)
{
	struct syc_bundle *old = d->bundle;

	if (old && b->version < old->version)
		return;
	d->bundle = syc_bundle_ref(b);
	syc_bundle_unref(old);
	dispatch_apply_bundle(d, now);
	schedule_all_pools(d, now);
}

void syc_dispatch_set_targets(struct syc_dispatch *d, int64_t now,
			      const char *service,
			      const struct syc_target *targets, size_t n)
{
	struct pool *p = dispatch_find_pool(d, service);

	if (!p)
		p = dispatch_add_pool(d, service);
	slots_set_targets(d, now, p, targets, n);
	schedule_pool(d, now, p);
}

void syc_dispatch_owners_changed(struct syc_dispatch *d, int64_t now)
{
	struct pool *p;
	uint32_t pos = 0;
	uint64_t h;

	d->handover_nonce = rng_next(&d->rng);
	d->handover_requested_at = now - HANDOVER_RETRY_MS;
	while ((p = table_next(&d->pool_table, &pos, &h)))
		slots_update_owners(d, now, p);
	handover_tick(d, now);
	schedule_all_pools(d, now);
}

void syc_dispatch_drop_peer(struct syc_dispatch *d, int64_t now, uint64_t peer)
{
	struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	while ((sp = table_next(&d->slot_peers, &pos, &h)))
		if (sp->peer == peer)
			owner_clear_demands(d, sp);
}

static bool receive_message(struct syc_dispatch *d, int64_t now, uint64_t from,
			    struct syc_bytes msg)
{
	bool handover = slot_message_op(msg) == SLOT_OP_HANDOVER;

	switch (wire_type(msg)) {
	case SYC_PEER_SLOT_REQUEST:
		return handover ? handover_receive_request(d, now, from, msg)
				: owner_receive_request(d, now, from, msg);
	case SYC_PEER_SLOT_GRANT:
		return handover ? handover_receive_reply(d, now, from, msg)
				: holder_receive_grants(d, now, from, msg);
	case SYC_PEER_SLOT_RETURN:
		return owner_receive_return(d, now, from, msg);
	case SYC_PEER_ALLOTMENT:
		return allotment_receive(d, now, from, msg);
	default:
		return false;
	}
}

bool syc_dispatch_receive(struct syc_dispatch *d, int64_t now, uint64_t from,
			  struct syc_bytes msg)
{
	return receive_message(d, now, from, msg);
}

void syc_dispatch_submit(struct syc_dispatch *d, int64_t now, uint64_t tag,
			 const struct syc_job_spec *spec)
{
	struct caller *c;
	struct kind *k;
	struct flow *f;

	if (d->is_draining) {
		admission_refuse(d, tag, NULL, SYC_STOPPING, STOPPING_RETRY_MS,
				 "this instance is stopping");
		return;
	}
	if (!d->bundle) {
		admission_refuse(d, tag, NULL, SYC_NOT_READY,
				 NO_TARGET_RETRY_MS, "no bundle yet");
		return;
	}
	c = dispatch_find_caller(d, spec->caller);
	k = dispatch_find_kind(d, spec->kind);
	if (!c || !k || !k->pool || !k->pool->is_listed) {
		admission_refuse(d, tag, NULL, SYC_BAD_REQUEST, 0,
				 c ? "no such kind" : "no such caller");
		return;
	}
	if (!spec->n_tasks || spec->n_tasks > SYC_TASKS_MAX ||
	    (spec->single && spec->n_tasks != 1)) {
		admission_refuse(d, tag, NULL, SYC_TOO_LARGE, 0,
				 "a job has 1 to 1600 tasks, a request one");
		return;
	}
	f = flow_get(k->pool, c);
	if (!admission_check(d, now, tag, spec, f, k))
		return;
	job_new(d, now, tag, spec, f, k);
	schedule_pool(d, now, k->pool);
}

void syc_dispatch_cancel(struct syc_dispatch *d, int64_t now, uint64_t tag)
{
	struct job *j;
	struct pool *p;
	uint64_t handle;

	if (!index_get(&d->job_by_tag, index_hash_number(tag), &handle))
		return;
	j = table_get(&d->jobs, handle);
	p = j->flow->pool;
	job_give_up(d, now, j, SYC_CANCELLED, 0, "cancelled by the caller");
	schedule_pool(d, now, p);
}

static void expire_jobs(struct syc_dispatch *d, int64_t now)
{
	struct heap_node *n;

	while ((n = heap_top(&d->job_deadlines)) && n->key <= now)
		job_give_up(d, now, HEAP_ITEM(n, struct job, deadline_node),
			    SYC_DEADLINE, 0, "not done by its deadline");
}

/* Whether no listed target can run the next waiting task of the job. */
static bool is_stranded(const struct job *j)
{
	const struct task *task;
	struct syc_task_spec need = {0};

	if (!j->n_waiting)
		return false;
	task = &j->tasks[j->first_waiting - 1];
	need.cpus = task->cpus;
	need.memory_mb = task->memory_mb;
	need.accelerators = task->accelerators;
	return !placement_fits_any(j->flow->pool, &need);
}

/* Gives up on jobs whose next task has fitted no listed target for too long. */
static void answer_stranded(struct syc_dispatch *d, int64_t now)
{
	struct job *j;
	uint32_t pos = 0;
	uint64_t h;

	if (now - d->stranded_checked_at < STRANDED_CHECK_MS)
		return;
	d->stranded_checked_at = now;
	while ((j = table_next(&d->jobs, &pos, &h))) {
		if (!is_stranded(j))
			j->stranded_since = 0;
		else if (!j->stranded_since)
			j->stranded_since = now;
		else if (now - j->stranded_since >= NO_TARGET_WAIT_MS)
			job_give_up(d, now, j, SYC_NO_TARGET,
				    NO_TARGET_RETRY_MS,
				    "no listed target can run it");
	}
}

void syc_dispatch_tick(struct syc_dispatch *d, int64_t now)
{
	struct pool *p;
	uint32_t pos;
	uint64_t h;

	expire_jobs(d, now);
	send_tick(d, now);
	health_tick(d, now);
	retry_tick(d, now);
	allotment_tick(d, now);
	owner_tick(d, now);
	handover_tick(d, now);
	answer_stranded(d, now);
	for (pos = 0; (p = table_next(&d->pool_table, &pos, &h));)
		share_tick(d, now, p);
	schedule_all_pools(d, now);
	holder_tick(d, now);
	owner_send_due_grants(d, now);
	if (now - d->slot_peers_swept_at > SLOT_PEER_IDLE_MS) {
		d->slot_peers_swept_at = now;
		slot_peers_drop_idle(d, now);
	}
}

void syc_dispatch_drain(struct syc_dispatch *d, int64_t now)
{
	d->is_draining = true;
}

size_t syc_dispatch_in_flight(const struct syc_dispatch *d)
{
	return d->jobs.used;
}
