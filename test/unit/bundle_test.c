/* Tests of the bundle's reader and of its signatures. */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "bundle_fixture.h"
#include "unit.h"
#include "util/alloc.h"
#include "util/rng.h"

static struct syc_bytes bytes_of(const char *s)
{
	return (struct syc_bytes){s, strlen(s)};
}

static void valid_bundle_is_read(void)
{
	auto_buf struct buf envelope = {0};
	struct syc_bundle *b;
	char err[256] = "";

	fixture_add_signed(&envelope, 7, 2, "ab");
	b = fixture_parse(&envelope, err);
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

static void check_refused(struct buf *envelope, const char *expected)
{
	char err[256] = "";
	struct syc_bundle *b = fixture_parse(envelope, err);

	CU_ASSERT_PTR_NULL(b);
	if (!strstr(err, expected))
		printf("got '%s', want '%s'\n", err, expected);
	CU_ASSERT_PTR_NOT_NULL(strstr(err, expected));
	syc_bundle_unref(b);
}

static void missing_or_wrong_signatures_are_refused(void)
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
		auto_buf struct buf envelope = {0};

		fixture_add_signed(&envelope, 1, 2, cases[i].signers);
		check_refused(&envelope, cases[i].err);
	}
}

/* One signature is not enough if several operators are trusted. */
static void one_signature_is_not_enough(void)
{
	auto_buf struct buf envelope = {0};

	fixture_add_signed(&envelope, 1, 1, "a");
	check_refused(&envelope,
		      "1 good signatures of trusted operators, 2 need");
}

static void key_with_two_names_is_refused(void)
{
	struct syc_signer trusted[2];
	auto_buf struct buf envelope = {0};
	char err[256] = "";

	fixture_add_signed(&envelope, 1, 2, "a");
	fixture_add_signature(&envelope, "b", 'a');
	trusted[0] = fixture_trusted[0];
	trusted[1] = fixture_trusted[1];
	memcpy(trusted[1].key, trusted[0].key, SYC_PUBLIC_KEY_LEN);
	CU_ASSERT_PTR_NULL(syc_bundle_parse(bytes_of(envelope.data), trusted, 2,
					    err, sizeof(err)));
	CU_ASSERT_PTR_NOT_NULL(strstr(err, "has signed already"));
}

static void change_after_signing_is_refused(void)
{
	auto_buf struct buf envelope = {0};

	fixture_add_signed(&envelope, 1, 2, "ab");
	*strstr(envelope.data, "share = 1") = 'S';
	check_refused(&envelope, "unknown key 'Share'");
	*strstr(envelope.data, "Share = 1") = 's';
	strstr(envelope.data, "share = 1")[8] = '2';
	check_refused(&envelope, "the signature of a is wrong");
}

static void text_after_signatures_is_refused(void)
{
	auto_buf struct buf envelope = {0};

	fixture_add_signed(&envelope, 1, 2, "ab");
	buf_puts(&envelope, "[caller two]\nshare = 1\n");
	check_refused(&envelope, "section [caller two] after the signed text");
}

static void errors_state_their_line(void)
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
		{"path = /t", "path = t",
		 "path of service work must begin with '/'"},
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

		fixture_add_draft(&text, 1, 2);
		at = strstr(text.data, cases[i].from);
		CU_ASSERT_PTR_NOT_NULL_FATAL(at);
		buf_add(&bad, text.data, (size_t)(at - text.data));
		buf_puts(&bad, cases[i].to);
		buf_puts(&bad, at + strlen(cases[i].from));
		err[0] = '\0';
		CU_ASSERT_PTR_NULL(
			syc_bundle_parse_draft(bytes_of(bad.data), err, 256));
		if (!strstr(err, cases[i].err))
			printf("got '%s', want '%s'\n", err, cases[i].err);
		CU_ASSERT_PTR_NOT_NULL(strstr(err, cases[i].err));
	}
}

static void successor_needs_higher_version_and_signoffs(void)
{
	auto_buf struct buf envelope1 = {0}, envelope2 = {0}, envelope3 = {0};
	struct syc_bundle *cur, *few_signed, *enough_signed;
	char err[256] = "";

	fixture_add_signed(&envelope1, 5, 3, "abc");
	fixture_add_signed(&envelope2, 6, 2, "ab");
	fixture_add_signed(&envelope3, 6, 2, "abc");
	cur = fixture_parse(&envelope1, err);
	few_signed = fixture_parse(&envelope2, err);
	enough_signed = fixture_parse(&envelope3, err);
	CU_ASSERT_TRUE_FATAL(cur && few_signed && enough_signed);
	CU_ASSERT_FALSE(
		syc_bundle_can_replace(cur, few_signed, err, sizeof(err)));
	CU_ASSERT_PTR_NOT_NULL(strstr(err, "demands 3"));
	CU_ASSERT_TRUE(
		syc_bundle_can_replace(cur, enough_signed, err, sizeof(err)));
	CU_ASSERT_FALSE(
		syc_bundle_can_replace(enough_signed, cur, err, sizeof(err)));
	CU_ASSERT_FALSE(syc_bundle_can_replace(cur, cur, err, sizeof(err)));
	CU_ASSERT_TRUE(
		syc_bundle_can_replace(NULL, few_signed, err, sizeof(err)));
	syc_bundle_unref(cur);
	syc_bundle_unref(few_signed);
	syc_bundle_unref(enough_signed);
}

/* The signers of the new bundle alone cannot replace those of the old. */
static void old_rule_needs_signers_of_old_bundle(void)
{
	auto_buf struct buf envelope1 = {0}, envelope2 = {0}, envelope3 = {0};
	struct syc_bundle *cur, *new_signers, *old_signers;
	char err[256] = "";

	fixture_add_signed(&envelope1, 5, 2, "ab");
	cur = fixture_parse(&envelope1, err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(cur);
	copy_text(cur->signers[2], SYC_NAME_MAX, "z");
	fixture_add_signed(&envelope2, 6, 2, "bc");
	fixture_add_signed(&envelope3, 6, 2, "abc");
	new_signers = fixture_parse(&envelope2, err);
	old_signers = fixture_parse(&envelope3, err);
	CU_ASSERT_TRUE_FATAL(new_signers && old_signers);
	CU_ASSERT_FALSE(syc_bundle_meets_signoffs(cur, new_signers));
	CU_ASSERT_TRUE(syc_bundle_meets_signoffs(cur, old_signers));
	syc_bundle_unref(cur);
	syc_bundle_unref(new_signers);
	syc_bundle_unref(old_signers);
}

/* A randomly damaged bundle is refused unless its signed text is intact. */
static void damaged_bundles_are_refused(void)
{
	auto_buf struct buf envelope = {0};
	struct rng r = {31};
	struct syc_bundle *intact, *b;
	char *copy, err[256];
	size_t i, n;

	fixture_add_signed(&envelope, 1, 2, "ab");
	intact = fixture_parse(&envelope, err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(intact);
	copy = malloc(envelope.len);
	for (i = 0; i < 20000; i++) {
		memcpy(copy, envelope.data, envelope.len);
		n = rng_below(&r, 4) ? envelope.len
				     : 1 + rng_below(&r, envelope.len);
		copy[rng_below(&r, n)] = (char)rng_next(&r);
		copy[rng_below(&r, n)] = (char)rng_next(&r);
		b = syc_bundle_parse((struct syc_bytes){copy, n},
				     fixture_trusted, FIXTURE_TRUSTED, err,
				     sizeof(err));
		CU_ASSERT_TRUE(
			b ? !memcmp(b->digest, intact->digest, SYC_DIGEST_LEN)
			  : !strncmp(err, "bundle:", 7));
		syc_bundle_unref(b);
	}
	free(copy);
	syc_bundle_unref(intact);
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
	b = syc_bundle_parse_draft(bytes_of(text.data), err, sizeof(err));
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
	TEST(valid_bundle_is_read);
	TEST(missing_or_wrong_signatures_are_refused);
	TEST(one_signature_is_not_enough);
	TEST(key_with_two_names_is_refused);
	TEST(change_after_signing_is_refused);
	TEST(text_after_signatures_is_refused);
	TEST(errors_state_their_line);
	TEST(successor_needs_higher_version_and_signoffs);
	TEST(old_rule_needs_signers_of_old_bundle);
	TEST(damaged_bundles_are_refused);
	TEST(examples_are_accepted);
}
