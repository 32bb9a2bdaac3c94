#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "cmd/load_plan.h"
#include "util/alloc.h"

/* Draws a number from `lo` to `hi`. */
static uint32_t draw_between(struct rng *r, uint32_t lo, uint32_t hi)
{
	return lo + (uint32_t)rng_below(r, (uint64_t)hi - lo + 1);
}

/* Draws a number from 0 to less than 1. */
static double draw_fraction(struct rng *r)
{
	return (double)(rng_next(r) >> 11) * 0x1p-53;
}

static const struct load_kind *draw_kind(const struct load_profile *p,
					 struct rng *r)
{
	uint64_t sum = 0, at;
	size_t i;

	for (i = 0; i < p->n_kinds; i++)
		sum += p->kinds[i].weight;
	at = rng_below(r, sum);
	for (i = 0; at >= p->kinds[i].weight; i++)
		at -= p->kinds[i].weight;
	return &p->kinds[i];
}

void load_plan_job(const struct load_plan *plan, uint64_t serial,
		   struct load_job *job)
{
	struct rng r = {plan->seed ^ (serial * 0x9e3779b97f4a7c15ULL)};
	double ms;
	uint32_t i;

	memset(job, 0, sizeof(*job));
	job->plan = plan;
	job->serial = serial;
	job->kind = draw_kind(plan->profile, &r);
	job->caller = (uint32_t)rng_below(&r, plan->n_callers);
	job->n_tasks = draw_between(&r, job->kind->tasks_min,
				    job->kind->tasks_max);
	job->resubmit = job->kind->keyed &&
			rng_below(&r, 100) < job->kind->resubmit_percent;
	job->seed = rng_next(&r);
	for (i = 0; i < job->n_tasks; i++) {
		ms = load_task_ms(job, i);
		if (ms > job->longest_ms)
			job->longest_ms = ms;
	}
}

double load_task_ms(const struct load_job *job, uint32_t i)
{
	const struct load_kind *k = job->kind;
	struct rng r = {job->seed + i};
	bool is_long = rng_below(&r, 1000) < k->long_permille;
	uint32_t ms = is_long ? draw_between(&r, k->long_ms_min, k->long_ms_max)
			      : draw_between(&r, k->run_ms_min, k->run_ms_max);

	return round(ms * job->plan->scale);
}

static long declared_ms(const struct load_job *job, uint32_t i)
{
	struct rng r = {job->seed ^ (i + 1ULL) << 32};
	double deviation = job->kind->declared_off_percent / 100.0;

	return lround(load_task_ms(job, i) *
		      (1 - deviation + 2 * deviation * draw_fraction(&r)));
}

void load_task_body(const struct load_job *job, uint32_t i, struct buf *out)
{
	uint32_t n;

	buf_printf(out,
		   "{\"run_ms\":%.0f,\"id\":\"%" PRIx64 "-%" PRIx64 "-%" PRIu64
		   "-%u\"",
		   load_task_ms(job, i), job->plan->run_id, job->plan->seed,
		   job->serial, i);
	if (job->kind->pad_bytes) {
		buf_puts(out, ",\"pad\":\"");
		for (n = 0; n < job->kind->pad_bytes; n++)
			buf_add(out, "x", 1);
		buf_puts(out, "\"");
	}
	buf_puts(out, "}");
}

static void write_task(const struct load_job *job, uint32_t i, struct buf *out)
{
	const struct load_kind *k = job->kind;

	buf_printf(out, "\"run_ms\":%ld,", declared_ms(job, i));
	if (k->cpus)
		buf_printf(out, "\"cpus\":%u,", k->cpus);
	if (k->memory_mb)
		buf_printf(out, "\"memory_mb\":%u,", k->memory_mb);
	if (k->accelerators)
		buf_printf(out, "\"accelerators\":%u,", k->accelerators);
	buf_puts(out, "\"body\":");
	load_task_body(job, i, out);
}

void load_job_text(const struct load_job *job, struct buf *out)
{
	uint32_t i;

	buf_printf(out, "{\"kind\":\"%s\",", job->kind->name);
	if (job->kind->single) {
		write_task(job, 0, out);
		buf_puts(out, "}");
		return;
	}
	buf_puts(out, "\"tasks\":[");
	for (i = 0; i < job->n_tasks; i++) {
		buf_puts(out, i ? ",{" : "{");
		write_task(job, i, out);
		buf_puts(out, "}");
	}
	buf_puts(out, "]}");
}

void load_job_key(const struct load_job *job, char *out, size_t size)
{
	snprintf(out, size, "%" PRIx64 "-%" PRIx64 "-%" PRIu64,
		 job->plan->run_id, job->plan->seed, job->serial);
}

static bool is_own_result(const struct load_job *job, uint32_t i,
			  const json_t *result)
{
	struct buf auto_buf expected = {0};
	const json_t *body = json_object_get(result, "body");
	const json_t *status = json_object_get(result, "status");

	load_task_body(job, i, &expected);
	return json_integer_value(status) == 200 &&
	       json_string_length(body) == expected.len &&
	       !memcmp(json_string_value(body), expected.data, expected.len);
}

static bool is_whole(const struct load_job *job, const json_t *doc)
{
	const json_t *results = json_object_get(doc, "results");
	uint32_t i;

	if (json_array_size(results) != job->n_tasks)
		return false;
	for (i = 0; i < job->n_tasks; i++)
		if (!is_own_result(job, i, json_array_get(results, i)))
			return false;
	return true;
}

void load_job_check(const struct load_job *job, unsigned status,
		    struct syc_bytes text, struct load_check *check)
{
	json_t *doc = json_loadb(text.n ? text.p : "", text.n, 0, NULL);
	const char *outcome = json_string_value(
		json_object_get(doc, "outcome"));
	const char *reason = json_string_value(json_object_get(doc, "reason"));

	memset(check, 0, sizeof(*check));
	check->finding = LOAD_WRONG;
	copy_text(check->outcome, sizeof(check->outcome),
		  outcome ? outcome : "no_outcome");
	copy_text(check->reason, sizeof(check->reason), reason ? reason : "-");
	if (outcome && status == 200 && !strcmp(outcome, "completed"))
		check->finding = is_whole(job, doc) ? LOAD_WHOLE : LOAD_WRONG;
	else if (outcome && reason && status >= 400 &&
		 !json_object_get(doc, "results"))
		check->finding = LOAD_OTHER;
	json_decref(doc);
}

double load_ms_to_next_arrival(const struct load_profile *p, double rate,
			       double at_ms, struct rng *rng)
{
	double mean = 1000 / rate;

	if (p->burst_every_ms && fmod(at_ms, p->burst_every_ms) < p->burst_ms)
		mean /= p->burst_factor;
	return -log(1 - draw_fraction(rng)) * mean;
}
