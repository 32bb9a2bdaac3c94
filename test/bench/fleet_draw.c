/* Draws jobs, workers and their troubles from a profile. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_load.h"
#include "util/alloc.h"
#include "util/rng.h"

enum {
	LARGEST_PART = 10, /* of a kind's jobs are its largest */
	BELOW_PART = 5 /* and this part the next in size */
};

static double uniform(struct rng *r)
{
	return ((double)(rng_next(r) >> 11) + 0.5) / 9007199254740992.0;
}

static double normal(struct rng *r)
{
	double a = uniform(r), b = uniform(r);

	return sqrt(-2 * log(a)) * cos(2 * M_PI * b);
}

/* Log-normal with that mean and that standard deviation over the mean. */
static double spread(struct rng *r, double mean, double percent)
{
	double rel = percent / 100;
	double s = sqrt(log(1 + rel * rel));

	return mean * exp(s * normal(r) - s * s / 2);
}

static uint32_t bounded(double x, uint32_t most)
{
	if (x < 1)
		return 1;
	return x > most ? most : (uint32_t)(x + 0.5);
}

const struct load_trouble *load_trouble_at(const struct load_worker *w,
					   enum trouble_kind kind, int64_t now)
{
	size_t i;

	for (i = 0; i < w->n_troubles; i++)
		if (w->troubles[i].kind == kind && now >= w->troubles[i].from &&
		    now < w->troubles[i].until)
			return &w->troubles[i];
	return NULL;
}

int64_t load_run_ms(const struct load_worker *w, uint32_t run_ms, int64_t now)
{
	const struct load_trouble *t = load_trouble_at(w, TROUBLE_SLOW, now);

	return (int64_t)(run_ms * w->slow * (t ? t->factor : 1) + 0.5);
}

static const struct profile_breed *any_breed(const struct profile *p, size_t i)
{
	uint32_t sum = 0;
	size_t k, at;

	for (k = 0; k < p->n_breeds; k++)
		sum += p->breeds[k].weight;
	at = sum ? i % sum : 0;
	for (k = 0; at >= p->breeds[k].weight; k++)
		at -= p->breeds[k].weight;
	return &p->breeds[k];
}

static double mean_cpu(const struct profile *p)
{
	double work = 0, slots = 0;
	size_t i;

	for (i = 0; i < p->n_kinds; i++) {
		const struct profile_kind *k = &p->kinds[i];
		double part = (double)k->weight * k->width_mean *
			      k->run_mean_ms;

		work += part * k->cpu_milli_mean;
		slots += part;
	}
	return work / slots;
}

static void draw_workers(struct load *l, struct rng *r)
{
	const struct profile *p = l->profile;
	double task_milli = mean_cpu(p);
	size_t i, k;

	for (i = 0; i < l->n_workers; i++) {
		struct load_worker *w = &l->workers[i];
		const struct profile_breed *b = any_breed(p, i / p->domains);

		w->breed = (uint32_t)(b - p->breeds);
		w->domain = (uint32_t)(i % p->domains);
		w->cpu_milli = b->cpu_milli;
		w->slots = (uint32_t)(b->cpu_milli / task_milli);
		w->slow = b->slow_percent / 100.0;
		for (k = 0; k < p->n_troubles; k++) {
			const struct profile_trouble *t = &p->troubles[k];

			if (t->kind == TROUBLE_BURST ||
			    uniform(r) * 100 >= t->share_percent)
				continue;
			w->troubles[w->n_troubles++] = (struct load_trouble){
				t->kind, t->at_ms, t->at_ms + t->for_ms,
				t->factor_percent / 100.0};
		}
	}
}

static const struct profile_kind *any_kind(const struct profile *p,
					   struct rng *r)
{
	uint32_t sum = 0;
	uint64_t at;
	size_t k;

	for (k = 0; k < p->n_kinds; k++)
		sum += p->kinds[k].weight;
	at = rng_below(r, sum);
	for (k = 0; at >= p->kinds[k].weight; k++)
		at -= p->kinds[k].weight;
	return &p->kinds[k];
}

static double job_work(const struct load_job *j)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++)
		sum += (double)j->run_ms[i] * j->cpu_milli;
	return sum;
}

static double mean_work(const struct profile_kind *k)
{
	return (double)k->width_mean * k->run_mean_ms * k->cpu_milli_mean;
}

static void draw_job(struct load_job *j, const struct profile *p, struct rng *r,
		     int64_t at)
{
	const struct profile_kind *k = any_kind(p, r);
	double off = k->estimate_off_percent / 100.0;
	double run = spread(r, k->run_mean_ms, k->run_spread_percent);
	uint32_t i, longest = 0;
	double weight;

	memset(j, 0, sizeof(*j));
	j->at = at;
	j->kind = (uint32_t)(k - p->kinds);
	j->domain = (uint32_t)rng_below(r, p->domains);
	j->n_tasks = bounded(spread(r, k->width_mean, k->width_spread_percent),
			     k->width_max);
	j->cpu_milli = bounded(spread(r, k->cpu_milli_mean, 20),
			       k->cpu_milli_max);
	for (i = 0; i < j->n_tasks; i++) {
		j->run_ms[i] = bounded(spread(r, run, k->uneven_percent),
				       k->run_max_ms);
		if (j->run_ms[i] > longest)
			longest = j->run_ms[i];
	}
	j->estimate_ms = bounded(run * (1 + off * (2 * uniform(r) - 1)),
				 k->run_max_ms);
	j->objective_at = at + (int64_t)longest * k->objective_percent / 100 +
			  k->objective_add_ms;
	j->deadline_at = at + p->deadline_ms;
	weight = 0.3 + 0.7 * job_work(j) / mean_work(k);
	j->worth = k->worth * (weight > 4 ? 4 : weight);
}

/* Jobs a ms at 100% of the slots of sound workers. */
static double full_rate(const struct load *l)
{
	const struct profile *p = l->profile;
	double slots = 0, work = 0, weight = 0;
	size_t i;

	for (i = 0; i < l->n_workers; i++)
		slots += l->workers[i].slots / l->workers[i].slow;
	for (i = 0; i < p->n_kinds; i++) {
		const struct profile_kind *k = &p->kinds[i];

		work += (double)k->weight * k->width_mean * k->run_mean_ms;
		weight += k->weight;
	}
	return slots / (work / weight);
}

static double burst_at(const struct profile *p, int64_t now)
{
	double factor = 1;
	size_t i;

	for (i = 0; i < p->n_troubles; i++) {
		const struct profile_trouble *t = &p->troubles[i];

		if (t->kind == TROUBLE_BURST && now >= t->at_ms &&
		    now < (int64_t)t->at_ms + t->for_ms)
			factor *= t->factor_percent / 100.0;
	}
	return factor;
}

static void draw_jobs(struct load *l, struct rng *r, uint32_t percent)
{
	double rate = full_rate(l) * percent / 100, at = 0;
	size_t cap = 0;

	for (;;) {
		at -= log(uniform(r)) /
		      (rate * burst_at(l->profile, (int64_t)at));
		if (at >= (double)l->until)
			return;
		if (l->n_jobs == cap) {
			cap = cap ? cap * 2 : 1024;
			l->jobs = xrealloc(l->jobs, cap * sizeof(*l->jobs));
		}
		draw_job(&l->jobs[l->n_jobs++], l->profile, r, (int64_t)at);
	}
}

static int by_work(const void *a, const void *b)
{
	const struct load_job *x = *(struct load_job *const *)a;
	const struct load_job *y = *(struct load_job *const *)b;
	double l = job_work(x), r = job_work(y);

	return l < r ? 1 : l > r ? -1 : x < y ? -1 : 1;
}

/* The largest tenth of each kind, and the fifth below it. */
static void class_sizes(struct load *l)
{
	struct load_job **of_kind = xcalloc(l->n_jobs + 1,
					    sizeof(struct load_job *));
	size_t i, k, n;

	for (k = 0; k < l->profile->n_kinds; k++) {
		n = 0;
		for (i = 0; i < l->n_jobs; i++)
			if (l->jobs[i].kind == k)
				of_kind[n++] = &l->jobs[i];
		qsort(of_kind, n, sizeof(struct load_job *), by_work);
		for (i = 0; i < n / LARGEST_PART; i++)
			of_kind[i]->size = 2;
		for (; i < n / LARGEST_PART + n / BELOW_PART; i++)
			of_kind[i]->size = 1;
	}
	free(of_kind);
}

void load_draw(struct load *l, const struct profile *p, uint64_t seed,
	       uint32_t percent, uint32_t instances)
{
	struct rng r = {seed};

	memset(l, 0, sizeof(*l));
	l->profile = p;
	l->until = (int64_t)p->seconds * 1000;
	l->n_workers = (size_t)instances * p->workers_each;
	l->workers = xcalloc(l->n_workers, sizeof(*l->workers));
	draw_workers(l, &r);
	draw_jobs(l, &r, percent);
	class_sizes(l);
}

void load_free(struct load *l)
{
	free(l->jobs);
	free(l->workers);
	memset(l, 0, sizeof(*l));
}

void load_played_free(struct load_played *p)
{
	free(p->ends);
	memset(p, 0, sizeof(*p));
}
