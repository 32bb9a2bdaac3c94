/* Sends answers to local callers and to peers that forwarded a request. */
#include <stdio.h>
#include <string.h>

#include "core/core_internal.h"
#include "util/alloc.h"

static void answer_peer(struct syc_core *core, const struct waiter *waiter,
			const char *state, const struct syc_answer *answer)
{
	auto_wire_out struct wire_out w;

	job_answer_pack(&w, waiter->tag, waiter->wants_state ? state : "",
			answer);
	/* The peer resends its request when the answer is lost. */
	core->opt.send(core->opt.ctx, waiter->peer, wire_bytes(&w));
}

void core_answer(struct syc_core *core, const struct waiter *waiter,
		 const char *state, const struct syc_answer *answer)
{
	if (waiter->peer)
		answer_peer(core, waiter, state, answer);
	else if (waiter->wants_state)
		core->opt.report_state(core->opt.ctx, waiter->tag, state,
				       answer);
	else
		core->opt.answer(core->opt.ctx, waiter->tag, answer);
}

void core_refuse(struct syc_core *core, const struct waiter *waiter,
		 enum syc_outcome outcome, enum syc_reason reason,
		 uint32_t retry_after_ms)
{
	struct syc_answer answer = {
		.outcome = outcome,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	core_answer(core, waiter, "unknown", &answer);
}

void core_answer_packed(struct syc_core *core, const struct waiter *waiter,
			const char *state, struct syc_bytes packed)
{
	struct wire_in w;
	struct job_answer m;

	if (!job_answer_unpack(&w, packed, &m)) {
		core_refuse(core, waiter, SYC_UNKNOWN, SYC_ANSWER_DROPPED, 0);
		return;
	}
	core_answer(core, waiter, state, &m.answer);
	job_answer_free(&w, &m);
}
