/* Failures of instances, links and the store, each brought about once. */
#include <stdlib.h>
#include <string.h>

#include "protocol/wire.h"
#include "sim/coord_sim.h"
#include "sycamoreshore/peer_type.h"
#include "unit.h"
#include "util/log.h"

enum { KEYS = 200 };

static struct sim s;

static void boot_as(int n, bool same_addr)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	int i;

	log_init(&log);
	sim_init(&s, 1, n);
	s.quiet = true;
	s.same_addr = same_addr;
	for (i = 0; i < n; i++)
		sim_boot(&s, i);
	sim_run(&s, 5000);
	CU_ASSERT_TRUE_FATAL(sim_settled(&s));
}

static void boot(int n)
{
	boot_as(n, false);
}

/* Submits every key at every live instance and lets the dust settle. */
static void submit_everywhere(void)
{
	unsigned k;
	int i;

	for (i = 0; i < s.n_nodes; i++)
		for (k = 0; k < KEYS; k++)
			sim_submit(&s, i, k);
	sim_run(&s, 1000);
}

static unsigned started(void)
{
	unsigned k, n = 0;

	for (k = 0; k < KEYS; k++)
		n += s.keys[k].starts > 0;
	return n;
}

static void end_sim(void)
{
	CU_ASSERT_EQUAL(s.second_starts, 0);
	CU_ASSERT_EQUAL(s.false_not_run, 0);
	sim_free(&s);
}

static int place_of(uint64_t id)
{
	int i;

	for (i = 0; i < s.n_nodes; i++)
		if (s.nodes[i].inst.id == id)
			return i;
	return -1;
}

static const struct map_slice *slice_of(unsigned key)
{
	const struct map *m = &s.nodes[0].coord->map;

	return &m->slices[map_slice_of(&s.keys[key].key)];
}

/* Kills an instance `ms` after all keys arrived at it. */
static void kill_after(int64_t ms)
{
	unsigned k;

	boot(4);
	for (k = 0; k < KEYS; k++)
		sim_submit(&s, 1, k);
	sim_run(&s, ms);
	sim_kill(&s, 1);
	submit_everywhere();
	sim_run(&s, 4000);
	submit_everywhere();
	sim_boot(&s, 1);
	sim_run(&s, 15000);
	CU_ASSERT_TRUE(sim_settled(&s));
	submit_everywhere();
	CU_ASSERT_TRUE(started() > KEYS / 2);
	end_sim();
}

static void a_crash_at_any_moment_starts_nothing_twice(void)
{
	static const int64_t moments[] = {0, 1, 2, 3, 5, 20, 500, 3000};
	size_t i;

	for (i = 0; i < sizeof(moments) / sizeof(*moments); i++)
		kill_after(moments[i]);
}

static void a_crash_of_both_holders_leaves_their_keys_unknown(void)
{
	int primary, backup;
	unsigned runs;

	boot(4);
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	primary = place_of(slice_of(0)->primary);
	backup = place_of(slice_of(0)->backup);
	runs = (unsigned)s.runs;
	sim_kill(&s, primary);
	sim_kill(&s, backup);
	sim_run(&s, 20000);
	CU_ASSERT_TRUE(sim_settled(&s));
	submit_everywhere();
	CU_ASSERT_EQUAL(s.runs, runs);
	CU_ASSERT_TRUE(s.keys[0].refused > 0);
	end_sim();
}

static void a_paused_primary_starts_nothing_when_it_resumes(void)
{
	int primary;

	boot(4);
	primary = place_of(slice_of(0)->primary);
	sim_pause(&s, primary, true);
	sim_run(&s, 5000);
	submit_everywhere();
	CU_ASSERT_EQUAL(s.keys[0].starts, 1);
	sim_pause(&s, primary, false);
	submit_everywhere();
	sim_run(&s, 10000);
	CU_ASSERT_TRUE(sim_settled(&s));
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

/* An instance that slept suspects itself, not all the others. */
static void a_pause_makes_no_peer_suspected(void)
{
	struct syc_instance members[4];
	struct syc_coord *c;

	boot(2);
	c = s.nodes[0].coord;
	syc_coord_tick(c, s.now + 2 * SIM_SUSPECT_MS);
	CU_ASSERT_EQUAL(syc_coord_members(c, members, 4), 2);
	end_sim();
}

/* Others may have replaced it meanwhile; the store tells. */
static void after_a_pause_alone_the_store_is_asked_first(void)
{
	boot(1);
	syc_coord_tick(s.nodes[0].coord, s.now + 2 * SIM_SUSPECT_MS);
	sim_submit(&s, 0, 0);
	CU_ASSERT_EQUAL(s.keys[0].starts, 0);
	sim_run(&s, 3 * SIM_SUSPECT_MS);
	CU_ASSERT_EQUAL(s.keys[0].starts, 1);
	end_sim();
}

static void one_broken_link_moves_no_slice(void)
{
	uint64_t epoch;

	boot(4);
	epoch = syc_coord_epoch(s.nodes[0].coord);
	sim_cut(&s, 0, 1, false);
	sim_run(&s, 20000);
	CU_ASSERT_EQUAL(syc_coord_epoch(s.nodes[2].coord), epoch);
	sim_heal(&s);
	sim_run(&s, 5000);
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

/* Tries of 2, 4, 8, 16 and 32 s fit into a minute, two changes each. */
static void a_one_way_cut_does_not_flap(void)
{
	enum { CHANGES_MAX = 12 };
	uint64_t epoch;

	boot(2);
	epoch = syc_coord_epoch(s.nodes[1].coord);
	sim_cut(&s, 0, 1, false);
	sim_run(&s, 60000);
	CU_ASSERT_TRUE(syc_coord_epoch(s.nodes[1].coord) - epoch <=
		       CHANGES_MAX);
	sim_heal(&s);
	sim_run(&s, 10000);
	CU_ASSERT_TRUE(sim_settled(&s));
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

/*
 * It has the store, but no peer lets it in: another cluster key, say. It
 * joins once, in case the others are dead, and is removed again.
 */
static void an_instance_nobody_meets_stays_out(void)
{
	enum { CHANGES_MAX = 4 };
	uint64_t epoch;

	boot(2);
	epoch = syc_coord_epoch(s.nodes[0].coord);
	s.n_nodes = 3;
	sim_boot(&s, 2);
	sim_isolate(&s, 2);
	s.nodes[2].store_cut = false;
	sim_run(&s, 120000);
	CU_ASSERT_TRUE(syc_coord_epoch(s.nodes[0].coord) - epoch <=
		       CHANGES_MAX);
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	sim_heal(&s);
	sim_run(&s, 10000);
	CU_ASSERT_TRUE(sim_settled(&s));
	end_sim();
}

static void a_cut_instance_comes_back_after_the_cut(void)
{
	boot(3);
	sim_isolate(&s, 0);
	submit_everywhere();
	sim_run(&s, 10000);
	submit_everywhere();
	sim_heal(&s);
	sim_run(&s, 15000);
	CU_ASSERT_TRUE(sim_settled(&s));
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

static void without_the_store_serving_goes_on(void)
{
	boot(4);
	s.store.down = true;
	sim_run(&s, 180000);
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

/* Stalled are only slices that had the dead instance as a holder. */
static void a_crash_in_an_outage_stalls_only_its_own_slices(void)
{
	uint64_t dead;
	unsigned k;

	boot(4);
	s.store.down = true;
	sim_run(&s, 3000);
	dead = s.nodes[3].inst.id;
	sim_kill(&s, 3);
	sim_run(&s, 5000);
	submit_everywhere();
	sim_run(&s, 10000);
	for (k = 0; k < KEYS; k++) {
		bool held = slice_of(k)->primary == dead ||
			    slice_of(k)->backup == dead;

		CU_ASSERT_EQUAL(s.keys[k].starts, !held);
		CU_ASSERT_EQUAL(s.keys[k].refused > 0, held);
	}
	s.store.down = false;
	sim_run(&s, 10000);
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

static void lost_replies_and_stale_reads_do_no_harm(void)
{
	boot(4);
	s.store.lose_percent = 100;
	s.store.stale_percent = 50;
	s.store.slow_ms = 500;
	sim_kill(&s, 2);
	sim_run(&s, 10000);
	sim_boot(&s, 2);
	sim_run(&s, 30000);
	sim_heal(&s);
	sim_run(&s, 10000);
	CU_ASSERT_TRUE(sim_settled(&s));
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

static void a_store_set_back_is_repaired(void)
{
	uint64_t epoch;

	boot(3);
	sim_kill(&s, 0);
	sim_run(&s, 10000);
	submit_everywhere();
	epoch = syc_coord_epoch(s.nodes[1].coord);
	CU_ASSERT_EQUAL(sim_store_epoch(&s), epoch);
	sim_restore(&s, 1);
	CU_ASSERT_TRUE(sim_store_epoch(&s) < epoch);
	sim_run(&s, 2000);
	CU_ASSERT_TRUE(sim_store_epoch(&s) >= epoch);
	CU_ASSERT_TRUE(syc_coord_epoch(s.nodes[1].coord) >= epoch);
	submit_everywhere();
	end_sim();
}

static void replacing_all_one_by_one_loses_nothing(void)
{
	uint64_t writes;
	int i;

	boot(4);
	s.n_nodes = 8;
	submit_everywhere();
	writes = s.store.writes;
	for (i = 0; i < 4; i++) {
		sim_boot(&s, 4 + i);
		syc_coord_leave(s.nodes[i].coord, s.now);
		sim_run(&s, 5000);
		CU_ASSERT_TRUE(syc_coord_has_left(s.nodes[i].coord));
		CU_ASSERT_TRUE(syc_coord_ready(s.nodes[i].coord));
		sim_submit(&s, i, KEYS + (unsigned)i);
		sim_run(&s, 100);
		CU_ASSERT_EQUAL(s.keys[KEYS + i].starts, 1);
		sim_kill(&s, i);
		submit_everywhere();
	}
	sim_run(&s, 10000);
	CU_ASSERT_TRUE(sim_settled(&s));
	CU_ASSERT_EQUAL(started(), KEYS);
	CU_ASSERT_EQUAL(s.runs, KEYS + 4);
	CU_ASSERT_TRUE(s.store.writes - writes <= 4 * 8);
	end_sim();
}

/* All at once: nothing is kept, so old keys are unknown, tickets run. */
static void restarting_all_at_once_batches_the_changes(void)
{
	uint64_t writes, reads;
	int i;

	boot(24);
	submit_everywhere();
	writes = s.store.writes;
	reads = s.store.reads;
	for (i = 0; i < 24; i++)
		sim_kill(&s, i);
	for (i = 0; i < 24; i++)
		sim_boot(&s, i);
	sim_run(&s, 30000);
	CU_ASSERT_TRUE(sim_settled(&s));
	CU_ASSERT_TRUE(s.store.writes - writes < 100);
	CU_ASSERT_TRUE(s.store.reads - reads < 500);
	submit_everywhere();
	CU_ASSERT_EQUAL(s.runs, KEYS);
	end_sim();
}

/* Restarts both of two instances long before the list names them. */
static bool restart_settles(bool same_addr)
{
	bool settled;
	int i;

	sim_init(&s, 1, 2);
	s.quiet = true;
	s.same_addr = same_addr;
	s.gone_lag_ms = 3600 * 1000;
	for (i = 0; i < 4; i++) {
		sim_kill(&s, i % 2);
		sim_boot(&s, i % 2);
		if (i == 1)
			sim_run(&s, 5000);
	}
	submit_everywhere();
	sim_run(&s, 10000);
	settled = sim_settled(&s);
	end_sim();
	return settled;
}

/* A name and address cannot be held twice, so the earlier start is gone. */
static void a_restart_at_its_address_needs_no_list(void)
{
	CU_ASSERT_TRUE(restart_settles(true));
	CU_ASSERT_FALSE(restart_settles(false));
}

/* As many as a map can name, so that old and new do not fit together. */
static void the_largest_domain_restarts_at_once(void)
{
	int i;

	boot_as(SYC_MEMBERS_MAX, true);
	for (i = 0; i < SYC_MEMBERS_MAX; i++)
		sim_kill(&s, i);
	for (i = 0; i < SYC_MEMBERS_MAX; i++)
		sim_boot(&s, i);
	sim_run(&s, 8000);
	CU_ASSERT_TRUE(sim_settled(&s));
	end_sim();
}

static struct syc_claim_result claim(int place, unsigned key, uint8_t body)
{
	uint8_t digest[SYC_DIGEST_LEN] = {body};

	return syc_coord_claim(s.nodes[place].coord, s.now, &s.keys[key].key,
			       digest, 0);
}

static void another_body_under_a_key_is_told(void)
{
	boot(1);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_RUN);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_JOIN);
	CU_ASSERT_EQUAL(claim(0, 0, 2).decision, SYC_DECISION_MISMATCH);
	end_sim();
}

static void a_claim_that_proved_not_run_may_run_again(void)
{
	boot(1);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_RUN);
	syc_coord_end_claim(s.nodes[0].coord, s.now, &s.keys[0].key,
			    SYC_NOT_RUN);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_RUN);
	syc_coord_end_claim(s.nodes[0].coord, s.now, &s.keys[0].key,
			    SYC_FAILED);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_ENDED);
	CU_ASSERT_EQUAL(claim(0, 0, 1).outcome, SYC_FAILED);
	end_sim();
}

static void claims_past_the_bound_are_refused_not_dropped(void)
{
	struct syc_claim_result res;
	unsigned k;

	boot(1);
	s.nodes[0].coord->opt.claims_max = 10;
	for (k = 0; k < 10; k++)
		CU_ASSERT_EQUAL(claim(0, k, 1).decision, SYC_DECISION_RUN);
	res = claim(0, 10, 1);
	CU_ASSERT_EQUAL(res.decision, SYC_DECISION_REFUSED);
	CU_ASSERT_EQUAL(res.reason, SYC_CLAIMS_FULL);
	for (k = 0; k < 10; k++)
		CU_ASSERT_EQUAL(claim(0, k, 1).decision, SYC_DECISION_JOIN);
	end_sim();
}

static void ended_claims_go_with_age_and_live_ones_stay(void)
{
	boot(1);
	claim(0, 0, 1);
	claim(0, 1, 1);
	syc_coord_end_claim(s.nodes[0].coord, s.now, &s.keys[0].key,
			    SYC_COMPLETED);
	sim_run(&s, SIM_RETENTION_MS - 1000);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_ENDED);
	sim_run(&s, 3000);
	CU_ASSERT_EQUAL(claim(0, 0, 1).decision, SYC_DECISION_RUN);
	CU_ASSERT_EQUAL(claim(0, 1, 1).decision, SYC_DECISION_JOIN);
	end_sim();
}

/* The runner is gone before its end was told: unknown, never again. */
static void a_claim_of_a_gone_runner_is_unknown(void)
{
	struct syc_claim_result res;
	int runner, i;

	boot(4);
	runner = place_of(slice_of(0)->primary);
	CU_ASSERT_EQUAL(claim(runner, 0, 1).decision, SYC_DECISION_PENDING);
	s.keys[0].pending++;
	sim_run(&s, 20);
	CU_ASSERT_EQUAL(s.keys[0].starts, 1);
	sim_kill(&s, runner);
	sim_run(&s, 5000);
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
	end_sim();
}

/*
 * Damaged bytes of any type that carries state are refused or do no harm. A
 * message that the peer leaves has none to damage.
 */
static void damaged_messages_change_no_map(void)
{
	auto_wire_out struct wire_out w;
	struct rng r = {3};
	char bad[64];
	struct syc_bytes msg = {bad, 0};
	uint64_t from;
	int i;

	boot(2);
	from = s.nodes[1].inst.id;
	wire_begin(&w, SYC_PEER_CLAIM, 4);
	wire_put_u64(&w, 1);
	wire_put_bytes(&w, s.keys[0].key.b, SYC_CLAIM_KEY_LEN);
	wire_put_bytes(&w, s.keys[0].key.b, SYC_CLAIM_KEY_LEN);
	wire_put_u64(&w, 1);
	CU_ASSERT_FATAL(wire_bytes(&w).n < sizeof(bad));
	for (i = 0; i < 20000; i++) {
		msg.n = wire_bytes(&w).n;
		memcpy(bad, wire_bytes(&w).p, msg.n);
		bad[rng_below(&r, msg.n)] = (char)rng_next(&r);
		bad[1] = (char)(SYC_PEER_MAP_REQUEST + rng_below(&r, 24));
		syc_coord_receive(s.nodes[0].coord, s.now, from, msg);
	}
	msg.n = 5;
	CU_ASSERT_FALSE(syc_coord_receive(s.nodes[0].coord, s.now, from, msg));
	sim_run(&s, 5000);
	CU_ASSERT_TRUE(sim_settled(&s));
	end_sim();
}

SUITE(coord_faults)
{
	TEST(a_crash_at_any_moment_starts_nothing_twice);
	TEST(a_crash_of_both_holders_leaves_their_keys_unknown);
	TEST(a_paused_primary_starts_nothing_when_it_resumes);
	TEST(a_pause_makes_no_peer_suspected);
	TEST(after_a_pause_alone_the_store_is_asked_first);
	TEST(one_broken_link_moves_no_slice);
	TEST(a_one_way_cut_does_not_flap);
	TEST(an_instance_nobody_meets_stays_out);
	TEST(a_cut_instance_comes_back_after_the_cut);
	TEST(without_the_store_serving_goes_on);
	TEST(a_crash_in_an_outage_stalls_only_its_own_slices);
	TEST(lost_replies_and_stale_reads_do_no_harm);
	TEST(a_store_set_back_is_repaired);
	TEST(replacing_all_one_by_one_loses_nothing);
	TEST(restarting_all_at_once_batches_the_changes);
	TEST(the_largest_domain_restarts_at_once);
	TEST(a_restart_at_its_address_needs_no_list);
	TEST(another_body_under_a_key_is_told);
	TEST(a_claim_that_proved_not_run_may_run_again);
	TEST(claims_past_the_bound_are_refused_not_dropped);
	TEST(ended_claims_go_with_age_and_live_ones_stay);
	TEST(a_claim_of_a_gone_runner_is_unknown);
	TEST(damaged_messages_change_no_map);
}
