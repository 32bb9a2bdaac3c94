/* What the files of the driver share. Private to src/drive. */
#ifndef DRIVE_DRIVE_STATE_H
#define DRIVE_DRIVE_STATE_H

#include "drive/drive.h"
#include "drive/run_time.h"
#include "util/index.h"
#include "util/list.h"
#include "util/log.h"
#include "util/table.h"

#include <string.h>

enum {
	WAITERS_MAX = 4, /* homes that wait for one job */
	/* A worker that left the list this long ago runs nothing. */
	UNLISTED_RUNS_MS = 10000,
	LEASE_MARGIN_MS = 60, /* over a lease, for its end to be sure */
	CLOCK_DRIFT = 20 /* a worker's clock is at most this part slower */
};

enum run_state {
	RUN_STARTING = 1, /* the start is not answered yet */
	RUN_DOUBTFUL, /* the start was not answered in time */
	RUN_RUNNING,
	RUN_ENDED /* kept a while for its job to be handed in again */
};

/* One run of a task on a worker. */
struct run {
	uint64_t handle;
	uint64_t worker;
	uint64_t job; /* zero: nobody's */
	struct drive_task task;
	uint32_t number;
	enum run_state state;
	uint32_t cpu_milli, memory_mb, accelerators;
	uint64_t fence; /* of its start; zero: adopted */
	int64_t sent_at;
	int64_t running_at; /* its start was answered, or it was listed */
	uint32_t percent;
	int64_t percent_at; /* when its percent last changed */
	bool stray; /* adopted, and no job in hand claims it */
	bool stopping;
	bool stop_open; /* a stop is on its way */
	int64_t stop_at; /* when the next stop may be sent */
	enum drive_run_result result; /* of RUN_ENDED */
	int64_t drop_at; /* of RUN_ENDED */
	struct list of_worker;
};

struct hold_call {
	uint64_t worker;
	uint64_t fence;
	int64_t sent_at;
	bool probe; /* asked beside the waiting one */
	bool leased; /* it asked for a lease */
};

struct worker {
	uint64_t handle;
	struct drive_worker info;
	bool listed;
	int64_t unlisted_at;
	bool ended; /* another life answered at its address */
	uint32_t used_cpu, used_memory, used_accelerators;
	struct list runs;
	uint32_t n_runs;
	uint32_t n_strays; /* adopted ones that no job in hand claims */
	uint64_t epoch; /* higher than the driver's, when raised for it alone */
	uint64_t fence_step; /* added to the epoch's first fence */
	uint64_t held_fence; /* of the last answered hold; zero: none */
	int64_t proved_at; /* when that one was sent */
	bool waiting_open; /* the waiting hold is on its way */
	bool probe_open;
	int64_t hold_at; /* when the next waiting hold may be sent */
	int64_t silent_since; /* a call went unanswered; zero: none */
	bool has_clock;
	int64_t clock_ahead; /* its clock less ours, at least */
	int64_t clock_at; /* when that was learned */
	int64_t lease_until; /* our clock: sure to be held so long */
	int64_t lease_over; /* our clock: sure to have ended then */
	uint64_t cursor;
	/* health */
	uint32_t bad_in_row;
	uint32_t ejections; /* in a row */
	int64_t ejected_until;
	bool probation; /* one task at a time until one ends well */
};

enum task_state { TASK_WAITING = 0, TASK_ACTIVE, TASK_DONE };

struct task {
	enum task_state state;
	uint32_t runs; /* the highest run number used */
	uint32_t failed;
	uint64_t run;
};

struct waiter {
	uint64_t home;
	uint64_t tag;
	uint32_t generation;
};

struct job {
	uint64_t handle;
	char id[DRIVE_JOB_ID_MAX];
	char service[SYC_NAME_MAX];
	char label[SYC_NAME_MAX];
	char domain[SYC_NAME_MAX]; /* of its home */
	struct run_time *times; /* of its route */
	struct waiter waiters[WAITERS_MAX];
	size_t n_waiters;
	uint32_t generation, priority, attempts_max, per_worker_max;
	uint32_t cpu_milli, memory_mb, accelerators, estimate_ms;
	int64_t arrived_at; /* at its home */
	int64_t objective_at;
	int64_t latest_start; /* to make its objective */
	int64_t handed_at; /* to this driver */
	int64_t settled_at; /* runs that an earlier driver left have ended */
	int64_t deadline_at;
	struct task *tasks;
	uint32_t n_tasks, n_done, n_active;
	bool begun; /* something of it was started or adopted */
	void *body;
	size_t body_len;
	struct list queue; /* while a task of it waits */
	struct list all;
};

struct drive {
	struct drive_options opt;
	struct drive_counts counts;
	bool active;
	uint64_t epoch;
	struct table workers, runs, jobs, holds;
	struct index worker_names, run_tasks, job_ids;
	struct list queue; /* of jobs, in the order to begin them */
	struct list all; /* of jobs */
	struct run_times times;
	char only[SYC_NAME_MAX]; /* failure domain; empty: all */
	int64_t known_since; /* all workers listed since then are known */
	bool forgot; /* a worker that left the list long ago */
	bool list_fresh; /* the list was read since this driver began */
	bool room_changed; /* the queue is worth another look */
	uint32_t next_pick; /* spreads equal choices */
};

/* worker.c */
struct worker *worker_get(const struct drive *d, uint64_t handle);
/* Whether it has answered under the epoch in force. */
bool worker_held(const struct drive *d, const struct worker *w);
/* Whether it is this driver's to call. */
bool worker_ours(const struct drive *d, const struct worker *w);
/*
 * Whether another driver may have left something running there before
 * `since` that no list has named to us.
 */
bool worker_unseen(const struct drive *d, const struct worker *w, int64_t since,
		   int64_t now);
/* Whether it may be given another task now. */
bool worker_usable(const struct drive *d, const struct worker *w, int64_t now);
void worker_good_end(struct drive *d, struct worker *w);
void worker_bad_end(struct drive *d, struct worker *w, int64_t now,
		    const char *why);
void worker_eject(struct drive *d, struct worker *w, int64_t now,
		  const char *why);
void worker_note_clock(struct worker *w, int64_t now,
		       const struct drive_call_answer *a);
/* How long a run may outlive a call that carried a lease, in ms. */
int64_t worker_lease_most(const struct drive *d);
/* Its runs may live for a whole lease from now, whoever prolonged it. */
void worker_may_run(const struct drive *d, struct worker *w, int64_t now);
/*
 * The lease to ask for now, on the worker's clock. From now on its runs may
 * live until then, whether or not the call is answered.
 */
int64_t worker_lease(const struct drive *d, struct worker *w, int64_t now);
/* The fence to call it with. */
uint64_t worker_fence(const struct drive *d, const struct worker *w);
/* Forgets it when it left the list long ago. */
void worker_drop_old(struct drive *d, struct worker *w, int64_t now);

/* hold.c */
void hold_tick(struct drive *d, struct worker *w, int64_t now);
/* Asks at once, under a raised fence, what runs there. */
void hold_probe(struct drive *d, struct worker *w, int64_t now);
/* The lease of what runs there has ended for sure, or its life has. */
void hold_lost(struct drive *d, struct worker *w, int64_t now, const char *why);
/* Another process answers at its address: it is gone for good. */
void hold_other_life(struct drive *d, struct worker *w, int64_t now);

/* run.c */
struct run *run_get(const struct drive *d, uint64_t handle);
struct run *run_find(const struct drive *d, const struct drive_task *task);
void run_start(struct drive *d, struct job *j, uint32_t index, struct worker *w,
	       int64_t now);
/* An answer or a list says that it runs; the first one counts. */
void run_runs(struct run *r, int64_t now);
/* The run of that number on `w`, or NULL. */
struct run *run_on(const struct drive *d, const struct worker *w,
		   const struct drive_task *task, uint32_t number);
/* A run that this driver did not start; a second one is stopped. */
void run_adopt(struct drive *d, struct worker *w,
	       const struct drive_active_run *row, int64_t now);
void run_stop(struct drive *d, struct run *r, int64_t now);
/* A job in hand claims it. */
void run_claim(struct drive *d, struct run *r, const struct job *j);
/* It is over, or was proved never to begin. */
void run_over(struct drive *d, struct run *r, enum drive_run_result result,
	      int64_t now);
void run_tick(struct drive *d, struct run *r, int64_t now);
void run_forget(struct drive *d, struct run *r);
/* Keeps an end whose job may be handed in again. */
void run_keep_end(struct drive *d, struct worker *w,
		  const struct drive_ended_run *end, int64_t now);

/* admit.c */
/* Whether nothing of `j` that an earlier driver started can run unseen. */
bool job_settled(const struct drive *d, const struct job *j, int64_t now);

/* job.c */
struct job *job_get(const struct drive *d, uint64_t handle);
struct job *job_find(const struct drive *d, const char id[DRIVE_JOB_ID_MAX]);
/* Makes it found by its id. */
void job_index(struct drive *d, const struct job *j);
void job_task_over(struct drive *d, struct job *j, uint32_t index,
		   enum drive_run_result result, int64_t now);
void job_end(struct drive *d, struct job *j, enum drive_outcome outcome,
	     uint32_t retry_after_ms, const char *reason, int64_t now);
void job_tick(struct drive *d, struct job *j, int64_t now);
void job_drop(struct drive *d, struct job *j);

/* queue.c: which waiting jobs begin, and which are refused. */
void queue_add(struct drive *d, struct job *j);
void queue_remove(struct job *j);
/* Begins what fits; refuses what can no longer make its objective. */
void queue_run(struct drive *d, int64_t now);
/* When the waiting tasks of `j` could begin, as far as can be told. */
int64_t queue_expected_start(const struct drive *d, const struct job *j,
			     int64_t now);

/* place.c: chooses workers for all waiting tasks of a job, or none. */
bool place_job(struct drive *d, struct job *j, int64_t now);
/* Starts as many of its waiting tasks as there is room for; false: none. */
bool place_part(struct drive *d, struct job *j, int64_t now);
/* Whether any listed worker could ever hold a task of it. */
bool place_possible(const struct drive *d, const struct job *j);

#endif
