/* Creates the cells of a divided fleet and passes events to them. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/cells_state.h"
#include "util/alloc.h"

enum { DRIVER_LOST_LONG_MS = 1500 };

struct cells *cells_new(const struct fleet_options *opt, int64_t now)
{
	struct cells *c = xcalloc(1, sizeof(*c));

	c->opt = *opt;
	c->opt.losses = losses_new();
	c->rng.state = opt->self.id;
	table_init(&c->jobs, sizeof(struct cell_job));
	open_jobs_init(&c->open_jobs, open_jobs_hold_ms(c));
	job_queries_init(c);
	cancels_init(c);
	c->whole.cells = c;
	c->whole.number = FLEET_CELLS_MAX;
	cell_create_fleet(&c->whole, "", 0, now);
	return c;
}

void cells_free(struct cells *c)
{
	size_t i;

	if (!c)
		return;
	for (i = 0; i < c->n; i++)
		fleet_free(c->cells[i].fleet);
	fleet_free(c->whole.fleet);
	cell_jobs_free(c);
	open_jobs_free(&c->open_jobs);
	job_queries_free(c);
	cancels_free(c);
	losses_free(c->opt.losses);
	free(c);
}

static void open_cell(struct cells *c, size_t number, int64_t now)
{
	struct fleet *whole = c->whole.fleet;
	struct cell *cell = &c->cells[number];
	size_t i;

	cell->cells = c;
	cell->number = number;
	/* Its workers may have seen the fence of the whole fleet's driver. */
	cell_create_fleet(cell, whole->map.cells[number], whole->epoch, now);
	cell->fleet->whole = whole;
	for (i = 0; i < whole->n_peers; i++)
		if (whole->peers[i].link_up)
			fleet_peer_up(cell->fleet, now,
				      &whole->peers[i].instance);
	if (whole->leaving)
		fleet_leave(cell->fleet, now, whole->ends_at);
}

static void open_cells(struct cells *c, int64_t now)
{
	size_t i;

	for (i = c->n; i < c->whole.fleet->map.n_cells; i++)
		open_cell(c, i, now);
	c->n = i;
}

/* The first election of a cell is over by then. */
static bool is_driver_long_lost(const struct fleet *own, int64_t now)
{
	return own->driver_lost_at &&
	       now - own->driver_lost_at >= DRIVER_LOST_LONG_MS;
}

/*
 * What the members of the own cell read, they read for all of them. The driver
 * alone reads the maps of the other cells, as it reports to its members, but an
 * instance without a cell, or without a driver for long, gets no reports.
 */
static void choose_readers(struct cells *c, int64_t now)
{
	const struct fleet *own = cells_own(c);
	enum key_watch_role role, others;
	size_t i;

	if (!c->n)
		return;
	if (own == c->whole.fleet) {
		role = others = KEY_WATCH_WATCHES;
	} else {
		role = fleet_role(own, now);
		others = role;
		if (role != KEY_WATCH_LEADS && !is_driver_long_lost(own, now))
			others = KEY_WATCH_FOLLOWS;
	}
	c->whole.fleet->role = role;
	for (i = 0; i < c->n; i++)
		c->cells[i].fleet->role = c->cells[i].fleet == own ? role
								   : others;
}

/* Sends what is new of the whole fleet in the own cell's heartbeats. */
static void announce_changes(struct cells *c, int64_t now)
{
	const struct fleet *whole = c->whole.fleet;

	if (!c->n || (c->config_version == whole->config_version &&
		      c->n_evacuation_changes == whole->evacuations.n_changes))
		return;
	c->config_version = whole->config_version;
	c->n_evacuation_changes = whole->evacuations.n_changes;
	heartbeat_send_all(cells_own(c), now);
}

static void tick_open_jobs(struct cells *c, int64_t now)
{
	const struct cell *driven = cells_driven(c);

	open_jobs_check_pause(c, driven, now);
	job_queries_tick(c, driven, now);
	if (driven)
		open_jobs_tell(c, driven, now);
}

void cells_tick(struct cells *c, int64_t now)
{
	size_t i;

	choose_readers(c, now);
	fleet_tick(c->whole.fleet, now);
	open_cells(c, now);
	cell_reports_tick(c, now);
	for (i = 0; i < c->n; i++)
		fleet_tick(c->cells[i].fleet, now);
	tick_open_jobs(c, now);
	cancels_tick(c, now);
	/* Heartbeats carry the room too, which these changes may have changed. */
	announce_changes(c, now);
}

void cells_peer_up(struct cells *c, int64_t now,
		   const struct syc_instance *peer)
{
	size_t i;

	fleet_peer_up(c->whole.fleet, now, peer);
	for (i = 0; i < c->n; i++)
		fleet_peer_up(c->cells[i].fleet, now, peer);
}

void cells_peer_down(struct cells *c, int64_t now, uint64_t peer)
{
	size_t i;

	fleet_peer_down(c->whole.fleet, now, peer);
	for (i = 0; i < c->n; i++)
		fleet_peer_down(c->cells[i].fleet, now, peer);
}

static bool receive_for_cell(struct cells *c, int64_t now, uint64_t from,
			     struct syc_bytes msg)
{
	struct syc_bytes inner;
	struct wire_in w;
	uint64_t number;
	bool ok;

	wire_open(&w, msg);
	number = wire_u64(&w);
	inner = wire_view(&w);
	ok = !w.failed;
	/* Until this instance knows the division, it drops the message. */
	if (ok && number < c->n)
		ok = fleet_receive(c->cells[number].fleet, now, from, inner);
	return wire_close(&w) && ok;
}

/* Messages for the driver of any cell. */
static bool receive_about_jobs(struct cells *c, int64_t now, uint64_t from,
			       struct syc_bytes msg)
{
	struct wire_in w;
	bool ok;

	wire_open(&w, msg);
	if (wire_type(msg) == SYC_PEER_OPEN_JOBS)
		ok = open_jobs_receive(c, now, &w);
	else if (wire_type(msg) == SYC_PEER_JOB_QUERY)
		ok = job_query_receive(c, now, from, &w);
	else
		ok = job_located_receive(c, now, &w);
	return wire_close(&w) && ok;
}

bool cells_receive(struct cells *c, int64_t now, uint64_t from,
		   struct syc_bytes msg)
{
	switch (wire_type(msg)) {
	case SYC_PEER_CELL:
		return receive_for_cell(c, now, from, msg);
	case SYC_PEER_CELL_REPORTS:
		return cell_reports_receive(c, now, msg);
	case SYC_PEER_OPEN_JOBS:
	case SYC_PEER_JOB_QUERY:
	case SYC_PEER_JOB_LOCATED:
		return receive_about_jobs(c, now, from, msg);
	default:
		return fleet_receive(c->whole.fleet, now, from, msg);
	}
}

void cells_set_workers(struct cells *c, int64_t now,
		       const struct drive_worker *list, size_t n)
{
	size_t i;

	c->workers_read_in_flight = false;
	if (c->whole.fleet->workers_read_in_flight)
		fleet_set_workers(c->whole.fleet, now, list, n);
	for (i = 0; i < c->n; i++)
		if (c->cells[i].fleet->workers_read_in_flight)
			fleet_set_workers(c->cells[i].fleet, now, list, n);
}

int64_t cells_config_age_ms(const struct cells *c)
{
	return fleet_config_age_ms(c->whole.fleet);
}

struct fleet *cells_whole(struct cells *c)
{
	return c->whole.fleet;
}

struct fleet *cells_own(struct cells *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (fleet_is_eligible(c->cells[i].fleet))
			return c->cells[i].fleet;
	return c->whole.fleet;
}

static bool is_any_driver_reachable(const struct cells *c, int64_t now)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (election_is_driver_reachable(c->cells[i].fleet, now))
			return true;
	return false;
}

bool cells_is_ready(const struct cells *c, const char **why)
{
	if (!c->n)
		return fleet_is_ready(c->whole.fleet, why);
	if (c->whole.fleet->leaving)
		*why = "stopping";
	else if (!c->whole.fleet->config_version)
		*why = "no configuration yet";
	else if (!is_any_driver_reachable(c, syc_now(&c->opt.clock)))
		*why = "no driver is heard";
	else
		return true;
	return false;
}

void cells_leave(struct cells *c, int64_t now, int64_t ends_at)
{
	size_t i;

	fleet_leave(c->whole.fleet, now, ends_at);
	for (i = 0; i < c->n; i++)
		fleet_leave(c->cells[i].fleet, now, ends_at);
}

bool cells_has_left(const struct cells *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (!fleet_has_left(c->cells[i].fleet))
			return false;
	return fleet_has_left(c->whole.fleet);
}

size_t cells_open_jobs(const struct cells *c)
{
	size_t i, n = fleet_open_jobs(c->whole.fleet);

	for (i = 0; i < c->n; i++)
		n += fleet_open_jobs(c->cells[i].fleet);
	return n;
}

size_t cells_count(const struct cells *c)
{
	return c->n;
}

void cells_get_job_counts(const struct cells *c,
			  struct cells_job_counts *counts)
{
	counts->told = open_jobs_count(&c->open_jobs);
	counts->moved = c->n_moved;
}

static json_t *dump_fleet(const struct fleet *f, int64_t now)
{
	char *text = fleet_dump(f, now);
	json_t *obj = json_loads(text, 0, NULL);

	free(text);
	return obj;
}

char *cells_dump(const struct cells *c, int64_t now)
{
	json_t *root = dump_fleet(c->whole.fleet, now), *cell;
	json_t *list = json_array();
	char *text;
	size_t i;

	for (i = 0; i < c->n; i++) {
		cell = dump_fleet(c->cells[i].fleet, now);
		json_object_set_new(cell, "cell",
				    json_string(c->cells[i].fleet->opt.cell));
		json_array_append_new(list, cell);
	}
	json_object_set_new(root, "cells", list);
	text = json_dumps(root, JSON_INDENT(1));
	json_decref(root);
	return text;
}
