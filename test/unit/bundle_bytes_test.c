/*
 * Tests that the bytes sent between instances for a change of a bundle of 120
 * callers stay below the bound on control traffic. Prints the figures of
 * docs/measurements.
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
	CHANGES_PER_DAY = 8800,
	SECONDS_PER_DAY = 86400,
	CONTROL_BYTES_MAX = 9 * 1024 /* per second and instance */
};

/* Appends a bundle; callers `first` to `end` - 1 have another share. */
static void add_bundle(struct buf *out, unsigned long version, int callers,
		       int first, int end)
{
	uint8_t hash[SYC_DIGEST_LEN];
	char token[32];
	size_t k;
	int i;

	fixture_add_draft(out, version, 2);
	for (i = 0; i < callers; i++) {
		buf_printf(out,
			   "\n[caller team-%03d]\nowner = unit-%02d\n"
			   "share = %d\nrate = %d\ntoken_hash = ",
			   i, i % 17, 10 + i % 7 + (i >= first && i < end) * 50,
			   100 + i);
		snprintf(token, sizeof(token), "token %d", i);
		syc_bundle_token_hash(token, hash);
		for (k = 0; k < sizeof(hash); k++)
			buf_printf(out, "%02x", hash[k]);
		buf_puts(out, "\n");
	}
	buf_puts(out, "[signatures]\n");
	fixture_add_signature(out, "a", 'a');
	fixture_add_signature(out, "b", 'b');
}

/* Returns the bytes of the message that carries the change as a delta. */
static size_t count_delta_bytes(const struct buf *base, const struct buf *next)
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

/*
 * Checks the bytes per second of an instance that sends each change to all
 * others of its domain.
 */
static void delta_stays_below_traffic_bound(void)
{
	static const struct {
		const char *what;
		int callers, first, end;
	} cases[] = {
		{"one share", CALLERS, 60, 61},
		{"ten shares", CALLERS, 60, 70},
		{"a caller more", CALLERS + 1, 0, 0},
		{"a caller less", CALLERS - 1, 0, 0},
	};
	auto_buf struct buf base = {0};
	size_t i, n, bytes_per_second;

	add_bundle(&base, 1, CALLERS, 0, 0);
	printf("whole text of %d callers: %zu bytes\n", CALLERS, base.len);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		auto_buf struct buf next = {0};

		add_bundle(&next, 2, cases[i].callers, cases[i].first,
			   cases[i].end);
		n = count_delta_bytes(&base, &next);
		bytes_per_second = n * (DOMAIN_INSTANCES - 1) *
				   CHANGES_PER_DAY / SECONDS_PER_DAY;
		printf("%s: %zu bytes; serving %d peers %zu bytes/s\n",
		       cases[i].what, n, DOMAIN_INSTANCES - 1,
		       bytes_per_second);
		CU_ASSERT_TRUE(bytes_per_second < CONTROL_BYTES_MAX);
	}
}

/*
 * Checks the bytes that all bundle syncs of a domain of 24 instances exchange
 * for one new bundle.
 */
static void new_bundle_stays_below_traffic_bound(void)
{
	static struct bundle_sim f;
	auto_buf struct buf v1 = {0}, v2 = {0};
	uint64_t before = 0, total = 0;
	size_t i;

	add_bundle(&v1, 1, CALLERS, 0, 0);
	add_bundle(&v2, 2, CALLERS, 60, 61);
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
	printf("one new bundle, %d instances: %llu bytes from peers\n",
	       DOMAIN_INSTANCES, (unsigned long long)total);
	CU_ASSERT_TRUE(total * CHANGES_PER_DAY / SECONDS_PER_DAY <
		       CONTROL_BYTES_MAX);
	bundle_sim_free(&f);
}

SUITE(bundle_bytes)
{
	fixture_init();
	TEST(delta_stays_below_traffic_bound);
	TEST(new_bundle_stays_below_traffic_bound);
}
