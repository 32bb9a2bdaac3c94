#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/load_stats.h"
#include "util/alloc.h"

void samples_add(struct samples *s, double v)
{
	if (s->n == s->cap) {
		s->cap = s->cap ? 2 * s->cap : 1024;
		s->v = xrealloc(s->v, s->cap * sizeof(*s->v));
	}
	s->v[s->n++] = v;
	s->sorted = false;
}

static int compare_samples(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double samples_quantile(struct samples *s, double q)
{
	size_t rank;

	if (!s->n)
		return 0;
	if (!s->sorted)
		qsort(s->v, s->n, sizeof(*s->v), compare_samples);
	s->sorted = true;
	/* The margin keeps 0.99 * 100 from being rounded up to 100. */
	rank = (size_t)ceil(q * (double)s->n - 1e-9);
	if (rank < 1)
		rank = 1;
	return s->v[rank - 1];
}

void samples_free(struct samples *s)
{
	free(s->v);
	memset(s, 0, sizeof(*s));
}

void load_stats_count(struct load_stats *s, const char *outcome,
		      const char *reason)
{
	struct load_outcome *o;
	size_t i;

	for (i = 0; i < s->n_outcomes; i++) {
		o = &s->outcomes[i];
		if (!strcmp(o->outcome, outcome) && !strcmp(o->reason, reason))
			break;
	}
	if (i == LOAD_OUTCOMES_MAX) {
		o = &s->outcomes[--i];
		copy_text(o->outcome, sizeof(o->outcome), "other");
		copy_text(o->reason, sizeof(o->reason), "-");
	} else if (i == s->n_outcomes) {
		o = &s->outcomes[s->n_outcomes++];
		copy_text(o->outcome, sizeof(o->outcome), outcome);
		copy_text(o->reason, sizeof(o->reason), reason);
	}
	s->outcomes[i].n++;
}

static const struct {
	const char *name;
	const char *label;
	size_t offset;
} rows[] = {
	{"response_ms", "response ms",
	 offsetof(struct load_stats, response_ms)},
	{"over_ideal", "over ideal", offsetof(struct load_stats, over_ideal)},
	{"added_ms", "added ms", offsetof(struct load_stats, added_ms)},
	{"direct_ms", "direct ms", offsetof(struct load_stats, direct_ms)},
	{"late_ms", "sent late ms", offsetof(struct load_stats, late_ms)},
};

static struct samples *row_samples(struct load_stats *s, size_t i)
{
	return (struct samples *)(void *)((char *)s + rows[i].offset);
}

static double per_second(const struct load_stats *s, uint64_t n)
{
	return s->seconds > 0 ? (double)n / s->seconds : 0;
}

static void print_quantiles(struct load_stats *s, FILE *out)
{
	struct samples *smp;
	size_t i;

	fprintf(out, "\n%-14s %10s %10s %10s %10s %10s\n", "", "p50", "p99",
		"p99.9", "most", "samples");
	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++) {
		smp = row_samples(s, i);
		if (!smp->n)
			continue;
		fprintf(out, "%-14s %10.3f %10.3f %10.3f %10.3f %10zu\n",
			rows[i].label, samples_quantile(smp, 0.5),
			samples_quantile(smp, 0.99),
			samples_quantile(smp, 0.999), samples_quantile(smp, 1),
			smp->n);
	}
}

void load_stats_print(struct load_stats *s, FILE *out)
{
	size_t i;

	fprintf(out,
		"%" PRIu64 " submissions with %" PRIu64
		" tasks in %.1f s: %.1f submissions/s, %.1f tasks/s\n",
		s->sent, s->tasks, s->seconds, per_second(s, s->sent),
		per_second(s, s->tasks));
	fprintf(out, "\n%-12s %-22s %10s\n", "outcome", "reason",
		"submissions");
	for (i = 0; i < s->n_outcomes; i++)
		fprintf(out, "%-12s %-22s %10" PRIu64 "\n",
			s->outcomes[i].outcome, s->outcomes[i].reason,
			s->outcomes[i].n);
	fprintf(out, "%-12s %-22s %10" PRIu64 "\n", "wrong", "-", s->wrong);
	if (s->resubmitted)
		fprintf(out,
			"resubmitted %" PRIu64
			", of these answered completely %" PRIu64 "\n",
			s->resubmitted, s->resubmitted_whole);
	if (s->retried)
		fprintf(out,
			"retries of what was not run or not answered: %" PRIu64
			"\n",
			s->retried);
	print_quantiles(s, out);
	fprintf(out, "\nround trip %.3f ms", s->round_trip_ms);
	if (s->has_ledger)
		fprintf(out, ", %.3f sends a task",
			s->ledger_tasks ? (double)s->ledger_sends /
						  (double)s->ledger_tasks
					: 0);
	fputc('\n', out);
}

static json_t *quantiles_json(struct samples *s)
{
	return json_pack(
		"{s:f,s:f,s:f,s:f,s:I}", "p50", samples_quantile(s, 0.5), "p99",
		samples_quantile(s, 0.99), "p99.9", samples_quantile(s, 0.999),
		"most", samples_quantile(s, 1), "samples", (json_int_t)s->n);
}

static json_t *outcomes_json(const struct load_stats *s)
{
	const struct load_outcome *o;
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < s->n_outcomes; i++) {
		o = &s->outcomes[i];
		json_array_append_new(list,
				      json_pack("{s:s,s:s,s:I}", "outcome",
						o->outcome, "reason", o->reason,
						"n", (json_int_t)o->n));
	}
	return list;
}

void load_stats_print_json(struct load_stats *s, FILE *out)
{
	json_t *doc = json_pack(
		"{s:I,s:I,s:f,s:I,s:I,s:I,s:I,s:I,s:f,s:o}", "submissions",
		(json_int_t)s->sent, "tasks", (json_int_t)s->tasks, "seconds",
		s->seconds, "whole", (json_int_t)s->whole, "wrong",
		(json_int_t)s->wrong, "resubmitted", (json_int_t)s->resubmitted,
		"resubmitted_whole", (json_int_t)s->resubmitted_whole,
		"retried", (json_int_t)s->retried, "round_trip_ms",
		s->round_trip_ms, "outcomes", outcomes_json(s));
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++)
		if (row_samples(s, i)->n)
			json_object_set_new(doc, rows[i].name,
					    quantiles_json(row_samples(s, i)));
	if (s->has_ledger) {
		json_object_set_new(doc, "ledger_tasks",
				    json_integer((json_int_t)s->ledger_tasks));
		json_object_set_new(doc, "ledger_sends",
				    json_integer((json_int_t)s->ledger_sends));
	}
	json_dumpf(doc, out, JSON_INDENT(1));
	fputc('\n', out);
	json_decref(doc);
}

void load_stats_free(struct load_stats *s)
{
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++)
		samples_free(row_samples(s, i));
}
