#include "policy/call_limit.h"

enum {
	WORKER_SAMPLES_MIN = 8, /* fewer have no effect */
	SAMPLES_MIN = 64, /* the same for those of all workers */
	SAMPLES_WINDOW = 4096, /* older ones count half */
	REVIEW_SAMPLES = 64, /* between two looks at all times */
	MISSES_MAX = 8 /* further ones do not lengthen the limit */
};

/* Weights of a sample, as for a retransmission timeout. */
static const double mean_weight = 1.0 / 8;
static const double deviation_weight = 1.0 / 4;
static const double deviations = 4;

/* Shares of answers that meet a limit. */
static const double most = 0.95;
static const double nearly_all = 0.998;

/* The share covers about the last 128 calls. */
static const double missed_weight = 1.0 / 128;
static const double lossy_share = 1.0 / 100;

/* The time, in whole ms above it, that the share of answers has met. */
static uint32_t quantile_ms(const struct call_limits *all, double share)
{
	uint32_t ms, n = 0;

	for (ms = 0; ms < CALL_LIMIT_MAX_MS; ms++) {
		n += all->times[ms];
		if (n >= share * all->n_times)
			break;
	}
	return ms + 1;
}

static void halve_times(struct call_limits *all)
{
	uint32_t ms;

	all->n_times = 0;
	for (ms = 0; ms <= CALL_LIMIT_MAX_MS; ms++) {
		all->times[ms] /= 2;
		all->n_times += all->times[ms];
	}
}

static void add_time(struct call_limits *all, uint32_t ms)
{
	all->times[ms]++;
	if (++all->n_times >= SAMPLES_WINDOW)
		halve_times(all);
	if (++all->n_samples % REVIEW_SAMPLES)
		return;
	all->most_ms = quantile_ms(all, most);
	all->nearly_all_ms = quantile_ms(all, nearly_all);
}

static double distance(double a, double b)
{
	return a > b ? a - b : b - a;
}

void call_limit_sample(struct call_limits *all, struct call_limit *worker,
		       int64_t answer_ms)
{
	double ms = answer_ms > 0 ? (double)answer_ms : 0;

	if (ms > CALL_LIMIT_MAX_MS)
		ms = CALL_LIMIT_MAX_MS;
	add_time(all, (uint32_t)ms);
	if (!worker->n_samples++) {
		worker->mean_ms = ms;
		worker->deviation_ms = ms / 2;
		return;
	}
	worker->deviation_ms += (distance(ms, worker->mean_ms) -
				 worker->deviation_ms) *
				deviation_weight;
	worker->mean_ms += (ms - worker->mean_ms) * mean_weight;
}

void call_limit_answered(struct call_limits *all, struct call_limit *worker)
{
	worker->misses = 0;
	all->missed -= all->missed * missed_weight;
}

void call_limits_missed(struct call_limits *all)
{
	all->missed += (1 - all->missed) * missed_weight;
}

void call_limit_missed(struct call_limit *worker)
{
	if (worker->misses < MISSES_MAX)
		worker->misses++;
}

static uint32_t limit_ms(const struct call_limits *all,
			 const struct call_limit *worker, uint32_t shared_ms,
			 uint32_t late_ms)
{
	double own_ms = worker->mean_ms + deviations * worker->deviation_ms;
	double ms = CALL_LIMIT_MIN_MS;

	if (all->n_samples < SAMPLES_MIN ||
	    worker->n_samples < WORKER_SAMPLES_MIN)
		return CALL_LIMIT_MAX_MS;
	if (ms < shared_ms)
		ms = shared_ms;
	if (ms < own_ms)
		ms = own_ms;
	ms = (ms + late_ms) * (1U << worker->misses);
	return ms < CALL_LIMIT_MAX_MS ? (uint32_t)ms : CALL_LIMIT_MAX_MS;
}

uint32_t call_limit_ms(const struct call_limits *all,
		       const struct call_limit *worker, uint32_t late_ms)
{
	return limit_ms(all, worker, all->nearly_all_ms, late_ms);
}

uint32_t call_limit_start_ms(const struct call_limits *all,
			     const struct call_limit *worker, uint32_t late_ms)
{
	uint32_t shared_ms = call_limits_lossy(all) ? all->most_ms
						    : all->nearly_all_ms;

	return limit_ms(all, worker, shared_ms, late_ms);
}

bool call_limits_lossy(const struct call_limits *all)
{
	return all->missed > lossy_share;
}
