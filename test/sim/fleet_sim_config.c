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

/* Whether the store has answered the instance for the time of a change. */
static bool is_up_to_date(const struct fsim *s, const struct fsim_instance *i)
{
	return s->now - i->store_reached_since >= FSIM_CONFIG_APPLY_MS;
}

static bool reaches_peer(const struct fsim *s, int k)
{
	int other;

	if (!s->instances[k].fleet || s->now < s->instances[k].paused_until)
		return false;
	for (other = 0; other < s->n_instances; other++)
		if (s->linked[k][other] && s->linked[other][k] &&
		    is_up_to_date(s, &s->instances[other]))
			return true;
	return false;
}

static void check_config(struct fsim *s, int k, uint64_t due)
{
	struct fsim_instance *i = &s->instances[k];

	if (i->config_version >= due || s->n_late_configs++)
		return;
	snprintf(s->message, sizeof(s->message),
		 "at %lld ms: i%d has configuration %llu, not %llu",
		 (long long)s->now, k, (unsigned long long)i->config_version,
		 (unsigned long long)due);
}

bool fsim_is_in_touch(const struct fsim *s, const struct fsim_instance *i)
{
	return is_up_to_date(s, i) ||
	       s->now - i->peer_reached_since >= FSIM_CONFIG_APPLY_MS;
}

void fsim_check_configs(struct fsim *s)
{
	uint64_t due = due_config(s);
	int k;

	for (k = 0; k < s->n_instances; k++) {
		struct fsim_instance *i = &s->instances[k];

		if (!fsim_reaches_store(s, i))
			i->store_reached_since = s->now;
		if (!reaches_peer(s, k))
			i->peer_reached_since = s->now;
		if (fsim_is_in_touch(s, i))
			check_config(s, k, due);
	}
}
