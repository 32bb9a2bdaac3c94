/*
 * A load for the driver of leased workers, drawn from a profile file, and
 * what three ways of serving it earn: the real decision code (src/drive),
 * first come first served, and a bound that nobody can pass.
 * All on a virtual clock in ms that begins at zero.
 */
#ifndef BENCH_FLEET_LOAD_H
#define BENCH_FLEET_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sycamoreshore/types.h"

enum {
	PROFILE_KINDS_MAX = 8,
	PROFILE_BREEDS_MAX = 4, /* kinds of workers */
	PROFILE_TROUBLES_MAX = 16,
	LOAD_WIDTH_MAX = 64, /* tasks of one job */
	LOAD_LATE_FACTOR = 3, /* times the objective that late worth lasts */
	LOAD_LATE_PERCENT = 20, /* of the worth */
	LOAD_SIZES = 3 /* classes of size: usual, the fifth below, largest */
};

/* A kind of job. Percentages of a mean are standard deviations. */
struct profile_kind {
	char name[SYC_NAME_MAX];
	uint32_t weight; /* share of the jobs */
	uint32_t worth; /* of a job of mean work; any unit */
	uint32_t priority;
	uint32_t width_mean, width_spread_percent, width_max;
	uint32_t run_mean_ms, run_spread_percent, run_max_ms;
	uint32_t uneven_percent; /* between tasks of one job */
	uint32_t cpu_milli_mean, cpu_milli_max;
	uint32_t estimate_off_percent; /* at most, by kind */
	uint32_t objective_percent, objective_add_ms;
	uint32_t attempts;
};

struct profile_breed {
	char name[SYC_NAME_MAX];
	uint32_t weight; /* share of the workers */
	uint32_t cpu_milli;
	uint32_t slow_percent; /* run time over the usual one */
};

enum trouble_kind {
	TROUBLE_DARK = 1, /* answers nothing; what ran is lost */
	TROUBLE_SLOW, /* runs take `factor` times as long */
	TROUBLE_FAIL, /* each task ends as failed */
	TROUBLE_BURST /* `factor` times the jobs */
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
	uint32_t seconds;
	uint32_t instances; /* that callers hand jobs to */
	uint32_t workers_each; /* per instance */
	uint32_t domains;
	uint32_t window_ms; /* of the worst window */
	uint32_t deadline_ms; /* that a caller waits */
	uint32_t link_ms; /* one way, to a worker or between instances */
	struct profile_kind kinds[PROFILE_KINDS_MAX];
	size_t n_kinds;
	struct profile_breed breeds[PROFILE_BREEDS_MAX];
	size_t n_breeds;
	struct profile_trouble troubles[PROFILE_TROUBLES_MAX];
	size_t n_troubles;
};

/* False after an error message on standard error. */
bool profile_read(struct profile *p, const char *path);

struct load_trouble {
	enum trouble_kind kind;
	int64_t from, until;
	double factor;
};

struct load_worker {
	uint32_t breed;
	uint32_t domain;
	uint32_t cpu_milli;
	uint32_t slots; /* for tasks of the mean size */
	double slow; /* run time over the usual one */
	struct load_trouble troubles[PROFILE_TROUBLES_MAX];
	size_t n_troubles;
};

struct load_job {
	int64_t at;
	uint32_t kind;
	uint32_t domain;
	uint32_t size; /* class: 0 usual, 1 the fifth below, 2 largest */
	uint32_t n_tasks;
	uint32_t run_ms[LOAD_WIDTH_MAX]; /* on a usual worker */
	uint32_t cpu_milli;
	uint32_t estimate_ms;
	int64_t objective_at;
	int64_t deadline_at;
	double worth;
};

struct load {
	const struct profile *profile;
	struct load_job *jobs; /* by time */
	size_t n_jobs;
	struct load_worker *workers;
	size_t n_workers;
	int64_t until; /* no job comes later */
};

/*
 * Draws jobs for `percent` of the room that sound workers have, with
 * `instances` in place of the profile's.
 */
void load_draw(struct load *l, const struct profile *p, uint64_t seed,
	       uint32_t percent, uint32_t instances);
void load_free(struct load *l);
/* Of that worker at that time, or NULL. */
const struct load_trouble *load_trouble_at(const struct load_worker *w,
					   enum trouble_kind kind, int64_t now);
/* How long a task of `run_ms` takes there when it begins at `now`. */
int64_t load_run_ms(const struct load_worker *w, uint32_t run_ms, int64_t now);

/* How a job was answered. */
struct load_end {
	int64_t at; /* when its answer was there; zero: never */
	bool served;
	bool refused;
	/* Of a job whose work is divided: parts from 0 to 1. */
	double in_time, late;
};

struct load_played {
	struct load_end *ends; /* by job */
	bool divided; /* jobs are served in parts */
	uint64_t starts;
	double wasted_core_s; /* of runs that were stopped or lost */
	double decide_us; /* of a processor per start; the drive alone */
};

/* The real decision code. */
void load_play_drive(const struct load *l, struct load_played *out);
/* Whole jobs in the order of their arrival, exact room, no refusal. */
void load_play_first_come(const struct load *l, struct load_played *out);
/* The most that anybody could earn in slots of the mean task's size. */
void load_play_bound(const struct load *l, struct load_played *out);
/* The same, but no job may take room that a more urgent one can use. */
void load_play_urgent_bound(const struct load *l, struct load_played *out);
void load_played_free(struct load_played *p);

/* Shares of the worth that was owed, from 0 to 1. */
struct load_report {
	double worth;
	double by_kind[PROFILE_KINDS_MAX];
	double by_size[LOAD_SIZES];
	double worst_domain;
	double worst_window;
	double served, refused;
	/* Of served jobs of the first kind: its p99 over its objective. */
	double p99_over_objective;
};

void load_report(const struct load *l, const struct load_played *p,
		 struct load_report *r);

/* One line of a plot: earned worth by load. */
struct plot_line {
	const char *name;
	const char *color;
	const double *y;
};

/* Writes an SVG of lines over `x` in percent; false when it cannot. */
bool plot_write(const char *path, const double *x, size_t n,
		const struct plot_line *lines, size_t n_lines);

#endif
