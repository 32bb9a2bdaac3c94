/* State and functions that the files of the driver share. */
#ifndef DRIVE_DRIVE_STATE_H
#define DRIVE_DRIVE_STATE_H

#include "drive/drive.h"
#include "drive/losses.h"
#include "policy/call_limit.h"
#include "policy/run_progress.h"
#include "policy/fair_share.h"
#include "policy/run_time.h"
#include "policy/start_rate.h"
#include "policy/worker_speed.h"
#include "util/index.h"
#include "util/list.h"
#include "util/log.h"
#include "util/table.h"

#include <string.h>

enum {
	WAITERS_MAX = 4, /* homes that wait for one job */
	/* A worker that left the list longer ago has nothing running. */
	UNLISTED_MAY_RUN_MS = 10000,
	/* Added to a lease's end before its runs count as ended. */
	LEASE_MARGIN_MS = 60,
	/* A worker that crashed is back after this time, or gone. */
	LOST_WORKER_COUNTS_MS = 3000,
	/* A worker's clock may be slow by up to 1 / CLOCK_DRIFT_DIVISOR. */
	CLOCK_DRIFT_DIVISOR = 20,
	START_RATES = 4 /* priorities; lower ones count as the last */
};

enum run_state {
	RUN_STARTING = 1, /* the start has no answer yet */
	RUN_UNCONFIRMED, /* the start was not answered in time */
	RUN_RUNNING,
	RUN_ENDED /* kept for a while in case its job is submitted again */
};

/* One run of a task on a worker. */
struct run {
	uint64_t handle;
	uint64_t worker; /* handle */
	uint64_t job; /* handle; zero: no open job */
	struct drive_task task;
	uint32_t number;
	enum run_state state;
	uint32_t cpu_milli, memory_mb,
		accelerators; /* reserved on the worker */
	uint64_t fence; /* of its start; zero: adopted */
	/* Incarnation that it was started at, or that listed it last. */
	int64_t born_ms;
	int64_t sent_at; /* when its start was sent, or when it was adopted */
	int64_t running_at; /* when its start was answered or it was listed */
	uint64_t sent_tick; /* the driver's last tick before its start */
	bool is_unanswered; /* its start was not answered in time */
	int64_t due_at; /* when its end should have been reported */
	uint32_t percent; /* of its work that is done */
	int64_t percent_at; /* when `percent` last changed */
	bool began_cold;
	bool was_judged; /* its progress was compared with what was expected */
	bool is_orphan; /* adopted, and its job is not open here */
	bool is_exclusive; /* no other run may start beside it */
	bool is_located; /* `born_ms` has answered that it has the run */
	bool is_lost; /* with an earlier incarnation of its worker */
	bool stopping;
	int64_t stopping_since;
	bool outlives_job; /* logged */
	bool stop_in_flight;
	int64_t next_stop_at; /* when the next stop may be sent */
	enum drive_run_result result; /* of RUN_ENDED */
	int64_t drop_at; /* of RUN_ENDED */
	struct list worker_link;
};

/* A hold that has no answer yet. */
struct hold_call {
	uint64_t worker; /* handle */
	int64_t born_ms; /* the worker's incarnation when it was sent */
	uint64_t fence;
	uint64_t cursor; /* that it acknowledged */
	uint64_t ends_known; /* the last one when it was sent */
	int64_t sent_at;
	uint32_t wait_ms;
	bool is_probe; /* sent beside the regular hold; answered at once */
	bool has_lease; /* it renews the lease */
};

struct worker {
	uint64_t handle;
	struct drive_worker info; /* `born_ms`: the present incarnation */
	int64_t earlier_born_ms; /* the incarnation before the present one */
	int64_t asked_born_ms; /* listed, and the worker was asked about it */
	int64_t unlisted_at;
	bool listed;
	/*
	 * It left the list of this instance, but not that of the driver, which
	 * may still start tasks on it.
	 */
	bool others_use;
	bool has_left; /* the earlier incarnation was leaving */
	bool is_replaced; /* another incarnation answered at its address */
	bool is_slow; /* it has turned slow, see progress.c */
	bool is_reserved; /* for a run that must be alone, once it is empty */
	uint32_t used_cpu_milli, used_memory_mb, used_accelerators;
	struct list runs;
	uint32_t n_runs;
	uint32_t n_orphans; /* adopted runs whose jobs are not open here */
	uint32_t n_exclusive; /* its runs that must be alone */
	uint64_t losses_seen; /* their version when it last answered */
	/* The route whose task was started last when it began to refuse. */
	const struct run_time *lost_to;
	int64_t exclusive_lost_at; /* when such a run was last lost with it */
	uint64_t epoch; /* above the driver's if raised for this worker */
	uint64_t fence_step; /* added to the epoch's first fence */
	uint64_t confirmed_fence; /* highest of an answered hold; zero: none */
	int64_t confirmed_at; /* when the last answered hold was sent */
	int64_t last_start_at; /* when it was last sent a task */
	int64_t listed_runs_at; /* when its last lists were read */
	int64_t previous_lists_at; /* the same of the lists before them */
	bool hold_in_flight; /* the regular hold, which may await a run's end */
	bool probe_in_flight;
	/* The regular hold in flight; answers to others are outdated. */
	uint64_t hold_call;
	/* When that hold is replaced, as it has not reported a known end. */
	int64_t hold_overdue_at; /* zero: it is not overdue */
	int64_t next_hold_at; /* when the next regular hold may be sent */
	int64_t next_list_at; /* when the next list for a due end may be */
	struct call_limit limit;
	int64_t answered_at; /* when the last answered call was sent */
	int64_t unresponsive_since; /* zero: the last hold was answered */
	int64_t refuses_since; /* zero: it refused no connection since then */
	bool has_clock;
	int64_t clock_offset_ms; /* lower bound of its clock minus ours */
	int64_t clock_offset_at; /* when `clock_offset_ms` was learned */
	int64_t lease_held_until; /* our clock: the earliest end of the lease */
	int64_t lease_expired_at; /* our clock: the latest end of the lease */
	uint64_t cursor; /* sequence of the last end that was received */
	uint64_t acknowledged; /* the highest cursor of an answered hold */
	struct worker_speed speed; /* of this life */
	double factor; /* run time relative to a usual worker, now */
	int64_t cold_until;
	/* health */
	uint32_t failures_in_row;
	uint32_t ejections_in_row;
	int64_t ejected_until;
	uint32_t full_in_row; /* starts that it refused for want of capacity */
	uint32_t lists_missed; /* holds in a row without an answer */
	int64_t full_until; /* it gets none before */
	bool on_probation; /* one task at a time until a task succeeds */
	/* progress.c */
	struct worker_pace pace;
	int64_t judged_at; /* `listed_runs_at` of the list that was judged */
};

enum task_state { TASK_WAITING = 0, TASK_ACTIVE, TASK_DONE };

struct task {
	enum task_state state;
	uint32_t last_run; /* the highest run number used */
	uint32_t n_failed;
	uint32_t n_lost; /* runs lost with their worker */
	uint64_t run_handle;
	bool is_suspect; /* it waits for a worker of its own */
};

/* A home that waits for a job's outcome. */
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
	struct run_time *run_time; /* of its route */
	struct waiter waiters[WAITERS_MAX];
	size_t n_waiters;
	uint32_t generation, priority, attempts_max, per_worker_max;
	uint32_t cpu_milli, memory_mb, accelerators, estimate_ms;
	int64_t arrived_at; /* at its home */
	int64_t objective_at;
	int64_t latest_start_at; /* to meet the objective */
	int64_t submitted_at; /* to this driver */
	int64_t settled_at; /* runs of an earlier driver have ended by then */
	int64_t deadline_at;
	int64_t begin_by; /* to end before its home does; zero: no limit */
	struct task *tasks;
	uint32_t n_tasks, n_done, n_active;
	uint32_t n_suspects; /* waiting tasks that need a worker of their own */
	/* Logarithms of run times over expected ones, of tasks that have ended. */
	double excess_sum;
	uint32_t n_excess;
	bool has_begun; /* a task of it was started or adopted */
	bool is_late; /* when it was queued, its objective was missed */
	bool is_over_share; /* when it was queued, its account was */
	bool awaits_cells; /* it does not start before the others answer */
	bool may_have_runs; /* here, by an earlier driver */
	uint32_t cell; /* the one that has it, once DRIVE_ELSEWHERE is said */
	size_t account; /* in the drive's `shares` */
	void *body;
	size_t body_len;
	struct list queue_link; /* used while a task of it waits */
	struct list suspect_link; /* used while `n_suspects` is not zero */
	struct list all_link;
};

/* What a job needed that was refused by a plan. */
struct refused_job {
	bool is_set;
	uint32_t priority, n_tasks, cpu_milli;
	int64_t latest_start_at;
};

struct drive {
	struct drive_options opt;
	struct drive_counts counts;
	bool active;
	uint64_t n_ticks;
	uint64_t epoch;
	int64_t began_at; /* when it began to drive */
	struct table workers, runs, jobs, holds;
	struct index worker_names, run_tasks, job_ids;
	struct list queue; /* of jobs, in the order in which they begin */
	struct list suspect_jobs; /* with a task that must be alone */
	struct losses *losses;
	uint64_t losses_reviewed; /* their version */
	bool has_suspects; /* a worker may be reserved */
	struct list all_jobs;
	struct run_times run_times;
	struct call_limits call_limits;
	struct fair_shares shares;
	struct start_rate start_rates[START_RATES]; /* by priority */
	int64_t looks_left; /* at workers, by plans before the next tick */
	struct refused_job refused_like; /* since the last tick */
	struct worker_speeds speeds;
	char domain_limit[SYC_NAME_MAX]; /* failure domain; empty: all */
	int64_t workers_known_since; /* all workers listed since are known */
	bool forgot_worker; /* an unlisted worker was removed */
	bool is_list_fresh; /* the list was read since this driver began */
	bool capacity_changed; /* the queue has to be checked again */
	uint32_t largest_free_milli; /* of a worker; see queue.c */
	uint32_t next_pick; /* rotates the choice among equal workers */
	struct stop_budget stop_budget; /* of runs that fall behind */
	/* cancelled.c */
	struct table cancelled; /* of struct cancelled_job */
	struct index cancelled_ids;
	struct list cancelled_by_age; /* the oldest is the first */
	bool awaits_list; /* the list of workers is too old to start a task */
	bool awaits_evacuated; /* which domains are evacuated is not known */
	struct drive_domains evacuated;
};

/* worker.c */
struct worker *worker_get(const struct drive *d, uint64_t handle);
/* Whether the worker has answered a hold under the epoch in force. */
bool worker_is_confirmed(const struct drive *d, const struct worker *w);
/* Whether this driver may call the worker. */
bool worker_is_driven(const struct drive *d, const struct worker *w);
/*
 * Whether another driver may have started runs on the worker that this driver
 * does not know, as the worker has answered no hold sent at `since` or later.
 */
bool worker_may_hide_runs(const struct drive *d, const struct worker *w,
			  int64_t since, int64_t now);
/* Whether it may be used but for a run that must be alone or is to be. */
bool worker_is_available(const struct drive *d, const struct worker *w,
			 int64_t now);
/* Whether the worker may be given another task now. */
bool worker_is_usable(const struct drive *d, const struct worker *w,
		      int64_t now);
/* Whether the workers of its failure domain get no further task. */
bool worker_is_evacuated(const struct drive *d, const struct worker *w);
/* How many further tasks its slots allow; UINT32_MAX: any number. */
uint32_t worker_free_slots(const struct worker *w);
/* The expected run time of a task of `j` on this worker, in ms. */
double worker_expected_ms(const struct drive *d, const struct worker *w,
			  const struct job *j);
void worker_record_success(struct drive *d, struct worker *w);
/* Ejects the worker after too many failures in a row. */
void worker_record_failure(struct drive *d, struct worker *w, int64_t now,
			   const char *why);
/* The same for a start that was proved not to have been carried out. */
void worker_record_lost_start(struct drive *d, struct worker *w, int64_t now);
/* It has refused a start for want of capacity, so it gets none for a while. */
void worker_record_full(struct worker *w, int64_t now);
/* Gives the worker no new tasks for a while. */
void worker_eject(struct drive *d, struct worker *w, int64_t now,
		  const char *why);
void worker_record_clock(struct worker *w, int64_t now,
			 const struct drive_call_answer *a);
/* The longest time that a run may outlive a call that carried a lease. */
int64_t worker_lease_max_ms(const struct drive *d);
/*
 * Assumes that this or another driver renews the worker's lease now, so that
 * its runs may continue for a whole lease.
 */
void worker_assume_renewed(const struct drive *d, struct worker *w,
			   int64_t now);
/*
 * Returns the end of a lease that is granted now, on the worker's clock. The
 * worker's runs may continue until then, whether or not the call is answered.
 */
int64_t worker_grant_lease(const struct drive *d, struct worker *w,
			   int64_t now);
/* The fence for the next call to the worker. */
uint64_t worker_fence(const struct drive *d, const struct worker *w);
void worker_raise_fence(const struct drive *d, struct worker *w);
/*
 * Whether holds were left unanswered and no call since was answered, but too
 * few to call the worker unresponsive.
 */
bool worker_is_in_doubt(const struct worker *w);
/* The time limit of a list that the worker can answer at once. */
uint32_t worker_limit_ms(const struct drive *d, const struct worker *w);
/* The worker has answered a call; `at_once_ms`: in that time, or -1. */
void worker_record_answer(struct drive *d, struct worker *w, int64_t sent_at,
			  int64_t at_once_ms);
/* A call that was sent then was not answered. */
void worker_record_miss(struct drive *d, struct worker *w, int64_t sent_at);
/* Removes the worker if it left the list long ago. */
void worker_remove_unlisted(struct drive *d, struct worker *w, int64_t now);

/* hold.c */
void hold_tick(struct drive *d, struct worker *w, int64_t now);
/*
 * Requests the worker's lists at once, under a fence that is above those of its
 * runs that are in doubt.
 */
void hold_probe(struct drive *d, struct worker *w, int64_t now);
/* Finishes the worker's runs: its lease or its incarnation has ended. */
void hold_finish_runs(struct drive *d, struct worker *w, int64_t now,
		      const char *why);
/* Nothing listens at the worker's address. */
void hold_mark_refusing(struct drive *d, struct worker *w, int64_t now);
/* Finishes the worker's runs, as another process answers at its address. */
void hold_mark_replaced(struct drive *d, struct worker *w, int64_t now);

/* due.c */
/* Sets when the end of a run that is started is due. */
void due_set(const struct drive *d, const struct worker *w, struct run *r,
	     const struct job *j);
/* A list has named the run, with its progress. */
void due_note_running(struct run *r, int64_t now);
/* Requests the worker's lists if the end of the run is due. */
void due_tick(struct drive *d, struct worker *w, struct run *r, int64_t now);

/* run.c */
struct run *run_get(const struct drive *d, uint64_t handle);
/* The run of `task`, or NULL. */
struct run *run_find(const struct drive *d, const struct drive_task *task);
/* Returns the run's handle. */
uint64_t run_start(struct drive *d, struct job *j, uint32_t index,
		   struct worker *w, int64_t now);
/* Lets no other run start on the worker while this one is there. */
void run_make_exclusive(struct worker *w, struct run *r);
/* Marks a run as running at the first answer or list that shows it. */
void run_mark_running(struct run *r, int64_t now);
/* The run of that number on `w`, or NULL. */
struct run *run_find_on_worker(const struct drive *d, const struct worker *w,
			       const struct drive_task *task, uint32_t number);
/*
 * Takes note of a run that this driver did not start. If the task has a run
 * already, this one is stopped.
 */
void run_adopt(struct drive *d, struct worker *w,
	       const struct drive_active_run *row, int64_t now);
void run_stop(struct drive *d, struct run *r, int64_t now);
/* Assigns an adopted run to an open job, with the job's resources. */
void run_assign_job(struct drive *d, struct run *r, const struct job *j);
/* Records the result of a run that has ended or can no longer begin. */
void run_finish(struct drive *d, struct run *r, enum drive_run_result result,
		int64_t now);
void run_tick(struct drive *d, struct run *r, int64_t now);
void run_remove(struct drive *d, struct run *r);
/* Keeps the result of an ended run, as its job may be submitted again. */
void run_keep_result(struct drive *d, struct worker *w,
		     const struct drive_ended_run *end, int64_t now);

/* admit.c */
/*
 * Whether no other cell has `j`, and all runs of it by earlier drivers are known
 * or have ended.
 */
bool job_is_settled(const struct drive *d, const struct job *j, int64_t now);
/*
 * Another driver has called a worker meanwhile, so it may have begun any open job:
 * each starts no further task until all workers have listed their runs.
 */
void admit_unsettle_all(struct drive *d, int64_t now);

/* elsewhere.c */
/* Whether the job is open in another cell and not here; its home is told. */
bool elsewhere_redirect(struct drive *d, uint64_t home, uint64_t tag,
			const struct drive_job *spec);
/* Finds out whether a new job has runs, here or in another cell. */
void elsewhere_check(struct drive *d, struct job *j,
		     const struct drive_job *spec);

/* job.c */
struct job *job_get(const struct drive *d, uint64_t handle);
struct job *job_find(const struct drive *d, const char id[DRIVE_JOB_ID_MAX]);
/* Adds the job to the index of ids. */
void job_index(struct drive *d, const struct job *j);
void job_task_finished(struct drive *d, struct job *j, uint32_t index,
		       enum drive_run_result result, int64_t now);
/* Stops the job's runs, drops the job and reports to all waiters. */
void job_end(struct drive *d, struct job *j, enum drive_outcome outcome,
	     uint32_t retry_after_ms, const char *reason, int64_t now);
/* Ends a job that cannot be served in time: refused, if no task was started. */
void job_end_unserved(struct drive *d, struct job *j, const char *reason,
		      int64_t now);
/* Takes back what drive_end_by did. */
void job_clear_begin_by(struct job *j);
void job_tick(struct drive *d, struct job *j, int64_t now);
void job_drop(struct drive *d, struct job *j);
/* The expected run time of its tasks on a worker of usual speed, in ms. */
double job_expected_ms(const struct job *j);

/* cancelled.c */
void cancelled_init(struct drive *d);
void cancelled_free(struct drive *d);
/* Remembers a job that is cancelled; false: it was remembered already. */
bool cancelled_note(struct drive *d, const char id[DRIVE_JOB_ID_MAX],
		    int64_t now);
/* Answers a submission of a job that was cancelled; false: it was not. */
bool cancelled_answer(struct drive *d, uint64_t home, uint64_t tag,
		      const struct drive_job *spec,
		      const char id[DRIVE_JOB_ID_MAX], int64_t now);

/* incarnation.c */
/* What the incarnation that an answer names says about the answer. */
enum answer_source {
	ANSWER_PRESENT, /* it may be handled */
	ANSWER_OTHER /* it comes from an incarnation that is not present */
};

/*
 * Takes note of the incarnation that an answer names, if any. `sent_to` is the
 * one that was present when the call was sent.
 */
enum answer_source incarnation_check(struct drive *d, struct worker *w,
				     int64_t sent_to,
				     const struct drive_call_answer *answer,
				     int64_t now);
/* Takes over an entry of the list, but for an incarnation that it names. */
void incarnation_note_listed(struct drive *d, struct worker *w,
			     const struct drive_worker *info, int64_t now);
/* Whether the run was last known at an earlier incarnation of the worker. */
bool incarnation_is_earlier(const struct worker *w, const struct run *r);

/* speeds.c */
/* A life of the worker begins, with no samples of its speed. */
void speeds_begin_life(struct drive *d, struct worker *w, int64_t now);
/* Brings the worker's factor up to date. */
void speeds_refresh(struct drive *d, struct worker *w, int64_t now);
/* Adds the worker's factor to the counts. */
void speeds_count(const struct drive *d, const struct worker *w,
		  struct drive_counts *counts);
/* Learns from a run that has ended well. */
void speeds_learn_end(struct drive *d, struct worker *w, struct run *r,
		      int64_t now);
/* Learns from a run that the worker has just listed as active. */
void speeds_learn_progress(struct drive *d, struct worker *w, struct run *r,
			   int64_t now);

/* lost_runs.c */
/* Records the runs marked as lost with an earlier incarnation of the worker. */
void lost_runs_record_marked(struct drive *d, struct worker *w, int64_t now);
/* Records the runs of a worker that is lost; `cause` holds if they are there. */
void lost_runs_record(struct drive *d, struct worker *w, enum loss_cause cause,
		      int64_t now);

/* progress.c */
/* Stops runs that are behind and would be in time elsewhere. */
void progress_review(struct drive *d, int64_t now);
/* Notes the pace of a run of `j` that has ended as done. */
void progress_record_end(struct worker *w, const struct run *r,
			 const struct job *j, int64_t now);

/* bulkhead.c */
/*
 * Whether so many workers are lost to tasks of the route that its jobs are
 * refused, for the sake of the other routes.
 */
bool bulkhead_is_closed(const struct drive *d, const struct run_time *rt,
			int64_t now);

/* run_calls.c */
/*
 * Requests the worker's lists if the answer to the run's start takes longer
 * than answers do.
 */
void run_hedge_start(struct drive *d, struct run *r, struct worker *w,
		     int64_t now);

/* suspects.c */
/*
 * Decides what becomes of a task that waits: it is queued, set apart, or its job
 * ends. Returns false if the job has ended.
 */
bool suspects_judge(struct drive *d, struct job *j, uint32_t index,
		    int64_t now);
/* The same for a task of a job that is submitted; it is not queued yet. */
bool suspects_admit(struct drive *d, struct job *j, uint32_t index,
		    int64_t now);
/* The task is no suspect any more: it runs. */
void suspects_clear(struct drive *d, struct job *j, struct task *t);
/* Judges the waiting tasks again if more is known of losses. */
void suspects_review(struct drive *d, int64_t now);
/* Starts suspects on workers of their own. */
void suspects_run(struct drive *d, int64_t now);

/* queue.c */
/* Tasks that wait for any worker. */
uint32_t queue_count_waiting(const struct job *j);
/* Whether tasks of the job may be started now. */
bool queue_may_start(const struct drive *d, const struct job *j, int64_t now);
void queue_add(struct drive *d, struct job *j, int64_t now);
void queue_remove(struct job *j);
/* Begins the jobs that fit; refuses those that must miss their objective. */
void queue_run(struct drive *d, int64_t now);

/* room.c */
/*
 * When `j`, which is queued, is expected to begin; a time after its latest
 * start is a lower bound. INT64_MAX: the known runs free too little.
 */
int64_t room_expected_start(const struct drive *d, const struct job *j,
			    int64_t now);
/* Allows plans again; to be called at each tick. */
void room_renew_plans(struct drive *d);
/* Whether another plan may be made before the next tick. */
bool room_take_plan(struct drive *d);
/* Notes that `j` was refused by a plan. */
void room_note_refused(struct drive *d, const struct job *j);
/* Whether a job that needs no more than `j` was refused since the last tick. */
bool room_was_refused_like(const struct drive *d, const struct job *j);
/* Refuses waiting jobs that can't be in time any more, a few at each call. */
void room_review(struct drive *d, int64_t now);
/* `j` was submitted. */
void room_count_job(struct drive *d, struct job *j, int64_t now);
/* A task of `j` was started. */
void room_count_start(struct drive *d, const struct job *j, int64_t now);

/* place.c */
/* Starts all waiting tasks of a job, or none; true: all were started. */
bool place_job(struct drive *d, struct job *j, int64_t now);
/* Starts as many waiting tasks as fit; false: none was started. */
bool place_some(struct drive *d, struct job *j, int64_t now);
/* Whether the worker serves such jobs. */
bool place_is_eligible(const struct worker *w, const struct job *j);
/* Whether the worker could run a task of `j` if it were empty. */
bool place_fits_empty(const struct worker *w, const struct job *j);
/*
 * Whether a task of `j` fits on an empty listed worker whose failure domain is
 * not evacuated.
 */
bool place_has_open_worker(const struct drive *d, const struct job *j);
/*
 * Whether a task of `j` that begins now on the worker is expected to be in time,
 * or `j` is late already.
 */
bool place_is_in_time(const struct drive *d, const struct worker *w,
		      const struct job *j, int64_t now);
/* Whether a task of `j` fits on an empty listed worker. */
bool place_is_possible(const struct drive *d, const struct job *j);

#endif
