/*
 * Draws a load for the driver of leased workers from a profile file and
 * computes how much worth each of these rules earns from it: the driver's own
 * code (src/drive), first come first served, and two upper bounds. All of them
 * run on a virtual clock in ms that begins at zero.
 */
#ifndef BENCH_FLEET_LOAD_H
#define BENCH_FLEET_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sycamoreshore/types.h"

enum {
	PROFILE_KINDS_MAX = 8,
	PROFILE_WORKER_TYPES_MAX = 4,
	PROFILE_TROUBLES_MAX = 16,
	FLEET_LOAD_TASKS_MAX = 64, /* of one job */
	/*
	 * A job that misses its objective but is answered within
	 * FLEET_LOAD_LATE_FACTOR times the objective earns
	 * FLEET_LOAD_LATE_PERCENT of its worth.
	 */
	FLEET_LOAD_LATE_FACTOR = 3,
	FLEET_LOAD_LATE_PERCENT = 20,
	FLEET_LOAD_SIZE_CLASSES = 3
};

/* A kind of job. Spreads are standard deviations in percent of the mean. */
struct profile_kind {
	char name[SYC_NAME_MAX];
	uint32_t weight; /* share of the jobs */
	uint32_t worth; /* of a job of mean work; any unit */
	uint32_t priority; /* zero is the most urgent */
	uint32_t width_mean, width_spread_percent, width_max; /* tasks */
	uint32_t run_mean_ms, run_spread_percent, run_max_ms;
	uint32_t uneven_percent; /* spread between tasks of one job */
	uint32_t cpu_milli_mean, cpu_milli_max;
	uint32_t estimate_off_percent; /* largest error of the estimate */
	uint32_t objective_percent, objective_add_ms;
	uint32_t attempts;
};

struct profile_worker_type {
	char name[SYC_NAME_MAX];
	char kind[SYC_NAME_MAX]; /* that workers state; empty: the name */
	uint32_t weight; /* share of the workers */
	uint32_t cpu_milli;
	uint32_t slow_percent; /* run time relative to a usual worker */
};

enum trouble_kind {
	TROUBLE_CRASH = 1, /* answers no call and loses its runs */
	TROUBLE_SLOW, /* runs take `factor` times as long */
	TROUBLE_FAIL, /* each task ends as failed */
	TROUBLE_BURST /* `factor` times as many jobs arrive */
};

struct profile_trouble {
	char name[SYC_NAME_MAX];
	char how[SYC_NAME_MAX];
	enum trouble_kind kind;
	uint32_t at_ms, for_ms;
	uint32_t share_percent; /* of the workers */
	uint32_t factor_percent;
};

struct profile {
	uint32_t seconds; /* in which jobs arrive */
	uint32_t instances; /* that callers submit jobs to */
	uint32_t workers_each; /* per instance */
	uint32_t domains;
	uint32_t window_ms; /* length of the windows in the report */
	uint32_t deadline_ms; /* how long a caller waits */
	uint32_t link_ms; /* one way, to a worker or between instances */
	struct profile_kind kinds[PROFILE_KINDS_MAX];
	size_t n_kinds;
	struct profile_worker_type worker_types[PROFILE_WORKER_TYPES_MAX];
	size_t n_worker_types;
	struct profile_trouble troubles[PROFILE_TROUBLES_MAX];
	size_t n_troubles;
};

/*
 * Reads a profile file. Returns false after an error message on standard
 * error.
 */
bool profile_read(struct profile *p, const char *path);

struct fleet_load_trouble {
	enum trouble_kind kind;
	int64_t begin_at, end_at;
	double factor;
};

struct fleet_load_worker {
	uint32_t worker_type; /* index in the profile */
	uint32_t domain;
	uint32_t cpu_milli;
	uint32_t slots; /* for tasks of the mean size */
	double run_time_factor; /* run time relative to a usual worker */
	struct fleet_load_trouble troubles[PROFILE_TROUBLES_MAX];
	size_t n_troubles;
};

struct fleet_load_job {
	int64_t submitted_at;
	uint32_t kind; /* index in the profile */
	uint32_t domain;
	/*
	 * Class by work within the kind: 2 is the largest tenth, 1 the fifth
	 * below it, 0 the rest.
	 */
	uint32_t size_class;
	uint32_t n_tasks;
	uint32_t run_ms[FLEET_LOAD_TASKS_MAX]; /* on a usual worker */
	uint32_t cpu_milli;
	uint32_t estimate_ms;
	int64_t objective_at;
	int64_t deadline_at;
	double worth;
};

struct fleet_load {
	const struct profile *profile;
	struct fleet_load_job *jobs; /* sorted by time */
	size_t n_jobs;
	struct fleet_load_worker *workers;
	size_t n_workers;
	int64_t end_at; /* no job arrives at or after this time */
};

/*
 * Draws the workers, and jobs whose work is `percent` of the capacity that all
 * workers have together while they have no troubles. `instances` replaces the
 * number of instances in the profile.
 */
void fleet_load_draw(struct fleet_load *l, const struct profile *p,
		     uint64_t seed, uint32_t percent, uint32_t instances);
void fleet_load_free(struct fleet_load *l);
/* Returns the worker's trouble of that kind at `now`, or NULL. */
const struct fleet_load_trouble *fleet_load_trouble_at(
	const struct fleet_load_worker *w, enum trouble_kind kind, int64_t now);
/* Returns how long a task of `run_ms` takes on `w` if it starts at `now`. */
int64_t fleet_load_run_ms(const struct fleet_load_worker *w, uint32_t run_ms,
			  int64_t now);

/* How a job was answered. */
struct fleet_load_answer {
	int64_t answered_at; /* zero if the job was not answered */
	bool served; /* all tasks completed */
	bool refused;
	/*
	 * In divided results, the parts of the job's work that are done in
	 * time and late, from 0 to 1; `served` is not set.
	 */
	double in_time_part, late_part;
};

struct fleet_load_results {
	struct fleet_load_answer *answers; /* by job */
	bool is_divided; /* jobs may be served in part */
	uint64_t starts;
	double lost_core_s; /* of runs that failed or were stopped or lost */
	double decision_us_per_start; /* processor time of src/drive */
};

/* Serves the load by the driver's own code. */
void fleet_load_simulate_driver(const struct fleet_load *l,
				struct fleet_load_results *results);
/*
 * Serves whole jobs in the order of their arrival, with exact knowledge of
 * the free capacity and without refusals.
 */
void fleet_load_run_first_come(const struct fleet_load *l,
			       struct fleet_load_results *results);
/*
 * Computes an upper bound of the worth that any rule can earn. It counts the
 * capacity in slots of the mean task's size.
 */
void fleet_load_compute_bound(const struct fleet_load *l,
			      struct fleet_load_results *results);
/*
 * Computes the same bound for rules that give a job only capacity that no more
 * urgent job can use.
 */
void fleet_load_compute_urgent_bound(const struct fleet_load *l,
				     struct fleet_load_results *results);
void fleet_load_results_free(struct fleet_load_results *results);

/* Earned shares of the worth that the jobs offered, from 0 to 1. */
struct fleet_load_report {
	double worth;
	double by_kind[PROFILE_KINDS_MAX];
	double by_size[FLEET_LOAD_SIZE_CLASSES];
	double worst_domain; /* the smallest share of a domain */
	double worst_window; /* the smallest share of a window */
	double served, refused; /* shares of the jobs */
	double held; /* refused after a wait, share of the jobs */
	/* p99 of response time over objective, of served jobs of kind 0. */
	double p99_over_objective;
};

void fleet_load_report(const struct fleet_load *l,
		       const struct fleet_load_results *results,
		       struct fleet_load_report *r);

/* One line of a plot: earned worth by load. */
struct plot_series {
	const char *name;
	const char *color;
	const double *y; /* shares from 0 to 1 */
};

/*
 * Writes an SVG of the series over `x` in percent. Returns false if there are
 * fewer than two points or the file cannot be written.
 */
bool plot_write(const char *path, const double *x, size_t n,
		const struct plot_series *series, size_t n_series);

#endif
