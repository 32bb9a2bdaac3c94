/*
 * Handles requests of callers and peers: finds the home of the key, claims
 * the key, and then runs, joins, replays, forwards or refuses the request.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/core_internal.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum {
	RETRY_AFTER_MS = 1000,
	/*
	 * A request passes an instance of the home domain, the primary and
	 * the instance that runs the submission. While instances learn a
	 * new map, it passes more of them.
	 */
	HOPS_MAX = 8,
	WAITERS_MAX = 64 /* for one submission; all of one caller */
};

struct syc_claim_key core_claim_key(const struct syc_core *core,
				    const char *caller, const char *key)
{
	crypto_generichash_state st;
	struct syc_claim_key out;

	crypto_generichash_init(&st, core->opt.cluster_key, SYC_DIGEST_LEN,
				SYC_CLAIM_KEY_LEN);
	/* The terminator separates the caller from the key. */
	crypto_generichash_update(&st, (const uint8_t *)caller,
				  strlen(caller) + 1);
	crypto_generichash_update(&st, (const uint8_t *)key, strlen(key));
	crypto_generichash_final(&st, out.b, SYC_CLAIM_KEY_LEN);
	return out;
}

struct index_key core_index_key(const struct syc_claim_key *key)
{
	struct index_key index_key;

	memcpy(&index_key, key->b, sizeof(index_key));
	return index_key;
}

/* Hashes all that has to be equal in two submissions under one key. */
static void compute_digest(const struct job_request *m, uint8_t digest[])
{
	crypto_generichash_state st;
	uint32_t i;

	crypto_generichash_init(&st, NULL, 0, SYC_DIGEST_LEN);
	crypto_generichash_update(&st, (const uint8_t *)m->kind,
				  strlen(m->kind) + 1);
	crypto_generichash_update(&st, (const uint8_t *)&m->spec.single, 1);
	for (i = 0; i < m->spec.n_tasks; i++) {
		const struct syc_task_spec *t = &m->spec.tasks[i];
		uint64_t len = t->body.n;

		crypto_generichash_update(&st, (const uint8_t *)&len,
					  sizeof(len));
		if (len)
			crypto_generichash_update(&st, t->body.p, len);
	}
	crypto_generichash_final(&st, digest, SYC_DIGEST_LEN);
}

/*
 * Picks the home domain of `key` by rendezvous hashing (Thaler and
 * Ravishankar 1998).
 */
static const char *find_home_domain(const struct syc_bundle *b,
				    const struct syc_claim_key *key)
{
	const char *best = NULL;
	uint64_t best_score = 0;
	size_t i;

	for (i = 0; i < b->n_domains; i++) {
		uint64_t seed = XXH3_64bits(b->domains[i],
					    strlen(b->domains[i]));
		uint64_t score = XXH3_64bits_withSeed(key->b, sizeof(key->b),
						      seed);

		if (best && score <= best_score)
			continue;
		best = b->domains[i];
		best_score = score;
	}
	return best;
}

/*
 * Answers a request whose key belongs to an ended submission: with the cached
 * answer, with the answer of the instance that ran the submission, or with the
 * outcome alone.
 */
static void answer_ended(struct syc_core *core, const struct waiter *waiter,
			 const struct job_request *m,
			 const struct syc_claim_key *key,
			 const struct syc_claim_result *res)
{
	struct syc_bytes packed = answer_cache_get(&core->answer_cache, key);
	struct syc_answer answer = {
		.outcome = res->outcome,
		.reason = SYC_ANSWER_DROPPED,
	};

	if (packed.p)
		core_answer_packed(core, waiter, "ended", packed);
	else if (res->instance != core->opt.self.id &&
		 core_get_linked_peer(core, res->instance))
		core_fetch_answer(core, waiter, m, res);
	else
		core_answer(core, waiter, "ended", &answer);
}

/*
 * Adds a waiter to the submission under `key`, which runs here. A query or
 * cancellation is answered at once.
 */
static void join_submission(struct syc_core *core, const struct waiter *waiter,
			    const struct syc_claim_key *key,
			    const struct job_request *m)
{
	struct syc_answer running = {.outcome = SYC_UNKNOWN};
	uint64_t handle;
	struct submission *s = core_submission_find(core, key, &handle);

	if (!s) {
		core_refuse(core, waiter, SYC_UNKNOWN, SYC_ANSWER_DROPPED, 0);
		return;
	}
	if (m->action == JOB_QUERY || m->action == JOB_CANCEL) {
		core_answer(core, waiter, "running", &running);
		if (m->action == JOB_CANCEL && s->is_started)
			syc_dispatch_cancel(core->dispatch, core->now, handle);
		return;
	}
	if (s->n_waiters >= WAITERS_MAX) {
		core_refuse(core, waiter, SYC_UNKNOWN, SYC_QUEUE_FULL,
			    RETRY_AFTER_MS);
		return;
	}
	if (!core_submission_join(s, waiter) && waiter->peer)
		core_acknowledge_forward(core, waiter);
}

static void apply_decision(struct syc_core *core, const struct waiter *waiter,
			   const struct job_request *m,
			   const struct syc_claim_key *key,
			   const struct syc_claim_result *res)
{
	uint64_t handle;

	switch (res->decision) {
	case SYC_DECISION_RUN:
		handle = core_submission_new(core, waiter, key);
		core_submission_start(core, handle, &m->spec);
		return;
	case SYC_DECISION_PENDING:
		handle = core_submission_new(core, waiter, key);
		core_submission_store(core, handle, m);
		return;
	case SYC_DECISION_JOIN:
		join_submission(core, waiter, key, m);
		return;
	case SYC_DECISION_ENDED:
		answer_ended(core, waiter, m, key, res);
		return;
	case SYC_DECISION_ELSEWHERE:
		core_fetch_answer(core, waiter, m, res);
		return;
	case SYC_DECISION_FORWARD:
		core_forward(core, waiter, res->instance, m);
		return;
	case SYC_DECISION_MISMATCH:
		core_refuse(core, waiter, SYC_NOT_RUN, SYC_KEY_REUSED, 0);
		return;
	case SYC_DECISION_REFUSED:
		core_refuse(core, waiter, res->outcome, res->reason,
			    res->retry_after_ms);
		return;
	}
}

static void answer_not_found(struct syc_core *core, const struct waiter *waiter)
{
	struct syc_answer answer = {.outcome = SYC_UNKNOWN};

	core_answer(core, waiter, "not_found", &answer);
}

/*
 * Answers a request whose submission runs or has ended on this instance,
 * whichever instance is primary now. Returns false when this instance does not
 * know the key.
 */
static bool answer_locally(struct syc_core *core, const struct waiter *waiter,
			   const struct job_request *m,
			   const struct syc_claim_key *key)
{
	struct syc_bytes packed;
	uint64_t handle;

	if (core_submission_find(core, key, &handle)) {
		join_submission(core, waiter, key, m);
		return true;
	}
	packed = answer_cache_get(&core->answer_cache, key);
	if (!packed.p)
		return false;
	core_answer_packed(core, waiter, "ended", packed);
	return true;
}

/* Handles a request that never claims its key. */
static void handle_lookup(struct syc_core *core, const struct waiter *waiter,
			  const struct job_request *m,
			  const struct syc_claim_key *key)
{
	struct syc_claim_result res;

	if (answer_locally(core, waiter, m, key))
		return;
	res = syc_coord_lookup(core->coord, core->now, key);
	if (res.decision != SYC_DECISION_REFUSED && m->hops < HOPS_MAX)
		apply_decision(core, waiter, m, key, &res);
	else if (m->action == JOB_LOOKUP)
		core_refuse(core, waiter, SYC_UNKNOWN, SYC_ANSWER_DROPPED, 0);
	else
		answer_not_found(core, waiter);
}

static void handle_claim(struct syc_core *core, const struct waiter *waiter,
			 const struct job_request *m,
			 const struct syc_claim_key *key, uint64_t ticket_epoch)
{
	struct syc_claim_result res;
	uint8_t digest[SYC_DIGEST_LEN];

	compute_digest(m, digest);
	res = syc_coord_claim(core->coord, core->now, key, digest,
			      ticket_epoch);
	apply_decision(core, waiter, m, key, &res);
}

/*
 * Forwards the request when the key's home is another failure domain.
 * Returns false when the home is this domain.
 */
static bool forward_to_home(struct syc_core *core, const struct waiter *waiter,
			    const struct job_request *m,
			    const struct syc_claim_key *key, const char *home)
{
	uint64_t peer;

	if (!home || !strcmp(home, core->opt.self.domain))
		return false;
	peer = core_pick_peer_in_domain(core, home, key);
	if (peer)
		core_forward(core, waiter, peer, m);
	else
		core_refuse(core, waiter, SYC_UNKNOWN, SYC_HOME_UNREACHABLE,
			    RETRY_AFTER_MS);
	return true;
}

static void handle_keyed(struct syc_core *core, const struct waiter *waiter,
			 struct job_request *m)
{
	struct syc_bundle *b = syc_core_bundle(core);
	struct syc_claim_key key = core_claim_key(core, m->caller, m->key);
	struct ticket t = {.epoch = 0};
	enum ticket_status st;
	const char *home;

	st = ticket_read(&t, m->key, m->caller, core->opt.cluster_key,
			 syc_now(&core->opt.wall));
	if (st == TICKET_FORGED) {
		core_refuse(core, waiter, SYC_NOT_RUN, SYC_BAD_REQUEST, 0);
		return;
	}
	home = st == TICKET_NONE ? find_home_domain(b, &key) : t.domain;
	if (forward_to_home(core, waiter, m, &key, home))
		return;
	/*
	 * The submission under an expired ticket may have run already and its
	 * claim may have been dropped, so it is not claimed again.
	 */
	if (st == TICKET_EXPIRED && m->action == JOB_SUBMIT)
		m->action = JOB_LOOKUP;
	if (m->action == JOB_SUBMIT)
		handle_claim(core, waiter, m, &key, t.epoch);
	else
		handle_lookup(core, waiter, m, &key);
}

void core_handle_request(struct syc_core *core, const struct waiter *waiter,
			 const struct job_request *m)
{
	struct job_request copy = *m;
	uint64_t handle;
	const char *why;

	/* An instance that has left the map still forwards to primaries. */
	if (!syc_core_ready(core, &why) &&
	    !(core->stop_at && syc_core_epoch(core) && syc_core_bundle(core))) {
		core_refuse(core, waiter, *m->key ? SYC_UNKNOWN : SYC_NOT_RUN,
			    SYC_NOT_READY, RETRY_AFTER_MS);
		return;
	}
	if (++copy.hops > HOPS_MAX) {
		core_refuse(core, waiter, SYC_UNKNOWN, SYC_HOME_UNREACHABLE,
			    RETRY_AFTER_MS);
		return;
	}
	copy.spec.caller = copy.caller;
	copy.spec.kind = copy.kind;
	if (*copy.key) {
		handle_keyed(core, waiter, &copy);
		return;
	}
	if (core->stop_at) {
		core_refuse(core, waiter, SYC_NOT_RUN, SYC_STOPPING,
			    RETRY_AFTER_MS);
		return;
	}
	handle = core_submission_new(core, waiter, NULL);
	core_submission_start(core, handle, &copy.spec);
}
