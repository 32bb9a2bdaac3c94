/* State and functions that the files of the cells share. */
#ifndef FLEET_CELLS_STATE_H
#define FLEET_CELLS_STATE_H

#include "fleet/cells.h"
#include "fleet/fleet_state.h"
#include "fleet/open_jobs.h"
#include "util/rng.h"

/* One cell, or the whole fleet, as this instance sees it. */
struct cell {
	struct cells *cells;
	size_t number; /* FLEET_CELLS_MAX: the whole fleet */
	struct fleet *fleet;
	/* Capacity that this home's jobs took since the driver's report. */
	uint64_t taken_cpu_milli;
	int64_t reported_at; /* of that report */
	int64_t used_at; /* when a job was last submitted to it */
	int64_t told_at; /* when its driver last told which jobs it has */
	/* When its driver was last heard; pauses of this process are added. */
	int64_t heard_at;
	uint64_t epoch; /* of its driver, at the last tick */
	int64_t epoch_since; /* when that driver was first known here */
	/* The driver that was last described to the members, and when. */
	uint64_t described_driver;
	int64_t described_at;
};

/* A caller's job in a divided fleet. */
struct cell_job {
	uint64_t handle;
	uint64_t tag;
	size_t cell; /* that has it */
	uint32_t tried; /* a bit for each cell that has or had it */
	uint32_t n_tries;
	uint32_t n_moves; /* to the cell that has it already */
};

struct cells {
	struct fleet_options opt;
	struct cell whole;
	size_t n; /* zero: not divided */
	struct cell cells[FLEET_CELLS_MAX];
	struct table jobs; /* of struct cell_job */
	struct index tags;
	struct rng rng;
	bool workers_read_in_flight;
	int64_t workers_read_at; /* when it was sent */
	int64_t next_reports_at;
	struct open_jobs open_jobs; /* what other drivers have told */
	struct table queries; /* of struct job_query, see job_query.c */
	struct table cancels; /* of struct cancel, see cancels.c */
	struct list cancels_by_age; /* the oldest is the first */
	int64_t ticked_at;
	bool drives; /* at the last tick */
	int64_t drives_since; /* without a long pause */
	uint64_t n_queries;
	int64_t next_tell_at; /* when others are told of this one's jobs */
	uint64_t n_moved; /* jobs of this home, since the start */
	/* What heartbeats were last sent for. */
	uint64_t config_version;
	uint64_t n_evacuation_changes;
};

/* cell_fleet.c */
/*
 * Creates the fleet of `cell`, which drives the workers of `domain`; empty: of
 * all domains. Its epochs are above `epoch_floor`.
 */
void cell_create_fleet(struct cell *cell, const char *domain,
		       uint64_t epoch_floor, int64_t now);

/* cell_reports.c */
/*
 * Lets an instance that drives its cell know the drivers of the others, and
 * closes links to drivers that are not used.
 */
void cell_reports_tick(struct cells *c, int64_t now);
bool cell_reports_receive(struct cells *c, int64_t now, struct syc_bytes msg);

/* open_jobs_tell.c */
/* How long what another driver has told holds. */
int64_t open_jobs_hold_ms(const struct cells *c);
/* The cell, or the whole fleet, that this instance drives; NULL: none. */
struct cell *cells_driven(struct cells *c);
/*
 * Whether no newer driver of the cell is known than that of the epoch; false for
 * this instance's own cell, and for cells that it does not know.
 */
bool cells_is_current_driver(struct cells *c, uint64_t number, uint64_t epoch);
/* Sends a message that is for the instance, not for its fleet of that cell. */
void cells_send_to_driver(const struct cell *cell, const struct wire_out *w);
/* Tells other instances which jobs this driver has. */
void open_jobs_tell(struct cells *c, const struct cell *own, int64_t now);
bool open_jobs_receive(struct cells *c, int64_t now, struct wire_in *w);
/* Notes whether this instance drives, and a long pause of it; at each tick. */
void open_jobs_check_pause(struct cells *c, const struct cell *own,
			   int64_t now);

/* job_query.c */
void job_queries_init(struct cells *c);
void job_queries_free(struct cells *c);
/* `own`: what this instance drives, or NULL. */
void job_queries_tick(struct cells *c, const struct cell *own, int64_t now);
/*
 * Asks the other cells for a job; its drive gets the answer. A fresh job is asked
 * for only where the driver has not told of its jobs. False: no cell is asked.
 */
bool job_query_ask(struct cell *own, const struct drive_job_query *asked);
bool job_query_receive(struct cells *c, int64_t now, uint64_t from,
		       struct wire_in *w);
bool job_located_receive(struct cells *c, int64_t now, struct wire_in *w);

/* cancels.c */
void cancels_init(struct cells *c);
void cancels_free(struct cells *c);
/* Sends cancels that not all drivers have, and answers callers. */
void cancels_tick(struct cells *c, int64_t now);
/* The cell's driver has the cancel of that handle. */
void cancels_acked(struct cell *cell, uint64_t driver, uint64_t handle);

/* cell_jobs.c */
/* Handles a cell's answer to a job: the caller's, or another cell is tried. */
void cell_jobs_answered(struct cell *cell, uint64_t tag,
			const struct fleet_answer *answer);
void cell_jobs_free(struct cells *c);

#endif
