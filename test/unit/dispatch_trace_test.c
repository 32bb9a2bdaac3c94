/*
 * Replays the traces in test/traces through real dispatchers and checks the
 * outcome that each states. Their form is in test/traces/README.md.
 */
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_cluster.h"
#include "unit.h"
#include "util/alloc.h"

enum { EVENTS = 8192, LINE = 256, EXPECTS = 32, TASKS = 1600, RACK = 6 };

struct trace_event {
	long at;
	size_t place; /* keeps events of one time in order */
	char line[LINE];
};

struct trace {
	const char *name;
	struct cluster_options opt;
	struct trace_event *events;
	size_t n_events;
	long until;
	char expects[EXPECTS][LINE];
	size_t n_expects;
	struct cluster *c;
	int turn; /* instance of the next job */
	int64_t mark_ms[CLUSTER_CALLERS_MAX];
	uint64_t *mark_starts;
};

static void add_event(struct trace *t, long at, const char *line)
{
	struct trace_event *e = &t->events[t->n_events++];

	CU_ASSERT_FATAL(t->n_events < EVENTS);
	e->at = at;
	e->place = t->n_events;
	copy_name(e->line, sizeof(e->line), line);
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
	else if (sscanf(line, "until %ld", &t->until) == 1)
		return;
	else if (!strncmp(line, "expect ", 7))
		copy_name(t->expects[t->n_expects++], LINE, line + 7);
	else
		CU_FAIL("a line of no known form");
}

static void do_job(struct trace *t, const char *line)
{
	struct cluster_task tasks[TASKS] = {{0}};
	uint32_t i, n, run, declared = 0, cpus = 0, end = 0;
	char kind[16];
	int caller;

	CU_ASSERT_FATAL(sscanf(line, "job %d %15s %u %u %u %u %u", &caller,
			       kind, &n, &run, &declared, &cpus, &end) >= 4);
	for (i = 0; i < n; i++) {
		tasks[i].run_ms = run;
		tasks[i].declared_ms = declared;
		tasks[i].cpus = cpus;
		tasks[i].end = end;
	}
	cluster_submit(t->c, t->turn, caller, kind, n, tasks, 0);
	t->turn = (t->turn + 1) % t->c->n_instances;
}

static void do_target(struct trace *t, int i, const char *what)
{
	struct cluster_target *to = &t->c->targets[i];

	to->mood = CLUSTER_GOOD;
	if (!strcmp(what, "fails"))
		to->mood = CLUSTER_FAILS_FAST;
	else if (!strcmp(what, "refuses"))
		to->mood = CLUSTER_REFUSES_ALL;
	to->gone = !strcmp(what, "gone");
	to->slow_percent = strcmp(what, "slow") ? 0 : 400;
	to->conf.leaving = !strcmp(what, "leaving");
	cluster_list_targets(t->c);
}

static void cancel_all(struct trace *t, int caller)
{
	size_t i;

	for (i = 0; i < t->c->n_jobs; i++)
		if (t->c->jobs[i].caller == caller && !t->c->jobs[i].answered)
			cluster_cancel(t->c, i);
}

static void do_mark(struct trace *t)
{
	int i;

	memcpy(t->mark_ms, t->c->slot_ms, sizeof(t->mark_ms));
	for (i = 0; i < t->c->n_targets; i++)
		t->mark_starts[i] = t->c->targets[i].starts;
}

static void do_event(struct trace *t, const char *line)
{
	char what[16];
	uint32_t share;
	int i, k;

	if (!strncmp(line, "job ", 4)) {
		do_job(t, line);
	} else if (sscanf(line, "target %d %15s", &i, what) == 2) {
		do_target(t, i, what);
	} else if (sscanf(line, "rack %d %15s", &i, what) == 2) {
		for (k = i * RACK; k < (i + 1) * RACK; k++)
			do_target(t, k, what);
	} else if (sscanf(line, "cancel %d", &i) == 1) {
		cancel_all(t, i);
	} else if (sscanf(line, "share %d %u", &i, &share) == 2) {
		t->c->opt.shares[i] = share;
		cluster_roll(t->c);
	} else if (!strncmp(line, "mark", 4)) {
		do_mark(t);
	} else {
		CU_FAIL("an event of no known form");
	}
}

static double part(const struct trace *t, int caller)
{
	int64_t all = 0;
	int i;

	for (i = 0; i < t->c->opt.n_callers; i++)
		all += t->c->slot_ms[i] - t->mark_ms[i];
	return all ? 100.0 *
			       (double)(t->c->slot_ms[caller] -
					t->mark_ms[caller]) /
			       (double)all
		   : 0;
}

static bool is_outcome(const struct cluster_job *j, const char *what)
{
	if (!strcmp(what, "open"))
		return !j->answered;
	return j->answered && !strcmp(what, syc_outcome_name(j->outcome));
}

static double by_caller(const struct trace *t, const char *what, int caller)
{
	const struct cluster_job *j;
	double n = 0, slowest = 0;
	size_t i;

	for (i = 0; i < t->c->n_jobs; i++) {
		j = &t->c->jobs[i];
		if (j->caller != caller)
			continue;
		n += is_outcome(j, what);
		if (j->outcome == SYC_COMPLETED && j->took_ms > slowest)
			slowest = (double)j->took_ms;
	}
	return strcmp(what, "slowest") ? n : slowest;
}

static double measure(const struct trace *t, const char *what, int i)
{
	const struct cluster *c = t->c;

	if (!strcmp(what, "over_slots"))
		return (double)c->starts_over_slots;
	if (!strcmp(what, "twice"))
		return (double)c->forbidden_reruns;
	if (!strcmp(what, "extra_sends"))
		return 100.0 * (double)(c->sends - c->starts) /
		       (double)c->starts;
	if (!strcmp(what, "part"))
		return part(t, i);
	if (!strcmp(what, "starts"))
		return (double)(c->targets[i].starts - t->mark_starts[i]);
	return by_caller(t, what, i);
}

static void check(const struct trace *t, const char *line)
{
	char what[16], op[3];
	double value, got;
	bool ok;
	int i;

	CU_ASSERT_FATAL(sscanf(line, "%15s %d %2s %lf", what, &i, op, &value) ==
			4);
	got = measure(t, what, i);
	ok = (op[0] == '<' && got <= value) || (op[0] == '>' && got >= value) ||
	     (op[0] == '=' && got == value);
	if (!ok)
		printf("\n%s: got %g, expect %s", t->name, got, line);
	CU_ASSERT_TRUE(ok);
}

static int by_time(const void *a, const void *b)
{
	const struct trace_event *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->place < y->place ? -1 : 1;
}

static void play(struct trace *t)
{
	int64_t begin;
	size_t i;

	t->c = cluster_new(&t->opt);
	t->mark_starts = xcalloc((size_t)t->opt.n_targets, sizeof(uint64_t));
	qsort(t->events, t->n_events, sizeof(*t->events), by_time);
	begin = t->c->now;
	for (i = 0; i < t->n_events; i++) {
		cluster_run(t->c, begin + t->events[i].at - t->c->now);
		do_event(t, t->events[i].line);
	}
	cluster_run(t->c, begin + t->until - t->c->now);
	for (i = 0; i < t->n_expects; i++)
		check(t, t->expects[i]);
	free(t->mark_starts);
	cluster_free(t->c);
}

static void replay(const char *path)
{
	struct trace *t = xcalloc(1, sizeof(*t));
	FILE *f = fopen(path, "r");
	char line[LINE];

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	t->name = path;
	t->events = xcalloc(EVENTS, sizeof(*t->events));
	t->opt.seed = 1;
	t->opt.queue_max = 2000;
	t->opt.message_delay_max_ms = 1;
	t->opt.is_first_map = true;
	while (fgets(line, sizeof(line), f))
		read_line(t, line);
	fclose(f);
	CU_ASSERT_TRUE(t->n_expects > 0);
	play(t);
	free(t->events);
	free(t);
}

static void traces_come_out_as_stated(void)
{
	const char *one = getenv("SYC_TRACE");
	glob_t g;
	size_t i;

	CU_ASSERT_EQUAL_FATAL(
		glob(one ? one : "test/traces/*.trace", 0, NULL, &g), 0);
	for (i = 0; i < g.gl_pathc; i++)
		replay(g.gl_pathv[i]);
	globfree(&g);
}

SUITE(dispatch_trace)
{
	TEST(traces_come_out_as_stated);
}
