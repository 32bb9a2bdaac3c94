/*
 * The dispatcher of one instance: a fair queue by caller, slots of targets
 * (its own and granted by other owners), placement, retries, target health
 * and the ledger. Pure decision code: events go in with `now`, messages go
 * out through the options' callbacks. No call blocks, none reads a clock.
 */
#ifndef SYCAMORESHORE_DISPATCH_H
#define SYCAMORESHORE_DISPATCH_H

#include "sycamoreshore/types.h"
#include "sycamoreshore/bundle.h"

/* One send to a target. Views are valid during the call. */
struct syc_start {
	uint64_t id; /* names this send in result and stop */
	const struct syc_target *target;
	const struct syc_service *service;
	const char *kind;
	const char *caller;
	uint64_t task; /* the same for every send of one task */
	uint32_t attempt; /* from 1 */
	uint32_t time_limit_ms;
	struct syc_bytes body;
};

/* How a send ended, as the target side saw it. */
enum syc_send_end {
	SYC_SEND_ANSWERED = 1, /* a whole 2xx answer */
	SYC_SEND_FAILED, /* a whole answer with another status */
	SYC_SEND_REFUSED, /* marked refusal: nothing ran */
	SYC_SEND_NOT_SENT, /* no byte of the request left */
	SYC_SEND_BROKEN, /* broke off after the send: may have run */
	SYC_SEND_TIMEOUT /* no whole answer within the limit */
};

struct syc_send_result {
	enum syc_send_end end;
	uint16_t status;
	struct syc_bytes body;
};

struct syc_dispatch_options {
	uint64_t self;
	const char *domain;
	const char *rack;
	uint64_t seed;
	uint32_t queue_max; /* tasks waiting over all callers */
	void *ctx;
	/* Sends one task to one target; its result comes back later. */
	void (*start)(void *ctx, const struct syc_start *start);
	/* Gives up on a send; its result still comes back. */
	void (*stop)(void *ctx, uint64_t start_id);
	/* Sends one peer message; it may be lost. */
	void (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	/* The submission `tag` has its final answer. Called once. */
	void (*done)(void *ctx, uint64_t tag, const struct syc_answer *answer);
	/* Who owns target `name`; zero when nobody is known. */
	uint64_t (*owner)(void *ctx, const char *name);
};

struct syc_dispatch;

struct syc_dispatch *syc_dispatch_new(const struct syc_dispatch_options *opt,
				      int64_t now);
void syc_dispatch_free(struct syc_dispatch *d);

/* Adopts a bundle for all that is not yet started; takes a reference. */
void syc_dispatch_set_bundle(struct syc_dispatch *d, int64_t now,
			     struct syc_bundle *b);

/* Replaces the list of targets of one service of this failure domain. */
void syc_dispatch_set_targets(struct syc_dispatch *d, int64_t now,
			      const char *service,
			      const struct syc_target *targets, size_t n);

/* The members or the map changed: owners are asked anew. */
void syc_dispatch_owners_changed(struct syc_dispatch *d, int64_t now);

/*
 * Says that the map in force is the first ever of its failure domain, so
 * that nothing can run on any target yet; call it before the first targets
 * are given. Without it an instance uses a target only once an instance that
 * knows its earlier owners has answered, or the leases and tasks that such
 * an owner may have left have ended by their time limits.
 */
void syc_dispatch_set_first_map(struct syc_dispatch *d);

/* A peer is gone: its grants to us end, and so do ours to it, in time. */
void syc_dispatch_peer_gone(struct syc_dispatch *d, int64_t now, uint64_t peer);

/*
 * Takes a submission, copying what it needs. `done` may be called before
 * this returns. `tag` is the caller's own and comes back in `done`.
 */
void syc_dispatch_submit(struct syc_dispatch *d, int64_t now, uint64_t tag,
			 const struct syc_job_spec *spec);

/* Cancels: frees what waits, stops what runs. `done` follows. */
void syc_dispatch_cancel(struct syc_dispatch *d, int64_t now, uint64_t tag);

/* The result of a send. */
void syc_dispatch_result(struct syc_dispatch *d, int64_t now, uint64_t start_id,
			 const struct syc_send_result *res);

/* Handles a message of types SYC_PEER_SLOT_REQUEST to SYC_PEER_ALLOTMENT. */
bool syc_dispatch_receive(struct syc_dispatch *d, int64_t now, uint64_t from,
			  struct syc_bytes msg);

/* Call every 10 ms or so: deadlines, limits, grants, probes, hedges. */
void syc_dispatch_tick(struct syc_dispatch *d, int64_t now);

/* Stops taking submissions; what is in hand goes on. */
void syc_dispatch_drain(struct syc_dispatch *d, int64_t now);

/* Submissions not yet answered. */
size_t syc_dispatch_in_flight(const struct syc_dispatch *d);

/* The usage ledger as JSON text, and the whole state; caller frees. */
char *syc_dispatch_ledger(const struct syc_dispatch *d, int64_t now);
char *syc_dispatch_dump(const struct syc_dispatch *d, int64_t now);

#endif
