/*
 * A simulated cluster: several dispatchers, the messages between them and the
 * targets that they send to, on a virtual clock in ms. Messages may be lost,
 * repeated, delayed and reordered; instances may pause, crash and join. Some
 * counters of struct cluster count events that must never happen, such as a
 * start on a target without a free slot.
 */
#ifndef TEST_UNIT_DISPATCH_CLUSTER_H
#define TEST_UNIT_DISPATCH_CLUSTER_H

#include "state/heap.h"
#include "sycamoreshore/dispatch.h"
#include "util/index.h"
#include "util/rng.h"

enum {
	CLUSTER_INSTANCES_MAX = 64,
	CLUSTER_CALLERS_MAX = 128,
	CLUSTER_TICK_MS = 10,
	CLUSTER_MAP_MS = 1500, /* from a crash until the map changes */
	CLUSTER_LEARN_MS = 1000 /* until all instances receive a new map */
};

/* How a task ends on its target; stated in the task's body. */
enum cluster_end {
	CLUSTER_ANSWERS = 0,
	CLUSTER_FAILS,
	CLUSTER_REFUSES,
	CLUSTER_NOT_SENT,
	CLUSTER_BREAKS, /* the connection breaks at once, the task runs on */
	CLUSTER_HANGS /* runs until its time limit */
};

struct cluster_task {
	uint32_t run_ms;
	uint32_t end; /* enum cluster_end */
	uint32_t index; /* in its job; set by cluster_submit */
	uint32_t job_tag; /* tag of its job; set by cluster_submit */
	uint32_t declared_ms; /* run time stated by the caller; zero: none */
	uint32_t cpus;
};

enum cluster_behaviour {
	CLUSTER_NORMAL = 0,
	CLUSTER_FAILS_FAST,
	CLUSTER_REFUSES_ALL
};

struct cluster_target {
	struct syc_target conf;
	uint32_t running; /* tasks */
	uint32_t slow_percent; /* of the task's own run time; zero: 100 */
	enum cluster_behaviour behaviour;
	bool is_unreachable; /* receives nothing and sends no answers */
	uint64_t starts;
};

struct cluster_instance {
	struct syc_dispatch *d;
	struct cluster *cluster;
	uint64_t id;
	bool is_alive;
	int64_t paused_until;
	uint32_t partition; /* no messages pass between partitions */
	uint64_t map_epoch; /* of the map that it knows */
	int n_members; /* members of that map */
	uint64_t members[CLUSTER_INSTANCES_MAX];
	uint64_t runs; /* number of its sends that started */
};

struct cluster_options {
	uint64_t seed;
	int n_instances;
	int n_targets;
	uint32_t slots_per_target;
	int n_callers;
	uint32_t shares[CLUSTER_CALLERS_MAX]; /* zero: 1 */
	uint32_t caller_slots[CLUSTER_CALLERS_MAX]; /* zero: no limit */
	uint32_t queue_max;
	uint32_t time_limit_ms; /* time limit of a task */
	uint32_t message_delay_max_ms; /* between instances */
	uint32_t lost_permille; /* of the messages between instances */
	uint32_t repeated_permille;
	bool is_first_map; /* no target had an owner before the first map */
};

/* The state of one submission; also an argument of on_answered. */
struct cluster_job {
	uint64_t tag;
	int instance;
	int caller;
	uint32_t n_tasks;
	int64_t submitted_at;
	int64_t ideal_ms; /* run time of its longest task */
	uint32_t runs; /* starts of its tasks on targets */
	bool is_answered;
	bool is_lost; /* its instance crashed */
	enum syc_outcome outcome;
	enum syc_reason reason;
	int64_t took_ms;
};

struct cluster {
	struct cluster_options opt;
	struct rng rng;
	int64_t now;
	uint64_t event_seq;
	struct heap events;
	struct syc_bundle *bundle;
	int n_instances;
	struct cluster_instance instances[CLUSTER_INSTANCES_MAX];
	int n_targets;
	struct cluster_target *targets;
	struct index target_by_name;
	uint64_t map_epoch;
	int n_members;
	uint64_t members[CLUSTER_INSTANCES_MAX];
	size_t n_jobs, cap_jobs;
	struct cluster_job *jobs;
	struct index runs_by_task;
	void *ctx;
	/* Called when a submission is answered; may be NULL. */
	void (*on_answered)(void *ctx, const struct cluster_job *job);
	uint64_t sends, stops, starts, messages, message_bytes;
	uint64_t starts_over_slots; /* on targets without a free slot */
	uint64_t starts_over_limit; /* beyond the caller's slots */
	uint32_t caller_running[CLUSTER_CALLERS_MAX];
	uint64_t forbidden_reruns; /* of tasks that must not run twice */
	uint64_t answered_twice;
	uint64_t wrong_answers;
	uint64_t false_not_run; /* "not run" answers to jobs that ran */
	int64_t slot_ms[CLUSTER_CALLERS_MAX];
	uint64_t caller_starts[CLUSTER_CALLERS_MAX];
};

struct cluster *cluster_new(const struct cluster_options *opt);
void cluster_free(struct cluster *c);
/* Simulates the next `ms`. */
void cluster_run(struct cluster *c, int64_t ms);
/* Submits a job to instance `i`; returns its index in `jobs`. */
size_t cluster_submit(struct cluster *c, int i, int caller, const char *kind,
		      uint32_t n, const struct cluster_task *tasks,
		      uint32_t deadline_ms);
/* Puts a new bundle with the shares of the options into force. */
void cluster_update_bundle(struct cluster *c);
void cluster_cancel(struct cluster *c, size_t job);
void cluster_crash(struct cluster *c, int i);
void cluster_pause(struct cluster *c, int i, int64_t ms);
/* Adds an instance to the map; returns its index. */
int cluster_join(struct cluster *c);
/* Passes the current list of targets to every instance. */
void cluster_list_targets(struct cluster *c);
/* Returns the index of the owner of `name` as instance `i` knows it, or -1. */
int cluster_find_owner(struct cluster *c, int i, const char *name);
/* Returns the sum of one field over the ledger entries of instance `i`. */
uint64_t cluster_sum_ledger(struct cluster *c, int i, const char *field);
/*
 * Returns the number of submissions that no instance has answered and no crash
 * has lost.
 */
size_t cluster_count_open(const struct cluster *c);

#endif
