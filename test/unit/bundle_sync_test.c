/* The bundle's way to the instances, on a virtual clock. */
#include <stdio.h>
#include <string.h>

#include "bundle_fixture.h"
#include "coordination/bundle_delta.h"
#include "protocol/wire.h"
#include "sync_fake.h"
#include "unit.h"
#include "util/rng.h"

enum {
	IN_FORCE_MS = 5000, /* everywhere after a roll */
	STALE_TRIES = 12, /* of one watcher in a minute */
	HEAL_MS = 5000 /* until no watcher waits any more */
};

static struct sync_fake f;

static void roll(unsigned long version, const char *signers)
{
	auto_buf struct buf env = {0};

	fixture_bundle(&env, version, 2, signers);
	sync_fake_roll(&f, &env);
}

static void begin(size_t n, size_t watchers)
{
	sync_fake_init(&f, n, watchers);
	roll(1, "ab");
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL_FATAL(sync_fake_on(&f, 1), n);
}

static void roll_reaches_everybody(void)
{
	begin(24, 2);
	roll(2, "ab");
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 2), 24);
	CU_ASSERT_EQUAL(f.writes, 0);
	sync_fake_free(&f);
}

static void changes_in_quick_succession_converge(void)
{
	unsigned long version;

	begin(8, 2);
	for (version = 2; version <= 60; version++) {
		roll(version, "ac");
		sync_fake_run(&f, 100);
	}
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 60), 8);
	sync_fake_free(&f);
}

static void badly_signed_is_refused_once_and_not_repaired(void)
{
	begin(4, 2);
	roll(2, "a");
	sync_fake_run(&f, 120000);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 1), 4);
	CU_ASSERT_EQUAL(f.writes, 0);
	CU_ASSERT_EQUAL(f.nodes[0].refusals, 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.nodes[0].refused, "2 needed"));
	roll(3, "bc");
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 3), 4);
	sync_fake_free(&f);
}

static void text_that_does_not_parse_is_refused(void)
{
	auto_buf struct buf junk = {0};

	begin(4, 2);
	buf_puts(&junk, "[bundle]\nversion = many\n");
	sync_fake_roll(&f, &junk);
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 1), 4);
	CU_ASSERT_EQUAL(f.writes, 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.nodes[0].refused, "bundle:2:"));
	sync_fake_free(&f);
}

/* The older content is not adopted; one write puts the newest back. */
static void restored_store_is_repaired_once(void)
{
	auto_buf struct buf old = {0};
	struct syc_bundle *b;
	char err[256];

	begin(6, 3);
	buf_add(&old, f.value.data, f.value.len);
	roll(2, "ab");
	sync_fake_run(&f, IN_FORCE_MS);
	sync_fake_restore(&f, &old);
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 2), 6);
	CU_ASSERT_EQUAL(f.writes, 1);
	b = fixture_parse(&f.value, err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(b);
	CU_ASSERT_EQUAL(b->version, 2);
	syc_bundle_unref(b);
	sync_fake_free(&f);
}

static void wiped_store_is_repaired_despite_a_lost_reply(void)
{
	static const struct buf nothing;

	begin(4, 2);
	f.lose_replies = 1;
	sync_fake_restore(&f, &nothing);
	sync_fake_run(&f, 2 * IN_FORCE_MS);
	CU_ASSERT_TRUE(f.value.len > 0);
	CU_ASSERT_EQUAL(f.writes, 1);
	sync_fake_free(&f);
}

static void stale_read_changes_nothing(void)
{
	begin(4, 2);
	roll(2, "ab");
	sync_fake_run(&f, IN_FORCE_MS);
	f.stale = true;
	sync_fake_run(&f, 60000);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 2), 4);
	CU_ASSERT_EQUAL(f.writes, 0);
	CU_ASSERT_TRUE(f.conflicts > 0);
	CU_ASSERT_TRUE(f.conflicts <= 2 * STALE_TRIES);
	f.stale = false;
	roll(3, "ab");
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 3), 4);
	sync_fake_free(&f);
}

/* Another text of the version in force is told and left alone. */
static void other_text_of_one_version_is_refused(void)
{
	auto_buf struct buf env = {0};

	begin(2, 1);
	buf_puts(&env, "# another\n");
	fixture_bundle(&env, 1, 2, "ab");
	sync_fake_restore(&f, &env);
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(f.writes, 0);
	CU_ASSERT_EQUAL(f.nodes[0].refusals, 1);
	sync_fake_free(&f);
}

enum { RANDOM_NODES = 6, RANDOM_STEPS = 60, RANDOM_SEEDS = 200 };

static void random_event(struct rng *r, const struct buf *first,
			 unsigned long *version)
{
	size_t i = (size_t)rng_below(r, RANDOM_NODES);
	struct sync_fake_node *node = &f.nodes[i];

	switch (rng_below(r, 8)) {
	case 0:
		roll(++*version, rng_below(r, 3) ? "ac" : "aB");
		break;
	case 1:
		node->side = (int)rng_below(r, 2);
		break;
	case 2:
		node->store_cut = rng_below(r, 2);
		break;
	case 3:
		f.stale = rng_below(r, 2);
		break;
	case 4:
		f.lose_replies = (int)rng_below(r, 3);
		break;
	case 5:
		sync_fake_restore(&f, first);
		break;
	case 6:
		sync_fake_replace(&f, i);
		break;
	default:
		syc_bundle_sync_set_watcher(node->sync, f.now, rng_below(r, 2));
	}
}

static void heal(void)
{
	size_t i;

	f.stale = false;
	f.lose_replies = 0;
	for (i = 0; i < RANDOM_NODES; i++) {
		f.nodes[i].side = 0;
		f.nodes[i].store_cut = false;
		syc_bundle_sync_set_watcher(f.nodes[i].sync, f.now, i < 2);
	}
	sync_fake_run(&f, HEAL_MS);
}

/* Whatever happens in between, all end on the newest and none goes back. */
static void random_run(uint64_t seed)
{
	struct rng r = {seed};
	auto_buf struct buf first = {0};
	unsigned long version = 1;
	int step;

	begin(RANDOM_NODES, 2);
	buf_add(&first, f.value.data, f.value.len);
	for (step = 0; step < RANDOM_STEPS; step++) {
		random_event(&r, &first, &version);
		sync_fake_run(&f, (int64_t)rng_below(&r, 4000));
	}
	heal();
	roll(++version, "ab");
	sync_fake_run(&f, IN_FORCE_MS);
	if (sync_fake_on(&f, version) != RANDOM_NODES)
		printf("seed %llu\n", (unsigned long long)seed);
	CU_ASSERT_EQUAL(sync_fake_on(&f, version), RANDOM_NODES);
	sync_fake_free(&f);
}

static void random_runs_converge(void)
{
	uint64_t seed;

	for (seed = 1; seed <= RANDOM_SEEDS; seed++)
		random_run(seed);
	random_run(1005); /* a roll while repairs rested */
}

static void domain_cut_from_the_store_learns_from_peers(void)
{
	size_t i;

	begin(6, 2);
	for (i = 0; i < 3; i++)
		f.nodes[i].store_cut = true;
	syc_bundle_sync_set_watcher(f.nodes[3].sync, f.now, true);
	roll(2, "ab");
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 2), 6);
	sync_fake_free(&f);
}

static void cut_domain_converges_when_healed(void)
{
	size_t i;

	begin(6, 2);
	for (i = 3; i < 6; i++) {
		f.nodes[i].side = 1;
		f.nodes[i].store_cut = true;
	}
	roll(2, "ab");
	sync_fake_run(&f, 60000);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 1), 3);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 2), 3);
	for (i = 3; i < 6; i++)
		f.nodes[i].side = 0;
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 2), 6);
	sync_fake_free(&f);
}

static void newcomer_learns_from_peers_during_an_outage(void)
{
	size_t i;

	begin(4, 2);
	for (i = 0; i < 4; i++)
		f.nodes[i].store_cut = true;
	sync_fake_replace(&f, 3);
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 1), 4);
	sync_fake_free(&f);
}

static void newcomer_without_peers_reads_the_store(void)
{
	begin(1, 1);
	sync_fake_replace(&f, 0);
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 1), 1);
	sync_fake_free(&f);
}

/* Makes node 0 pull from node 1 and hands it `env` as the answer. */
static void answer_pull(const struct buf *env, uint64_t version)
{
	auto_wire_out struct wire_out w;

	f.nodes[0].side = 2;
	syc_bundle_sync_peer_version(f.nodes[0].sync, f.now, 2, version);
	sync_fake_run(&f, 300);
	wire_begin(&w, SYC_PEER_BUNDLE, 3);
	wire_put_u64(&w, 0);
	wire_put_u64(&w, 0);
	wire_put_bytes(&w, env->data, env->len);
	sync_fake_deliver(&f, 1, 0, wire_bytes(&w));
}

static void invalid_from_a_peer_is_refused(void)
{
	auto_buf struct buf bad = {0}, good = {0};

	begin(2, 1);
	fixture_bundle(&bad, 2, 2, "aB");
	fixture_bundle(&good, 2, 2, "ab");
	answer_pull(&bad, 2);
	CU_ASSERT_EQUAL(f.nodes[0].version, 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.nodes[0].refused, "peer 0000000000000"
							  "002: bundle:"));
	answer_pull(&good, 2);
	CU_ASSERT_EQUAL(f.nodes[0].version, 1);
	sync_fake_run(&f, 11000);
	answer_pull(&good, 2);
	CU_ASSERT_EQUAL(f.nodes[0].version, 2);
	sync_fake_free(&f);
}

static void older_from_a_peer_is_refused(void)
{
	auto_buf struct buf old = {0};

	begin(2, 1);
	buf_add(&old, f.value.data, f.value.len);
	roll(2, "ab");
	sync_fake_run(&f, IN_FORCE_MS);
	answer_pull(&old, 9);
	CU_ASSERT_EQUAL(f.nodes[0].version, 2);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(f.nodes[0].refused, "version 1 is not above 2"));
	sync_fake_free(&f);
}

static void unasked_bundle_is_ignored(void)
{
	auto_buf struct buf env = {0};
	auto_wire_out struct wire_out w;

	begin(2, 1);
	fixture_bundle(&env, 2, 2, "ab");
	wire_begin(&w, SYC_PEER_BUNDLE, 3);
	wire_put_u64(&w, 0);
	wire_put_u64(&w, 0);
	wire_put_bytes(&w, env.data, env.len);
	sync_fake_deliver(&f, 1, 0, wire_bytes(&w));
	CU_ASSERT_EQUAL(f.nodes[0].version, 1);
	sync_fake_free(&f);
}

/* A peer that promises and never answers is not asked again and again. */
static void silent_peer_is_asked_seldom(void)
{
	enum { MINUTE_MS = 60000, ASKS_MAX = 20 };
	uint64_t before;
	int64_t end;

	begin(1, 1);
	before = f.nodes[0].sent;
	for (end = f.now + MINUTE_MS; f.now < end;) {
		syc_bundle_sync_peer_version(f.nodes[0].sync, f.now, 77, 9);
		sync_fake_run(&f, FAKE_STEP_MS);
	}
	CU_ASSERT_TRUE(f.nodes[0].sent > before);
	CU_ASSERT_TRUE(f.nodes[0].sent - before <= ASKS_MAX);
	sync_fake_free(&f);
}

/* However many ask, the answers of one second are bounded. */
static void flood_of_pulls_is_answered_in_part(void)
{
	enum { ASKS = 1000, ANSWERS_MAX = 64 };
	auto_wire_out struct wire_out w;
	uint64_t before;
	int i;

	begin(2, 1);
	wire_begin(&w, SYC_PEER_BUNDLE_REQUEST, 2);
	wire_put_u64(&w, 0);
	wire_put_u64(&w, 0);
	f.nodes[0].side = 2;
	before = f.nodes[0].sent;
	for (i = 0; i < ASKS; i++)
		sync_fake_deliver(&f, 1, 0, wire_bytes(&w));
	CU_ASSERT_TRUE(f.nodes[0].sent > before);
	CU_ASSERT_TRUE(f.nodes[0].sent - before <= ANSWERS_MAX);
	sync_fake_free(&f);
}

/* A change of one line costs less than the whole text. */
static void delta_is_sent_where_the_base_is_known(void)
{
	uint64_t before, whole;

	begin(2, 1);
	whole = f.value.len;
	before = f.nodes[1].received;
	roll(2, "ab");
	sync_fake_run(&f, IN_FORCE_MS);
	CU_ASSERT_EQUAL(sync_fake_on(&f, 2), 2);
	CU_ASSERT_TRUE(f.nodes[1].received - before < whole);
	sync_fake_free(&f);
}

/* Steps made from any two texts give the second; damage stays in bounds. */
static void delta_rebuilds_any_text(void)
{
	struct bundle_step steps[64];
	struct rng r = {51};
	int i, k;

	for (i = 0; i < 2000; i++) {
		auto_buf struct buf a = {0}, b = {0}, out = {0};
		auto_wire_out struct wire_out w;
		struct wire_in in;
		size_t n;

		for (k = 0; k < 12; k++) {
			buf_printf(&a, "line %d\n", (int)rng_below(&r, 9));
			buf_printf(&b, "line %d%s", (int)rng_below(&r, 9),
				   rng_below(&r, 12) ? "\n" : "");
		}
		n = bundle_delta_make((struct syc_bytes){a.data, a.len},
				      (struct syc_bytes){b.data, b.len}, steps,
				      64);
		CU_ASSERT_TRUE_FATAL(n > 0);
		wire_begin(&w, SYC_PEER_BUNDLE, 1);
		bundle_delta_put(&w, steps, n);
		wire_open(&in, wire_bytes(&w));
		CU_ASSERT_TRUE(bundle_delta_take(
			&in, (struct syc_bytes){a.data, a.len}, &out, 4096));
		CU_ASSERT_TRUE(wire_close(&in));
		CU_ASSERT_STRING_EQUAL(out.data, b.data);
		buf_consume(&out, out.len);
		wire_open(&in, wire_bytes(&w));
		CU_ASSERT_FALSE(bundle_delta_take(
			&in, (struct syc_bytes){a.data, a.len}, &out,
			b.len - 1));
		wire_close(&in);
		CU_ASSERT_TRUE(out.len < b.len);
	}
}

static void delta_outside_its_base_is_refused(void)
{
	static const struct bundle_step cases[] = {
		{11, 0, {"", 0}},
		{5, 6, {"", 0}},
		{0, SIZE_MAX, {"", 0}},
		{SIZE_MAX, 2, {"", 0}},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		auto_buf struct buf out = {0};
		auto_wire_out struct wire_out w;
		struct wire_in in;

		wire_begin(&w, SYC_PEER_BUNDLE, 1);
		bundle_delta_put(&w, &cases[i], 1);
		wire_open(&in, wire_bytes(&w));
		CU_ASSERT_FALSE(bundle_delta_take(
			&in, (struct syc_bytes){"0123456789", 10}, &out, 4096));
		wire_close(&in);
		CU_ASSERT_EQUAL(out.len, 0);
	}
}

SUITE(bundle_sync)
{
	fixture_init();
	TEST(roll_reaches_everybody);
	TEST(changes_in_quick_succession_converge);
	TEST(badly_signed_is_refused_once_and_not_repaired);
	TEST(text_that_does_not_parse_is_refused);
	TEST(restored_store_is_repaired_once);
	TEST(wiped_store_is_repaired_despite_a_lost_reply);
	TEST(stale_read_changes_nothing);
	TEST(other_text_of_one_version_is_refused);
	TEST(random_runs_converge);
	TEST(domain_cut_from_the_store_learns_from_peers);
	TEST(cut_domain_converges_when_healed);
	TEST(newcomer_learns_from_peers_during_an_outage);
	TEST(newcomer_without_peers_reads_the_store);
	TEST(invalid_from_a_peer_is_refused);
	TEST(older_from_a_peer_is_refused);
	TEST(unasked_bundle_is_ignored);
	TEST(silent_peer_is_asked_seldom);
	TEST(flood_of_pulls_is_answered_in_part);
	TEST(delta_is_sent_where_the_base_is_known);
	TEST(delta_rebuilds_any_text);
	TEST(delta_outside_its_base_is_refused);
}
