/*
 * The policy under load on a virtual clock: response time over the ideal,
 * sends and peer messages a task, and the callers' shares, beside the
 * simplest rule with the same jobs. Run times: 50 ms to 1 s, evenly on a
 * logarithmic scale, one in a hundred 2 to 5 s. Jobs of 1 to 100 tasks.
 *
 *	dispatch_policy [SEEDS] [INSTANCES] [TARGETS] [SECONDS]
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../unit/dispatch_cluster.h"
#include "dispatch_simple.h"
#include "util/alloc.h"

enum {
	SLOTS = 8,
	CALLERS = 8,
	WARM_MS = 5000,
	SHARE_MS = 10000,
	JOBS_AHEAD = 20
};

static const uint32_t shares[CALLERS] = {1, 1, 2, 2, 3, 4, 6, 8};

static double unit(struct rng *r)
{
	return (double)(rng_next(r) >> 11) / 9007199254740992.0;
}

static uint32_t run_time(struct rng *r)
{
	if (!rng_below(r, 100))
		return 2000 + (uint32_t)rng_below(r, 3000);
	return (uint32_t)(50.0 * pow(20.0, unit(r)));
}

static uint32_t job_size(struct rng *r)
{
	uint64_t k = rng_below(r, 10);

	if (k < 6)
		return 1 + (uint32_t)rng_below(r, 4);
	if (k < 9)
		return 5 + (uint32_t)rng_below(r, 16);
	return 20 + (uint32_t)rng_below(r, 81);
}

/* Callers ask for what their shares entitle them to. */
static int by_share(struct rng *r)
{
	uint32_t total = 0, i, k;

	for (i = 0; i < CALLERS; i++)
		total += shares[i];
	k = (uint32_t)rng_below(r, total);
	for (i = 0; k >= shares[i]; i++)
		k -= shares[i];
	return (int)i;
}

/* Poisson arrivals whose work is `load` percent of all slots. */
static struct load_job *make_load(uint64_t seed, int load, int n_instances,
				  int n_targets, int64_t ms, size_t *n)
{
	struct rng r = {seed};
	double mean_ms = 0.99 * 950 / log(20.0) + 0.01 * 3500;
	double mean_n = 0.6 * 2.5 + 0.3 * 12.5 + 0.1 * 60;
	double rate = (double)load / 100 * n_targets * SLOTS /
		      (mean_ms * mean_n);
	struct load_job *jobs = NULL;
	double at = 0;
	uint32_t i;

	for (*n = 0; at < (double)ms; ++*n) {
		struct load_job *j;

		at += -log(1 - unit(&r)) / rate;
		jobs = xrealloc(jobs, (*n + 1) * sizeof(*jobs));
		j = &jobs[*n];
		memset(j, 0, sizeof(*j));
		j->at = (int64_t)at;
		j->instance = (int)rng_below(&r, (uint64_t)n_instances);
		j->caller = by_share(&r);
		j->n = job_size(&r);
		j->run_ms = xcalloc(j->n, sizeof(*j->run_ms));
		for (i = 0; i < j->n; i++) {
			j->run_ms[i] = run_time(&r);
			if (j->run_ms[i] > j->ideal_ms)
				j->ideal_ms = j->run_ms[i];
		}
	}
	return jobs;
}

static void free_load(struct load_job *jobs, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		free(jobs[i].run_ms);
	free(jobs);
}

static struct cluster *new_cluster(uint64_t seed, int n_instances,
				   int n_targets)
{
	struct cluster_options opt = {.seed = seed,
				      .n_instances = n_instances,
				      .n_targets = n_targets,
				      .slots_per_target = SLOTS,
				      .n_callers = CALLERS,
				      .queue_max = LOAD_QUEUE,
				      .time_limit_ms = 10000,
				      .message_delay_max_ms = 1,
				      .is_first_map = true};

	memcpy(opt.shares, shares, sizeof(shares));
	return cluster_new(&opt);
}

static size_t submit(struct cluster *c, const struct load_job *j)
{
	struct cluster_task tasks[LOAD_TASKS_MAX + 1] = {{0}};
	uint32_t i;

	for (i = 0; i < j->n; i++)
		tasks[i].run_ms = j->run_ms[i];
	return cluster_submit(c, j->instance, j->caller, "job", j->n, tasks, 0);
}

static void cluster_play(struct load_job *jobs, size_t n, int n_instances,
			 int n_targets, uint64_t seed, struct load_result *res)
{
	struct cluster *c = new_cluster(seed, n_instances, n_targets);
	int64_t begin;
	size_t i;

	cluster_run(c, 100);
	begin = c->now;
	for (i = 0; i < n; i++) {
		cluster_run(c, begin + jobs[i].at - c->now);
		submit(c, &jobs[i]);
	}
	cluster_run(c, 60000);
	for (i = 0; i < n; i++) {
		jobs[i].answered = c->jobs[i].outcome == SYC_COMPLETED ? 1 : 2;
		jobs[i].took_ms = c->jobs[i].took_ms;
	}
	res->sends = c->sends;
	res->starts = c->starts;
	res->messages = c->messages;
	if (c->starts_over_slots || c->forbidden_reruns || c->wrong_answers)
		printf("FAULT: over slots %llu\n",
		       (unsigned long long)c->starts_over_slots);
	cluster_free(c);
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static uint64_t work_of(const struct load_job *j)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < j->n; i++)
		sum += j->run_ms[i];
	return sum;
}

static void report(const char *rule, int load, uint64_t seed,
		   const struct load_job *jobs, size_t n,
		   const struct load_result *res, double capacity_ms)
{
	double good = 0;
	double *ratio = xcalloc(n, sizeof(*ratio));
	size_t i, k = 0, refused = 0;

	for (i = 0; i < n; i++) {
		if (jobs[i].answered == 1)
			good += (double)work_of(&jobs[i]);
		if (jobs[i].answered != 1)
			refused++;
		else if (jobs[i].at >= WARM_MS)
			ratio[k++] = (double)jobs[i].took_ms /
				     (jobs[i].ideal_ms + 1);
	}
	qsort(ratio, k, sizeof(*ratio), by_value);
	printf("%-7s %4d%% %5llu %8.3f %8.2f %8.2f %8.4f %8.4f %8.1f %8zu\n",
	       rule, load, (unsigned long long)seed, ratio[k / 2],
	       ratio[k * 99 / 100], ratio[k * 999 / 1000],
	       (double)res->sends / (double)res->starts,
	       (double)res->messages / (double)res->starts,
	       100 * good / capacity_ms, refused);
	free(ratio);
}

static void compare(int load, uint64_t seed, int n_instances, int n_targets,
		    int64_t ms)
{
	struct load_result res = {0};
	double capacity = (double)n_targets * SLOTS * (double)ms;
	size_t n;
	struct load_job *jobs = make_load(seed, load, n_instances, n_targets,
					  ms, &n);

	simple_run(jobs, n, n_instances, n_targets, SLOTS, seed, &res);
	report("simple", load, seed, jobs, n, &res, capacity);
	memset(&res, 0, sizeof(res));
	cluster_play(jobs, n, n_instances, n_targets, seed, &res);
	report("owners", load, seed, jobs, n, &res, capacity);
	free_load(jobs, n);
}

struct keep_busy {
	struct cluster *c;
	struct rng r;
	int out[CALLERS][CLUSTER_INSTANCES_MAX]; /* jobs */
};

static void answered(void *ctx, const struct cluster_job *j)
{
	struct keep_busy *k = ctx;

	k->out[j->caller][j->instance]--;
}

/* Every caller has jobs waiting at the instances that it uses. */
static void top_up(struct keep_busy *k, int n_instances, int jobs_ahead)
{
	int caller, i, try;

	for (caller = 0; caller < CALLERS; caller++)
		for (i = 0; i < n_instances; i++) {
			/* Odd callers know only one half of the instances. */
			if (caller % 2 && i % 2)
				continue;
			for (try = k->out[caller][i]; try < jobs_ahead; try++) {
				struct load_job j = {.instance = i,
						     .caller = caller};
				uint32_t runs[LOAD_TASKS_MAX + 1], t;

				j.n = job_size(&k->r);
				j.run_ms = runs;
				for (t = 0; t < j.n; t++)
					runs[t] = run_time(&k->r);
				k->out[caller][i]++;
				submit(k->c, &j);
			}
		}
}

/* The worst share of any caller in any window, and the mean, off its due. */
static void share_error(uint64_t seed, int n_instances, int n_targets,
			int windows)
{
	struct keep_busy k = {.r = {seed}};
	int64_t before[CALLERS];
	double worst = 0, sum = 0, used = 0;
	uint32_t total = 0;
	int w, i, ms;

	k.c = new_cluster(seed, n_instances, n_targets);
	k.c->ctx = &k;
	k.c->on_answered = answered;
	for (i = 0; i < CALLERS; i++)
		total += shares[i];
	for (ms = 0; ms < WARM_MS; ms += 50) {
		top_up(&k, n_instances, JOBS_AHEAD);
		cluster_run(k.c, 50);
	}
	for (w = 0; w < windows; w++) {
		double got = 0;

		memcpy(before, k.c->slot_ms, sizeof(before));
		for (ms = 0; ms < SHARE_MS; ms += 50) {
			top_up(&k, n_instances, JOBS_AHEAD);
			cluster_run(k.c, 50);
		}
		for (i = 0; i < CALLERS; i++)
			got += (double)(k.c->slot_ms[i] - before[i]);
		used += got / ((double)n_targets * SLOTS * SHARE_MS);
		for (i = 0; i < CALLERS; i++) {
			double due = got * shares[i] / total;
			double err = fabs((double)(k.c->slot_ms[i] -
						   before[i]) -
					  due) /
				     due;

			if (getenv("DBG"))
				printf("w %d caller %d err %.1f%%\n", w, i,
				       100 *
					       ((double)(k.c->slot_ms[i] -
							 before[i]) -
						due) /
					       due);
			sum += err;
			worst = err > worst ? err : worst;
		}
	}
	printf("shares  seed %llu: error mean %.1f%%, worst %.1f%%, slots used "
	       "%.1f%%, messages a task %.4f, sends a task %.4f\n",
	       (unsigned long long)seed, 100 * sum / (windows * CALLERS),
	       100 * worst, 100 * used / windows,
	       (double)k.c->messages / (double)k.c->starts,
	       (double)k.c->sends / (double)k.c->starts);
	cluster_free(k.c);
}

static int number(int argc, char **argv, int i, int otherwise)
{
	return argc > i ? atoi(argv[i]) : otherwise;
}

int main(int argc, char **argv)
{
	static const int loads[] = {60, 80, 95, 120};
	int seeds = number(argc, argv, 1, 5);
	int n_instances = number(argc, argv, 2, 2);
	int n_targets = number(argc, argv, 3, 13);
	int seconds = number(argc, argv, 4, 120);
	size_t i;
	int s;

	printf("%d instances, %d targets of %d slots, %d s\n", n_instances,
	       n_targets, SLOTS, seconds);
	printf("%-7s %5s %5s %8s %8s %8s %8s %8s %8s %8s\n", "rule", "load",
	       "seed", "p50", "p99", "p99.9", "sends", "messages", "good %",
	       "refused");
	for (i = 0; i < sizeof(loads) / sizeof(*loads); i++)
		for (s = 1; s <= seeds; s++)
			compare(loads[i], (uint64_t)s, n_instances, n_targets,
				seconds * 1000);
	for (s = 1; s <= seeds; s++)
		share_error((uint64_t)s, n_instances, n_targets, 3);
	return 0;
}
