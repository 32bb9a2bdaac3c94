/*
 * Guards against review/9: a new driver starts tasks on a worker that has long
 * been draining, from the list of a driver that the store did not answer.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fleet/fleet_state.h"
#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum {
	SEED = 11,
	DRAINING = 4, /* a worker */
	CUT_MS = 4400, /* the driver is cut off from the store, then killed */
	STEP_MS = 20
};

/* Keeps callers of all domains busy, so that each free worker gets a task. */
static void play_traffic(struct fsim *s, int64_t ms)
{
	int64_t until = s->now + ms;
	int k;

	while (s->now < until) {
		for (k = 0; k < FSIM_DOMAINS; k++)
			fsim_submit(s, k, 2, 60);
		fsim_run(s, STEP_MS);
	}
}

static struct fsim *start(bool divided)
{
	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	return divided ? fsim_new_divided(SEED) : fsim_new(SEED);
}

static void check_and_free(struct fsim *s)
{
	CU_ASSERT_EQUAL(s->n_late_drains, 0);
	CU_ASSERT_EQUAL(s->n_double_runs, 0);
	CU_ASSERT_EQUAL(s->n_false_refusals, 0);
	if (*s->message)
		fprintf(stderr, "%s\n", s->message);
	fsim_free(s);
}

static int driver_of(const struct fsim *s)
{
	return s->divided ? fsim_find_driver_of(s, s->workers[DRAINING].domain)
			  : fsim_find_driver(s);
}

/* A worker drains while the store does not answer the driver, which is killed. */
static void check_takeover(bool divided)
{
	struct fsim *s = start(divided);
	int driver = driver_of(s);

	play_traffic(s, 500);
	s->instances[driver].store->silent = true;
	play_traffic(s, 300);
	fsim_drain_worker(s, DRAINING);
	play_traffic(s, CUT_MS);
	fsim_kill(s, driver);
	play_traffic(s, 2000);
	CU_ASSERT_NOT_EQUAL(driver_of(s), -1);
	CU_ASSERT_NOT_EQUAL(driver_of(s), driver);
	check_and_free(s);
}

static void next_driver_starts_nothing_on_a_worker_that_drained_before(void)
{
	check_takeover(false);
}

static void next_driver_of_a_cell_starts_nothing_there_either(void)
{
	check_takeover(true);
}

/* The same for a driver that stood still itself, as all others did. */
static void driver_that_wakes_starts_nothing_on_a_drained_worker(void)
{
	struct fsim *s = start(false);
	int64_t drained_at;
	int k;

	play_traffic(s, 500);
	for (k = 0; k < s->n_instances; k++)
		fsim_pause(s, k, CUT_MS);
	fsim_run(s, 300);
	fsim_drain_worker(s, DRAINING);
	drained_at = s->now;
	fsim_run(s, CUT_MS - 300);
	play_traffic(s, 1500);
	CU_ASSERT(s->workers[DRAINING].last_start_at < drained_at);
	check_and_free(s);
}

/*
 * Only the driver reads the list. While the store does not answer it, one other
 * instance reads the list too.
 */
static void list_is_read_no_more_often_than_needed(void)
{
	struct fsim *s = start(false);
	unsigned long before;

	fsim_run(s, 7000); /* the others' first lists are no longer young */
	before = s->n_list_reads;
	fsim_run(s, 5000);
	CU_ASSERT(s->n_list_reads - before <= 11);
	s->instances[fsim_find_driver(s)].store->silent = true;
	fsim_run(s, 2000);
	before = s->n_list_reads;
	fsim_run(s, 5000);
	CU_ASSERT(s->n_list_reads - before <= 16);
	CU_ASSERT(s->n_list_reads - before >= 8);
	check_and_free(s);
}

/* Without the store a driver goes on with the list that it has. */
static void takeover_without_the_store_waits_for_no_list(void)
{
	struct fsim *s = start(false);
	int64_t killed_at;
	size_t before;

	play_traffic(s, 500);
	s->store.silent = true;
	play_traffic(s, CUT_MS);
	fsim_kill(s, fsim_find_driver(s));
	killed_at = s->now;
	while (fsim_find_driver(s) < 0)
		fsim_run(s, 10);
	CU_ASSERT(s->now - killed_at <= 800);
	fsim_run(s, 400);
	before = fsim_count_outcomes(s, FLEET_COMPLETED);
	play_traffic(s, 400);
	CU_ASSERT(fsim_count_outcomes(s, FLEET_COMPLETED) > before + 5);
	check_and_free(s);
}

SUITE(fleet_drain)
{
	TEST(next_driver_starts_nothing_on_a_worker_that_drained_before);
	TEST(next_driver_of_a_cell_starts_nothing_there_either);
	TEST(driver_that_wakes_starts_nothing_on_a_drained_worker);
	TEST(list_is_read_no_more_often_than_needed);
	TEST(takeover_without_the_store_waits_for_no_list);
}
