/*
 * The dispatcher's own state, shared by its files. A pool is one service:
 * its targets and its queue. A flow is one caller's part of a pool's queue.
 * A job is a submission, a send one try of a task on a target.
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
	SIZE_CLASSES_MAX = 32, /* unlike sizes of targets in one service */
	TASK_SENDS_MAX = 12, /* sends of one task, proved refusals included */
	NO_TARGET_RETRY_MS = 1000,
	NO_TARGET_WAIT_MS = 10000, /* how long queued work waits for one */
	STRANDED_CHECK_MS = 500, /* between two looks for such work */
	QUEUE_FULL_RETRY_MS = 500,
	RESERVATION_MS = 2000, /* a target kept free for a wide task */
	STOPPING_RETRY_MS = 200,
	DEFAULT_TIME_LIMIT_MS = 30000,
	TIME_LIMIT_MAX_MS = 600000,
	TIME_LIMIT_SLACK_MS =
		50, /* until a task over its limit is off its slot */
	STOP_GRACE_MS = 20, /* until a stopped task is off its slot */
	LINKS_MAX = 4096,
	VTIME_SCALE = 1024, /* virtual time units of a slot-ms at share 1 */
	DEFAULT_ESTIMATE_MS = 200 /* of a kind without any sample */
};

struct pool;
struct flow;

/* What a limit of a caller is about. */
enum { LIMIT_SLOTS, LIMIT_RATE, LIMIT_TYPES };

/* What we, as lender, count as lent to one instance. */
struct allotment {
	uint64_t holder;
	uint64_t request_seq; /* of its last ask */
	int64_t requested_at;
	int64_t expires_at;
	uint64_t amounts[LIMIT_TYPES];
	bool is_short[LIMIT_TYPES]; /* it wanted more */
};

struct caller {
	struct syc_caller conf;
	bool is_listed; /* in the bundle in force */
	uint32_t waiting_tasks; /* tasks */
	uint32_t running_slots; /* slots */
	/* Our part of its limits. */
	uint64_t allotted[LIMIT_TYPES];
	int64_t allotment_expires_at;
	uint64_t allotment_request_seq;
	int64_t allotment_requested_at;
	int64_t last_submitted_at;
	int64_t tokens; /* thousandths of a submission */
	int64_t tokens_refilled_at;
	/* The parts of others, when we lend. */
	uint64_t limit_owner; /* instance */
	int64_t unsure_until; /* before that an earlier lender's parts count */
	size_t n_allotments;
	struct allotment *allotments;
};

struct kind {
	struct syc_kind conf;
	bool is_listed;
	struct pool *pool;
	uint32_t n_users; /* jobs and sends */
	uint32_t n_samples;
	int64_t mean_scaled_ms; /* learned run time, in 1/16 ms */
};

enum target_state { TARGET_UP, TARGET_BACKOFF, TARGET_EJECTED, TARGET_PROBE };

struct size_class;

struct target {
	struct syc_target conf;
	struct pool *pool;
	struct size_class *size_class;
	bool is_listed;
	uint64_t owner; /* instance; zero: not known */
	uint64_t prev_owner;
	int64_t owner_since;
	int64_t owners_known_since; /* when we began to know its owners */
	bool is_owned; /* by us */
	int64_t unsure_until; /* more may be busy than we know; zero: no */
	uint32_t handover_index; /* in the handover being written */
	bool has_handover_index;
	uint32_t slots;
	uint32_t used_slots; /* slots in use as its owner counts them */
	uint32_t granted_slots; /* of these, granted to others */
	uint32_t n_sends; /* our own sends on it */
	uint32_t n_held; /* grants that we hold on it */
	uint32_t free_slots; /* bucket that it is in */
	size_t bucket_index; /* place in that bucket */
	enum target_state state;
	struct heap_node state_timer; /* end of the state */
	uint32_t backoff_ms;
	uint32_t consecutive_failures; /* in a row */
	struct rack *rack;
};

/* Targets that fail together. */
struct rack {
	struct rack *next;
	char name[SYC_NAME_MAX];
	uint32_t used_slots; /* slots of our own sends */
};

/* Targets with the same number of free slots. */
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
	struct bucket buckets[TARGET_SLOTS_MAX + 1];
};

/* A send's slots, kept busy for a task that may still run. */
struct pool {
	struct syc_service conf;
	bool is_listed;
	struct table targets;
	struct index target_by_name;
	uint32_t n_listed; /* targets that are listed and not leaving */
	uint32_t slots_free; /* own slots that a task could start on now */
	uint32_t slots_used; /* by our own sends */
	uint32_t slots_owned; /* of listed targets that we own */
	uint32_t slots_even_part; /* of all owners' slots, divided evenly */
	uint32_t n_ejected;
	struct rack *racks;
	struct index rack_by_name;
	uint64_t active_shares; /* of flows with waiting tasks */
	struct target *reserved_target; /* kept free for a wide task */
	int64_t reserved_until;
	uint32_t reserved_width; /* slots that the task needs */
	uint32_t n_unsure; /* owned targets that may be busier than we know */
	uint32_t max_time_limit_ms; /* longest that a task may run */
	size_t n_size_classes;
	struct size_class *size_classes[SIZE_CLASSES_MAX];
	struct flow *flows;
	struct index flow_by_caller;
	uint32_t n_flows;
	struct heap ready_flows; /* flows with waiting tasks, by virtual time */
	struct heap
		demanded_flows; /* flows that other instances want slots for */
	struct list idle_grants; /* grants that we hold and do not use */
	int64_t slots_divided_at;
	double slots_obtained_mean; /* at hand of late while tasks waited for more */
	int64_t slots_requested_at; /* when owners were last asked for slots */
	uint32_t requested_tasks; /* and for how many tasks */
	int64_t vtime;
	uint32_t waiting_tasks; /* tasks */
};

struct flow {
	struct flow *next;
	struct pool *pool;
	struct caller *caller;
	struct heap_node ready_node;
	struct heap waiting_jobs; /* with waiting tasks */
	int64_t vtime;
	uint32_t waiting_tasks; /* tasks */
	uint32_t running_slots; /* slots */
	uint32_t running_owned_slots; /* of these, on targets that we own */
	uint64_t
		entitled_scaled; /* slots by its share, of those at hand, scaled */
	uint64_t active_share; /* counted in the pool; zero: not */
	uint32_t retry_credit; /* for further sends of requests */
	struct heap_node demanded_node;
	struct list demands; /* of other instances */
	uint32_t demanded_tasks; /* tasks, by other instances */
	uint32_t granted_slots; /* slots, to other instances */
	int64_t prepaid_slot_ms; /* charged ahead for them */
	int64_t waiting_slot_ms; /* estimated slot-ms of waiting tasks */
	struct ledger ledger;
};

enum task_state { TASK_WAITING, TASK_RUNNING, TASK_DONE };

struct task {
	enum task_state state;
	uint32_t next_waiting; /* waiting list: index plus one */
	uint32_t attempts;
	uint32_t retries; /* of these, without proof of not run */
	struct target *last_target; /* that it was sent to; only compared */
	uint32_t estimated_ms;
	uint32_t run_hint_ms;
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
	struct syc_bytes body; /* in the job's bodies */
	uint64_t send_ids[2]; /* running; a hedge is the second */
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
	int64_t stranded_since; /* fits no listed target; zero: it does */
	struct heap_node flow_node;
	struct heap_node deadline_node;
	uint32_t n_tasks;
	uint32_t n_done;
	uint32_t n_waiting;
	uint32_t n_running;
	uint32_t first_waiting; /* index plus one */
	uint64_t first_task_id;
	struct task *tasks;
	char *bodies;
};

struct send {
	uint64_t id;
	uint64_t job_handle; /* handle; stale once the job is answered */
	uint32_t task_index;
	struct flow *flow;
	struct kind *kind;
	struct target *target;
	struct held_grant *grant; /* grant that it runs on; NULL: an own slot */
	uint64_t
		handover_id; /* id to return when the target changed its owner */
	uint32_t width; /* slots */
	uint32_t estimated_ms;
	uint64_t bundle_version; /* of the bundle it was sent under */
	int64_t started_at;
	int64_t time_limit_at;
	bool is_stopped;
	bool is_lingering; /* ended for us, may still run on the target */
	struct heap_node linger_node; /* end of lingering */
	struct heap_node hedge_node; /* when to send a second time */
};

struct syc_dispatch {
	struct syc_dispatch_options opt;
	struct syc_bundle *bundle;
	struct rng rng;
	bool is_draining;
	bool is_scheduling;
	struct index caller_by_name; /* names to pointers */
	struct index kind_by_name;
	struct index pool_by_name;
	struct table caller_table;
	struct table kind_table;
	struct table pool_table;
	struct table jobs;
	struct index job_by_tag;
	struct table sends;
	uint64_t refused_without_service; /* no such caller or kind */
	uint32_t waiting_tasks; /* tasks */
	struct heap job_deadlines; /* jobs */
	struct heap lingering_sends; /* sends */
	struct heap target_timers;
	struct heap hedge_timers; /* sends */
	struct table links;
	struct index link_index;
	struct index issued_grants; /* ids to pointers */
	struct heap grant_timers; /* grants given */
	int64_t owners_changed_at; /* when owners last changed */
	bool is_first_map; /* no owner came before the first */
	int64_t links_swept_at;
	int64_t stranded_checked_at;
	uint64_t messages_sent; /* to other instances */
	uint64_t message_bytes_sent;
	uint64_t handover_nonce;
	int64_t handover_requested_at;
};

/* dispatch_names.c: callers, kinds and pools by name, which outlive bundles. */
struct caller *dispatch_find_caller(struct syc_dispatch *d, const char *name);
struct kind *dispatch_find_kind(struct syc_dispatch *d, const char *name);
struct pool *dispatch_find_pool(struct syc_dispatch *d, const char *name);
struct pool *dispatch_add_pool(struct syc_dispatch *d, const char *name);
void dispatch_apply_bundle(struct syc_dispatch *d, int64_t now);
void dispatch_free_names(struct syc_dispatch *d);

/* fair_queue.c */
struct flow *flow_get(struct pool *p, struct caller *c);
void flow_add_job(struct flow *f, struct job *j);
void flow_remove_job(struct flow *f, struct job *j);
/* The wants of other instances for this flow changed. */
void flow_update_demand(struct flow *f);
struct flow *pool_first_flow(struct pool *p);
/* The first flow that anybody wants a slot for. */
struct flow *pool_first_demanded_flow(struct pool *p);
struct job *flow_first_job(struct flow *f);
void flow_charge(struct flow *f, int64_t slot_ms);
/* Takes the flow out of the queue, and puts it back if it has tasks. */
void flow_suspend(struct flow *f);
void flow_resume(struct flow *f);
/* Orders the job anew by what it has left. */
void flow_reorder_job(struct flow *f, struct job *j);

/* job_table.c */
struct job *job_new(struct syc_dispatch *d, int64_t now, uint64_t tag,
		    const struct syc_job_spec *spec, struct flow *f,
		    struct kind *k);
uint32_t job_take_task(struct syc_dispatch *d, struct job *j);
void job_requeue_task(struct syc_dispatch *d, struct job *j, uint32_t task);
/* Answers and frees the job: what waits is dropped, what runs stopped. */
void job_answer(struct syc_dispatch *d, int64_t now, struct job *j,
		enum syc_outcome outcome, enum syc_reason reason,
		uint32_t retry_after_ms, const char *detail);
/* Gives up on a job, with the outcome that the proofs at hand allow. */
void job_give_up(struct syc_dispatch *d, int64_t now, struct job *j,
		 enum syc_reason reason, uint32_t retry_after_ms,
		 const char *detail);
void job_complete(struct syc_dispatch *d, int64_t now, struct job *j);
void job_free(struct syc_dispatch *d, struct job *j);

/* slots.c */
void slots_set_targets(struct syc_dispatch *d, int64_t now, struct pool *p,
		       const struct syc_target *targets, size_t n);
void slots_resize(struct syc_dispatch *d, struct pool *p);
void slots_update_free(struct syc_dispatch *d, struct target *t);
void slots_update_owners(struct syc_dispatch *d, int64_t now, struct pool *p);
/* Takes slots for a send of ours, or gives them back. */
void slots_occupy(struct syc_dispatch *d, struct send *s);
void slots_release(struct syc_dispatch *d, int64_t now, struct send *s);
struct target *slots_find_target(const struct pool *p, const char *name);
/* Returns id `id` to the owner of `t`, when that is not `giver`. */
void slots_return_id(struct syc_dispatch *d, int64_t now, struct target *t,
		     uint64_t id, uint64_t giver);
void slots_free_pool(struct pool *p);

/* placement.c */
uint32_t placement_width(const struct pool *p, const struct size_class *c,
			 uint32_t cpus, uint32_t memory_mb,
			 uint32_t accelerators);
struct target *placement_pick(struct syc_dispatch *d, struct pool *p,
			      const struct task *task, uint32_t *width);
/* Keeps a target free for a task that needs several slots. */
void placement_reserve(struct syc_dispatch *d, int64_t now, struct pool *p,
		       const struct task *task);
void placement_unreserve(struct syc_dispatch *d, struct pool *p);
bool placement_fits_any(const struct pool *p, const struct syc_task_spec *task);

/* target_health.c: how sends to a target ended. */
void health_record_refusal(struct syc_dispatch *d, int64_t now,
			   struct target *t);
void health_record_failure(struct syc_dispatch *d, int64_t now,
			   struct target *t);
/* A holder gave a slot of it back without complaint. */
void health_end_probe(struct syc_dispatch *d, struct target *t);
void health_record_success(struct syc_dispatch *d, struct target *t);
void health_tick(struct syc_dispatch *d, int64_t now);

/* retry.c */
void retry_earn_credit(struct syc_dispatch *d, struct flow *f);
/* Notes a send that may be hedged later. */
void retry_schedule_hedge(struct syc_dispatch *d, struct send *s,
			  const struct job *j);
void retry_tick(struct syc_dispatch *d, int64_t now);

/* allotment.c: limits of callers over the whole fleet. */
bool allotment_admit(struct syc_dispatch *d, int64_t now, uint64_t tag,
		     struct flow *f, uint32_t n_tasks);
bool allotment_may_start(const struct caller *c, int64_t now);
bool allotment_receive(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct syc_bytes msg);
void allotment_tick(struct syc_dispatch *d, int64_t now);

/* estimate.c */
uint32_t estimate_ms(const struct kind *k, uint32_t hint_ms);
bool estimate_is_known(const struct kind *k);
void estimate_add_sample(struct kind *k, int64_t run_ms);

/* admission.c: true when the submission may queue; else it was answered. */
bool admission_check(struct syc_dispatch *d, int64_t now, uint64_t tag,
		     const struct syc_job_spec *spec, struct flow *f,
		     struct kind *k);
void admission_refuse(struct syc_dispatch *d, uint64_t tag, struct flow *f,
		      enum syc_reason reason, uint32_t retry_after_ms,
		      const char *detail);

/* send.c */
void send_start(struct syc_dispatch *d, int64_t now, struct job *j,
		uint32_t task, struct target *t, uint32_t width,
		struct held_grant *held);
void send_stop(struct syc_dispatch *d, uint64_t id);
void send_release(struct syc_dispatch *d, int64_t now, struct send *s);
void send_end(struct syc_dispatch *d, int64_t now, struct send *s,
	      enum syc_send_end end);
void send_tick(struct syc_dispatch *d, int64_t now);

/* pump.c: starts and grants what can be. */
void schedule_pool(struct syc_dispatch *d, int64_t now, struct pool *p);
void schedule_all_pools(struct syc_dispatch *d, int64_t now);

/* dispatch.c: hands a message to the transport. */
void dispatch_send_message(struct syc_dispatch *d, uint64_t to,
			   struct syc_bytes msg);

#endif
