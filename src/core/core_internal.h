/* What the files of the core share; not part of the library's interface. */
#ifndef CORE_CORE_INTERNAL_H
#define CORE_CORE_INTERNAL_H

#include "core/job_msgs.h"
#include "core/replay.h"
#include "core/ticket.h"
#include "sycamoreshore/bundle_sync.h"
#include "sycamoreshore/core.h"
#include "util/index.h"
#include "util/rng.h"
#include "util/table.h"

/* Somebody who wants an answer: a local tag, or a peer's request number. */
struct waiter {
	uint64_t peer; /* zero: local */
	uint64_t tag;
	bool shown; /* asked to show or cancel: wants a state too */
};

/* A submission that this instance claims and runs. */
struct run {
	bool keyed;
	bool started; /* handed to the dispatcher */
	bool again; /* its claim was dropped; handle it anew */
	struct syc_claim_key key;
	char *packed; /* the submission, until it is started */
	size_t packed_len;
	struct waiter *waiters;
	size_t n_waiters;
};

/* A request handed on to a peer, until its answer comes. */
struct forward {
	struct waiter from;
	uint64_t peer;
	int64_t ask_at; /* when to ask whether it still runs */
	unsigned unheard; /* asks since the peer last said that it does */
	enum syc_outcome ended; /* how it is known to have ended, or zero */
	char *packed; /* the request, to send it again */
	size_t packed_len;
};

/* An instance that a link was proved with, now or earlier. */
struct peer {
	struct syc_instance inst;
	bool up;
	bool gone; /* the platform lists it no longer */
	int64_t down_at;
};

struct syc_core {
	struct syc_core_options opt;
	struct syc_coord *coord;
	struct syc_dispatch *dispatch;
	struct syc_bundle_sync *sync;
	struct rng rng;
	int64_t now; /* of the event being handled */
	struct table runs;
	struct index run_by_key;
	size_t n_again; /* runs to handle anew */
	struct table forwards;
	struct index forward_by_from; /* of a peer's request */
	struct table peers;
	struct index peer_by_id;
	struct replay replay;
	int64_t list_at; /* when to read the lists of targets */
	int64_t discover_at;
	size_t discover_next; /* failure domain to look at next */
	size_t lists_open, discover_open, peers_up;
	bool list_failed; /* in the round of lists that is open */
	bool targets_listed; /* a whole round has been read */
	int64_t entries_at; /* when to read the list of entry instances */
	bool entries_open;
	int64_t ledger_at;
	uint64_t ledger_index;
	bool ledger_open;
	bool ledger_last; /* the final one is written */
	bool ledger_stale; /* the index is not known */
	int64_t active_at; /* of the last event that was no heartbeat */
	int64_t stop_at; /* when the stop began; zero: running */
	bool abandoned; /* the stop has given up on what ran */
	uint64_t epoch_seen; /* of the map */
	uint64_t members_seen[SYC_MEMBERS_MAX];
	size_t n_members_seen;
};

/* The key under which a caller's idempotency key is claimed. */
struct syc_claim_key core_claim_key(const struct syc_core *core,
				    const char *caller, const char *key);
struct index_key core_index_key(const struct syc_claim_key *key);

enum {
	CORE_RETENTION_MS = 15 * 60 * 1000 /* until a bundle sets it */
};

/* parts.c: coordination, dispatcher and bundle, tied to the core. */
void core_parts_new(struct syc_core *core);
void core_parts_free(struct syc_core *core);

/* submit.c: a request that came from a caller or a peer. */
void core_handle(struct syc_core *core, const struct waiter *from,
		 const struct job_request *m);

/* run.c: what this instance has claimed or waits to claim. */
uint64_t core_run_new(struct syc_core *core, const struct waiter *from,
		      const struct syc_claim_key *key);
struct run *core_run_find(const struct syc_core *core,
			  const struct syc_claim_key *key, uint64_t *handle);
/* Returns false when it waited already. */
bool core_run_join(struct run *r, const struct waiter *from);
/* Keeps the submission until its claim is decided. */
void core_run_keep(struct syc_core *core, uint64_t handle,
		   const struct job_request *m);
void core_run_start(struct syc_core *core, uint64_t handle,
		    const struct syc_job_spec *spec);
/* A pending claim was decided. */
void core_claimed(struct syc_core *core, const struct syc_claim_key *key,
		  const struct syc_claim_result *res);
/* The answer to a run; handed to all who wait for it. */
void core_run_done(struct syc_core *core, uint64_t handle,
		   const struct syc_answer *answer);
void core_run_free(struct syc_core *core, uint64_t handle);
/* Handles anew the submissions whose claims were dropped unstarted. */
void core_run_tick(struct syc_core *core);

/* answer.c: the way back. */
void core_answer(struct syc_core *core, const struct waiter *to,
		 const char *state, const struct syc_answer *answer);
void core_refuse(struct syc_core *core, const struct waiter *to,
		 enum syc_outcome outcome, enum syc_reason reason,
		 uint32_t retry_after_ms);
/* Answers with a packed answer kept for replay. */
void core_replay(struct syc_core *core, const struct waiter *to,
		 const char *state, struct syc_bytes packed);

/* forward.c: requests that another instance has to decide. */
void core_forward(struct syc_core *core, const struct waiter *from,
		  uint64_t peer, const struct job_request *m);
/* Asks the runner of a claimed key for its answer; it never starts it. */
void core_fetch(struct syc_core *core, const struct waiter *from,
		const struct job_request *m,
		const struct syc_claim_result *res);
void core_forward_answer(struct syc_core *core, uint64_t peer,
			 struct syc_bytes msg);
/* Tells a peer that asked again that its request is still in hand. */
void core_forward_ack(struct syc_core *core, const struct waiter *to);
void core_forward_acked(struct syc_core *core, uint64_t peer,
			struct syc_bytes msg);
void core_forward_peer_down(struct syc_core *core, uint64_t peer);
void core_forward_tick(struct syc_core *core);
void core_forward_free(struct syc_core *core, uint64_t handle);

/* discovery.c: which instances there are, and links to them. */
void core_discovery_tick(struct syc_core *core);
/* A live peer of `domain` to ask for `key`; zero when none is known. */
uint64_t core_peer_in_domain(const struct syc_core *core, const char *domain,
			     const struct syc_claim_key *key);
/* The peer with this id while a link to it is up, or NULL. */
const struct peer *core_peer(const struct syc_core *core, uint64_t id);
void core_peer_up(struct syc_core *core, const struct syc_instance *inst);
void core_peer_down(struct syc_core *core, uint64_t id);

/* target_list.c */
void core_target_list_tick(struct syc_core *core);

/* Whether a planned stop has nothing left to answer or hand over. */
bool core_drained(const struct syc_core *core);

/* ledger_writer.c */
void core_ledger_tick(struct syc_core *core);

#endif
