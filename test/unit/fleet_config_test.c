/*
 * Tests that a change of the configuration that the store has confirmed is in
 * force in time at all instances, and that an older one never returns.
 */
#include <stdlib.h>

#include "fleet/fleet_state.h"
#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum { SEED = 11, APPLY_MS = FSIM_CONFIG_APPLY_MS };

static struct fsim *start_fleet(bool divided)
{
	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	return divided ? fsim_new_divided(SEED) : fsim_new(SEED);
}

static void check_and_free(struct fsim *s)
{
	CU_ASSERT_EQUAL(s->n_late_configs, 0);
	if (s->n_late_configs)
		puts(s->message);
	fsim_free(s);
}

/* Changes the configuration; returns how many instances lack it later. */
static int count_without_change(struct fsim *s, int64_t later_ms)
{
	int k, n = 0;

	fsim_put_config(s);
	fsim_run(s, later_ms);
	for (k = 0; k < s->n_instances; k++)
		n += s->instances[k].fleet &&
		     s->instances[k].config_version < s->n_configs;
	return n;
}

static void change_is_in_force_at_once_in_calm(void)
{
	struct fsim *s = start_fleet(false);

	CU_ASSERT_EQUAL(count_without_change(s, 50), 0);
	check_and_free(s);
}

static void check_silence(bool divided, int64_t before_ms, int64_t silence_ms)
{
	struct fsim *s = start_fleet(divided);

	fsim_put_config(s);
	fsim_run(s, before_ms);
	s->store.silent = true;
	fsim_run(s, silence_ms);
	s->store.silent = false;
	CU_ASSERT_EQUAL(count_without_change(s, APPLY_MS), 0);
	CU_ASSERT_EQUAL(count_without_change(s, APPLY_MS), 0);
	check_and_free(s);
}

static void silence_that_swallows_watches_delays_no_change(void)
{
	int64_t before_ms, silence_ms;

	for (before_ms = 500; before_ms <= 9500; before_ms += 1500)
		for (silence_ms = 300; silence_ms <= 12300; silence_ms += 2000)
			check_silence(false, before_ms, silence_ms);
	check_silence(true, 4500, 7000);
}

static void deaf_watches_hide_no_change(void)
{
	struct fsim *s = start_fleet(false);

	s->store.deaf = true;
	CU_ASSERT_EQUAL(count_without_change(s, APPLY_MS), 0);
	s->store.deaf = false;
	fake_store_cut_watches(&s->store);
	CU_ASSERT_EQUAL(count_without_change(s, APPLY_MS), 0);
	check_and_free(s);
}

static void instance_that_the_store_ignores_learns_from_its_peers(void)
{
	struct fsim *s = start_fleet(false);
	int k;

	for (k = 1; k < s->n_instances; k++)
		s->instances[k].store->silent = true;
	CU_ASSERT_EQUAL(count_without_change(s, APPLY_MS), 0);
	check_and_free(s);
}

static void instance_without_peers_learns_from_the_store(void)
{
	struct fsim *s = start_fleet(false);

	fsim_cut_instance(s, 2, true);
	s->store.silent = true;
	fsim_run(s, 7000);
	s->store.silent = false;
	CU_ASSERT_EQUAL(count_without_change(s, APPLY_MS), 0);
	check_and_free(s);
}

static void lost_reads_are_repeated_before_the_bound(void)
{
	struct fsim *s = start_fleet(false);
	int k;

	for (k = 1; k < s->n_instances; k++)
		fsim_kill(s, k);
	s->store.deaf = true;
	fsim_run(s, 20000);
	fsim_put_config(s);
	s->store.lose_reads = 3;
	fsim_run(s, APPLY_MS);
	CU_ASSERT_EQUAL(s->instances[0].config_version, s->n_configs);
	check_and_free(s);
}

static void changes_are_in_force_at_once_again_after_an_outage(void)
{
	struct fsim *s = start_fleet(false);

	fsim_put_config(s);
	fsim_run(s, 8800);
	s->store.silent = true;
	/* The watches of 10 s are lost, and their time limit is not over. */
	fsim_run(s, 1900);
	s->store.silent = false;
	fsim_run(s, 150);
	CU_ASSERT_EQUAL(count_without_change(s, 120), 0);
	check_and_free(s);
}

static void busy_store_delays_no_change_beyond_its_end(void)
{
	struct fsim *s = start_fleet(false);

	s->store.busy = true;
	fsim_run(s, 6000);
	s->store.busy = false;
	CU_ASSERT_EQUAL(count_without_change(s, APPLY_MS), 0);
	check_and_free(s);
}

static void stale_reads_bring_no_older_configuration_back(void)
{
	struct fsim *s = start_fleet(false);
	int k;

	CU_ASSERT_EQUAL(count_without_change(s, APPLY_MS), 0);
	s->store.stale_read_percent = 100;
	fsim_run(s, 3 * APPLY_MS);
	for (k = 0; k < s->n_instances; k++)
		CU_ASSERT_EQUAL(s->instances[k].config_version, s->n_configs);
	check_and_free(s);
}

/* Heartbeats that waited during a pause are older than they appear. */
static void heartbeats_held_back_prove_no_recent_configuration(void)
{
	struct fsim *s = start_fleet(false);
	struct fsim_instance *i = &s->instances[1];

	i->store->silent = true;
	fsim_pause(s, 1, 3000);
	fsim_run(s, 3002);
	CU_ASSERT(fleet_config_age_ms(i->fleet) >= 2900);
	check_and_free(s);
}

/* An echo of a heartbeat that was never sent, from a damaged message. */
static void echo_from_the_future_proves_nothing(void)
{
	struct fsim *s = start_fleet(false);
	struct fleet *f = s->instances[0].fleet;

	heartbeat_accept_age(f, &f->config_watch, s->now + 5000, 1);
	CU_ASSERT(f->config_watch.confirmed_at <= s->now);
	check_and_free(s);
}

/* Otherwise each instance has to read it by itself. */
static void one_instance_reads_for_all(void)
{
	struct fsim *s = start_fleet(false);
	uint64_t reads;
	int k;

	fsim_run(s, 5000);
	reads = s->store.reads;
	fsim_run(s, 10000);
	for (k = 0; k < s->n_instances; k++)
		CU_ASSERT(fleet_config_age_ms(s->instances[k].fleet) <
			  APPLY_MS / 2);
	/* Two reads a second, and two watches of each instance in 5 s. */
	CU_ASSERT(s->store.reads - reads <= 20 + 4 * FSIM_INSTANCES + 4);
	check_and_free(s);
}

static void watches_that_end_at_once_are_not_repeated_at_once(void)
{
	struct fsim *s = start_fleet(false);
	uint64_t reads;

	s->store.ends_watches = true;
	fsim_run(s, 1000);
	reads = s->store.reads;
	fsim_run(s, 1000);
	/* Two keys; a watch of each at most once in an eighth of its bound. */
	CU_ASSERT(s->store.reads - reads <= FSIM_INSTANCES * 8 * 2);
	CU_ASSERT_EQUAL(count_without_change(s, APPLY_MS / 2), 0);
	check_and_free(s);
}

SUITE(fleet_config)
{
	TEST(watches_that_end_at_once_are_not_repeated_at_once);
	TEST(change_is_in_force_at_once_in_calm);
	TEST(silence_that_swallows_watches_delays_no_change);
	TEST(deaf_watches_hide_no_change);
	TEST(instance_that_the_store_ignores_learns_from_its_peers);
	TEST(instance_without_peers_learns_from_the_store);
	TEST(lost_reads_are_repeated_before_the_bound);
	TEST(changes_are_in_force_at_once_again_after_an_outage);
	TEST(busy_store_delays_no_change_beyond_its_end);
	TEST(stale_reads_bring_no_older_configuration_back);
	TEST(heartbeats_held_back_prove_no_recent_configuration);
	TEST(echo_from_the_future_proves_nothing);
	TEST(one_instance_reads_for_all);
}
