/*
 * The state behind struct syc_coord and the calls between its parts. `now`
 * is kept from the last call because the store's callbacks carry no time.
 */
#ifndef COORDINATION_COORD_STATE_H
#define COORDINATION_COORD_STATE_H

#include "coordination/claims.h"
#include "coordination/map_plan.h"
#include "coordination/membership.h"
#include "util/rng.h"

enum {
	RESEND_INTERVAL_MS = 150, /* of an unanswered claim, end or copy */
	COPY_CHUNK_CLAIMS = 512, /* claims in one copy message */
	ENDS_PER_MESSAGE = 512,
	CLAIM_RETRY_MS = 500 /* retry delay named in a refusal */
};

/* The safety rules. A test switches one off to show that it is needed. */
struct coord_rules {
	/* Nothing starts before the backup has acknowledged the claim. */
	bool ack_before_start;
	/* Only a backup with a complete copy becomes the primary. */
	bool complete_before_primary;
	/* A claim under an older map entry is not acknowledged. */
	bool ack_current_entry_only;
	/* A takeover takes effect only by a change of the map in the store. */
	bool takeover_through_store;
	/* A primary that was replaced drops its waiting claims. */
	bool replaced_drops_waiting;
	/* A claim is resent only if its primary was not replaced meanwhile. */
	bool resend_if_still_primary;
	/* Without a complete copy only holders that ended are replaced. */
	bool ended_before_replacement;
};

/* The copy of one slice's claims to its new backup. */
struct slice_copy {
	bool is_active;
	uint64_t chunk_number; /* of the chunk in flight, from 0 */
	uint32_t table_pos; /* of the chunk's start in the table of claims */
	int64_t sent_at; /* ms; zero: unsent */
};

enum store_op { STORE_IDLE = 0, STORE_GET, STORE_CAS };

struct store_call;

struct map_store {
	struct store_call *op_call, *watch_call; /* in flight, or NULL */
	enum store_op op;
	char key[64];
	uint64_t index; /* the store's index of its last known content */
	bool has_index; /* `index` is known */
	bool needs_read;
	bool is_reachable; /* the store answered the last call */
	bool has_forked; /* two histories of the map were seen */
	int64_t next_call_at; /* ms */
	int64_t next_watch_at; /* ms */
	unsigned failures; /* consecutive */
	struct map written_map; /* content of the last write */
	bool is_write_unresolved; /* it is unknown whether it took effect */
	int64_t change_at; /* ms; a planned change is due; zero: none */
};

struct coord_stats {
	uint64_t heartbeats, heartbeat_bytes;
	uint64_t map_msgs, map_bytes;
	uint64_t claim_msgs, claim_bytes;
	uint64_t copy_msgs, copy_bytes;
	uint64_t store_gets, store_writes, store_watches, map_changes;
};

/* All points of time are in ms. */
struct syc_coord {
	struct syc_coord_options opt;
	struct coord_rules rules;
	struct rng rng;
	int64_t created_at, now, last_tick_at;
	int64_t next_heartbeat_at;
	int64_t map_requested_at;
	int64_t map_adopted_at;
	int64_t swept_at;
	struct peers peers;
	struct map map;
	uint64_t complete_slices; /* bits: slices copied here in full */
	uint64_t expected_chunk[SYC_SLICES]; /* of a copy to this instance */
	int64_t loss_seen_at[SYC_SLICES]; /* of the slice's loss mark */
	struct slice_copy copies[SYC_SLICES];
	/* The store must confirm the map before this instance serves alone. */
	bool needs_confirmation;
	bool is_leaving;
	unsigned removals; /* consecutive removals by live members */
	int64_t rejoin_at; /* this instance does not add itself before */
	struct map_store store;
	struct claims claims;
	uint64_t bundle_version;
	uint8_t bundle_digest[SYC_DIGEST_LEN];
	struct coord_stats stats;
};

/* For tests: the rules in force, all on by default. */
struct coord_rules *coord_rules(struct syc_coord *c);

/* coord.c */
void coord_adopt_map(struct syc_coord *c, const struct map *m);
void coord_send(struct syc_coord *c, uint64_t to, struct syc_bytes msg);
/* Sets the time and detects a pause. Every public call with a time calls it. */
void coord_set_now(struct syc_coord *c, int64_t now);

/* membership.c */
void membership_tick(struct syc_coord *c);
void membership_handle_pause(struct syc_coord *c);
bool membership_receive_heartbeat(struct syc_coord *c, struct peer *from,
				  struct syc_bytes msg);
/* Adds the members of the adopted map to the peers. */
void membership_add_members(struct syc_coord *c);
/*
 * Returns the position of this instance among the live members, from 0. An
 * instance outside of the map comes after all of them.
 */
size_t membership_rank(const struct syc_coord *c);
/* Whether peer `id` is alive and may still run what it claimed. */
bool membership_is_alive(const struct syc_coord *c, uint64_t id);

/* map_msgs.c */
void map_send(struct syc_coord *c, uint64_t to);
void map_broadcast(struct syc_coord *c);
void map_request(struct syc_coord *c, uint64_t to);
bool map_receive(struct syc_coord *c, uint64_t from, struct syc_bytes msg);
bool map_receive_request(struct syc_coord *c, uint64_t from,
			 struct syc_bytes msg);

/* map_store.c */
void map_store_init(struct syc_coord *c);
void map_store_free(struct syc_coord *c);
void map_store_tick(struct syc_coord *c);

/* map_plan_input.c: plans the next map from the state of this instance. */
enum plan_result map_plan_from_state(struct syc_coord *c, struct map *next);

/* claim_serve.c */
struct syc_claim_result claim_serve_attempt(struct syc_coord *c,
					    const struct syc_claim_key *key,
					    const uint8_t *digest,
					    uint64_t ticket_epoch);
struct syc_claim_result claim_serve_lookup(const struct syc_coord *c,
					   const struct syc_claim_key *key);
void claim_serve_end(struct syc_coord *c, const struct syc_claim_key *key,
		     enum syc_outcome outcome);
void claim_serve_tick(struct syc_coord *c);
void claim_serve_map_changed(struct syc_coord *c);
void claim_serve_map_confirmed(struct syc_coord *c);
/* Handles the backup's answer to a claim; `ack` is an enum claim_ack. */
void claim_serve_receive_ack(struct syc_coord *c,
			     const struct syc_claim_key *key, uint32_t serial,
			     unsigned ack);

/* claim_msgs.c: a backup's answer to a claim, as sent on the wire. */
enum claim_ack {
	CLAIM_ACK_ACCEPTED = 0,
	CLAIM_ACK_FULL, /* the backup's table of claims is full */
	CLAIM_ACK_CONFLICT /* the backup holds another runner's claim */
};

void claim_send(struct syc_coord *c, const struct claim *claim);
bool claim_receive(struct syc_coord *c, uint64_t from, struct syc_bytes msg);
bool claim_receive_ack(struct syc_coord *c, uint64_t from,
		       struct syc_bytes msg);
bool claim_receive_ends(struct syc_coord *c, uint64_t from,
			struct syc_bytes msg);

void claim_send_ends(struct syc_coord *c, uint64_t to, uint64_t batch,
		     const struct claim_end *ends, size_t n);
void claim_send_ends_ack(struct syc_coord *c, uint64_t to, uint64_t batch);

/* claim_ends.c */
bool claim_ends_apply(struct syc_coord *c, const struct claim_end *end);
void claim_ends_tick(struct syc_coord *c);
void claim_ends_receive_ack(struct syc_coord *c, uint64_t from, uint64_t batch);

/* claim_sweep.c */
void claim_sweep_tick(struct syc_coord *c);

/* coord_dump.c */
char *coord_dump(const struct syc_coord *c);

/* claim_copy.c */
void claim_copy_tick(struct syc_coord *c);
void claim_copy_map_changed(struct syc_coord *c, const struct map *old);
bool claim_copy_receive(struct syc_coord *c, uint64_t from,
			struct syc_bytes msg);
bool claim_copy_receive_ack(struct syc_coord *c, uint64_t from,
			    struct syc_bytes msg);

#endif
