/*
 * A fleet on a virtual clock: real instances (src/fleet, src/drive), workers
 * that heed fences and leases, callers that hand jobs in again, a store, and
 * a network that delays, cuts and carries orders out late. It asserts that
 * no task has two runs at one time, and counts what callers get.
 */
#ifndef TEST_FLEET_SIM_H
#define TEST_FLEET_SIM_H

#include "fleet/fleet.h"
#include "fake_store.h"

enum {
	FSIM_INSTANCES = 6,
	FSIM_DOMAINS = 3,
	FSIM_WORKERS = 12,
	FSIM_RUNS = 16, /* on one worker */
	FSIM_ENDS = 64, /* of one worker, not taken note of */
	FSIM_JOBS = 512
};

struct fsim;

struct fsim_instance {
	struct fsim *sim;
	struct fleet *fleet; /* NULL while it is down */
	struct fake_store_client *store; /* of this life */
	struct syc_instance inst;
	int domain;
	int64_t paused_until;
	bool cut; /* from all other instances */
};

struct fsim_run {
	struct drive_task task;
	uint32_t number;
	int64_t began, ends;
	bool stalled;
};

struct fsim_end {
	uint64_t number;
	struct drive_task task;
	uint32_t run;
	enum drive_how how;
};

struct fsim_worker {
	struct drive_worker info;
	int domain;
	bool up;
	bool listed;
	bool cut; /* from all instances */
	bool mute; /* carries orders out, but its answers are lost */
	uint64_t fence;
	int64_t lease_until; /* on its clock */
	int64_t clock_ahead;
	struct fsim_run runs[FSIM_RUNS];
	size_t n_runs;
	struct fsim_end ends[FSIM_ENDS];
	size_t n_ends;
	uint64_t last_end;
};

/* A job of a caller, and how it stands. */
struct fsim_job {
	char id[DRIVE_ID_MAX];
	int domain; /* of its caller */
	uint32_t n_tasks;
	uint32_t run_ms;
	int home; /* instance that has it; -1: none */
	uint64_t home_id; /* the life of that instance */
	int64_t sent_at, deadline_at, again_at; /* zero: not */
	bool answered;
	enum fleet_outcome outcome;
	bool started; /* a task of it was started, ever */
	bool unsure; /* an earlier try was not refused */
	int64_t began_at; /* of the first try */
	int64_t ended_at;
};

struct fsim_event;
struct fsim_client;

struct fsim {
	int64_t now;
	struct rng rng;
	struct fake_store store;
	struct fsim_instance instances[FSIM_INSTANCES];
	struct fsim_worker workers[FSIM_WORKERS];
	struct fsim_job jobs[FSIM_JOBS];
	size_t n_jobs;
	bool linked[FSIM_INSTANCES][FSIM_INSTANCES];
	bool domain_cut[FSIM_DOMAINS]; /* from the other domains */
	bool impatient; /* callers leave a home that does not answer */
	unsigned late_percent; /* of orders, carried out 2 to 12 s later */
	struct fsim_client *clients; /* of the store, also of past lives */
	struct fsim_event *events; /* in the order of their times */
	uint64_t next_id;
	/* what broke */
	unsigned twice; /* two runs of a task at one time */
	unsigned false_refusals; /* said not to have run, though it had */
	char message[160]; /* of the first */
	bool trace; /* prints what happens */
};

/* Starts all instances and workers and runs until one drives. */
struct fsim *fsim_new(uint64_t seed);
void fsim_free(struct fsim *s);
void fsim_run(struct fsim *s, int64_t ms);

/* A caller of `domain` hands in a job. */
void fsim_submit(struct fsim *s, int domain, uint32_t n_tasks, uint32_t run_ms);

void fsim_kill(struct fsim *s, int instance);
void fsim_start(struct fsim *s, int instance);
void fsim_pause(struct fsim *s, int instance, int64_t ms);
void fsim_leave(struct fsim *s, int instance);
void fsim_cut_domain(struct fsim *s, int domain, bool cut);
void fsim_cut_instance(struct fsim *s, int instance, bool cut);
void fsim_crash_worker(struct fsim *s, int worker);
void fsim_list_worker(struct fsim *s, int worker, bool listed);

/* The instance that drives, or -1. */
int fsim_driver(const struct fsim *s);
size_t fsim_count(const struct fsim *s, enum fleet_outcome outcome);

/*
 * One run of random troubles; false with a message when a promise broke.
 * `mixed` leaves some kinds of trouble out and brings others more often.
 */
bool fsim_random(uint64_t seed, int64_t ms, bool mixed, char *message,
		 size_t size);

/* fleet_sim_worker.c: carries orders out; returns how they ended. */
void fsim_worker_run(struct fsim *s, struct fsim_worker *w);
enum drive_call_end fsim_worker_start(struct fsim *s, struct fsim_worker *w,
				      const struct drive_task *task,
				      uint32_t run, uint64_t fence,
				      int64_t lease_until);
enum drive_call_end fsim_worker_stop(struct fsim *s, struct fsim_worker *w,
				     const struct drive_task *task,
				     uint32_t run, uint64_t fence);
enum drive_call_end fsim_worker_hold(struct fsim *s, struct fsim_worker *w,
				     uint64_t fence, uint64_t cursor,
				     int64_t lease_until);

#endif
