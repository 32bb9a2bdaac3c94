/*
 * What a change of a bundle of 120 callers costs on the wire, against the
 * bound on control traffic. Prints the figures of docs/measurements.
 */
#include <stdio.h>
#include <string.h>

#include "bundle_fixture.h"
#include "coordination/bundle_delta.h"
#include "bundle_sync_sim.h"
#include "unit.h"

enum {
	CALLERS = 120,
	DOMAIN_INSTANCES = 24,
	CHANGES_A_DAY = 8800,
	SECONDS_A_DAY = 86400,
	CONTROL_MAX = 9 * 1024 /* bytes a second of one instance */
};

/* A bundle whose callers from `lo` to `hi` - 1 have another share. */
static void big_bundle(struct buf *out, unsigned long version, int callers,
		       int lo, int hi)
{
	uint8_t hash[SYC_DIGEST_LEN];
	char token[32];
	size_t k;
	int i;

	fixture_text(out, version, 2);
	for (i = 0; i < callers; i++) {
		buf_printf(out,
			   "\n[caller team-%03d]\nowner = unit-%02d\n"
			   "share = %d\nrate = %d\ntoken_hash = ",
			   i, i % 17, 10 + i % 7 + (i >= lo && i < hi) * 50,
			   100 + i);
		snprintf(token, sizeof(token), "token %d", i);
		syc_bundle_token_hash(token, hash);
		for (k = 0; k < sizeof(hash); k++)
			buf_printf(out, "%02x", hash[k]);
		buf_puts(out, "\n");
	}
	buf_puts(out, "[signatures]\n");
	fixture_sign_as(out, "a", 'a');
	fixture_sign_as(out, "b", 'b');
}

/* Bytes of the message that carries the change as a delta. */
static size_t delta_bytes(const struct buf *base, const struct buf *next)
{
	struct bundle_delta_step steps[BUNDLE_DELTA_STEPS_MAX];
	auto_wire_out struct wire_out w;
	size_t n = bundle_delta_compute(
		(struct syc_bytes){base->data, base->len},
		(struct syc_bytes){next->data, next->len}, steps,
		BUNDLE_DELTA_STEPS_MAX);

	CU_ASSERT_TRUE(n > 0);
	wire_begin(&w, SYC_PEER_BUNDLE, 3);
	wire_put_u64(&w, 1);
	wire_put_u64(&w, UINT64_MAX);
	bundle_delta_encode(&w, steps, n);
	return wire_bytes(&w).n;
}

/* Even one instance that serves its whole domain stays under the bound. */
static void change_costs_little(void)
{
	static const struct {
		const char *what;
		int callers, lo, hi;
	} cases[] = {
		{"one share", CALLERS, 60, 61},
		{"ten shares", CALLERS, 60, 70},
		{"a caller more", CALLERS + 1, 0, 0},
		{"a caller less", CALLERS - 1, 0, 0},
	};
	auto_buf struct buf base = {0};
	size_t i, n, a_second;

	big_bundle(&base, 1, CALLERS, 0, 0);
	printf("whole text of %d callers: %zu bytes\n", CALLERS, base.len);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		auto_buf struct buf next = {0};

		big_bundle(&next, 2, cases[i].callers, cases[i].lo,
			   cases[i].hi);
		n = delta_bytes(&base, &next);
		a_second = n * (DOMAIN_INSTANCES - 1) * CHANGES_A_DAY /
			   SECONDS_A_DAY;
		printf("%s: %zu bytes; serving %d peers %zu bytes/s\n",
		       cases[i].what, n, DOMAIN_INSTANCES - 1, a_second);
		CU_ASSERT_TRUE(a_second < CONTROL_MAX);
	}
}

/* What the real syncs exchange for one roll in a domain of 24. */
static void roll_in_a_domain(void)
{
	static struct bundle_sim f;
	auto_buf struct buf v1 = {0}, v2 = {0};
	uint64_t before = 0, total = 0;
	size_t i;

	big_bundle(&v1, 1, CALLERS, 0, 0);
	big_bundle(&v2, 2, CALLERS, 60, 61);
	bundle_sim_init(&f, DOMAIN_INSTANCES, 2);
	bundle_sim_publish(&f, &v1);
	bundle_sim_run(&f, 5000);
	for (i = 0; i < f.n; i++)
		before += f.nodes[i].received_bytes;
	bundle_sim_publish(&f, &v2);
	bundle_sim_run(&f, 5000);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&f, 2), DOMAIN_INSTANCES);
	for (i = 0; i < f.n; i++)
		total += f.nodes[i].received_bytes;
	total -= before;
	printf("one roll, %d instances: %llu bytes from peers in all\n",
	       DOMAIN_INSTANCES, (unsigned long long)total);
	CU_ASSERT_TRUE(total * CHANGES_A_DAY / SECONDS_A_DAY < CONTROL_MAX);
	bundle_sim_free(&f);
}

SUITE(bundle_bytes)
{
	fixture_init();
	TEST(change_costs_little);
	TEST(roll_in_a_domain);
}
