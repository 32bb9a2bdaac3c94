/*
 * One instance of a fleet that drives leased workers: takes jobs from
 * callers, submits them to the instance that drives the workers, and takes
 * over as the driver when that one fails. It does no input or output: events
 * are passed in with the time `now` in milliseconds, and messages and calls
 * are made through the callbacks in the options.
 *
 * The store keeps one value, the map, which lists the members and names the
 * driver. It is changed by compare-and-swap. Members elect the driver and may
 * drive; the other instances only submit their callers' jobs, and take the places
 * of members that are lost. Jobs do not depend on the store.
 */
#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "drive/drive.h"
#include "sycamoreshore/clock.h"
#include "sycamoreshore/platform.h"

/* The call number of a hold that only checks if a worker is reachable. */
#define FLEET_PROBE_CALL UINT64_MAX

enum fleet_outcome {
	FLEET_COMPLETED = 1,
	FLEET_FAILED,
	FLEET_CANCELLED,
	FLEET_NOT_RUN, /* it is certain that no task was started */
	FLEET_UNKNOWN, /* tasks may have run; the job may be submitted again */
	FLEET_ELSEWHERE /* another cell has it; only cells.c gets this */
};

struct fleet_answer {
	enum fleet_outcome outcome;
	uint32_t retry_after_ms; /* zero: a retry is useless */
	const char *reason; /* for the log */
	int64_t took_ms; /* since the caller submitted the job */
	uint32_t cell; /* number of the cell of FLEET_ELSEWHERE */
	/* The job, with its present age; valid during the callback. */
	const struct drive_job *job;
};

struct fleet_options {
	struct syc_instance self;
	/*
	 * The failure domain whose workers this fleet drives, see cells.h;
	 * empty: all workers. Only instances of that domain may be members. The
	 * others submit jobs to its driver.
	 */
	char cell[SYC_NAME_MAX];
	uint64_t epoch_floor; /* its epochs are higher */
	struct syc_clock clock; /* the source of `now` */
	struct syc_clock wall_clock; /* the source of epochs */
	struct syc_platform_ops store;
	const char *config_key; /* of the configuration in the store */
	/* In force within this time of its confirmation by the store. */
	uint32_t config_apply_ms;
	/*
	 * Key of the evacuated failure domains, one a line. Its index is
	 * that of the whole store.
	 */
	const char *evacuations_key;
	/*
	 * No task is started on their workers later than this time after the
	 * store has accepted the request; zero: there are no evacuations.
	 */
	uint32_t evacuation_apply_ms;
	/* The fleet is divided into cells from this number of workers on... */
	uint32_t divided_workers_min;
	/* ...if each failure domain has this number; zero: never. */
	uint32_t cell_workers_min;
	uint32_t capacity; /* starts a second; zero: unknown */
	uint32_t lease_ms;
	uint32_t hold_wait_ms;
	struct losses *losses; /* of this instance; cells.h sets it */
	void *ctx;
	/* Opens a link to the instance at this address and keeps it open. */
	void (*dial)(void *ctx, const struct syc_addr *addr);
	/* Closes it, and tries it no longer. */
	void (*hang_up)(void *ctx, const struct syc_addr *addr);
	/* Sends one message to a peer; returns false if no link is up. */
	bool (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	/* Gives the final answer to the job with this tag; called once. */
	void (*answer)(void *ctx, uint64_t tag,
		       const struct fleet_answer *answer);
	/*
	 * Answers cells_cancel_id, once: whether the job is cancelled for good,
	 * or whether that is not known and the caller is to try again.
	 */
	void (*cancelled)(void *ctx, uint64_t tag, bool is_done);
	/*
	 * Puts a configuration in force, as it stands in the store, and returns
	 * its version; zero: it is not newer, or cannot be read. `from` is its
	 * source, for the log.
	 */
	uint64_t (*config)(void *ctx, struct syc_bytes text, const char *from);
	/* Requests the list of workers, which fleet_set_workers passes in. */
	void (*read_workers)(void *ctx);
	/* Calls to workers; see drive.h. */
	void (*start)(void *ctx, const struct drive_start *call);
	void (*stop)(void *ctx, const struct drive_stop *call);
	void (*hold)(void *ctx, const struct drive_hold *call);
	/* How long events waited lately before this process read them. */
	uint32_t (*get_late_ms)(void *ctx);
	/* About jobs that other drivers have; see drive.h. Set by cells.h. */
	bool (*find_told)(void *ctx, const char *id, uint32_t *cell);
	bool (*ask_cells)(void *ctx, const struct drive_job_query *q);
	/* The driver has the cancel; see fleet_cancel_id. Set by cells.h. */
	void (*cancel_acked)(void *ctx, uint64_t driver, uint64_t tag);
};

struct fleet;

struct fleet *fleet_new(const struct fleet_options *opt, int64_t now);
void fleet_free(struct fleet *f);

/* Runs the timers; to be called about every 10 ms. */
void fleet_tick(struct fleet *f, int64_t now);

void fleet_peer_up(struct fleet *f, int64_t now,
		   const struct syc_instance *peer);
void fleet_peer_down(struct fleet *f, int64_t now, uint64_t peer);
/* Returns false if the message cannot be read. */
bool fleet_receive(struct fleet *f, int64_t now, uint64_t from,
		   struct syc_bytes msg);

/* Submits a job of a caller; `answer` is called once. */
void fleet_submit(struct fleet *f, int64_t now, uint64_t tag,
		  const struct drive_job *job);

/* Cancels the job of a caller that has disconnected; there is no answer. */
void fleet_cancel(struct fleet *f, int64_t now, uint64_t tag);

/*
 * Sends the driver a cancel of the job of that id, of any caller. `cancel_acked`
 * is called with `tag` when the driver has it. False: no link to a driver.
 */
bool fleet_cancel_id(struct fleet *f, int64_t now, uint64_t tag,
		     const char *id);

/* Sets the platform's list of workers; NULL: it could not be read. */
void fleet_set_workers(struct fleet *f, int64_t now,
		       const struct drive_worker *list, size_t n);

/*
 * The time in ms since the store confirmed the configuration in force, to this
 * instance or to a peer; if it never did, since the start of this instance.
 */
int64_t fleet_config_age_ms(const struct fleet *f);

/* The failure domains whose workers get no tasks. */
struct fleet_evacuations {
	bool is_in_use; /* the settings have them */
	bool is_known; /* until then, no task is started */
	int64_t age_ms; /* as fleet_config_age_ms */
	struct drive_domains domains;
};

/* Of the whole fleet, which keeps them for its cells. */
void fleet_get_evacuations(const struct fleet *f, struct fleet_evacuations *e);

/*
 * Passes in the answer to a hold. The answers to starts and stops are passed
 * to the driver, fleet_get_drive.
 */
void fleet_hold_answered(struct fleet *f, int64_t now, uint64_t call,
			 const struct drive_hold_answer *lists);
struct drive *fleet_get_drive(struct fleet *f);

/* Whether jobs can be served; if not, `why` gets the reason. */
bool fleet_is_ready(const struct fleet *f, const char **why);

/*
 * Begins a planned stop; if this instance drives, another takes over. Jobs of
 * its callers that have not ended at `ends_at` get an answer then, and earlier
 * if it is known that they can't end by then; zero: no limit.
 */
void fleet_leave(struct fleet *f, int64_t now, int64_t ends_at);
/* Whether the planned stop is complete and the process may end. */
bool fleet_has_left(const struct fleet *f);

/* The number of callers' jobs that have no answer. */
size_t fleet_open_jobs(const struct fleet *f);

/* The epoch of the accepted driver; zero: none. */
uint64_t fleet_epoch(const struct fleet *f);
bool fleet_is_driver(const struct fleet *f);

/* For operators: the map, this instance's part in it, and its links. */
struct fleet_counts {
	size_t members; /* of the map */
	bool is_member;
	size_t links; /* to other instances */
	uint32_t capacity; /* starts a second; zero: unknown */
};

void fleet_get_counts(const struct fleet *f, struct fleet_counts *counts);

/* Returns the state as JSON text; to be freed with free(). */
char *fleet_dump(const struct fleet *f, int64_t now);

#endif
