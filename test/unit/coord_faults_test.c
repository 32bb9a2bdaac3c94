/* Failures of instances, links and the store, one per test. */
#include <stdlib.h>
#include <string.h>

#include "protocol/wire.h"
#include "sim/coord_sim.h"
#include "sycamoreshore/peer_type.h"
#include "unit.h"
#include "util/log.h"

enum { KEYS = 200, MAP_BOUND_MS = 17000 };

static struct coord_sim sim;

static void start_instances_at(int n, bool keeps_addr)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	int i;

	log_init(&log);
	coord_sim_init(&sim, 1, n);
	sim.quiet = true;
	sim.keeps_addr = keeps_addr;
	for (i = 0; i < n; i++)
		coord_sim_start(&sim, i);
	coord_sim_run(&sim, 5000);
	CU_ASSERT_TRUE_FATAL(coord_sim_is_settled(&sim));
}

static void start_instances(int n)
{
	start_instances_at(n, false);
}

/* Submits every key at every live instance and waits for the claims. */
static void submit_everywhere(void)
{
	unsigned k;
	int i;

	for (i = 0; i < sim.n_nodes; i++)
		for (k = 0; k < KEYS; k++)
			coord_sim_submit(&sim, i, k);
	coord_sim_run(&sim, 1000);
}

static unsigned count_started(void)
{
	unsigned k, n = 0;

	for (k = 0; k < KEYS; k++)
		n += sim.keys[k].starts > 0;
	return n;
}

static void check_and_free(void)
{
	CU_ASSERT_EQUAL(sim.second_starts, 0);
	CU_ASSERT_EQUAL(sim.false_not_run, 0);
	coord_sim_free(&sim);
}

static int find_node(uint64_t id)
{
	int i;

	for (i = 0; i < sim.n_nodes; i++)
		if (sim.nodes[i].instance.id == id)
			return i;
	return -1;
}

static const struct map_slice *slice_of(unsigned key)
{
	const struct map *m = &sim.nodes[0].coord->map;

	return &m->slices[map_slice_of(&sim.keys[key].key)];
}

/* Kills an instance `ms` after all keys were submitted to it. */
static void kill_after(int64_t ms)
{
	unsigned k;

	start_instances(4);
	for (k = 0; k < KEYS; k++)
		coord_sim_submit(&sim, 1, k);
	coord_sim_run(&sim, ms);
	coord_sim_kill(&sim, 1);
	submit_everywhere();
	coord_sim_run(&sim, 4000);
	submit_everywhere();
	coord_sim_start(&sim, 1);
	coord_sim_run(&sim, 15000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	submit_everywhere();
	CU_ASSERT_TRUE(count_started() > KEYS / 2);
	check_and_free();
}

static void crash_at_any_moment_starts_no_key_twice(void)
{
	static const int64_t moments[] = {0, 1, 2, 3, 5, 20, 500, 3000};
	size_t i;

	for (i = 0; i < sizeof(moments) / sizeof(*moments); i++)
		kill_after(moments[i]);
}

static void crash_of_both_holders_leaves_their_keys_unknown(void)
{
	int primary, backup;
	unsigned runs;

	start_instances(4);
	submit_everywhere();
	CU_ASSERT_EQUAL(count_started(), KEYS);
	primary = find_node(slice_of(0)->primary);
	backup = find_node(slice_of(0)->backup);
	runs = (unsigned)sim.runs;
	coord_sim_kill(&sim, primary);
	coord_sim_kill(&sim, backup);
	coord_sim_run(&sim, 20000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	submit_everywhere();
	CU_ASSERT_EQUAL(sim.runs, runs);
	CU_ASSERT_TRUE(sim.keys[0].refusals > 0);
	check_and_free();
}

static void paused_primary_starts_nothing_after_it_resumes(void)
{
	int primary;

	start_instances(4);
	primary = find_node(slice_of(0)->primary);
	coord_sim_set_paused(&sim, primary, true);
	coord_sim_run(&sim, 5000);
	submit_everywhere();
	CU_ASSERT_EQUAL(sim.keys[0].starts, 1);
	coord_sim_set_paused(&sim, primary, false);
	submit_everywhere();
	coord_sim_run(&sim, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	submit_everywhere();
	CU_ASSERT_EQUAL(count_started(), KEYS);
	check_and_free();
}

/* A paused instance does not suspect its peers after it resumes. */
static void pause_makes_no_peer_suspected(void)
{
	struct syc_instance members[4];
	struct syc_coord *c;

	start_instances(2);
	c = sim.nodes[0].coord;
	syc_coord_tick(c, sim.now + 2 * COORD_SIM_SUSPECT_MS);
	CU_ASSERT_EQUAL(syc_coord_members(c, members, 4), 2);
	check_and_free();
}

/*
 * During the pause others may have replaced the instance. Only the store shows
 * whether they did.
 */
static void single_instance_reads_the_store_after_a_pause(void)
{
	start_instances(1);
	syc_coord_tick(sim.nodes[0].coord, sim.now + 2 * COORD_SIM_SUSPECT_MS);
	coord_sim_submit(&sim, 0, 0);
	CU_ASSERT_EQUAL(sim.keys[0].starts, 0);
	coord_sim_run(&sim, 3 * COORD_SIM_SUSPECT_MS);
	CU_ASSERT_EQUAL(sim.keys[0].starts, 1);
	check_and_free();
}

static void one_broken_link_moves_no_slice(void)
{
	uint64_t epoch;

	start_instances(4);
	epoch = syc_coord_epoch(sim.nodes[0].coord);
	coord_sim_cut_link(&sim, 0, 1, false);
	coord_sim_run(&sim, 20000);
	CU_ASSERT_EQUAL(syc_coord_epoch(sim.nodes[2].coord), epoch);
	coord_sim_heal(&sim);
	coord_sim_run(&sim, 5000);
	submit_everywhere();
	CU_ASSERT_EQUAL(count_started(), KEYS);
	check_and_free();
}

/*
 * The instance is removed and joins again after 2, 4, 8, 16 and 32 s, which
 * fit into a minute. Each removal and each join changes the map.
 */
static void one_way_cut_causes_few_map_changes(void)
{
	enum { CHANGES_MAX = 12 };
	uint64_t epoch;

	start_instances(2);
	epoch = syc_coord_epoch(sim.nodes[1].coord);
	coord_sim_cut_link(&sim, 0, 1, false);
	coord_sim_run(&sim, 60000);
	CU_ASSERT_TRUE(syc_coord_epoch(sim.nodes[1].coord) - epoch <=
		       CHANGES_MAX);
	coord_sim_heal(&sim);
	coord_sim_run(&sim, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	submit_everywhere();
	CU_ASSERT_EQUAL(count_started(), KEYS);
	check_and_free();
}

/*
 * The instance reaches the store, but no peer accepts its connections, for
 * example because of another cluster key. It joins once, in case the others are
 * dead, and is removed again.
 */
static void instance_without_contact_stays_out(void)
{
	enum { CHANGES_MAX = 4 };
	uint64_t epoch;

	start_instances(2);
	epoch = syc_coord_epoch(sim.nodes[0].coord);
	sim.n_nodes = 3;
	coord_sim_start(&sim, 2);
	coord_sim_isolate(&sim, 2);
	sim.nodes[2].store_cut = false;
	coord_sim_run(&sim, 120000);
	CU_ASSERT_TRUE(syc_coord_epoch(sim.nodes[0].coord) - epoch <=
		       CHANGES_MAX);
	submit_everywhere();
	CU_ASSERT_EQUAL(count_started(), KEYS);
	coord_sim_heal(&sim);
	coord_sim_run(&sim, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	check_and_free();
}

static void isolated_instance_rejoins_afterwards(void)
{
	start_instances(3);
	coord_sim_isolate(&sim, 0);
	submit_everywhere();
	coord_sim_run(&sim, 10000);
	submit_everywhere();
	coord_sim_heal(&sim);
	coord_sim_run(&sim, 15000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	submit_everywhere();
	CU_ASSERT_EQUAL(count_started(), KEYS);
	check_and_free();
}

/* Its peers cannot tell the instance of the map that they write without it. */
static void cut_off_instance_learns_the_map_after_a_silence(void)
{
	int64_t silence_ms;

	for (silence_ms = 500; silence_ms < 40000; silence_ms += 13000) {
		start_instances(4);
		sim.store.silent = true;
		coord_sim_run(&sim, silence_ms);
		sim.store.silent = false;
		coord_sim_isolate(&sim, 0);
		sim.nodes[0].store_cut = false;
		coord_sim_run(&sim, MAP_BOUND_MS);
		CU_ASSERT_EQUAL(syc_coord_epoch(sim.nodes[0].coord),
				coord_sim_store_epoch(&sim));
		coord_sim_heal(&sim);
		check_and_free();
	}
}

static void serving_continues_without_the_store(void)
{
	start_instances(4);
	sim.store.down = true;
	coord_sim_run(&sim, 180000);
	submit_everywhere();
	CU_ASSERT_EQUAL(count_started(), KEYS);
	check_and_free();
}

/* Only slices with the dead instance as a holder are stalled. */
static void crash_during_a_store_outage_stalls_only_its_slices(void)
{
	uint64_t dead;
	unsigned k;

	start_instances(4);
	sim.store.down = true;
	coord_sim_run(&sim, 3000);
	dead = sim.nodes[3].instance.id;
	coord_sim_kill(&sim, 3);
	coord_sim_run(&sim, 5000);
	submit_everywhere();
	coord_sim_run(&sim, 10000);
	for (k = 0; k < KEYS; k++) {
		bool held = slice_of(k)->primary == dead ||
			    slice_of(k)->backup == dead;

		CU_ASSERT_EQUAL(sim.keys[k].starts, !held);
		CU_ASSERT_EQUAL(sim.keys[k].refusals > 0, held);
	}
	sim.store.down = false;
	coord_sim_run(&sim, 10000);
	submit_everywhere();
	CU_ASSERT_EQUAL(count_started(), KEYS);
	check_and_free();
}

static void lost_replies_and_stale_reads_are_tolerated(void)
{
	start_instances(4);
	sim.store.lost_reply_percent = 100;
	sim.store.stale_read_percent = 50;
	sim.store.delay_max_ms = 500;
	coord_sim_kill(&sim, 2);
	coord_sim_run(&sim, 10000);
	coord_sim_start(&sim, 2);
	coord_sim_run(&sim, 30000);
	coord_sim_heal(&sim);
	coord_sim_run(&sim, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	submit_everywhere();
	CU_ASSERT_EQUAL(count_started(), KEYS);
	check_and_free();
}

static void store_set_back_is_repaired(void)
{
	uint64_t epoch;

	start_instances(3);
	coord_sim_kill(&sim, 0);
	coord_sim_run(&sim, 10000);
	submit_everywhere();
	epoch = syc_coord_epoch(sim.nodes[1].coord);
	CU_ASSERT_EQUAL(coord_sim_store_epoch(&sim), epoch);
	coord_sim_restore_store(&sim, 1);
	CU_ASSERT_TRUE(coord_sim_store_epoch(&sim) < epoch);
	coord_sim_run(&sim, 2000);
	CU_ASSERT_TRUE(coord_sim_store_epoch(&sim) >= epoch);
	CU_ASSERT_TRUE(syc_coord_epoch(sim.nodes[1].coord) >= epoch);
	submit_everywhere();
	check_and_free();
}

static void rolling_replacement_loses_no_claims(void)
{
	uint64_t writes;
	int i;

	start_instances(4);
	sim.n_nodes = 8;
	submit_everywhere();
	writes = sim.store.writes;
	for (i = 0; i < 4; i++) {
		coord_sim_start(&sim, 4 + i);
		syc_coord_leave(sim.nodes[i].coord, sim.now);
		coord_sim_run(&sim, 5000);
		CU_ASSERT_TRUE(syc_coord_has_left(sim.nodes[i].coord));
		CU_ASSERT_TRUE(syc_coord_ready(sim.nodes[i].coord));
		coord_sim_submit(&sim, i, KEYS + (unsigned)i);
		coord_sim_run(&sim, 100);
		CU_ASSERT_EQUAL(sim.keys[KEYS + i].starts, 1);
		coord_sim_kill(&sim, i);
		submit_everywhere();
	}
	coord_sim_run(&sim, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	CU_ASSERT_EQUAL(count_started(), KEYS);
	CU_ASSERT_EQUAL(sim.runs, KEYS + 4);
	CU_ASSERT_TRUE(sim.store.writes - writes <= 4 * 8);
	check_and_free();
}

/*
 * No claims survive the restart of all instances, so keys from before it stay
 * unknown and are not run again. Only keys with a ticket from after it may run.
 */
static void simultaneous_restart_batches_map_changes(void)
{
	uint64_t writes, reads;
	int i;

	start_instances(24);
	submit_everywhere();
	writes = sim.store.writes;
	reads = sim.store.reads;
	for (i = 0; i < 24; i++)
		coord_sim_kill(&sim, i);
	for (i = 0; i < 24; i++)
		coord_sim_start(&sim, i);
	coord_sim_run(&sim, 30000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	CU_ASSERT_TRUE(sim.store.writes - writes < 100);
	CU_ASSERT_TRUE(sim.store.reads - reads < 500);
	submit_everywhere();
	CU_ASSERT_EQUAL(sim.runs, KEYS);
	check_and_free();
}

/* Restarts both of two instances long before the platform's list changes. */
static bool restart_settles(bool keeps_addr)
{
	bool settled;
	int i;

	coord_sim_init(&sim, 1, 2);
	sim.quiet = true;
	sim.keeps_addr = keeps_addr;
	sim.list_delay_ms = 3600 * 1000;
	for (i = 0; i < 4; i++) {
		coord_sim_kill(&sim, i % 2);
		coord_sim_start(&sim, i % 2);
		if (i == 1)
			coord_sim_run(&sim, 5000);
	}
	submit_everywhere();
	coord_sim_run(&sim, 10000);
	settled = coord_sim_is_settled(&sim);
	check_and_free();
	return settled;
}

/*
 * Two processes cannot have one name and address at once. So an instance that
 * starts with the name and address of an earlier one proves that the earlier
 * one has ended.
 */
static void restart_at_the_same_address_needs_no_list(void)
{
	CU_ASSERT_TRUE(restart_settles(true));
	CU_ASSERT_FALSE(restart_settles(false));
}

/* The map cannot name old and new instances together at this size. */
static void largest_domain_restarts_simultaneously(void)
{
	int i;

	start_instances_at(SYC_MEMBERS_MAX, true);
	for (i = 0; i < SYC_MEMBERS_MAX; i++)
		coord_sim_kill(&sim, i);
	for (i = 0; i < SYC_MEMBERS_MAX; i++)
		coord_sim_start(&sim, i);
	coord_sim_run(&sim, 8000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	check_and_free();
}

static struct syc_claim_result claim(int node, unsigned key, uint8_t body)
{
	uint8_t digest[SYC_DIGEST_LEN] = {body};

	return syc_coord_claim(sim.nodes[node].coord, sim.now,
			       &sim.keys[key].key, digest, 0);
}

static void other_body_under_a_key_is_reported(void)
{
	start_instances(1);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_RUN);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_JOIN);
	CU_ASSERT_EQUAL(claim(0, 0, 2).decision, SYC_DECISION_MISMATCH);
	check_and_free();
}

static void not_run_claim_may_run_again(void)
{
	start_instances(1);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_RUN);
	syc_coord_end_claim(sim.nodes[0].coord, sim.now, &sim.keys[0].key,
			    SYC_NOT_RUN);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_RUN);
	syc_coord_end_claim(sim.nodes[0].coord, sim.now, &sim.keys[0].key,
			    SYC_FAILED);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_ENDED);
	CU_ASSERT_EQUAL(claim(0, 0, 1).outcome, SYC_FAILED);
	check_and_free();
}

static void claims_over_the_limit_are_refused_not_dropped(void)
{
	struct syc_claim_result res;
	unsigned k;

	start_instances(1);
	sim.nodes[0].coord->opt.claims_max = 10;
	for (k = 0; k < 10; k++)
		CU_ASSERT_EQUAL(claim(0, k, 1).decision, SYC_DECISION_RUN);
	res = claim(0, 10, 1);
	CU_ASSERT_EQUAL(res.decision, SYC_DECISION_REFUSED);
	CU_ASSERT_EQUAL(res.reason, SYC_CLAIMS_FULL);
	for (k = 0; k < 10; k++)
		CU_ASSERT_EQUAL(claim(0, k, 1).decision, SYC_DECISION_JOIN);
	check_and_free();
}

static void ended_claims_expire_and_live_ones_stay(void)
{
	start_instances(1);
	claim(0, 0, 1);
	claim(0, 1, 1);
	syc_coord_end_claim(sim.nodes[0].coord, sim.now, &sim.keys[0].key,
			    SYC_COMPLETED);
	coord_sim_run(&sim, COORD_SIM_RETENTION_MS - 1000);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_ENDED);
	coord_sim_run(&sim, 3000);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_RUN);
	CU_ASSERT_EQUAL(claim(0, 1, 1).decision, SYC_DECISION_JOIN);
	check_and_free();
}

/* The runner ends before it sends the outcome, so the key never runs again. */
static void claim_of_an_ended_runner_is_unknown(void)
{
	struct syc_claim_result res;
	int runner, i;

	start_instances(4);
	runner = find_node(slice_of(0)->primary);
	CU_ASSERT_EQUAL(claim(runner, 0, 1).decision, SYC_DECISION_PENDING);
	sim.keys[0].pending++;
	coord_sim_run(&sim, 20);
	CU_ASSERT_EQUAL(sim.keys[0].starts, 1);
	coord_sim_kill(&sim, runner);
	coord_sim_run(&sim, 5000);
	for (i = 0; i < 4; i++) {
		if (i == runner)
			continue;
		res = claim(i, 0, 1);
		if (res.decision == SYC_DECISION_FORWARD)
			continue;
		CU_ASSERT_EQUAL(res.outcome, SYC_UNKNOWN);
		CU_ASSERT_TRUE(res.decision == SYC_DECISION_REFUSED ||
			       res.decision == SYC_DECISION_ENDED);
		break;
	}
	CU_ASSERT_TRUE(i < 4);
	check_and_free();
}

/*
 * Corrupted messages of all types that carry state are refused or change
 * nothing. The message by which a peer announces that it leaves carries no
 * state and is left out.
 */
static void corrupted_messages_change_no_map(void)
{
	auto_wire_out struct wire_out w;
	struct rng r = {3};
	char corrupted[64];
	struct syc_bytes msg = {corrupted, 0};
	uint64_t from;
	int i;

	start_instances(2);
	from = sim.nodes[1].instance.id;
	wire_begin(&w, SYC_PEER_CLAIM, 4);
	wire_put_u64(&w, 1);
	wire_put_bytes(&w, sim.keys[0].key.b, SYC_CLAIM_KEY_LEN);
	wire_put_bytes(&w, sim.keys[0].key.b, SYC_CLAIM_KEY_LEN);
	wire_put_u64(&w, 1);
	CU_ASSERT_FATAL(wire_bytes(&w).n < sizeof(corrupted));
	for (i = 0; i < 20000; i++) {
		msg.n = wire_bytes(&w).n;
		memcpy(corrupted, wire_bytes(&w).p, msg.n);
		corrupted[rng_below(&r, msg.n)] = (char)rng_next(&r);
		corrupted[1] = (char)(SYC_PEER_MAP_REQUEST + rng_below(&r, 24));
		syc_coord_receive(sim.nodes[0].coord, sim.now, from, msg);
	}
	msg.n = 5;
	CU_ASSERT_FALSE(
		syc_coord_receive(sim.nodes[0].coord, sim.now, from, msg));
	coord_sim_run(&sim, 5000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	check_and_free();
}

SUITE(coord_faults)
{
	TEST(crash_at_any_moment_starts_no_key_twice);
	TEST(crash_of_both_holders_leaves_their_keys_unknown);
	TEST(paused_primary_starts_nothing_after_it_resumes);
	TEST(pause_makes_no_peer_suspected);
	TEST(single_instance_reads_the_store_after_a_pause);
	TEST(one_broken_link_moves_no_slice);
	TEST(one_way_cut_causes_few_map_changes);
	TEST(instance_without_contact_stays_out);
	TEST(isolated_instance_rejoins_afterwards);
	TEST(cut_off_instance_learns_the_map_after_a_silence);
	TEST(serving_continues_without_the_store);
	TEST(crash_during_a_store_outage_stalls_only_its_slices);
	TEST(lost_replies_and_stale_reads_are_tolerated);
	TEST(store_set_back_is_repaired);
	TEST(rolling_replacement_loses_no_claims);
	TEST(simultaneous_restart_batches_map_changes);
	TEST(largest_domain_restarts_simultaneously);
	TEST(restart_at_the_same_address_needs_no_list);
	TEST(other_body_under_a_key_is_reported);
	TEST(not_run_claim_may_run_again);
	TEST(claims_over_the_limit_are_refused_not_dropped);
	TEST(ended_claims_expire_and_live_ones_stay);
	TEST(claim_of_an_ended_runner_is_unknown);
	TEST(corrupted_messages_change_no_map);
}
