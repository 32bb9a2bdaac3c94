/*
 * Simulates a fleet on a virtual clock: real instances (src/fleet, src/drive),
 * workers that obey fences and leases, callers that submit jobs again, a store,
 * and a network that delays, cuts links and delivers calls late. It checks
 * that no task has two runs at one time, and counts the callers' outcomes.
 */
#ifndef TEST_FLEET_SIM_H
#define TEST_FLEET_SIM_H

#include "fleet/cells.h"
#include "fake_store.h"

enum {
	FSIM_INSTANCES = 6, /* of an undivided fleet */
	FSIM_INSTANCES_DIVIDED = 9,
	FSIM_INSTANCES_MAX = 160,
	FSIM_DOMAINS = 3,
	FSIM_WORKERS = 12,
	FSIM_RUNS = 16, /* on one worker */
	FSIM_TASKS = 8, /* of one job, of which crashes are counted */
	FSIM_TASK_CPU_MILLI = 8000,
	FSIM_ENDS = 64, /* ended runs of one worker, not acknowledged yet */
	FSIM_JOBS = 4096,
	FSIM_CONFIGS = 1024,
	/* No task of a cancelled job starts later after the acknowledgement. */
	FSIM_CANCEL_MS = 3000,
	FSIM_CONFIG_APPLY_MS = 2000, /* also the bound of evacuations */
	/* No task starts on a draining worker later, by an instance in touch. */
	FSIM_DRAIN_MS = 2000,
	/* An instance is in touch once the store has answered it for so long. */
	FSIM_CONTACT_MS = 3000,
	/* After a cut links are opened, and drivers tell and are told. */
	FSIM_TELL_AGAIN_MS = 700,
	FSIM_STOP_MS = 5500, /* of a planned stop, at most */
	FSIM_ANSWERS_MS = 100 /* before its end */
};

struct fsim;

/* When an instance or a domain could tell the others of its runs. */
struct fsim_contact {
	int64_t since; /* the present contact; zero: from the start on */
	int64_t until; /* the end of the last one that was long enough */
};

struct fsim_instance {
	struct fsim *sim;
	struct cells *cells; /* NULL while it is down */
	struct fleet *fleet; /* the whole fleet, of `cells` */
	struct fake_store_client *store; /* client of this incarnation */
	struct syc_instance instance;
	int domain;
	int64_t paused_until;
	int64_t stops_at; /* the end of a planned stop; zero: none */
	bool cut; /* cut off from all other instances */
	struct fsim_contact contact; /* with the others */
	int64_t busy_until_us; /* it handles no event before */
	int64_t next_tick_at;
	uint32_t event_late_ms; /* how long the last event waited for it */
	uint32_t capacity; /* of its next start; zero: unknown */
	uint64_t config_version; /* in force; zero: none */
	/* Since when it runs and the store answers it. */
	int64_t store_reached_since;
	/* Since when it runs and is linked to an up-to-date instance. */
	int64_t peer_reached_since;
};

struct fsim_run {
	struct drive_task task;
	uint32_t number;
	bool unfenced; /* a new life carried out an order to an earlier one */
	int starter; /* the instance that started it */
	int64_t began_at, ends_at;
	int64_t crashes_at; /* when it crashes its worker; zero: never */
};

struct fsim_end {
	uint64_t sequence;
	struct drive_task task;
	uint32_t run;
	enum drive_run_result result;
};

struct fsim_worker {
	struct drive_worker info;
	int domain;
	bool up;
	bool listed;
	bool cut; /* cut off from all instances */
	int64_t restarts_at; /* it has crashed and refuses calls; zero: not */
	int64_t last_start_at; /* when a task began */
	/* When the store accepted that it drains; zero: it does not. */
	int64_t drains_since;
	int64_t over_capacity_at; /* when a start last exceeded its capacity */
	bool loses_answers; /* carries out calls, but its answers are lost */
	bool loses_stops; /* but carries out and answers other calls */
	int64_t began_at; /* its present life */
	int64_t call_sent_at; /* the call that it carries out */
	/* The entry of its earlier life, which the list has until then. */
	struct drive_worker old_entry;
	int64_t new_entry_at;
	int64_t cold_until; /* its entry says how much longer that is */
	uint64_t fence;
	int64_t lease_expires_at; /* on its clock */
	int64_t clock_offset_ms;
	struct fsim_run runs[FSIM_RUNS];
	size_t n_runs;
	struct fsim_end ends[FSIM_ENDS];
	size_t n_ends;
	uint64_t last_end; /* sequence number */
};

/*
 * A caller's request for a job, sent again after an unknown outcome. Several
 * may be open for one job; what concerns the job is kept in the first.
 */
struct fsim_job {
	char id[DRIVE_JOB_ID_MAX];
	size_t first; /* number of the job's first request */
	int domain; /* domain of the caller */
	uint32_t n_tasks;
	uint32_t run_ms;
	int home; /* the instance that took it; -1: none */
	uint64_t home_incarnation;
	uint32_t deadline_ms; /* after it was sent */
	int64_t sent_at, deadline_at, retry_at; /* zero: not set */
	bool answered;
	bool left; /* its caller waits for no answer */
	enum fleet_outcome outcome;
	bool is_crashing; /* its first task crashes each worker */
	unsigned crashes[FSIM_TASKS]; /* under each task */
	unsigned starts_after_crashes; /* of the first task, after the third */
	bool started; /* a task of it was started in any attempt */
	bool may_have_run; /* an earlier attempt was not refused */
	int64_t began_at; /* when it was first submitted */
	int64_t ended_at;
	int64_t last_sent_at; /* any of the job's requests */
	unsigned n_again; /* further requests */
	/* Of the job's first request: when its cancel was sent; zero: never. */
	int64_t cancel_sent_at;
	int64_t cancel_acked_at; /* zero: not acknowledged */
	unsigned cancels_refused; /* answered without an acknowledgement */
};

struct fsim_event;
struct fsim_client;

struct fsim {
	int64_t now;
	struct rng rng;
	struct fake_store store;
	bool divided; /* into cells, one for each domain */
	bool evacuates; /* its deployment has evacuations */
	bool first_is_old; /* it sends heartbeats of an earlier version */
	int n_instances;
	struct fsim_instance instances[FSIM_INSTANCES_MAX];
	struct fsim_worker workers[FSIM_WORKERS];
	struct fsim_job jobs[FSIM_JOBS];
	size_t n_jobs;
	/* The first dials the second, and is linked to it. */
	bool dialled[FSIM_INSTANCES_MAX][FSIM_INSTANCES_MAX];
	bool linked[FSIM_INSTANCES_MAX][FSIM_INSTANCES_MAX];
	/* Gets a damaged copy of each message besides it; -1: none does. */
	int damaged;
	int64_t links_due_at; /* those dialled last are opened then */
	unsigned long n_messages; /* sent between instances */
	unsigned long n_lists; /* lists of workers among them */
	unsigned long n_list_reads; /* of that list, sent to the store */
	bool domain_cut[FSIM_DOMAINS]; /* cut off from the others */
	int starter; /* the instance whose call a worker carries out */
	struct fsim_contact domain_contact[FSIM_DOMAINS][FSIM_DOMAINS];
	bool callers_leave_early; /* if their home is not reachable */
	bool callers_move; /* submit again to an instance of any domain */
	uint32_t deadline_ms; /* of the jobs submitted from now on */
	/* Processor time of an instance; zero: it is always in time. */
	uint32_t event_us, start_us;
	uint32_t
		objective_add_ms; /* of jobs, besides 1.6 times their run time */
	/* A worker starts again under its name, and says when it was born. */
	bool keeps_names;
	unsigned lose_lists; /* this many further reads of the list are lost */
	unsigned late_percent; /* share of calls that arrive 2 to 12 s late */
	/* When the store confirmed each version; the last is the newest. */
	int64_t config_put_at[FSIM_CONFIGS];
	uint64_t n_configs;
	/* When the store accepted the domain's evacuation; zero: none. */
	int64_t evacuated_at[FSIM_DOMAINS];
	struct fsim_client *clients; /* of the store, for all incarnations */
	struct fsim_event *events; /* in the order of their times */
	uint64_t next_id;
	/* failed checks */
	unsigned n_double_runs; /* two runs of a task at one time */
	/* Later than FSIM_CANCEL_MS after a cancel was acknowledged. */
	unsigned n_cancelled_starts;
	/*
	 * The same, as a new life carried out an order to an earlier one before
	 * any call that fences it. No driver can prevent that. Not a failure.
	 */
	unsigned n_unfenced_runs;
	/*
	 * Pairs of runs in two domains whose present drivers could not tell each
	 * other, as a cut between them lasts or has just ended.
	 */
	unsigned n_runs_behind_cuts;
	unsigned n_false_refusals; /* answered as not run after a start */
	unsigned n_late_configs; /* instances with too old a configuration */
	unsigned n_late_evacuations; /* starts in evacuated domains */
	unsigned n_late_drains; /* starts on draining workers */
	unsigned n_over_budget; /* starts of tasks that crash workers */
	unsigned n_false_failures; /* failed, though no task had crashed two */
	char message[160]; /* describes the first failed check */
};

/* Starts all instances and workers and runs for 3 s, to elect a driver. */
struct fsim *fsim_new(uint64_t seed);
/* The same with a fleet that is divided into cells. */
struct fsim *fsim_new_divided(uint64_t seed);
/* The same, but instance 0 runs an earlier version, as its heartbeats show. */
struct fsim *fsim_new_divided_with_old(uint64_t seed);
/* A fleet, divided or not, whose deployment has evacuations. */
struct fsim *fsim_new_evacuating(uint64_t seed, bool divided);
/* `n` instances, of which each domain has the same part. */
struct fsim *fsim_new_large(uint64_t seed, int n);
/* The same, but no workers of the last domain are listed. */
struct fsim *fsim_new_without_workers(uint64_t seed, int n);
void fsim_free(struct fsim *s);
void fsim_run(struct fsim *s, int64_t ms);

/* Submits a job as a caller of `domain`. */
void fsim_submit(struct fsim *s, int domain, uint32_t n_tasks, uint32_t run_ms);
/* The same, but its first task crashes each worker that starts it. */
void fsim_submit_crashing(struct fsim *s, int domain, uint32_t n_tasks);
/* Submits a job at the instance; returns the number of the request. */
size_t fsim_submit_at(struct fsim *s, int instance, uint32_t n_tasks,
		      uint32_t run_ms);
/* Submits the same job in one more request; returns the number of that. */
size_t fsim_submit_again(struct fsim *s, size_t job, int instance);
/* Cancels the job by its id at the instance. */
void fsim_cancel_id(struct fsim *s, size_t job, int instance);
/* The job's runs on all workers. */
size_t fsim_count_runs(const struct fsim *s, size_t job);
/* The request's caller disconnects, and does not submit it again. */
void fsim_disconnect(struct fsim *s, size_t job);
/* Returns an instance that runs and does not stand still, or -1. */
int fsim_pick_live(struct fsim *s);

void fsim_kill(struct fsim *s, int instance);
void fsim_start(struct fsim *s, int instance);
void fsim_pause(struct fsim *s, int instance, int64_t ms);
void fsim_leave(struct fsim *s, int instance);
/* The same, but the process ends after FSIM_STOP_MS. */
void fsim_stop(struct fsim *s, int instance);
void fsim_cut_domain(struct fsim *s, int domain, bool cut);
void fsim_cut_instance(struct fsim *s, int instance, bool cut);
/* Ends the worker's runs and starts a new incarnation of it. */
void fsim_restart_worker(struct fsim *s, int worker);
/* The store accepts that the worker drains. */
void fsim_drain_worker(struct fsim *s, int worker);
/* From now on workers start again under their names, and tell their births. */
void fsim_keep_names(struct fsim *s);
void fsim_set_listed(struct fsim *s, int worker, bool listed);

/* Puts a newer configuration into the store. */
void fsim_put_config(struct fsim *s);
/* Requests that no task be started on workers of the domain, or ends that. */
void fsim_put_evacuation(struct fsim *s, int domain);
void fsim_end_evacuation(struct fsim *s, int domain);
/* Whether an instance runs, and the store answers it. */
bool fsim_reaches_store(const struct fsim *s, const struct fsim_instance *i);

/* Returns the index of the instance that drives, or -1. */
int fsim_find_driver(const struct fsim *s);
/* The same for the cell of `domain`. */
int fsim_find_driver_of(const struct fsim *s, int domain);
size_t fsim_count_outcomes(const struct fsim *s, enum fleet_outcome outcome);

enum fsim_mode {
	FSIM_PLAIN,
	/* Some kinds of faults are left out and others are more frequent. */
	FSIM_MIXED,
	FSIM_DIVIDED, /* mixed, with a fleet that is divided into cells */
	FSIM_CRASHING, /* mixed, with tasks that crash workers */
	FSIM_DIVIDED_CRASHING,
	FSIM_EVACUATING, /* mixed, with evacuations of domains */
	FSIM_DIVIDED_EVACUATING,
	/* The same two, with workers that start again under their names. */
	FSIM_REBORN,
	FSIM_DIVIDED_REBORN,
	/* The last one, with callers that stay in their domains. */
	FSIM_DIVIDED_REBORN_STAYING,
	FSIM_DRAINING, /* mixed, with workers that drain before they restart */
	FSIM_DIVIDED_DRAINING
};

/*
 * Runs a fleet under random faults; returns false with a message if a check
 * failed.
 */
bool fsim_run_random(uint64_t seed, int64_t ms, enum fsim_mode mode,
		     char *message, size_t size);

/* Crashes the worker; RESTART_MS later another starts at its address. */
void fsim_crash_worker(struct fsim *s, int worker);

/* fleet_sim_worker.c: ends what is due and carries out calls. */
void fsim_worker_tick(struct fsim *s, struct fsim_worker *w);
/* Counts the crash of the worker for the tasks that run there. */
void fsim_count_crash(struct fsim *s, const struct fsim_worker *w);
enum drive_call_result fsim_worker_start(struct fsim *s, struct fsim_worker *w,
					 const struct drive_task *task,
					 uint32_t run, uint64_t fence,
					 int64_t lease_expires_at);
enum drive_call_result fsim_worker_stop(struct fsim *s, struct fsim_worker *w,
					const struct drive_task *task,
					uint32_t run, uint64_t fence);
enum drive_call_result fsim_worker_hold(struct fsim *s, struct fsim_worker *w,
					uint64_t fence, uint64_t cursor,
					int64_t lease_expires_at);

#endif
