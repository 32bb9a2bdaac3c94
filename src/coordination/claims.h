/*
 * The claims that this instance holds, as runner, primary or backup. A claim
 * says which instance took a key, for which body, and with which outcome.
 */
#ifndef COORDINATION_CLAIMS_H
#define COORDINATION_CLAIMS_H

#include "coordination/map.h"
#include "util/index.h"
#include "util/table.h"

enum {
	CLAIM_DIGEST_LEN = 16, /* bytes kept of the body's digest */
	CLAIM_SWEEP_COUNT = 4096 /* claims examined in one sweep */
};

enum claim_state {
	CLAIM_WAITING = 1, /* not started: the backup has not acknowledged */
	CLAIM_LIVE, /* started, or free to start, at the runner */
	CLAIM_ENDED
};

struct claim {
	struct syc_claim_key key;
	uint8_t digest[CLAIM_DIGEST_LEN];
	uint64_t runner;
	int64_t updated_at; /* ms; when it was made, became live or ended */
	uint32_t serial; /* orders the claims of one runner for one key */
	uint32_t waiting_pos; /* index in `waiting` plus one; zero: none */
	uint8_t slice;
	uint8_t state;
	uint8_t outcome;
};

/* A claim of this instance that waits for the backup's acknowledgement. */
struct waiting_claim {
	struct syc_claim_key key;
	int64_t sent_at; /* ms; of the last send */
	int64_t deadline_at; /* ms */
	uint64_t entry_epoch; /* of the map entry that it was made under */
};

/* The end of a claim, which the other holders have to acknowledge. */
struct claim_end {
	struct syc_claim_key key;
	uint64_t runner;
	uint32_t serial;
	uint8_t outcome;
	uint64_t batch; /* number of the last message with it; zero: unsent */
	uint64_t sent_to;
	int64_t sent_at; /* ms */
};

struct claims {
	struct table table;
	struct index index;
	uint32_t last_serial;
	uint32_t sweep_pos;
	uint64_t last_batch;
	struct waiting_claim *waiting;
	size_t n_waiting, cap_waiting;
	struct claim_end *ends;
	size_t n_ends, cap_ends;
};

void claims_init(struct claims *claims);
void claims_free(struct claims *claims);
struct claim *claims_find(const struct claims *claims,
			  const struct syc_claim_key *key);
struct claim *claims_add(struct claims *claims,
			 const struct syc_claim_key *key);
void claims_remove(struct claims *claims, const struct syc_claim_key *key);

/* Adds a waiting entry for `claim`. */
void claims_add_waiting(struct claims *claims, struct claim *claim,
			int64_t deadline_at, uint64_t entry_epoch);
/* Returns the waiting entry of `claim`, or NULL. */
struct waiting_claim *claims_find_waiting(const struct claims *claims,
					  const struct claim *claim);
void claims_remove_waiting(struct claims *claims, struct claim *claim);

void claims_add_end(struct claims *claims, const struct claim *claim);
void claims_remove_end(struct claims *claims, size_t i);

#endif
