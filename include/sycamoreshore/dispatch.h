/*
 * The dispatcher of one instance: a queue that is fair between callers, the
 * slots of targets that it owns or that other owners granted, placement,
 * retries, target health and the ledger. This is pure decision code: events
 * come in as calls with `now` in milliseconds, messages go out through the
 * callbacks in the options. No call blocks or reads a clock.
 */
#ifndef SYCAMORESHORE_DISPATCH_H
#define SYCAMORESHORE_DISPATCH_H

#include "sycamoreshore/types.h"
#include "sycamoreshore/bundle.h"

/* One send of a task to a target. Pointers are valid during the call only. */
struct syc_start {
	uint64_t id; /* identifies this send in its result and its stop */
	const struct syc_target *target;
	const struct syc_service *service;
	const char *kind;
	const char *caller;
	uint64_t task; /* equal for all sends of one task */
	uint32_t attempt; /* counted from 1 */
	uint32_t time_limit_ms;
	struct syc_bytes body;
};

/* How a send ended, as the transport to the target saw it. */
enum syc_send_end {
	SYC_SEND_ANSWERED = 1, /* complete answer with status 2xx */
	SYC_SEND_FAILED, /* complete answer with another status */
	SYC_SEND_REFUSED, /* the target states that nothing ran */
	SYC_SEND_NOT_SENT, /* no byte of the request was sent */
	SYC_SEND_BROKEN, /* connection lost after the send: may have run */
	SYC_SEND_TIMEOUT /* no complete answer within the time limit */
};

struct syc_send_result {
	enum syc_send_end end;
	uint16_t status; /* of the HTTP answer; zero for none */
	struct syc_bytes body;
};

struct syc_dispatch_options {
	uint64_t self;
	const char *domain;
	const char *rack;
	uint64_t seed; /* of random choices */
	uint32_t queue_max; /* waiting tasks over all callers */
	void *ctx;
	/* Sends one task to one target; syc_dispatch_result follows. */
	void (*start)(void *ctx, const struct syc_start *start);
	/* Abandons a send; its syc_dispatch_result still follows. */
	void (*stop)(void *ctx, uint64_t start_id);
	/* Sends one peer message; it may be lost. */
	void (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	/* Delivers the final answer to submission `tag`; called once. */
	void (*done)(void *ctx, uint64_t tag, const struct syc_answer *answer);
	/* Returns the owner of target `name`; zero when none is known. */
	uint64_t (*find_owner)(void *ctx, const char *name);
};

struct syc_dispatch;

struct syc_dispatch *syc_dispatch_new(const struct syc_dispatch_options *opt,
				      int64_t now);
void syc_dispatch_free(struct syc_dispatch *d);

/* Sets the bundle for what has not started yet, and adds a reference. */
void syc_dispatch_set_bundle(struct syc_dispatch *d, int64_t now,
			     struct syc_bundle *b);

/* Replaces the list of targets of one service of this failure domain. */
void syc_dispatch_set_targets(struct syc_dispatch *d, int64_t now,
			      const char *service,
			      const struct syc_target *targets, size_t n);

/* Looks all owners up again after a change of the members or the map. */
void syc_dispatch_owners_changed(struct syc_dispatch *d, int64_t now);

/*
 * Reports that the map in force is the first map of its failure domain, so
 * nothing runs on any target yet. Call it before the first
 * syc_dispatch_set_targets. Otherwise an instance uses a target only after
 * an instance that knows the earlier owners has answered, or after the
 * leases and tasks that an earlier owner may have left have reached their
 * time limits.
 */
void syc_dispatch_set_first_map(struct syc_dispatch *d);

/*
 * Drops a peer that is no longer a live member. Its grants to this instance
 * end, and grants to the peer end when they expire.
 */
void syc_dispatch_drop_peer(struct syc_dispatch *d, int64_t now, uint64_t peer);

/*
 * Takes a submission and copies what it needs of `spec`. `tag` is passed to
 * the callback `done`, which may be called before this returns.
 */
void syc_dispatch_submit(struct syc_dispatch *d, int64_t now, uint64_t tag,
			 const struct syc_job_spec *spec);

/*
 * Cancels a submission: removes its waiting tasks and stops its running
 * ones. The callback `done` follows.
 */
void syc_dispatch_cancel(struct syc_dispatch *d, int64_t now, uint64_t tag);

/* Reports the result of the send `start_id`. */
void syc_dispatch_result(struct syc_dispatch *d, int64_t now, uint64_t start_id,
			 const struct syc_send_result *res);

/*
 * Handles a message of the types SYC_PEER_SLOT_REQUEST to
 * SYC_PEER_ALLOTMENT. Returns false when the message is malformed.
 */
bool syc_dispatch_receive(struct syc_dispatch *d, int64_t now, uint64_t from,
			  struct syc_bytes msg);

/*
 * Handles due deadlines, time limits, grants, probes and hedged sends. Call
 * it about every 10 ms.
 */
void syc_dispatch_tick(struct syc_dispatch *d, int64_t now);

/* Refuses submissions from now on; those in flight continue. */
void syc_dispatch_drain(struct syc_dispatch *d, int64_t now);

/* Number of submissions that are not answered yet. */
size_t syc_dispatch_in_flight(const struct syc_dispatch *d);

/*
 * Returns the ledger of usage, or the whole state, as JSON text, which the
 * caller frees.
 */
char *syc_dispatch_ledger(const struct syc_dispatch *d, int64_t now);
char *syc_dispatch_dump(const struct syc_dispatch *d, int64_t now);

#endif
