/* Focused failures of the coordination, on a virtual clock. */
#include <stdlib.h>
#include <string.h>

#include "sim/coord_sim.h"
#include "unit.h"
#include "util/log.h"

static struct coord_sim s;

static void boot(int n)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	int i;

	log_init(&log);
	coord_sim_init(&s, 1, n);
	s.quiet = true;
	for (i = 0; i < n; i++)
		coord_sim_start(&s, i);
	coord_sim_run(&s, 5000);
	CU_ASSERT_TRUE_FATAL(coord_sim_is_settled(&s));
}

static void submit_all(int place, unsigned from, unsigned to)
{
	for (; from < to; from++)
		coord_sim_submit(&s, place, from);
}

static unsigned started(unsigned from, unsigned to)
{
	unsigned n = 0;

	for (; from < to; from++)
		n += s.keys[from].starts;
	return n;
}

static void a_single_instance_serves_alone(void)
{
	boot(1);
	CU_ASSERT_TRUE(syc_coord_ready(s.nodes[0].coord));
	submit_all(0, 0, 100);
	submit_all(0, 0, 100);
	CU_ASSERT_EQUAL(started(0, 100), 100);
	CU_ASSERT_EQUAL(s.second_starts, 0);
	coord_sim_free(&s);
}

static void every_key_starts_once_wherever_it_arrives(void)
{
	int i;

	boot(4);
	for (i = 0; i < 4; i++)
		submit_all(i, 0, 200);
	coord_sim_run(&s, 500);
	CU_ASSERT_EQUAL(started(0, 200), 200);
	CU_ASSERT_EQUAL(s.second_starts, 0);
	coord_sim_free(&s);
}

static void a_crash_moves_its_slices_and_starts_nothing_again(void)
{
	boot(4);
	submit_all(0, 0, 200);
	coord_sim_run(&s, 500);
	coord_sim_kill(&s, 1);
	coord_sim_run(&s, 4000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
	submit_all(0, 0, 400);
	coord_sim_run(&s, 500);
	CU_ASSERT_EQUAL(started(0, 400), 400);
	CU_ASSERT_EQUAL(s.second_starts, 0);
	coord_sim_free(&s);
}

static void keys_older_than_a_loss_stay_unknown(void)
{
	unsigned i;

	boot(1);
	submit_all(0, 0, 10);
	coord_sim_kill(&s, 0);
	coord_sim_start(&s, 0);
	coord_sim_run(&s, 20000);
	CU_ASSERT_TRUE(coord_sim_is_settled(&s));
	submit_all(0, 0, 20);
	CU_ASSERT_EQUAL(started(0, 10), 10);
	CU_ASSERT_EQUAL(s.second_starts + s.false_not_run, 0);
	for (i = 10; i < 20; i++)
		CU_ASSERT_EQUAL(s.keys[i].starts, i % 2);
	coord_sim_free(&s);
}

/* Another domain of 6 instances, which never answer. */
static void only_delegates_talk_to_another_domain(void)
{
	enum { FOREIGN = 6, BEATS = 10 };
	struct syc_instance inst = {.name = "f", .domain = "other"};
	uint64_t before[4], n;
	int i, k, talkers = 0;

	boot(4);
	for (i = 0; i < 4; i++)
		for (k = 0; k < FOREIGN; k++) {
			inst.id = (uint64_t)k + 1;
			syc_coord_peer_up(s.nodes[i].coord, s.now, &inst);
		}
	coord_sim_run(&s, COORD_SIM_HEARTBEAT_MS);
	for (i = 0; i < 4; i++)
		before[i] = s.nodes[i].coord->stats.heartbeats;
	coord_sim_run(&s, BEATS * COORD_SIM_HEARTBEAT_MS);
	for (i = 0; i < 4; i++) {
		n = s.nodes[i].coord->stats.heartbeats - before[i];
		talkers += n > 4 * BEATS;
		CU_ASSERT_TRUE(n <= (3 + DELEGATES) * (BEATS + 1));
	}
	CU_ASSERT_EQUAL(talkers, DELEGATES);
	coord_sim_free(&s);
}

SUITE(coord)
{
	TEST(a_single_instance_serves_alone);
	TEST(every_key_starts_once_wherever_it_arrives);
	TEST(a_crash_moves_its_slices_and_starts_nothing_again);
	TEST(only_delegates_talk_to_another_domain);
	TEST(keys_older_than_a_loss_stay_unknown);
}
