/*
 * A small deployment on loopback for the scripts of this folder: the platform's
 * store and workers are played by this process, as the users' pages describe
 * them, and the instances are the project's own program. A case is a sequence
 * of steps; every wait serves the store and the workers meanwhile.
 */
#ifndef STAGE_H
#define STAGE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	STAGE_INSTANCES_MAX = 12,
	STAGE_HELD = 0, /* exit codes */
	STAGE_BROKEN = 1,
	STAGE_NOT_RUN = 2
};

/* A route of the queue /jobs/, with the figures of the small sites. */
extern const char stage_route[];

struct stage_options {
	int n_instances; /* they alternate between the zones */
	int n_workers;
	int n_zones; /* 0: 4 */
	const char *cpu_share; /* of an instance; NULL: 0.25 */
	const char *kind; /* label of the workers; NULL: a */
};

struct instance {
	char name[32], zone[16];
	pid_t pid;
	int callers, admin; /* ports */
	bool stopped; /* by SIGSTOP */
};

/* One request of a client, on a connection of its own. */
struct request {
	int status; /* 0: no answer yet, -1: the channel ended without one */
	char body[512];
	int64_t sent_at, done_at;
	char label[96];
};

/* One run of a task on a worker, as the worker saw it. */
struct run {
	char task[64];
	int64_t number;
	int worker;
	char spec[128];
	int64_t began_at, ends_at, ended_at; /* ended_at 0: still running */
	const char *how;
};

extern struct instance instances[STAGE_INSTANCES_MAX];
extern struct run *runs; /* all that ever began */
extern int n_runs;

/* TROUBLE=0 leaves the disruption out. */
bool stage_has_trouble(void);
/* Starts everything and waits until each instance has served a job. */
void stage_begin(const struct stage_options *opt);
/* Ends all processes and exits. */
void stage_end(int code, const char *why) __attribute__((noreturn));
int64_t stage_now(void); /* ms since the stage began */
void stage_wait(int64_t ms);
void stage_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
void stage_add_worker(const char *kind); /* an empty one */
void stage_drain_worker(int i); /* it goes on serving */
/* An entry of another writer, with `bytes` that are no JSON. */
void stage_put_entry(const char *key, size_t bytes);
void stage_put_config(const char *routes); /* a new version */
int stage_driver(void); /* number of the instance that drives; -1: none */
/* Waits until the log of each instance has this event. */
void stage_await_event(const char *event, int64_t ms);
void stage_signal(int i, int signum);
bool stage_is_ready(int i);

struct request *stage_send(int i, const char *method, const char *path,
			   const char *headers, const char *body);
/* Waits for the answer; returns its status. */
int stage_await(struct request *r, int64_t ms);
/* Cancels a job until that is acknowledged; returns when it was. */
int64_t stage_cancel(int i, const char *id);
/* Closes the client's end of a request that has no answer. */
void stage_hang_up(struct request *r);

/* A best-effort job of one step; each task works for `work_ms`. */
struct request *stage_submit(int i, const char *id, int count, int cpu,
			     int work_ms, int deadline_ms);
/* The same with further fields of the step, such as `,"requirements":"a"`. */
struct request *stage_submit_with(int i, const char *id, int count, int cpu,
				  int work_ms, int deadline_ms,
				  const char *fields);
int stage_count_running(const char *id); /* active runs of the job's tasks */
int stage_count_started(const char *id, int64_t from, int64_t to);

#endif
