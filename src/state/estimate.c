/*
 * Run times by kind: a moving mean of the run times of its tasks. The hint of
 * the caller is used only until there are enough samples.
 */
#include "state/dispatch_state.h"

enum {
	MEAN_SCALE = 16, /* units of the mean per ms */
	SAMPLES_MIN = 8,
	MEAN_SAMPLES = 16 /* a new sample counts for 1/16 of the mean */
};

bool estimate_is_known(const struct kind *k)
{
	return k->n_samples >= SAMPLES_MIN;
}

uint32_t estimate_ms(const struct kind *k, uint32_t hint_ms)
{
	if (k->n_samples >= SAMPLES_MIN)
		return (uint32_t)(k->mean_scaled_ms / MEAN_SCALE) + 1;
	return hint_ms ? hint_ms : DEFAULT_ESTIMATE_MS;
}

void estimate_add_sample(struct kind *k, int64_t run_ms)
{
	int64_t sample = run_ms * MEAN_SCALE;
	int64_t weight = k->n_samples < MEAN_SAMPLES ? k->n_samples
						     : MEAN_SAMPLES - 1;

	k->mean_scaled_ms = (k->mean_scaled_ms * weight + sample) /
			    (weight + 1);
	if (k->n_samples < UINT32_MAX)
		k->n_samples++;
}
