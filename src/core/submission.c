/*
 * Submissions that this instance has claimed or waits to claim, with the
 * waiters for their answers.
 */
#include <stdlib.h>

#include "core/core_internal.h"
#include "util/alloc.h"
#include "util/invariant.h"

bool core_submission_join(struct submission *s, const struct waiter *waiter)
{
	size_t i;

	for (i = 0; i < s->n_waiters; i++)
		if (s->waiters[i].peer == waiter->peer &&
		    s->waiters[i].tag == waiter->tag)
			return false;
	s->waiters = xrealloc(s->waiters,
			      (s->n_waiters + 1) * sizeof(*s->waiters));
	s->waiters[s->n_waiters++] = *waiter;
	return true;
}

void core_submission_free(struct syc_core *core, uint64_t handle)
{
	struct submission *s = table_get(&core->submissions, handle);

	if (s->has_key)
		index_del(&core->submission_by_key, core_index_key(&s->key));
	free(s->packed);
	free(s->waiters);
	table_del(&core->submissions, handle);
}

void core_submission_done(struct syc_core *core, uint64_t handle,
			  const struct syc_answer *answer)
{
	struct submission *s = table_get(&core->submissions, handle);
	size_t i;

	invariant(s && s->is_started);
	if (s->has_key) {
		auto_wire_out struct wire_out w;

		job_answer_pack(&w, 0, "", answer);
		if (answer->outcome != SYC_NOT_RUN)
			answer_cache_put(&core->answer_cache, &s->key,
					 wire_bytes(&w));
		syc_coord_end_claim(core->coord, core->now, &s->key,
				    answer->outcome);
	}
	for (i = 0; i < s->n_waiters; i++)
		core_answer(core, &s->waiters[i], "ended", answer);
	core_submission_free(core, handle);
}

uint64_t core_submission_new(struct syc_core *core, const struct waiter *waiter,
			     const struct syc_claim_key *key)
{
	struct submission *s;
	void *item;
	uint64_t handle = table_add(&core->submissions, &item);

	s = item;
	if (key) {
		s->has_key = true;
		s->key = *key;
		index_put(&core->submission_by_key, core_index_key(key),
			  handle);
	}
	core_submission_join(s, waiter);
	return handle;
}

void core_submission_start(struct syc_core *core, uint64_t handle,
			   const struct syc_job_spec *spec)
{
	struct submission *s = table_get(&core->submissions, handle);

	invariant(!s->is_started);
	s->is_started = true;
	syc_dispatch_submit(core->dispatch, core->now, handle, spec);
}

void core_submission_store(struct syc_core *core, uint64_t handle,
			   const struct job_request *m)
{
	struct submission *s = table_get(&core->submissions, handle);
	auto_wire_out struct wire_out w;

	job_request_pack(&w, m);
	s->packed_len = wire_bytes(&w).n;
	s->packed = xmemdup(wire_bytes(&w).p, s->packed_len);
}

struct submission *core_submission_find(const struct syc_core *core,
					const struct syc_claim_key *key,
					uint64_t *handle)
{
	if (!index_get(&core->submission_by_key, core_index_key(key), handle))
		return NULL;
	return table_get(&core->submissions, *handle);
}

static void refuse_submission(struct syc_core *core, uint64_t handle,
			      const struct syc_claim_result *res)
{
	struct submission *s = table_get(&core->submissions, handle);
	size_t i;

	for (i = 0; i < s->n_waiters; i++)
		core_refuse(core, &s->waiters[i], res->outcome, res->reason,
			    res->retry_after_ms);
	core_submission_free(core, handle);
}

void core_submission_claimed(struct syc_core *core,
			     const struct syc_claim_key *key,
			     const struct syc_claim_result *res)
{
	struct wire_in w;
	struct job_request m;
	struct syc_bytes packed;
	uint64_t handle;
	struct submission *s = core_submission_find(core, key, &handle);

	if (!s || s->is_started)
		return;
	if (res->decision != SYC_DECISION_RUN) {
		/*
		 * Another instance may be primary now. The next tick handles
		 * the request again, since this is a callback of the
		 * coordination.
		 */
		if (res->reason == SYC_CLAIM_PENDING &&
		    !s->needs_reprocessing) {
			s->needs_reprocessing = true;
			core->n_to_reprocess++;
			return;
		}
		refuse_submission(core, handle, res);
		return;
	}
	packed.p = s->packed;
	packed.n = s->packed_len;
	invariant(job_request_unpack(&w, packed, &m));
	core_submission_start(core, handle, &m.spec);
	job_request_free(&w, &m);
}

/* Handles the request of each waiter as if it had just arrived. */
static void reprocess(struct syc_core *core, uint64_t handle)
{
	struct submission s = *(struct submission *)table_get(
		&core->submissions, handle);
	struct syc_bytes packed = {s.packed, s.packed_len};
	struct job_request m;
	struct wire_in w;
	size_t i;

	index_del(&core->submission_by_key, core_index_key(&s.key));
	table_del(&core->submissions, handle);
	invariant(job_request_unpack(&w, packed, &m));
	for (i = 0; i < s.n_waiters; i++)
		core_handle_request(core, &s.waiters[i], &m);
	job_request_free(&w, &m);
	free(s.packed);
	free(s.waiters);
}

void core_submission_tick(struct syc_core *core)
{
	struct submission *s;
	uint64_t handle;
	uint32_t pos = 0;

	if (!core->n_to_reprocess)
		return;
	core->n_to_reprocess = 0;
	while ((s = table_next(&core->submissions, &pos, &handle)))
		if (s->needs_reprocessing)
			reprocess(core, handle);
}
