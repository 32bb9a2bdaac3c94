/*
 * Chooses the cell of a job, for loads that the cells' own callers bring in
 * unequal parts. What a home knows of a cell's free capacity is 100 ms old, and
 * all homes know the same. If each chose the cell with most of it, that cell
 * would be overrun, so a home prefers its own domain's cell while that has
 * capacity to spare, and otherwise the better of two chosen at random.
 */
#ifndef FLEET_CELL_CHOICE_H
#define FLEET_CELL_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "util/rng.h"

struct cell_view {
	bool reachable; /* its driver is */
	bool tried; /* it refused the job */
	bool is_own; /* it is the cell of this instance's failure domain */
	uint64_t cpu_milli; /* of the usable workers, free or not */
	uint64_t free_cpu_milli;
};

/* Returns the number of the chosen cell; `n` if none is left to try. */
size_t cell_choose(const struct cell_view *views, size_t n, uint64_t cpu_milli,
		   struct rng *rng);

#endif
