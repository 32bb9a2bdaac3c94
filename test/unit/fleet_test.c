/*
 * A fleet as a whole, one trouble at a time: what callers get, and how soon.
 */
#include <stdlib.h>
#include <string.h>

#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum { SEED = 11, DOMAINS = FSIM_DOMAINS };

static struct fsim *start_fleet(void)
{
	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	return fsim_new(SEED);
}

/* Callers of each domain hand one job in; returns how many are served. */
static size_t serve_all(struct fsim *s, int64_t within_ms)
{
	size_t before = fsim_count(s, FLEET_COMPLETED);
	int k;

	for (k = 0; k < DOMAINS; k++)
		fsim_submit(s, k, 2, 80);
	fsim_run(s, within_ms);
	return fsim_count(s, FLEET_COMPLETED) - before;
}

static void end_fleet(struct fsim *s)
{
	CU_ASSERT_EQUAL(s->twice, 0);
	CU_ASSERT_EQUAL(s->false_refusals, 0);
	fsim_free(s);
}

static void calm_fleet_serves_at_once(void)
{
	struct fsim *s = start_fleet();

	CU_ASSERT(fsim_driver(s) >= 0);
	CU_ASSERT_EQUAL(serve_all(s, 120), DOMAINS);
	end_fleet(s);
}

/* Half a second: 350 ms of silence, the map's change, the first lists. */
static void killed_driver_is_replaced_within_half_a_second(void)
{
	struct fsim *s = start_fleet();

	fsim_kill(s, fsim_driver(s));
	fsim_run(s, 500);
	CU_ASSERT(fsim_driver(s) >= 0);
	CU_ASSERT_EQUAL(serve_all(s, 200), DOMAINS);
	end_fleet(s);
}

static void killed_driver_is_replaced_without_the_store(void)
{
	struct fsim *s = start_fleet();

	s->store.down = true;
	fsim_kill(s, fsim_driver(s));
	fsim_run(s, 800);
	CU_ASSERT(fsim_driver(s) >= 0);
	CU_ASSERT_EQUAL(serve_all(s, 200), DOMAINS);
	end_fleet(s);
}

/* What runs goes on under the next driver and is not begun again. */
static void leaving_driver_hands_over_what_runs(void)
{
	struct fsim *s = start_fleet();
	int old = fsim_driver(s), k;

	for (k = 0; k < DOMAINS; k++)
		fsim_submit(s, k, 2, 900);
	fsim_run(s, 100);
	fsim_leave(s, old);
	fsim_run(s, 950);
	CU_ASSERT_NOT_EQUAL(fsim_driver(s), old);
	CU_ASSERT_EQUAL(fsim_count(s, FLEET_COMPLETED), DOMAINS);
	end_fleet(s);
}

static void store_outage_alone_changes_nothing(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_driver(s);

	s->store.down = true;
	fsim_run(s, 6000);
	CU_ASSERT_EQUAL(fsim_driver(s), driver);
	CU_ASSERT_EQUAL(serve_all(s, 120), DOMAINS);
	end_fleet(s);
}

/* Both sides of a cut serve their own callers, and so does the whole later. */
/* All callers are served while it lasts and after it. */
static void cut_off_for_a_while(struct fsim *s, int domain)
{
	fsim_cut_domain(s, domain, true);
	fsim_run(s, 1200);
	CU_ASSERT_EQUAL(serve_all(s, 300), DOMAINS);
	fsim_cut_domain(s, domain, false);
	fsim_run(s, 1500);
	CU_ASSERT_EQUAL(serve_all(s, 300), DOMAINS);
}

static void cut_off_domain_serves_its_callers(void)
{
	struct fsim *s = start_fleet();

	cut_off_for_a_while(s, (s->instances[fsim_driver(s)].domain + 1) %
				       DOMAINS);
	end_fleet(s);
}

static void domain_of_the_driver_is_cut_off(void)
{
	struct fsim *s = start_fleet();

	cut_off_for_a_while(s, s->instances[fsim_driver(s)].domain);
	end_fleet(s);
}

/*
 * The driver has taken the cut off ones out of the map before it dies: with
 * nobody left in it, they have to come back without a driver (seed 5353).
 */
static void those_taken_out_find_a_driver(void)
{
	struct fsim *s = start_fleet();
	int domain = s->instances[fsim_driver(s)].domain, drivers = 0, k;

	for (k = 0; k < DOMAINS; k++)
		fsim_cut_domain(s, k, true);
	fsim_run(s, 6000);
	for (k = domain; k < FSIM_INSTANCES; k += DOMAINS)
		fsim_kill(s, k);
	for (k = 0; k < DOMAINS; k++)
		fsim_cut_domain(s, k, false);
	fsim_run(s, 4000);
	for (k = 0; k < FSIM_INSTANCES; k++)
		if (s->instances[k].fleet)
			drivers += fleet_is_driver(s->instances[k].fleet);
	CU_ASSERT_EQUAL(drivers, 1);
	end_fleet(s);
}

/* Two instances are in each domain: the other one drives it on. */
static void driver_of_a_cut_off_domain_leaves(void)
{
	struct fsim *s = start_fleet();
	int domain = (s->instances[fsim_driver(s)].domain + 1) % DOMAINS;
	int k;

	fsim_cut_domain(s, domain, true);
	fsim_run(s, 1200);
	for (k = domain; k < FSIM_INSTANCES; k += DOMAINS)
		if (fleet_is_driver(s->instances[k].fleet))
			break;
	CU_ASSERT(k < FSIM_INSTANCES);
	fsim_leave(s, k);
	fsim_run(s, 1300);
	fsim_kill(s, k);
	CU_ASSERT_EQUAL(serve_all(s, 300), DOMAINS);
	end_fleet(s);
}

/* hunt-93bf-7 of reskassa-nord: it drove on beside its successor. */
static void driver_of_all_leaves_while_its_domain_is_cut_off(void)
{
	struct fsim *s = start_fleet();
	int old = fsim_driver(s), domain = s->instances[old].domain, k;

	s->store.down = true; /* or the map would tell it of the next one */
	fsim_cut_domain(s, domain, true);
	fsim_run(s, 900);
	fsim_leave(s, old);
	fsim_run(s, 500);
	CU_ASSERT_FALSE(fleet_is_driver(s->instances[old].fleet));
	for (k = 0; k < 40; k++) {
		fsim_submit(s, domain, 2, 400);
		fsim_run(s, 100);
	}
	fsim_run(s, 4000);
	CU_ASSERT_FALSE(fleet_is_driver(s->instances[old].fleet));
	CU_ASSERT_EQUAL(serve_all(s, 900), DOMAINS);
	end_fleet(s);
}

/* It reaches workers of other domains, so the driver does too. */
static void instance_that_lost_its_peers_drives_nothing(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_driver(s);
	int lost = (driver + 1) % FSIM_INSTANCES;
	const char *why;

	fsim_cut_instance(s, lost, true);
	fsim_run(s, 6000);
	CU_ASSERT_EQUAL(fsim_driver(s), driver);
	CU_ASSERT_FALSE(fleet_is_driver(s->instances[lost].fleet));
	CU_ASSERT_FALSE(fleet_is_ready(s->instances[lost].fleet, &why));
	fsim_cut_instance(s, lost, false);
	fsim_run(s, 1000);
	CU_ASSERT(fleet_is_ready(s->instances[lost].fleet, &why));
	CU_ASSERT_EQUAL(serve_all(s, 200), DOMAINS);
	end_fleet(s);
}

static void paused_driver_that_wakes_gives_way(void)
{
	struct fsim *s = start_fleet();
	int old = fsim_driver(s), k;

	for (k = 0; k < DOMAINS; k++)
		fsim_submit(s, k, 2, 400);
	fsim_run(s, 20);
	fsim_pause(s, old, 2500);
	fsim_run(s, 3500);
	CU_ASSERT_NOT_EQUAL(fsim_driver(s), old);
	CU_ASSERT_EQUAL(serve_all(s, 300), DOMAINS);
	end_fleet(s);
}

static size_t runs_of(const struct fsim *s, const struct fsim_job *j)
{
	size_t i, k, n = 0;

	for (i = 0; i < FSIM_WORKERS; i++)
		for (k = 0; k < s->workers[i].n_runs; k++)
			n += !strcmp(s->workers[i].runs[k].task.job, j->id);
	return n;
}

/* The driver is told once the link is back, long before it may miss the home. */
static void caller_that_left_in_a_cut_is_not_run_for(void)
{
	struct fsim *s = start_fleet();
	struct fsim_job *j = &s->jobs[0];
	int domain = (s->instances[fsim_driver(s)].domain + 1) % DOMAINS;

	fsim_submit(s, domain, 2, 900);
	fsim_run(s, 60);
	CU_ASSERT_EQUAL(runs_of(s, j), 2);
	fsim_cut_instance(s, j->home, true);
	fsim_run(s, 20);
	fleet_cancel(s->instances[j->home].fleet, s->now, 1);
	j->answered = true;
	fsim_run(s, 60);
	fsim_cut_instance(s, j->home, false);
	fsim_run(s, 400);
	CU_ASSERT_EQUAL(runs_of(s, j), 0);
	end_fleet(s);
}

static void job_taken_without_a_link_is_handed_in_with_it(void)
{
	struct fsim *s = start_fleet();
	int domain = (s->instances[fsim_driver(s)].domain + 1) % DOMAINS;
	int k;

	for (k = 0; k < FSIM_INSTANCES; k++)
		if (s->instances[k].domain == domain)
			fsim_cut_instance(s, k, true);
	fsim_run(s, 20);
	fsim_submit(s, domain, 2, 80);
	fsim_run(s, 20);
	for (k = 0; k < FSIM_INSTANCES; k++)
		fsim_cut_instance(s, k, false);
	fsim_run(s, 400);
	CU_ASSERT_EQUAL(fsim_count(s, FLEET_COMPLETED), 1);
	end_fleet(s);
}

static void all_instances_start_again(void)
{
	struct fsim *s = start_fleet();
	int k;

	for (k = 0; k < FSIM_INSTANCES; k++)
		fsim_kill(s, k);
	fsim_run(s, 1000);
	for (k = 0; k < FSIM_INSTANCES; k++)
		fsim_start(s, k);
	fsim_run(s, 900);
	CU_ASSERT(fsim_driver(s) >= 0);
	CU_ASSERT_EQUAL(serve_all(s, 200), DOMAINS);
	end_fleet(s);
}

SUITE(fleet)
{
	TEST(calm_fleet_serves_at_once);
	TEST(killed_driver_is_replaced_within_half_a_second);
	TEST(killed_driver_is_replaced_without_the_store);
	TEST(leaving_driver_hands_over_what_runs);
	TEST(store_outage_alone_changes_nothing);
	TEST(cut_off_domain_serves_its_callers);
	TEST(domain_of_the_driver_is_cut_off);
	TEST(those_taken_out_find_a_driver);
	TEST(driver_of_a_cut_off_domain_leaves);
	TEST(driver_of_all_leaves_while_its_domain_is_cut_off);
	TEST(instance_that_lost_its_peers_drives_nothing);
	TEST(paused_driver_that_wakes_gives_way);
	TEST(caller_that_left_in_a_cut_is_not_run_for);
	TEST(job_taken_without_a_link_is_handed_in_with_it);
	TEST(all_instances_start_again);
}
