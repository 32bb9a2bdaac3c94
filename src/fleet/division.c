/*
 * Decides whether a fleet is divided into cells: one for each failure domain
 * that has workers. One driver carries the load of some 200 workers, or fewer
 * if its machine or link is weak; above that each domain gets a driver of its
 * own, if it has enough workers to absorb wide jobs, and enough instances to
 * elect a driver after losing one.
 *
 * The division is written into the map and never taken back, so that a worker
 * never has drivers of both kinds. A fleet with an instance of a version without
 * cells is not divided, as that one would submit its jobs to the whole fleet's
 * driver.
 */
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	CELL_MEMBERS_MIN = 3, /* two are a majority if one is lost */
	/* Rate of starts, a second, that one worker takes at a busy time. */
	STARTS_PER_WORKER = 25,
	/* Workers of a cell that absorb a job of 32 tasks, two on each. */
	WIDE_JOB_WORKERS_MIN = 16,
	OVERLOAD_FACTOR = 2
};

/* Whether `n` workers need more starts than `factor` times what is driven. */
static bool is_beyond_capacity(const struct fleet *f, size_t n, size_t factor)
{
	return f->opt.capacity &&
	       n * STARTS_PER_WORKER > factor * f->opt.capacity;
}

/*
 * The least number of workers of a cell. Small cells serve wide jobs worse, so
 * they are for a driver that cannot carry half of the load.
 */
static size_t cell_workers_min(const struct fleet *f, size_t n)
{
	uint32_t min = f->opt.cell_workers_min;

	if (min > WIDE_JOB_WORKERS_MIN &&
	    is_beyond_capacity(f, n, OVERLOAD_FACTOR))
		return WIDE_JOB_WORKERS_MIN;
	return min;
}

/* The number of the cell of that name, which is added if it is missing. */
static size_t find_or_add(struct fleet_map *m, const char *name)
{
	size_t i;

	for (i = 0; i < m->n_cells; i++)
		if (!strcmp(m->cells[i], name))
			return i;
	if (m->n_cells < FLEET_CELLS_MAX)
		copy_text(m->cells[m->n_cells++], SYC_NAME_MAX, name);
	return i;
}

static size_t count_members(const struct fleet_map *m, const char *domain)
{
	size_t i, n = 0;

	for (i = 0; i < m->n_members; i++)
		n += !strcmp(m->members[i].domain, domain);
	return n;
}

/* Fills in a cell for each domain; false: one is too small. */
static bool divide(const struct fleet *f, const struct drive_worker *list,
		   size_t n, struct fleet_map *division)
{
	size_t n_workers[FLEET_CELLS_MAX + 1] = {0};
	size_t i;

	for (i = 0; i < n; i++)
		n_workers[find_or_add(division, list[i].domain)]++;
	if (n_workers[FLEET_CELLS_MAX])
		return false;
	for (i = 0; i < division->n_cells; i++)
		if (n_workers[i] < cell_workers_min(f, n) ||
		    count_members(&f->map, division->cells[i]) <
			    CELL_MEMBERS_MIN)
			return false;
	return division->n_cells > 1;
}

/* Whether all members, and all homes, run a version that knows cells. */
static bool all_instances_know_cells(const struct fleet *f)
{
	const struct fleet_peer *p;
	size_t i;

	for (i = 0; i < f->map.n_members; i++) {
		if (f->map.members[i].id == f->opt.self.id)
			continue;
		p = heartbeat_find_peer(f, f->map.members[i].id);
		if (!p || !p->knows_cells)
			return false;
	}
	for (i = 0; i < f->n_peers; i++)
		if (f->peers[i].heartbeat_at && !f->peers[i].knows_cells)
			return false;
	return true;
}

void division_check(struct fleet *f, const struct drive_worker *list, size_t n)
{
	struct fleet_map division = {0};

	if (*f->opt.cell || fleet_is_divided(f) || !f->opt.cell_workers_min ||
	    f->driver != f->opt.self.id)
		return;
	if (n < f->opt.divided_workers_min && !is_beyond_capacity(f, n, 1))
		return;
	if (all_instances_know_cells(f) && divide(f, list, n, &division))
		fleet_map_copy_cells(&f->wanted_cells, &division);
}
