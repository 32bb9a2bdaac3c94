/* Draws jobs, workers and their troubles from a profile. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_load.h"
#include "util/alloc.h"
#include "util/rng.h"

enum {
	LARGEST_DIVISOR = 10, /* class 2 has 1/10 of a kind's jobs */
	SECOND_DIVISOR = 5 /* class 1 has 1/5 of a kind's jobs */
};

static double draw_uniform(struct rng *r)
{
	return ((double)(rng_next(r) >> 11) + 0.5) / 9007199254740992.0;
}

static double draw_normal(struct rng *r)
{
	double a = draw_uniform(r), b = draw_uniform(r);

	return sqrt(-2 * log(a)) * cos(2 * M_PI * b);
}

/*
 * Draws from a log-normal distribution; `percent` is its standard deviation in
 * percent of its mean.
 */
static double draw_log_normal(struct rng *r, double mean, double percent)
{
	double relative = percent / 100;
	double sigma = sqrt(log(1 + relative * relative));

	return mean * exp(sigma * draw_normal(r) - sigma * sigma / 2);
}

static uint32_t round_and_clamp(double x, uint32_t max)
{
	if (x < 1)
		return 1;
	return x > max ? max : (uint32_t)(x + 0.5);
}

const struct fleet_load_trouble *fleet_load_trouble_at(
	const struct fleet_load_worker *w, enum trouble_kind kind, int64_t now)
{
	size_t i;

	for (i = 0; i < w->n_troubles; i++)
		if (w->troubles[i].kind == kind &&
		    now >= w->troubles[i].begin_at &&
		    now < w->troubles[i].end_at)
			return &w->troubles[i];
	return NULL;
}

int64_t fleet_load_run_ms(const struct fleet_load_worker *w, uint32_t run_ms,
			  int64_t now)
{
	const struct fleet_load_trouble *t = fleet_load_trouble_at(
		w, TROUBLE_SLOW, now);

	return (int64_t)(run_ms * w->run_time_factor * (t ? t->factor : 1) +
			 0.5);
}

/* Distributes the types over the workers of a domain by weight. */
static const struct profile_worker_type *worker_type_of(const struct profile *p,
							size_t i)
{
	uint32_t sum = 0;
	size_t k, position;

	for (k = 0; k < p->n_worker_types; k++)
		sum += p->worker_types[k].weight;
	position = sum ? i % sum : 0;
	for (k = 0; position >= p->worker_types[k].weight; k++)
		position -= p->worker_types[k].weight;
	return &p->worker_types[k];
}

static double mean_task_cpu_milli(const struct profile *p)
{
	double work = 0, slots = 0;
	size_t i;

	for (i = 0; i < p->n_kinds; i++) {
		const struct profile_kind *k = &p->kinds[i];
		double slot_ms = (double)k->weight * k->width_mean *
				 k->run_mean_ms;

		work += slot_ms * k->cpu_milli_mean;
		slots += slot_ms;
	}
	return work / slots;
}

static void draw_workers(struct fleet_load *l, struct rng *r)
{
	const struct profile *p = l->profile;
	double task_cpu_milli = mean_task_cpu_milli(p);
	size_t i, k;

	for (i = 0; i < l->n_workers; i++) {
		struct fleet_load_worker *w = &l->workers[i];
		const struct profile_worker_type *type = worker_type_of(
			p, i / p->domains);

		w->worker_type = (uint32_t)(type - p->worker_types);
		w->domain = (uint32_t)(i % p->domains);
		w->cpu_milli = type->cpu_milli;
		w->slots = (uint32_t)(type->cpu_milli / task_cpu_milli);
		w->run_time_factor = type->slow_percent / 100.0;
		for (k = 0; k < p->n_troubles; k++) {
			const struct profile_trouble *t = &p->troubles[k];

			if (t->kind == TROUBLE_BURST ||
			    draw_uniform(r) * 100 >= t->share_percent)
				continue;
			w->troubles[w->n_troubles++] =
				(struct fleet_load_trouble){
					t->kind, t->at_ms, t->at_ms + t->for_ms,
					t->factor_percent / 100.0};
		}
	}
}

static const struct profile_kind *draw_kind(const struct profile *p,
					    struct rng *r)
{
	uint32_t sum = 0;
	uint64_t position;
	size_t k;

	for (k = 0; k < p->n_kinds; k++)
		sum += p->kinds[k].weight;
	position = rng_below(r, sum);
	for (k = 0; position >= p->kinds[k].weight; k++)
		position -= p->kinds[k].weight;
	return &p->kinds[k];
}

static double job_work(const struct fleet_load_job *j)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++)
		sum += (double)j->run_ms[i] * j->cpu_milli;
	return sum;
}

static double mean_job_work(const struct profile_kind *k)
{
	return (double)k->width_mean * k->run_mean_ms * k->cpu_milli_mean;
}

static void draw_job(struct fleet_load_job *j, const struct profile *p,
		     struct rng *r, int64_t at)
{
	const struct profile_kind *k = draw_kind(p, r);
	double estimate_error = k->estimate_off_percent / 100.0;
	double mean_run_ms = draw_log_normal(r, k->run_mean_ms,
					     k->run_spread_percent);
	uint32_t i, longest = 0;
	double worth_factor;

	memset(j, 0, sizeof(*j));
	j->submitted_at = at;
	j->kind = (uint32_t)(k - p->kinds);
	j->domain = (uint32_t)rng_below(r, p->domains);
	j->n_tasks = round_and_clamp(
		draw_log_normal(r, k->width_mean, k->width_spread_percent),
		k->width_max);
	j->cpu_milli = round_and_clamp(
		draw_log_normal(r, k->cpu_milli_mean, 20), k->cpu_milli_max);
	for (i = 0; i < j->n_tasks; i++) {
		j->run_ms[i] = round_and_clamp(
			draw_log_normal(r, mean_run_ms, k->uneven_percent),
			k->run_max_ms);
		if (j->run_ms[i] > longest)
			longest = j->run_ms[i];
	}
	j->estimate_ms = round_and_clamp(
		mean_run_ms * (1 + estimate_error * (2 * draw_uniform(r) - 1)),
		k->run_max_ms);
	j->objective_at = at + (int64_t)longest * k->objective_percent / 100 +
			  k->objective_add_ms;
	j->deadline_at = at + p->deadline_ms;
	worth_factor = 0.3 + 0.7 * job_work(j) / mean_job_work(k);
	j->worth = k->worth * (worth_factor > 4 ? 4 : worth_factor);
}

/* Returns how many jobs per ms use all slots while there is no trouble. */
static double full_load_rate(const struct fleet_load *l)
{
	const struct profile *p = l->profile;
	double slots = 0, work = 0, weight = 0;
	size_t i;

	for (i = 0; i < l->n_workers; i++)
		slots += l->workers[i].slots / l->workers[i].run_time_factor;
	for (i = 0; i < p->n_kinds; i++) {
		const struct profile_kind *k = &p->kinds[i];

		work += (double)k->weight * k->width_mean * k->run_mean_ms;
		weight += k->weight;
	}
	return slots / (work / weight);
}

static double arrival_factor_at(const struct profile *p, int64_t now)
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

static void draw_jobs(struct fleet_load *l, struct rng *r, uint32_t percent)
{
	double rate = full_load_rate(l) * percent / 100, at = 0;
	size_t capacity = 0;

	for (;;) {
		at -= log(draw_uniform(r)) /
		      (rate * arrival_factor_at(l->profile, (int64_t)at));
		if (at >= (double)l->end_at)
			return;
		if (l->n_jobs == capacity) {
			capacity = capacity ? capacity * 2 : 1024;
			l->jobs = xrealloc(l->jobs,
					   capacity * sizeof(*l->jobs));
		}
		draw_job(&l->jobs[l->n_jobs++], l->profile, r, (int64_t)at);
	}
}

static int compare_work(const void *a, const void *b)
{
	const struct fleet_load_job *x = *(struct fleet_load_job *const *)a;
	const struct fleet_load_job *y = *(struct fleet_load_job *const *)b;
	double work_x = job_work(x), work_y = job_work(y);

	return work_x < work_y ? 1 : work_x > work_y ? -1 : x < y ? -1 : 1;
}

/* Class 2 is the largest tenth of each kind, class 1 the fifth below it. */
static void assign_size_classes(struct fleet_load *l)
{
	struct fleet_load_job **of_kind = xcalloc(
		l->n_jobs + 1, sizeof(struct fleet_load_job *));
	size_t i, k, n;

	for (k = 0; k < l->profile->n_kinds; k++) {
		n = 0;
		for (i = 0; i < l->n_jobs; i++)
			if (l->jobs[i].kind == k)
				of_kind[n++] = &l->jobs[i];
		qsort(of_kind, n, sizeof(struct fleet_load_job *),
		      compare_work);
		for (i = 0; i < n / LARGEST_DIVISOR; i++)
			of_kind[i]->size_class = 2;
		for (; i < n / LARGEST_DIVISOR + n / SECOND_DIVISOR; i++)
			of_kind[i]->size_class = 1;
	}
	free(of_kind);
}

void fleet_load_draw(struct fleet_load *l, const struct profile *p,
		     uint64_t seed, uint32_t percent, uint32_t instances)
{
	struct rng r = {seed};

	memset(l, 0, sizeof(*l));
	l->profile = p;
	l->end_at = (int64_t)p->seconds * 1000;
	l->n_workers = (size_t)instances * p->workers_each;
	l->workers = xcalloc(l->n_workers, sizeof(*l->workers));
	draw_workers(l, &r);
	draw_jobs(l, &r, percent);
	assign_size_classes(l);
}

void fleet_load_free(struct fleet_load *l)
{
	free(l->jobs);
	free(l->workers);
	memset(l, 0, sizeof(*l));
}

void fleet_load_results_free(struct fleet_load_results *results)
{
	free(results->answers);
	memset(results, 0, sizeof(*results));
}
