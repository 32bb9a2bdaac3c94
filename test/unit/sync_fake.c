#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bundle_fixture.h"
#include "sync_fake.h"
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
	struct sync_fake_node *node = ctx;
	struct sync_fake *f = node->fake;
	struct sync_fake_msg *m;

	node->sent++;
	if (to > f->n || f->nodes[to - 1].side != node->side)
		return;
	invariant(f->queued < FAKE_QUEUE_MAX);
	m = &f->queue[f->queued++];
	*m = (struct sync_fake_msg){.from = node->id, .to = to};
	buf_add(&m->text, msg.p, msg.n);
}

static void on_adopted(void *ctx, struct syc_bundle *b)
{
	struct sync_fake_node *node = ctx;

	CU_ASSERT_TRUE(b->version > node->version);
	node->version = b->version;
}

static void on_refused(void *ctx, const char *message)
{
	struct sync_fake_node *node = ctx;

	node->refusals++;
	snprintf(node->refused, sizeof(node->refused), "%s", message);
}

static struct sync_fake_call *add_call(
	struct sync_fake_node *node, int kind,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg)
{
	struct sync_fake *f = node->fake;
	size_t i;

	for (i = 0; f->calls[i].kind != CALL_NONE; i++)
		invariant(i + 1 < FAKE_CALLS_MAX);
	f->calls[i] = (struct sync_fake_call){.kind = kind,
					      .node = node,
					      .until = f->now,
					      .done = done,
					      .arg = arg};
	return &f->calls[i];
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
	struct sync_fake_call *c = add_call(ctx, CALL_WATCH, done, arg);

	c->index = index;
	c->until += wait_ms;
}

static void on_cas(void *ctx, const char *key, uint64_t index,
		   struct syc_bytes value,
		   void (*done)(void *arg, const struct syc_platform_value *v),
		   void *arg)
{
	struct sync_fake_call *c = add_call(ctx, CALL_CAS, done, arg);

	c->index = index;
	set_buf(&c->value, value.p, value.n);
}

static void start_node(struct sync_fake *f, size_t i)
{
	struct sync_fake_node *node = &f->nodes[i];
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

	node->fake = f;
	node->id = i + 1;
	node->version = 0;
	node->sync = syc_bundle_sync_new(&opt, f->now);
}

static void end_call(struct sync_fake_call *c)
{
	buf_free(&c->value);
	*c = (struct sync_fake_call){0};
}

static void stop_node(struct sync_fake *f, size_t i)
{
	size_t k;

	for (k = 0; k < FAKE_CALLS_MAX; k++)
		if (f->calls[k].node == &f->nodes[i])
			end_call(&f->calls[k]);
	syc_bundle_sync_free(f->nodes[i].sync);
}

void sync_fake_init(struct sync_fake *f, size_t n, size_t watchers)
{
	size_t i;

	memset(f, 0, sizeof(*f));
	f->now = 1000000;
	f->n = n;
	for (i = 0; i < n; i++) {
		start_node(f, i);
		syc_bundle_sync_set_watcher(f->nodes[i].sync, f->now,
					    i < watchers);
	}
}

void sync_fake_replace(struct sync_fake *f, size_t i)
{
	stop_node(f, i);
	start_node(f, i);
}

void sync_fake_free(struct sync_fake *f)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		stop_node(f, i);
	for (i = 0; i < f->queued; i++)
		buf_free(&f->queue[i].text);
	buf_free(&f->value);
	buf_free(&f->old);
}

static void set_value(struct sync_fake *f, const void *p, size_t n)
{
	set_buf(&f->old, f->value.data, f->value.len);
	f->old_index = f->index;
	set_buf(&f->value, p, n);
	f->index = ++f->changes;
}

void sync_fake_roll(struct sync_fake *f, const struct buf *value)
{
	set_value(f, value->data, value->len);
}

void sync_fake_restore(struct sync_fake *f, const struct buf *value)
{
	set_value(f, value->data, value->len);
}

static void answer(struct sync_fake_call *c, enum syc_platform_status st,
		   const struct buf *value, uint64_t index)
{
	struct syc_platform_value v = {.status = st, .message = "fake"};
	auto_buf struct buf copy = {0};
	struct sync_fake_call call = *c;

	if (value && value->len) {
		buf_add(&copy, value->data, value->len);
		v.index = index;
	}
	v.value = (struct syc_bytes){copy.data, copy.len};
	*c = (struct sync_fake_call){0};
	call.done(call.arg, &v);
	buf_free(&call.value);
}

static void read_call(struct sync_fake *f, struct sync_fake_call *c)
{
	const struct buf *value = f->stale ? &f->old : &f->value;
	uint64_t index = f->stale ? f->old_index : f->index;

	if (c->kind == CALL_WATCH && f->now < c->until && index == c->index)
		return;
	answer(c, value->len ? SYC_PLATFORM_OK : SYC_PLATFORM_ABSENT, value,
	       index);
}

static void cas_call(struct sync_fake *f, struct sync_fake_call *c)
{
	if (c->index != (f->value.len ? f->index : 0)) {
		f->conflicts++;
		answer(c, SYC_PLATFORM_CONFLICT, NULL, 0);
		return;
	}
	f->writes++;
	set_value(f, c->value.data, c->value.len);
	if (f->lose_replies > 0) {
		f->lose_replies--;
		answer(c, SYC_PLATFORM_UNCERTAIN, NULL, 0);
		return;
	}
	answer(c, SYC_PLATFORM_OK, NULL, 0);
}

static void run_store(struct sync_fake *f)
{
	size_t i;

	for (i = 0; i < FAKE_CALLS_MAX; i++) {
		struct sync_fake_call *c = &f->calls[i];

		if (c->kind == CALL_NONE)
			continue;
		if (c->node->store_cut)
			answer(c, SYC_PLATFORM_UNREACHABLE, NULL, 0);
		else if (c->kind == CALL_CAS)
			cas_call(f, c);
		else
			read_call(f, c);
	}
}

void sync_fake_deliver(struct sync_fake *f, size_t from, size_t to,
		       struct syc_bytes msg)
{
	struct sync_fake_node *node = &f->nodes[to];

	node->received += msg.n;
	syc_bundle_sync_receive(node->sync, f->now, f->nodes[from].id, msg);
}

static void run_network(struct sync_fake *f)
{
	size_t i;

	for (i = 0; i < f->queued; i++) {
		struct sync_fake_msg m = f->queue[i];

		sync_fake_deliver(f, m.from - 1, m.to - 1,
				  (struct syc_bytes){m.text.data, m.text.len});
		buf_free(&f->queue[i].text);
	}
	f->queued = 0;
}

/* Heartbeats: everybody hears the versions of its side. */
static void run_heartbeats(struct sync_fake *f)
{
	size_t i, k;

	for (i = 0; i < f->n; i++)
		for (k = 0; k < f->n; k++)
			if (i != k && f->nodes[i].side == f->nodes[k].side)
				syc_bundle_sync_peer_version(
					f->nodes[i].sync, f->now,
					f->nodes[k].id, f->nodes[k].version);
}

void sync_fake_run(struct sync_fake *f, int64_t ms)
{
	int64_t end = f->now + ms;
	size_t i;

	for (; f->now < end; f->now += FAKE_STEP_MS) {
		run_store(f);
		run_network(f);
		run_heartbeats(f);
		for (i = 0; i < f->n; i++)
			syc_bundle_sync_tick(f->nodes[i].sync, f->now);
	}
}

size_t sync_fake_on(const struct sync_fake *f, uint64_t version)
{
	size_t i, n = 0;

	for (i = 0; i < f->n; i++)
		n += f->nodes[i].version == version;
	return n;
}
