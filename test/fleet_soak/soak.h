/*
 * A soak of a fleet of real processes: instances and the platform's stand-in on
 * loopback, callers that keep their connections, and random faults from the
 * outside. All state of one run.
 */
#ifndef FLEET_SOAK_H
#define FLEET_SOAK_H

#include <sys/types.h>

#include "proxy.h"
#include "transport/http_client.h"
#include "util/rng.h"

enum {
	SOAK_INSTANCES_MAX = 64,
	SOAK_WORKERS_MAX = 64,
	SOAK_CALLERS_MAX = 256,
	SOAK_DOMAINS = 2,
	SOAK_PATH_MAX = 256, /* bytes of a file name with the terminator */
	SOAK_ID_MAX = 24 /* bytes of a job's id with the terminator */
};

struct soak;

/* A process that the soak started. */
struct soak_process {
	struct soak *soak;
	char name[16];
	pid_t pid; /* zero: it is down */
	ev_child child;
	bool expects_end; /* the soak has sent SIGKILL or SIGTERM */
	bool was_killed;
	int64_t stop_sent_at; /* zero: no SIGTERM since its start */
	int64_t started_at;
	int64_t disturbed_at; /* the last signal, pause, start or end */
};

struct soak_instance {
	struct soak_process process;
	int domain;
	uint16_t callers_port, peers_port, admin_port;
	struct proxy callers, store; /* to its port, to the store */
	int64_t start_at; /* when it is started again; zero: it is not */
	int64_t continue_at; /* when its pause ends; zero: it is not paused */
	unsigned settings_version;
	long checked_version; /* of the configuration */
};

struct soak_job; /* see callers.c */

/* A caller with one job at a time. */
struct soak_caller {
	struct soak *soak;
	struct soak_job *job; /* NULL: it has none */
	int n_sent;
	int home; /* of the last attempt */
	int64_t next_at; /* when it sends next */
	int64_t copy_at; /* when it submits the open job again; zero: never */
	struct soak_job *late_copy; /* an answered job; NULL: none */
	int64_t late_copy_at;
	bool in_flight;
	bool is_probe; /* it must be served */
};

struct soak {
	struct ev_loop *loop;
	struct rng rng, late_rng; /* late_rng: of late orders */
	uint64_t seed;
	const char *build; /* directory of the programs */
	char dir[SOAK_PATH_MAX]; /* settings and logs of the run */
	struct soak_process platform;
	uint16_t store_port;
	int n_instances, n_workers, n_callers;
	bool divided;
	bool only_store; /* only the store has faults */
	struct soak_instance instances[SOAK_INSTANCES_MAX];
	struct proxy workers[SOAK_WORKERS_MAX];
	struct soak_caller callers[SOAK_CALLERS_MAX];
	struct http_client *client;
	int64_t faults_until, next_fault_at, next_late_at;
	bool calm; /* no further faults or load */
	bool store_is_down, store_is_silent;
	int64_t store_disturbed_at;
	long config_version; /* the newest; zero: not changed yet */
	int64_t config_changed_at;
	int64_t next_change_at;
	unsigned n_config_checks;
	uint64_t next_job;
	unsigned n_jobs, n_completed, n_failed, n_refused, n_unknown, n_faults;
	unsigned n_copies, n_open_copies; /* jobs that were submitted again */
	unsigned n_violations;
	long n_late_orders;
};

/* Counts and prints a broken promise. */
void soak_violation(struct soak *s, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Runs the loop until `ms` have passed. */
void soak_run(struct soak *s, int64_t ms);

/* process.c */
void soak_start_platform(struct soak *s);
void soak_start_instance(struct soak *s, struct soak_instance *i);
void soak_signal(struct soak_process *p, int signum);
/* Sends a request to the stand-in and waits; returns a member of its answer. */
long soak_ask(struct soak *s, const char *method, const char *path,
	      const char *member);

/* Sets a knob of the stand-in. */
void soak_set_knob(struct soak *s, const char *name, long val);

/* config.c */
void soak_config_tick(struct soak *s, int64_t now);

/* callers.c */
void soak_callers_tick(struct soak *s, int64_t now);
/* Submits a job to each instance; returns how many are not served. */
int soak_count_unserved(struct soak *s, int64_t within_ms);

/* faults.c */
void soak_faults_tick(struct soak *s, int64_t now);
/* Ends all faults and starts all instances. */
void soak_heal(struct soak *s);

#endif
