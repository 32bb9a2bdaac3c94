/* The bundle's reader and its signatures. */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "bundle_fixture.h"
#include "unit.h"
#include "util/alloc.h"
#include "util/rng.h"

static struct syc_bytes view(const char *s)
{
	return (struct syc_bytes){s, strlen(s)};
}

static void whole_bundle_is_read(void)
{
	auto_buf struct buf env = {0};
	struct syc_bundle *b;
	char err[256] = "";

	fixture_bundle(&env, 7, 2, "ab");
	b = fixture_parse(&env, err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(b);
	CU_ASSERT_EQUAL(b->version, 7);
	CU_ASSERT_EQUAL(b->n_signed, 2);
	CU_ASSERT_EQUAL(b->n_domains, 1);
	CU_ASSERT_EQUAL(syc_bundle_service(b, "work")->slots, 8);
	CU_ASSERT_EQUAL(syc_bundle_service(b, "work")->connections, 64);
	CU_ASSERT_TRUE(syc_bundle_kind(b, "pay")->non_idempotent);
	CU_ASSERT_PTR_NULL(syc_bundle_kind(b, "other"));
	CU_ASSERT_PTR_NULL(syc_bundle_caller(b, "other"));
	CU_ASSERT_PTR_EQUAL(syc_bundle_caller_by_token(b, "secret"),
			    syc_bundle_caller(b, "one"));
	CU_ASSERT_PTR_NULL(syc_bundle_caller_by_token(b, "secre"));
	syc_bundle_unref(b);
}

static void expect_refused(struct buf *env, const char *want)
{
	char err[256] = "";
	struct syc_bundle *b = fixture_parse(env, err);

	CU_ASSERT_PTR_NULL(b);
	if (!strstr(err, want))
		printf("got '%s', want '%s'\n", err, want);
	CU_ASSERT_PTR_NOT_NULL(strstr(err, want));
	syc_bundle_unref(b);
}

static void signatures_are_needed(void)
{
	static const struct {
		const char *signers, *err;
	} cases[] = {
		{"", "0 good signatures of trusted operators, 2 needed"},
		{"a", "1 good signatures of trusted operators, 2 needed"},
		{"aa", "key 'a' repeated"},
		{"aB", "the signature of b is wrong"},
		{"ax", "x is no signer of this bundle"},
		{"ad", "1 good signatures of trusted operators, 2 needed"},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		auto_buf struct buf env = {0};

		fixture_bundle(&env, 1, 2, cases[i].signers);
		expect_refused(&env, cases[i].err);
	}
}

/* One signature is not enough where two operators are trusted. */
static void no_operator_decides_alone(void)
{
	auto_buf struct buf env = {0};

	fixture_bundle(&env, 1, 1, "a");
	expect_refused(&env, "1 good signatures of trusted operators, 2 need");
}

static void one_key_counts_once(void)
{
	struct syc_signer trusted[2];
	auto_buf struct buf env = {0};
	char err[256] = "";

	fixture_bundle(&env, 1, 2, "a");
	fixture_sign_as(&env, "b", 'a');
	trusted[0] = fixture_trusted[0];
	trusted[1] = fixture_trusted[1];
	memcpy(trusted[1].key, trusted[0].key, SYC_PUBLIC_KEY_LEN);
	CU_ASSERT_PTR_NULL(
		syc_bundle_parse(view(env.data), trusted, 2, err, sizeof(err)));
	CU_ASSERT_PTR_NOT_NULL(strstr(err, "has signed already"));
}

static void change_after_signing_is_seen(void)
{
	auto_buf struct buf env = {0};

	fixture_bundle(&env, 1, 2, "ab");
	*strstr(env.data, "share = 1") = 'S';
	expect_refused(&env, "unknown key 'Share'");
	*strstr(env.data, "Share = 1") = 's';
	strstr(env.data, "share = 1")[8] = '2';
	expect_refused(&env, "the signature of a is wrong");
}

static void text_after_signatures_is_refused(void)
{
	auto_buf struct buf env = {0};

	fixture_bundle(&env, 1, 2, "ab");
	buf_puts(&env, "[caller two]\nshare = 1\n");
	expect_refused(&env, "section [caller two] after the signed text");
}

static void each_error_has_its_line(void)
{
	static const struct {
		const char *from, *to, *err;
	} cases[] = {
		{"version = 1", "version = 0", "bundle:2: version = '0'"},
		{"version = 1", "version = 1\nversion = 1", "bundle:3: key"},
		{"signoffs = 2", "signoffs = 9", "signoffs = 9, but 4"},
		{"[domain east]", "[domain East]", "bundle:8: 'East' is no"},
		{"[domain east]", "[domains]", "bundle:8: unknown section"},
		{"[domain east]", "[signer a]", "bundle:8: section [signer a]"},
		{"path = /t", "path = t", "path of service work is no path"},
		{"path = /t", "", "bundle:9: key 'path' missing"},
		{"slots = 8", "slots = 0", "bundle:11: slots = '0'"},
		{"service = work", "service = rest",
		 "bundle:16: kind pay names"},
		{"non_idempotent = yes", "", "bundle:16: key 'non_idem"},
		{"time_limit_ms = 1000", "time_limit_ms = 1000\nretries = 1",
		 "bundle:16: kind pay is non-idempotent"},
		{"share = 1", "share = 1000001", "bundle:14: share ="},
		{"owner = o", "owner = o o", "bundle:13: owner = 'o o'"},
	};
	char err[256];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		auto_buf struct buf text = {0}, bad = {0};
		const char *at;

		fixture_text(&text, 1, 2);
		at = strstr(text.data, cases[i].from);
		CU_ASSERT_PTR_NOT_NULL_FATAL(at);
		buf_add(&bad, text.data, (size_t)(at - text.data));
		buf_puts(&bad, cases[i].to);
		buf_puts(&bad, at + strlen(cases[i].from));
		err[0] = '\0';
		CU_ASSERT_PTR_NULL(
			syc_bundle_parse_draft(view(bad.data), err, 256));
		if (!strstr(err, cases[i].err))
			printf("got '%s', want '%s'\n", err, cases[i].err);
		CU_ASSERT_PTR_NOT_NULL(strstr(err, cases[i].err));
	}
}

static void successor_is_higher_and_signed_as_before(void)
{
	auto_buf struct buf env1 = {0}, env2 = {0}, env3 = {0};
	struct syc_bundle *cur, *low, *high;
	char err[256] = "";

	fixture_bundle(&env1, 5, 3, "abc");
	fixture_bundle(&env2, 6, 2, "ab");
	fixture_bundle(&env3, 6, 2, "abc");
	cur = fixture_parse(&env1, err);
	low = fixture_parse(&env2, err);
	high = fixture_parse(&env3, err);
	CU_ASSERT_TRUE_FATAL(cur && low && high);
	CU_ASSERT_FALSE(syc_bundle_can_replace(cur, low, err, sizeof(err)));
	CU_ASSERT_PTR_NOT_NULL(strstr(err, "demands 3"));
	CU_ASSERT_TRUE(syc_bundle_can_replace(cur, high, err, sizeof(err)));
	CU_ASSERT_FALSE(syc_bundle_can_replace(high, cur, err, sizeof(err)));
	CU_ASSERT_FALSE(syc_bundle_can_replace(cur, cur, err, sizeof(err)));
	CU_ASSERT_TRUE(syc_bundle_can_replace(NULL, low, err, sizeof(err)));
	syc_bundle_unref(cur);
	syc_bundle_unref(low);
	syc_bundle_unref(high);
}

/* New signers do not replace the old ones by themselves. */
static void old_rule_wants_its_own_signers(void)
{
	auto_buf struct buf env1 = {0}, env2 = {0}, env3 = {0};
	struct syc_bundle *cur, *other, *same;
	char err[256] = "";

	fixture_bundle(&env1, 5, 2, "ab");
	cur = fixture_parse(&env1, err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(cur);
	copy_name(cur->signers[2], SYC_NAME_MAX, "z");
	fixture_bundle(&env2, 6, 2, "bc");
	fixture_bundle(&env3, 6, 2, "abc");
	other = fixture_parse(&env2, err);
	same = fixture_parse(&env3, err);
	CU_ASSERT_TRUE_FATAL(other && same);
	CU_ASSERT_FALSE(syc_bundle_meets_signoffs(cur, other));
	CU_ASSERT_TRUE(syc_bundle_meets_signoffs(cur, same));
	syc_bundle_unref(cur);
	syc_bundle_unref(other);
	syc_bundle_unref(same);
}

/* Random damage never yields an accepted bundle of another text. */
static void damaged_bundles_are_refused(void)
{
	auto_buf struct buf env = {0};
	struct rng r = {31};
	struct syc_bundle *whole, *b;
	char *copy, err[256];
	size_t i, n;

	fixture_bundle(&env, 1, 2, "ab");
	whole = fixture_parse(&env, err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(whole);
	copy = malloc(env.len);
	for (i = 0; i < 20000; i++) {
		memcpy(copy, env.data, env.len);
		n = rng_below(&r, 4) ? env.len : 1 + rng_below(&r, env.len);
		copy[rng_below(&r, n)] = (char)rng_next(&r);
		copy[rng_below(&r, n)] = (char)rng_next(&r);
		b = syc_bundle_parse((struct syc_bytes){copy, n},
				     fixture_trusted, FIXTURE_TRUSTED, err,
				     sizeof(err));
		CU_ASSERT_TRUE(
			b ? !memcmp(b->digest, whole->digest, SYC_DIGEST_LEN)
			  : !strncmp(err, "bundle:", 7));
		syc_bundle_unref(b);
	}
	free(copy);
	syc_bundle_unref(whole);
}

static void read_example(const char *path, size_t callers)
{
	auto_buf struct buf text = {0};
	struct syc_bundle *b;
	char err[256] = "";
	FILE *f = fopen(path, "re");
	int c;

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	while ((c = fgetc(f)) != EOF)
		buf_add(&text, &(char){(char)c}, 1);
	fclose(f);
	b = syc_bundle_parse_draft(view(text.data), err, sizeof(err));
	CU_ASSERT_STRING_EQUAL(err, "");
	CU_ASSERT_PTR_NOT_NULL_FATAL(b);
	CU_ASSERT_TRUE(b->n_callers >= callers);
	syc_bundle_unref(b);
}

static void examples_are_accepted(void)
{
	read_example("conf/example.bundle", 2);
	read_example("conf/druckwerk.bundle", 8);
	read_example("conf/reskassa.bundle", 8);
}

SUITE(bundle)
{
	fixture_init();
	TEST(whole_bundle_is_read);
	TEST(signatures_are_needed);
	TEST(no_operator_decides_alone);
	TEST(one_key_counts_once);
	TEST(change_after_signing_is_seen);
	TEST(text_after_signatures_is_refused);
	TEST(each_error_has_its_line);
	TEST(successor_is_higher_and_signed_as_before);
	TEST(old_rule_wants_its_own_signers);
	TEST(damaged_bundles_are_refused);
	TEST(examples_are_accepted);
}
