#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/run_time.h"
#include "util/alloc.h"

enum {
	SAMPLES_MIN = 8, /* fewer samples have no effect */
	SAMPLES_WINDOW = 64, /* the average covers about the last 64 samples */
	IN_USE_MS = 5000, /* since the last job of a route */
	CRASH_HALF_MS = 5000 /* a crash counts half after this time */
};

/* Samples outside of these bounds count as the bound. */
static const double ratio_min = 0.05;
static const double ratio_max = 20;

/* One crash may be chance. */
static const double risky_crashes = 1.5;

struct run_time *run_time_get(struct run_times *t, const char *route)
{
	struct run_time *rt;

	for (rt = t->first; rt; rt = rt->next)
		if (!strcmp(rt->route, route))
			return rt;
	rt = xcalloc(1, sizeof(*rt));
	copy_text(rt->route, sizeof(rt->route), route);
	rt->ratio = 1;
	rt->next = t->first;
	t->first = rt;
	return rt;
}

static void add_sample(double *mean, uint32_t *n, double sample)
{
	double weight;

	if (sample < ratio_min)
		sample = ratio_min;
	if (sample > ratio_max)
		sample = ratio_max;
	if (*n < SAMPLES_WINDOW)
		++*n;
	weight = 1.0 / *n;
	*mean += (sample - *mean) * weight;
}

bool run_time_is_known(const struct run_time *rt)
{
	return rt->n_samples >= SAMPLES_MIN;
}

void run_time_learn(struct run_time *rt, uint32_t declared_ms, double actual_ms,
		    double factor)
{
	if (!declared_ms)
		return;
	add_sample(&rt->ratio, &rt->n_samples,
		   actual_ms / factor / declared_ms);
}

double run_time_expected_ms(const struct run_time *rt, uint32_t declared_ms)
{
	double ratio = run_time_is_known(rt) ? rt->ratio : 1;

	return declared_ms * ratio;
}

static double decayed_crashes(const struct run_time *rt, int64_t now)
{
	return rt->n_crashes *
	       exp2(-(double)(now - rt->crash_at) / CRASH_HALF_MS);
}

void run_time_add_crash(struct run_time *rt, int64_t now)
{
	rt->n_crashes = decayed_crashes(rt, now) + 1;
	rt->crash_at = now;
}

bool run_time_is_risky(const struct run_time *rt, int64_t now)
{
	return rt->n_crashes > 0 && decayed_crashes(rt, now) > risky_crashes;
}

bool run_times_has_other(const struct run_times *t, const struct run_time *rt,
			 int64_t now)
{
	const struct run_time *other;

	for (other = t->first; other; other = other->next)
		if (other != rt && other->used_at &&
		    now - other->used_at < IN_USE_MS &&
		    !run_time_is_risky(other, now))
			return true;
	return false;
}

bool run_times_has_risky(const struct run_times *t, int64_t now)
{
	const struct run_time *rt;

	for (rt = t->first; rt; rt = rt->next)
		if (run_time_is_risky(rt, now))
			return true;
	return false;
}

void run_times_free(struct run_times *t)
{
	struct run_time *rt;

	while ((rt = t->first)) {
		t->first = rt->next;
		free(rt);
	}
}
