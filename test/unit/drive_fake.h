/*
 * A driver whose calls to workers are recorded, for tests to answer in any
 * order. Workers are named w0, w1, ...; time only moves by drive_fake_tick.
 */
#ifndef DRIVE_FAKE_H
#define DRIVE_FAKE_H

#include "drive/drive.h"

enum { FAKE_CALLS_MAX = 256, FAKE_WORKERS = 4, FAKE_HOME = 7 };

struct fake_order {
	uint64_t call;
	int worker;
	struct drive_task task;
	uint32_t run;
	uint64_t fence;
	uint64_t cursor;
	int64_t lease_until;
	uint32_t wait_ms;
	bool answered;
};

struct drive_fake {
	struct drive *drive;
	int64_t now;
	size_t n_workers;
	struct fake_order starts[FAKE_CALLS_MAX];
	struct fake_order stops[FAKE_CALLS_MAX];
	struct fake_order holds[FAKE_CALLS_MAX];
	struct drive_job_done done[FAKE_CALLS_MAX];
	size_t n_starts, n_stops, n_holds, n_done;
	bool far; /* homes are not heard */
	uint64_t raise; /* epoch for a fenced worker */
	int n_fenced;
};

/* Drives `n` workers of 16 cores, all held. */
void drive_fake_init(struct drive_fake *f, size_t n);
void drive_fake_free(struct drive_fake *f);

/* Answers all holds that wait, with nothing running and nothing ended. */
void drive_fake_hold_all(struct drive_fake *f);
/* Answers the last open hold of `worker` with these lists. */
void drive_fake_held(struct drive_fake *f, int worker,
		     const struct drive_active_run *running, size_t n_running,
		     const struct drive_ended_run *ended, size_t n_ended);
void drive_fake_hold_fails(struct drive_fake *f, int worker,
			   enum drive_call_result end);
void drive_fake_started(struct drive_fake *f, size_t start,
			enum drive_call_result end);
/* The run of that start ends so. */
void drive_fake_ended(struct drive_fake *f, size_t start, uint64_t number,
		      enum drive_run_result result);
/* Moves on; holds that wait are answered while it does, if `alive`. */
void drive_fake_run(struct drive_fake *f, int64_t ms, bool alive);

/* A job of `n` tasks of 8 cores, 100 ms each, due in a second. */
struct drive_job drive_fake_job(const char *id, uint32_t n);
void drive_fake_submit(struct drive_fake *f, uint64_t tag,
		       const struct drive_job *job);

#endif
