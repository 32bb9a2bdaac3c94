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
};

/* cell_fleet.c */
/*
 * Creates the fleet of `cell`, which drives the workers of `domain`; empty: of
 * all domains. Its epochs are above `epoch_floor`.
 */
void cell_create_fleet(struct cell *cell, const char *domain,
		       uint64_t epoch_floor, int64_t now);

/* cell_jobs.c */
/* Handles a cell's answer to a job: the caller's, or another cell is tried. */
void cell_jobs_answered(struct cell *cell, uint64_t tag,
			const struct fleet_answer *answer);
void cell_jobs_free(struct cells *c);

#endif
