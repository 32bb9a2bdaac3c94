/*
 * Tests of fleets with far more instances than a map has members: what they
 * cost the store and each other, and that their callers are served.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fleet/fleet_state.h"
#include "sim/fleet_sim.h"
#include "unit.h"
#include "util/log.h"

enum {
	SEED = 11,
	LARGE = 150,
	DOMAINS = FSIM_DOMAINS,
	/* The users' target for 147 instances, after the start. */
	STORE_CALLS_PER_S_MAX = 150,
	LINKS_MAX = 200,
	SETTLE_MS = 6000,
	SECONDS = 10
};

static struct fsim *start_fleet(int n)
{
	struct fsim *s;

	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	s = fsim_new_large(SEED, n);
	fsim_run(s, SETTLE_MS);
	return s;
}

static void check_and_free(struct fsim *s)
{
	CU_ASSERT_EQUAL(s->n_double_runs, 0);
	CU_ASSERT_EQUAL(s->n_false_refusals, 0);
	fsim_free(s);
}

static int count_drivers(const struct fsim *s)
{
	int k, n = 0;

	for (k = 0; k < s->n_instances; k++)
		n += s->instances[k].cells &&
		     fleet_is_driver(cells_own(s->instances[k].cells));
	return n;
}

static int find_driver_of(const struct fsim *s, int domain)
{
	int k;

	for (k = domain; k < s->n_instances; k += DOMAINS)
		if (s->instances[k].cells &&
		    fleet_is_driver(cells_own(s->instances[k].cells)))
			return k;
	return -1;
}

static int count_links(const struct fsim *s, int k)
{
	int i, n = 0;

	for (i = 0; i < s->n_instances; i++)
		n += s->linked[k][i];
	return n;
}

static int most_links(const struct fsim *s)
{
	int k, n, most = 0;

	for (k = 0; k < s->n_instances; k++) {
		n = count_links(s, k);
		most = n > most ? n : most;
	}
	return most;
}

/* Submits one job a domain at a time; returns how many completed. */
static size_t serve(struct fsim *s, int n)
{
	size_t before = fsim_count_outcomes(s, FLEET_COMPLETED);
	int i;

	for (i = 0; i < n; i++) {
		fsim_submit(s, i % DOMAINS, 2, 40);
		fsim_run(s, 50);
	}
	fsim_run(s, 200);
	return fsim_count_outcomes(s, FLEET_COMPLETED) - before;
}

static uint64_t store_calls(const struct fsim *s)
{
	return s->store.reads + s->store.writes;
}

static void large_fleet_divides_and_serves(void)
{
	struct fsim *s = start_fleet(LARGE);
	int k;

	for (k = 0; k < LARGE; k++)
		CU_ASSERT_EQUAL(cells_count(s->instances[k].cells), DOMAINS);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	CU_ASSERT_EQUAL(serve(s, 60), 60);
	check_and_free(s);
}

/* Instances beyond the map's room kept writing it, 18,000 times a second. */
static void calls_to_the_store_are_bounded(void)
{
	struct fsim *s = start_fleet(LARGE);
	uint64_t calls, writes = s->store.writes;

	/* A few for each instance, from its start until it is settled. */
	CU_ASSERT(store_calls(s) < 40 * LARGE);
	CU_ASSERT(writes < LARGE);
	calls = store_calls(s);
	writes = s->store.writes;
	fsim_run(s, SECONDS * 1000);
	CU_ASSERT(store_calls(s) - calls < SECONDS * STORE_CALLS_PER_S_MAX);
	CU_ASSERT_EQUAL(s->store.writes, writes);
	check_and_free(s);
}

static void links_and_messages_do_not_grow_with_the_fleet(void)
{
	struct fsim *s = start_fleet(LARGE);
	unsigned long sent = s->n_messages;
	unsigned long members = FLEET_VOTERS_MAX * (FLEET_VOTERS_MAX - 1);
	unsigned long homes = LARGE / DOMAINS;
	unsigned long per_cell = 10 * (members + 3 * homes);

	CU_ASSERT(most_links(s) < LINKS_MAX);
	fsim_run(s, SECONDS * 1000);
	sent = s->n_messages - sent;
	/* A tenth more for what is not a heartbeat or report. */
	CU_ASSERT(sent < SECONDS * DOMAINS * per_cell * 11 / 10);
	check_and_free(s);
}

/* Fills a domain's cell; returns how many of two further jobs are served. */
static size_t overfill_a_domain(struct fsim *s)
{
	size_t i, before = fsim_count_outcomes(s, FLEET_COMPLETED);

	for (i = 0; i < 4; i++)
		fsim_submit(s, 0, 2, 600);
	fsim_run(s, 250);
	for (i = 0; i < 2; i++)
		fsim_submit(s, 0, 2, 40);
	fsim_run(s, 150);
	before = fsim_count_outcomes(s, FLEET_COMPLETED) - before;
	fsim_run(s, 600);
	return before;
}

/* Its own cell is full, so a home opens a link to another one's driver. */
static void load_of_one_domain_spreads_over_new_links(void)
{
	struct fsim *s = start_fleet(LARGE);

	CU_ASSERT_EQUAL(overfill_a_domain(s), 2);
	check_and_free(s);
}

static void lost_drivers_are_replaced(void)
{
	struct fsim *s = start_fleet(LARGE);
	int k;

	for (k = 0; k < DOMAINS; k++)
		fsim_kill(s, find_driver_of(s, k));
	fsim_run(s, 1000);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	CU_ASSERT_EQUAL(serve(s, 30), 30);
	/* The new drivers learn of each other from the maps. */
	fsim_run(s, 1000);
	CU_ASSERT_EQUAL(overfill_a_domain(s), 2);
	check_and_free(s);
}

/* The places of members that are lost go to instances that had none. */
static void lost_members_are_replaced(void)
{
	struct fsim *s = start_fleet(LARGE);
	struct fleet *own = cells_own(s->instances[LARGE - 1].cells);
	size_t i, n = 0;
	int k;

	CU_ASSERT_EQUAL(own->map.n_members, FLEET_VOTERS_MAX);
	for (k = 0; k < LARGE - DOMAINS && n < 14; k += DOMAINS) {
		own = cells_own(s->instances[k].cells);
		if (!fleet_is_member(own, own->opt.self.id))
			continue;
		fsim_kill(s, k);
		n++;
	}
	fsim_run(s, 8000);
	for (k = 0; !s->instances[k].cells; k += DOMAINS)
		;
	own = cells_own(s->instances[k].cells);
	CU_ASSERT_EQUAL(own->map.n_members, FLEET_VOTERS_MAX);
	for (i = 0; i < own->map.n_members; i++)
		CU_ASSERT(own->map.members[i].id == own->opt.self.id ||
			  heartbeat_find_peer(own, own->map.members[i].id) ||
			  !fleet_is_member(own, own->opt.self.id));
	CU_ASSERT_EQUAL(serve(s, 30), 30);
	check_and_free(s);
}

/* All stop and start again: the map is full of earlier incarnations. */
static void large_fleet_returns_after_a_full_stop(void)
{
	struct fsim *s = start_fleet(LARGE);
	int k;

	for (k = 0; k < LARGE; k++)
		fsim_kill(s, k);
	fsim_run(s, 3000);
	for (k = 0; k < LARGE; k++)
		fsim_start(s, k);
	fsim_run(s, SETTLE_MS);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	CU_ASSERT_EQUAL(serve(s, 30), 30);
	CU_ASSERT_EQUAL(overfill_a_domain(s), 2);
	check_and_free(s);
}

/* From 9 instances, which are all members, to 150. */
static void fleet_grows_while_it_serves(void)
{
	struct fsim *s = start_fleet(LARGE);
	int k, step = 30;

	for (k = 9; k < LARGE; k++)
		fsim_kill(s, k);
	fsim_run(s, 8000);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	for (k = 9; k < LARGE; k++) {
		fsim_start(s, k);
		if (k % step)
			continue;
		fsim_run(s, 1500); /* until the new ones are ready */
		CU_ASSERT_EQUAL(serve(s, 12), 12);
	}
	fsim_run(s, SETTLE_MS);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	CU_ASSERT_EQUAL(serve(s, 30), 30);
	CU_ASSERT(most_links(s) < LINKS_MAX);
	check_and_free(s);
}

/* The instances of that domain belong to no cell and get no reports. */
static void domain_without_workers_serves_its_callers(void)
{
	struct fsim *s;
	size_t i, before;

	log_level_set(getenv("FLEET_LOG") ? LOG_INFO : LOG_ERROR);
	s = fsim_new_without_workers(SEED, 30);
	fsim_run(s, SETTLE_MS);
	CU_ASSERT_EQUAL(cells_count(s->instances[0].cells), DOMAINS - 1);
	CU_ASSERT_EQUAL(serve(s, 30), 30);
	fsim_kill(s, find_driver_of(s, 0));
	fsim_run(s, 1500);
	before = fsim_count_outcomes(s, FLEET_COMPLETED);
	for (i = 0; i < 10; i++) {
		fsim_submit(s, DOMAINS - 1, 2, 40);
		fsim_run(s, 100);
	}
	fsim_run(s, 200);
	CU_ASSERT_EQUAL(fsim_count_outcomes(s, FLEET_COMPLETED) - before, 10);
	check_and_free(s);
}

/*
 * One instance gets a damaged or truncated copy of each message besides the
 * message itself. It may serve badly meanwhile, but its process goes on, and all
 * serve again afterwards.
 */
static void damaged_messages_stop_no_process(void)
{
	struct fsim *s;
	uint64_t seed;
	int driver;

	log_level_set(LOG_ERROR + 1);
	for (seed = 1; seed <= 20; seed++) {
		s = fsim_new_large(seed, 12);
		fsim_run(s, SETTLE_MS);
		driver = find_driver_of(s, 0);
		/* The next instance of that domain, or its driver. */
		s->damaged = seed % 2 ? driver : (driver + DOMAINS) % 12;
		serve(s, 30);
		s->damaged = -1;
		fsim_run(s, 5000);
		CU_ASSERT_EQUAL(s->n_double_runs, 0);
		CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
		CU_ASSERT_EQUAL(serve(s, 12), 12);
		fsim_free(s);
	}
}

static void cut_off_domain_serves_its_callers(void)
{
	struct fsim *s = start_fleet(LARGE);
	size_t i, before;

	fsim_cut_domain(s, 1, true);
	fsim_run(s, 1500);
	before = fsim_count_outcomes(s, FLEET_COMPLETED);
	for (i = 0; i < 10; i++) {
		fsim_submit(s, 1, 2, 40);
		fsim_submit(s, 0, 2, 40);
		fsim_run(s, 100);
	}
	fsim_run(s, 200);
	CU_ASSERT_EQUAL(fsim_count_outcomes(s, FLEET_COMPLETED) - before, 20);
	fsim_cut_domain(s, 1, false);
	fsim_run(s, 3000);
	CU_ASSERT_EQUAL(count_drivers(s), DOMAINS);
	CU_ASSERT_EQUAL(serve(s, 30), 30);
	check_and_free(s);
}

/* The users' contactTimeoutMs and one beat of a worker. */
enum {
	CAPACITY_BOUND_SMALL_MS = 3000 + 1500,
	CAPACITY_BOUND_MS = 4000 + 1500,
	STORE_SILENT_MS = 3000
};

/* What happens while the capacity of workers shrinks. */
enum disruption { NO_DISRUPTION, DRIVER_KILLED, STORE_SILENT, LISTS_LOST };

/* Keeps all workers busy for that time. */
static void submit_much(struct fsim *s, int64_t ms)
{
	int64_t until = s->now + ms;
	int i = 0;

	while (s->now < until) {
		fsim_submit(s, i++ % DOMAINS, 4, 80);
		fsim_run(s, 15);
	}
}

/* Gives every other worker that capacity. */
static void set_capacity(struct fsim *s, uint32_t cpu_milli)
{
	int k;

	for (k = 0; k < FSIM_WORKERS; k += 2)
		s->workers[k].info.cpu_milli = cpu_milli;
}

static int64_t last_start_over_capacity(const struct fsim *s)
{
	int64_t last = 0;
	int k;

	for (k = 0; k < FSIM_WORKERS; k++)
		if (s->workers[k].over_capacity_at > last)
			last = s->workers[k].over_capacity_at;
	return last;
}

/* Returns when the store and a driver are there again. */
static int64_t disrupt(struct fsim *s, enum disruption how)
{
	int driver = fsim_find_driver(s);

	if (how == DRIVER_KILLED) {
		submit_much(s, 100);
		fsim_kill(s, driver);
		submit_much(s, 400);
		fsim_start(s, driver);
	} else if (how == STORE_SILENT) {
		s->store.silent = true;
		submit_much(s, STORE_SILENT_MS);
		s->store.silent = false;
	} else if (how == LISTS_LOST) {
		s->lose_lists = 2;
	}
	return how == STORE_SILENT ? s->now : 0;
}

/*
 * Returns the time from the change of the entries, or the end of the store's
 * silence, to the last start over the capacity, under load all the while.
 */
static int64_t time_to_last_start_over(int n, uint32_t cpu_milli,
				       enum disruption how)
{
	struct fsim *s = start_fleet(n);
	int64_t from, back_at, last;

	submit_much(s, 500);
	set_capacity(s, cpu_milli);
	from = s->now;
	back_at = disrupt(s, how);
	submit_much(s, CAPACITY_BOUND_MS + 500);
	last = last_start_over_capacity(s);
	/* Without a start over it the load would have shown nothing. */
	CU_ASSERT(last > from);
	set_capacity(s, 2 * FSIM_TASK_CPU_MILLI);
	fsim_run(s, 1000);
	CU_ASSERT_EQUAL(serve(s, 12), 12);
	check_and_free(s);
	return last - (back_at ? back_at : from);
}

static void check_shrunk(int n, int64_t bound_ms)
{
	static const enum disruption all[] = {NO_DISRUPTION, DRIVER_KILLED,
					      STORE_SILENT, LISTS_LOST};
	size_t i;

	for (i = 0; i < sizeof(all) / sizeof(*all); i++) {
		int64_t half = time_to_last_start_over(n, FSIM_TASK_CPU_MILLI,
						       all[i]);
		int64_t none = time_to_last_start_over(n, 0, all[i]);

		CU_ASSERT(half <= bound_ms);
		CU_ASSERT(none <= bound_ms);
		if (getenv("FLEET_TIMES"))
			printf("%d instances, disruption %d: %lld ms shrunk "
			       "by half, %lld ms to zero\n",
			       n, (int)all[i], (long long)half,
			       (long long)none);
	}
}

static void small_fleet_respects_shrunk_capacity_in_time(void)
{
	check_shrunk(9, CAPACITY_BOUND_SMALL_MS);
}

static void grown_fleet_respects_shrunk_capacity_in_time(void)
{
	check_shrunk(33, CAPACITY_BOUND_MS);
}

static void large_fleet_respects_shrunk_capacity_in_time(void)
{
	check_shrunk(LARGE, CAPACITY_BOUND_MS);
}

SUITE(large_fleet)
{
	TEST(large_fleet_divides_and_serves);
	TEST(calls_to_the_store_are_bounded);
	TEST(links_and_messages_do_not_grow_with_the_fleet);
	TEST(load_of_one_domain_spreads_over_new_links);
	TEST(lost_drivers_are_replaced);
	TEST(lost_members_are_replaced);
	TEST(large_fleet_returns_after_a_full_stop);
	TEST(fleet_grows_while_it_serves);
	TEST(domain_without_workers_serves_its_callers);
	TEST(damaged_messages_stop_no_process);
	TEST(cut_off_domain_serves_its_callers);
	TEST(small_fleet_respects_shrunk_capacity_in_time);
	TEST(grown_fleet_respects_shrunk_capacity_in_time);
	TEST(large_fleet_respects_shrunk_capacity_in_time);
}
