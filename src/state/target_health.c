/*
 * The health of targets. One that cannot be reached or refuses backs off;
 * one whose sends end badly one after the other is ejected, though never
 * more than a part of its service. Both come back through a probe: one task
 * at a time until one ends well. Each further bad end doubles the wait.
 */
#include "state/dispatch_state.h"

enum {
	BACKOFF_MIN_MS = 50, /* after a refusal or a failed connect */
	BACKOFF_MAX_MS = 5000,
	BAD_ENDS_MAX = 5, /* in a row, before ejection */
	EJECT_MIN_MS = 1000,
	EJECT_MAX_MS = 30000,
	EJECT_PERCENT = 30 /* of the targets of a service, at most */
};

static void enter(struct syc_dispatch *d, struct target *t,
		  enum target_state state, int64_t until)
{
	t->pool->n_ejected -= t->state == TARGET_EJECTED;
	t->pool->n_ejected += state == TARGET_EJECTED;
	t->state = state;
	if (until)
		heap_set(&d->target_timers, &t->state_timer, until);
	else
		heap_remove(&d->target_timers, &t->state_timer);
	slots_update_free(d, t);
}

static void wait_longer(struct target *t, uint32_t least, uint32_t most)
{
	t->backoff_ms = t->backoff_ms ? t->backoff_ms * 2 : least;
	if (t->backoff_ms < least)
		t->backoff_ms = least;
	if (t->backoff_ms > most)
		t->backoff_ms = most;
}

void health_record_refusal(struct syc_dispatch *d, int64_t now,
			   struct target *t)
{
	if (t->state == TARGET_BACKOFF || t->state == TARGET_EJECTED)
		return;
	wait_longer(t, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
	enter(d, t, TARGET_BACKOFF, now + t->backoff_ms);
}

static bool may_eject(const struct pool *p)
{
	uint32_t most = p->n_listed * EJECT_PERCENT / 100;

	return p->n_listed > 1 && p->n_ejected < (most ? most : 1);
}

void health_record_failure(struct syc_dispatch *d, int64_t now,
			   struct target *t)
{
	t->consecutive_failures++;
	if (t->state == TARGET_EJECTED)
		return;
	if (t->state != TARGET_PROBE && t->consecutive_failures < BAD_ENDS_MAX)
		return;
	if (!may_eject(t->pool))
		return;
	wait_longer(t, EJECT_MIN_MS, EJECT_MAX_MS);
	enter(d, t, TARGET_EJECTED, now + t->backoff_ms);
}

void health_record_success(struct syc_dispatch *d, struct target *t)
{
	t->consecutive_failures = 0;
	if (t->state == TARGET_EJECTED)
		return;
	t->backoff_ms = 0;
	if (t->state != TARGET_UP)
		enter(d, t, TARGET_UP, 0);
}

void health_end_probe(struct syc_dispatch *d, struct target *t)
{
	if (t->state != TARGET_PROBE)
		return;
	t->consecutive_failures = BAD_ENDS_MAX - 1;
	enter(d, t, TARGET_UP, 0);
}

/* Only the owner probes; others take the target's slots as they come. */
void health_tick(struct syc_dispatch *d, int64_t now)
{
	struct heap_node *n;

	while ((n = heap_top(&d->target_timers)) && n->key <= now) {
		struct target *t = HEAP_ITEM(n, struct target, state_timer);

		enter(d, t, t->is_owned ? TARGET_PROBE : TARGET_UP, 0);
	}
}
