/* Failures of instances, links and the store, each brought about once. */
#include <stdlib.h>
#include <string.h>

#include "protocol/wire.h"
#include "sim/coord_sim.h"
#include "sycamoreshore/peer_type.h"
#include "unit.h"
#include "util/log.h"

enum { KEYS = 200 };

static struct coord_sim s;

static void boot_as(int n, bool keeps_addr)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	int i;

	log_init(&log);
	coord_sim_init(&s, 1, n);
	s.quiet = true;
	s.keeps_addr = keeps_addr;
	for (i = 0; i < n; i++)
		coord_sim_start(&s, i);
	coord_sim_run(&s, 5000);
	CU_ASSERT_TRUE_FATAL(coord_sim_is_settled(&s));
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
			coord_sim_submit(&s, i, k);
	coord_sim_run(&s, 1000);
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
	coord_sim_free(&s);
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
		coord_sim_submit(&s, 1, k);
	coord_sim_run(&s, ms);
	coord_sim_kill(&s, 1);
	submit_everywhere();
	coord_sim_run(&s, 4000);
	submit_everywhere();
	coord_sim_start(&s, 1);
	coord_sim_run(&s, 15000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
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
	coord_sim_kill(&s, primary);
	coord_sim_kill(&s, backup);
	coord_sim_run(&s, 20000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
	submit_everywhere();
	CU_ASSERT_EQUAL(s.runs, runs);
	CU_ASSERT_TRUE(s.keys[0].refusals > 0);
	end_sim();
}

static void a_paused_primary_starts_nothing_when_it_resumes(void)
{
	int primary;

	boot(4);
	primary = place_of(slice_of(0)->primary);
	coord_sim_set_paused(&s, primary, true);
	coord_sim_run(&s, 5000);
	submit_everywhere();
	CU_ASSERT_EQUAL(s.keys[0].starts, 1);
	coord_sim_set_paused(&s, primary, false);
	submit_everywhere();
	coord_sim_run(&s, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
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
	syc_coord_tick(c, s.now + 2 * COORD_SIM_SUSPECT_MS);
	CU_ASSERT_EQUAL(syc_coord_members(c, members, 4), 2);
	end_sim();
}

/* Others may have replaced it meanwhile; the store tells. */
static void after_a_pause_alone_the_store_is_asked_first(void)
{
	boot(1);
	syc_coord_tick(s.nodes[0].coord, s.now + 2 * COORD_SIM_SUSPECT_MS);
	coord_sim_submit(&s, 0, 0);
	CU_ASSERT_EQUAL(s.keys[0].starts, 0);
	coord_sim_run(&s, 3 * COORD_SIM_SUSPECT_MS);
	CU_ASSERT_EQUAL(s.keys[0].starts, 1);
	end_sim();
}

static void one_broken_link_moves_no_slice(void)
{
	uint64_t epoch;

	boot(4);
	epoch = syc_coord_epoch(s.nodes[0].coord);
	coord_sim_cut_link(&s, 0, 1, false);
	coord_sim_run(&s, 20000);
	CU_ASSERT_EQUAL(syc_coord_epoch(s.nodes[2].coord), epoch);
	coord_sim_heal(&s);
	coord_sim_run(&s, 5000);
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
	coord_sim_cut_link(&s, 0, 1, false);
	coord_sim_run(&s, 60000);
	CU_ASSERT_TRUE(syc_coord_epoch(s.nodes[1].coord) - epoch <=
		       CHANGES_MAX);
	coord_sim_heal(&s);
	coord_sim_run(&s, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
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
	coord_sim_start(&s, 2);
	coord_sim_isolate(&s, 2);
	s.nodes[2].store_cut = false;
	coord_sim_run(&s, 120000);
	CU_ASSERT_TRUE(syc_coord_epoch(s.nodes[0].coord) - epoch <=
		       CHANGES_MAX);
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	coord_sim_heal(&s);
	coord_sim_run(&s, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
	end_sim();
}

static void a_cut_instance_comes_back_after_the_cut(void)
{
	boot(3);
	coord_sim_isolate(&s, 0);
	submit_everywhere();
	coord_sim_run(&s, 10000);
	submit_everywhere();
	coord_sim_heal(&s);
	coord_sim_run(&s, 15000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

static void without_the_store_serving_goes_on(void)
{
	boot(4);
	s.store.down = true;
	coord_sim_run(&s, 180000);
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
	coord_sim_run(&s, 3000);
	dead = s.nodes[3].inst.id;
	coord_sim_kill(&s, 3);
	coord_sim_run(&s, 5000);
	submit_everywhere();
	coord_sim_run(&s, 10000);
	for (k = 0; k < KEYS; k++) {
		bool held = slice_of(k)->primary == dead ||
			    slice_of(k)->backup == dead;

		CU_ASSERT_EQUAL(s.keys[k].starts, !held);
		CU_ASSERT_EQUAL(s.keys[k].refusals > 0, held);
	}
	s.store.down = false;
	coord_sim_run(&s, 10000);
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

static void lost_replies_and_stale_reads_do_no_harm(void)
{
	boot(4);
	s.store.lost_reply_percent = 100;
	s.store.stale_read_percent = 50;
	s.store.delay_max_ms = 500;
	coord_sim_kill(&s, 2);
	coord_sim_run(&s, 10000);
	coord_sim_start(&s, 2);
	coord_sim_run(&s, 30000);
	coord_sim_heal(&s);
	coord_sim_run(&s, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
	submit_everywhere();
	CU_ASSERT_EQUAL(started(), KEYS);
	end_sim();
}

static void a_store_set_back_is_repaired(void)
{
	uint64_t epoch;

	boot(3);
	coord_sim_kill(&s, 0);
	coord_sim_run(&s, 10000);
	submit_everywhere();
	epoch = syc_coord_epoch(s.nodes[1].coord);
	CU_ASSERT_EQUAL(coord_sim_store_epoch(&s), epoch);
	coord_sim_restore_store(&s, 1);
	CU_ASSERT_TRUE(coord_sim_store_epoch(&s) < epoch);
	coord_sim_run(&s, 2000);
	CU_ASSERT_TRUE(coord_sim_store_epoch(&s) >= epoch);
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
		coord_sim_start(&s, 4 + i);
		syc_coord_leave(s.nodes[i].coord, s.now);
		coord_sim_run(&s, 5000);
		CU_ASSERT_TRUE(syc_coord_left(s.nodes[i].coord));
		CU_ASSERT_TRUE(syc_coord_ready(s.nodes[i].coord));
		coord_sim_submit(&s, i, KEYS + (unsigned)i);
		coord_sim_run(&s, 100);
		CU_ASSERT_EQUAL(s.keys[KEYS + i].starts, 1);
		coord_sim_kill(&s, i);
		submit_everywhere();
	}
	coord_sim_run(&s, 10000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
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
		coord_sim_kill(&s, i);
	for (i = 0; i < 24; i++)
		coord_sim_start(&s, i);
	coord_sim_run(&s, 30000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
	CU_ASSERT_TRUE(s.store.writes - writes < 100);
	CU_ASSERT_TRUE(s.store.reads - reads < 500);
	submit_everywhere();
	CU_ASSERT_EQUAL(s.runs, KEYS);
	end_sim();
}

/* Restarts both of two instances long before the list names them. */
static bool restart_settles(bool keeps_addr)
{
	bool settled;
	int i;

	coord_sim_init(&s, 1, 2);
	s.quiet = true;
	s.keeps_addr = keeps_addr;
	s.list_delay_ms = 3600 * 1000;
	for (i = 0; i < 4; i++) {
		coord_sim_kill(&s, i % 2);
		coord_sim_start(&s, i % 2);
		if (i == 1)
			coord_sim_run(&s, 5000);
	}
	submit_everywhere();
	coord_sim_run(&s, 10000);
	settled = coord_sim_is_settled(&s);
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
		coord_sim_kill(&s, i);
	for (i = 0; i < SYC_MEMBERS_MAX; i++)
		coord_sim_start(&s, i);
	coord_sim_run(&s, 8000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
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
	CU_ASSERT_EQUAL(claim(0, 0, 1).verdict, SYC_RUN);
	CU_ASSERT_EQUAL(claim(0, 0, 1).verdict, SYC_JOIN);
	CU_ASSERT_EQUAL(claim(0, 0, 2).verdict, SYC_MISMATCH);
	end_sim();
}

static void a_claim_that_proved_not_run_may_run_again(void)
{
	boot(1);
	CU_ASSERT_EQUAL(claim(0, 0, 1).verdict, SYC_RUN);
	syc_coord_end(s.nodes[0].coord, s.now, &s.keys[0].key, SYC_NOT_RUN);
	CU_ASSERT_EQUAL(claim(0, 0, 1).verdict, SYC_RUN);
	syc_coord_end(s.nodes[0].coord, s.now, &s.keys[0].key, SYC_FAILED);
	CU_ASSERT_EQUAL(claim(0, 0, 1).verdict, SYC_ENDED);
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
		CU_ASSERT_EQUAL(claim(0, k, 1).verdict, SYC_RUN);
	res = claim(0, 10, 1);
	CU_ASSERT_EQUAL(res.verdict, SYC_REFUSED);
	CU_ASSERT_EQUAL(res.reason, SYC_CLAIMS_FULL);
	for (k = 0; k < 10; k++)
		CU_ASSERT_EQUAL(claim(0, k, 1).verdict, SYC_JOIN);
	end_sim();
}

static void ended_claims_go_with_age_and_live_ones_stay(void)
{
	boot(1);
	claim(0, 0, 1);
	claim(0, 1, 1);
	syc_coord_end(s.nodes[0].coord, s.now, &s.keys[0].key, SYC_COMPLETED);
	coord_sim_run(&s, COORD_SIM_RETENTION_MS - 1000);
	CU_ASSERT_EQUAL(claim(0, 0, 1).verdict, SYC_ENDED);
	coord_sim_run(&s, 3000);
	CU_ASSERT_EQUAL(claim(0, 0, 1).verdict, SYC_RUN);
	CU_ASSERT_EQUAL(claim(0, 1, 1).verdict, SYC_JOIN);
	end_sim();
}

/* The runner is gone before its end was told: unknown, never again. */
static void a_claim_of_a_gone_runner_is_unknown(void)
{
	struct syc_claim_result res;
	int runner, i;

	boot(4);
	runner = place_of(slice_of(0)->primary);
	CU_ASSERT_EQUAL(claim(runner, 0, 1).verdict, SYC_PENDING);
	s.keys[0].pending++;
	coord_sim_run(&s, 20);
	CU_ASSERT_EQUAL(s.keys[0].starts, 1);
	coord_sim_kill(&s, runner);
	coord_sim_run(&s, 5000);
	for (i = 0; i < 4; i++) {
		if (i == runner)
			continue;
		res = claim(i, 0, 1);
		if (res.verdict == SYC_FORWARD)
			continue;
		CU_ASSERT_EQUAL(res.outcome, SYC_UNKNOWN);
		CU_ASSERT_TRUE(res.verdict == SYC_REFUSED ||
			       res.verdict == SYC_ENDED);
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
		bad[1] = (char)(SYC_PEER_MAP_ASK + rng_below(&r, 24));
		syc_coord_receive(s.nodes[0].coord, s.now, from, msg);
	}
	msg.n = 5;
	CU_ASSERT_FALSE(syc_coord_receive(s.nodes[0].coord, s.now, from, msg));
	coord_sim_run(&s, 5000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
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
