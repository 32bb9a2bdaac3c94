/* Workers of the simulated fleet that drain before they stop. */
#include <stdio.h>

#include "fleet_sim_internal.h"

void fsim_drain_worker(struct fsim *s, int worker)
{
	struct fsim_worker *w = &s->workers[worker];

	if (w->info.leaving)
		return;
	w->info.leaving = true;
	w->drains_since = s->now;
}

/* Whether the store has answered the instance, and it ran, for long enough. */
static bool is_in_touch(const struct fsim *s, const struct fsim_instance *i)
{
	return s->now - i->store_reached_since >= FSIM_CONTACT_MS;
}

void fsim_check_drain(struct fsim *s, const struct fsim_event *e)
{
	const struct fsim_instance *i = &s->instances[e->instance];
	int64_t since = s->workers[e->worker].drains_since;

	if (!since || s->now - since <= FSIM_DRAIN_MS + DELAY_MS || e->late)
		return;
	if (i->instance.id != e->incarnation || !is_in_touch(s, i))
		return;
	if (!s->n_late_drains++ && !*s->message)
		snprintf(s->message, sizeof(s->message),
			 "at %lld ms: i%d starts %.20s on w%d, which drains "
			 "since %lld ms",
			 (long long)s->now, e->instance, e->task.job, e->worker,
			 (long long)(s->now - since));
}
