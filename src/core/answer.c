/* The way back: answers to local callers and to peers that forwarded. */
#include <stdio.h>
#include <string.h>

#include "core/core_internal.h"
#include "util/alloc.h"

static void answer_peer(struct syc_core *core, const struct waiter *to,
			const char *state, const struct syc_answer *answer)
{
	auto_wire_out struct wire_out w;

	job_answer_pack(&w, to->tag, to->shown ? state : "", answer);
	/* A lost answer is asked for again by the forwarder. */
	core->opt.send(core->opt.ctx, to->peer, wire_bytes(&w));
}

void core_answer(struct syc_core *core, const struct waiter *to,
		 const char *state, const struct syc_answer *answer)
{
	if (to->peer)
		answer_peer(core, to, state, answer);
	else if (to->shown)
		core->opt.report_state(core->opt.ctx, to->tag, state, answer);
	else
		core->opt.answer(core->opt.ctx, to->tag, answer);
}

void core_refuse(struct syc_core *core, const struct waiter *to,
		 enum syc_outcome outcome, enum syc_reason reason,
		 uint32_t retry_after_ms)
{
	struct syc_answer answer = {
		.outcome = outcome,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	core_answer(core, to, "unknown", &answer);
}

void core_replay(struct syc_core *core, const struct waiter *to,
		 const char *state, struct syc_bytes packed)
{
	struct wire_in w;
	struct job_answer m;

	if (!job_answer_unpack(&w, packed, &m)) {
		core_refuse(core, to, SYC_UNKNOWN, SYC_ANSWER_DROPPED, 0);
		return;
	}
	core_answer(core, to, state, &m.answer);
	job_answer_free(&w, &m);
}
