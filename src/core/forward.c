/*
 * Requests that are forwarded to another instance. A request is kept until
 * its answer arrives and is resent at intervals. The receiver of a resent
 * request finds the submission by the request's key. It joins the submission
 * or replays the answer, and never starts the submission a second time.
 */
#include <stdlib.h>
#include <string.h>

#include "core/core_internal.h"
#include "util/alloc.h"

enum {
	RESEND_MS = 3000,
	UNANSWERED_MAX = 2, /* resends until the peer counts as unreachable */
	RETRY_AFTER_MS = 1000
};

static struct index_key waiter_key(const struct waiter *waiter)
{
	uint64_t pair[2] = {waiter->peer, waiter->tag};

	return index_hash_bytes(pair, sizeof(pair));
}

void core_forward_free(struct syc_core *core, uint64_t handle)
{
	struct forward *f = table_get(&core->forwards, handle);

	if (f->waiter.peer)
		index_del(&core->forward_by_waiter, waiter_key(&f->waiter));
	free(f->packed);
	table_del(&core->forwards, handle);
}

/* Answers without results: with the known outcome or with `reason`. */
static void answer_failed(struct syc_core *core, uint64_t handle,
			  enum syc_reason reason, uint32_t retry_after_ms)
{
	struct forward *f = table_get(&core->forwards, handle);
	struct waiter waiter = f->waiter;
	enum syc_outcome known_outcome = f->known_outcome;

	core_forward_free(core, handle);
	if (known_outcome)
		core_refuse(core, &waiter, known_outcome, SYC_ANSWER_DROPPED,
			    0);
	else
		core_refuse(core, &waiter, SYC_UNKNOWN, reason, retry_after_ms);
}

static void answer_unreachable(struct syc_core *core, uint64_t handle)
{
	answer_failed(core, handle, SYC_HOME_UNREACHABLE, RETRY_AFTER_MS);
}

static bool send_packed(struct syc_core *core, const struct forward *f)
{
	struct syc_bytes msg = {f->packed, f->packed_len};

	return core->opt.send(core->opt.ctx, f->peer, msg);
}

void core_acknowledge_forward(struct syc_core *core,
			      const struct waiter *waiter)
{
	auto_wire_out struct wire_out w;

	wire_begin(&w, SYC_PEER_IN_FLIGHT, 1);
	wire_put_u64(&w, waiter->tag);
	core->opt.send(core->opt.ctx, waiter->peer, wire_bytes(&w));
}

void core_forward_receive_ack(struct syc_core *core, uint64_t peer,
			      struct syc_bytes msg)
{
	struct forward *f;
	struct wire_in w;
	uint64_t request_id;

	wire_open(&w, msg);
	request_id = wire_u64(&w);
	if (!wire_close(&w))
		return;
	f = table_get(&core->forwards, request_id);
	if (f && f->peer == peer)
		f->unanswered = 0;
}

/*
 * Acknowledges a peer's request that was forwarded before and has no answer
 * yet. Returns false for any other request.
 */
static bool acknowledge_if_forwarded(struct syc_core *core,
				     const struct waiter *waiter)
{
	uint64_t handle;

	if (!waiter->peer ||
	    !index_get(&core->forward_by_waiter, waiter_key(waiter), &handle))
		return false;
	core_acknowledge_forward(core, waiter);
	return true;
}

static void create_forward(struct syc_core *core, const struct waiter *waiter,
			   uint64_t peer, const struct job_request *m,
			   enum syc_outcome known_outcome)
{
	auto_wire_out struct wire_out w;
	struct job_request copy = *m;
	struct forward *f;
	void *item;
	uint64_t handle = table_add(&core->forwards, &item);

	f = item;
	if (waiter->peer)
		index_put(&core->forward_by_waiter, waiter_key(waiter), handle);
	copy.request_id = handle;
	copy.spec.caller = copy.caller;
	copy.spec.kind = copy.kind;
	job_request_pack(&w, &copy);
	f->waiter = *waiter;
	f->peer = peer;
	f->known_outcome = known_outcome;
	f->resend_at = core->now + RESEND_MS;
	f->packed_len = wire_bytes(&w).n;
	f->packed = xmemdup(wire_bytes(&w).p, f->packed_len);
	if (!send_packed(core, f))
		answer_unreachable(core, handle);
}

void core_forward(struct syc_core *core, const struct waiter *waiter,
		  uint64_t peer, const struct job_request *m)
{
	if (!acknowledge_if_forwarded(core, waiter))
		create_forward(core, waiter, peer, m, 0);
}

void core_fetch_answer(struct syc_core *core, const struct waiter *waiter,
		       const struct job_request *m,
		       const struct syc_claim_result *res)
{
	struct job_request copy = *m;

	if (copy.action == JOB_SUBMIT) {
		copy.action = JOB_LOOKUP;
		copy.spec.n_tasks = 0;
	}
	if (!acknowledge_if_forwarded(core, waiter))
		create_forward(
			core, waiter, res->instance, &copy,
			res->decision == SYC_DECISION_ENDED ? res->outcome : 0);
}

void core_forward_receive_answer(struct syc_core *core, uint64_t peer,
				 struct syc_bytes msg)
{
	struct wire_in w;
	struct job_answer m;
	struct forward *f;

	if (!job_answer_unpack(&w, msg, &m))
		return;
	f = table_get(&core->forwards, m.request_id);
	if (f && f->peer == peer) {
		struct waiter waiter = f->waiter;

		if (f->known_outcome && m.answer.outcome == SYC_UNKNOWN) {
			answer_failed(core, m.request_id, SYC_ANSWER_DROPPED,
				      0);
		} else {
			core_forward_free(core, m.request_id);
			core_answer(core, &waiter, m.state, &m.answer);
		}
	}
	job_answer_free(&w, &m);
}

void core_forward_peer_down(struct syc_core *core, uint64_t peer)
{
	struct forward *f;
	uint64_t handle;
	uint32_t pos = 0;

	while ((f = table_next(&core->forwards, &pos, &handle)))
		if (f->peer == peer)
			answer_unreachable(core, handle);
}

void core_forward_tick(struct syc_core *core)
{
	struct forward *f;
	uint64_t handle;
	uint32_t pos = 0;

	while ((f = table_next(&core->forwards, &pos, &handle))) {
		if (f->resend_at > core->now)
			continue;
		f->resend_at = core->now + RESEND_MS;
		if (f->unanswered++ >= UNANSWERED_MAX || !send_packed(core, f))
			answer_unreachable(core, handle);
	}
}
