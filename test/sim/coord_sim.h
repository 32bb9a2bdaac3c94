/*
 * Several coordination instances in one process on a virtual clock. The store
 * fails in the ways of the platform's store, and messages are delayed,
 * dropped, duplicated, reordered and cut off. All events follow from one seed.
 */
#ifndef TEST_COORD_SIM_H
#define TEST_COORD_SIM_H

#include "coordination/coord_state.h"
#include "util/rng.h"

enum {
	COORD_SIM_NODES_MAX = 64,
	COORD_SIM_KEYS_MAX = 4096,
	COORD_SIM_TICK_MS = 50,
	COORD_SIM_HEARTBEAT_MS = 400,
	COORD_SIM_SUSPECT_MS = 1600,
	COORD_SIM_RETENTION_MS = 3600 * 1000,
	COORD_SIM_STORE_HISTORY = 64 /* contents kept for a restore */
};

enum coord_sim_event_kind {
	EV_TICK,
	EV_MSG,
	EV_LINK_UP,
	EV_STORE_CALL, /* a call reaches the store */
	EV_STORE_REPLY, /* the store's reply reaches the instance */
	EV_WATCH_CHECK, /* the store checks a waiting watch */
	EV_SUBMIT,
	EV_RUN_END,
	EV_LISTED_GONE /* the platform's list shows that an instance ended */
};

struct coord_sim_call {
	enum { CALL_GET, CALL_CAS, CALL_WATCH } kind;
	uint64_t index;
	char *value;
	int64_t wait_ends_at; /* ms; of a watch */
	enum syc_platform_status status;
	void (*done)(void *arg, const struct syc_platform_value *v);
	void *arg;
};

struct coord_sim_event {
	int64_t at; /* ms */
	uint64_t seq;
	enum coord_sim_event_kind kind;
	int node;
	uint64_t id; /* id of the instance that the event is for */
	uint64_t from; /* id of the sender, or the linked or ended instance */
	unsigned key;
	unsigned hops_or_outcome; /* EV_SUBMIT: hops; EV_RUN_END: outcome */
	char *data;
	size_t len;
	struct coord_sim_call call;
};

/* A place that runs one instance at a time or none. */
struct coord_sim_node {
	struct coord_sim *sim;
	int index;
	struct syc_coord *coord; /* NULL: no instance runs */
	struct syc_instance instance;
	bool paused;
	bool store_cut;
};

struct coord_sim_key {
	struct syc_claim_key key;
	uint64_t ticket; /* epoch; zero: the caller made up the key */
	bool submitted;
	unsigned starts;
	uint64_t started_by;
	int64_t last_start_at;
	unsigned refusals, pending;
};

struct coord_sim_store {
	char *history[COORD_SIM_STORE_HISTORY];
	size_t n_history; /* the last element is the content */
	uint64_t index;
	bool down;
	bool silent; /* calls in flight meanwhile get no answer */
	unsigned delay_max_ms;
	unsigned lost_reply_percent; /* of the applied writes */
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
	unsigned drop_percent, duplicate_percent;
	unsigned delay_max_ms; /* longest delay of a message */
	uint64_t blocked_types; /* bits: message types that are dropped */
	struct coord_sim_store store;
	struct coord_sim_key keys[COORD_SIM_KEYS_MAX];
	unsigned n_keys;
	struct coord_rules rules;
	unsigned not_run_percent; /* share of jobs that end without a start */
	unsigned list_delay_ms; /* until the list shows an instance's end */
	bool keeps_addr; /* all instances of a node have one address */
	uint32_t heartbeat_ms, suspect_ms;
	bool quiet;
	/* violated guarantees */
	unsigned second_starts, false_not_run, recovery_failures;
	uint64_t runs, refusals, joins, redirects;
};

void coord_sim_init(struct coord_sim *sim, uint64_t seed, int n_nodes);
void coord_sim_free(struct coord_sim *sim);
void coord_sim_start(struct coord_sim *sim, int node);
void coord_sim_kill(struct coord_sim *sim, int node);
void coord_sim_set_paused(struct coord_sim *sim, int node, bool paused);
void coord_sim_submit(struct coord_sim *sim, int node, unsigned key);
/* Runs for `ms` of virtual time. */
void coord_sim_run(struct coord_sim *sim, int64_t ms);
/* Cuts the link from node `a` to `b`, and from `b` to `a` if `both`. */
void coord_sim_cut_link(struct coord_sim *sim, int a, int b, bool both);
/* Cuts a node from all others and from the store. */
void coord_sim_isolate(struct coord_sim *sim, int node);
void coord_sim_heal(struct coord_sim *sim);
/* Sets the store back to its content before the last `changes_ago` writes. */
void coord_sim_restore_store(struct coord_sim *sim, size_t changes_ago);
/* Returns the epoch of the map in the store; zero for none. */
uint64_t coord_sim_store_epoch(const struct coord_sim *sim);
/*
 * Returns whether all live instances agree on one map and every slice has a
 * copy.
 */
bool coord_sim_is_settled(const struct coord_sim *sim);

/*
 * Initialises the simulation, runs it with random faults for `ms` of virtual
 * time and then without. Returns the number of violated guarantees.
 */
unsigned coord_sim_run_random(struct coord_sim *sim, uint64_t seed, int64_t ms);

#endif
