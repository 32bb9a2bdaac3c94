/*
 * Coordination of the instances of one failure domain: membership, the map
 * that assigns each slice a primary and a backup, and the claims that allow
 * one start per key. This is pure decision code: events come in as calls
 * with `now`, messages go out through the callbacks in the options. No call
 * blocks or reads a clock. All times are in milliseconds.
 */
#ifndef SYCAMORESHORE_COORD_H
#define SYCAMORESHORE_COORD_H

#include "sycamoreshore/types.h"
#include "sycamoreshore/platform.h"

enum {
	SYC_SLICES = 64, /* slices of one failure domain */
	SYC_MEMBERS_MAX = 64, /* instances of one failure domain */
	SYC_CLAIM_KEY_LEN = 16 /* bytes of a hashed (caller, key) pair */
};

/* Key of a claim: keyed BLAKE2b hash of caller and idempotency key. */
struct syc_claim_key {
	uint8_t b[SYC_CLAIM_KEY_LEN];
};

/* Result of an attempt to claim the key of a submission. */
enum syc_claim_decision {
	/*
	 * The key is claimed: start the submission, and call
	 * syc_coord_end_claim when it ends.
	 */
	SYC_DECISION_RUN = 1,
	SYC_DECISION_PENDING, /* the callback `claimed` reports the result */
	SYC_DECISION_JOIN, /* its submission runs here: wait for the answer */
	SYC_DECISION_ENDED, /* the submission has ended with `outcome` */
	SYC_DECISION_ELSEWHERE, /* query its runner, `instance`, for the answer */
	SYC_DECISION_FORWARD, /* `instance` is the primary: forward there */
	SYC_DECISION_MISMATCH, /* the key was claimed for another body */
	SYC_DECISION_REFUSED /* refused with `outcome` and `reason` */
};

struct syc_claim_result {
	enum syc_claim_decision decision;
	uint64_t instance; /* the runner; the primary for FORWARD */
	enum syc_outcome outcome; /* of an ended or refused claim */
	enum syc_reason reason; /* of an ended or refused claim */
	uint32_t retry_after_ms; /* zero: a retry does not help */
};

struct syc_coord_options {
	struct syc_instance self;
	uint64_t seed; /* of the random delays */
	uint32_t heartbeat_ms;
	uint32_t suspect_ms; /* time without heartbeat until suspicion */
	uint32_t retention_ms; /* age at which an ended claim is dropped */
	size_t claims_max;
	void *ctx;
	/* Sends one message; it may be lost. */
	void (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	/* Reports a pending claim as SYC_DECISION_RUN or _REFUSED. */
	void (*claimed)(void *ctx, const struct syc_claim_key *key,
			const struct syc_claim_result *res);
	/* Reports that the set of live members or the map has changed. */
	void (*changed)(void *ctx);
	/* The store that holds the map of this failure domain. */
	struct syc_platform_ops store;
};

struct syc_coord;

struct syc_coord *syc_coord_new(const struct syc_coord_options *opt,
				int64_t now);
void syc_coord_free(struct syc_coord *c);

/*
 * Sends heartbeats, suspects peers without heartbeat and plans changes of
 * the map. Call it about every 50 ms.
 */
void syc_coord_tick(struct syc_coord *c, int64_t now);

/* Reports an authenticated link to or from `peer`. */
void syc_coord_peer_up(struct syc_coord *c, int64_t now,
		       const struct syc_instance *peer);

/*
 * Reports that the link to `peer` broke. The peer is suspected only after
 * `suspect_ms` without a heartbeat.
 */
void syc_coord_peer_down(struct syc_coord *c, int64_t now, uint64_t peer);

/* Reports that the platform's list, which lags, no longer contains `peer`. */
void syc_coord_peer_unlisted(struct syc_coord *c, int64_t now, uint64_t peer);

/*
 * Handles a message of the types SYC_PEER_HEARTBEAT to
 * SYC_PEER_CLAIM_COPY_ACK. Returns false and changes nothing when the
 * message is malformed.
 */
bool syc_coord_receive(struct syc_coord *c, int64_t now, uint64_t from,
		       struct syc_bytes msg);

/* Sets the bundle version and digest that heartbeats carry. */
void syc_coord_set_bundle(struct syc_coord *c, uint64_t version,
			  const uint8_t digest[SYC_DIGEST_LEN]);

/* Sets the time for which ended claims are kept. */
void syc_coord_set_retention(struct syc_coord *c, uint32_t retention_ms);

/*
 * Claims `key` for a body with `digest`. `ticket_epoch` is the map epoch
 * under which the key was issued as a ticket, or zero for a key chosen by
 * the caller.
 */
struct syc_claim_result syc_coord_claim(struct syc_coord *c, int64_t now,
					const struct syc_claim_key *key,
					const uint8_t digest[SYC_DIGEST_LEN],
					uint64_t ticket_epoch);

/* Looks `key` up with the results of syc_coord_claim, but never claims it. */
struct syc_claim_result syc_coord_lookup(struct syc_coord *c, int64_t now,
					 const struct syc_claim_key *key);

/* Reports the outcome of the submission that `key` claimed. */
void syc_coord_end_claim(struct syc_coord *c, int64_t now,
			 const struct syc_claim_key *key,
			 enum syc_outcome outcome);

/* Epoch of the map; zero before the first map. */
uint64_t syc_coord_epoch(const struct syc_coord *c);

/*
 * Whether this instance may handle keys: it is a member of the map, or it is
 * leaving and has a map. While it leaves and after that, it still forwards
 * keys to their primaries.
 */
bool syc_coord_ready(const struct syc_coord *c);

/* Whether this instance is the primary of `key` in the map that it has. */
bool syc_coord_is_primary(const struct syc_coord *c,
			  const struct syc_claim_key *key);

/*
 * Returns the instance that owns the target `name` by rendezvous hashing
 * over the members of the map; zero when there is no map.
 */
uint64_t syc_coord_owner(const struct syc_coord *c, const char *name);

/*
 * Writes this instance and the other live members, `max` at most, to `out`.
 * Returns how many it wrote.
 */
size_t syc_coord_members(const struct syc_coord *c, struct syc_instance *out,
			 size_t max);

/*
 * Looks up the bundle version in the last heartbeat of peer `id`. Returns
 * false when the peer is unknown.
 */
bool syc_coord_peer_bundle(const struct syc_coord *c, uint64_t id,
			   uint64_t *version);

/*
 * Begins a planned leave, which hands this instance's slices over by a
 * change of the map. syc_coord_has_left returns true once this instance
 * serves no slice.
 */
void syc_coord_leave(struct syc_coord *c, int64_t now);
bool syc_coord_has_left(const struct syc_coord *c);

/* Returns the whole state as JSON text, which the caller frees. */
char *syc_coord_dump(const struct syc_coord *c, int64_t now);

#endif
