/*
 * The decision code of one instance. It routes a submission to the home of
 * its key, claims the key, runs the submission, joins duplicates to it and
 * replays answers. It passes events on to coordination, bundle sync and
 * dispatcher. All events come in as calls with `now` in milliseconds.
 */
#ifndef SYCAMORESHORE_CORE_H
#define SYCAMORESHORE_CORE_H

#include "sycamoreshore/bundle.h"
#include "sycamoreshore/clock.h"
#include "sycamoreshore/coord.h"
#include "sycamoreshore/dispatch.h"
#include "sycamoreshore/platform.h"

struct syc_core_options {
	struct syc_instance self;
	uint64_t seed; /* of random choices and delays */
	uint32_t heartbeat_ms;
	uint32_t suspect_ms; /* time without heartbeat until suspicion */
	uint32_t queue_max; /* waiting tasks over all callers */
	size_t claims_max;
	size_t answers_max_bytes; /* bytes of answers kept for replay */
	/* Key of SYC_DIGEST_LEN bytes for tickets' MACs and claims' hashes. */
	const uint8_t *cluster_key;
	const struct syc_signer *trusted;
	size_t n_trusted;
	uint32_t stop_ms; /* time until a planned stop cancels submissions */
	uint32_t list_interval_ms; /* between reads of the list of targets */
	struct syc_clock wall; /* ms since the Unix epoch, for tickets */
	struct syc_platform_ops store;
	void *ctx;
	/* Connects to the instance at `addr` and keeps the link up. */
	void (*dial)(void *ctx, const struct syc_addr *addr);
	/* Sends one message to a peer. Returns false when no link is up. */
	bool (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	/* Sends one task to one target; see struct syc_dispatch_options. */
	void (*start)(void *ctx, const struct syc_start *start);
	/* Abandons a send; its result is still reported. */
	void (*stop)(void *ctx, uint64_t start_id);
	/* Delivers the final answer to submission `tag`; called once. */
	void (*answer)(void *ctx, uint64_t tag,
		       const struct syc_answer *answer);
	/*
	 * Answers syc_core_query or syc_core_cancel with the state of the
	 * key: "running", "ended", "not_found" or "unknown". Called once.
	 */
	void (*report_state)(void *ctx, uint64_t tag, const char *state,
			     const struct syc_answer *answer);
	/* Logs an event by its name and a detail. */
	void (*event)(void *ctx, const char *event, const char *detail);
};

struct syc_core;

struct syc_core *syc_core_new(const struct syc_core_options *opt, int64_t now);
void syc_core_free(struct syc_core *core);

/* Does all that is due at `now`. Call it about every 10 ms. */
void syc_core_tick(struct syc_core *core, int64_t now);

/*
 * Whether nothing is in flight, no stop has begun and only heartbeats have
 * come in for a while. A tick every 50 ms is enough then.
 */
bool syc_core_is_idle(const struct syc_core *core);

/* Reports an authenticated link to or from `peer`. */
void syc_core_peer_up(struct syc_core *core, int64_t now,
		      const struct syc_instance *peer);

/* Reports that the link to `peer` broke. */
void syc_core_peer_down(struct syc_core *core, int64_t now, uint64_t peer);

/* Handles a message of a peer. Returns false when it is malformed. */
bool syc_core_receive(struct syc_core *core, int64_t now, uint64_t from,
		      struct syc_bytes msg);

/* Reports the result of the send `start_id`. */
void syc_core_result(struct syc_core *core, int64_t now, uint64_t start_id,
		     const struct syc_send_result *res);

/*
 * Takes a submission; `key` is NULL for none. The callback `answer` is called
 * exactly once, possibly before this returns.
 */
void syc_core_submit(struct syc_core *core, int64_t now, uint64_t tag,
		     const char *key, const struct syc_job_spec *spec);

/*
 * Cancels the submission that `caller` made under `key`. The callback
 * `report_state` is called with the state in which it was found.
 */
void syc_core_cancel(struct syc_core *core, int64_t now, uint64_t tag,
		     const char *caller, const char *key);

/*
 * Looks up the state of the submission that `caller` made under `key`. The
 * callback `report_state` is called with it.
 */
void syc_core_query(struct syc_core *core, int64_t now, uint64_t tag,
		    const char *caller, const char *key);

/*
 * Writes a ticket, which is a key with its home, the map epoch and its
 * expiry, into `out` of SYC_KEY_MAX bytes. Returns false while this instance
 * is not in a map, or when its domain's name has a dot or is too long.
 */
bool syc_core_issue_ticket(struct syc_core *core, int64_t now,
			   const char *caller, char *out);

/* The bundle in force; NULL before the first. No reference is added. */
struct syc_bundle *syc_core_bundle(const struct syc_core *core);

/* Epoch of the failure domain's map; zero before the first map. */
uint64_t syc_core_epoch(const struct syc_core *core);

/*
 * Whether this instance can serve. Sets `*why` to what the instance waits
 * for, or to "ready".
 */
bool syc_core_ready(const struct syc_core *core, const char **why);

/* Begins a planned stop. */
void syc_core_stop(struct syc_core *core, int64_t now);

/* Whether a planned stop is complete. */
bool syc_core_stopped(const struct syc_core *core);

/* Number of submissions in flight here and of requests forwarded to peers. */
size_t syc_core_in_flight(const struct syc_core *core);

/* Returns the whole state, or the ledger, as JSON text; the caller frees it. */
char *syc_core_dump(const struct syc_core *core, int64_t now);
char *syc_core_ledger(const struct syc_core *core, int64_t now);

#endif
