/*
 * Types that all layers share: instances, targets, submissions and answers.
 */
#ifndef SYCAMORESHORE_TYPES_H
#define SYCAMORESHORE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	SYC_NAME_MAX = 32, /* bytes of a name with terminator */
	SYC_IP_MAX = 46, /* bytes of an IP address as text with terminator */
	SYC_KEY_MAX = 128, /* bytes of an idempotency key with terminator */
	SYC_TASKS_MAX = 1600, /* tasks of a job */
	SYC_DIGEST_LEN = 32, /* bytes of a BLAKE2b digest */
	SYC_DETAIL_MAX = 160 /* bytes of a detail text with terminator */
};

/* A borrowed range of bytes, valid during the call it is passed to. */
struct syc_bytes {
	const void *p;
	size_t n;
};

/* An IP address as text, with a port. */
struct syc_addr {
	char ip[SYC_IP_MAX];
	uint16_t port;
};

/*
 * A running instance. `id` is drawn at random at every start, so it
 * identifies the incarnation. Zero stands for no instance.
 */
struct syc_instance {
	uint64_t id;
	char name[SYC_NAME_MAX];
	char domain[SYC_NAME_MAX];
	char rack[SYC_NAME_MAX];
	struct syc_addr peer_addr;
};

/* A target as the platform lists it. */
struct syc_target {
	char name[SYC_NAME_MAX];
	char service[SYC_NAME_MAX];
	char domain[SYC_NAME_MAX];
	char rack[SYC_NAME_MAX];
	struct syc_addr addr;
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
	bool leaving; /* it must not be given new tasks */
};

/* How a submission or a task ended, as reported to the caller. */
enum syc_outcome {
	SYC_COMPLETED = 1, /* every task ran and answered */
	SYC_FAILED, /* ran at least in part, and failed */
	SYC_NOT_RUN, /* certainly no task was started */
	SYC_UNKNOWN /* tasks may have run; none is started again */
};

/* Why a submission was refused or failed. */
enum syc_reason {
	SYC_REASON_NONE = 0,
	SYC_BAD_REQUEST,
	SYC_UNAUTHORIZED,
	SYC_TOO_LARGE, /* above a documented limit */
	SYC_KEY_REUSED, /* the key was used with another body */
	SYC_NO_FIT, /* a task is too large for every target of the service */
	SYC_NO_TARGET, /* no target of the service is up */
	SYC_QUEUE_FULL,
	SYC_RATE_LIMIT,
	SYC_DEADLINE, /* the deadline has passed or cannot be met */
	SYC_NOT_READY, /* the instance has no bundle, map or targets yet */
	SYC_STOPPING, /* the instance is stopping */
	SYC_HOME_UNREACHABLE, /* the key's home does not answer */
	SYC_CLAIM_PENDING, /* the backup has not acknowledged the claim */
	SYC_CLAIMS_LOST, /* the slice has lost claims of older keys */
	SYC_CLAIMS_FULL, /* the table of claims is full */
	SYC_TICKET_EXPIRED,
	SYC_CANCELLED,
	SYC_TASK_FAILED, /* the target answered with a failure */
	SYC_TIME_LIMIT, /* a task exceeded the time limit of its kind */
	SYC_CONNECTION_LOST, /* the connection broke after the send */
	SYC_TARGET_REFUSED, /* the target states that it ran nothing */
	SYC_ANSWER_DROPPED, /* the outcome is known, the answer is not kept */
	SYC_RUNNER_GONE, /* the instance that ran the submission is gone */
	SYC_REASON_COUNT
};

/* Return the lower-case name used in the API, never NULL. */
const char *syc_outcome_name(enum syc_outcome outcome);
const char *syc_reason_name(enum syc_reason reason);

/* One task of a job. Run time and sizes are estimates of the caller. */
struct syc_task_spec {
	struct syc_bytes body;
	uint32_t run_ms;
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/* A submission: a job, or one request when `single` is set. */
struct syc_job_spec {
	const char *caller;
	const char *kind;
	bool single;
	uint32_t deadline_ms; /* time from arrival; zero for none */
	uint32_t n_tasks;
	const struct syc_task_spec *tasks;
};

/* How one task ended. */
struct syc_task_result {
	enum syc_outcome outcome;
	enum syc_reason reason;
	uint16_t status; /* HTTP status of the target; zero for none */
	struct syc_bytes body;
};

/*
 * The answer to a submission. `results` holds the results of all tasks in
 * order when the outcome is SYC_COMPLETED, and is empty otherwise or when
 * the answer was dropped.
 */
struct syc_answer {
	enum syc_outcome outcome;
	enum syc_reason reason;
	uint32_t retry_after_ms; /* zero: a retry does not help */
	char detail[SYC_DETAIL_MAX];
	uint32_t n_results;
	const struct syc_task_result *results;
};

#endif
