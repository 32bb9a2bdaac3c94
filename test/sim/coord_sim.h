/*
 * Several coordination instances in one process on a virtual clock, with a
 * store that fails in the platform's ways and messages that are delayed,
 * dropped, repeated, reordered and cut. All that happens follows from one
 * seed.
 */
#ifndef TEST_COORD_SIM_H
#define TEST_COORD_SIM_H

#include "coordination/coord_state.h"
#include "util/rng.h"

enum {
	COORD_SIM_NODES_MAX = 64, /* places of instances */
	COORD_SIM_KEYS_MAX = 4096,
	COORD_SIM_TICK_MS = 50,
	COORD_SIM_HEARTBEAT_MS = 400,
	COORD_SIM_SUSPECT_MS = 1600,
	COORD_SIM_RETENTION_MS = 3600 * 1000,
	COORD_SIM_STORE_HISTORY = 64 /* contents kept to be restored */
};

enum coord_sim_event_kind {
	EV_TICK,
	EV_MSG,
	EV_LINK,
	EV_STORE, /* the store takes a call */
	EV_REPLY, /* its reply arrives */
	EV_WATCH, /* a watch looks again */
	EV_SUBMIT,
	EV_END,
	EV_GONE /* the platform's list names a dead instance */
};

struct coord_sim_call {
	enum { CALL_GET, CALL_CAS, CALL_WATCH } kind;
	uint64_t index;
	char *value;
	int64_t until;
	enum syc_platform_status status;
	void (*done)(void *arg, const struct syc_platform_value *v);
	void *arg;
};

struct coord_sim_event {
	int64_t at;
	uint64_t seq;
	enum coord_sim_event_kind kind;
	int node; /* place */
	uint64_t id; /* incarnation that it is for */
	uint64_t from;
	unsigned key, hops;
	char *data;
	size_t len;
	struct coord_sim_call call;
};

struct coord_sim_node {
	struct coord_sim *sim;
	int place;
	struct syc_coord *coord; /* NULL: dead */
	struct syc_instance inst;
	bool paused;
	bool store_cut;
};

struct coord_sim_key {
	struct syc_claim_key key;
	uint64_t ticket; /* epoch, zero: made up by the caller */
	bool submitted;
	unsigned starts;
	uint64_t started_by;
	int64_t first_start;
	unsigned refusals, pending;
};

struct coord_sim_store {
	char *history[COORD_SIM_STORE_HISTORY];
	size_t n_history; /* the last one is the content */
	uint64_t index;
	bool down;
	unsigned delay_max_ms;
	unsigned lost_reply_percent; /* replies lost after the effect */
	unsigned stale_read_percent;
	uint64_t reads, writes;
};

struct coord_sim {
	struct rng rng;
	int64_t now;
	uint64_t seq, next_id;
	struct coord_sim_event *heap;
	size_t n_heap, cap_heap;
	int n_nodes;
	struct coord_sim_node nodes[COORD_SIM_NODES_MAX];
	bool cut[COORD_SIM_NODES_MAX][COORD_SIM_NODES_MAX]; /* from, to */
	unsigned drop_percent, duplicate_percent, delay_ms;
	uint64_t blocked_types; /* types of message that are dropped */
	struct coord_sim_store store;
	struct coord_sim_key keys[COORD_SIM_KEYS_MAX];
	unsigned n_keys;
	struct coord_rules rules;
	unsigned not_run_percent; /* jobs that end without a start */
	unsigned list_delay_ms;
	bool keeps_addr; /* a later start gets its place's address again */
	uint32_t heartbeat_ms, suspect_ms;
	bool quiet;
	/* broken promises */
	unsigned second_starts, false_not_run, recovery_failures;
	uint64_t runs, refusals, joins, redirects;
};

void coord_sim_init(struct coord_sim *s, uint64_t seed, int n_nodes);
void coord_sim_free(struct coord_sim *s);
void coord_sim_start(struct coord_sim *s, int place);
void coord_sim_kill(struct coord_sim *s, int place);
void coord_sim_set_paused(struct coord_sim *s, int place, bool paused);
void coord_sim_submit(struct coord_sim *s, int place, unsigned key);
/* Runs until `ms` later. */
void coord_sim_run(struct coord_sim *s, int64_t ms);
/* Cuts the ways between two places; `both` or only from a to b. */
void coord_sim_cut_link(struct coord_sim *s, int a, int b, bool both);
/* Cuts a place from all others and from the store. */
void coord_sim_isolate(struct coord_sim *s, int place);
void coord_sim_heal(struct coord_sim *s);
/* Puts content back that is `behind` changes old. */
void coord_sim_restore_store(struct coord_sim *s, size_t behind);
/* The epoch of the map that the store holds; zero for none. */
uint64_t coord_sim_store_epoch(const struct coord_sim *s);
/* Whether all live instances agree on one whole map. */
bool coord_sim_is_settled(const struct coord_sim *s);

/* One randomised run; returns the number of broken promises. */
unsigned coord_sim_run_random(struct coord_sim *s, uint64_t seed, int64_t ms);

#endif
