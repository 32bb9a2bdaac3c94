/* Tests the coordination of a few instances on a virtual clock. */
#include <stdlib.h>
#include <string.h>

#include "sim/coord_sim.h"
#include "unit.h"
#include "util/log.h"

static struct coord_sim sim;

static void start_instances(int n)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	int i;

	log_init(&log);
	coord_sim_init(&sim, 1, n);
	sim.quiet = true;
	for (i = 0; i < n; i++)
		coord_sim_start(&sim, i);
	coord_sim_run(&sim, 5000);
	CU_ASSERT_TRUE_FATAL(coord_sim_is_settled(&sim));
}

static void submit_all(int node, unsigned from, unsigned to)
{
	for (; from < to; from++)
		coord_sim_submit(&sim, node, from);
}

static unsigned count_starts(unsigned from, unsigned to)
{
	unsigned n = 0;

	for (; from < to; from++)
		n += sim.keys[from].starts;
	return n;
}

static void single_instance_serves_alone(void)
{
	start_instances(1);
	CU_ASSERT_TRUE(syc_coord_ready(sim.nodes[0].coord));
	submit_all(0, 0, 100);
	submit_all(0, 0, 100);
	CU_ASSERT_EQUAL(count_starts(0, 100), 100);
	CU_ASSERT_EQUAL(sim.second_starts, 0);
	coord_sim_free(&sim);
}

static void every_key_starts_once_wherever_it_arrives(void)
{
	int i;

	start_instances(4);
	for (i = 0; i < 4; i++)
		submit_all(i, 0, 200);
	coord_sim_run(&sim, 500);
	CU_ASSERT_EQUAL(count_starts(0, 200), 200);
	CU_ASSERT_EQUAL(sim.second_starts, 0);
	coord_sim_free(&sim);
}

static void crash_moves_slices_without_second_starts(void)
{
	start_instances(4);
	submit_all(0, 0, 200);
	coord_sim_run(&sim, 500);
	coord_sim_kill(&sim, 1);
	coord_sim_run(&sim, 4000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	submit_all(0, 0, 400);
	coord_sim_run(&sim, 500);
	CU_ASSERT_EQUAL(count_starts(0, 400), 400);
	CU_ASSERT_EQUAL(sim.second_starts, 0);
	coord_sim_free(&sim);
}

/*
 * The claims of keys 0 to 9 are lost. Of the later keys only those with an odd
 * number have a ticket.
 */
static void keys_older_than_a_loss_stay_unknown(void)
{
	unsigned i;

	start_instances(1);
	submit_all(0, 0, 10);
	coord_sim_kill(&sim, 0);
	coord_sim_start(&sim, 0);
	coord_sim_run(&sim, 20000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&sim));
	submit_all(0, 0, 20);
	CU_ASSERT_EQUAL(count_starts(0, 10), 10);
	CU_ASSERT_EQUAL(sim.second_starts + sim.false_not_run, 0);
	for (i = 10; i < 20; i++)
		CU_ASSERT_EQUAL(sim.keys[i].starts, i % 2);
	coord_sim_free(&sim);
}

/* The other domain has 6 instances, none of which answers. */
static void only_delegates_send_to_another_domain(void)
{
	enum { FOREIGN = 6, HEARTBEATS = 10 };
	struct syc_instance inst = {.name = "f", .domain = "other"};
	uint64_t before[4], n;
	int i, k, n_senders = 0;

	start_instances(4);
	for (i = 0; i < 4; i++)
		for (k = 0; k < FOREIGN; k++) {
			inst.id = (uint64_t)k + 1;
			syc_coord_peer_up(sim.nodes[i].coord, sim.now, &inst);
		}
	coord_sim_run(&sim, COORD_SIM_HEARTBEAT_MS);
	for (i = 0; i < 4; i++)
		before[i] = sim.nodes[i].coord->stats.heartbeats;
	coord_sim_run(&sim, HEARTBEATS * COORD_SIM_HEARTBEAT_MS);
	for (i = 0; i < 4; i++) {
		n = sim.nodes[i].coord->stats.heartbeats - before[i];
		n_senders += n > 4 * HEARTBEATS;
		CU_ASSERT_TRUE(n <= (3 + DELEGATES) * (HEARTBEATS + 1));
	}
	CU_ASSERT_EQUAL(n_senders, DELEGATES);
	coord_sim_free(&sim);
}

SUITE(coord)
{
	TEST(single_instance_serves_alone);
	TEST(every_key_starts_once_wherever_it_arrives);
	TEST(crash_moves_slices_without_second_starts);
	TEST(only_delegates_send_to_another_domain);
	TEST(keys_older_than_a_loss_stay_unknown);
}
