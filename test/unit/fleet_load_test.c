/*
 * The load of the driver of leased workers: the same seed gives the same
 * jobs, each rule answers each job at most once, and none passes the bound.
 */
#include <string.h>

#include "bench/fleet_load.h"
#include "unit.h"
#include "util/log.h"

static const char profile_path[] = "test/bench/leased-workers.ini";

static void read_small(struct profile *p)
{
	log_level_set(LOG_ERROR);
	CU_ASSERT_FATAL(profile_read(p, profile_path));
	p->seconds = 6;
	p->workers_each = 2;
}

static double worth_of(const struct load *l,
		       void (*rule)(const struct load *, struct load_played *))
{
	struct load_played played;
	struct load_report r;

	rule(l, &played);
	load_report(l, &played, &r);
	load_played_free(&played);
	return r.worth;
}

static void same_seed_draws_the_same(void)
{
	struct load a, b;
	struct profile p;

	read_small(&p);
	load_draw(&a, &p, 7, 80, 8);
	load_draw(&b, &p, 7, 80, 8);
	CU_ASSERT_EQUAL(a.n_jobs, b.n_jobs);
	CU_ASSERT(a.n_jobs > 100);
	CU_ASSERT(!memcmp(a.jobs, b.jobs, a.n_jobs * sizeof(*a.jobs)));
	load_free(&a);
	load_free(&b);
}

static void half_load_is_served(void)
{
	struct load l;
	struct profile p;

	read_small(&p);
	load_draw(&l, &p, 1, 50, 8);
	CU_ASSERT(worth_of(&l, load_play_drive) > 0.9);
	CU_ASSERT(worth_of(&l, load_play_bound) > 0.999);
	load_free(&l);
}

/* Overload takes all from who comes first, and little from who refuses. */
static void overload_is_refused_and_bounded(void)
{
	double drive, first_come, urgent, bound;
	struct load l;
	struct profile p;

	read_small(&p);
	load_draw(&l, &p, 1, 160, 8);
	drive = worth_of(&l, load_play_drive);
	first_come = worth_of(&l, load_play_first_come);
	urgent = worth_of(&l, load_play_urgent_bound);
	bound = worth_of(&l, load_play_bound);
	CU_ASSERT(drive > 2 * first_come);
	CU_ASSERT(drive <= urgent);
	CU_ASSERT(urgent <= bound);
	CU_ASSERT(bound < 0.95);
	load_free(&l);
}

static void small_load(struct load *l, struct profile *p, struct load_job *jobs,
		       struct load_worker *worker)
{
	memset(l, 0, sizeof(*l));
	memset(p, 0, sizeof(*p));
	p->seconds = 1;
	p->window_ms = 1000;
	p->domains = 1;
	p->deadline_ms = 1000;
	p->n_kinds = 1;
	memset(worker, 0, sizeof(*worker));
	worker->cpu_milli = 1000;
	worker->slots = 1;
	worker->slow = 1;
	*l = (struct load){.profile = p,
			   .jobs = jobs,
			   .n_jobs = 2,
			   .workers = worker,
			   .n_workers = 1,
			   .until = 1000};
}

/* Two jobs of 400 ms want one slot for the same half second. */
static void bound_serves_what_is_worth_more(void)
{
	struct load_job jobs[2];
	struct load_played played;
	struct load_worker worker;
	struct load_report r;
	struct profile p;
	struct load l;
	int i;

	memset(jobs, 0, sizeof(jobs));
	for (i = 0; i < 2; i++)
		jobs[i] = (struct load_job){.n_tasks = 1,
					    .run_ms = {400},
					    .cpu_milli = 1000,
					    .objective_at = 450,
					    .deadline_at = 450,
					    .worth = 1 + 2 * i};
	small_load(&l, &p, jobs, &worker);
	load_play_bound(&l, &played);
	CU_ASSERT_DOUBLE_EQUAL(played.ends[1].in_time, 1, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(played.ends[0].in_time, 0.25, 0.001);
	load_report(&l, &played, &r);
	CU_ASSERT_DOUBLE_EQUAL(r.worth, (3 + 0.25) / 4, 0.001);
	load_played_free(&played);
}

static void first_come_keeps_the_order(void)
{
	struct load_job jobs[2];
	struct load_played played;
	struct load_worker worker;
	struct profile p;
	struct load l;
	int i;

	memset(jobs, 0, sizeof(jobs));
	for (i = 0; i < 2; i++)
		jobs[i] = (struct load_job){.at = i,
					    .n_tasks = 1,
					    .run_ms = {400},
					    .cpu_milli = 1000,
					    .objective_at = 450,
					    .deadline_at = 1000,
					    .worth = 1 + 2 * i};
	small_load(&l, &p, jobs, &worker);
	load_play_first_come(&l, &played);
	CU_ASSERT_EQUAL(played.ends[0].at, 400);
	CU_ASSERT_EQUAL(played.ends[1].at, 800);
	load_played_free(&played);
}

SUITE(fleet_load)
{
	TEST(same_seed_draws_the_same);
	TEST(half_load_is_served);
	TEST(overload_is_refused_and_bounded);
	TEST(bound_serves_what_is_worth_more);
	TEST(first_come_keeps_the_order);
}
