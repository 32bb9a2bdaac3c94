/*
 * Drives workers under a lease and a fence: starts and stops tasks, renews
 * the lease, records the ends of runs, adopts runs after a takeover, and
 * decides which jobs begin, wait or are refused. It does no input or output:
 * events are passed in with the time `now` in milliseconds, and calls are
 * made through the callbacks in the options.
 *
 * Each worker acts as the lock for its runs. It obeys only the highest fence
 * that it has seen, and its runs end with its lease, so drivers need no other
 * agreement to keep a task from having two runs at a time.
 */
#ifndef DRIVE_DRIVE_H
#define DRIVE_DRIVE_H

#include "sycamoreshore/types.h"
#include "util/histogram.h"

enum {
	DRIVE_JOB_ID_MAX = 24, /* bytes of a job's id with its terminator */
	/* A home's jobs are given up after this time without heartbeat. */
	DRIVE_HOME_TIMEOUT_MS = 700,
	DRIVE_LABELS_MAX = 8, /* further labels of a worker are ignored */
	DRIVE_FENCES_PER_EPOCH = 4096 /* for each worker */
};

/* A worker as the platform lists it. */
struct drive_worker {
	char name[SYC_NAME_MAX]; /* of one incarnation of the worker */
	char service[SYC_NAME_MAX];
	char domain[SYC_NAME_MAX];
	struct syc_addr addr;
	uint32_t cpu_milli; /* thousandths of a core */
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t slots; /* tasks that it runs at a time; zero: not limited */
	bool leaving; /* it stops soon and takes no further task */
	/* Start of this life on its wall clock, in ms; zero: not known. */
	int64_t born_ms;
	uint32_t cold_ms; /* how much longer it is slow after its start */
	char kind[SYC_NAME_MAX]; /* workers of one kind are equally fast */
	size_t n_labels; /* the kind is one of them */
	char labels[DRIVE_LABELS_MAX][SYC_NAME_MAX];
};

/* Names a task of a job. It is compared as bytes, so zero it first. */
struct drive_task {
	char job[DRIVE_JOB_ID_MAX];
	uint32_t step;
	uint32_t index;
};

/* A job as it is submitted. Its pointers are valid during the call. */
struct drive_job {
	const char *id;
	const char *service;
	const char *route; /* run times are learned by route */
	const char *domain; /* of its home; workers in it are preferred */
	const char *label; /* required of a worker; empty: none */
	uint32_t generation; /* how often it was submitted again */
	uint32_t priority; /* zero is the highest */
	uint32_t attempts_max;
	uint32_t n_tasks;
	uint32_t per_worker_max; /* tasks on one worker; zero: no limit */
	uint32_t cpu_milli; /* of each task */
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t estimate_ms; /* run time of a task as the caller declares it */
	/* The objective: a percentage of the run time plus a fixed time. */
	uint32_t objective_percent;
	uint32_t objective_add_ms;
	uint32_t age_ms; /* since its caller submitted it */
	uint32_t deadline_ms; /* from now; its caller waits until then */
	/* It waited where its age cannot be known, so it may be old. */
	bool may_be_old;
	bool is_moved; /* at its home: no other cell may run it */
	struct syc_bytes body;
};

enum drive_outcome {
	DRIVE_COMPLETED = 1,
	DRIVE_FAILED, /* a task has used up its attempts */
	DRIVE_CANCELLED,
	DRIVE_REFUSED, /* this driver started no task of it */
	DRIVE_ABORTED, /* given up after a task was started */
	DRIVE_NOT_TAKEN, /* dropped unread; the home submits it again */
	DRIVE_ELSEWHERE /* another cell has it; the home submits it there */
};

/* The final answer to a submitted job. */
struct drive_job_done {
	uint64_t home; /* the instance that submitted it */
	uint64_t tag; /* the number of the job at its home */
	uint32_t generation;
	enum drive_outcome outcome;
	uint32_t retry_after_ms; /* zero: a retry is useless */
	uint32_t cell; /* number of the cell of DRIVE_ELSEWHERE */
	const char *reason; /* one word for the log */
};

/* Calls to a worker. Pointers are valid during the callback. */
struct drive_start {
	uint64_t call; /* for drive_start_answered */
	const struct drive_worker *worker;
	const struct drive_task *task;
	uint32_t run; /* number of the run, higher for each start of a task */
	uint64_t fence;
	int64_t lease_expires_at; /* milliseconds on the worker's clock */
	uint32_t timeout_ms; /* limit of the call; zero: the client's own */
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
	uint64_t cursor; /* sequence number of the last end that was received */
	int64_t lease_expires_at; /* worker's clock; zero: no renewal */
	uint32_t wait_ms; /* longest wait of the worker for a run to end */
	uint32_t timeout_ms; /* besides that wait; zero: the client's own */
};

enum drive_call_result {
	DRIVE_CALL_DONE = 1,
	/* The call had no effect after these results. */
	DRIVE_CALL_NO_CAPACITY,
	DRIVE_CALL_LEASE_EXPIRED, /* the call's lease had expired */
	DRIVE_CALL_OLD_RUN, /* an equal or higher run number has ended */
	DRIVE_CALL_FENCED, /* the worker has seen a higher fence */
	DRIVE_CALL_UNHEALTHY, /* the worker refuses all starts */
	DRIVE_CALL_INVALID, /* the worker cannot read the call */
	DRIVE_CALL_OTHER_INCARNATION, /* the worker of that name has ended */
	DRIVE_CALL_NOT_SENT, /* no byte was sent */
	/* The same, as no process listens at the worker's address. */
	DRIVE_CALL_NO_LISTENER,
	/* The call may have taken effect or may still take effect. */
	DRIVE_CALL_UNANSWERED
};

struct drive_call_answer {
	enum drive_call_result result;
	bool has_clock;
	int64_t clock_ms; /* the worker's clock */
	int64_t born_ms; /* as in struct drive_worker; zero: not known */
};

/* A run that is active on a worker. */
struct drive_active_run {
	struct drive_task task;
	uint32_t run;
	uint32_t percent; /* of its work that is done */
};

/* How a run ended. */
enum drive_run_result {
	DRIVE_RUN_DONE = 1,
	DRIVE_RUN_FAILED,
	DRIVE_RUN_STOPPED,
	DRIVE_RUN_EXPIRED, /* its lease expired */
	DRIVE_RUN_OTHER /* in another way, or it never began */
};

/* A run that has ended on a worker. */
struct drive_ended_run {
	uint64_t sequence; /* number of this end, counted by the worker */
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

struct losses;

enum { DRIVE_DOMAINS_MAX = 64 };

/* Names of failure domains. */
struct drive_domains {
	size_t n;
	char names[DRIVE_DOMAINS_MAX][SYC_NAME_MAX];
};

/* A job that the other cells are asked for. */
struct drive_job_query {
	const char *id;
	bool is_fresh; /* its caller has just submitted it for the first time */
	bool may_have_runs; /* in the cell that asks */
};

struct drive_options {
	void *ctx;
	/* Outlives the drive and may be shared by several; see losses.h. */
	struct losses *losses;
	const char *cell; /* whose workers it drives, for the log */
	uint32_t lease_ms;
	uint32_t hold_wait_ms; /* longest wait of a hold for a run to end */
	void (*start)(void *ctx, const struct drive_start *call);
	void (*stop)(void *ctx, const struct drive_stop *call);
	void (*hold)(void *ctx, const struct drive_hold *call);
	/* Gives the final answer, once for each home and tag of the job. */
	void (*job_done)(void *ctx, const struct drive_job_done *done);
	/*
	 * Whether the last heartbeat of a home is so recent that the home
	 * cannot have submitted its jobs to another driver.
	 */
	bool (*is_home_reachable)(void *ctx, uint64_t home);
	/*
	 * A worker has seen a higher fence than this driver's. Returns a
	 * higher epoch to drive that worker with, or zero to keep the epoch.
	 */
	uint64_t (*choose_higher_epoch)(void *ctx,
					const struct drive_worker *worker);
	/* How long events waited lately before this process read them. */
	uint32_t (*get_late_ms)(void *ctx);
	/*
	 * Whether another driver has told lately that it has the job; stores
	 * the number of its cell, or DRIVE_OWN_CELL. NULL: none tells.
	 */
	bool (*find_told)(void *ctx, const char *id, uint32_t *cell);
	/*
	 * Asks the other cells for a job that may be old, or for a fresh one if
	 * their drivers have not told yet what they have. Then either
	 * drive_job_elsewhere or drive_job_not_elsewhere is called. False: no
	 * cell is asked. NULL: there are no others.
	 */
	bool (*ask_cells)(void *ctx, const struct drive_job_query *q);
};

#define DRIVE_OWN_CELL UINT32_MAX /* that of this drive's workers */

/* Totals since the start, for the metrics. */
struct drive_counts {
	uint64_t jobs, completed, failed, refused, aborted, cancelled;
	uint64_t starts, ends_done, ends_failed, ends_other;
	uint64_t starts_refused, starts_unanswered, stops, stalls, holds;
	uint64_t ejections, adopted;
	uint64_t refused_late; /* as this driver was late */
	uint64_t waited; /* jobs that were admitted to wait for capacity */
	/* Jobs refused for want of capacity: at once and after a wait. */
	uint64_t refused_no_room, refused_room_lost, refused_objective_missed;
	uint64_t silences; /* workers that stopped answering */
	uint64_t behind_stops; /* runs stopped as they fell behind */
	uint64_t restarts; /* workers that began again under their name */
	uint64_t starts_hedged; /* a list was requested before their limit */
	uint64_t lists_due; /* requested as an end was due */
	/* Holds sent again while their worker answered other calls. */
	uint64_t holds_replaced;
	uint64_t runs_lost; /* with their worker */
	uint64_t redirected; /* submissions of jobs that another cell has */
	uint64_t asked; /* jobs that the other cells were asked for */
	uint64_t runs_outlived; /* their job for long, as no stop ended them */
	uint64_t given_up; /* jobs with a task that crashes its workers */
	uint64_t exclusive_starts; /* starts apart from other tasks */
	uint64_t queued, running, workers, workers_usable; /* current */
	/* Current, of workers in use: run times relative to a usual one. */
	uint64_t factor_min_percent, factor_max_percent;
	uint64_t workers_slowed; /* current: slower than they usually are */
	/* From a job's arrival at its home until it begins, in ms. */
	struct histogram begin_delay;
};

/* Processor capacity of the workers that may get tasks now. */
struct drive_room {
	uint64_t cpu_milli; /* thousandths of a core */
	uint64_t free_cpu_milli;
};

struct drive;

struct drive *drive_new(const struct drive_options *opt);
void drive_free(struct drive *d);

/* Begins to drive the workers under the fences of `epoch`. */
void drive_begin(struct drive *d, int64_t now, uint64_t epoch);

/* Drives only the workers of `domain` from now on; empty: all. */
void drive_limit_to_domain(struct drive *d, const char *domain);

/* Stops driving, as another driver begins. Drops all jobs without answer. */
void drive_end(struct drive *d, int64_t now);
bool drive_is_active(const struct drive *d);

/*
 * Replaces the list of workers. It is also called while another instance
 * drives, as that instance may start runs on these workers.
 */
void drive_set_workers(struct drive *d, int64_t now,
		       const struct drive_worker *list, size_t n);

/*
 * Another driver may start tasks on these workers. Those that the list lacks
 * count as just gone from it when this one begins to drive.
 */
void drive_note_others_use(struct drive *d, int64_t now,
			   const struct drive_worker *list, size_t n);
/* The other driver lists these workers no more. */
void drive_end_others_use(struct drive *d, int64_t now);

/*
 * Whether no task is started, as the list of workers is too old. A term begins
 * without that.
 */
void drive_await_list(struct drive *d, int64_t now, bool awaits);

/*
 * Sets the failure domains whose workers get no further task, until this is
 * called again. Runs that are active there go on. NULL: it is not known which
 * domains these are, so no task is started anywhere.
 */
void drive_set_evacuated(struct drive *d, int64_t now,
			 const struct drive_domains *domains);

/*
 * When this driver last started a task on a worker of the failure domain that it
 * still knows; zero: never; -1: it knows none.
 */
int64_t drive_get_last_start(const struct drive *d, const char *domain);

/* The number of known workers, listed or not. */
size_t drive_count_workers(const struct drive *d);

/*
 * Copies up to `max` workers that left the list so recently that something
 * may still run there; returns their number.
 */
size_t drive_get_unlisted_workers(const struct drive *d, int64_t now,
				  struct drive_worker *list, size_t max);

/*
 * Reports that a domain is reachable again. The domain may have been driven
 * with an old list of workers until now, so runs may also be active on workers
 * that left this driver's list long ago.
 */
void drive_domain_reachable(struct drive *d, int64_t now, const char *domain);

/*
 * Adds workers that are not listed but may have runs, as another instance that
 * drives reports them. Runs can be active only on these and on listed workers.
 */
void drive_add_unlisted_workers(struct drive *d, int64_t now,
				const struct drive_worker *list, size_t n);

/* Submits a job; `job_done` is called once, perhaps before this returns. */
void drive_submit(struct drive *d, int64_t now, uint64_t home, uint64_t tag,
		  const struct drive_job *spec);

/* What a driver has of a job. */
enum drive_presence {
	DRIVE_ABSENT, /* not here, and no run of it is left */
	/* It is open without runs, and starts if no other cell has it. */
	DRIVE_AWAITS_CELLS,
	/* The same, but an earlier driver of this cell may have left runs. */
	DRIVE_MAY_HAVE_RUNS,
	DRIVE_PRESENT /* it is open, or a run of it may last */
};

enum drive_presence drive_find_job(const struct drive *d, const char *id);

/*
 * Whether this driver knows which jobs have runs on its workers: all of these have
 * listed them, or the leases of the driver before it have expired.
 */
bool drive_knows_runs(const struct drive *d, int64_t now);

/*
 * Calls `each` for the jobs that are open and at least `min_age_ms` old, and for
 * those that have ended and have a run that may last, perhaps more than once.
 */
void drive_list_jobs(const struct drive *d, int64_t now, int64_t min_age_ms,
		     void (*each)(void *ctx, const char *id,
				  enum drive_presence presence),
		     void *ctx);

/*
 * Asks the other cells again for all open jobs, which start no further task until
 * then: this driver was silent for so long that others may have begun them.
 */
void drive_ask_again(struct drive *d);
/* The same for one job, as another cell tells that it has it too. */
void drive_ask_for_job(struct drive *d, const char *id);

/* Another cell was told of the job by an earlier driver of this one. */
void drive_job_was_here(struct drive *d, const char *id);
/* All cells that were asked for the job have answered that they lack it. */
void drive_job_not_elsewhere(struct drive *d, int64_t now, const char *id);
/*
 * Another cell has answered that it has the job. If it has runs in both, as the
 * cells were cut off from each other, `yields` tells whether this one gives way.
 */
void drive_job_elsewhere(struct drive *d, int64_t now, const char *id,
			 uint32_t cell, bool yields);

/* Stops and drops a job whose caller has disconnected, without `job_done`. */
void drive_cancel(struct drive *d, int64_t now, uint64_t home, uint64_t tag);

/*
 * The home answers its caller in `left_ms` whatever comes, as it stops. A job
 * of no other home that can't end by then ends at once, without a start of a
 * task, and so does one that waits until it can't.
 */
void drive_end_by(struct drive *d, int64_t now, uint64_t home, uint64_t tag,
		  uint32_t left_ms);

/*
 * Cancels the job of that id; calls `job_done` for each home and tag. For a
 * while it is also the answer to later submissions of the job, under this driver
 * or, if this is called while another instance drives, when this one does.
 * Returns false if the job's cancel was known already.
 */
bool drive_cancel_id(struct drive *d, int64_t now, const char *id);

/* Cancels all jobs of a home that sent no heartbeat for too long. */
void drive_cancel_home(struct drive *d, int64_t now, uint64_t home);

/* Pass in the answers to calls. `call` is the call's number. */
void drive_start_answered(struct drive *d, int64_t now, uint64_t call,
			  const struct drive_call_answer *answer);
void drive_stop_answered(struct drive *d, int64_t now, uint64_t call,
			 const struct drive_call_answer *answer);
void drive_hold_answered(struct drive *d, int64_t now, uint64_t call,
			 const struct drive_hold_answer *lists);

/* Runs the timers; to be called about every 10 ms. */
void drive_tick(struct drive *d, int64_t now);

/* The number of jobs without a final answer. */
size_t drive_open_jobs(const struct drive *d);
void drive_get_room(const struct drive *d, int64_t now,
		    struct drive_room *room);
void drive_get_counts(const struct drive *d, struct drive_counts *counts);

/* Returns the state as JSON text; to be freed with free(). */
char *drive_dump(const struct drive *d, int64_t now);

#endif
