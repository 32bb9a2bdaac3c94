/* The evacuations of domains of the simulated fleet. */
#include <stdio.h>

#include "fleet_sim_internal.h"

static void put_set(struct fsim *s)
{
	char text[8 * FSIM_DOMAINS] = "";
	size_t len = 0;
	int k;

	for (k = 0; k < FSIM_DOMAINS; k++)
		if (s->evacuated_at[k])
			len += (size_t)snprintf(text + len, sizeof(text) - len,
						"d%d\n", k);
	fake_store_put_set(&s->store, "evacuations", text);
}

void fsim_init_evacuations(struct fsim *s)
{
	put_set(s);
}

void fsim_put_evacuation(struct fsim *s, int domain)
{
	if (s->evacuated_at[domain])
		return;
	s->evacuated_at[domain] = s->now;
	put_set(s);
}

void fsim_end_evacuation(struct fsim *s, int domain)
{
	if (!s->evacuated_at[domain])
		return;
	s->evacuated_at[domain] = 0;
	put_set(s);
}

void fsim_check_evacuation(struct fsim *s, const struct fsim_event *e)
{
	const struct fsim_instance *i = &s->instances[e->instance];
	int domain = s->workers[e->worker].domain;
	int64_t at = s->evacuated_at[domain];

	if (!at || s->now - at <= FSIM_CONFIG_APPLY_MS + DELAY_MS || e->late)
		return;
	if (i->instance.id != e->incarnation || !fsim_is_in_touch(s, i))
		return;
	if (!s->n_late_evacuations++ && !*s->message)
		snprintf(s->message, sizeof(s->message),
			 "at %lld ms: i%d starts %.20s in d%d, evacuated for "
			 "%lld ms",
			 (long long)s->now, e->instance, e->task.job, domain,
			 (long long)(s->now - at));
}
