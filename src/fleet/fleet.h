/*
 * One instance of a fleet that drives leased workers: takes jobs from
 * callers, hands them to the instance that drives the workers, and takes the
 * driver's place when it is gone. Decision code: events go in with `now`,
 * messages and calls go out through the options' callbacks.
 *
 * The store keeps one value, the map: which instances there are and which of
 * them drives, changed by compare-and-swap. It is not on the path of a job.
 */
#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "drive/drive.h"
#include "sycamoreshore/clock.h"
#include "sycamoreshore/platform.h"

/* Names a hold that only tells whether a worker can be reached. */
#define FLEET_PROBE_CALL UINT64_MAX

enum fleet_outcome {
	FLEET_COMPLETED = 1,
	FLEET_FAILED,
	FLEET_CANCELLED,
	FLEET_NOT_RUN, /* proved: no task of it was started */
	FLEET_UNKNOWN /* something may have run; hand it in again */
};

struct fleet_answer {
	enum fleet_outcome outcome;
	uint32_t retry_after_ms; /* zero: coming back does not help */
	const char *reason; /* for the log */
	int64_t took_ms; /* since the job was handed in */
};

struct fleet_options {
	struct syc_instance self;
	struct syc_clock clock; /* that `now` is read from */
	struct syc_clock wall_clock; /* epochs are taken from it */
	struct syc_platform_ops store;
	uint32_t lease_ms;
	uint32_t hold_wait_ms;
	void *ctx;
	/* Keeps a link to the instance at this address from now on. */
	void (*dial)(void *ctx, const struct syc_addr *addr);
	/* Sends one message to a peer; false when no link is up. */
	bool (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	/* The final answer to the job with this tag; called once. */
	void (*answer)(void *ctx, uint64_t tag,
		       const struct fleet_answer *answer);
	/* A peer has a newer configuration; `text` is as the store has it. */
	void (*config)(void *ctx, uint64_t version, struct syc_bytes text);
	/* Asks for the list of workers; fleet_set_workers follows. */
	void (*read_workers)(void *ctx);
	/* Calls to workers; see drive.h. */
	void (*start)(void *ctx, const struct drive_start *call);
	void (*stop)(void *ctx, const struct drive_stop *call);
	void (*hold)(void *ctx, const struct drive_hold *call);
};

struct fleet;

struct fleet *fleet_new(const struct fleet_options *opt, int64_t now);
void fleet_free(struct fleet *f);

/* Call every 10 ms or so. */
void fleet_tick(struct fleet *f, int64_t now);

void fleet_peer_up(struct fleet *f, int64_t now,
		   const struct syc_instance *peer);
void fleet_peer_down(struct fleet *f, int64_t now, uint64_t peer);
/* Returns false when the message cannot be read. */
bool fleet_receive(struct fleet *f, int64_t now, uint64_t from,
		   struct syc_bytes msg);

/* Takes a job of a caller; `answer` follows once. */
void fleet_submit(struct fleet *f, int64_t now, uint64_t tag,
		  const struct drive_job *job);

/* The caller of `tag` has gone: no answer follows. */
void fleet_cancel(struct fleet *f, int64_t now, uint64_t tag);

/* Cancels the job of that id, whoever handed it in; false: not now. */
bool fleet_cancel_id(struct fleet *f, int64_t now, const char *id);

/* The list of workers as the platform has it, or NULL when it was not read. */
void fleet_set_workers(struct fleet *f, int64_t now,
		       const struct drive_worker *list, size_t n);

/* The configuration in force, to be passed on to peers that lack it. */
void fleet_set_config(struct fleet *f, int64_t now, uint64_t version,
		      struct syc_bytes text);

/*
 * Answers to calls to workers: fleet_hold_answered for holds; all others go to the
 * driver itself.
 */
void fleet_hold_answered(struct fleet *f, int64_t now, uint64_t call,
			 const struct drive_hold_answer *held);
struct drive *fleet_get_drive(struct fleet *f);

/* Whether jobs can be served; otherwise `why` says what is waited for. */
bool fleet_is_ready(const struct fleet *f, const char **why);

/* Begins a planned stop: another instance is to drive. */
void fleet_leave(struct fleet *f, int64_t now);
bool fleet_has_left(const struct fleet *f);

/* Jobs of callers in hand. */
size_t fleet_open_jobs(const struct fleet *f);

uint64_t fleet_epoch(const struct fleet *f);
bool fleet_is_driver(const struct fleet *f);

/* The whole state as JSON text; the caller frees it. */
char *fleet_dump(const struct fleet *f, int64_t now);

#endif
