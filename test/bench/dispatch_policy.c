/*
 * Measures the dispatch policy under load on a virtual clock: response time
 * relative to the ideal, sends and peer messages per task, and the callers'
 * shares. The baseline policy runs the same jobs for comparison. Run times are
 * 50 ms to 1 s, evenly distributed on a logarithmic scale; one in a hundred is
 * 2 to 5 s. Jobs have 1 to 100 tasks.
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
	SLOTS = 8, /* per target */
	CALLERS = 8,
	WARM_UP_MS = 5000,
	SHARE_WINDOW_MS = 10000,
	JOBS_AHEAD = 20 /* open per caller and instance */
};

static const uint32_t shares[CALLERS] = {1, 1, 2, 2, 3, 4, 6, 8};

static double draw_uniform(struct rng *r)
{
	return (double)(rng_next(r) >> 11) / 9007199254740992.0;
}

static uint32_t draw_run_ms(struct rng *r)
{
	if (!rng_below(r, 100))
		return 2000 + (uint32_t)rng_below(r, 3000);
	return (uint32_t)(50.0 * pow(20.0, draw_uniform(r)));
}

static uint32_t draw_n_tasks(struct rng *r)
{
	uint64_t k = rng_below(r, 10);

	if (k < 6)
		return 1 + (uint32_t)rng_below(r, 4);
	if (k < 9)
		return 5 + (uint32_t)rng_below(r, 16);
	return 20 + (uint32_t)rng_below(r, 81);
}

/* Draws a caller in proportion to its share. */
static int draw_caller(struct rng *r)
{
	uint32_t total = 0, i, k;

	for (i = 0; i < CALLERS; i++)
		total += shares[i];
	k = (uint32_t)rng_below(r, total);
	for (i = 0; k >= shares[i]; i++)
		k -= shares[i];
	return (int)i;
}

/* Draws Poisson arrivals whose work is `load` percent of all slots. */
static struct policy_job *draw_jobs(uint64_t seed, int load, int n_instances,
				    int n_targets, int64_t ms, size_t *n)
{
	struct rng r = {seed};
	double mean_run_ms = 0.99 * 950 / log(20.0) + 0.01 * 3500;
	double mean_n_tasks = 0.6 * 2.5 + 0.3 * 12.5 + 0.1 * 60;
	double rate = (double)load / 100 * n_targets * SLOTS /
		      (mean_run_ms * mean_n_tasks);
	struct policy_job *jobs = NULL;
	double at = 0;
	uint32_t i;

	for (*n = 0; at < (double)ms; ++*n) {
		struct policy_job *j;

		at += -log(1 - draw_uniform(&r)) / rate;
		jobs = xrealloc(jobs, (*n + 1) * sizeof(*jobs));
		j = &jobs[*n];
		memset(j, 0, sizeof(*j));
		j->submitted_at = (int64_t)at;
		j->instance = (int)rng_below(&r, (uint64_t)n_instances);
		j->caller = draw_caller(&r);
		j->n_tasks = draw_n_tasks(&r);
		j->run_ms = xcalloc(j->n_tasks, sizeof(*j->run_ms));
		for (i = 0; i < j->n_tasks; i++) {
			j->run_ms[i] = draw_run_ms(&r);
			if (j->run_ms[i] > j->ideal_ms)
				j->ideal_ms = j->run_ms[i];
		}
	}
	return jobs;
}

static void free_jobs(struct policy_job *jobs, size_t n)
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
				      .queue_max = POLICY_QUEUE_MAX,
				      .time_limit_ms = 10000,
				      .message_delay_max_ms = 1,
				      .is_first_map = true};

	memcpy(opt.shares, shares, sizeof(shares));
	return cluster_new(&opt);
}

static size_t submit_job(struct cluster *c, const struct policy_job *j)
{
	struct cluster_task tasks[POLICY_TASKS_MAX + 1] = {{0}};
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++)
		tasks[i].run_ms = j->run_ms[i];
	return cluster_submit(c, j->instance, j->caller, "job", j->n_tasks,
			      tasks, 0);
}

static void run_cluster(struct policy_job *jobs, size_t n, int n_instances,
			int n_targets, uint64_t seed,
			struct policy_result *result)
{
	struct cluster *c = new_cluster(seed, n_instances, n_targets);
	int64_t begin_at;
	size_t i;

	cluster_run(c, 100);
	begin_at = c->now;
	for (i = 0; i < n; i++) {
		cluster_run(c, begin_at + jobs[i].submitted_at - c->now);
		submit_job(c, &jobs[i]);
	}
	cluster_run(c, 60000);
	for (i = 0; i < n; i++) {
		jobs[i].answer = c->jobs[i].outcome == SYC_COMPLETED
					 ? POLICY_COMPLETED
					 : POLICY_NOT_COMPLETED;
		jobs[i].took_ms = c->jobs[i].took_ms;
	}
	result->sends = c->sends;
	result->starts = c->starts;
	result->messages = c->messages;
	if (c->starts_over_slots || c->forbidden_reruns || c->wrong_answers)
		printf("ERROR: %llu starts without a free slot, %llu forbidden "
		       "reruns, %llu wrong answers\n",
		       (unsigned long long)c->starts_over_slots,
		       (unsigned long long)c->forbidden_reruns,
		       (unsigned long long)c->wrong_answers);
	cluster_free(c);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static uint64_t job_work_ms(const struct policy_job *j)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++)
		sum += j->run_ms[i];
	return sum;
}

static void print_result(const char *policy, int load, uint64_t seed,
			 const struct policy_job *jobs, size_t n,
			 const struct policy_result *result, double capacity_ms)
{
	double completed_ms = 0;
	double *ratio = xcalloc(n, sizeof(*ratio));
	size_t i, k = 0, refused = 0;

	for (i = 0; i < n; i++) {
		if (jobs[i].answer == POLICY_COMPLETED)
			completed_ms += (double)job_work_ms(&jobs[i]);
		if (jobs[i].answer != POLICY_COMPLETED)
			refused++;
		else if (jobs[i].submitted_at >= WARM_UP_MS)
			ratio[k++] = (double)jobs[i].took_ms /
				     (jobs[i].ideal_ms + 1);
	}
	qsort(ratio, k, sizeof(*ratio), compare_doubles);
	printf("%-7s %4d%% %5llu %8.3f %8.2f %8.2f %8.4f %8.4f %8.1f %8zu\n",
	       policy, load, (unsigned long long)seed, ratio[k / 2],
	       ratio[k * 99 / 100], ratio[k * 999 / 1000],
	       (double)result->sends / (double)result->starts,
	       (double)result->messages / (double)result->starts,
	       100 * completed_ms / capacity_ms, refused);
	free(ratio);
}

static void compare_policies(int load, uint64_t seed, int n_instances,
			     int n_targets, int64_t ms)
{
	struct policy_result result = {0};
	double capacity = (double)n_targets * SLOTS * (double)ms;
	size_t n;
	struct policy_job *jobs = draw_jobs(seed, load, n_instances, n_targets,
					    ms, &n);

	simple_policy_run(jobs, n, n_instances, n_targets, SLOTS, seed,
			  &result);
	print_result("simple", load, seed, jobs, n, &result, capacity);
	memset(&result, 0, sizeof(result));
	run_cluster(jobs, n, n_instances, n_targets, seed, &result);
	print_result("owners", load, seed, jobs, n, &result, capacity);
	free_jobs(jobs, n);
}

/* A load that keeps jobs of all callers waiting. */
struct saturation {
	struct cluster *c;
	struct rng r;
	int open_jobs[CALLERS][CLUSTER_INSTANCES_MAX];
};

static void on_answered(void *ctx, const struct cluster_job *j)
{
	struct saturation *saturation = ctx;

	saturation->open_jobs[j->caller][j->instance]--;
}

/* Keeps `jobs_ahead` jobs open for each caller at each instance it uses. */
static void submit_jobs(struct saturation *saturation, int n_instances,
			int jobs_ahead)
{
	int caller, i, n_open;

	for (caller = 0; caller < CALLERS; caller++)
		for (i = 0; i < n_instances; i++) {
			/* Odd callers use only one half of the instances. */
			if (caller % 2 && i % 2)
				continue;
			for (n_open = saturation->open_jobs[caller][i];
			     n_open < jobs_ahead; n_open++) {
				struct policy_job j = {.instance = i,
						       .caller = caller};
				uint32_t runs[POLICY_TASKS_MAX + 1], t;

				j.n_tasks = draw_n_tasks(&saturation->r);
				j.run_ms = runs;
				for (t = 0; t < j.n_tasks; t++)
					runs[t] = draw_run_ms(&saturation->r);
				saturation->open_jobs[caller][i]++;
				submit_job(saturation->c, &j);
			}
		}
}

/*
 * Prints the mean and the largest relative error of the callers' slot time
 * against their shares, over all windows.
 */
static void measure_share_error(uint64_t seed, int n_instances, int n_targets,
				int windows)
{
	struct saturation saturation = {.r = {seed}};
	int64_t before[CALLERS];
	double worst = 0, error_sum = 0, used = 0;
	uint32_t total = 0;
	int window, i, ms;

	saturation.c = new_cluster(seed, n_instances, n_targets);
	saturation.c->ctx = &saturation;
	saturation.c->on_answered = on_answered;
	for (i = 0; i < CALLERS; i++)
		total += shares[i];
	for (ms = 0; ms < WARM_UP_MS; ms += 50) {
		submit_jobs(&saturation, n_instances, JOBS_AHEAD);
		cluster_run(saturation.c, 50);
	}
	for (window = 0; window < windows; window++) {
		double total_ms = 0;

		memcpy(before, saturation.c->slot_ms, sizeof(before));
		for (ms = 0; ms < SHARE_WINDOW_MS; ms += 50) {
			submit_jobs(&saturation, n_instances, JOBS_AHEAD);
			cluster_run(saturation.c, 50);
		}
		for (i = 0; i < CALLERS; i++)
			total_ms += (double)(saturation.c->slot_ms[i] -
					     before[i]);
		used += total_ms /
			((double)n_targets * SLOTS * SHARE_WINDOW_MS);
		for (i = 0; i < CALLERS; i++) {
			double entitled_ms = total_ms * shares[i] / total;
			double error = fabs((double)(saturation.c->slot_ms[i] -
						     before[i]) -
					    entitled_ms) /
				       entitled_ms;

			if (getenv("DBG"))
				printf("window %d caller %d error %.1f%%\n",
				       window, i,
				       100 *
					       ((double)(saturation.c
								 ->slot_ms[i] -
							 before[i]) -
						entitled_ms) /
					       entitled_ms);
			error_sum += error;
			worst = error > worst ? error : worst;
		}
	}
	printf("shares  seed %llu: error mean %.1f%%, worst %.1f%%, slots used "
	       "%.1f%%, messages a task %.4f, sends a task %.4f\n",
	       (unsigned long long)seed, 100 * error_sum / (windows * CALLERS),
	       100 * worst, 100 * used / windows,
	       (double)saturation.c->messages / (double)saturation.c->starts,
	       (double)saturation.c->sends / (double)saturation.c->starts);
	cluster_free(saturation.c);
}

static int int_argument(int argc, char **argv, int i, int default_value)
{
	return argc > i ? atoi(argv[i]) : default_value;
}

int main(int argc, char **argv)
{
	static const int loads[] = {60, 80, 95, 120};
	int seeds = int_argument(argc, argv, 1, 5);
	int n_instances = int_argument(argc, argv, 2, 2);
	int n_targets = int_argument(argc, argv, 3, 13);
	int seconds = int_argument(argc, argv, 4, 120);
	size_t i;
	int seed;

	printf("%d instances, %d targets of %d slots, %d s\n", n_instances,
	       n_targets, SLOTS, seconds);
	printf("%-7s %5s %5s %8s %8s %8s %8s %8s %8s %8s\n", "policy", "load",
	       "seed", "p50", "p99", "p99.9", "sends", "messages", "good %",
	       "refused");
	for (i = 0; i < sizeof(loads) / sizeof(*loads); i++)
		for (seed = 1; seed <= seeds; seed++)
			compare_policies(loads[i], (uint64_t)seed, n_instances,
					 n_targets, seconds * 1000);
	for (seed = 1; seed <= seeds; seed++)
		measure_share_error((uint64_t)seed, n_instances, n_targets, 3);
	return 0;
}
