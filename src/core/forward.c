/*
 * Requests that another instance has to decide. The request is kept until
 * its answer comes and sent again now and then: under its key the receiver
 * joins what runs, replays what ended, and never starts it a second time.
 */
#include <stdlib.h>
#include <string.h>

#include "core/core_internal.h"
#include "util/alloc.h"

enum {
	ASK_AGAIN_MS = 3000,
	UNHEARD_MAX = 2, /* asks without a word, then it is given up */
	RETRY_SOON_MS = 1000
};

static struct index_key from_key(const struct waiter *from)
{
	uint64_t pair[2] = {from->peer, from->tag};

	return index_hash_bytes(pair, sizeof(pair));
}

void core_forward_free(struct syc_core *core, uint64_t handle)
{
	struct forward *f = table_get(&core->forwards, handle);

	if (f->from.peer)
		index_del(&core->forward_by_from, from_key(&f->from));
	free(f->packed);
	table_del(&core->forwards, handle);
}

/* Who asked gets how it ended, when at least that is known. */
static void answer_without(struct syc_core *core, uint64_t handle,
			   enum syc_reason reason, uint32_t retry_after_ms)
{
	struct forward *f = table_get(&core->forwards, handle);
	struct waiter from = f->from;
	enum syc_outcome ended = f->ended;

	core_forward_free(core, handle);
	if (ended)
		core_refuse(core, &from, ended, SYC_ANSWER_DROPPED, 0);
	else
		core_refuse(core, &from, SYC_UNKNOWN, reason, retry_after_ms);
}

static void unreachable(struct syc_core *core, uint64_t handle)
{
	answer_without(core, handle, SYC_HOME_UNREACHABLE, RETRY_SOON_MS);
}

static bool send_packed(struct syc_core *core, const struct forward *f)
{
	struct syc_bytes msg = {f->packed, f->packed_len};

	return core->opt.send(core->opt.ctx, f->peer, msg);
}

void core_forward_ack(struct syc_core *core, const struct waiter *to)
{
	auto_wire_out struct wire_out w;

	wire_begin(&w, SYC_PEER_IN_HAND, 1);
	wire_put_u64(&w, to->tag);
	core->opt.send(core->opt.ctx, to->peer, wire_bytes(&w));
}

void core_forward_acked(struct syc_core *core, uint64_t peer,
			struct syc_bytes msg)
{
	struct forward *f;
	struct wire_in w;
	uint64_t request;

	wire_open(&w, msg);
	request = wire_u64(&w);
	if (!wire_close(&w))
		return;
	f = table_get(&core->forwards, request);
	if (f && f->peer == peer)
		f->unheard = 0;
}

/* Whether a peer's request that came again is on its way already. */
static bool in_hand(struct syc_core *core, const struct waiter *from)
{
	uint64_t handle;

	if (!from->peer ||
	    !index_get(&core->forward_by_from, from_key(from), &handle))
		return false;
	core_forward_ack(core, from);
	return true;
}

static void forward_new(struct syc_core *core, const struct waiter *from,
			uint64_t peer, const struct job_submit *m,
			enum syc_outcome ended)
{
	auto_wire_out struct wire_out w;
	struct job_submit copy = *m;
	struct forward *f;
	void *item;
	uint64_t handle = table_add(&core->forwards, &item);

	f = item;
	if (from->peer)
		index_put(&core->forward_by_from, from_key(from), handle);
	copy.request = handle;
	copy.spec.caller = copy.caller;
	copy.spec.kind = copy.kind;
	job_submit_pack(&w, &copy);
	f->from = *from;
	f->peer = peer;
	f->ended = ended;
	f->ask_at = core->now + ASK_AGAIN_MS;
	f->packed_len = wire_bytes(&w).n;
	f->packed = xmemdup(wire_bytes(&w).p, f->packed_len);
	if (!send_packed(core, f))
		unreachable(core, handle);
}

void core_forward(struct syc_core *core, const struct waiter *from,
		  uint64_t peer, const struct job_submit *m)
{
	if (!in_hand(core, from))
		forward_new(core, from, peer, m, 0);
}

void core_fetch(struct syc_core *core, const struct waiter *from,
		const struct job_submit *m, const struct syc_claim_result *res)
{
	struct job_submit copy = *m;

	if (copy.ask == JOB_SUBMIT) {
		copy.ask = JOB_LOOKUP;
		copy.spec.n_tasks = 0;
	}
	if (!in_hand(core, from))
		forward_new(core, from, res->runner, &copy,
			    res->verdict == SYC_ENDED ? res->outcome : 0);
}

void core_forward_answer(struct syc_core *core, uint64_t peer,
			 struct syc_bytes msg)
{
	struct wire_in w;
	struct job_answer m;
	struct forward *f;

	if (!job_answer_unpack(&w, msg, &m))
		return;
	f = table_get(&core->forwards, m.request);
	if (f && f->peer == peer) {
		struct waiter from = f->from;

		if (f->ended && m.answer.outcome == SYC_UNKNOWN) {
			answer_without(core, m.request, SYC_ANSWER_DROPPED, 0);
		} else {
			core_forward_free(core, m.request);
			core_answer(core, &from, m.state, &m.answer);
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
			unreachable(core, handle);
}

void core_forward_tick(struct syc_core *core)
{
	struct forward *f;
	uint64_t handle;
	uint32_t pos = 0;

	while ((f = table_next(&core->forwards, &pos, &handle))) {
		if (f->ask_at > core->now)
			continue;
		f->ask_at = core->now + ASK_AGAIN_MS;
		if (f->unheard++ >= UNHEARD_MAX || !send_packed(core, f))
			unreachable(core, handle);
	}
}
