/* Tests of the core's messages, its answer cache and its tickets. */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "core/job_msgs.h"
#include "core/answer_cache.h"
#include "core/ticket.h"
#include "unit.h"
#include "util/rng.h"

static void request_round_trip(void)
{
	const struct syc_task_spec tasks[] = {
		{{"one", 3}, 80, 1, 512, 0},
		{{"", 0}, 0, 0, 0, 2},
	};
	struct job_request m = {
		.request_id = 9, .action = JOB_SUBMIT, .hops = 1};
	struct job_request got;
	auto_wire_out struct wire_out w;
	struct wire_in in;

	strcpy(m.caller, "shop");
	strcpy(m.key, "k1");
	strcpy(m.kind, "proof");
	m.spec.deadline_ms = 700;
	m.spec.n_tasks = 2;
	m.spec.tasks = tasks;
	job_request_pack(&w, &m);
	CU_ASSERT_FATAL(job_request_unpack(&in, wire_bytes(&w), &got));
	CU_ASSERT_EQUAL(got.request_id, 9);
	CU_ASSERT_STRING_EQUAL(got.spec.caller, "shop");
	CU_ASSERT_STRING_EQUAL(got.key, "k1");
	CU_ASSERT_EQUAL(got.spec.n_tasks, 2);
	CU_ASSERT_EQUAL(got.tasks[0].body.n, 3);
	CU_ASSERT_EQUAL(got.tasks[0].memory_mb, 512);
	CU_ASSERT_EQUAL(got.tasks[1].accelerators, 2);
	job_request_free(&in, &got);
}

/* A truncated request is refused; a damaged one is refused or read whole. */
static void damaged_requests_are_refused_or_read(void)
{
	const struct syc_task_spec task = {{"body", 4}, 1, 1, 1, 0};
	struct job_request m = {.action = JOB_SUBMIT}, got;
	struct rng r = {3};
	auto_wire_out struct wire_out w;
	char copy[256];
	struct wire_in in;
	int i;

	strcpy(m.caller, "shop");
	m.spec.n_tasks = 1;
	m.spec.tasks = &task;
	job_request_pack(&w, &m);
	CU_ASSERT_FATAL(wire_bytes(&w).n < sizeof(copy));
	for (i = 0; i < 20000; i++) {
		struct syc_bytes bad = {copy, rng_below(&r, wire_bytes(&w).n)};

		memcpy(copy, wire_bytes(&w).p, wire_bytes(&w).n);
		if (bad.n)
			copy[rng_below(&r, bad.n)] = (char)rng_next(&r);
		CU_ASSERT_FALSE(job_request_unpack(&in, bad, &got));
		bad.n = wire_bytes(&w).n;
		copy[rng_below(&r, bad.n)] = (char)rng_next(&r);
		if (job_request_unpack(&in, bad, &got))
			job_request_free(&in, &got);
	}
}

static void answer_cache_stays_within_its_limit(void)
{
	struct answer_cache cache;
	struct syc_claim_key key = {{0}};
	char data[100] = "answer";
	struct syc_bytes answer = {data, sizeof(data)};
	int i;

	answer_cache_init(&cache, 1000);
	for (i = 0; i < 50; i++) {
		key.b[0] = (uint8_t)i;
		answer_cache_put(&cache, &key, answer);
		CU_ASSERT_TRUE(cache.bytes <= 1000);
	}
	CU_ASSERT_EQUAL(answer_cache_get(&cache, &key).n, sizeof(data));
	key.b[0] = 40;
	CU_ASSERT_EQUAL(answer_cache_get(&cache, &key).n, sizeof(data));
	key.b[0] = 39;
	CU_ASSERT_PTR_NULL(answer_cache_get(&cache, &key).p);
	answer_cache_free(&cache);
}

static void ticket_is_valid_for_its_caller_only(void)
{
	const uint8_t secret[SYC_DIGEST_LEN] = {1}, other[SYC_DIGEST_LEN] = {2};
	struct ticket t = {"graz-a", 7, 1000, 5}, got;
	char text[SYC_KEY_MAX];
	size_t i;

	CU_ASSERT_FATAL(sodium_init() >= 0);
	CU_ASSERT_FATAL(ticket_write(&t, "shop", secret, text));
	CU_ASSERT_EQUAL(ticket_read(&got, text, "shop", secret, 1000),
			TICKET_VALID);
	CU_ASSERT_STRING_EQUAL(got.domain, "graz-a");
	CU_ASSERT_EQUAL(got.epoch, 7);
	CU_ASSERT_EQUAL(ticket_read(&got, text, "shop", secret, 1001),
			TICKET_EXPIRED);
	CU_ASSERT_EQUAL(ticket_read(&got, text, "choir", secret, 0),
			TICKET_FORGED);
	CU_ASSERT_EQUAL(ticket_read(&got, text, "shop", other, 0),
			TICKET_FORGED);
	CU_ASSERT_EQUAL(ticket_read(&got, "order-17", "shop", secret, 0),
			TICKET_NONE);
	for (i = 3; i < strlen(text); i++) {
		text[i] ^= 1;
		CU_ASSERT_EQUAL(ticket_read(&got, text, "shop", secret, 0),
				TICKET_FORGED);
		text[i] ^= 1;
	}
}

SUITE(core_modules)
{
	TEST(request_round_trip);
	TEST(damaged_requests_are_refused_or_read);
	TEST(answer_cache_stays_within_its_limit);
	TEST(ticket_is_valid_for_its_caller_only);
}
