/*
 * Several dispatchers, the messages between them and the targets that they
 * send to, on a virtual clock in ms. Messages may be lost, repeated, late
 * and out of order; instances may pause, crash and join. What must never
 * happen is counted in `faults`.
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
	CLUSTER_MAP_MS = 1500, /* until a crash changes the map */
	CLUSTER_LEARN_MS = 1000 /* in which instances learn a new map */
};

/* How a task ends on its target; travels in the task's body. */
enum cluster_end {
	CLUSTER_ANSWERS = 0,
	CLUSTER_FAILS,
	CLUSTER_REFUSES,
	CLUSTER_NOT_SENT,
	CLUSTER_BREAKS, /* the connection breaks at once, the task runs on */
	CLUSTER_HANGS /* runs into its time limit */
};

struct cluster_task {
	uint32_t run_ms;
	uint32_t end; /* enum cluster_end */
	uint32_t place; /* in its job; set by cluster_submit */
	uint32_t job; /* its tag; set by cluster_submit */
	uint32_t declared_ms; /* as the caller says; zero: nothing */
	uint32_t cpus;
};

enum cluster_mood { CLUSTER_GOOD = 0, CLUSTER_FAILS_FAST, CLUSTER_REFUSES_ALL };

struct cluster_target {
	struct syc_target conf;
	uint32_t running;
	uint32_t slow_percent; /* of the task's own run time; zero: 100 */
	enum cluster_mood mood;
	bool gone; /* answers nothing and cannot be reached */
	uint64_t starts;
};

struct cluster_instance {
	struct syc_dispatch *d;
	struct cluster *w;
	uint64_t id;
	bool alive;
	int64_t paused_until;
	uint32_t side; /* instances of unlike sides are cut off */
	uint64_t epoch; /* of the map that it knows */
	int n_members;
	uint64_t members[CLUSTER_INSTANCES_MAX];
	uint64_t runs; /* on targets, sent by it */
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
	uint32_t time_limit_ms; /* of a task */
	uint32_t message_delay_max_ms; /* of a message between instances */
	uint32_t lost_permille;
	uint32_t repeated_permille;
	bool is_first_map; /* the first map is the first ever */
};

/* What has become of one submission; also told to the callback. */
struct cluster_job {
	uint64_t tag;
	int instance;
	int caller;
	uint32_t n_tasks;
	int64_t at;
	int64_t ideal_ms; /* its longest task */
	uint32_t runs; /* of its tasks, on targets */
	bool answered;
	bool lost; /* its instance crashed */
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
	struct index runs; /* how often each task ran */
	void *ctx;
	/* A submission was answered; optional. */
	void (*on_answered)(void *ctx, const struct cluster_job *job);
	/* Counts. */
	uint64_t sends, stops, starts, messages, message_bytes;
	uint64_t starts_over_slots; /* a task came to a target that was full */
	uint64_t
		starts_over_limit; /* a caller ran on more slots than its limit */
	uint32_t caller_running[CLUSTER_CALLERS_MAX];
	uint64_t forbidden_reruns; /* a task ran again that must not */
	uint64_t answered_twice;
	uint64_t wrong_answers;
	uint64_t false_not_run; /* a task of a job answered so had run */
	int64_t slot_ms[CLUSTER_CALLERS_MAX];
	uint64_t caller_starts[CLUSTER_CALLERS_MAX];
};

struct cluster *cluster_new(const struct cluster_options *opt);
void cluster_free(struct cluster *w);
/* Runs the events of the next `ms`. */
void cluster_run(struct cluster *w, int64_t ms);
/* Submits a job to instance `i`; returns its place in `jobs`. */
size_t cluster_submit(struct cluster *w, int i, int caller, const char *kind,
		      uint32_t n, const struct cluster_task *tasks,
		      uint32_t deadline_ms);
/* A new bundle with the shares in the options comes into force. */
void cluster_roll(struct cluster *w);
void cluster_cancel(struct cluster *w, size_t job);
void cluster_crash(struct cluster *w, int i);
void cluster_pause(struct cluster *w, int i, int64_t ms);
/* A new instance joins the map; returns its place. */
int cluster_join(struct cluster *w);
/* Tells every instance the list of targets as it stands. */
void cluster_list_targets(struct cluster *w);
/* The place of the owner of `name` as instance `i` knows it; -1: nobody. */
int cluster_owner(struct cluster *w, int i, const char *name);
/* Sum of one number over the ledgers of instance `i`. */
uint64_t cluster_ledger(struct cluster *w, int i, const char *field);
/* Submissions that a living instance has not answered. */
size_t cluster_open(const struct cluster *w);

#endif
