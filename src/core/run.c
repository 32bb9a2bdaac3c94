/*
 * Runs: the submissions that this instance has claimed, or waits to claim,
 * with all who wait for their answer.
 */
#include <stdlib.h>

#include "core/core_internal.h"
#include "util/alloc.h"
#include "util/invariant.h"

bool core_run_join(struct run *r, const struct waiter *from)
{
	size_t i;

	for (i = 0; i < r->n_waiters; i++)
		if (r->waiters[i].peer == from->peer &&
		    r->waiters[i].tag == from->tag)
			return false;
	r->waiters = xrealloc(r->waiters,
			      (r->n_waiters + 1) * sizeof(*r->waiters));
	r->waiters[r->n_waiters++] = *from;
	return true;
}

void core_run_free(struct syc_core *core, uint64_t handle)
{
	struct run *r = table_get(&core->runs, handle);

	if (r->keyed)
		index_del(&core->run_by_key, core_index_key(&r->key));
	free(r->packed);
	free(r->waiters);
	table_del(&core->runs, handle);
}

void core_run_done(struct syc_core *core, uint64_t handle,
		   const struct syc_answer *answer)
{
	struct run *r = table_get(&core->runs, handle);
	size_t i;

	invariant(r && r->started);
	if (r->keyed) {
		auto_wire_out struct wire_out w;

		job_answer_pack(&w, 0, "", answer);
		if (answer->outcome != SYC_NOT_RUN)
			replay_put(&core->replay, &r->key, wire_bytes(&w));
		syc_coord_end_claim(core->coord, core->now, &r->key,
				    answer->outcome);
	}
	for (i = 0; i < r->n_waiters; i++)
		core_answer(core, &r->waiters[i], "ended", answer);
	core_run_free(core, handle);
}

uint64_t core_run_new(struct syc_core *core, const struct waiter *from,
		      const struct syc_claim_key *key)
{
	struct run *r;
	void *item;
	uint64_t handle = table_add(&core->runs, &item);

	r = item;
	if (key) {
		r->keyed = true;
		r->key = *key;
		index_put(&core->run_by_key, core_index_key(key), handle);
	}
	core_run_join(r, from);
	return handle;
}

void core_run_start(struct syc_core *core, uint64_t handle,
		    const struct syc_job_spec *spec)
{
	struct run *r = table_get(&core->runs, handle);

	invariant(!r->started);
	r->started = true;
	syc_dispatch_submit(core->dispatch, core->now, handle, spec);
}

void core_run_keep(struct syc_core *core, uint64_t handle,
		   const struct job_request *m)
{
	struct run *r = table_get(&core->runs, handle);
	auto_wire_out struct wire_out w;

	job_request_pack(&w, m);
	r->packed_len = wire_bytes(&w).n;
	r->packed = xmemdup(wire_bytes(&w).p, r->packed_len);
}

struct run *core_run_find(const struct syc_core *core,
			  const struct syc_claim_key *key, uint64_t *handle)
{
	if (!index_get(&core->run_by_key, core_index_key(key), handle))
		return NULL;
	return table_get(&core->runs, *handle);
}

static void refuse_run(struct syc_core *core, uint64_t handle,
		       const struct syc_claim_result *res)
{
	struct run *r = table_get(&core->runs, handle);
	size_t i;

	for (i = 0; i < r->n_waiters; i++)
		core_refuse(core, &r->waiters[i], res->outcome, res->reason,
			    res->retry_after_ms);
	core_run_free(core, handle);
}

void core_claimed(struct syc_core *core, const struct syc_claim_key *key,
		  const struct syc_claim_result *res)
{
	struct wire_in w;
	struct job_request m;
	struct syc_bytes packed;
	uint64_t handle;
	struct run *r = core_run_find(core, key, &handle);

	if (!r || r->started)
		return;
	if (res->decision != SYC_DECISION_RUN) {
		/* Another may be primary now; ask it, but not from in here. */
		if (res->reason == SYC_CLAIM_PENDING && !r->again) {
			r->again = true;
			core->n_again++;
			return;
		}
		refuse_run(core, handle, res);
		return;
	}
	packed.p = r->packed;
	packed.n = r->packed_len;
	invariant(job_request_unpack(&w, packed, &m));
	core_run_start(core, handle, &m.spec);
	job_request_free(&w, &m);
}

/* Each who waits is answered as if it had come just now. */
static void handle_again(struct syc_core *core, uint64_t handle)
{
	struct run r = *(struct run *)table_get(&core->runs, handle);
	struct syc_bytes packed = {r.packed, r.packed_len};
	struct job_request m;
	struct wire_in w;
	size_t i;

	index_del(&core->run_by_key, core_index_key(&r.key));
	table_del(&core->runs, handle);
	invariant(job_request_unpack(&w, packed, &m));
	for (i = 0; i < r.n_waiters; i++)
		core_handle(core, &r.waiters[i], &m);
	job_request_free(&w, &m);
	free(r.packed);
	free(r.waiters);
}

void core_run_tick(struct syc_core *core)
{
	struct run *r;
	uint64_t handle;
	uint32_t pos = 0;

	if (!core->n_again)
		return;
	core->n_again = 0;
	while ((r = table_next(&core->runs, &pos, &handle)))
		if (r->again)
			handle_again(core, handle);
}
