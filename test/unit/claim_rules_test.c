/*
 * Shows that each rule of claims and maps is needed. With all rules no order
 * of events starts a key twice. With one rule switched off some order does:
 * for every rule in the exhaustive model, and for one order each in the real
 * code.
 */
#include <string.h>

#include "sim/claim_model.h"
#include "sim/coord_sim.h"
#include "sycamoreshore/peer_type.h"
#include "unit.h"
#include "util/log.h"

enum { MODEL_EPOCHS = 4 };

static struct coord_sim sim;

static struct coord_rules all_rules(void)
{
	struct coord_rules r;

	memset(&r, true, sizeof(r));
	return r;
}

static void with_all_rules_no_key_starts_twice(void)
{
	struct coord_rules r = all_rules();
	struct model_result res = claim_model(&r, MODEL_EPOCHS);

	CU_ASSERT_FALSE(res.second_start);
	CU_ASSERT_TRUE(res.states > 1000000);
}

static void each_rule_is_needed(void)
{
	struct coord_rules r;
	bool *rule;
	size_t i;

	for (i = 0; i < sizeof(r) / sizeof(bool); i++) {
		r = all_rules();
		rule = (bool *)&r + i;
		*rule = false;
		CU_ASSERT_TRUE(claim_model(&r, MODEL_EPOCHS).second_start);
	}
}

/* Starts `n` instances under the rules `r` and waits for a common map. */
static void start_instances(const struct coord_rules *r, int n)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	int i;

	log_init(&log);
	coord_sim_init(&sim, 1, n);
	sim.rules = *r;
	sim.quiet = true;
	for (i = 0; i < n; i++)
		coord_sim_start(&sim, i);
	coord_sim_run(&sim, 5000);
	CU_ASSERT_TRUE_FATAL(coord_sim_is_settled(&sim));
}

static uint64_t primary_of(int node, unsigned key)
{
	const struct syc_coord *c = sim.nodes[node].coord;

	return c->map.slices[map_slice_of(&sim.keys[key].key)].primary;
}

static uint64_t backup_of(int node, unsigned key)
{
	const struct syc_coord *c = sim.nodes[node].coord;

	return c->map.slices[map_slice_of(&sim.keys[key].key)].backup;
}

/* Returns the first key with its primary and backup at these nodes. */
static unsigned find_key(int primary, int backup)
{
	unsigned k = 0;

	while (primary_of(0, k) != sim.nodes[primary].instance.id ||
	       backup_of(0, k) != sim.nodes[backup].instance.id)
		k++;
	return k;
}

static void block_messages(enum syc_peer_type type)
{
	sim.blocked_types |= 1ULL << type;
}

static void unblock_messages(enum syc_peer_type type)
{
	sim.blocked_types &= ~(1ULL << type);
}

/*
 * Checks that `scenario` starts a key twice without the rule at `offset`, and
 * not with all rules.
 */
static void check_rule(size_t offset,
		       void (*scenario)(const struct coord_rules *))
{
	struct coord_rules r = all_rules();
	bool *rule = (bool *)((char *)&r + offset);

	scenario(&r);
	CU_ASSERT_EQUAL(sim.second_starts, 0);
	coord_sim_free(&sim);
	*rule = false;
	scenario(&r);
	CU_ASSERT_TRUE(sim.second_starts > 0);
	coord_sim_free(&sim);
}

/* An isolated primary takes a key while its backup becomes the primary. */
static void isolate_primary(const struct coord_rules *r)
{
	unsigned k;

	start_instances(r, 2);
	k = find_key(0, 1);
	coord_sim_isolate(&sim, 0);
	coord_sim_submit(&sim, 0, k);
	coord_sim_run(&sim, 4000);
	CU_ASSERT_EQUAL(primary_of(1, k), sim.nodes[1].instance.id);
	coord_sim_submit(&sim, 1, k);
}

static void start_needs_the_backups_ack(void)
{
	check_rule(offsetof(struct coord_rules, ack_before_start),
		   isolate_primary);
}

/* The primary crashes before the copy reaches its new backup. */
static void crash_before_copy(const struct coord_rules *r)
{
	unsigned k;

	start_instances(r, 1);
	for (k = 0; k < 100; k++)
		coord_sim_submit(&sim, 0, k);
	sim.n_nodes = 2;
	block_messages(SYC_PEER_CLAIM_COPY);
	coord_sim_start(&sim, 1);
	coord_sim_run(&sim, 5000);
	CU_ASSERT_EQUAL(sim.nodes[0].coord->map.n_members, 2);
	coord_sim_kill(&sim, 0);
	coord_sim_run(&sim, 5000);
	for (k = 0; k < 100; k++)
		coord_sim_submit(&sim, 1, k);
}

static void only_a_complete_backup_succeeds(void)
{
	check_rule(offsetof(struct coord_rules, complete_before_primary),
		   crash_before_copy);
}

/*
 * The old primary and its successor both hold a waiting claim of the key. Then
 * the successor receives the old primary's claim.
 */
static void deliver_claim_of_older_entry(const struct coord_rules *r)
{
	unsigned k;

	start_instances(r, 3);
	k = find_key(0, 2);
	block_messages(SYC_PEER_CLAIM);
	coord_sim_isolate(&sim, 0);
	coord_sim_run(&sim, 1000);
	coord_sim_submit(&sim, 0, k);
	coord_sim_run(&sim, 2000);
	CU_ASSERT_EQUAL(primary_of(2, k), sim.nodes[2].instance.id);
	coord_sim_submit(&sim, 2, k);
	CU_ASSERT_EQUAL(sim.keys[k].pending, 2);
	block_messages(SYC_PEER_MAP);
	unblock_messages(SYC_PEER_CLAIM);
	sim.cut[0][2] = false;
	sim.cut[2][0] = false;
	coord_sim_cut_link(&sim, 2, 1, false);
	coord_sim_run(&sim, 500);
	sim.cut[2][1] = false;
	coord_sim_run(&sim, 1000);
}

static void nothing_is_acknowledged_under_an_older_entry(void)
{
	check_rule(offsetof(struct coord_rules, ack_current_entry_only),
		   deliver_claim_of_older_entry);
}

/* The backup alone is isolated, and the primary continues to serve. */
static void isolate_backup(const struct coord_rules *r)
{
	unsigned k;

	start_instances(r, 2);
	k = find_key(0, 1);
	coord_sim_isolate(&sim, 1);
	coord_sim_run(&sim, 5000);
	coord_sim_submit(&sim, 0, k);
	CU_ASSERT_EQUAL(sim.keys[k].starts, 1);
	coord_sim_submit(&sim, 1, k);
}

static void takeover_goes_through_the_store(void)
{
	check_rule(offsetof(struct coord_rules, takeover_through_store),
		   isolate_backup);
}

/* Both holders are cut from the others and the store, but stay alive. */
static void isolate_both_holders(const struct coord_rules *r)
{
	unsigned k;

	start_instances(r, 3);
	k = find_key(0, 2);
	coord_sim_cut_link(&sim, 0, 1, true);
	coord_sim_cut_link(&sim, 2, 1, true);
	sim.nodes[0].store_cut = true;
	sim.nodes[2].store_cut = true;
	coord_sim_run(&sim, 8000);
	sim.keys[k].submitted = true;
	sim.keys[k].ticket = syc_coord_epoch(sim.nodes[1].coord);
	coord_sim_submit(&sim, 0, k);
	coord_sim_run(&sim, 100);
	CU_ASSERT_EQUAL(sim.keys[k].starts, 1);
	coord_sim_submit(&sim, 1, k);
	coord_sim_run(&sim, 100);
}

static void no_new_holder_while_an_old_one_may_live(void)
{
	check_rule(offsetof(struct coord_rules, ended_before_replacement),
		   isolate_both_holders);
}

/*
 * Returns whether random runs without one rule start a key twice. The runs are
 * random because an order of events that starts a key twice takes three changes
 * of the map.
 */
static bool random_runs_start_twice(size_t offset, uint64_t n_seeds)
{
	struct coord_rules r = all_rules();
	bool *rule = (bool *)((char *)&r + offset);
	uint64_t seed;
	unsigned second_starts = 0;

	*rule = false;
	for (seed = 1; seed <= n_seeds && !second_starts; seed++) {
		sim.rules = r;
		sim.quiet = true;
		coord_sim_run_random(&sim, seed, 60000);
		second_starts = sim.second_starts;
		coord_sim_free(&sim);
	}
	return second_starts;
}

static void replaced_primary_drops_waiting_claims(void)
{
	CU_ASSERT_TRUE(random_runs_start_twice(
		offsetof(struct coord_rules, replaced_drops_waiting), 40));
}

SUITE(claim_rules)
{
	TEST(with_all_rules_no_key_starts_twice);
	TEST(each_rule_is_needed);
	TEST(start_needs_the_backups_ack);
	TEST(only_a_complete_backup_succeeds);
	TEST(nothing_is_acknowledged_under_an_older_entry);
	TEST(takeover_goes_through_the_store);
	TEST(no_new_holder_while_an_old_one_may_live);
	TEST(replaced_primary_drops_waiting_claims);
}
