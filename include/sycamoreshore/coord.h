/*
 * Coordination of the instances of one failure domain: membership, the map
 * of slices to primary and backup, and the claims that keep every key to one
 * start. Pure decision code: events go in with `now`, messages go out
 * through the options' callbacks. No call blocks, none reads a clock.
 */
#ifndef SYCAMORESHORE_COORD_H
#define SYCAMORESHORE_COORD_H

#include "sycamoreshore/types.h"
#include "sycamoreshore/platform.h"

enum {
	SYC_SLICES = 64, /* slices of one failure domain */
	SYC_MEMBERS_MAX = 64, /* instances of one failure domain */
	SYC_CLAIM_KEY_LEN = 16 /* bytes of a hashed (caller, key) */
};

/* A claim's key: keyed BLAKE2b of caller and idempotency key. */
struct syc_claim_key {
	uint8_t b[SYC_CLAIM_KEY_LEN];
};

/* What became of an attempt to claim a key. */
enum syc_claim_decision {
	SYC_DECISION_RUN = 1, /* claimed now: start it; end it with coord_end */
	SYC_DECISION_PENDING, /* the callback `claimed` tells later */
	SYC_DECISION_JOIN, /* this instance runs it already: wait for its answer */
	SYC_DECISION_ENDED, /* ended here before; `outcome` tells how */
	SYC_DECISION_ELSEWHERE, /* `instance` runs or ran it: ask there */
	SYC_DECISION_FORWARD, /* `instance` is primary: forward there */
	SYC_DECISION_MISMATCH, /* same key, other body */
	SYC_DECISION_REFUSED /* see `outcome` and `reason` */
};

struct syc_claim_result {
	enum syc_claim_decision decision;
	uint64_t instance;
	enum syc_outcome
		outcome; /* for SYC_DECISION_ENDED and SYC_DECISION_REFUSED */
	enum syc_reason reason;
	uint32_t retry_after_ms;
};

struct syc_coord_options {
	struct syc_instance self;
	uint64_t seed; /* of the jitter */
	uint32_t heartbeat_ms;
	uint32_t suspect_ms; /* silence after which a peer is suspected */
	uint32_t retention_ms; /* age at which an ended claim is dropped */
	size_t claims_max;
	void *ctx;
	/* Sends one message; it may be lost. */
	void (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	/* A pending claim was decided: verdict SYC_DECISION_RUN or SYC_DECISION_REFUSED. */
	void (*claimed)(void *ctx, const struct syc_claim_key *key,
			const struct syc_claim_result *res);
	/* The set of live members or the map changed. */
	void (*changed)(void *ctx);
	/* The store, for the map of this failure domain. */
	struct syc_platform_ops store;
};

struct syc_coord;

struct syc_coord *syc_coord_new(const struct syc_coord_options *opt,
				int64_t now);
void syc_coord_free(struct syc_coord *c);

/* Call every 50 ms or so: sends heartbeats, suspects, plans changes. */
void syc_coord_tick(struct syc_coord *c, int64_t now);

/* A connection to or from `peer` was proved; makes it known. */
void syc_coord_peer_up(struct syc_coord *c, int64_t now,
		       const struct syc_instance *peer);

/* The peer link broke; a hint, suspicion still takes its time. */
void syc_coord_peer_down(struct syc_coord *c, int64_t now, uint64_t peer);

/* The platform's lagging list says that this instance is gone. */
void syc_coord_peer_unlisted(struct syc_coord *c, int64_t now, uint64_t peer);

/*
 * Handles a message of types SYC_PEER_HEARTBEAT to SYC_PEER_CLAIM_COPY_ACK.
 * Returns false when it could not be read; it then changed nothing.
 */
bool syc_coord_receive(struct syc_coord *c, int64_t now, uint64_t from,
		       struct syc_bytes msg);

/* The bundle's version travels with heartbeats. */
void syc_coord_set_bundle(struct syc_coord *c, uint64_t version,
			  const uint8_t digest[SYC_DIGEST_LEN]);

/* The bundle says how long ended claims are kept, in milliseconds. */
void syc_coord_set_retention(struct syc_coord *c, uint32_t retention_ms);

/*
 * Claims `key` for a body with `digest`. A ticket's epoch is the map epoch
 * it was minted under, zero for a key that the caller made up.
 */
struct syc_claim_result syc_coord_claim(struct syc_coord *c, int64_t now,
					const struct syc_claim_key *key,
					const uint8_t digest[SYC_DIGEST_LEN],
					uint64_t ticket_epoch);

/* As syc_coord_claim for a key that is only looked up: never claims. */
struct syc_claim_result syc_coord_lookup(struct syc_coord *c, int64_t now,
					 const struct syc_claim_key *key);

/* The submission that `key` claimed has ended. */
void syc_coord_end_claim(struct syc_coord *c, int64_t now,
			 const struct syc_claim_key *key,
			 enum syc_outcome outcome);

/* The map's epoch; zero before the first map. */
uint64_t syc_coord_epoch(const struct syc_coord *c);

/*
 * Whether this instance is in a map and may serve. One that has left still
 * passes keys on to their primaries.
 */
bool syc_coord_ready(const struct syc_coord *c);

/* Whether this instance is the primary of `key`, as far as it knows. */
bool syc_coord_is_primary(const struct syc_coord *c,
			  const struct syc_claim_key *key);

/*
 * Whether this instance owns the target named `name` (rendezvous hash over
 * the members of the map), and who does; zero when there is no map.
 */
uint64_t syc_coord_owner(const struct syc_coord *c, const char *name);

/* Lists live members, this instance included; returns how many. */
size_t syc_coord_members(const struct syc_coord *c, struct syc_instance *out,
			 size_t max);

/*
 * Looks up what peer `id` last said of its bundle. Returns false when it is
 * not known.
 */
bool syc_coord_peer_bundle(const struct syc_coord *c, uint64_t id,
			   uint64_t *version);

/*
 * Begins a planned leave: hands slices over by a map change. `left` of
 * syc_coord_leaving turns true when no slice is served here any more.
 */
void syc_coord_leave(struct syc_coord *c, int64_t now);
bool syc_coord_has_left(const struct syc_coord *c);

/* Appends the whole state as JSON text; the caller frees it. */
char *syc_coord_dump(const struct syc_coord *c, int64_t now);

#endif
