/*
 * Example that embeds the coordination: two instances of one failure domain
 * in one program with a store of one key and a message queue. One instance
 * claims a key. A second submission of the key at the other instance is not
 * started again.
 *
 * A real program sends messages over its own transport, passes store calls
 * to its own client and takes `now` from its clock.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sycamoreshore/coord.h"

enum { NODES = 2, QUEUE_MAX = 4096, STEP_MS = 10 };

struct message {
	uint64_t from;
	uint64_t to;
	void *p;
	size_t n;
};

struct node {
	struct syc_instance self;
	struct syc_coord *coord;
	bool started; /* the key was started here */
};

static struct node nodes[NODES];
static struct message queue[QUEUE_MAX];
static size_t queue_len;
static int64_t now = 1;

static struct {
	char *value;
	size_t len;
	uint64_t index;
} store;

static void send_message(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct node *n = ctx;
	struct message *m = &queue[queue_len];

	if (queue_len == QUEUE_MAX)
		return; /* the coordination tolerates lost messages */
	m->from = n->self.id;
	m->to = to;
	m->p = malloc(msg.n);
	if (!m->p)
		return;
	memcpy(m->p, msg.p, msg.n);
	m->n = msg.n;
	queue_len++;
}

static void on_claimed(void *ctx, const struct syc_claim_key *key,
		       const struct syc_claim_result *res)
{
	struct node *n = ctx;

	(void)key;
	if (res->decision == SYC_DECISION_RUN)
		n->started = true;
}

static void on_changed(void *ctx)
{
	(void)ctx;
}

static void store_get(void *ctx, const char *key,
		      void (*done)(void *arg,
				   const struct syc_platform_value *v),
		      void *arg)
{
	struct syc_platform_value v = {.message = "", .index = store.index};

	(void)ctx;
	(void)key;
	v.status = store.index ? SYC_PLATFORM_OK : SYC_PLATFORM_ABSENT;
	v.value.p = store.value;
	v.value.n = store.len;
	done(arg, &v);
}

static void store_cas(
	void *ctx, const char *key, uint64_t index, struct syc_bytes value,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg)
{
	struct syc_platform_value v = {.message = "",
				       .status = SYC_PLATFORM_CONFLICT};
	char *copy = malloc(value.n + 1);

	(void)ctx;
	(void)key;
	if (copy && index == store.index) {
		memcpy(copy, value.p, value.n);
		free(store.value);
		store.value = copy;
		copy = NULL;
		store.len = value.n;
		v.index = ++store.index;
		v.status = SYC_PLATFORM_OK;
	}
	free(copy);
	done(arg, &v);
}

/* Answers at once; a real store waits until the key changes. */
static void store_watch(
	void *ctx, const char *key, uint64_t index, uint32_t wait_ms,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg)
{
	(void)index;
	(void)wait_ms;
	store_get(ctx, key, done, arg);
}

static void start_node(int i)
{
	struct node *n = &nodes[i];
	struct syc_coord_options opt = {
		.seed = (uint64_t)i + 1,
		.heartbeat_ms = 200,
		.suspect_ms = 1500,
		.retention_ms = 900000,
		.claims_max = 1000,
		.ctx = n,
		.send = send_message,
		.claimed = on_claimed,
		.changed = on_changed,
		.store = {.get = store_get,
			  .cas = store_cas,
			  .watch = store_watch},
	};

	n->self.id = (uint64_t)i + 1;
	snprintf(n->self.name, sizeof(n->self.name), "node-%d", i);
	snprintf(n->self.domain, sizeof(n->self.domain), "east");
	snprintf(n->self.rack, sizeof(n->self.rack), "rack-%d", i);
	snprintf(n->self.peer_addr.ip, sizeof(n->self.peer_addr.ip),
		 "127.0.0.1");
	n->self.peer_addr.port = (uint16_t)(9000 + i);
	opt.self = n->self;
	n->coord = syc_coord_new(&opt, now);
}

static void deliver(const struct message *m)
{
	struct syc_bytes msg = {m->p, m->n};

	syc_coord_receive(nodes[m->to - 1].coord, now, m->from, msg);
	free(m->p);
}

static void run_for(int64_t ms)
{
	int64_t until = now + ms;
	size_t i;

	for (; now < until; now += STEP_MS) {
		for (i = 0; i < queue_len; i++)
			deliver(&queue[i]);
		queue_len = 0;
		for (i = 0; i < NODES; i++)
			syc_coord_tick(nodes[i].coord, now);
	}
}

/* Submits the key at node `i`, or at the node to which node `i` forwards it. */
static enum syc_claim_decision submit(int i, const struct syc_claim_key *key)
{
	const uint8_t digest[SYC_DIGEST_LEN] = {7};
	struct syc_claim_result res;

	res = syc_coord_claim(nodes[i].coord, now, key, digest, 0);
	if (res.decision == SYC_DECISION_FORWARD)
		return submit((int)res.instance - 1, key);
	if (res.decision == SYC_DECISION_RUN)
		nodes[i].started = true;
	run_for(100);
	return res.decision;
}

int main(void)
{
	const struct syc_claim_key key = {{1, 2, 3}};
	enum syc_claim_decision second;
	int i;

	for (i = 0; i < NODES; i++)
		start_node(i);
	syc_coord_peer_up(nodes[0].coord, now, &nodes[1].self);
	syc_coord_peer_up(nodes[1].coord, now, &nodes[0].self);
	run_for(5000);
	submit(0, &key);
	second = submit(1, &key);
	printf("started at node 0: %d, at node 1: %d; second submission: %s\n",
	       nodes[0].started, nodes[1].started,
	       second == SYC_DECISION_JOIN ? "joins the first" : "unexpected");
	for (i = 0; i < NODES; i++)
		syc_coord_free(nodes[i].coord);
	while (queue_len)
		free(queue[--queue_len].p);
	free(store.value);
	return second != SYC_DECISION_JOIN ||
	       nodes[0].started + nodes[1].started != 1;
}
