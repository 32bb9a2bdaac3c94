/*
 * Measures the processor time that the dispatcher spends on one start and its
 * result, by the number of targets and of callers. Targets answer at once, jobs
 * have 50 tasks, and the queue is never empty.
 *
 *	dispatch_rate [STARTS]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "cpu_time.h"
#include "sycamoreshore/dispatch.h"
#include "util/alloc.h"

enum {
	TASKS = 50, /* per job */
	SLOTS = 8, /* per target */
	JOBS_AHEAD = 40, /* open beyond those that fill the slots */
	STARTS_PER_TICK = 100,
	DEADLINE_MS = 100000000
};

struct bench {
	struct syc_dispatch *dispatch;
	int64_t now;
	size_t n_in_flight;
	uint64_t *in_flight; /* ids of starts, a ring buffer */
	size_t ring_size, head;
	uint64_t starts;
	int n_callers;
	uint64_t tag; /* of the job submitted last */
	int open_jobs;
};

static void on_start(void *ctx, const struct syc_start *s)
{
	struct bench *b = ctx;

	b->in_flight[(b->head + b->n_in_flight++) % b->ring_size] = s->id;
	b->starts++;
}

static void on_stop(void *ctx, uint64_t id)
{
}

static void send_message(void *ctx, uint64_t to, struct syc_bytes msg)
{
}

static void on_done(void *ctx, uint64_t tag, const struct syc_answer *a)
{
	struct bench *b = ctx;

	b->open_jobs--;
	if (a->outcome != SYC_COMPLETED) {
		fprintf(stderr, "dispatch_rate: %s: %s\n",
			syc_reason_name(a->reason), a->detail);
		exit(1);
	}
}

static uint64_t find_owner(void *ctx, const char *name)
{
	return 1;
}

static struct syc_bundle *make_bundle(int n_callers)
{
	struct syc_bundle *b = xcalloc(1, sizeof(*b));
	int i;

	b->refs = 1;
	b->version = 1;
	b->n_services = 1;
	b->services = xcalloc(1, sizeof(*b->services));
	strcpy(b->services[0].name, "svc");
	b->services[0].slots = SLOTS;
	b->n_callers = (size_t)n_callers;
	b->callers = xcalloc(b->n_callers, sizeof(*b->callers));
	for (i = 0; i < n_callers; i++) {
		snprintf(b->callers[i].name, SYC_NAME_MAX, "c%d", i);
		b->callers[i].share = 1 + (uint32_t)i % 7;
	}
	b->n_kinds = 1;
	b->kinds = xcalloc(1, sizeof(*b->kinds));
	strcpy(b->kinds[0].name, "job");
	strcpy(b->kinds[0].service, "svc");
	b->kinds[0].time_limit_ms = 5000;
	return b;
}

static void set_targets(struct bench *b, int n)
{
	struct syc_target *t = xcalloc((size_t)n, sizeof(*t));
	int i;

	for (i = 0; i < n; i++) {
		snprintf(t[i].name, SYC_NAME_MAX, "t%d", i);
		strcpy(t[i].service, "svc");
		snprintf(t[i].rack, SYC_NAME_MAX, "r%d", i / 6);
		t[i].cpus = 16;
		t[i].memory_mb = 65536;
	}
	syc_dispatch_set_targets(b->dispatch, b->now, "svc", t, (size_t)n);
	free(t);
}

static void submit_job(struct bench *b)
{
	struct syc_task_spec tasks[TASKS] = {{{NULL, 0}, 0, 0, 0, 0}};
	struct syc_job_spec spec = {0};
	char caller[16];

	snprintf(caller, sizeof(caller), "c%d",
		 (int)(b->tag % (uint64_t)b->n_callers));
	spec.caller = caller;
	spec.kind = "job";
	spec.deadline_ms = DEADLINE_MS;
	spec.n_tasks = TASKS;
	spec.tasks = tasks;
	b->open_jobs++;
	syc_dispatch_submit(b->dispatch, b->now, ++b->tag, &spec);
}

static void end_oldest_start(struct bench *b)
{
	struct syc_send_result res = {.end = SYC_SEND_ANSWERED, .status = 200};
	uint64_t id = b->in_flight[b->head];

	b->head = (b->head + 1) % b->ring_size;
	b->n_in_flight--;
	syc_dispatch_result(b->dispatch, b->now, id, &res);
}

static long rss_kb(void)
{
	struct rusage ru;

	getrusage(RUSAGE_SELF, &ru);
	return ru.ru_maxrss;
}

static void measure(int n_targets, int n_callers, uint64_t starts)
{
	struct syc_dispatch_options opt = {.self = 1,
					   .domain = "d1",
					   .rack = "r0",
					   .queue_max = 10000000,
					   .start = on_start,
					   .stop = on_stop,
					   .send = send_message,
					   .done = on_done,
					   .find_owner = find_owner};
	struct bench b = {.now = 1000, .n_callers = n_callers};
	struct syc_bundle *bundle = make_bundle(n_callers);
	int jobs_ahead = JOBS_AHEAD + n_targets * SLOTS / TASKS + n_callers;
	uint64_t first_start;
	double cpu_used_s;

	b.ring_size = (size_t)n_targets * SLOTS + 1;
	b.in_flight = xcalloc(b.ring_size, sizeof(*b.in_flight));
	opt.ctx = &b;
	b.dispatch = syc_dispatch_new(&opt, b.now);
	syc_dispatch_set_first_map(b.dispatch);
	syc_dispatch_set_bundle(b.dispatch, b.now, bundle);
	syc_bundle_unref(bundle);
	set_targets(&b, n_targets);
	while (b.open_jobs < jobs_ahead)
		submit_job(&b);
	first_start = b.starts;
	cpu_used_s = cpu_s();
	while (b.starts - first_start < starts) {
		end_oldest_start(&b);
		while (b.open_jobs < jobs_ahead)
			submit_job(&b);
		if (b.starts % STARTS_PER_TICK == 0) {
			b.now += 10;
			syc_dispatch_tick(b.dispatch, b.now);
		}
	}
	cpu_used_s = cpu_s() - cpu_used_s;
	printf("%8d %8d %10.0f %12.0f %10ld\n", n_targets, n_callers,
	       cpu_used_s * 1e9 / (double)starts, (double)starts / cpu_used_s,
	       rss_kb());
	syc_dispatch_free(b.dispatch);
	free(b.in_flight);
}

int main(int argc, char **argv)
{
	static const int targets[] = {10, 50, 250, 1308, 17000};
	static const int callers[] = {1, 8, 40, 120};
	uint64_t n = argc > 1 ? strtoull(argv[1], NULL, 10) : 1000000;
	size_t i;

	printf("%8s %8s %10s %12s %10s\n", "targets", "callers", "ns/task",
	       "tasks/s", "max KB");
	for (i = 0; i < sizeof(targets) / sizeof(*targets); i++)
		measure(targets[i], 8, n);
	for (i = 0; i < sizeof(callers) / sizeof(*callers); i++)
		measure(250, callers[i], n);
	return 0;
}
