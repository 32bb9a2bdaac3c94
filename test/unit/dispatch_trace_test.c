/*
 * Replays the traces in test/traces through real dispatchers and checks the
 * results that each trace expects. test/traces/README.md describes the format.
 */
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_cluster.h"
#include "unit.h"
#include "util/alloc.h"

enum {
	EVENTS_MAX = 8192,
	LINE_MAX_BYTES = 256,
	EXPECTATIONS_MAX = 32,
	TASKS_MAX = 1600,
	RACK_TARGETS = 6 /* as dispatch_cluster.c assigns them */
};

struct trace_event {
	long at;
	size_t index; /* keeps events of the same time in order */
	char line[LINE_MAX_BYTES];
};

struct trace {
	const char *name;
	struct cluster_options opt;
	struct trace_event *events;
	size_t n_events;
	long end_at;
	char expectations[EXPECTATIONS_MAX][LINE_MAX_BYTES];
	size_t n_expectations;
	struct cluster *cluster;
	int next_instance; /* instance that receives the next job */
	/* Counters at the event "mark". */
	int64_t mark_slot_ms[CLUSTER_CALLERS_MAX];
	uint64_t *mark_starts;
};

static void add_event(struct trace *t, long at, const char *line)
{
	struct trace_event *e = &t->events[t->n_events++];

	CU_ASSERT_FATAL(t->n_events < EVENTS_MAX);
	e->at = at;
	e->index = t->n_events;
	copy_text(e->line, sizeof(e->line), line);
}

static void read_event(struct trace *t, long at, const char *rest)
{
	long gap, count;
	int used = 0;

	if (sscanf(rest, "every %ld %ld %n", &gap, &count, &used) < 2) {
		add_event(t, at, rest);
		return;
	}
	for (; count; count--, at += gap)
		add_event(t, at, rest + used);
}

static void read_line(struct trace *t, const char *line)
{
	struct cluster_options *o = &t->opt;
	int n = 0, caller;
	uint32_t share;
	long at;

	if (line[0] == '#' || line[0] == '\n')
		return;
	if (sscanf(line, "cluster %d %d %u %d %u", &o->n_instances,
		   &o->n_targets, &o->slots_per_target, &o->n_callers,
		   &o->time_limit_ms) == 5)
		return;
	if (sscanf(line, "at %ld %n", &at, &n) == 1)
		read_event(t, at, line + n);
	else if (sscanf(line, "share %d %u", &caller, &share) == 2)
		o->shares[caller] = share;
	else if (sscanf(line, "until %ld", &t->end_at) == 1)
		return;
	else if (!strncmp(line, "expect ", 7))
		copy_text(t->expectations[t->n_expectations++], LINE_MAX_BYTES,
			  line + 7);
	else
		CU_FAIL("unknown line in a trace");
}

static void submit_job(struct trace *t, const char *line)
{
	struct cluster_task tasks[TASKS_MAX] = {{0}};
	uint32_t i, n_tasks, run_ms, declared_ms = 0, cpus = 0, end = 0;
	char kind[16];
	int caller;

	CU_ASSERT_FATAL(sscanf(line, "job %d %15s %u %u %u %u %u", &caller,
			       kind, &n_tasks, &run_ms, &declared_ms, &cpus,
			       &end) >= 4);
	for (i = 0; i < n_tasks; i++) {
		tasks[i].run_ms = run_ms;
		tasks[i].declared_ms = declared_ms;
		tasks[i].cpus = cpus;
		tasks[i].end = end;
	}
	cluster_submit(t->cluster, t->next_instance, caller, kind, n_tasks,
		       tasks, 0);
	t->next_instance = (t->next_instance + 1) % t->cluster->n_instances;
}

static void set_target(struct trace *t, int i, const char *state)
{
	struct cluster_target *target = &t->cluster->targets[i];

	target->behaviour = CLUSTER_NORMAL;
	if (!strcmp(state, "fails"))
		target->behaviour = CLUSTER_FAILS_FAST;
	else if (!strcmp(state, "refuses"))
		target->behaviour = CLUSTER_REFUSES_ALL;
	target->is_unreachable = !strcmp(state, "gone");
	target->slow_percent = strcmp(state, "slow") ? 0 : 400;
	target->conf.leaving = !strcmp(state, "leaving");
	cluster_list_targets(t->cluster);
}

static void cancel_all(struct trace *t, int caller)
{
	size_t i;

	for (i = 0; i < t->cluster->n_jobs; i++)
		if (t->cluster->jobs[i].caller == caller &&
		    !t->cluster->jobs[i].is_answered)
			cluster_cancel(t->cluster, i);
}

static void store_mark(struct trace *t)
{
	int i;

	memcpy(t->mark_slot_ms, t->cluster->slot_ms, sizeof(t->mark_slot_ms));
	for (i = 0; i < t->cluster->n_targets; i++)
		t->mark_starts[i] = t->cluster->targets[i].starts;
}

static void handle_event(struct trace *t, const char *line)
{
	char what[16];
	uint32_t share;
	int i, k;

	if (!strncmp(line, "job ", 4)) {
		submit_job(t, line);
	} else if (sscanf(line, "target %d %15s", &i, what) == 2) {
		set_target(t, i, what);
	} else if (sscanf(line, "rack %d %15s", &i, what) == 2) {
		for (k = i * RACK_TARGETS; k < (i + 1) * RACK_TARGETS; k++)
			set_target(t, k, what);
	} else if (sscanf(line, "cancel %d", &i) == 1) {
		cancel_all(t, i);
	} else if (sscanf(line, "share %d %u", &i, &share) == 2) {
		t->cluster->opt.shares[i] = share;
		cluster_update_bundle(t->cluster);
	} else if (!strncmp(line, "mark", 4)) {
		store_mark(t);
	} else {
		CU_FAIL("unknown event in a trace");
	}
}

static double share_percent(const struct trace *t, int caller)
{
	int64_t total = 0;
	int i;

	for (i = 0; i < t->cluster->opt.n_callers; i++)
		total += t->cluster->slot_ms[i] - t->mark_slot_ms[i];
	return total ? 100.0 *
			       (double)(t->cluster->slot_ms[caller] -
					t->mark_slot_ms[caller]) /
			       (double)total
		     : 0;
}

static bool has_outcome(const struct cluster_job *j, const char *name)
{
	if (!strcmp(name, "open"))
		return !j->is_answered;
	return j->is_answered && !strcmp(name, syc_outcome_name(j->outcome));
}

static double measure_caller_quantity(const struct trace *t,
				      const char *quantity, int caller)
{
	const struct cluster_job *j;
	double n = 0, slowest = 0;
	size_t i;

	for (i = 0; i < t->cluster->n_jobs; i++) {
		j = &t->cluster->jobs[i];
		if (j->caller != caller)
			continue;
		n += has_outcome(j, quantity);
		if (j->outcome == SYC_COMPLETED && j->took_ms > slowest)
			slowest = (double)j->took_ms;
	}
	return strcmp(quantity, "slowest") ? n : slowest;
}

static double measure_quantity(const struct trace *t, const char *quantity,
			       int i)
{
	const struct cluster *c = t->cluster;

	if (!strcmp(quantity, "over_slots"))
		return (double)c->starts_over_slots;
	if (!strcmp(quantity, "twice"))
		return (double)c->forbidden_reruns;
	if (!strcmp(quantity, "extra_sends"))
		return 100.0 * (double)(c->sends - c->starts) /
		       (double)c->starts;
	if (!strcmp(quantity, "part"))
		return share_percent(t, i);
	if (!strcmp(quantity, "starts"))
		return (double)(c->targets[i].starts - t->mark_starts[i]);
	return measure_caller_quantity(t, quantity, i);
}

static void check_expectation(const struct trace *t, const char *line)
{
	char quantity[16], op[3];
	double expected, measured;
	bool is_met;
	int i;

	CU_ASSERT_FATAL(sscanf(line, "%15s %d %2s %lf", quantity, &i, op,
			       &expected) == 4);
	measured = measure_quantity(t, quantity, i);
	is_met = (op[0] == '<' && measured <= expected) ||
		 (op[0] == '>' && measured >= expected) ||
		 (op[0] == '=' && measured == expected);
	if (!is_met)
		printf("\n%s: got %g, expect %s", t->name, measured, line);
	CU_ASSERT_TRUE(is_met);
}

static int compare_events(const void *a, const void *b)
{
	const struct trace_event *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->index < y->index ? -1 : 1;
}

static void run_trace(struct trace *t)
{
	int64_t begin_at;
	size_t i;

	t->cluster = cluster_new(&t->opt);
	t->mark_starts = xcalloc((size_t)t->opt.n_targets, sizeof(uint64_t));
	qsort(t->events, t->n_events, sizeof(*t->events), compare_events);
	begin_at = t->cluster->now;
	for (i = 0; i < t->n_events; i++) {
		cluster_run(t->cluster,
			    begin_at + t->events[i].at - t->cluster->now);
		handle_event(t, t->events[i].line);
	}
	cluster_run(t->cluster, begin_at + t->end_at - t->cluster->now);
	for (i = 0; i < t->n_expectations; i++)
		check_expectation(t, t->expectations[i]);
	free(t->mark_starts);
	cluster_free(t->cluster);
}

static void replay_file(const char *path)
{
	struct trace *t = xcalloc(1, sizeof(*t));
	FILE *f = fopen(path, "r");
	char line[LINE_MAX_BYTES];

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	t->name = path;
	t->events = xcalloc(EVENTS_MAX, sizeof(*t->events));
	t->opt.seed = 1;
	t->opt.queue_max = 2000;
	t->opt.message_delay_max_ms = 1;
	t->opt.is_first_map = true;
	while (fgets(line, sizeof(line), f))
		read_line(t, line);
	fclose(f);
	CU_ASSERT_TRUE(t->n_expectations > 0);
	run_trace(t);
	free(t->events);
	free(t);
}

static void traces_meet_their_expectations(void)
{
	const char *path = getenv("SYC_TRACE");
	glob_t g;
	size_t i;

	CU_ASSERT_EQUAL_FATAL(
		glob(path ? path : "test/traces/*.trace", 0, NULL, &g), 0);
	for (i = 0; i < g.gl_pathc; i++)
		replay_file(g.gl_pathv[i]);
	globfree(&g);
}

SUITE(dispatch_trace)
{
	TEST(traces_meet_their_expectations);
}
