/* Tests of the caller API's JSON: valid and bad submissions, and answers. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/caller_json.h"
#include "unit.h"
#include "util/rng.h"

static enum protocol_status read_text(struct caller_job *job, const char *text,
				      bool single, struct caller_error *err)
{
	struct syc_bytes bytes = {text, strlen(text)};

	return caller_job_read(job, bytes, single, err);
}

static bool body_equals(const struct caller_job *job, size_t i,
			const char *want)
{
	const struct syc_bytes *body = &job->spec.tasks[i].body;

	return body->n == strlen(want) && !memcmp(body->p, want, body->n);
}

static void job_is_parsed_with_all_members(void)
{
	static const char text[] =
		"{\"kind\":\"proof\",\"deadline_ms\":5000,\"tasks\":["
		"{\"body\":\"a\\u00e9\",\"run_ms\":80,\"cpus\":2,"
		"\"memory_mb\":512,\"accelerators\":1},"
		"{\"body\":{\"b\":[1, 2]}},{\"body_base64\":\"AP8=\"},{}]}";
	struct caller_error err;
	struct caller_job job;

	CU_ASSERT_EQUAL_FATAL(read_text(&job, text, false, &err), PROTOCOL_OK);
	CU_ASSERT_STRING_EQUAL(job.spec.kind, "proof");
	CU_ASSERT_EQUAL(job.spec.deadline_ms, 5000);
	CU_ASSERT_EQUAL_FATAL(job.spec.n_tasks, 4);
	CU_ASSERT_FALSE(job.spec.single);
	CU_ASSERT(body_equals(&job, 0, "a\xc3\xa9"));
	CU_ASSERT_EQUAL(job.spec.tasks[0].run_ms, 80);
	CU_ASSERT_EQUAL(job.spec.tasks[0].cpus, 2);
	CU_ASSERT_EQUAL(job.spec.tasks[0].memory_mb, 512);
	CU_ASSERT_EQUAL(job.spec.tasks[0].accelerators, 1);
	CU_ASSERT(body_equals(&job, 1, "{\"b\":[1,2]}"));
	CU_ASSERT_EQUAL(job.spec.tasks[2].body.n, 2);
	CU_ASSERT(!memcmp(job.spec.tasks[2].body.p, "\0\xff", 2));
	CU_ASSERT_EQUAL(job.spec.tasks[3].body.n, 0);
	caller_job_free(&job);
}

static void request_is_parsed_as_one_task(void)
{
	struct caller_error err;
	struct caller_job job;

	CU_ASSERT_EQUAL_FATAL(read_text(&job,
					"{\"body\":\"x\",\"kind\":\"pay\","
					"\"run_ms\":3}",
					true, &err),
			      PROTOCOL_OK);
	CU_ASSERT(job.spec.single);
	CU_ASSERT_EQUAL(job.spec.n_tasks, 1);
	CU_ASSERT(body_equals(&job, 0, "x"));
	CU_ASSERT_EQUAL(job.spec.tasks[0].run_ms, 3);
	caller_job_free(&job);
}

static void invalid_job_is_refused_with_its_member(void)
{
	static const struct {
		const char *text;
		const char *member;
		bool single;
	} cases[] = {
		{"", "", false},
		{"[]", "", false},
		{"{\"kind\":\"a\",\"kind\":\"b\"}", "", false},
		{"{\"kind\":\"a\"} x", "", false},
		{"{\"kind\":7,\"tasks\":[{}]}", "kind", false},
		{"{\"kind\":\"\",\"tasks\":[{}]}", "kind", false},
		{"{\"kind\":\"a\\u0000\",\"tasks\":[{}]}", "kind", false},
		{"{\"tasks\":[{}]}", "kind", false},
		{"{\"kind\":\"a\"}", "tasks", false},
		{"{\"kind\":\"a\",\"tasks\":{}}", "tasks", false},
		{"{\"kind\":\"a\",\"tasks\":[]}", "tasks", false},
		{"{\"kind\":\"a\",\"tasks\":[{},1]}", "tasks[1]", false},
		{"{\"kind\":\"a\",\"tasks\":[{\"x\":1}]}", "tasks[0].x", false},
		{"{\"kind\":\"a\",\"tasks\":[{\"run_ms\":1.5}]}",
		 "tasks[0].run_ms", false},
		{"{\"kind\":\"a\",\"tasks\":[{\"cpus\":-1}]}", "tasks[0].cpus",
		 false},
		{"{\"kind\":\"a\",\"tasks\":[{\"memory_mb\":99999999}]}",
		 "tasks[0].memory_mb", false},
		{"{\"kind\":\"a\",\"tasks\":[{\"accelerators\":\"1\"}]}",
		 "tasks[0].accelerators", false},
		{"{\"kind\":\"a\",\"tasks\":[{\"body\":\"\","
		 "\"body_base64\":\"\"}]}",
		 "tasks[0].body_base64", false},
		{"{\"kind\":\"a\",\"tasks\":[{\"body_base64\":\"?\"}]}",
		 "tasks[0].body_base64", false},
		{"{\"kind\":\"a\",\"tasks\":[{}],\"deadline_ms\":null}",
		 "deadline_ms", false},
		{"{\"kind\":\"a\",\"tasks\":[{}],\"body\":\"\"}", "body",
		 false},
		{"{\"kind\":\"a\",\"tasks\":[{}]}", "tasks", true},
		{"{\"kind\":\"a\",\"retries\":1}", "retries", true},
	};
	struct caller_error err;
	struct caller_job job;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		CU_ASSERT_NOT_EQUAL(
			read_text(&job, cases[i].text, cases[i].single, &err),
			PROTOCOL_OK);
		CU_ASSERT_EQUAL(err.reason, SYC_BAD_REQUEST);
		CU_ASSERT_STRING_EQUAL(err.member, cases[i].member);
		CU_ASSERT_NOT_EQUAL(*err.detail, '\0');
	}
}

static char *make_job_text(size_t n_tasks)
{
	struct buf b = {0};
	size_t i;

	buf_puts(&b, "{\"kind\":\"a\",\"tasks\":[");
	for (i = 0; i < n_tasks; i++)
		buf_puts(&b, i ? ",{}" : "{}");
	buf_puts(&b, "]}");
	return b.data;
}

static void number_of_tasks_is_limited(void)
{
	char *fits = make_job_text(SYC_TASKS_MAX);
	char *over = make_job_text(SYC_TASKS_MAX + 1);
	struct caller_error err;
	struct caller_job job;

	CU_ASSERT_EQUAL_FATAL(read_text(&job, fits, false, &err), PROTOCOL_OK);
	CU_ASSERT_EQUAL(job.spec.n_tasks, SYC_TASKS_MAX);
	caller_job_free(&job);
	CU_ASSERT_NOT_EQUAL(read_text(&job, over, false, &err), PROTOCOL_OK);
	CU_ASSERT_EQUAL(err.reason, SYC_TOO_LARGE);
	free(fits);
	free(over);
}

static void deep_nesting_is_refused(void)
{
	enum { DEPTH = 100000 };
	struct caller_error err;
	struct caller_job job;
	struct buf b = {0};
	int i;

	buf_puts(&b, "{\"kind\":\"a\",\"body\":");
	for (i = 0; i < DEPTH; i++)
		buf_puts(&b, "[");
	for (i = 0; i < DEPTH; i++)
		buf_puts(&b, "]");
	buf_puts(&b, "}");
	CU_ASSERT_NOT_EQUAL(read_text(&job, b.data, true, &err), PROTOCOL_OK);
	CU_ASSERT_EQUAL(err.reason, SYC_BAD_REQUEST);
	buf_free(&b);
}

/* Copies `text` and changes or removes a few bytes; returns the length. */
static size_t damage(struct rng *r, char *out, const char *text, size_t len)
{
	size_t n_changes = 1 + rng_below(r, 4), at;

	memcpy(out, text, len);
	while (n_changes--) {
		at = rng_below(r, len);
		switch (rng_below(r, 3)) {
		case 0:
			out[at] = (char)rng_next(r);
			break;
		case 1:
			memmove(out + at, out + at + 1, len - at - 1);
			len--;
			break;
		default:
			out[at] = "{}[],:\"\\0-e"[rng_below(r, 11)];
		}
	}
	return len;
}

static void damaged_job_is_parsed_or_refused(void)
{
	enum { ROUNDS = 20000 };
	static const char text[] =
		"{\"kind\":\"proof\",\"deadline_ms\":5000,\"tasks\":["
		"{\"body\":\"a\\u00e9\",\"run_ms\":80,\"cpus\":2},"
		"{\"body\":{\"b\":[1,2.5e3,null]}},"
		"{\"body_base64\":\"AP8=\",\"accelerators\":0}]}";
	char bad[sizeof(text)];
	struct syc_bytes bytes = {bad, 0};
	struct rng r = {20261203};
	struct caller_error err;
	struct caller_job job;
	int i, read = 0;

	for (i = 0; i < ROUNDS; i++) {
		bytes.n = damage(&r, bad, text, sizeof(text) - 1);
		if (caller_job_read(&job, bytes, i & 1, &err)) {
			CU_ASSERT_NOT_EQUAL(err.reason, SYC_REASON_NONE);
			continue;
		}
		CU_ASSERT(job.spec.n_tasks >= 1);
		CU_ASSERT_PTR_NOT_NULL(job.spec.kind);
		caller_job_free(&job);
		read++;
	}
	/* Some changes, such as in a body, leave a valid job. */
	CU_ASSERT(read > 0 && read < ROUNDS);
}

static void answer_contains_text_and_binary_bodies(void)
{
	static const struct syc_task_result results[] = {
		{SYC_COMPLETED, SYC_REASON_NONE, 200, {"h\xc3\xa9\"\n", 5}},
		{SYC_COMPLETED, SYC_REASON_NONE, 201, {"\xff\0", 2}},
		{SYC_COMPLETED, SYC_REASON_NONE, 204, {NULL, 0}},
	};
	struct syc_answer answer = {
		.outcome = SYC_COMPLETED, .n_results = 3, .results = results};
	struct buf b = {0};

	caller_answer_write(&b, &answer);
	CU_ASSERT_STRING_EQUAL(b.data,
			       "{\"outcome\":\"completed\",\"results\":["
			       "{\"status\":200,\"body\":\"h\xc3\xa9\\\"\\n\"},"
			       "{\"status\":201,\"body_base64\":\"/wA=\"},"
			       "{\"status\":204,\"body\":\"\"}]}");
	buf_free(&b);
}

static void refusal_contains_reason_and_member(void)
{
	struct syc_answer answer = {.outcome = SYC_NOT_RUN,
				    .reason = SYC_QUEUE_FULL,
				    .retry_after_ms = 1500,
				    .detail = "full"};
	struct caller_error err = {SYC_BAD_REQUEST, "tasks[0].cpus", "no"};
	struct buf b = {0};

	caller_answer_write(&b, &answer);
	CU_ASSERT_STRING_EQUAL(b.data, "{\"outcome\":\"not_run\",\"reason\":"
				       "\"queue_full\",\"detail\":\"full\","
				       "\"retry_after_ms\":1500}");
	buf_free(&b);
	caller_error_write(&b, &err);
	CU_ASSERT_STRING_EQUAL(b.data, "{\"outcome\":\"not_run\",\"reason\":"
				       "\"bad_request\",\"detail\":\"no\","
				       "\"member\":\"tasks[0].cpus\"}");
	buf_free(&b);
}

static void every_reason_has_a_status(void)
{
	enum syc_outcome outcome;
	unsigned status;
	int reason;

	for (outcome = SYC_FAILED; outcome <= SYC_UNKNOWN; outcome++)
		for (reason = 0; reason < SYC_REASON_COUNT; reason++) {
			status = caller_http_status(outcome, reason);
			CU_ASSERT(status >= 400 && status < 600);
			/*
			 * Some clients resend after these statuses, which
			 * must not happen when tasks may have run.
			 */
			if (outcome != SYC_NOT_RUN)
				CU_ASSERT(status != 503 && status != 429);
		}
	CU_ASSERT_EQUAL(caller_http_status(SYC_COMPLETED, SYC_REASON_NONE),
			200);
	CU_ASSERT_EQUAL(caller_http_status(SYC_COMPLETED, SYC_ANSWER_DROPPED),
			410);
	CU_ASSERT_EQUAL(caller_http_status(SYC_NOT_RUN, SYC_RATE_LIMIT), 429);
	CU_ASSERT_EQUAL(caller_http_status(SYC_NOT_RUN, SYC_KEY_REUSED), 422);
}

static void keys_have_limited_length_and_characters(void)
{
	char key[SYC_KEY_MAX + 1];

	memset(key, 'k', sizeof(key));
	key[SYC_KEY_MAX] = '\0';
	CU_ASSERT_FALSE(caller_key_valid(key));
	key[SYC_KEY_MAX - 1] = '\0';
	CU_ASSERT(caller_key_valid(key));
	CU_ASSERT_FALSE(caller_key_valid(""));
	CU_ASSERT_FALSE(caller_key_valid("a b"));
	CU_ASSERT_FALSE(caller_key_valid("a\x7f"));
	CU_ASSERT_FALSE(caller_key_valid("\xc3\xa9"));
}

SUITE(caller_json)
{
	TEST(job_is_parsed_with_all_members);
	TEST(request_is_parsed_as_one_task);
	TEST(invalid_job_is_refused_with_its_member);
	TEST(number_of_tasks_is_limited);
	TEST(deep_nesting_is_refused);
	TEST(damaged_job_is_parsed_or_refused);
	TEST(answer_contains_text_and_binary_bodies);
	TEST(refusal_contains_reason_and_member);
	TEST(every_reason_has_a_status);
	TEST(keys_have_limited_length_and_characters);
}
