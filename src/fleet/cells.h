/*
 * One instance as the daemon sees it: a fleet, or, if there are many workers,
 * a fleet that is divided into cells. A cell is a failure domain whose workers
 * have a driver of their own, so the load is carried by several machines, and
 * a domain that is cut off keeps its driver. In a divided fleet, the whole fleet
 * keeps the list of cells and the configuration, and drives nothing. Instances
 * have links to those of their own domain, and to the drivers of the cells that
 * they use.
 *
 * A job runs in one cell. A cell that refuses it has started no task of it, so
 * it may be submitted to another cell. A job whose outcome in a cell is not
 * known stays in that cell.
 *
 * The functions and callbacks are those of fleet.h.
 */
#ifndef FLEET_CELLS_H
#define FLEET_CELLS_H

#include "fleet/fleet.h"

struct cells;

struct cells *cells_new(const struct fleet_options *opt, int64_t now);
void cells_free(struct cells *c);

/* Runs the timers; to be called about every 10 ms. */
void cells_tick(struct cells *c, int64_t now);

void cells_peer_up(struct cells *c, int64_t now,
		   const struct syc_instance *peer);
void cells_peer_down(struct cells *c, int64_t now, uint64_t peer);
/* Returns false if the message cannot be read. */
bool cells_receive(struct cells *c, int64_t now, uint64_t from,
		   struct syc_bytes msg);

void cells_submit(struct cells *c, int64_t now, uint64_t tag,
		  const struct drive_job *job);
void cells_cancel(struct cells *c, int64_t now, uint64_t tag);
/*
 * Cancels the job of that id in all cells; the callback `cancelled` is called
 * with `tag`, perhaps before this returns. An id that no cell has is cancelled
 * too: for a while, no job of that id begins.
 */
void cells_cancel_id(struct cells *c, int64_t now, uint64_t tag,
		     const char *id);

void cells_set_workers(struct cells *c, int64_t now,
		       const struct drive_worker *list, size_t n);
int64_t cells_config_age_ms(const struct cells *c);

/* Pass in the answers to calls to workers. */
void cells_start_answered(struct cells *c, int64_t now, uint64_t call,
			  const struct drive_call_answer *answer);
void cells_stop_answered(struct cells *c, int64_t now, uint64_t call,
			 const struct drive_call_answer *answer);
void cells_hold_answered(struct cells *c, int64_t now, uint64_t call,
			 const struct drive_hold_answer *lists);

bool cells_is_ready(const struct cells *c, const char **why);
void cells_leave(struct cells *c, int64_t now, int64_t ends_at);
bool cells_has_left(const struct cells *c);
/* The number of callers' jobs that have no answer. */
size_t cells_open_jobs(const struct cells *c);
/* The number of cells; zero: the fleet is not divided. */
size_t cells_count(const struct cells *c);

/* Of jobs that are submitted in several cells. */
struct cells_job_counts {
	size_t told; /* jobs that other drivers have told of, current */
	uint64_t moved; /* of this home's jobs, to the cell that has them */
};

void cells_get_job_counts(const struct cells *c,
			  struct cells_job_counts *counts);

/* The fleet as a whole. */
struct fleet *cells_whole(struct cells *c);
/*
 * The fleet whose workers this instance may drive: that of its cell, or the
 * whole one if it is not divided or this instance's domain is no cell.
 */
struct fleet *cells_own(struct cells *c);

/* Returns the state as JSON text; to be freed with free(). */
char *cells_dump(const struct cells *c, int64_t now);

#endif
