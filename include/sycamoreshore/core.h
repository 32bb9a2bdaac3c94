/*
 * One instance's decisions put together: routes a submission to its home,
 * claims its key, runs it, joins duplicates, replays answers, and feeds the
 * coordination, bundle and dispatcher parts. Driven by events with `now`.
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
	uint64_t seed;
	uint32_t heartbeat_ms;
	uint32_t suspect_ms;
	uint32_t queue_max;
	size_t claims_max;
	size_t answers_max_bytes; /* kept for replay */
	const uint8_t *cluster_key; /* SYC_DIGEST_LEN bytes; signs tickets */
	const struct syc_signer *trusted;
	size_t n_trusted;
	uint32_t stop_ms; /* a planned stop gives up on what runs after this */
	uint32_t list_interval_ms; /* between reads of the list of targets */
	struct syc_clock wall; /* milliseconds since the epoch, for tickets */
	struct syc_platform_ops store;
	void *ctx;
	/* Keeps a link to the instance at this address from now on. */
	void (*dial)(void *ctx, const struct syc_addr *addr);
	/* Sends one message to a peer; false when no link is up. */
	bool (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	void (*start)(void *ctx, const struct syc_start *start);
	void (*stop)(void *ctx, uint64_t start_id);
	/* The final answer to the submission with this tag; called once. */
	void (*answer)(void *ctx, uint64_t tag,
		       const struct syc_answer *answer);
	/* The state of a key asked for by syc_core_query; called once. */
	void (*report_state)(void *ctx, uint64_t tag, const char *state,
			     const struct syc_answer *answer);
	/* One line for the log: an event name and a detail. */
	void (*event)(void *ctx, const char *event, const char *detail);
};

struct syc_core;

struct syc_core *syc_core_new(const struct syc_core_options *opt, int64_t now);
void syc_core_free(struct syc_core *core);

/* Events from transport and platform. Call tick every 10 ms or so. */
void syc_core_tick(struct syc_core *core, int64_t now);

/* Nothing but heartbeats for a while: a tick every 50 ms is enough. */
bool syc_core_is_idle(const struct syc_core *core);
void syc_core_peer_up(struct syc_core *core, int64_t now,
		      const struct syc_instance *peer);
void syc_core_peer_down(struct syc_core *core, int64_t now, uint64_t peer);
bool syc_core_receive(struct syc_core *core, int64_t now, uint64_t from,
		      struct syc_bytes msg);
void syc_core_result(struct syc_core *core, int64_t now, uint64_t start_id,
		     const struct syc_send_result *res);

/*
 * Takes a submission; `key` is NULL for none. `answer` follows exactly once,
 * perhaps before this returns.
 */
void syc_core_submit(struct syc_core *core, int64_t now, uint64_t tag,
		     const char *key, const struct syc_job_spec *spec);

/*
 * Asks to cancel the submission that `caller` made under `key`; `report_state` tells
 * what was found.
 */
void syc_core_cancel(struct syc_core *core, int64_t now, uint64_t tag,
		     const char *caller, const char *key);

/* Looks up how the submission under `key` stands. */
void syc_core_query(struct syc_core *core, int64_t now, uint64_t tag,
		    const char *caller, const char *key);

/*
 * Mints a key that carries home, slice epoch and expiry, into `out` of
 * SYC_KEY_MAX bytes. Returns false before there is a map.
 */
bool syc_core_issue_ticket(struct syc_core *core, int64_t now,
			   const char *caller, char *out);

/* The bundle in force; NULL before the first. Not a new reference. */
struct syc_bundle *syc_core_bundle(const struct syc_core *core);

/* The epoch of the failure domain's map; zero before the first. */
uint64_t syc_core_epoch(const struct syc_core *core);

/* Whether it can serve; otherwise `why` says what it waits for. */
bool syc_core_ready(const struct syc_core *core, const char **why);

/* Begins a planned stop; syc_core_stopped tells when it is done. */
void syc_core_stop(struct syc_core *core, int64_t now);
bool syc_core_stopped(const struct syc_core *core);

/* Submissions in hand here and requests forwarded to others. */
size_t syc_core_in_flight(const struct syc_core *core);

/* The whole state, or the ledger, as JSON text; the caller frees it. */
char *syc_core_dump(const struct syc_core *core, int64_t now);
char *syc_core_ledger(const struct syc_core *core, int64_t now);

#endif
