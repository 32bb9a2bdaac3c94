/*
 * Checks the load benchmark of the driver of leased workers: the same seed
 * draws the same jobs, the upper bound is not exceeded, and each baseline
 * serves jobs by its own rule.
 */
#include <string.h>

#include "bench/fleet_load.h"
#include "unit.h"
#include "util/log.h"

static const char profile_path[] = "test/bench/leased-workers.ini";

static void read_shortened_profile(struct profile *p)
{
	log_level_set(LOG_ERROR);
	CU_ASSERT_FATAL(profile_read(p, profile_path));
	p->seconds = 6;
	p->workers_each = 2;
}

static double earned_worth(const struct fleet_load *l,
			   void (*rule)(const struct fleet_load *,
					struct fleet_load_results *))
{
	struct fleet_load_results results;
	struct fleet_load_report r;

	rule(l, &results);
	fleet_load_report(l, &results, &r);
	fleet_load_results_free(&results);
	return r.worth;
}

static void same_seed_draws_the_same_jobs(void)
{
	struct fleet_load a, b;
	struct profile p;

	read_shortened_profile(&p);
	fleet_load_draw(&a, &p, 7, 80, 8);
	fleet_load_draw(&b, &p, 7, 80, 8);
	CU_ASSERT_EQUAL(a.n_jobs, b.n_jobs);
	CU_ASSERT(a.n_jobs > 100);
	CU_ASSERT(!memcmp(a.jobs, b.jobs, a.n_jobs * sizeof(*a.jobs)));
	fleet_load_free(&a);
	fleet_load_free(&b);
}

static void half_load_is_served_in_time(void)
{
	struct fleet_load l;
	struct profile p;

	read_shortened_profile(&p);
	fleet_load_draw(&l, &p, 1, 50, 8);
	CU_ASSERT(earned_worth(&l, fleet_load_simulate_driver) > 0.9);
	CU_ASSERT(earned_worth(&l, fleet_load_compute_bound) > 0.999);
	fleet_load_free(&l);
}

/*
 * Under overload first come first served answers nearly all jobs late. The
 * driver refuses some jobs and serves the others in time.
 */
static void driver_earns_more_under_overload_within_the_bounds(void)
{
	double drive, first_come, urgent, bound;
	struct fleet_load l;
	struct profile p;

	read_shortened_profile(&p);
	fleet_load_draw(&l, &p, 1, 160, 8);
	drive = earned_worth(&l, fleet_load_simulate_driver);
	first_come = earned_worth(&l, fleet_load_run_first_come);
	urgent = earned_worth(&l, fleet_load_compute_urgent_bound);
	bound = earned_worth(&l, fleet_load_compute_bound);
	CU_ASSERT(drive > 2 * first_come);
	CU_ASSERT(drive <= urgent);
	CU_ASSERT(urgent <= bound);
	CU_ASSERT(bound < 0.95);
	fleet_load_free(&l);
}

static void make_two_job_load(struct fleet_load *l, struct profile *p,
			      struct fleet_load_job *jobs,
			      struct fleet_load_worker *worker)
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
	worker->run_time_factor = 1;
	*l = (struct fleet_load){.profile = p,
				 .jobs = jobs,
				 .n_jobs = 2,
				 .workers = worker,
				 .n_workers = 1,
				 .end_at = 1000};
}

/*
 * Two jobs of 400 ms compete for one slot. The bound counts in steps of 50 ms
 * and includes the step in which the objective of 450 ms lies, so that 500 ms
 * are available: the whole job of more worth and a quarter of the other.
 */
static void bound_serves_the_job_of_more_worth_first(void)
{
	struct fleet_load_job jobs[2];
	struct fleet_load_results results;
	struct fleet_load_worker worker;
	struct fleet_load_report r;
	struct profile p;
	struct fleet_load l;
	int i;

	memset(jobs, 0, sizeof(jobs));
	for (i = 0; i < 2; i++)
		jobs[i] = (struct fleet_load_job){.n_tasks = 1,
						  .run_ms = {400},
						  .cpu_milli = 1000,
						  .objective_at = 450,
						  .deadline_at = 450,
						  .worth = 1 + 2 * i};
	make_two_job_load(&l, &p, jobs, &worker);
	fleet_load_compute_bound(&l, &results);
	CU_ASSERT_DOUBLE_EQUAL(results.answers[1].in_time_part, 1, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(results.answers[0].in_time_part, 0.25, 0.001);
	fleet_load_report(&l, &results, &r);
	CU_ASSERT_DOUBLE_EQUAL(r.worth, (3 + 0.25) / 4, 0.001);
	fleet_load_results_free(&results);
}

static void first_come_serves_in_order_of_arrival(void)
{
	struct fleet_load_job jobs[2];
	struct fleet_load_results results;
	struct fleet_load_worker worker;
	struct profile p;
	struct fleet_load l;
	int i;

	memset(jobs, 0, sizeof(jobs));
	for (i = 0; i < 2; i++)
		jobs[i] = (struct fleet_load_job){.submitted_at = i,
						  .n_tasks = 1,
						  .run_ms = {400},
						  .cpu_milli = 1000,
						  .objective_at = 450,
						  .deadline_at = 1000,
						  .worth = 1 + 2 * i};
	make_two_job_load(&l, &p, jobs, &worker);
	fleet_load_run_first_come(&l, &results);
	CU_ASSERT_EQUAL(results.answers[0].answered_at, 400);
	CU_ASSERT_EQUAL(results.answers[1].answered_at, 800);
	fleet_load_results_free(&results);
}

SUITE(fleet_load)
{
	TEST(same_seed_draws_the_same_jobs);
	TEST(half_load_is_served_in_time);
	TEST(driver_earns_more_under_overload_within_the_bounds);
	TEST(bound_serves_the_job_of_more_worth_first);
	TEST(first_come_serves_in_order_of_arrival);
}
