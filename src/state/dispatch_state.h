/*
 * The dispatcher's internal state and the functions that its files share. A
 * pool holds the targets and the queue of one service. A flow is the part of
 * a pool's queue that belongs to one caller. A job is a submission. A send is
 * one attempt to run a task on a target. The available slots of a pool are
 * those that its sends use and those that are free.
 */
#ifndef STATE_DISPATCH_STATE_H
#define STATE_DISPATCH_STATE_H

#include "state/heap.h"
#include "state/ledger.h"
#include "state/slot_state.h"
#include "sycamoreshore/dispatch.h"
#include "util/index.h"
#include "util/rng.h"
#include "util/table.h"

enum {
	TARGET_SLOTS_MAX = 256, /* slots of one target */
	SIZE_CLASSES_MAX = 32, /* different sizes of targets in one service */
	TASK_SENDS_MAX = 12, /* sends of one task, refused ones included */
	NO_TARGET_RETRY_MS = 1000, /* retry-after when no target is listed */
	/* How long a job waits while no listed target can run its next task. */
	NO_TARGET_WAIT_MS = 10000,
	STRANDED_CHECK_MS = 500, /* between two searches for these jobs */
	QUEUE_FULL_RETRY_MS = 500, /* retry-after when the queue is full */
	RESERVATION_MS = 2000, /* of a target for a task of several slots */
	STOPPING_RETRY_MS = 200, /* retry-after while this instance drains */
	DEFAULT_TIME_LIMIT_MS = 30000, /* of a task whose kind states none */
	TIME_LIMIT_MAX_MS = 600000, /* of a task of any kind */
	/* From a task's time limit until its slot is free on the target. */
	TIME_LIMIT_SLACK_MS = 50,
	/* From the stop of a send until its slot is free on the target. */
	STOP_GRACE_MS = 20,
	SLOT_PEERS_MAX = 4096, /* pairs of peer and service */
	VTIME_SCALE = 1024, /* virtual time of one slot-ms at share 1 */
	DEFAULT_ESTIMATE_MS = 200 /* run time without samples or a hint */
};

struct pool;
struct flow;

/* The types of limits of a caller; they index the arrays below. */
enum { LIMIT_SLOTS, LIMIT_RATE, LIMIT_TYPES };

/* The part of a caller's limits that the limit owner leased to an instance. */
struct allotment {
	uint64_t holder; /* instance */
	uint64_t request_seq; /* of its last request */
	int64_t requested_at;
	int64_t expires_at;
	uint64_t amounts[LIMIT_TYPES];
	bool is_short[LIMIT_TYPES]; /* the holder wanted more */
};

struct caller {
	struct syc_caller conf;
	bool is_listed; /* in the bundle in force */
	uint32_t waiting_tasks;
	uint32_t running_slots;
	/* The parts of the caller's limits that this instance may use. */
	uint64_t allotted[LIMIT_TYPES];
	int64_t allotment_expires_at;
	uint64_t allotment_request_seq;
	int64_t allotment_requested_at;
	int64_t last_submitted_at;
	int64_t tokens; /* thousandths of a submission */
	int64_t tokens_refilled_at;
	/* The instance that leases parts of the caller's limits to others. */
	uint64_t limit_owner;
	/*
	 * As limit owner: until then allotments of an earlier limit owner may
	 * be in use.
	 */
	int64_t uncertain_until;
	size_t n_allotments;
	struct allotment *allotments;
};

struct kind {
	struct syc_kind conf;
	bool is_listed; /* in the bundle in force */
	struct pool *pool;
	uint32_t n_users; /* jobs and sends that refer to it */
	uint32_t n_samples;
	int64_t mean_scaled_ms; /* mean run time in 1/16 ms */
};

/* Whether a target receives tasks; see target_health.c. */
enum target_state { TARGET_UP, TARGET_BACKOFF, TARGET_EJECTED, TARGET_PROBE };

struct size_class;

struct target {
	struct syc_target conf;
	struct pool *pool;
	struct size_class *size_class;
	bool is_listed; /* by the platform */
	uint64_t owner; /* instance; zero: not known */
	uint64_t prev_owner; /* instance; zero: not known */
	int64_t owner_since;
	int64_t owners_known_since; /* owners before it are not known */
	bool is_owned; /* by this instance */
	/*
	 * Until then an owned target is uncertain: slots that this instance does
	 * not know of may be in use on it. Zero: it is not uncertain.
	 */
	int64_t uncertain_until;
	uint32_t handover_index; /* in the handover reply being written */
	bool has_handover_index;
	uint32_t slots;
	uint32_t used_slots; /* as the owner counts them */
	uint32_t granted_slots; /* of these, granted to other instances */
	uint32_t n_sends; /* of this instance */
	uint32_t n_held; /* grants on it that this instance holds */
	/* Slots that a task or a grant may take now; they select the bucket. */
	uint32_t free_slots;
	size_t bucket_index; /* in the targets of the bucket */
	enum target_state state;
	struct heap_node state_timer; /* end of the state */
	uint32_t backoff_ms;
	uint32_t consecutive_failures;
	struct rack *rack;
};

/* Targets that may fail together. */
struct rack {
	struct rack *next;
	char name[SYC_NAME_MAX];
	uint32_t used_slots; /* by sends of this instance */
};

/* Targets of one size with the same number of free slots. */
struct bucket {
	struct target **targets;
	size_t n;
	size_t cap;
};

/* Targets of equal size. */
struct size_class {
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t n_listed; /* targets */
	struct bucket buckets[TARGET_SLOTS_MAX + 1]; /* by free slots */
};

/* The targets and the queue of one service. */
struct pool {
	struct syc_service conf;
	bool is_listed; /* in the bundle in force */
	struct table targets;
	struct index target_by_name;
	uint32_t n_listed; /* targets that are listed and not leaving */
	uint32_t slots_free; /* owned slots that a task could start on now */
	uint32_t slots_used; /* by sends of this instance */
	uint32_t slots_owned; /* of listed targets that this instance owns */
	/* The listed slots divided evenly among the owners of targets. */
	uint32_t slots_even_part;
	uint32_t n_ejected; /* targets */
	struct rack *racks;
	struct index rack_by_name;
	uint64_t active_shares; /* of flows with waiting tasks */
	struct target *reserved_target; /* for a task of several slots */
	int64_t reserved_until;
	uint32_t reserved_width; /* slots that the task needs */
	uint32_t n_uncertain; /* owned targets that are uncertain */
	uint32_t max_time_limit_ms; /* of the kinds that it runs */
	size_t n_size_classes;
	struct size_class *size_classes[SIZE_CLASSES_MAX];
	struct flow *flows;
	struct index flow_by_caller;
	uint32_t n_flows;
	struct heap ready_flows; /* with waiting tasks, by virtual time */
	/* Flows that other instances demand slots for, by virtual time. */
	struct heap demanded_flows;
	struct list idle_grants; /* held grants without a send */
	int64_t slots_divided_at; /* last division; see slot_share.c */
	/* Moving mean of the available slots; see slot_share.c. */
	double slots_obtained_mean;
	int64_t slots_requested_at; /* when slots were last requested of owners */
	uint32_t requested_tasks; /* tasks that waited at that time */
	int64_t vtime; /* virtual time of the flow that was served last */
	uint32_t waiting_tasks;
};

struct flow {
	struct flow *next;
	struct pool *pool;
	struct caller *caller;
	struct heap_node ready_node;
	struct heap waiting_jobs;
	int64_t vtime; /* virtual time: slot-ms * VTIME_SCALE / share */
	uint32_t waiting_tasks;
	uint32_t running_slots;
	uint32_t running_owned_slots; /* of these, on owned targets */
	/* Available slots that its share entitles it to, times SLOT_SCALE. */
	uint64_t entitled_scaled;
	/* Its part of the pool's active_shares; zero: it is not in them. */
	uint64_t active_share;
	uint32_t retry_credit; /* hundredths of a retry or hedge */
	struct heap_node demanded_node;
	struct list demands; /* of other instances */
	uint32_t demanded_tasks; /* by other instances */
	uint32_t granted_slots; /* to other instances */
	int64_t prepaid_slot_ms; /* charged in advance for grants */
	int64_t waiting_slot_ms; /* estimated, of the waiting tasks */
	struct ledger ledger;
};

enum task_state { TASK_WAITING, TASK_RUNNING, TASK_DONE };

struct task {
	enum task_state state;
	uint32_t next_waiting; /* index plus one; zero: the last */
	uint32_t attempts; /* number of its sends */
	uint32_t retries; /* sends after one that may have run the task */
	/* The target of its last send; compared, never dereferenced. */
	struct target *last_target;
	uint32_t estimated_ms; /* run time */
	uint32_t run_hint_ms; /* run time stated by the caller; zero: none */
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
	struct syc_bytes body; /* in the job's bodies */
	uint64_t send_ids[2]; /* running; the second is a hedge */
	uint16_t http_status;
	void *result_body;
	size_t result_len;
};

struct job {
	uint64_t handle;
	uint64_t tag;
	struct flow *flow;
	struct kind *kind;
	bool is_single;
	bool may_have_run; /* a task may have been started */
	int64_t submitted_at;
	int64_t deadline_at; /* zero: none */
	/* Since when its next task fits no listed target; zero: it fits. */
	int64_t stranded_since;
	struct heap_node flow_node;
	struct heap_node deadline_node;
	uint32_t n_tasks;
	uint32_t n_done;
	uint32_t n_waiting;
	uint32_t n_running;
	uint32_t first_waiting; /* index plus one; zero: none */
	uint64_t first_task_id;
	struct task *tasks;
	char *bodies;
};

struct send {
	uint64_t id;
	uint64_t job_handle; /* zero or stale once the job is answered */
	uint32_t task_index;
	struct flow *flow;
	struct kind *kind;
	struct target *target;
	/* The grant that it runs on; NULL: a slot of an owned target. */
	struct held_grant *grant;
	/*
	 * The id under which a new owner of the target counts this send and
	 * which is returned at its end; zero: none.
	 */
	uint64_t handover_id;
	uint32_t width; /* slots */
	uint32_t estimated_ms; /* run time */
	uint64_t bundle_version; /* in force at its start */
	int64_t started_at;
	int64_t time_limit_at;
	bool is_stopped;
	/* It has ended for this instance and may still run on the target. */
	bool is_lingering;
	struct heap_node linger_node; /* end of lingering */
	struct heap_node hedge_node; /* when the task may be sent again */
};

struct syc_dispatch {
	struct syc_dispatch_options opt;
	struct syc_bundle *bundle;
	struct rng rng;
	bool is_draining;
	bool is_scheduling;
	struct index caller_by_name; /* pointers into the tables below */
	struct index kind_by_name;
	struct index pool_by_name;
	struct table caller_table;
	struct table kind_table;
	struct table pool_table;
	struct table jobs;
	struct index job_by_tag;
	struct table sends;
	/* Submissions refused before they had a flow; no ledger has them. */
	uint64_t refused_without_service;
	uint32_t waiting_tasks;
	struct heap job_deadlines;
	struct heap lingering_sends;
	struct heap target_timers;
	struct heap hedge_timers; /* of sends */
	struct table slot_peers;
	struct index slot_peer_index;
	struct index issued_grants; /* pointers by id */
	struct heap grant_timers; /* of issued grants */
	int64_t owners_changed_at;
	bool is_first_map; /* no target had an owner before this map */
	int64_t slot_peers_swept_at;
	int64_t stranded_checked_at;
	uint64_t messages_sent; /* to other instances */
	uint64_t message_bytes_sent;
	uint64_t handover_nonce; /* of requests since the last map */
	int64_t handover_requested_at;
};

/*
 * dispatch_names.c: callers, kinds and pools by name. They outlive the bundle
 * that listed them. dispatch_find_caller and dispatch_find_kind find listed
 * ones only. The functions that find return NULL when there is none.
 */
struct caller *dispatch_find_caller(struct syc_dispatch *d, const char *name);
struct kind *dispatch_find_kind(struct syc_dispatch *d, const char *name);
struct pool *dispatch_find_pool(struct syc_dispatch *d, const char *name);
struct pool *dispatch_add_pool(struct syc_dispatch *d, const char *name);
/* Applies the bundle in `d`. */
void dispatch_apply_bundle(struct syc_dispatch *d, int64_t now);
void dispatch_free_names(struct syc_dispatch *d);

/* fair_queue.c */
/* The flow of `c` in `p`, made when there is none. */
struct flow *flow_get(struct pool *p, struct caller *c);
void flow_add_job(struct flow *f, struct job *j);
void flow_remove_job(struct flow *f, struct job *j);
/* Updates the queue after `demanded_tasks` of the flow changed. */
void flow_update_demand(struct flow *f);
/* The queued flow with the lowest virtual time, or NULL. */
struct flow *pool_first_flow(struct pool *p);
/* The flow with demands of peers and the lowest virtual time, or NULL. */
struct flow *pool_first_demanded_flow(struct pool *p);
/* The job whose task starts next, or NULL. */
struct job *flow_first_job(struct flow *f);
/* Adds the cost of `slot_ms` slot-milliseconds, which may be negative. */
void flow_charge(struct flow *f, int64_t slot_ms);
/* Takes the flow out of the queue. */
void flow_suspend(struct flow *f);
/* Puts the flow back into the queue if tasks of it wait. */
void flow_resume(struct flow *f);
/* Updates the position of the job after its waiting tasks changed. */
void flow_reorder_job(struct flow *f, struct job *j);

/* job_table.c */
struct job *job_new(struct syc_dispatch *d, int64_t now, uint64_t tag,
		    const struct syc_job_spec *spec, struct flow *f,
		    struct kind *k);
/* Takes the next waiting task; there must be one. Returns its index. */
uint32_t job_take_task(struct syc_dispatch *d, struct job *j);
void job_requeue_task(struct syc_dispatch *d, struct job *j, uint32_t index);
/* Answers and frees the job: drops waiting tasks and stops running ones. */
void job_answer(struct syc_dispatch *d, int64_t now, struct job *j,
		enum syc_outcome outcome, enum syc_reason reason,
		uint32_t retry_after_ms, const char *detail);
/*
 * Answers an unfinished job: unknown while a task of it runs, failed when one
 * may have run, otherwise not run.
 */
void job_give_up(struct syc_dispatch *d, int64_t now, struct job *j,
		 enum syc_reason reason, uint32_t retry_after_ms,
		 const char *detail);
/* Answers and frees a job whose tasks are all done. */
void job_complete(struct syc_dispatch *d, int64_t now, struct job *j);
void job_free(struct syc_dispatch *d, struct job *j);

/* slots.c */
/* Replaces the list of targets. */
void slots_set_targets(struct syc_dispatch *d, int64_t now, struct pool *p,
		       const struct syc_target *targets, size_t n);
/* Applies the bundle's number of slots per target. */
void slots_resize(struct syc_dispatch *d, struct pool *p);
/* Recounts the free slots of `t`. */
void slots_update_free(struct syc_dispatch *d, struct target *t);
/* Looks up the owners of all targets of the pool. */
void slots_update_owners(struct syc_dispatch *d, int64_t now, struct pool *p);
/* Counts the slots of a send of this instance as used, or as free again. */
void slots_occupy(struct syc_dispatch *d, struct send *s);
void slots_release(struct syc_dispatch *d, int64_t now, struct send *s);
/* The target named `name`, or NULL. */
struct target *slots_find_target(const struct pool *p, const char *name);
/*
 * Returns grant `id` to the owner of `t`, unless the owner is `issuer` or not
 * known.
 */
void slots_return_grant(struct syc_dispatch *d, int64_t now, struct target *t,
			uint64_t id, uint64_t issuer);
void slots_free_pool(struct pool *p);

/*
 * placement.c
 *
 * placement_width returns the slots that a task takes of a target of class
 * `c`; zero when it does not fit.
 */
uint32_t placement_width(const struct pool *p, const struct size_class *c,
			 uint32_t cpus, uint32_t memory_mb,
			 uint32_t accelerators);
/*
 * Returns a target with enough free slots for `task` and sets `width` to the
 * slots that the task takes; NULL when there is none.
 */
struct target *placement_pick(struct syc_dispatch *d, struct pool *p,
			      const struct task *task, uint32_t *width);
/*
 * Reserves a target for a task that needs several slots. If a target is
 * reserved already, ends that reservation instead, provided that it has expired
 * or that the task needs no fewer slots than are reserved and they are free.
 */
void placement_reserve(struct syc_dispatch *d, int64_t now, struct pool *p,
		       const struct task *task);
void placement_unreserve(struct syc_dispatch *d, struct pool *p);
/* Whether the task fits any listed target when that is idle. */
bool placement_fits_any(const struct pool *p, const struct syc_task_spec *task);

/* target_health.c: records how sends to a target ended. */
void health_record_refusal(struct syc_dispatch *d, int64_t now,
			   struct target *t);
void health_record_failure(struct syc_dispatch *d, int64_t now,
			   struct target *t);
/*
 * Ends a probe after a holder returned a grant on the target. A failure that
 * the holder reported must be recorded before.
 */
void health_end_probe(struct syc_dispatch *d, struct target *t);
void health_record_success(struct syc_dispatch *d, struct target *t);
void health_tick(struct syc_dispatch *d, int64_t now);

/* retry.c */
/* Adds the retry credit that a first send earns. */
void retry_earn_credit(struct syc_dispatch *d, struct flow *f);
/* Sets the timer of the hedge if the kind of `j` allows one. */
void retry_schedule_hedge(struct syc_dispatch *d, struct send *s,
			  const struct job *j);
void retry_tick(struct syc_dispatch *d, int64_t now);

/*
 * allotment.c: limits of callers over the whole fleet. allotment_admit
 * returns false after it refused the submission; allotment_receive returns
 * false for an invalid message.
 */
bool allotment_admit(struct syc_dispatch *d, int64_t now, uint64_t tag,
		     struct flow *f, uint32_t n_tasks);
bool allotment_may_start(const struct caller *c, int64_t now);
bool allotment_receive(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct syc_bytes msg);
void allotment_tick(struct syc_dispatch *d, int64_t now);

/* estimate.c: run times by kind. */
uint32_t estimate_ms(const struct kind *k, uint32_t hint_ms);
bool estimate_is_known(const struct kind *k);
void estimate_add_sample(struct kind *k, int64_t run_ms);

/*
 * admission.c: admission_check returns true when the submission may queue and
 * false after it refused the submission. `f` of admission_refuse is NULL for a
 * submission that has no flow yet.
 */
bool admission_check(struct syc_dispatch *d, int64_t now, uint64_t tag,
		     const struct syc_job_spec *spec, struct flow *f,
		     struct kind *k);
void admission_refuse(struct syc_dispatch *d, uint64_t tag, struct flow *f,
		      enum syc_reason reason, uint32_t retry_after_ms,
		      const char *detail);

/* send.c */
/* Sends a task to `target`, on the grant `grant` or, if NULL, on own slots. */
void send_start(struct syc_dispatch *d, int64_t now, struct job *j,
		uint32_t task_index, struct target *target, uint32_t width,
		struct held_grant *grant);
/* Stops a send; does nothing when it has ended. */
void send_stop(struct syc_dispatch *d, uint64_t id);
/* Frees the slots of an ended send and the send itself. */
void send_release(struct syc_dispatch *d, int64_t now, struct send *s);
/* Counts the end of a send and releases it, later if its task may still run. */
void send_end(struct syc_dispatch *d, int64_t now, struct send *s,
	      enum syc_send_end end);
void send_tick(struct syc_dispatch *d, int64_t now);

/* schedule.c: starts tasks on free slots and grants slots to others. */
void schedule_pool(struct syc_dispatch *d, int64_t now, struct pool *p);
void schedule_all_pools(struct syc_dispatch *d, int64_t now);

/* dispatch.c: passes a message to the transport. */
void dispatch_send_message(struct syc_dispatch *d, uint64_t to,
			   struct syc_bytes msg);

#endif
