/*
 * Tests of a fleet that is divided into cells: who drives, where jobs run, and
 * what callers get when a driver, a domain or capacity is lost.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet/cell_choice.h"
#include "fleet/fleet_state.h"
#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum { SEED = 11, DOMAINS = FSIM_DOMAINS };

static struct fsim *start_fleet(void)
{
	struct fsim *s;

	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	s = fsim_new_divided(SEED);
	fsim_run(s, 1500);
	return s;
}

static void check_and_free(struct fsim *s)
{
	CU_ASSERT_EQUAL(s->n_double_runs, 0);
	CU_ASSERT_EQUAL(s->n_false_refusals, 0);
	fsim_free(s);
}

static bool drives(const struct fsim *s, int k)
{
	const struct fsim_instance *i = &s->instances[k];

	return i->cells && fleet_is_driver(cells_own(i->cells));
}

static size_t count_drivers(const struct fsim *s)
{
	size_t n = 0;
	int k;

	for (k = 0; k < s->n_instances; k++)
		n += drives(s, k);
	return n;
}

/* Submits `n` jobs of two tasks in `domain`; returns how many complete. */
static size_t complete_jobs(struct fsim *s, int domain, size_t n,
			    int64_t within_ms)
{
	size_t i, before = fsim_count_outcomes(s, FLEET_COMPLETED);

	for (i = 0; i < n; i++)
		fsim_submit(s, domain, 2, 80);
	fsim_run(s, within_ms);
	return fsim_count_outcomes(s, FLEET_COMPLETED) - before;
}

static void each_domain_has_its_own_driver(void)
{
	struct fsim *s = start_fleet();
	int k;

	for (k = 0; k < s->n_instances; k++)
		CU_ASSERT_EQUAL(cells_count(s->instances[k].cells), DOMAINS);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	for (k = 0; k < DOMAINS; k++) {
		CU_ASSERT(fsim_find_driver_of(s, k) >= 0);
		CU_ASSERT_EQUAL(complete_jobs(s, k, 1, 120), 1);
	}
	check_and_free(s);
}

static void fleet_with_few_workers_has_one_driver(void)
{
	struct fsim *s = fsim_new(SEED);
	int k;

	fsim_run(s, 3000);
	for (k = 0; k < s->n_instances; k++)
		CU_ASSERT_EQUAL(cells_count(s->instances[k].cells), 0);
	CU_ASSERT_EQUAL(count_drivers(s), 1);
	check_and_free(s);
}

/* A domain has room for eight tasks at a time; here it gets twelve. */
static void load_of_one_domain_spreads_to_the_others(void)
{
	struct fsim *s = start_fleet();

	CU_ASSERT_EQUAL(complete_jobs(s, 0, 6, 200), 6);
	check_and_free(s);
}

/* Twelve jobs fit at a time, and three such rounds end in time. */
static void load_beyond_all_capacity_is_refused_at_once(void)
{
	struct fsim *s = start_fleet();
	size_t i, n = 60, refused;

	for (i = 0; i < n; i++)
		fsim_submit(s, (int)(i % DOMAINS), 2, 600);
	fsim_run(s, 60);
	refused = fsim_count_outcomes(s, FLEET_NOT_RUN);
	CU_ASSERT(refused >= n - 3 * 12);
	fsim_run(s, 2000);
	CU_ASSERT_EQUAL(fsim_count_outcomes(s, FLEET_NOT_RUN), refused);
	CU_ASSERT_EQUAL(fsim_count_outcomes(s, FLEET_COMPLETED), n - refused);
	CU_ASSERT_EQUAL(complete_jobs(s, 0, 4, 200), 4);
	check_and_free(s);
}

static void lost_driver_of_a_cell_stops_no_other_cell(void)
{
	struct fsim *s = start_fleet();
	int lost = fsim_find_driver_of(s, 1);

	fsim_kill(s, lost);
	CU_ASSERT_EQUAL(complete_jobs(s, 0, 1, 120), 1);
	CU_ASSERT_EQUAL(complete_jobs(s, 2, 1, 120), 1);
	fsim_run(s, 500);
	CU_ASSERT(fsim_find_driver_of(s, 1) >= 0);
	CU_ASSERT_EQUAL(complete_jobs(s, 1, 1, 120), 1);
	check_and_free(s);
}

/* Jobs that arrive before the next driver go to another cell. */
static void callers_of_a_cell_without_driver_are_served(void)
{
	struct fsim *s = start_fleet();

	fsim_kill(s, fsim_find_driver_of(s, 1));
	fsim_run(s, 380);
	CU_ASSERT_EQUAL(complete_jobs(s, 1, 2, 150), 2);
	check_and_free(s);
}

/*
 * One of three members is left, which is no majority for some seconds. Nobody
 * reports the other cells' drivers to it, and it serves its callers there.
 */
static void callers_of_a_cell_that_cannot_elect_are_served(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_find_driver_of(s, 0);
	size_t i, completed = 0;

	fsim_kill(s, driver);
	fsim_kill(s, (driver + DOMAINS) % s->n_instances);
	fsim_run(s, 1000);
	for (i = 0; i < 10; i++)
		completed += complete_jobs(s, 0, 1, 200);
	CU_ASSERT_EQUAL(completed, 10);
	check_and_free(s);
}

static void cut_off_domain_keeps_its_driver(void)
{
	struct fsim *s = start_fleet();
	int driver = fsim_find_driver_of(s, 2);

	fsim_cut_domain(s, 2, true);
	fsim_run(s, 400);
	CU_ASSERT_EQUAL(complete_jobs(s, 2, 2, 120), 2);
	fsim_run(s, 5000);
	CU_ASSERT_EQUAL(fsim_find_driver_of(s, 2), driver);
	CU_ASSERT_EQUAL(complete_jobs(s, 0, 2, 120), 2);
	CU_ASSERT_EQUAL(complete_jobs(s, 2, 2, 120), 2);
	fsim_cut_domain(s, 2, false);
	fsim_run(s, 1000);
	CU_ASSERT_EQUAL(fsim_find_driver_of(s, 2), driver);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	check_and_free(s);
}

static void leaving_driver_of_a_cell_hands_over_its_runs(void)
{
	struct fsim *s = start_fleet();
	int old = fsim_find_driver_of(s, 0);
	int k;

	for (k = 0; k < DOMAINS; k++)
		fsim_submit(s, k, 2, 500);
	fsim_run(s, 40);
	fsim_leave(s, old);
	fsim_run(s, 300);
	CU_ASSERT(fsim_find_driver_of(s, 0) >= 0);
	CU_ASSERT_NOT_EQUAL(fsim_find_driver_of(s, 0), old);
	fsim_run(s, 300);
	CU_ASSERT_EQUAL(fsim_count_outcomes(s, FLEET_COMPLETED), DOMAINS);
	check_and_free(s);
}

/*
 * Jobs run in all cells when their instance stops. No cell's are left without an
 * answer, and what was not started anywhere is said not to have run.
 */
static void stopping_instance_answers_the_jobs_of_all_cells(void)
{
	struct fsim *s = start_fleet();
	int home = fsim_find_driver_of(s, 1), k;
	struct cells *cells;
	size_t i;

	s->deadline_ms = 60000;
	s->objective_add_ms = 30000;
	for (k = 0; k < 6 * DOMAINS; k++)
		fsim_submit_at(s, home, 8, 9000);
	fsim_run(s, 500);
	cells = s->instances[home].cells;
	CU_ASSERT(cells_open_jobs(cells) > 0);
	fsim_stop(s, home);
	fsim_run(s, 500);
	CU_ASSERT(fsim_count_outcomes(s, FLEET_NOT_RUN) > 0);
	CU_ASSERT(cells_open_jobs(cells) > 0);
	/* One ms before it is killed. */
	fsim_run(s, FSIM_STOP_MS - 500 - 1);
	CU_ASSERT_EQUAL(cells_open_jobs(cells), 0);
	for (i = 0; i < s->n_jobs; i++)
		CU_ASSERT(s->jobs[i].answered || s->jobs[i].may_have_run);
	check_and_free(s);
}

static void restarted_fleet_stays_divided(void)
{
	struct fsim *s = start_fleet();
	int k;

	for (k = 0; k < s->n_instances; k++)
		fsim_kill(s, k);
	fsim_run(s, 100);
	for (k = 0; k < s->n_instances; k++)
		fsim_start(s, k);
	fsim_run(s, 1500);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	for (k = 0; k < DOMAINS; k++)
		CU_ASSERT_EQUAL(complete_jobs(s, k, 1, 120), 1);
	check_and_free(s);
}

/* An instance that starts learns the cells after its first callers' jobs. */
static void job_of_an_instance_that_starts_is_refused_as_not_run(void)
{
	struct fsim *s = start_fleet();
	struct drive_job job = {.id = "early",
				.service = "s",
				.route = "r",
				.label = "",
				.n_tasks = 1,
				.deadline_ms = 2000};
	struct fsim_instance *i = &s->instances[0];

	fsim_kill(s, 0);
	fsim_run(s, 100);
	fsim_start(s, 0);
	s->n_jobs = 1;
	s->jobs[0] = (struct fsim_job){.home = 0,
				       .home_incarnation = i->instance.id,
				       .sent_at = s->now,
				       .deadline_at = s->now + 2000};
	cells_submit(i->cells, s->now, 1, &job);
	fsim_run(s, 300);
	CU_ASSERT(s->jobs[0].answered);
	CU_ASSERT_EQUAL(s->jobs[0].outcome, FLEET_NOT_RUN);
	check_and_free(s);
}

/* An instance of an earlier version writes a map without the cells, too. */
static void lost_map_leaves_the_fleet_divided(void)
{
	struct fsim *s = start_fleet();
	bool whole_drove = false;
	int i, k;

	/* The whole fleet's next driver must not drive either. */
	for (k = 0;
	     s->instances[k].instance.id != s->instances[k].fleet->driver;)
		k++;
	fsim_kill(s, k);
	fake_store_put(&s->store, "map", "?");
	for (i = 0; i < 300; i++) {
		fsim_run(s, 10);
		for (k = 0; k < s->n_instances; k++)
			whole_drove |= s->instances[k].fleet &&
				       fleet_is_driver(s->instances[k].fleet);
	}
	CU_ASSERT_FALSE(whole_drove);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	fsim_kill(s, 0);
	fsim_start(s, 0);
	fsim_run(s, 1500);
	CU_ASSERT_EQUAL(cells_count(s->instances[0].cells), DOMAINS);
	for (k = 0; k < DOMAINS; k++)
		CU_ASSERT_EQUAL(complete_jobs(s, k, 1, 120), 1);
	check_and_free(s);
}

static void fleet_with_an_earlier_version_is_not_divided(void)
{
	struct fsim *s;
	int k;

	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	s = fsim_new_divided_with_old(SEED);
	fsim_run(s, 3000);
	for (k = 0; k < s->n_instances; k++)
		CU_ASSERT_EQUAL(cells_count(s->instances[k].cells), 0);
	CU_ASSERT_EQUAL(count_drivers(s), 1);
	check_and_free(s);
}

static bool is_in_domain_of_whole_driver(const struct fsim *s, int k)
{
	uint64_t driver = s->instances[k].fleet->driver;
	int i;

	for (i = 0; i < s->n_instances; i++)
		if (s->instances[i].instance.id == driver)
			return s->instances[i].domain == s->instances[k].domain;
	return false;
}

/* Its domain is cut off too, and it must not drive it beside the cell. */
static void instance_that_missed_the_division_drives_nothing(void)
{
	struct drive_worker list[FSIM_WORKERS];
	struct fsim *s = start_fleet();
	bool drove = false;
	int i, k = 0;

	/* The driver of the whole fleet is in another domain. */
	while (is_in_domain_of_whole_driver(s, k))
		k++;
	fsim_kill(s, k);
	fsim_run(s, 500);
	/* It has a map without the cells, knows the workers, and no store. */
	fsim_start(s, k);
	s->instances[k].store->cut = true;
	s->instances[k].fleet->map =
		s->instances[(k + 1) % s->n_instances].fleet->map;
	s->instances[k].fleet->map.n_cells = 0;
	s->instances[k].fleet->map_known = true;
	for (i = 0; i < FSIM_WORKERS; i++)
		list[i] = s->workers[i].info;
	fleet_set_workers(s->instances[k].fleet, s->now, list, FSIM_WORKERS);
	fsim_run(s, 1000);
	CU_ASSERT_EQUAL(cells_count(s->instances[k].cells), 0);
	fsim_cut_domain(s, s->instances[k].domain, true);
	for (i = 0; i < 300; i++) {
		fsim_run(s, 10);
		drove |= fleet_is_driver(s->instances[k].fleet);
	}
	CU_ASSERT_FALSE(drove);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	fsim_cut_domain(s, s->instances[k].domain, false);
	check_and_free(s);
}

static void busy_own_cell_is_passed_over_for_one_with_room(void)
{
	struct rng rng = {1};
	struct cell_view v[3] = {
		{true, false, true, 100, 50},
		{true, false, false, 100, 60},
		{true, false, false, 100, 20},
	};
	int i;

	CU_ASSERT_EQUAL(cell_choose(v, 3, 8, &rng), 0);
	v[0].free_cpu_milli = 7;
	v[2].free_cpu_milli = 7;
	for (i = 0; i < 10; i++)
		CU_ASSERT_EQUAL(cell_choose(v, 3, 8, &rng), 1);
	v[1].tried = true;
	CU_ASSERT_EQUAL(cell_choose(v, 3, 8, &rng), 0);
	v[0].reachable = false;
	CU_ASSERT_EQUAL(cell_choose(v, 3, 8, &rng), 2);
	v[2].tried = true;
	CU_ASSERT_EQUAL(cell_choose(v, 3, 8, &rng), 3);
}

/* A home that always took the emptiest cell would overrun it. */
static void emptiest_cell_does_not_get_all_jobs(void)
{
	struct rng rng = {1};
	struct cell_view v[4] = {
		{true, false, true, 100, 0},
		{true, false, false, 100, 60},
		{true, false, false, 100, 50},
		{true, false, false, 100, 40},
	};
	unsigned counts[4] = {0};
	int i;

	for (i = 0; i < 300; i++)
		counts[cell_choose(v, 4, 8, &rng)]++;
	CU_ASSERT_EQUAL(counts[0], 0);
	CU_ASSERT(counts[1] > counts[2]);
	CU_ASSERT(counts[1] < 250);
	CU_ASSERT(counts[2] > 50);
}

SUITE(cells)
{
	TEST(each_domain_has_its_own_driver);
	TEST(fleet_with_few_workers_has_one_driver);
	TEST(load_of_one_domain_spreads_to_the_others);
	TEST(load_beyond_all_capacity_is_refused_at_once);
	TEST(lost_driver_of_a_cell_stops_no_other_cell);
	TEST(callers_of_a_cell_without_driver_are_served);
	TEST(callers_of_a_cell_that_cannot_elect_are_served);
	TEST(cut_off_domain_keeps_its_driver);
	TEST(leaving_driver_of_a_cell_hands_over_its_runs);
	TEST(stopping_instance_answers_the_jobs_of_all_cells);
	TEST(restarted_fleet_stays_divided);
	TEST(instance_that_missed_the_division_drives_nothing);
	TEST(job_of_an_instance_that_starts_is_refused_as_not_run);
	TEST(lost_map_leaves_the_fleet_divided);
	TEST(fleet_with_an_earlier_version_is_not_divided);
	TEST(busy_own_cell_is_passed_over_for_one_with_room);
	TEST(emptiest_cell_does_not_get_all_jobs);
}
