/* The store, with the faults of the platform's store. */
#include <stdlib.h>
#include <string.h>

#include "coord_sim_internal.h"
#include "util/alloc.h"

enum { STORE_TIMEOUT_MS = 2000 /* of a call; a watch adds its wait */ };

static const char *content_before(const struct coord_sim *sim,
				  size_t changes_ago)
{
	const struct coord_sim_store *store = &sim->store;

	if (changes_ago >= store->n_history)
		return NULL;
	return store->history[store->n_history - 1 - changes_ago];
}

static void set_content(struct coord_sim *sim, const char *text)
{
	struct coord_sim_store *store = &sim->store;

	if (store->n_history == COORD_SIM_STORE_HISTORY) {
		free(store->history[0]);
		memmove(store->history, store->history + 1,
			sizeof(*store->history) *
				(COORD_SIM_STORE_HISTORY - 1));
		store->n_history--;
	}
	store->history[store->n_history++] = xstrdup(text);
	store->index++;
}

void coord_sim_restore_store(struct coord_sim *sim, size_t changes_ago)
{
	const char *text = content_before(sim, changes_ago);

	if (text)
		set_content(sim, text);
}

uint64_t coord_sim_store_epoch(const struct coord_sim *sim)
{
	const char *text = content_before(sim, 0);
	struct syc_bytes encoded = {text, text ? strlen(text) : 0};
	struct map m;

	return text && map_decode(&m, encoded) == COORDINATION_OK ? m.epoch : 0;
}

static void queue_call(struct coord_sim_node *n, struct coord_sim_call call)
{
	struct coord_sim *sim = n->sim;
	struct coord_sim_event ev = {.kind = EV_STORE_CALL,
				     .node = n->index,
				     .id = n->instance.id,
				     .call = call};

	ev.at = sim->now + 1 +
		(int64_t)rng_below(&sim->rng, sim->store.delay_max_ms + 3);
	coord_sim_push(sim, ev);
}

void coord_sim_on_get(void *ctx, const char *key,
		      void (*done)(void *arg,
				   const struct syc_platform_value *v),
		      void *arg)
{
	struct coord_sim_call call = {
		.kind = CALL_GET, .done = done, .arg = arg};

	queue_call(ctx, call);
}

void coord_sim_on_cas(
	void *ctx, const char *key, uint64_t index, struct syc_bytes value,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg)
{
	struct coord_sim_call call = {
		.kind = CALL_CAS, .index = index, .done = done, .arg = arg};

	call.value = xcalloc(1, value.n + 1);
	memcpy(call.value, value.p, value.n);
	queue_call(ctx, call);
}

void coord_sim_on_watch(
	void *ctx, const char *key, uint64_t index, uint32_t wait_ms,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg)
{
	struct coord_sim_node *n = ctx;
	struct coord_sim_call call = {
		.kind = CALL_WATCH, .index = index, .done = done, .arg = arg};

	call.wait_ends_at = n->sim->now + wait_ms;
	queue_call(n, call);
}

/* Ends the call at its time limit, without an answer. */
static void lose_call(struct coord_sim *sim, struct coord_sim_event ev)
{
	struct coord_sim_call *call = &ev.call;

	call->status = call->kind == CALL_CAS ? SYC_PLATFORM_UNCERTAIN
					      : SYC_PLATFORM_UNREACHABLE;
	ev.kind = EV_STORE_REPLY;
	ev.at = STORE_TIMEOUT_MS +
		(call->kind == CALL_WATCH ? call->wait_ends_at : sim->now);
	coord_sim_push(sim, ev);
}

static void reply_later(struct coord_sim *sim, struct coord_sim_event ev)
{
	ev.kind = EV_STORE_REPLY;
	ev.at = sim->now + 1 +
		(int64_t)rng_below(&sim->rng, sim->store.delay_max_ms + 3);
	coord_sim_push(sim, ev);
}

/* Reads the current content, or the previous one as a stale read. */
static void read_content(struct coord_sim *sim, struct coord_sim_call *call)
{
	size_t changes_ago = coord_sim_chance(sim,
					      sim->store.stale_read_percent)
				     ? 1
				     : 0;
	const char *text = content_before(sim, changes_ago);

	sim->store.reads++;
	free(call->value);
	call->value = text ? xstrdup(text) : NULL;
	call->index = text ? sim->store.index - changes_ago : 0;
	call->status = text ? SYC_PLATFORM_OK : SYC_PLATFORM_ABSENT;
}

static void write_content(struct coord_sim *sim, struct coord_sim_call *call)
{
	uint64_t index = sim->store.n_history ? sim->store.index : 0;

	sim->store.writes++;
	if (call->index != index) {
		call->status = SYC_PLATFORM_CONFLICT;
		return;
	}
	set_content(sim, call->value);
	call->index = sim->store.index;
	call->status = coord_sim_chance(sim, sim->store.lost_reply_percent)
			       ? SYC_PLATFORM_UNCERTAIN
			       : SYC_PLATFORM_OK;
}

void coord_sim_store_process(struct coord_sim *sim, struct coord_sim_event ev)
{
	struct coord_sim_node *n = &sim->nodes[ev.node];
	struct coord_sim_call *call = &ev.call;

	if (sim->store.silent) {
		lose_call(sim, ev);
		return;
	}
	if (sim->store.down || (n->instance.id == ev.id && n->store_cut)) {
		call->status = SYC_PLATFORM_UNREACHABLE;
	} else if (call->kind == CALL_CAS) {
		write_content(sim, call);
	} else if (call->kind == CALL_WATCH && sim->now < call->wait_ends_at &&
		   call->index == sim->store.index) {
		ev.kind = EV_WATCH_CHECK;
		ev.at = sim->now + 20;
		coord_sim_push(sim, ev);
		return;
	} else {
		read_content(sim, call);
	}
	reply_later(sim, ev);
}

void coord_sim_store_reply(struct coord_sim *sim, struct coord_sim_event *ev)
{
	struct coord_sim_call *call = &ev->call;
	struct syc_platform_value v = {.status = call->status, .message = ""};

	if (call->status == SYC_PLATFORM_OK && call->value) {
		v.index = call->index;
		v.value.p = call->value;
		v.value.n = strlen(call->value);
	}
	call->done(call->arg, &v);
	free(call->value);
}
