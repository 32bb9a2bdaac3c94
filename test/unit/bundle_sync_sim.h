/*
 * Several bundle syncs on a virtual clock, with a store and a network that
 * can be cut. One step is STEP_MS long.
 */
#ifndef TEST_BUNDLE_SYNC_SIM_H
#define TEST_BUNDLE_SYNC_SIM_H

#include "sycamoreshore/bundle_sync.h"
#include "util/buf.h"

enum {
	BUNDLE_SIM_NODES_MAX = 32,
	BUNDLE_SIM_CALLS_MAX = 64,
	BUNDLE_SIM_QUEUE_MAX = 256,
	BUNDLE_SIM_STEP_MS = 50,
	BUNDLE_SIM_DELAY_MS = 1
};

struct bundle_sim;

struct bundle_sim_node {
	struct bundle_sim *fake;
	uint64_t id; /* its place plus one */
	struct syc_bundle_sync *sync;
	int side; /* only nodes of one side hear each other */
	bool store_cut;
	uint64_t version; /* last adopted; must only rise */
	int refusals;
	char refused[320]; /* the last message */
	uint64_t received_bytes; /* bytes from peers */
	uint64_t sent; /* messages to peers */
};

struct bundle_sim_call {
	enum { CALL_NONE, CALL_READ, CALL_WATCH, CALL_CAS } kind;
	struct bundle_sim_node *node;
	uint64_t index;
	int64_t until;
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
	uint64_t index;
	uint64_t changes; /* of the key's index */
	struct buf old;
	uint64_t old_index;
	bool stale; /* reads answer `old` */
	int lose_replies; /* so many next writes */
	int writes, conflicts;
};

void bundle_sim_init(struct bundle_sim *f, size_t n, size_t watchers);
void bundle_sim_free(struct bundle_sim *f);
/* Ends one instance and starts another in its place. */
void bundle_sim_replace(struct bundle_sim *f, size_t i);
/* Puts a value into the store, as an operator would. */
void bundle_sim_publish(struct bundle_sim *f, const struct buf *value);
void bundle_sim_restore(struct bundle_sim *f, const struct buf *value);
/* Lets `ms` pass. */
void bundle_sim_run(struct bundle_sim *f, int64_t ms);
/* How many instances are on `version`. */
size_t bundle_sim_count_on(const struct bundle_sim *f, uint64_t version);
/* Delivers a message to node `to` as if `from` had sent it. */
void bundle_sim_deliver(struct bundle_sim *f, size_t from, size_t to,
			struct syc_bytes msg);

#endif
