#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bundle_fixture.h"
#include "bundle_sync_sim.h"
#include "unit.h"
#include "util/invariant.h"

static void set_buf(struct buf *b, const void *p, size_t n)
{
	struct buf next = {0};

	if (n)
		buf_add(&next, p, n);
	buf_free(b);
	*b = next;
}

static void on_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct bundle_sim_node *node = ctx;
	struct bundle_sim *sim = node->sim;
	struct bundle_sim_msg *m;

	node->sent_messages++;
	if (to > sim->n || sim->nodes[to - 1].partition != node->partition)
		return;
	invariant(sim->queued < BUNDLE_SIM_QUEUE_MAX);
	m = &sim->queue[sim->queued++];
	*m = (struct bundle_sim_msg){.from = node->id, .to = to};
	buf_add(&m->text, msg.p, msg.n);
}

static void on_adopted(void *ctx, struct syc_bundle *b)
{
	struct bundle_sim_node *node = ctx;

	CU_ASSERT_TRUE(b->version > node->version);
	node->version = b->version;
}

static void on_refused(void *ctx, const char *message)
{
	struct bundle_sim_node *node = ctx;

	node->refusals++;
	snprintf(node->last_refusal, sizeof(node->last_refusal), "%s", message);
}

static struct bundle_sim_call *add_call(
	struct bundle_sim_node *node, int kind,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg)
{
	struct bundle_sim *sim = node->sim;
	size_t i;

	for (i = 0; sim->calls[i].kind != CALL_NONE; i++)
		invariant(i + 1 < BUNDLE_SIM_CALLS_MAX);
	sim->calls[i] = (struct bundle_sim_call){.kind = kind,
						 .node = node,
						 .wait_ends_at = sim->now,
						 .done = done,
						 .arg = arg};
	return &sim->calls[i];
}

static void on_get(void *ctx, const char *key,
		   void (*done)(void *arg, const struct syc_platform_value *v),
		   void *arg)
{
	add_call(ctx, CALL_READ, done, arg);
}

static void on_watch(
	void *ctx, const char *key, uint64_t index, uint32_t wait_ms,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg)
{
	struct bundle_sim_call *c = add_call(ctx, CALL_WATCH, done, arg);

	c->index = index;
	c->wait_ends_at += wait_ms;
}

static void on_cas(void *ctx, const char *key, uint64_t index,
		   struct syc_bytes value,
		   void (*done)(void *arg, const struct syc_platform_value *v),
		   void *arg)
{
	struct bundle_sim_call *c = add_call(ctx, CALL_CAS, done, arg);

	c->index = index;
	set_buf(&c->value, value.p, value.n);
}

static void start_node(struct bundle_sim *sim, size_t i)
{
	struct bundle_sim_node *node = &sim->nodes[i];
	struct syc_bundle_sync_options opt = {
		.trusted = fixture_trusted,
		.n_trusted = FIXTURE_TRUSTED,
		.ctx = node,
		.send = on_send,
		.adopted = on_adopted,
		.refused = on_refused,
		.store = {.ctx = node,
			  .get = on_get,
			  .cas = on_cas,
			  .watch = on_watch},
	};

	node->sim = sim;
	node->id = i + 1;
	node->version = 0;
	node->sync = syc_bundle_sync_new(&opt, sim->now);
}

static void end_call(struct bundle_sim_call *c)
{
	buf_free(&c->value);
	*c = (struct bundle_sim_call){0};
}

static void stop_node(struct bundle_sim *sim, size_t i)
{
	size_t k;

	for (k = 0; k < BUNDLE_SIM_CALLS_MAX; k++)
		if (sim->calls[k].node == &sim->nodes[i])
			end_call(&sim->calls[k]);
	syc_bundle_sync_free(sim->nodes[i].sync);
}

void bundle_sim_init(struct bundle_sim *sim, size_t n, size_t watchers)
{
	size_t i;

	memset(sim, 0, sizeof(*sim));
	sim->now = 1000000;
	sim->n = n;
	for (i = 0; i < n; i++) {
		start_node(sim, i);
		syc_bundle_sync_set_watcher(sim->nodes[i].sync, sim->now,
					    i < watchers);
	}
}

void bundle_sim_replace(struct bundle_sim *sim, size_t i)
{
	stop_node(sim, i);
	start_node(sim, i);
}

void bundle_sim_free(struct bundle_sim *sim)
{
	size_t i;

	for (i = 0; i < sim->n; i++)
		stop_node(sim, i);
	for (i = 0; i < sim->queued; i++)
		buf_free(&sim->queue[i].text);
	buf_free(&sim->value);
	buf_free(&sim->old_value);
}

static void set_value(struct bundle_sim *sim, const void *p, size_t n)
{
	set_buf(&sim->old_value, sim->value.data, sim->value.len);
	sim->old_index = sim->index;
	set_buf(&sim->value, p, n);
	sim->index = ++sim->last_index;
}

void bundle_sim_publish(struct bundle_sim *sim, const struct buf *value)
{
	set_value(sim, value->data, value->len);
}

void bundle_sim_restore(struct bundle_sim *sim, const struct buf *value)
{
	set_value(sim, value->data, value->len);
}

static void reply(struct bundle_sim_call *c, enum syc_platform_status st,
		  const struct buf *value, uint64_t index)
{
	struct syc_platform_value v = {.status = st, .message = "fake"};
	auto_buf struct buf copy = {0};
	struct bundle_sim_call call = *c;

	if (value && value->len) {
		buf_add(&copy, value->data, value->len);
		v.index = index;
	}
	v.value = (struct syc_bytes){copy.data, copy.len};
	*c = (struct bundle_sim_call){0};
	call.done(call.arg, &v);
	buf_free(&call.value);
}

static void process_read(struct bundle_sim *sim, struct bundle_sim_call *c)
{
	const struct buf *value = sim->has_stale_reads ? &sim->old_value
						       : &sim->value;
	uint64_t index = sim->has_stale_reads ? sim->old_index : sim->index;

	if (c->kind == CALL_WATCH && sim->now < c->wait_ends_at &&
	    index == c->index)
		return;
	reply(c, value->len ? SYC_PLATFORM_OK : SYC_PLATFORM_ABSENT, value,
	      index);
}

static void process_cas(struct bundle_sim *sim, struct bundle_sim_call *c)
{
	if (c->index != (sim->value.len ? sim->index : 0)) {
		sim->conflicts++;
		reply(c, SYC_PLATFORM_CONFLICT, NULL, 0);
		return;
	}
	sim->writes++;
	set_value(sim, c->value.data, c->value.len);
	if (sim->replies_to_lose > 0) {
		sim->replies_to_lose--;
		reply(c, SYC_PLATFORM_UNCERTAIN, NULL, 0);
		return;
	}
	reply(c, SYC_PLATFORM_OK, NULL, 0);
}

static void lose(const struct bundle_sim *sim, struct bundle_sim_call *c)
{
	int64_t from = c->kind == CALL_WATCH ? c->wait_ends_at : sim->now;

	if (!c->lost_until)
		c->lost_until = from + BUNDLE_SIM_TIMEOUT_MS;
}

static void run_store(struct bundle_sim *sim)
{
	size_t i;

	for (i = 0; i < BUNDLE_SIM_CALLS_MAX; i++) {
		struct bundle_sim_call *c = &sim->calls[i];

		if (c->kind == CALL_NONE)
			continue;
		if (sim->silent)
			lose(sim, c);
		if (c->lost_until > sim->now)
			continue;
		if (c->node->store_cut || c->lost_until)
			reply(c, SYC_PLATFORM_UNREACHABLE, NULL, 0);
		else if (c->kind == CALL_CAS)
			process_cas(sim, c);
		else
			process_read(sim, c);
	}
}

void bundle_sim_deliver(struct bundle_sim *sim, size_t from, size_t to,
			struct syc_bytes msg)
{
	struct bundle_sim_node *node = &sim->nodes[to];

	node->received_bytes += msg.n;
	syc_bundle_sync_receive(node->sync, sim->now, sim->nodes[from].id, msg);
}

static void run_network(struct bundle_sim *sim)
{
	size_t i;

	for (i = 0; i < sim->queued; i++) {
		struct bundle_sim_msg m = sim->queue[i];

		bundle_sim_deliver(sim, m.from - 1, m.to - 1,
				   (struct syc_bytes){m.text.data, m.text.len});
		buf_free(&sim->queue[i].text);
	}
	sim->queued = 0;
}

/* Heartbeats report each node's version to the rest of its partition. */
static void run_heartbeats(struct bundle_sim *sim)
{
	size_t i, k;

	for (i = 0; i < sim->n; i++)
		for (k = 0; k < sim->n; k++)
			if (i != k &&
			    sim->nodes[i].partition == sim->nodes[k].partition)
				syc_bundle_sync_peer_version(
					sim->nodes[i].sync, sim->now,
					sim->nodes[k].id,
					sim->nodes[k].version);
}

void bundle_sim_run(struct bundle_sim *sim, int64_t ms)
{
	int64_t end = sim->now + ms;
	size_t i;

	for (; sim->now < end; sim->now += BUNDLE_SIM_STEP_MS) {
		run_store(sim);
		run_network(sim);
		run_heartbeats(sim);
		for (i = 0; i < sim->n; i++)
			syc_bundle_sync_tick(sim->nodes[i].sync, sim->now);
	}
}

size_t bundle_sim_count_adopted(const struct bundle_sim *sim, uint64_t version)
{
	size_t i, n = 0;

	for (i = 0; i < sim->n; i++)
		n += sim->nodes[i].version == version;
	return n;
}
