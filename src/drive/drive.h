/*
 * Drives workers under a lease and a fence: starts and stops tasks, renews
 * the lease, takes note of ends, adopts what runs after a takeover, and
 * decides which jobs begin, wait or are refused. Pure decision code: events
 * go in with `now`, calls go out through the options' callbacks.
 *
 * The worker is the lock. It heeds only the highest fence that it has seen,
 * and all that runs on it ends with its lease, so whoever drives it needs no
 * other agreement to keep a task from running twice at a time.
 */
#ifndef DRIVE_DRIVE_H
#define DRIVE_DRIVE_H

#include "sycamoreshore/types.h"
#include "util/histogram.h"

enum {
	DRIVE_JOB_ID_MAX = 24, /* bytes of a job's id with its terminator */
	/* A home that was silent for so long has its jobs given up. */
	DRIVE_HOME_TIMEOUT_MS = 700,
	DRIVE_LABELS_MAX = 8, /* labels of a worker that are read */
	DRIVE_FENCES_PER_EPOCH =
		4096 /* fences that one epoch has for a worker */
};

/* A worker as the platform lists it. */
struct drive_worker {
	char name[SYC_NAME_MAX]; /* names one life of the worker */
	char service[SYC_NAME_MAX];
	char domain[SYC_NAME_MAX];
	struct syc_addr addr;
	uint32_t cpu_milli; /* thousandths of a core */
	uint32_t memory_mb;
	uint32_t accelerators;
	bool leaving;
	char kind[SYC_NAME_MAX]; /* workers of a kind are alike fast */
	size_t n_labels; /* the kind is among them */
	char labels[DRIVE_LABELS_MAX][SYC_NAME_MAX];
};

/* Names a task of a job. Compared as bytes, so zero it first. */
struct drive_task {
	char job[DRIVE_JOB_ID_MAX];
	uint32_t step;
	uint32_t index;
};

/* A job as it is handed in. Views are valid during the call. */
struct drive_job {
	const char *id;
	const char *service;
	const char *route; /* run times are learned by route */
	const char *domain; /* of its home, where it best runs */
	const char *label; /* that a worker must have; empty: none */
	uint32_t generation; /* times that it was handed to another driver */
	uint32_t priority; /* zero comes first */
	uint32_t attempts_max;
	uint32_t n_tasks;
	uint32_t per_worker_max; /* tasks on one worker; zero: no bound */
	uint32_t cpu_milli; /* of each task */
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t estimate_ms; /* the caller's guess */
	uint32_t objective_percent; /* of the run time ... */
	uint32_t objective_add_ms; /* ... and this: the latency objective */
	uint32_t age_ms; /* since its caller handed it in */
	uint32_t deadline_ms; /* from now: its caller waits no longer */
	struct syc_bytes body;
};

enum drive_outcome {
	DRIVE_COMPLETED = 1,
	DRIVE_FAILED, /* a task failed as often as it may */
	DRIVE_CANCELLED,
	DRIVE_REFUSED, /* nothing of it was started by this driver */
	DRIVE_ABORTED /* something was started; given up */
};

struct drive_job_done {
	uint64_t home; /* who handed it in */
	uint64_t tag;
	uint32_t generation;
	enum drive_outcome outcome;
	uint32_t retry_after_ms; /* zero: coming back does not help */
	const char *reason; /* one word for the log */
};

/* Calls to a worker. Views are valid during the callback. */
struct drive_start {
	uint64_t call; /* names it in drive_start_answered */
	const struct drive_worker *worker;
	const struct drive_task *task;
	uint32_t run;
	uint64_t fence;
	int64_t lease_expires_at; /* milliseconds on the worker's clock */
	struct syc_bytes body;
};

struct drive_stop {
	uint64_t call;
	const struct drive_worker *worker;
	const struct drive_task *task;
	uint32_t run;
	uint64_t fence;
};

struct drive_hold {
	uint64_t call;
	const struct drive_worker *worker;
	uint64_t fence;
	uint64_t cursor; /* ends up to this one are taken note of */
	int64_t lease_expires_at; /* zero: its clock is not known yet */
	uint32_t wait_ms; /* the answer may wait this long for an end */
};

enum drive_call_result {
	DRIVE_CALL_DONE = 1,
	DRIVE_CALL_NO_CAPACITY, /* nothing was done */
	DRIVE_CALL_LEASE_EXPIRED, /* its lease had ended; nothing was done */
	DRIVE_CALL_OLD_RUN, /* a run as high was ended there; nothing done */
	DRIVE_CALL_FENCED, /* a higher fence was seen; nothing was done */
	DRIVE_CALL_UNHEALTHY, /* the worker refuses; nothing was done */
	DRIVE_CALL_INVALID, /* the worker cannot read it; nothing done */
	DRIVE_CALL_OTHER_INCARNATION, /* the worker of that name has ended */
	DRIVE_CALL_NOT_SENT, /* no byte left */
	DRIVE_CALL_UNANSWERED /* may be carried out, even later */
};

struct drive_call_answer {
	enum drive_call_result result;
	bool has_clock;
	int64_t clock_ms; /* the worker's clock */
};

/* Something that runs on a worker. */
struct drive_active_run {
	struct drive_task task;
	uint32_t run;
	uint32_t percent; /* of its work that is done */
};

enum drive_run_result {
	DRIVE_RUN_DONE = 1,
	DRIVE_RUN_FAILED,
	DRIVE_RUN_STOPPED,
	DRIVE_RUN_EXPIRED,
	DRIVE_RUN_OTHER
};

/* An end, numbered by its worker. */
struct drive_ended_run {
	uint64_t sequence;
	struct drive_task task;
	uint32_t run;
	enum drive_run_result result;
};

struct drive_hold_answer {
	struct drive_call_answer answer;
	const struct drive_active_run *running;
	size_t n_running;
	const struct drive_ended_run *ended;
	size_t n_ended;
};

struct drive_options {
	void *ctx;
	uint32_t lease_ms;
	uint32_t hold_wait_ms; /* most that a hold waits for an end */
	void (*start)(void *ctx, const struct drive_start *call);
	void (*stop)(void *ctx, const struct drive_stop *call);
	void (*hold)(void *ctx, const struct drive_hold *call);
	/* A job's final answer, once for each time it was handed in. */
	void (*job_done)(void *ctx, const struct drive_job_done *done);
	/*
	 * Whether a home was heard so lately that it cannot have gone over to
	 * another driver.
	 */
	bool (*is_home_reachable)(void *ctx, uint64_t home);
	/*
	 * A worker has seen a higher fence than ours. Returns a higher epoch
	 * to go on with there, or zero to leave it.
	 */
	uint64_t (*fenced)(void *ctx, const struct drive_worker *worker);
};

/* Totals since the start, for the metrics. */
struct drive_counts {
	uint64_t jobs, completed, failed, refused, aborted, cancelled;
	uint64_t starts, ends_done, ends_failed, ends_other;
	uint64_t starts_refused, starts_unanswered, stops, stalls, holds;
	uint64_t ejections, adopted;
	uint64_t queued, running, workers, workers_usable; /* right now */
	/* From a job's arrival at its home until it is begun. */
	struct histogram begin_delay;
};

struct drive;

struct drive *drive_new(const struct drive_options *opt);
void drive_free(struct drive *d);

/* Begins to drive all listed workers with fences of `epoch`. */
void drive_begin(struct drive *d, int64_t now, uint64_t epoch);

/* From now on drives only workers of `domain`; an empty one: all. */
void drive_limit_to_domain(struct drive *d, const char *domain);

/* Another drives from now on: forgets all jobs without an answer. */
void drive_end(struct drive *d, int64_t now);
bool drive_is_active(const struct drive *d);

/*
 * Replaces the list of workers; also while another drives, so that workers
 * that it may have used are known.
 */
void drive_set_workers(struct drive *d, int64_t now,
		       const struct drive_worker *list, size_t n);

/*
 * Workers that left the list so lately that something may run there; returns
 * how many, at most `max`.
 */
size_t drive_get_unlisted_workers(const struct drive *d, int64_t now,
				  struct drive_worker *list, size_t max);

/*
 * An instance of a domain that was not heard is there again. The domain may
 * have been driven by an old list until now: also workers that left ours
 * long ago may still run something.
 */
void drive_domain_reachable(struct drive *d, int64_t now, const char *domain);

/* The driver named these beside its list: no other worker runs anything. */
void drive_add_unlisted_workers(struct drive *d, int64_t now,
				const struct drive_worker *list, size_t n);

/* Takes a job; `done` follows once, perhaps before this returns. */
void drive_submit(struct drive *d, int64_t now, uint64_t home, uint64_t tag,
		  const struct drive_job *spec);

/* Its caller has gone: stops and forgets it; no `done` follows. */
void drive_cancel(struct drive *d, int64_t now, uint64_t home, uint64_t tag);

/* Cancels the job of that id; `done` follows to all who handed it in. */
void drive_cancel_id(struct drive *d, int64_t now, const char *id);

/* Cancels all jobs of a home that has not been heard of for too long. */
void drive_cancel_home(struct drive *d, int64_t now, uint64_t home);

/* Answers to calls. */
void drive_start_answered(struct drive *d, int64_t now, uint64_t call,
			  const struct drive_call_answer *answer);
void drive_stop_answered(struct drive *d, int64_t now, uint64_t call,
			 const struct drive_call_answer *answer);
void drive_hold_answered(struct drive *d, int64_t now, uint64_t call,
			 const struct drive_hold_answer *held);

/* Call every 10 ms or so. */
void drive_tick(struct drive *d, int64_t now);

/* Jobs not yet answered. */
size_t drive_open_jobs(const struct drive *d);
void drive_get_counts(const struct drive *d, struct drive_counts *counts);

/* The whole state as JSON text; the caller frees it. */
char *drive_dump(const struct drive *d, int64_t now);

#endif
