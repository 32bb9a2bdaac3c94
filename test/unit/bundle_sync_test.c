/* Spread of bundles to the instances, on a virtual clock. */
#include <stdio.h>
#include <string.h>

#include "bundle_fixture.h"
#include "coordination/bundle_delta.h"
#include "protocol/wire.h"
#include "bundle_sync_sim.h"
#include "unit.h"
#include "util/rng.h"

enum {
	SPREAD_MS = 5000, /* time until all have adopted a new bundle */
	STALE_REPAIRS_MAX = 12, /* repairs by one watcher per minute */
	BOUND_MS = 17000, /* until a change is in force everywhere */
	RECOVERY_MS = 5000 /* until no watcher is in a backoff */
};

static struct bundle_sim sim;

static void publish(unsigned long version, const char *signers)
{
	auto_buf struct buf env = {0};

	fixture_add_signed(&env, version, 2, signers);
	bundle_sim_publish(&sim, &env);
}

static void start_sim(size_t n, size_t watchers)
{
	bundle_sim_init(&sim, n, watchers);
	publish(1, "ab");
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL_FATAL(bundle_sim_count_adopted(&sim, 1), n);
}

static void new_bundle_reaches_all_instances(void)
{
	start_sim(24, 2);
	publish(2, "ab");
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 2), 24);
	CU_ASSERT_EQUAL(sim.writes, 0);
	bundle_sim_free(&sim);
}

/* Longer than the wait of a watch with its time limit, and shorter. */
static void lost_watches_delay_no_bundle_beyond_the_bound(void)
{
	int64_t silence_ms, before_ms;

	for (silence_ms = 500; silence_ms < 40000; silence_ms += 11000) {
		for (before_ms = 0; before_ms < 30000; before_ms += 9000) {
			start_sim(8, 2);
			bundle_sim_run(&sim, before_ms);
			sim.silent = true;
			bundle_sim_run(&sim, silence_ms);
			sim.silent = false;
			publish(2, "ab");
			bundle_sim_run(&sim, BOUND_MS);
			CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 2), 8);
			bundle_sim_free(&sim);
		}
	}
}

static void frequent_changes_converge(void)
{
	unsigned long version;

	start_sim(8, 2);
	for (version = 2; version <= 60; version++) {
		publish(version, "ac");
		bundle_sim_run(&sim, 100);
	}
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 60), 8);
	bundle_sim_free(&sim);
}

static void badly_signed_bundle_is_refused_once_and_not_overwritten(void)
{
	start_sim(4, 2);
	publish(2, "a");
	bundle_sim_run(&sim, 120000);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 1), 4);
	CU_ASSERT_EQUAL(sim.writes, 0);
	CU_ASSERT_EQUAL(sim.nodes[0].refusals, 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(sim.nodes[0].last_refusal, "2 needed"));
	publish(3, "bc");
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 3), 4);
	bundle_sim_free(&sim);
}

static void unparsable_text_is_refused(void)
{
	auto_buf struct buf junk = {0};

	start_sim(4, 2);
	buf_puts(&junk, "[bundle]\nversion = many\n");
	bundle_sim_publish(&sim, &junk);
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 1), 4);
	CU_ASSERT_EQUAL(sim.writes, 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(sim.nodes[0].last_refusal, "bundle:2:"));
	bundle_sim_free(&sim);
}

/* Older content is not adopted. One write restores the newest. */
static void restored_store_is_repaired_once(void)
{
	auto_buf struct buf old = {0};
	struct syc_bundle *b;
	char err[256];

	start_sim(6, 3);
	buf_add(&old, sim.value.data, sim.value.len);
	publish(2, "ab");
	bundle_sim_run(&sim, SPREAD_MS);
	bundle_sim_restore(&sim, &old);
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 2), 6);
	CU_ASSERT_EQUAL(sim.writes, 1);
	b = fixture_parse(&sim.value, err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(b);
	CU_ASSERT_EQUAL(b->version, 2);
	syc_bundle_unref(b);
	bundle_sim_free(&sim);
}

static void wiped_store_is_repaired_despite_a_lost_reply(void)
{
	static const struct buf nothing;

	start_sim(4, 2);
	sim.replies_to_lose = 1;
	bundle_sim_restore(&sim, &nothing);
	bundle_sim_run(&sim, 2 * SPREAD_MS);
	CU_ASSERT_TRUE(sim.value.len > 0);
	CU_ASSERT_EQUAL(sim.writes, 1);
	bundle_sim_free(&sim);
}

static void stale_reads_change_nothing(void)
{
	start_sim(4, 2);
	publish(2, "ab");
	bundle_sim_run(&sim, SPREAD_MS);
	sim.has_stale_reads = true;
	bundle_sim_run(&sim, 60000);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 2), 4);
	CU_ASSERT_EQUAL(sim.writes, 0);
	CU_ASSERT_TRUE(sim.conflicts > 0);
	CU_ASSERT_TRUE(sim.conflicts <= 2 * STALE_REPAIRS_MAX);
	sim.has_stale_reads = false;
	publish(3, "ab");
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 3), 4);
	bundle_sim_free(&sim);
}

/* Another text of the current version is reported and not overwritten. */
static void second_text_of_a_version_is_refused(void)
{
	auto_buf struct buf env = {0};

	start_sim(2, 1);
	buf_puts(&env, "# another\n");
	fixture_add_signed(&env, 1, 2, "ab");
	bundle_sim_restore(&sim, &env);
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(sim.writes, 0);
	CU_ASSERT_EQUAL(sim.nodes[0].refusals, 1);
	bundle_sim_free(&sim);
}

enum { RANDOM_NODES = 6, RANDOM_STEPS = 60, RANDOM_SEEDS = 200 };

static void random_event(struct rng *r, const struct buf *first,
			 unsigned long *version)
{
	size_t i = (size_t)rng_below(r, RANDOM_NODES);
	struct bundle_sim_node *node = &sim.nodes[i];

	switch (rng_below(r, 8)) {
	case 0:
		publish(++*version, rng_below(r, 3) ? "ac" : "aB");
		break;
	case 1:
		node->partition = (int)rng_below(r, 2);
		break;
	case 2:
		node->store_cut = rng_below(r, 2);
		break;
	case 3:
		sim.has_stale_reads = rng_below(r, 2);
		break;
	case 4:
		sim.replies_to_lose = (int)rng_below(r, 3);
		break;
	case 5:
		bundle_sim_restore(&sim, first);
		break;
	case 6:
		bundle_sim_replace(&sim, i);
		break;
	default:
		syc_bundle_sync_set_watcher(node->sync, sim.now,
					    rng_below(r, 2));
	}
}

static void end_faults(void)
{
	size_t i;

	sim.has_stale_reads = false;
	sim.replies_to_lose = 0;
	for (i = 0; i < RANDOM_NODES; i++) {
		sim.nodes[i].partition = 0;
		sim.nodes[i].store_cut = false;
		syc_bundle_sync_set_watcher(sim.nodes[i].sync, sim.now, i < 2);
	}
	bundle_sim_run(&sim, RECOVERY_MS);
}

/* After random faults all adopt the newest version, and none goes back. */
static void random_run(uint64_t seed)
{
	struct rng r = {seed};
	auto_buf struct buf first = {0};
	unsigned long version = 1;
	int step;

	start_sim(RANDOM_NODES, 2);
	buf_add(&first, sim.value.data, sim.value.len);
	for (step = 0; step < RANDOM_STEPS; step++) {
		random_event(&r, &first, &version);
		bundle_sim_run(&sim, (int64_t)rng_below(&r, 4000));
	}
	end_faults();
	publish(++version, "ab");
	bundle_sim_run(&sim, SPREAD_MS);
	if (bundle_sim_count_adopted(&sim, version) != RANDOM_NODES)
		printf("seed %llu\n", (unsigned long long)seed);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, version), RANDOM_NODES);
	bundle_sim_free(&sim);
}

static void random_runs_converge(void)
{
	uint64_t seed;

	for (seed = 1; seed <= RANDOM_SEEDS; seed++)
		random_run(seed);
	random_run(1005); /* published during a repair backoff */
}

static void instances_without_store_pull_from_peers(void)
{
	size_t i;

	start_sim(6, 2);
	for (i = 0; i < 3; i++)
		sim.nodes[i].store_cut = true;
	syc_bundle_sync_set_watcher(sim.nodes[3].sync, sim.now, true);
	publish(2, "ab");
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 2), 6);
	bundle_sim_free(&sim);
}

static void partition_converges_after_it_ends(void)
{
	size_t i;

	start_sim(6, 2);
	for (i = 3; i < 6; i++) {
		sim.nodes[i].partition = 1;
		sim.nodes[i].store_cut = true;
	}
	publish(2, "ab");
	bundle_sim_run(&sim, 60000);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 1), 3);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 2), 3);
	for (i = 3; i < 6; i++)
		sim.nodes[i].partition = 0;
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 2), 6);
	bundle_sim_free(&sim);
}

static void new_instance_pulls_from_peers_during_an_outage(void)
{
	size_t i;

	start_sim(4, 2);
	for (i = 0; i < 4; i++)
		sim.nodes[i].store_cut = true;
	bundle_sim_replace(&sim, 3);
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 1), 4);
	bundle_sim_free(&sim);
}

static void new_instance_without_peers_reads_the_store(void)
{
	start_sim(1, 1);
	bundle_sim_replace(&sim, 0);
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 1), 1);
	bundle_sim_free(&sim);
}

/* Makes node 0 pull from node 1 and delivers `env` as the answer. */
static void answer_pull(const struct buf *env, uint64_t version)
{
	auto_wire_out struct wire_out w;

	sim.nodes[0].partition = 2;
	syc_bundle_sync_peer_version(sim.nodes[0].sync, sim.now, 2, version);
	bundle_sim_run(&sim, 300);
	wire_begin(&w, SYC_PEER_BUNDLE, 3);
	wire_put_u64(&w, 0);
	wire_put_u64(&w, 0);
	wire_put_bytes(&w, env->data, env->len);
	bundle_sim_deliver(&sim, 1, 0, wire_bytes(&w));
}

static void invalid_bundle_from_a_peer_is_refused(void)
{
	auto_buf struct buf bad = {0}, good = {0};

	start_sim(2, 1);
	fixture_add_signed(&bad, 2, 2, "aB");
	fixture_add_signed(&good, 2, 2, "ab");
	answer_pull(&bad, 2);
	CU_ASSERT_EQUAL(sim.nodes[0].version, 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(sim.nodes[0].last_refusal,
				      "peer 0000000000000"
				      "002: bundle:"));
	answer_pull(&good, 2);
	CU_ASSERT_EQUAL(sim.nodes[0].version, 1);
	bundle_sim_run(&sim, 11000);
	answer_pull(&good, 2);
	CU_ASSERT_EQUAL(sim.nodes[0].version, 2);
	bundle_sim_free(&sim);
}

static void older_bundle_from_a_peer_is_refused(void)
{
	auto_buf struct buf old = {0};

	start_sim(2, 1);
	buf_add(&old, sim.value.data, sim.value.len);
	publish(2, "ab");
	bundle_sim_run(&sim, SPREAD_MS);
	answer_pull(&old, 9);
	CU_ASSERT_EQUAL(sim.nodes[0].version, 2);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(sim.nodes[0].last_refusal, "version 1 is not above 2"));
	bundle_sim_free(&sim);
}

static void unrequested_bundle_is_ignored(void)
{
	auto_buf struct buf env = {0};
	auto_wire_out struct wire_out w;

	start_sim(2, 1);
	fixture_add_signed(&env, 2, 2, "ab");
	wire_begin(&w, SYC_PEER_BUNDLE, 3);
	wire_put_u64(&w, 0);
	wire_put_u64(&w, 0);
	wire_put_bytes(&w, env.data, env.len);
	bundle_sim_deliver(&sim, 1, 0, wire_bytes(&w));
	CU_ASSERT_EQUAL(sim.nodes[0].version, 1);
	bundle_sim_free(&sim);
}

/* A peer that reports a newer version but never answers is pulled rarely. */
static void unresponsive_peer_is_pulled_rarely(void)
{
	enum { MINUTE_MS = 60000, PULLS_MAX = 20 };
	uint64_t before;
	int64_t end;

	start_sim(1, 1);
	before = sim.nodes[0].sent_messages;
	for (end = sim.now + MINUTE_MS; sim.now < end;) {
		syc_bundle_sync_peer_version(sim.nodes[0].sync, sim.now, 77, 9);
		bundle_sim_run(&sim, BUNDLE_SIM_STEP_MS);
	}
	CU_ASSERT_TRUE(sim.nodes[0].sent_messages > before);
	CU_ASSERT_TRUE(sim.nodes[0].sent_messages - before <= PULLS_MAX);
	bundle_sim_free(&sim);
}

/* The answers per second are bounded, however many pulls arrive. */
static void pulls_over_the_rate_limit_get_no_answer(void)
{
	enum { PULLS = 1000, ANSWERS_MAX = 64 };
	auto_wire_out struct wire_out w;
	uint64_t before;
	int i;

	start_sim(2, 1);
	wire_begin(&w, SYC_PEER_BUNDLE_REQUEST, 2);
	wire_put_u64(&w, 0);
	wire_put_u64(&w, 0);
	sim.nodes[0].partition = 2;
	before = sim.nodes[0].sent_messages;
	for (i = 0; i < PULLS; i++)
		bundle_sim_deliver(&sim, 1, 0, wire_bytes(&w));
	CU_ASSERT_TRUE(sim.nodes[0].sent_messages > before);
	CU_ASSERT_TRUE(sim.nodes[0].sent_messages - before <= ANSWERS_MAX);
	bundle_sim_free(&sim);
}

/* The message for a change of one line is shorter than the whole text. */
static void delta_is_sent_where_the_base_is_known(void)
{
	uint64_t before, whole;

	start_sim(2, 1);
	whole = sim.value.len;
	before = sim.nodes[1].received_bytes;
	publish(2, "ab");
	bundle_sim_run(&sim, SPREAD_MS);
	CU_ASSERT_EQUAL(bundle_sim_count_adopted(&sim, 2), 2);
	CU_ASSERT_TRUE(sim.nodes[1].received_bytes - before < whole);
	bundle_sim_free(&sim);
}

/*
 * The steps between any two texts produce the second one. A text over the
 * limit is refused before more than the limit is written.
 */
static void delta_reproduces_any_text(void)
{
	struct bundle_delta_step steps[64];
	struct rng r = {51};
	int i, k;

	for (i = 0; i < 2000; i++) {
		auto_buf struct buf a = {0}, b = {0}, out = {0};
		auto_wire_out struct wire_out w;
		struct wire_in in;
		const char *end;
		size_t n;

		for (k = 0; k < 12; k++) {
			buf_printf(&a, "line %d\n", (int)rng_below(&r, 9));
			end = rng_below(&r, 12) ? "\n" : "";
			buf_printf(&b, "line %d%s", (int)rng_below(&r, 9), end);
		}
		n = bundle_delta_compute((struct syc_bytes){a.data, a.len},
					 (struct syc_bytes){b.data, b.len},
					 steps, 64);
		CU_ASSERT_TRUE_FATAL(n > 0);
		wire_begin(&w, SYC_PEER_BUNDLE, 1);
		bundle_delta_encode(&w, steps, n);
		wire_open(&in, wire_bytes(&w));
		CU_ASSERT_TRUE(bundle_delta_apply(
			&in, (struct syc_bytes){a.data, a.len}, &out, 4096));
		CU_ASSERT_TRUE(wire_close(&in));
		CU_ASSERT_STRING_EQUAL(out.data, b.data);
		buf_consume(&out, out.len);
		wire_open(&in, wire_bytes(&w));
		CU_ASSERT_FALSE(bundle_delta_apply(
			&in, (struct syc_bytes){a.data, a.len}, &out,
			b.len - 1));
		wire_close(&in);
		CU_ASSERT_TRUE(out.len < b.len);
	}
}

static void delta_outside_its_base_is_refused(void)
{
	static const struct bundle_delta_step cases[] = {
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
		bundle_delta_encode(&w, &cases[i], 1);
		wire_open(&in, wire_bytes(&w));
		CU_ASSERT_FALSE(bundle_delta_apply(
			&in, (struct syc_bytes){"0123456789", 10}, &out, 4096));
		wire_close(&in);
		CU_ASSERT_EQUAL(out.len, 0);
	}
}

SUITE(bundle_sync)
{
	fixture_init();
	TEST(new_bundle_reaches_all_instances);
	TEST(lost_watches_delay_no_bundle_beyond_the_bound);
	TEST(frequent_changes_converge);
	TEST(badly_signed_bundle_is_refused_once_and_not_overwritten);
	TEST(unparsable_text_is_refused);
	TEST(restored_store_is_repaired_once);
	TEST(wiped_store_is_repaired_despite_a_lost_reply);
	TEST(stale_reads_change_nothing);
	TEST(second_text_of_a_version_is_refused);
	TEST(random_runs_converge);
	TEST(instances_without_store_pull_from_peers);
	TEST(partition_converges_after_it_ends);
	TEST(new_instance_pulls_from_peers_during_an_outage);
	TEST(new_instance_without_peers_reads_the_store);
	TEST(invalid_bundle_from_a_peer_is_refused);
	TEST(older_bundle_from_a_peer_is_refused);
	TEST(unrequested_bundle_is_ignored);
	TEST(unresponsive_peer_is_pulled_rarely);
	TEST(pulls_over_the_rate_limit_get_no_answer);
	TEST(delta_is_sent_where_the_base_is_known);
	TEST(delta_reproduces_any_text);
	TEST(delta_outside_its_base_is_refused);
}
