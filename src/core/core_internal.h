/* Declarations that the files of the core share; not a public interface. */
#ifndef CORE_CORE_INTERNAL_H
#define CORE_CORE_INTERNAL_H

#include "core/answer_cache.h"
#include "core/job_msgs.h"
#include "core/ticket.h"
#include "sycamoreshore/bundle_sync.h"
#include "sycamoreshore/core.h"
#include "util/index.h"
#include "util/rng.h"
#include "util/table.h"

/* Receiver of an answer: a local caller, or a peer that forwarded. */
struct waiter {
	uint64_t peer; /* zero: local */
	uint64_t tag; /* of the local caller, or the peer's request_id */
	bool wants_state; /* the request was a query or a cancellation */
};

/* A submission that this instance runs or waits to claim. */
struct submission {
	bool has_key; /* `key` is set */
	bool is_started; /* passed to the dispatcher */
	bool needs_reprocessing; /* its claim was dropped before the start */
	struct syc_claim_key key;
	char *packed; /* its job_request, while the claim is pending */
	size_t packed_len;
	struct waiter *waiters;
	size_t n_waiters;
};

/* A request that was forwarded to a peer and has no answer yet. */
struct forward {
	struct waiter waiter;
	uint64_t peer;
	int64_t resend_at;
	unsigned unanswered; /* resends since the peer's last acknowledgement */
	enum syc_outcome known_outcome; /* from the claim; zero: unknown */
	char *packed; /* the request as a message, to resend it */
	size_t packed_len;
};

/* An instance with which an authenticated link is up or was up. */
struct peer {
	struct syc_instance instance;
	bool up;
	bool unlisted; /* the platform no longer lists it */
	int64_t down_at;
};

struct syc_core {
	struct syc_core_options opt;
	struct syc_coord *coord;
	struct syc_dispatch *dispatch;
	struct syc_bundle_sync *bundle_sync;
	struct rng rng;
	int64_t now; /* time of the event being handled */
	struct table submissions;
	struct index submission_by_key;
	size_t n_to_reprocess; /* submissions to handle again */
	struct table forwards;
	struct index forward_by_waiter; /* of requests that peers forwarded */
	struct table peers;
	struct index peer_by_id;
	struct answer_cache answer_cache;
	int64_t target_list_at; /* next read of the lists of targets */
	int64_t map_read_at; /* next read of a failure domain's map */
	size_t map_domain_index; /* failure domain whose map was read last */
	size_t lists_pending, map_reads_pending, peers_up;
	bool list_failed; /* a read of a list failed in the current round */
	bool targets_listed; /* all reads of a round have succeeded once */
	int64_t entry_list_at; /* next read of the list of entry instances */
	bool entry_list_pending;
	int64_t ledger_at; /* next write of the ledger */
	uint64_t ledger_index; /* index of the ledger's key in the store */
	bool ledger_pending;
	bool final_ledger_written;
	bool ledger_index_unknown; /* the last write had no clear result */
	int64_t active_at; /* last event other than a heartbeat */
	int64_t stop_at; /* begin of the planned stop; zero: none */
	bool stop_timed_out; /* the stop has cancelled what ran */
	uint64_t epoch_seen; /* epoch of the map at its last change */
	uint64_t members_seen[SYC_MEMBERS_MAX];
	size_t n_members_seen;
};

/* Hashes a caller and its idempotency key to the key of the claim. */
struct syc_claim_key core_claim_key(const struct syc_core *core,
				    const char *caller, const char *key);
struct index_key core_index_key(const struct syc_claim_key *key);

enum {
	CORE_DEFAULT_RETENTION_MS = 15 * 60 * 1000 /* before the first bundle */
};

/* components.c: coordination, dispatcher and bundle sync of the core. */
void core_components_new(struct syc_core *core);
void core_components_free(struct syc_core *core);

/* request.c: handles a request of a caller or a peer. */
void core_handle_request(struct syc_core *core, const struct waiter *waiter,
			 const struct job_request *m);

/* submission.c: submissions that this instance runs or waits to claim. */
uint64_t core_submission_new(struct syc_core *core, const struct waiter *waiter,
			     const struct syc_claim_key *key);
struct submission *core_submission_find(const struct syc_core *core,
					const struct syc_claim_key *key,
					uint64_t *handle);
/* Adds a waiter; returns false when it waits already. */
bool core_submission_join(struct submission *s, const struct waiter *waiter);
/* Stores the request of the submission until its claim is decided. */
void core_submission_store(struct syc_core *core, uint64_t handle,
			   const struct job_request *m);
void core_submission_start(struct syc_core *core, uint64_t handle,
			   const struct syc_job_spec *spec);
/* Starts, refuses or reprocesses a submission whose claim was decided. */
void core_submission_claimed(struct syc_core *core,
			     const struct syc_claim_key *key,
			     const struct syc_claim_result *res);
/* Ends a submission, sends its answer to all waiters and frees it. */
void core_submission_done(struct syc_core *core, uint64_t handle,
			  const struct syc_answer *answer);
void core_submission_free(struct syc_core *core, uint64_t handle);
/* Handles again the submissions whose claims were dropped before the start. */
void core_submission_tick(struct syc_core *core);

/* answer.c: sends an answer to a local caller or to a peer. */
void core_answer(struct syc_core *core, const struct waiter *waiter,
		 const char *state, const struct syc_answer *answer);
void core_refuse(struct syc_core *core, const struct waiter *waiter,
		 enum syc_outcome outcome, enum syc_reason reason,
		 uint32_t retry_after_ms);
/* Answers with a packed answer from the answer cache. */
void core_answer_packed(struct syc_core *core, const struct waiter *waiter,
			const char *state, struct syc_bytes packed);

/* forward.c: forwards a request to the instance that decides on it. */
void core_forward(struct syc_core *core, const struct waiter *waiter,
		  uint64_t peer, const struct job_request *m);
/*
 * Forwards a request to the instance that runs or ran the submission. A
 * JOB_SUBMIT becomes a JOB_LOOKUP, which never starts the submission.
 */
void core_fetch_answer(struct syc_core *core, const struct waiter *waiter,
		       const struct job_request *m,
		       const struct syc_claim_result *res);
void core_forward_receive_answer(struct syc_core *core, uint64_t peer,
				 struct syc_bytes msg);
/* Reports to a peer that its resent request is still in flight. */
void core_acknowledge_forward(struct syc_core *core,
			      const struct waiter *waiter);
void core_forward_receive_ack(struct syc_core *core, uint64_t peer,
			      struct syc_bytes msg);
void core_forward_peer_down(struct syc_core *core, uint64_t peer);
void core_forward_tick(struct syc_core *core);
void core_forward_free(struct syc_core *core, uint64_t handle);

/* discovery.c: finds the other instances and keeps links to them. */
void core_discovery_tick(struct syc_core *core);
/* Picks a reachable peer of `domain` for `key`; zero when there is none. */
uint64_t core_pick_peer_in_domain(const struct syc_core *core,
				  const char *domain,
				  const struct syc_claim_key *key);
/* Returns the peer `id` while a link to it is up, or NULL. */
const struct peer *core_get_linked_peer(const struct syc_core *core,
					uint64_t id);
void core_peer_up(struct syc_core *core, const struct syc_instance *inst);
void core_peer_down(struct syc_core *core, uint64_t id);

/* target_list.c: reads the lists of targets when they are due. */
void core_target_list_tick(struct syc_core *core);

/*
 * core.c: whether a planned stop has begun, all slices are handed over and all
 * requests are answered.
 */
bool core_is_drained(const struct syc_core *core);

/* ledger_writer.c: writes the ledger when it is due. */
void core_ledger_tick(struct syc_core *core);

#endif
