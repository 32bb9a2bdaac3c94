/* The store, with the faults that the platform's has. */
#include <stdlib.h>
#include <string.h>

#include "coord_sim_internal.h"
#include "util/alloc.h"

static const char *content(const struct coord_sim *s, size_t behind)
{
	const struct coord_sim_store *st = &s->store;

	if (behind >= st->n_history)
		return NULL;
	return st->history[st->n_history - 1 - behind];
}

static void set_content(struct coord_sim *s, const char *text)
{
	struct coord_sim_store *st = &s->store;

	if (st->n_history == COORD_SIM_STORE_HISTORY) {
		free(st->history[0]);
		memmove(st->history, st->history + 1,
			sizeof(*st->history) * (COORD_SIM_STORE_HISTORY - 1));
		st->n_history--;
	}
	st->history[st->n_history++] = xstrdup(text);
	st->index++;
}

void coord_sim_restore_store(struct coord_sim *s, size_t behind)
{
	const char *text = content(s, behind);

	if (text)
		set_content(s, text);
}

uint64_t coord_sim_store_epoch(const struct coord_sim *s)
{
	const char *text = content(s, 0);
	struct syc_bytes b = {text, text ? strlen(text) : 0};
	struct map m;

	return text && map_decode(&m, b) == COORDINATION_OK ? m.epoch : 0;
}

static void queue_call(struct coord_sim_node *n, struct coord_sim_call call)
{
	struct coord_sim *s = n->sim;
	struct coord_sim_event ev = {.kind = EV_STORE,
				     .node = n->place,
				     .id = n->inst.id,
				     .call = call};

	ev.at = s->now + 1 +
		(int64_t)rng_below(&s->rng, s->store.delay_max_ms + 3);
	coord_sim_push(s, ev);
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

	call.until = n->sim->now + wait_ms;
	queue_call(n, call);
}

static void reply_later(struct coord_sim *s, struct coord_sim_event ev)
{
	ev.kind = EV_REPLY;
	ev.at = s->now + 1 +
		(int64_t)rng_below(&s->rng, s->store.delay_max_ms + 3);
	coord_sim_push(s, ev);
}

/* Reads what the store, or a stale copy of it, holds now. */
static void read_content(struct coord_sim *s, struct coord_sim_call *call)
{
	size_t behind = coord_sim_chance(s, s->store.stale_read_percent) ? 1
									 : 0;
	const char *text = content(s, behind);

	s->store.reads++;
	free(call->value);
	call->value = text ? xstrdup(text) : NULL;
	call->index = text ? s->store.index - behind : 0;
	call->status = text ? SYC_PLATFORM_OK : SYC_PLATFORM_ABSENT;
}

static void write_content(struct coord_sim *s, struct coord_sim_call *call)
{
	uint64_t index = s->store.n_history ? s->store.index : 0;

	s->store.writes++;
	if (call->index != index) {
		call->status = SYC_PLATFORM_CONFLICT;
		return;
	}
	set_content(s, call->value);
	call->index = s->store.index;
	call->status = coord_sim_chance(s, s->store.lost_reply_percent)
			       ? SYC_PLATFORM_UNCERTAIN
			       : SYC_PLATFORM_OK;
}

void coord_sim_store_process(struct coord_sim *s, struct coord_sim_event ev)
{
	struct coord_sim_node *n = &s->nodes[ev.node];
	struct coord_sim_call *call = &ev.call;

	if (s->store.down || (n->inst.id == ev.id && n->store_cut)) {
		call->status = SYC_PLATFORM_UNREACHABLE;
	} else if (call->kind == CALL_CAS) {
		write_content(s, call);
	} else if (call->kind == CALL_WATCH && s->now < call->until &&
		   call->index == s->store.index) {
		ev.kind = EV_WATCH;
		ev.at = s->now + 20;
		coord_sim_push(s, ev);
		return;
	} else {
		read_content(s, call);
	}
	reply_later(s, ev);
}

void coord_sim_store_reply(struct coord_sim *s, struct coord_sim_event *ev)
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
