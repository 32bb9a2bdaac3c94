/*
 * Keeps the map in the platform's store. It is changed by compare-and-swap,
 * read back when the reply to a write was lost, and written back when the
 * store holds older content.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/coord_state.h"
#include "util/alloc.h"
#include "util/cleanup.h"
#include "util/log.h"

enum {
	CHANGE_DELAY_MS = 150, /* from the need of a change to its write */
	RANK_STEP_MS = 300, /* further delay per rank of the writer */
	RANK_MAX = 6,
	/* Least time between two maps if no slice waits for the second. */
	DEFERRED_CHANGE_INTERVAL_MS = 1000,
	BACKOFF_MS = 100, /* after a failed call; doubled each time */
	BACKOFF_DOUBLINGS = 4,
	WATCH_WAIT_MS = 30000,
	WATCH_INTERVAL_MS = 100, /* between two watches */
	/* Heartbeat intervals until the first call, which may write a map. */
	FIRST_CALL_HEARTBEATS = 2
};

struct store_call {
	struct syc_coord *c; /* NULL once the coordination is freed */
};

static void op_done(void *arg, const struct syc_platform_value *v);
static void watch_done(void *arg, const struct syc_platform_value *v);

static struct store_call *new_call(struct syc_coord *c)
{
	struct store_call *call = xcalloc(1, sizeof(*call));

	call->c = c;
	return call;
}

void map_store_init(struct syc_coord *c)
{
	snprintf(c->store.key, sizeof(c->store.key), "sycamoreshore/map/%s",
		 c->opt.self.domain);
	c->store.needs_read = true;
	c->store.next_call_at = c->now + (int64_t)c->opt.heartbeat_ms *
						 FIRST_CALL_HEARTBEATS;
	c->store.next_watch_at = c->store.next_call_at;
}

void map_store_free(struct syc_coord *c)
{
	if (c->store.op_call)
		c->store.op_call->c = NULL;
	if (c->store.watch_call)
		c->store.watch_call->c = NULL;
}

/* Delays the next call, longer after each consecutive failure. */
static void back_off(struct syc_coord *c)
{
	struct map_store *store = &c->store;
	int64_t delay_ms;

	store->is_reachable = false;
	delay_ms = (int64_t)BACKOFF_MS
		   << (store->failures < BACKOFF_DOUBLINGS ? store->failures
							   : BACKOFF_DOUBLINGS);
	store->failures++;
	store->next_call_at = c->now + delay_ms +
			      (int64_t)rng_below(&c->rng, (uint64_t)delay_ms);
	store->next_watch_at = store->next_call_at;
}

static void mark_reachable(struct syc_coord *c)
{
	c->store.is_reachable = true;
	c->store.failures = 0;
}

static void start_get(struct syc_coord *c)
{
	struct map_store *store = &c->store;

	store->op = STORE_GET;
	store->needs_read = false;
	store->op_call = new_call(c);
	c->stats.store_gets++;
	c->opt.store.get(c->opt.store.ctx, store->key, op_done, store->op_call);
}

static void start_cas(struct syc_coord *c, const struct map *m, uint64_t index)
{
	auto_free char *text = map_encode(m);
	struct syc_bytes value = {text, strlen(text)};
	struct map_store *store = &c->store;

	if (store->op != STORE_IDLE)
		return;
	store->written_map = *m;
	store->is_write_unresolved = true;
	store->op = STORE_CAS;
	store->op_call = new_call(c);
	c->stats.store_writes++;
	c->opt.store.cas(c->opt.store.ctx, store->key, index, value, op_done,
			 store->op_call);
}

static bool find_peer_with_newer_map(const struct syc_coord *c, uint64_t *id)
{
	size_t i;

	for (i = 0; i < c->peers.n; i++) {
		const struct peer *p = c->peers.list[i];

		if (!p->is_local || !peer_is_alive(p) ||
		    p->epoch <= c->map.epoch)
			continue;
		*id = p->instance.id;
		return true;
	}
	return false;
}

/* Writes a due change. The store must hold the current map at `index`. */
static void try_change(struct syc_coord *c, uint64_t index)
{
	struct map next;

	if (!c->store.change_at || c->now < c->store.change_at ||
	    c->store.op != STORE_IDLE)
		return;
	c->store.change_at = 0;
	if (map_plan_from_state(c, &next) == PLAN_UNCHANGED)
		return;
	start_cas(c, &next, index);
}

/*
 * Handles an empty store: writes the current map back, requests the map from
 * a peer that has one, or writes the first map.
 */
static void handle_absent(struct syc_coord *c)
{
	uint64_t peer;

	c->store.has_index = false;
	if (c->map.epoch) {
		log_warn("map_repaired", LOG_U("epoch", c->map.epoch),
			 LOG_S("found", "nothing"));
		start_cas(c, &c->map, 0);
		return;
	}
	if (find_peer_with_newer_map(c, &peer)) {
		map_request(c, peer);
		c->store.next_call_at = c->now + BACKOFF_MS;
		return;
	}
	if (!c->store.change_at)
		c->store.change_at = c->now;
	try_change(c, 0);
}

/* Writes the current map back over older or unreadable content. */
static void restore_map(struct syc_coord *c, uint64_t index, uint64_t epoch)
{
	log_warn("map_repaired", LOG_U("epoch", c->map.epoch),
		 LOG_U("found", epoch));
	start_cas(c, &c->map, index);
}

/* Adopts a map that this instance wrote and sends it to the peers. */
static void adopt_written_map(struct syc_coord *c, const struct map *m)
{
	c->store.has_forked = false;
	c->stats.map_changes++;
	coord_adopt_map(c, m);
	map_broadcast(c);
}

/* Adopts the last write if its reply was lost and the store holds it. */
static void resolve_write(struct syc_coord *c, const struct map *m)
{
	struct map_store *store = &c->store;
	bool is_own = store->is_write_unresolved && store->op != STORE_CAS &&
		      m->epoch == store->written_map.epoch &&
		      m->tag == store->written_map.tag;

	if (store->op != STORE_CAS)
		store->is_write_unresolved = false;
	if (!is_own || m->epoch <= c->map.epoch)
		return;
	adopt_written_map(c, m);
}

static void handle_map(struct syc_coord *c, const struct map *m, uint64_t index)
{
	resolve_write(c, m);
	if (m->epoch < c->map.epoch) {
		restore_map(c, index, m->epoch);
		return;
	}
	if (m->epoch > c->map.epoch || m->tag != c->map.tag)
		coord_adopt_map(c, m);
	c->store.index = index;
	c->store.has_index = true;
	c->needs_confirmation = false;
	claim_serve_map_confirmed(c);
	try_change(c, index);
}

static void handle_value(struct syc_coord *c,
			 const struct syc_platform_value *v)
{
	struct map m;

	mark_reachable(c);
	if (v->status == SYC_PLATFORM_ABSENT) {
		handle_absent(c);
		return;
	}
	if (map_decode(&m, v->value) == COORDINATION_OK) {
		handle_map(c, &m, v->index);
		return;
	}
	log_error("map_unreadable", LOG_S("why", coordination_last_error()));
	if (c->map.epoch)
		restore_map(c, v->index, 0);
	else
		back_off(c);
}

static void handle_write_success(struct syc_coord *c,
				 const struct syc_platform_value *v)
{
	struct map_store *store = &c->store;

	mark_reachable(c);
	store->is_write_unresolved = false;
	if (store->written_map.epoch < c->map.epoch)
		return;
	if (store->written_map.epoch == c->map.epoch) {
		store->needs_read = store->written_map.tag != c->map.tag;
		return;
	}
	store->index = v->index;
	store->has_index = true;
	c->needs_confirmation = false;
	adopt_written_map(c, &store->written_map);
}

static void handle_cas_result(struct syc_coord *c,
			      const struct syc_platform_value *v)
{
	if (v->status == SYC_PLATFORM_OK) {
		handle_write_success(c, v);
		return;
	}
	c->store.needs_read = true;
	if (v->status != SYC_PLATFORM_CONFLICT) {
		back_off(c);
		return;
	}
	mark_reachable(c);
	c->store.is_write_unresolved = false;
	c->store.next_call_at = c->now +
				(int64_t)rng_below(&c->rng, BACKOFF_MS);
}

static bool is_read_success(const struct syc_platform_value *v)
{
	return v->status == SYC_PLATFORM_OK || v->status == SYC_PLATFORM_ABSENT;
}

static void op_done(void *arg, const struct syc_platform_value *v)
{
	auto_free struct store_call *call = arg;
	struct syc_coord *c = call->c;
	enum store_op op;

	if (!c)
		return;
	op = c->store.op;
	c->store.op = STORE_IDLE;
	c->store.op_call = NULL;
	if (op == STORE_CAS) {
		handle_cas_result(c, v);
		return;
	}
	if (is_read_success(v)) {
		handle_value(c, v);
		return;
	}
	c->store.needs_read = true;
	back_off(c);
}

static void watch_done(void *arg, const struct syc_platform_value *v)
{
	auto_free struct store_call *call = arg;
	struct syc_coord *c = call->c;

	if (!c)
		return;
	c->store.watch_call = NULL;
	if (!is_read_success(v)) {
		back_off(c);
		return;
	}
	c->store.next_watch_at = c->now + WATCH_INTERVAL_MS;
	c->store.index = v->index;
	handle_value(c, v);
}

static void start_watch(struct syc_coord *c)
{
	struct map_store *store = &c->store;

	store->watch_call = new_call(c);
	c->stats.store_watches++;
	c->opt.store.watch(c->opt.store.ctx, store->key, store->index,
			   WATCH_WAIT_MS, watch_done, store->watch_call);
}

/*
 * Sets the time of a planned change. The instance with the lowest rank writes
 * first. The others follow later, in case it has ended or does not reach the
 * store.
 */
static void schedule_change(struct syc_coord *c)
{
	struct map_store *store = &c->store;
	size_t rank = membership_rank(c);
	enum plan_result r;
	struct map next;
	int64_t due_at;

	if (c->needs_confirmation || !c->map.epoch || store->op == STORE_CAS)
		return;
	r = map_plan_from_state(c, &next);
	if (r == PLAN_UNCHANGED)
		return;
	rank = rank < RANK_MAX ? rank : RANK_MAX;
	due_at = c->now + CHANGE_DELAY_MS;
	if (r == PLAN_DEFERRABLE &&
	    due_at < c->map_adopted_at + DEFERRED_CHANGE_INTERVAL_MS)
		due_at = c->map_adopted_at + DEFERRED_CHANGE_INTERVAL_MS;
	due_at += (int64_t)rank * RANK_STEP_MS;
	if (!store->change_at || due_at < store->change_at)
		store->change_at = due_at;
	if (!c->rules.takeover_through_store && !store->is_reachable)
		coord_adopt_map(c, &next);
}

void map_store_tick(struct syc_coord *c)
{
	struct map_store *store = &c->store;

	schedule_change(c);
	if (!store->watch_call && c->now >= store->next_watch_at &&
	    c->map.epoch && membership_rank(c) < DELEGATES)
		start_watch(c);
	if (store->op != STORE_IDLE || c->now < store->next_call_at)
		return;
	if (store->needs_read || !c->map.epoch ||
	    (store->change_at && c->now >= store->change_at))
		start_get(c);
}
