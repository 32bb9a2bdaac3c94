/*
 * Tests the load command: its plan, its check of answers, its statistics and
 * the sum of ledgers.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/ledger_sum.h"
#include "cmd/load_plan.h"
#include "cmd/load_stats.h"
#include "protocol/caller_json.h"
#include "unit.h"

enum { TASKS_MAX = 20 };

static const struct load_profile profile = {
	.rate = 100,
	.burst_every_ms = 1000,
	.burst_ms = 100,
	.burst_factor = 10,
	.n_kinds = 1,
	.kinds = {{.name = "proof",
		   .weight = 1,
		   .keyed = true,
		   .tasks_min = 2,
		   .tasks_max = TASKS_MAX,
		   .run_ms_min = 50,
		   .run_ms_max = 1000,
		   .declared_off_percent = 50,
		   .pad_bytes = 9}},
};

static const struct load_plan plan = {&profile, 7, 1, 3, 0.5};

static void quantiles_are_nearest_rank(void)
{
	struct samples s = {0};
	int i;

	CU_ASSERT_EQUAL(samples_quantile(&s, 0.5), 0);
	for (i = 1000; i >= 1; i--)
		samples_add(&s, i);
	CU_ASSERT_EQUAL(samples_quantile(&s, 0), 1);
	CU_ASSERT_EQUAL(samples_quantile(&s, 0.5), 500);
	CU_ASSERT_EQUAL(samples_quantile(&s, 0.99), 990);
	CU_ASSERT_EQUAL(samples_quantile(&s, 0.999), 999);
	CU_ASSERT_EQUAL(samples_quantile(&s, 1), 1000);
	samples_add(&s, 5000);
	CU_ASSERT_EQUAL(samples_quantile(&s, 1), 5000);
	samples_free(&s);
}

static void outcomes_are_counted_by_reason(void)
{
	struct load_stats s = {0};
	char reason[16];
	uint64_t sum = 0;
	size_t i;

	load_stats_count(&s, "not_run", "queue_full");
	load_stats_count(&s, "not_run", "rate_limit");
	load_stats_count(&s, "not_run", "queue_full");
	CU_ASSERT_EQUAL(s.n_outcomes, 2);
	CU_ASSERT_EQUAL(s.outcomes[0].n, 2);
	CU_ASSERT_EQUAL(s.outcomes[1].n, 1);
	for (i = 0; i < 200; i++) {
		snprintf(reason, sizeof(reason), "r%zu", i);
		load_stats_count(&s, "x", reason);
	}
	for (i = 0; i < s.n_outcomes; i++)
		sum += s.outcomes[i].n;
	CU_ASSERT_EQUAL(sum, 203);
	CU_ASSERT_EQUAL(s.n_outcomes, LOAD_OUTCOMES_MAX);
}

/* Writes a complete answer whose results are the first `n` bodies. */
static void write_echo_answer(const struct load_job *job, uint32_t n,
			      struct buf *out)
{
	struct buf bodies[TASKS_MAX + 1] = {0};
	struct syc_task_result results[TASKS_MAX + 1] = {0};
	struct syc_answer answer = {
		.outcome = SYC_COMPLETED, .n_results = n, .results = results};
	uint32_t i;

	for (i = 0; i < n; i++) {
		load_task_body(job, i, &bodies[i]);
		results[i].status = 200;
		results[i].body = (struct syc_bytes){bodies[i].data,
						     bodies[i].len};
	}
	caller_answer_write(out, &answer);
	for (i = 0; i < n; i++)
		buf_free(&bodies[i]);
}

static enum load_finding check_answer(const struct load_job *job,
				      unsigned status, const struct buf *b)
{
	struct load_check check;

	load_job_check(job, status, (struct syc_bytes){b->data, b->len},
		       &check);
	return check.finding;
}

static void submission_is_valid_for_the_api(void)
{
	struct buf auto_buf text = {0}, body = {0};
	struct caller_error err;
	struct caller_job read;
	struct load_job job;

	load_plan_job(&plan, 5, &job);
	load_job_text(&job, &text);
	CU_ASSERT_EQUAL_FATAL(
		caller_job_read(&read, (struct syc_bytes){text.data, text.len},
				false, &err),
		PROTOCOL_OK);
	CU_ASSERT_EQUAL(read.spec.n_tasks, job.n_tasks);
	load_task_body(&job, 1, &body);
	CU_ASSERT_EQUAL(read.spec.tasks[1].body.n, body.len);
	CU_ASSERT(!memcmp(read.spec.tasks[1].body.p, body.data, body.len));
	caller_job_free(&read);
}

static void plan_is_reproducible_and_within_bounds(void)
{
	struct load_job a, b;
	uint64_t serial;
	uint32_t i;

	for (serial = 0; serial < 200; serial++) {
		load_plan_job(&plan, serial, &a);
		load_plan_job(&plan, serial, &b);
		CU_ASSERT_EQUAL(a.seed, b.seed);
		CU_ASSERT_EQUAL(a.n_tasks, b.n_tasks);
		CU_ASSERT(a.n_tasks >= 2 && a.n_tasks <= TASKS_MAX);
		CU_ASSERT(a.caller < 3);
		for (i = 0; i < a.n_tasks; i++) {
			CU_ASSERT(load_task_ms(&a, i) >= 25);
			CU_ASSERT(load_task_ms(&a, i) <= a.longest_ms);
		}
		CU_ASSERT(a.longest_ms <= 500);
	}
}

static void only_the_complete_answer_of_the_job_passes(void)
{
	struct buf auto_buf complete = {0}, too_few = {0}, of_other_run = {0},
			    too_many = {0};
	struct load_plan next_run = plan;
	struct load_job job, job_of_next_run;

	load_plan_job(&plan, 1, &job);
	/* The bodies have the same length and differ in one digit. */
	next_run.run_id++;
	load_plan_job(&next_run, 1, &job_of_next_run);
	write_echo_answer(&job, job.n_tasks + 1, &too_many);
	write_echo_answer(&job, job.n_tasks, &complete);
	write_echo_answer(&job, job.n_tasks - 1, &too_few);
	write_echo_answer(&job_of_next_run, job.n_tasks, &of_other_run);
	CU_ASSERT_EQUAL(check_answer(&job, 200, &complete), LOAD_WHOLE);
	CU_ASSERT_EQUAL(check_answer(&job, 200, &too_few), LOAD_WRONG);
	CU_ASSERT_EQUAL(too_few.len < complete.len &&
				complete.len < too_many.len,
			true);
	CU_ASSERT_EQUAL(check_answer(&job, 200, &too_many), LOAD_WRONG);
	CU_ASSERT_EQUAL(of_other_run.len, complete.len);
	CU_ASSERT_EQUAL(check_answer(&job, 200, &of_other_run), LOAD_WRONG);
	CU_ASSERT_EQUAL(check_answer(&job, 503, &complete), LOAD_WRONG);
	complete.len--;
	CU_ASSERT_EQUAL(check_answer(&job, 200, &complete), LOAD_WRONG);
}

static void refusal_with_results_is_wrong(void)
{
	static const char good[] = "{\"outcome\":\"failed\",\"reason\":"
				   "\"task_failed\",\"detail\":\"\"}";
	static const char bad[] = "{\"outcome\":\"failed\",\"reason\":"
				  "\"task_failed\",\"results\":[]}";
	struct load_check check;
	struct load_job job;

	load_plan_job(&plan, 1, &job);
	load_job_check(&job, 502, (struct syc_bytes){good, sizeof(good) - 1},
		       &check);
	CU_ASSERT_EQUAL(check.finding, LOAD_OTHER);
	CU_ASSERT_STRING_EQUAL(check.outcome, "failed");
	CU_ASSERT_STRING_EQUAL(check.reason, "task_failed");
	load_job_check(&job, 502, (struct syc_bytes){bad, sizeof(bad) - 1},
		       &check);
	CU_ASSERT_EQUAL(check.finding, LOAD_WRONG);
	load_job_check(&job, 502, (struct syc_bytes){NULL, 0}, &check);
	CU_ASSERT_EQUAL(check.finding, LOAD_WRONG);
}

static void arrivals_match_the_rate_and_bursts(void)
{
	struct rng rng = {11};
	double at = 0;
	int outside = 0, burst = 0;

	while (at < 60000) {
		at += load_ms_to_next_arrival(&profile, 100, at, &rng);
		if ((long)at % 1000 < 100)
			burst++;
		else
			outside++;
	}
	/* 60 s: 54 s at 100 a second, 6 s at 1,000 a second. */
	CU_ASSERT(outside > 5400 * 0.9 && outside < 5400 * 1.1);
	CU_ASSERT(burst > 6000 * 0.9 && burst < 6000 * 1.1);
}

static const char ledger[] =
	"{\"entries\":[{\"caller\":\"a\",\"service\":\"s\",\"version\":3,"
	"\"submitted\":4,\"completed\":3,\"failed\":0,\"not_run\":1,"
	"\"unknown\":0,\"tasks\":9,\"starts\":10,\"sends\":11,"
	"\"wanted_slot_ms\":70,\"got_slot_ms\":60,\"lent_slot_ms\":1,"
	"\"borrowed_slot_ms\":2,\"reasons\":{\"queue_full\":1}}]}";

static void ledgers_are_summed_by_caller_service_version(void)
{
	struct ledger_sum sum = {0};
	json_t *doc = json_loads(ledger, 0, NULL), *entry;

	CU_ASSERT(ledger_sum_add(&sum, doc));
	CU_ASSERT(ledger_sum_add(&sum, doc));
	CU_ASSERT_EQUAL_FATAL(sum.n_rows, 1);
	CU_ASSERT_EQUAL(sum.rows[0].n[LEDGER_SENDS], 22);
	CU_ASSERT_EQUAL(sum.rows[0].reasons[SYC_QUEUE_FULL], 2);
	entry = json_array_get(json_object_get(doc, "entries"), 0);
	json_object_set_new(entry, "version", json_integer(4));
	CU_ASSERT(ledger_sum_add(&sum, doc));
	CU_ASSERT_EQUAL(sum.n_rows, 2);
	CU_ASSERT_EQUAL(ledger_sum_total(&sum, LEDGER_TASKS), 27);
	json_object_del(entry, "sends");
	CU_ASSERT_FALSE(ledger_sum_add(&sum, doc));
	CU_ASSERT_FALSE(ledger_sum_add(&sum, NULL));
	json_decref(doc);
	ledger_sum_free(&sum);
}

SUITE(load)
{
	TEST(quantiles_are_nearest_rank);
	TEST(outcomes_are_counted_by_reason);
	TEST(submission_is_valid_for_the_api);
	TEST(plan_is_reproducible_and_within_bounds);
	TEST(only_the_complete_answer_of_the_job_passes);
	TEST(refusal_with_results_is_wrong);
	TEST(arrivals_match_the_rate_and_bursts);
	TEST(ledgers_are_summed_by_caller_service_version);
}
