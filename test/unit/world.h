/*
 * A small world for tests: whole instances (struct syc_core) in one process
 * on a virtual clock, a fake store, fake targets, and a network that delays,
 * drops, repeats and cuts. Everything follows from the seed.
 */
#ifndef TEST_WORLD_H
#define TEST_WORLD_H

#include "sim/fake_store.h"
#include "sycamoreshore/core.h"
#include "util/index.h"
#include "util/rng.h"

enum {
	WORLD_NODES = 6, /* places for instances, in WORLD_DOMAINS domains */
	WORLD_DOMAINS = 2,
	WORLD_TARGETS = 4, /* two in each domain */
	WORLD_SLOTS = 4, /* of one target */
	WORLD_JOBS = 400, /* different submissions at most */
	WORLD_JOB_TASKS = 4 /* tasks of a job at most */
};

struct world_event;

struct world_node {
	struct syc_core *core; /* NULL: not running */
	struct fake_store_client *client;
	uint64_t id;
	bool paused;
	int64_t stop_at; /* zero: not stopping */
	bool cut[WORLD_NODES]; /* what this node sends there is lost */
};

/* One submission and all that is known of its fate. */
struct world_job {
	char key[SYC_KEY_MAX]; /* empty: none */
	uint32_t n_tasks;
	uint32_t starts[WORLD_JOB_TASKS];
	uint32_t asked, answered; /* times */
	uint32_t completed, not_run, failed, unknown;
};

struct world {
	struct rng rng;
	int64_t now;
	struct fake_store store;
	struct fake_store_client clients[256]; /* one for each incarnation */
	size_t n_clients;
	struct world_node nodes[WORLD_NODES];
	struct syc_target targets[WORLD_TARGETS];
	struct syc_target entries[WORLD_NODES]; /* as the list has them */
	int64_t died_at[WORLD_NODES];
	uint32_t running[WORLD_TARGETS];
	struct world_event *events; /* by time */
	struct world_job jobs[WORLD_JOBS];
	size_t n_jobs;
	unsigned drop_percent, repeat_percent; /* of peer messages */
	unsigned break_percent; /* of sends: they run, no answer comes */
	unsigned refuse_percent; /* of sends: proved not to have run */
	uint64_t sends, peer_messages;
	uint64_t errors; /* broken promises; the first is described */
	char error[160];
};

void world_init(struct world *w, uint64_t seed);
void world_free(struct world *w);

/* Runs the world for `ms` of its time. */
void world_run(struct world *w, int64_t ms);

void world_start(struct world *w, int node);
void world_kill(struct world *w, int node);
void world_pause(struct world *w, int node);
void world_resume(struct world *w, int node);
void world_stop(struct world *w, int node);
/* Cuts or heals what `from` sends to `to`. */
void world_cut(struct world *w, int from, int to, bool cut);
void world_cut_store(struct world *w, int node, bool cut);
/* Cuts a failure domain from the other, both ways. */
void world_cut_domain(struct world *w, int domain, bool cut);
void world_heal(struct world *w);

int world_domain(int node);
bool world_alive(const struct world *w, int node);

/* Makes a new job; `key` NULL for none. Returns its number. */
size_t world_job(struct world *w, const char *key, uint32_t n_tasks);
/* Submits a job through a node; again with the same number resubmits it. */
void world_submit(struct world *w, size_t job, int node);
/* Answers that submissions of a running node still wait for. */
uint32_t world_waiting(const struct world *w);

#endif
