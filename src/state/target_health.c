/*
 * The health of targets. A target that is unreachable or refuses a task is in
 * backoff. A target with several failed sends in a row is ejected, unless too
 * large a part of its service is ejected already. Both return through a probe:
 * one task at a time until one succeeds. Each further failure doubles the
 * wait.
 */
#include "state/dispatch_state.h"

enum {
	BACKOFF_MIN_MS = 50, /* after a refusal or a failed connection */
	BACKOFF_MAX_MS = 5000,
	CONSECUTIVE_FAILURES_MAX = 5, /* before ejection */
	EJECT_MIN_MS = 1000,
	EJECT_MAX_MS = 30000,
	/* Of the targets of a service; one target if that is less. */
	EJECTED_MAX_PERCENT = 30
};

static void set_state(struct syc_dispatch *d, struct target *t,
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

static void double_backoff(struct target *t, uint32_t min_ms, uint32_t max_ms)
{
	t->backoff_ms = t->backoff_ms ? t->backoff_ms * 2 : min_ms;
	if (t->backoff_ms < min_ms)
		t->backoff_ms = min_ms;
	if (t->backoff_ms > max_ms)
		t->backoff_ms = max_ms;
}

void health_record_refusal(struct syc_dispatch *d, int64_t now,
			   struct target *t)
{
	if (t->state == TARGET_BACKOFF || t->state == TARGET_EJECTED)
		return;
	double_backoff(t, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
	set_state(d, t, TARGET_BACKOFF, now + t->backoff_ms);
}

static bool may_eject(const struct pool *p)
{
	uint32_t ejected_max = p->n_listed * EJECTED_MAX_PERCENT / 100;

	return p->n_listed > 1 &&
	       p->n_ejected < (ejected_max ? ejected_max : 1);
}

void health_record_failure(struct syc_dispatch *d, int64_t now,
			   struct target *t)
{
	t->consecutive_failures++;
	if (t->state == TARGET_EJECTED)
		return;
	if (t->state != TARGET_PROBE &&
	    t->consecutive_failures < CONSECUTIVE_FAILURES_MAX)
		return;
	if (!may_eject(t->pool))
		return;
	double_backoff(t, EJECT_MIN_MS, EJECT_MAX_MS);
	set_state(d, t, TARGET_EJECTED, now + t->backoff_ms);
}

void health_record_success(struct syc_dispatch *d, struct target *t)
{
	t->consecutive_failures = 0;
	if (t->state == TARGET_EJECTED)
		return;
	t->backoff_ms = 0;
	if (t->state != TARGET_UP)
		set_state(d, t, TARGET_UP, 0);
}

void health_end_probe(struct syc_dispatch *d, struct target *t)
{
	if (t->state != TARGET_PROBE)
		return;
	t->consecutive_failures = CONSECUTIVE_FAILURES_MAX - 1;
	set_state(d, t, TARGET_UP, 0);
}

/*
 * Only the owner probes a target. For other instances the target is up when the
 * wait ends, since the owner grants its slots.
 */
void health_tick(struct syc_dispatch *d, int64_t now)
{
	struct heap_node *n;

	while ((n = heap_top(&d->target_timers)) && n->key <= now) {
		struct target *t = HEAP_ITEM(n, struct target, state_timer);

		set_state(d, t, t->is_owned ? TARGET_PROBE : TARGET_UP, 0);
	}
}
