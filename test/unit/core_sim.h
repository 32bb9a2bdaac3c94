/*
 * A simulation for tests: complete instances (struct syc_core) in one process
 * on a virtual clock, with a fake store, fake targets and a network that
 * delays, drops, repeats and cuts off messages. The seed determines each run.
 */
#ifndef TEST_CORE_SIM_H
#define TEST_CORE_SIM_H

#include "sim/fake_store.h"
#include "sycamoreshore/core.h"
#include "util/index.h"
#include "util/rng.h"

enum {
	CORE_SIM_NODES = 6, /* each runs one instance at a time or none */
	CORE_SIM_DOMAINS = 2,
	CORE_SIM_TARGETS = 4, /* two in each domain */
	CORE_SIM_SLOTS = 4, /* slots of one target */
	CORE_SIM_JOBS = 400, /* maximum number of different submissions */
	CORE_SIM_JOB_TASKS = 4 /* maximum number of tasks of a job */
};

struct core_sim_event;

struct core_sim_node {
	struct syc_core *core; /* NULL: not running */
	struct fake_store_client *client;
	uint64_t id;
	bool paused;
	int64_t stop_at; /* zero: not stopping */
	bool cut[CORE_SIM_NODES]; /* messages to these nodes are lost */
};

/* A submission, the starts of its tasks and counts of its answers. */
struct core_sim_job {
	char key[SYC_KEY_MAX]; /* empty: none */
	uint32_t n_tasks;
	uint32_t starts[CORE_SIM_JOB_TASKS];
	uint32_t submitted, answered; /* number of times */
	uint32_t completed, not_run, failed, unknown; /* answers by outcome */
};

struct core_sim {
	struct rng rng;
	int64_t now;
	struct fake_store store;
	struct fake_store_client clients[256]; /* one per incarnation */
	size_t n_clients;
	struct core_sim_node nodes[CORE_SIM_NODES];
	struct syc_target targets[CORE_SIM_TARGETS];
	struct syc_target entries[CORE_SIM_NODES]; /* the platform's list */
	int64_t died_at[CORE_SIM_NODES]; /* last end of an instance */
	uint32_t running[CORE_SIM_TARGETS];
	struct core_sim_event *events; /* ordered by time */
	struct core_sim_job jobs[CORE_SIM_JOBS];
	size_t n_jobs;
	unsigned drop_percent, repeat_percent; /* of peer messages */
	unsigned break_percent; /* share of sends that run without an answer */
	unsigned refuse_percent; /* sends that are refused and do not run */
	uint64_t sends, peer_messages;
	uint64_t errors; /* number of violated guarantees */
	char error[160]; /* describes the first error */
};

void core_sim_setup(struct core_sim *sim, uint64_t seed);
void core_sim_free(struct core_sim *sim);

/* Advances the virtual clock by `ms` and handles all events until then. */
void core_sim_run(struct core_sim *sim, int64_t ms);

void core_sim_start(struct core_sim *sim, int node);
void core_sim_kill(struct core_sim *sim, int node);
void core_sim_pause(struct core_sim *sim, int node);
void core_sim_resume(struct core_sim *sim, int node);
void core_sim_stop(struct core_sim *sim, int node);
/* Drops all messages of `from` to `to` from now on, or stops dropping. */
void core_sim_cut(struct core_sim *sim, int from, int to, bool cut);
void core_sim_cut_store(struct core_sim *sim, int node, bool cut);
/* Cuts a domain off from the other in both directions, or reconnects it. */
void core_sim_cut_domain(struct core_sim *sim, int domain, bool cut);
void core_sim_heal(struct core_sim *sim);

int core_sim_domain(int node);
bool core_sim_is_running(const struct core_sim *sim, int node);

/* Adds a job and returns its number; `key` is NULL for none. */
size_t core_sim_add_job(struct core_sim *sim, const char *key,
			uint32_t n_tasks);
/* Submits a job at a node; each further call submits the job again. */
void core_sim_submit(struct core_sim *sim, size_t job, int node);
/*
 * Returns the number of submissions and forwarded requests in flight on all
 * running nodes.
 */
uint32_t core_sim_in_flight(const struct core_sim *sim);

#endif
