/*
 * Requests from callers and peers: finds the home of a key, claims it, and
 * runs, joins, replays, forwards or refuses.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/core_internal.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum {
	RETRY_SOON_MS = 1000,
	HOPS_MAX = 8, /* home domain, primary, runner; more as a map spreads */
	WAITERS_MAX = 64 /* of one run; a caller's own duplicates */
};

struct syc_claim_key core_claim_key(const struct syc_core *core,
				    const char *caller, const char *key)
{
	crypto_generichash_state st;
	struct syc_claim_key out;

	crypto_generichash_init(&st, core->opt.cluster_key, SYC_DIGEST_LEN,
				SYC_CLAIM_KEY_LEN);
	/* With its terminator, so that caller and key cannot run together. */
	crypto_generichash_update(&st, (const uint8_t *)caller,
				  strlen(caller) + 1);
	crypto_generichash_update(&st, (const uint8_t *)key, strlen(key));
	crypto_generichash_final(&st, out.b, SYC_CLAIM_KEY_LEN);
	return out;
}

struct index_key core_index_key(const struct syc_claim_key *key)
{
	struct index_key k;

	memcpy(&k, key->b, sizeof(k));
	return k;
}

/* A digest of all that makes two submissions the same. */
static void digest_of(const struct job_request *m, uint8_t digest[])
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

/* Rendezvous hashing (Thaler and Ravishankar 1998) over the domains. */
static const char *home_by_hash(const struct syc_bundle *b,
				const struct syc_claim_key *key)
{
	const char *best = NULL;
	uint64_t top = 0;
	size_t i;

	for (i = 0; i < b->n_domains; i++) {
		uint64_t seed = XXH3_64bits(b->domains[i],
					    strlen(b->domains[i]));
		uint64_t score = XXH3_64bits_withSeed(key->b, sizeof(key->b),
						      seed);

		if (best && score <= top)
			continue;
		best = b->domains[i];
		top = score;
	}
	return best;
}

/* The key ended: its answer again, from who has it, or how it ended. */
static void answer_ended(struct syc_core *core, const struct waiter *from,
			 const struct job_request *m,
			 const struct syc_claim_key *key,
			 const struct syc_claim_result *res)
{
	struct syc_bytes packed = replay_get(&core->replay, key);
	struct syc_answer answer = {
		.outcome = res->outcome,
		.reason = SYC_ANSWER_DROPPED,
	};

	if (packed.p)
		core_replay(core, from, "ended", packed);
	else if (res->instance != core->opt.self.id &&
		 core_peer(core, res->instance))
		core_fetch(core, from, m, res);
	else
		core_answer(core, from, "ended", &answer);
}

/* The key runs here: wait for it, or tell that it runs. */
static void join_run(struct syc_core *core, const struct waiter *from,
		     const struct syc_claim_key *key,
		     const struct job_request *m)
{
	struct syc_answer running = {.outcome = SYC_UNKNOWN};
	uint64_t handle;
	struct run *r = core_run_find(core, key, &handle);

	if (!r) {
		core_refuse(core, from, SYC_UNKNOWN, SYC_ANSWER_DROPPED, 0);
		return;
	}
	if (m->action == JOB_QUERY || m->action == JOB_CANCEL) {
		core_answer(core, from, "running", &running);
		if (m->action == JOB_CANCEL && r->started)
			syc_dispatch_cancel(core->dispatch, core->now, handle);
		return;
	}
	if (r->n_waiters >= WAITERS_MAX) {
		core_refuse(core, from, SYC_UNKNOWN, SYC_QUEUE_FULL,
			    RETRY_SOON_MS);
		return;
	}
	if (!core_run_join(r, from) && from->peer)
		core_forward_ack(core, from);
}

static void act_on(struct syc_core *core, const struct waiter *from,
		   const struct job_request *m, const struct syc_claim_key *key,
		   const struct syc_claim_result *res)
{
	uint64_t handle;

	switch (res->decision) {
	case SYC_DECISION_RUN:
		handle = core_run_new(core, from, key);
		core_run_start(core, handle, &m->spec);
		return;
	case SYC_DECISION_PENDING:
		handle = core_run_new(core, from, key);
		core_run_keep(core, handle, m);
		return;
	case SYC_DECISION_JOIN:
		join_run(core, from, key, m);
		return;
	case SYC_DECISION_ENDED:
		answer_ended(core, from, m, key, res);
		return;
	case SYC_DECISION_ELSEWHERE:
		core_fetch(core, from, m, res);
		return;
	case SYC_DECISION_FORWARD:
		core_forward(core, from, res->instance, m);
		return;
	case SYC_DECISION_MISMATCH:
		core_refuse(core, from, SYC_NOT_RUN, SYC_KEY_REUSED, 0);
		return;
	case SYC_DECISION_REFUSED:
		core_refuse(core, from, res->outcome, res->reason,
			    res->retry_after_ms);
		return;
	}
}

static void not_found(struct syc_core *core, const struct waiter *from)
{
	struct syc_answer answer = {.outcome = SYC_UNKNOWN};

	core_answer(core, from, "not_found", &answer);
}

/* What runs or ended here is known here, whoever is primary now. */
static bool found_here(struct syc_core *core, const struct waiter *from,
		       const struct job_request *m,
		       const struct syc_claim_key *key)
{
	struct syc_bytes packed;
	uint64_t handle;

	if (core_run_find(core, key, &handle)) {
		join_run(core, from, key, m);
		return true;
	}
	packed = replay_get(&core->replay, key);
	if (!packed.p)
		return false;
	core_replay(core, from, "ended", packed);
	return true;
}

/* Looks at the key without claiming it. */
static void handle_lookup(struct syc_core *core, const struct waiter *from,
			  const struct job_request *m,
			  const struct syc_claim_key *key)
{
	struct syc_claim_result res;

	if (found_here(core, from, m, key))
		return;
	res = syc_coord_lookup(core->coord, core->now, key);
	if (res.decision != SYC_DECISION_REFUSED && m->hops < HOPS_MAX)
		act_on(core, from, m, key, &res);
	else if (m->action == JOB_LOOKUP)
		core_refuse(core, from, SYC_UNKNOWN, SYC_ANSWER_DROPPED, 0);
	else
		not_found(core, from);
}

static void handle_claim(struct syc_core *core, const struct waiter *from,
			 const struct job_request *m,
			 const struct syc_claim_key *key, uint64_t epoch)
{
	struct syc_claim_result res;
	uint8_t digest[SYC_DIGEST_LEN];

	digest_of(m, digest);
	res = syc_coord_claim(core->coord, core->now, key, digest, epoch);
	act_on(core, from, m, key, &res);
}

/* Whether the key's home is another failure domain; then it is asked. */
static bool goes_home(struct syc_core *core, const struct waiter *from,
		      const struct job_request *m,
		      const struct syc_claim_key *key, const char *home)
{
	uint64_t peer;

	if (!home || !strcmp(home, core->opt.self.domain))
		return false;
	peer = core_peer_in_domain(core, home, key);
	if (peer)
		core_forward(core, from, peer, m);
	else
		core_refuse(core, from, SYC_UNKNOWN, SYC_HOME_UNREACHABLE,
			    RETRY_SOON_MS);
	return true;
}

static void handle_keyed(struct syc_core *core, const struct waiter *from,
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
		core_refuse(core, from, SYC_NOT_RUN, SYC_BAD_REQUEST, 0);
		return;
	}
	home = st == TICKET_NONE ? home_by_hash(b, &key) : t.domain;
	if (goes_home(core, from, m, &key, home))
		return;
	/* An old ticket may have run; its claim may be gone. */
	if (st == TICKET_EXPIRED && m->action == JOB_SUBMIT)
		m->action = JOB_LOOKUP;
	if (m->action == JOB_SUBMIT)
		handle_claim(core, from, m, &key, t.epoch);
	else
		handle_lookup(core, from, m, &key);
}

void core_handle(struct syc_core *core, const struct waiter *from,
		 const struct job_request *m)
{
	struct job_request copy = *m;
	uint64_t run;
	const char *why;

	/* Who has left the map still passes keys on to their primaries. */
	if (!syc_core_ready(core, &why) &&
	    !(core->stop_at && syc_core_epoch(core) && syc_core_bundle(core))) {
		core_refuse(core, from, *m->key ? SYC_UNKNOWN : SYC_NOT_RUN,
			    SYC_NOT_READY, RETRY_SOON_MS);
		return;
	}
	if (++copy.hops > HOPS_MAX) {
		core_refuse(core, from, SYC_UNKNOWN, SYC_HOME_UNREACHABLE,
			    RETRY_SOON_MS);
		return;
	}
	copy.spec.caller = copy.caller;
	copy.spec.kind = copy.kind;
	if (*copy.key) {
		handle_keyed(core, from, &copy);
		return;
	}
	if (core->stop_at) {
		core_refuse(core, from, SYC_NOT_RUN, SYC_STOPPING,
			    RETRY_SOON_MS);
		return;
	}
	run = core_run_new(core, from, NULL);
	core_run_start(core, run, &copy.spec);
}
