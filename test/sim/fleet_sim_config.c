/* The configuration of the simulated fleet. */
#include <stdio.h>

#include "fleet_sim_internal.h"
#include "util/invariant.h"

uint64_t fsim_on_config(void *ctx, struct syc_bytes text, const char *from)
{
	struct fsim_instance *i = ctx;
	uint64_t version = 0;
	size_t k;

	for (k = 0; k < text.n; k++)
		version = version * 10 +
			  (uint64_t)(((const char *)text.p)[k] - '0');
	if (version <= i->config_version)
		return 0;
	i->config_version = version;
	return version;
}

void fsim_put_config(struct fsim *s)
{
	char text[24];

	invariant(s->n_configs + 1 < FSIM_CONFIGS);
	s->config_put_at[++s->n_configs] = s->now;
	snprintf(text, sizeof(text), "%llu", (unsigned long long)s->n_configs);
	fake_store_put(&s->store, "config", text);
}

bool fsim_reaches_store(const struct fsim *s, const struct fsim_instance *i)
{
	const struct fake_store *store = &s->store;

	return i->fleet && s->now >= i->paused_until && !store->down &&
	       !store->silent && !store->busy && !i->store->cut &&
	       !i->store->silent && !store->late_reply_percent &&
	       !store->stale_read_percent;
}

/* The newest version that the store confirmed FSIM_CONFIG_APPLY_MS ago. */
static uint64_t due_config(const struct fsim *s)
{
	uint64_t version = s->n_configs;

	while (version &&
	       s->now - s->config_put_at[version] < FSIM_CONFIG_APPLY_MS)
		version--;
	return version;
}

/* Checks that the instances that the store answers are up to date. */
void fsim_check_configs(struct fsim *s)
{
	uint64_t due = due_config(s);
	int k;

	for (k = 0; k < s->n_instances; k++) {
		struct fsim_instance *i = &s->instances[k];

		if (!fsim_reaches_store(s, i))
			i->store_reached_since = s->now;
		if (s->now - i->store_reached_since < FSIM_CONFIG_APPLY_MS ||
		    i->config_version >= due || s->n_late_configs++)
			continue;
		snprintf(s->message, sizeof(s->message),
			 "at %lld ms: i%d has configuration %llu, not %llu",
			 (long long)s->now, k,
			 (unsigned long long)i->config_version,
			 (unsigned long long)due);
	}
}
