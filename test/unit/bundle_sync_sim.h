/*
 * Several bundle syncs on a virtual clock, with one store and a network that
 * can be partitioned.
 */
#ifndef TEST_BUNDLE_SYNC_SIM_H
#define TEST_BUNDLE_SYNC_SIM_H

#include "sycamoreshore/bundle_sync.h"
#include "util/buf.h"

enum {
	BUNDLE_SIM_NODES_MAX = 32,
	BUNDLE_SIM_CALLS_MAX = 64,
	BUNDLE_SIM_QUEUE_MAX = 256,
	BUNDLE_SIM_STEP_MS = 50, /* of the virtual clock */
	BUNDLE_SIM_DELAY_MS = 1,
	BUNDLE_SIM_TIMEOUT_MS = 2000 /* of a call; a watch adds its wait */
};

struct bundle_sim;

/* A place that runs one instance at a time or none. */
struct bundle_sim_node {
	struct bundle_sim *sim;
	uint64_t id; /* the node's index plus one */
	struct syc_bundle_sync *sync;
	int partition; /* messages reach only nodes of the same partition */
	bool store_cut;
	uint64_t version; /* last adopted version; it must only rise */
	int refusals;
	char last_refusal[320];
	uint64_t received_bytes; /* from peers */
	uint64_t sent_messages; /* to peers */
};

struct bundle_sim_call {
	enum { CALL_NONE, CALL_READ, CALL_WATCH, CALL_CAS } kind;
	struct bundle_sim_node *node;
	uint64_t index;
	int64_t wait_ends_at; /* ms; of a watch */
	int64_t lost_until; /* ms; it gets no answer before; zero: not lost */
	struct buf value;
	void (*done)(void *arg, const struct syc_platform_value *v);
	void *arg;
};

struct bundle_sim_msg {
	uint64_t from, to;
	struct buf text;
};

struct bundle_sim {
	int64_t now;
	size_t n;
	struct bundle_sim_node nodes[BUNDLE_SIM_NODES_MAX];
	struct bundle_sim_call calls[BUNDLE_SIM_CALLS_MAX];
	struct bundle_sim_msg queue[BUNDLE_SIM_QUEUE_MAX];
	size_t queued;
	/* the store */
	struct buf value; /* empty: absent */
	uint64_t index; /* of `value` */
	uint64_t last_index; /* highest index given to any value */
	struct buf old_value;
	uint64_t old_index;
	bool has_stale_reads; /* reads return `old_value` */
	bool silent; /* calls in flight meanwhile get no answer */
	int replies_to_lose; /* number of next writes that get no reply */
	int writes, conflicts;
};

void bundle_sim_init(struct bundle_sim *sim, size_t n, size_t watchers);
void bundle_sim_free(struct bundle_sim *sim);
/* Ends the instance of node `i` and starts another there. */
void bundle_sim_replace(struct bundle_sim *sim, size_t i);
/* Writes a value into the store, as an operator does. */
void bundle_sim_publish(struct bundle_sim *sim, const struct buf *value);
/* Sets the store back to an earlier value; an empty one wipes it. */
void bundle_sim_restore(struct bundle_sim *sim, const struct buf *value);
/* Runs for `ms` of virtual time. */
void bundle_sim_run(struct bundle_sim *sim, int64_t ms);
/* Returns how many instances have adopted `version`. */
size_t bundle_sim_count_adopted(const struct bundle_sim *sim, uint64_t version);
/* Delivers a message to node `to` with node `from` as the sender. */
void bundle_sim_deliver(struct bundle_sim *sim, size_t from, size_t to,
			struct syc_bytes msg);

#endif
