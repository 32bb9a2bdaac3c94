/*
 * Run times learned by kind: a moving mean of what tasks took, which the
 * caller's own hint only stands in for until there are samples.
 */
#include "state/dispatch_state.h"

enum {
	SCALE = 16, /* fixed point of the mean */
	SAMPLES_ENOUGH = 8,
	WEIGHT = 16 /* of the past against one sample */
};

bool estimate_is_known(const struct kind *k)
{
	return k->n_samples >= SAMPLES_ENOUGH;
}

uint32_t estimate_ms(const struct kind *k, uint32_t hint_ms)
{
	if (k->n_samples >= SAMPLES_ENOUGH)
		return (uint32_t)(k->mean_scaled_ms / SCALE) + 1;
	return hint_ms ? hint_ms : DEFAULT_ESTIMATE_MS;
}

void estimate_add_sample(struct kind *k, int64_t run_ms)
{
	int64_t sample = run_ms * SCALE;
	int64_t weight = k->n_samples < WEIGHT ? k->n_samples : WEIGHT - 1;

	k->mean_scaled_ms = (k->mean_scaled_ms * weight + sample) /
			    (weight + 1);
	if (k->n_samples < UINT32_MAX)
		k->n_samples++;
}
