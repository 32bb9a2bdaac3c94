/* State and functions that the files of the cells share. */
#ifndef FLEET_CELLS_STATE_H
#define FLEET_CELLS_STATE_H

#include "fleet/cells.h"
#include "fleet/fleet_state.h"
#include "util/rng.h"

/* One cell, or the whole fleet, as this instance sees it. */
struct cell {
	struct cells *cells;
	size_t number;
	struct fleet *fleet;
	/* Capacity that this home's jobs took since the driver's report. */
	uint64_t taken_cpu_milli;
	int64_t reported_at; /* of that report */
	int64_t used_at; /* when a job was last submitted to it */
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
	int64_t next_reports_at;
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

/* cell_jobs.c */
/* Handles a cell's answer to a job: the caller's, or another cell is tried. */
void cell_jobs_answered(struct cell *cell, uint64_t tag,
			const struct fleet_answer *answer);
void cell_jobs_free(struct cells *c);

#endif
