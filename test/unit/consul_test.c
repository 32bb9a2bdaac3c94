/* Tests of the Consul parsers with valid, invalid and damaged answers. */
#include <stdlib.h>
#include <string.h>

#include "protocol/consul.h"
#include "unit.h"
#include "util/rng.h"

enum { DEEP = 100000 /* levels of a target that is nested very deeply */ };

#define KEY_ANSWER                                                 \
	"[{\"Key\":\"a/b\",\"LockIndex\":0,\"Flags\":0,\"Value\":" \
	"\"aGVsbG8=\",\"CreateIndex\":1,\"ModifyIndex\":42}]"
#define TARGET(id, port, meta, checks)                                  \
	"{\"Node\":{\"Node\":\"n\"},\"Service\":{\"ID\":" id            \
	",\"Service\":\"work\",\"Address\":\"10.0.0.1\",\"Port\":" port \
	",\"Meta\":{" meta "}},\"Checks\":[" checks "]}"
#define META "\"domain\":\"east\",\"rack\":\"r1\",\"cpus\":\"16\""
#define MAINTENANCE(id, status)                                    \
	"{\"CheckID\":\"_service_maintenance:" id "\",\"Status\":" \
	"\"" status "\"}"
#define FAILING "{\"CheckID\":\"http\",\"Status\":\"critical\"}"

static struct syc_bytes bytes_of(const char *s)
{
	return (struct syc_bytes){s, strlen(s)};
}

static void key_is_read(void)
{
	auto_buf struct buf value = {0};
	uint64_t index = 0;

	CU_ASSERT_EQUAL(consul_read_key(bytes_of(KEY_ANSWER), &value, &index),
			PROTOCOL_OK);
	CU_ASSERT_EQUAL(index, 42);
	CU_ASSERT_STRING_EQUAL(value.data, "hello");
}

static void invalid_key_answers_are_refused(void)
{
	static const char *const cases[] = {
		"",
		"{}",
		"[]",
		"[1]",
		"[{},{}]",
		"null",
		"[{\"Value\":\"aGVsbG8=\",\"ModifyIndex\":0}]",
		"[{\"Value\":\"aGVsbG8=\",\"ModifyIndex\":\"42\"}]",
		"[{\"Value\":\"aGVsbG8=\",\"ModifyIndex\":-1}]",
		"[{\"Value\":\"aGVs bG8=\",\"ModifyIndex\":1}]",
		"[{\"Value\":7,\"ModifyIndex\":1}]",
	};
	uint64_t index;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		auto_buf struct buf value = {0};

		CU_ASSERT_NOT_EQUAL(
			consul_read_key(bytes_of(cases[i]), &value, &index),
			PROTOCOL_OK);
		CU_ASSERT_EQUAL(value.len, 0);
	}
}

static void health_list_is_read(void)
{
	static const char json[] = "[" TARGET("\"t1\"", "80", META ",\"memory_mb\":\"64\"", "") "," TARGET(
		"\"t2\"", "81", META,
		MAINTENANCE(
			"t2",
			"critical")) "," TARGET("\"t3\"", "82", META,
						FAILING) "," TARGET("\"t4\"",
								    "83",
								    "\"domain\""
								    ":\"west\"",
								    MAINTENANCE(
									    "t"
									    "4",
									    "pa"
									    "ss"
									    "in"
									    "g")) "," TARGET("\"t5\"",
											     "84",
											     META
											     ",\"state\":\"leaving\"",
											     "") "]";
	struct syc_target *t = NULL;
	size_t n = 0, skipped = 0;

	CU_ASSERT_EQUAL_FATAL(
		consul_read_health(bytes_of(json), &t, &n, &skipped),
		PROTOCOL_OK);
	CU_ASSERT_EQUAL_FATAL(n, 5);
	CU_ASSERT_EQUAL(skipped, 0);
	CU_ASSERT_STRING_EQUAL(t[0].name, "t1");
	CU_ASSERT_STRING_EQUAL(t[0].addr.ip, "10.0.0.1");
	CU_ASSERT_EQUAL(t[0].addr.port, 80);
	CU_ASSERT_EQUAL(t[0].cpus, 16);
	CU_ASSERT_EQUAL(t[0].memory_mb, 64);
	CU_ASSERT_EQUAL(t[0].accelerators, 0);
	CU_ASSERT_FALSE(t[0].leaving);
	CU_ASSERT_TRUE(t[1].leaving);
	CU_ASSERT_FALSE(t[2].leaving);
	CU_ASSERT_STRING_EQUAL(t[3].domain, "west");
	CU_ASSERT_STRING_EQUAL(t[3].rack, "none");
	CU_ASSERT_FALSE(t[3].leaving);
	CU_ASSERT_TRUE(t[4].leaving);
	free(t);
}

static void invalid_targets_are_skipped(void)
{
	static const char json[] = "[1,{}," TARGET("\"t1\"", "0", META, "") "," TARGET("\"\"", "80", META, "") "," TARGET(
		"7", "80", META,
		"") "," TARGET("\"t2\"", "65536", META,
			       "") "," TARGET("\"t3\"", "80", "\"rack\":\"r\"",
					      "") "," TARGET("\"t4\"", "80",
							     "\"domain\":\"e\","
							     "\"cpus\":\"-1\"",
							     "") "," TARGET("\""
									    "t5"
									    "\"",
									    "8"
									    "0",
									    "\""
									    "do"
									    "ma"
									    "in"
									    "\""
									    ":"
									    "\""
									    "e"
									    "\""
									    ","
									    "\""
									    "cp"
									    "us"
									    "\""
									    ":"
									    "4",
									    "") "," TARGET("\"a-name-of-more-than-31-characters\"",
											   "80",
											   META,
											   "") "," TARGET("\"t6\"",
													  "80",
													  META,
													  "") "]";
	struct syc_target *t = NULL;
	size_t n = 0, skipped = 0;

	CU_ASSERT_EQUAL_FATAL(
		consul_read_health(bytes_of(json), &t, &n, &skipped),
		PROTOCOL_OK);
	CU_ASSERT_EQUAL_FATAL(n, 1);
	CU_ASSERT_EQUAL(skipped, 10);
	CU_ASSERT_STRING_EQUAL(t[0].name, "t6");
	free(t);
	CU_ASSERT_NOT_EQUAL(
		consul_read_health(bytes_of("{}"), &t, &n, &skipped),
		PROTOCOL_OK);
}

/* Reads a list of `odd` between two targets, and returns whether it has both. */
static bool has_both_targets(const char *odd, size_t skipped_expected)
{
	auto_buf struct buf json = {0};
	struct syc_target *t = NULL;
	size_t n = 0, skipped = 0;
	bool ok;

	buf_printf(&json, "[%s,%s,%s]", TARGET("\"t1\"", "80", META, ""), odd,
		   TARGET("\"t3\"", "82", META, ""));
	ok = !consul_read_health((struct syc_bytes){json.data, json.len}, &t,
				 &n, &skipped) &&
	     n == 3 - skipped_expected && skipped == skipped_expected &&
	     !strcmp(t[0].name, "t1") && !strcmp(t[n - 1].name, "t3");
	free(t);
	return ok;
}

static void odd_target_costs_only_itself(void)
{
	static const char *const odd[] = {
		TARGET("\"t2\"", "1e999", META, ""),
		TARGET("\"t2\"", "1000000000000000000000000", META, ""),
		TARGET("\"t2\"", "70000", META, ""),
		TARGET("\"t2\"", "-1", META, ""),
		TARGET("\"t2\"", "80.5", META, ""),
		TARGET("\"t2\\u0000\"", "80", META, ""),
		TARGET("\"t2\\ud800\"", "80", META, ""),
		TARGET("\"t2\xff\"", "80", META, ""),
		TARGET("\"t2\"", "80", META ",\"a\":NaN", ""),
		TARGET("\"t2\"", "80", META ",\"memory_mb\":\"4\\u0000\"", ""),
	};
	auto_buf struct buf deep = {0};
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(*odd); i++)
		CU_ASSERT(has_both_targets(odd[i], 1));
	buf_puts(&deep, "{\"Service\":");
	for (i = 0; i < DEEP; i++)
		buf_puts(&deep, "[");
	for (i = 0; i < DEEP; i++)
		buf_puts(&deep, "]");
	buf_puts(&deep, "}");
	CU_ASSERT(has_both_targets(deep.data, 1));
}

/* The output of a check has what the checked program wrote. */
static void zero_byte_in_an_unused_text_costs_nothing(void)
{
	static const char check[] = TARGET(
		"\"t2\"", "80", META,
		"{\"CheckID\":\"c\",\"Output\":\"a\\u0000b\"}");

	CU_ASSERT(has_both_targets(check, 0));
}

static void damaged_answers_are_parsed_or_refused(void)
{
	static const char health[] = "[" TARGET(
		"\"t1\"", "80", META, MAINTENANCE("t1", "critical")) "]";
	static const char *const texts[] = {KEY_ANSWER, health};
	struct rng r = {41};
	struct syc_target *t;
	size_t i, n, skipped;
	uint64_t index;
	char copy[512];

	for (i = 0; i < 20000; i++) {
		const char *text = texts[i % 2];
		size_t len = strlen(text);
		struct syc_bytes bad = {copy, len};
		auto_buf struct buf value = {0};

		if (!rng_below(&r, 4))
			bad.n = len = 1 + rng_below(&r, len);
		memcpy(copy, text, len);
		copy[rng_below(&r, len)] = (char)rng_next(&r);
		if (!consul_read_key(bad, &value, &index))
			CU_ASSERT_TRUE(index > 0);
		consul_read_health(bad, &t, &n, &skipped);
		CU_ASSERT_TRUE(n + skipped <= 1);
		free(t);
	}
}

SUITE(consul)
{
	TEST(key_is_read);
	TEST(invalid_key_answers_are_refused);
	TEST(health_list_is_read);
	TEST(invalid_targets_are_skipped);
	TEST(odd_target_costs_only_itself);
	TEST(zero_byte_in_an_unused_text_costs_nothing);
	TEST(damaged_answers_are_parsed_or_refused);
}
