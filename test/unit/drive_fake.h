/*
 * A driver whose calls to workers are recorded, so that a test answers them in
 * any order. Workers are named w0, w1, ...; time advances only by
 * drive_fake_advance.
 */
#ifndef DRIVE_FAKE_H
#define DRIVE_FAKE_H

#include "drive/drive.h"

enum {
	FAKE_CALLS_MAX = 1024,
	FAKE_WORKERS_MAX = 6,
	FAKE_HOME = 7,
	FAKE_IDLE_MAX_MS = 1100 /* between holds of a worker without runs */
};

/* A call that the driver made to a worker. */
struct fake_call {
	uint64_t call;
	int worker;
	int64_t born_ms; /* of the worker, as the driver knows it */
	struct drive_task task;
	uint32_t run;
	uint64_t fence;
	uint64_t cursor;
	int64_t lease_expires_at;
	uint32_t wait_ms;
	uint32_t timeout_ms;
	bool answered;
};

struct drive_fake {
	struct drive *drive;
	int64_t now;
	size_t n_workers;
	struct drive_worker workers[FAKE_WORKERS_MAX];
	unsigned n_restarts;
	/* The incarnation that a worker's answers name; zero: none. */
	int64_t born_ms[FAKE_WORKERS_MAX];
	int64_t clock_behind_ms; /* the workers' clocks, behind `now` */
	struct fake_call starts[FAKE_CALLS_MAX];
	struct fake_call stops[FAKE_CALLS_MAX];
	struct fake_call holds[FAKE_CALLS_MAX];
	struct drive_job_done jobs_done[FAKE_CALLS_MAX];
	size_t n_starts, n_stops, n_holds, n_jobs_done;
	bool homes_unreachable;
	uint32_t late_ms; /* that the driver takes itself to be */
	uint64_t raised_epoch; /* returned for a fenced worker */
	int n_fenced;
};

/* Drives `n` workers of 16 cores, which have confirmed the driver's fence. */
void drive_fake_init(struct drive_fake *f, size_t n);
/* Begins to drive; no list of workers was read yet. */
void drive_fake_init_without_list(struct drive_fake *f);
void drive_fake_free(struct drive_fake *f);

/* Answers all open holds with empty lists. */
void drive_fake_answer_all_holds(struct drive_fake *f);
/* Answers the last open hold of `worker` with these lists. */
void drive_fake_answer_hold(struct drive_fake *f, int worker,
			    const struct drive_active_run *running,
			    size_t n_running,
			    const struct drive_ended_run *ended,
			    size_t n_ended);
/* Answers the last open hold of `worker` with that result. */
void drive_fake_fail_hold(struct drive_fake *f, int worker,
			  enum drive_call_result result);
/* Leaves the worker's calls unanswered until it is unresponsive. */
void drive_fake_silence(struct drive_fake *f, int worker);
void drive_fake_answer_start(struct drive_fake *f, size_t start,
			     enum drive_call_result result);
/* Reports the end of the run of that start in the answer to a hold. */
void drive_fake_end_run(struct drive_fake *f, size_t start, uint64_t sequence,
			enum drive_run_result result);
/* Replaces the worker by a new incarnation at its address, and lists it. */
void drive_fake_restart_worker(struct drive_fake *f, int worker);
/* The present incarnation of the worker, as the list and its answers say. */
void drive_fake_set_born(struct drive_fake *f, int worker, int64_t born_ms);
/* Answers a hold, which need not be the last, with empty lists. */
void drive_fake_answer_call(struct drive_fake *f, size_t hold);
/* Advances the time by `ms`; open holds are answered if `workers_answer`. */
void drive_fake_advance(struct drive_fake *f, int64_t ms, bool workers_answer);

/*
 * Returns a job of `n` tasks of 8 cores and 100 ms each. Its objective is 1 s.
 */
struct drive_job drive_fake_job(const char *id, uint32_t n);
void drive_fake_submit(struct drive_fake *f, uint64_t tag,
		       const struct drive_job *job);

#endif
