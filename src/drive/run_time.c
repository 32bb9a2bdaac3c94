#include <stdlib.h>
#include <string.h>

#include "drive/run_time.h"
#include "util/alloc.h"

enum {
	SAMPLES_ENOUGH = 8, /* before a figure is believed */
	SAMPLES_WEIGHT = 64 /* samples that the average looks back */
};

static const double ratio_least = 0.05;
static const double ratio_most = 20;

struct run_time *run_time_of(struct run_times *t, const char *route)
{
	struct run_time *rt;

	for (rt = t->first; rt; rt = rt->next)
		if (!strcmp(rt->route, route))
			return rt;
	rt = xcalloc(1, sizeof(*rt));
	copy_name(rt->route, sizeof(rt->route), route);
	rt->ratio = 1;
	rt->next = t->first;
	t->first = rt;
	return rt;
}

static struct run_time_kind *find_kind(const struct run_times *t,
				       const char *label)
{
	size_t i;

	for (i = 0; i < t->n_kinds; i++)
		if (!strcmp(t->kinds[i].label, label))
			return (struct run_time_kind *)&t->kinds[i];
	return NULL;
}

double run_time_kind(const struct run_times *t, const char *label)
{
	const struct run_time_kind *k = find_kind(t, label);

	return k && k->n >= SAMPLES_ENOUGH ? k->factor : 1;
}

static void average(double *mean, uint32_t *n, double sample)
{
	double weight;

	if (sample < ratio_least)
		sample = ratio_least;
	if (sample > ratio_most)
		sample = ratio_most;
	if (*n < SAMPLES_WEIGHT)
		++*n;
	weight = 1.0 / *n;
	*mean += (sample - *mean) * weight;
}

static struct run_time_kind *add_kind(struct run_times *t, const char *label)
{
	struct run_time_kind *k = find_kind(t, label);

	if (k || t->n_kinds == RUN_TIME_KINDS_MAX)
		return k;
	k = &t->kinds[t->n_kinds++];
	copy_name(k->label, sizeof(k->label), label);
	k->factor = 1;
	return k;
}

void run_time_learn(struct run_times *t, struct run_time *rt, const char *label,
		    uint32_t declared_ms, double seen_ms)
{
	struct run_time_kind *k = add_kind(t, label);
	double expected;

	if (!declared_ms)
		return;
	expected = run_time_expect(rt, declared_ms);
	if (k && rt->n >= SAMPLES_ENOUGH)
		average(&k->factor, &k->n, seen_ms / expected);
	seen_ms /= run_time_kind(t, label);
	average(&rt->ratio, &rt->n, seen_ms / declared_ms);
}

double run_time_expect(const struct run_time *rt, uint32_t declared_ms)
{
	double ratio = rt->n >= SAMPLES_ENOUGH ? rt->ratio : 1;

	return declared_ms * ratio;
}

void run_times_free(struct run_times *t)
{
	struct run_time *rt;

	while ((rt = t->first)) {
		t->first = rt->next;
		free(rt);
	}
}
