/* Creates the cells of a divided fleet and passes events to them. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/cells_state.h"
#include "util/alloc.h"

/* Set in the numbers of the calls that a cell's driver makes to workers. */
static const uint64_t cell_call_bit = 1ULL << 63;

/* Callbacks of the whole fleet. */

static void on_whole_answer(void *ctx, uint64_t tag,
			    const struct fleet_answer *answer)
{
	struct cells *c = ctx;

	c->opt.answer(c->opt.ctx, tag, answer);
}

static void read_workers(struct cells *c)
{
	if (c->workers_read_in_flight)
		return; /* its answer is passed to all that wait */
	c->workers_read_in_flight = true;
	c->opt.read_workers(c->opt.ctx);
}

static void on_whole_read_workers(void *ctx)
{
	read_workers(ctx);
}

static void on_whole_dial(void *ctx, const struct syc_addr *addr)
{
	struct cells *c = ctx;

	c->opt.dial(c->opt.ctx, addr);
}

static bool on_whole_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct cells *c = ctx;

	return c->opt.send(c->opt.ctx, to, msg);
}

static void on_whole_config(void *ctx, uint64_t version, struct syc_bytes text)
{
	struct cells *c = ctx;

	c->opt.config(c->opt.ctx, version, text);
}

static void on_whole_start(void *ctx, const struct drive_start *call)
{
	struct cells *c = ctx;

	c->opt.start(c->opt.ctx, call);
}

static void on_whole_stop(void *ctx, const struct drive_stop *call)
{
	struct cells *c = ctx;

	c->opt.stop(c->opt.ctx, call);
}

static void on_whole_hold(void *ctx, const struct drive_hold *call)
{
	struct cells *c = ctx;

	c->opt.hold(c->opt.ctx, call);
}

static uint32_t on_whole_get_late_ms(void *ctx)
{
	struct cells *c = ctx;

	return c->opt.get_late_ms(c->opt.ctx);
}

/* Callbacks of a cell's fleet. */

static void on_cell_answer(void *ctx, uint64_t tag,
			   const struct fleet_answer *answer)
{
	cell_jobs_answered(ctx, tag, answer);
}

static void on_cell_read_workers(void *ctx)
{
	const struct cell *cell = ctx;

	read_workers(cell->cells);
}

static void on_cell_dial(void *ctx, const struct syc_addr *addr)
{
	const struct cell *cell = ctx;

	on_whole_dial(cell->cells, addr);
}

static bool on_cell_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	const struct cell *cell = ctx;
	auto_wire_out struct wire_out w = {0};

	wire_begin(&w, SYC_PEER_CELL, 2);
	wire_put_u64(&w, cell->number);
	wire_put_bytes(&w, msg.p, msg.n);
	return on_whole_send(cell->cells, to, wire_bytes(&w));
}

/* The configuration is spread by the whole fleet. */
static void on_cell_config(void *ctx, uint64_t version, struct syc_bytes text)
{
}

static void on_cell_start(void *ctx, const struct drive_start *call)
{
	const struct cell *cell = ctx;
	struct drive_start c = *call;

	c.call |= cell_call_bit;
	on_whole_start(cell->cells, &c);
}

static void on_cell_stop(void *ctx, const struct drive_stop *call)
{
	const struct cell *cell = ctx;
	struct drive_stop c = *call;

	c.call |= cell_call_bit;
	on_whole_stop(cell->cells, &c);
}

static void on_cell_hold(void *ctx, const struct drive_hold *call)
{
	const struct cell *cell = ctx;
	struct drive_hold c = *call;

	c.call |= cell_call_bit;
	on_whole_hold(cell->cells, &c);
}

static uint32_t on_cell_get_late_ms(void *ctx)
{
	const struct cell *cell = ctx;

	return on_whole_get_late_ms(cell->cells);
}

struct cells *cells_new(const struct fleet_options *opt, int64_t now)
{
	struct cells *c = xcalloc(1, sizeof(*c));
	struct fleet_options whole = *opt;

	c->opt = *opt;
	c->rng.state = opt->self.id;
	table_init(&c->jobs, sizeof(struct cell_job));
	whole.ctx = c;
	whole.dial = on_whole_dial;
	whole.send = on_whole_send;
	whole.answer = on_whole_answer;
	whole.config = on_whole_config;
	whole.read_workers = on_whole_read_workers;
	whole.start = on_whole_start;
	whole.stop = on_whole_stop;
	whole.hold = on_whole_hold;
	whole.get_late_ms = on_whole_get_late_ms;
	c->whole = fleet_new(&whole, now);
	return c;
}

void cells_free(struct cells *c)
{
	size_t i;

	if (!c)
		return;
	for (i = 0; i < c->n; i++)
		fleet_free(c->cells[i].fleet);
	fleet_free(c->whole);
	cell_jobs_free(c);
	free(c);
}

static void open_cell(struct cells *c, size_t number, int64_t now)
{
	struct cell *cell = &c->cells[number];
	struct fleet_options opt = c->opt;
	const struct fleet *whole = c->whole;
	size_t i;

	cell->cells = c;
	cell->number = number;
	copy_text(opt.cell, sizeof(opt.cell), whole->map.cells[number]);
	/* Its workers may have seen the fence of the whole fleet's driver. */
	opt.epoch_floor = whole->epoch;
	opt.ctx = cell;
	opt.dial = on_cell_dial;
	opt.send = on_cell_send;
	opt.answer = on_cell_answer;
	opt.config = on_cell_config;
	opt.read_workers = on_cell_read_workers;
	opt.start = on_cell_start;
	opt.stop = on_cell_stop;
	opt.hold = on_cell_hold;
	opt.get_late_ms = on_cell_get_late_ms;
	cell->fleet = fleet_new(&opt, now);
	for (i = 0; i < whole->n_peers; i++)
		if (whole->peers[i].link_up)
			fleet_peer_up(cell->fleet, now,
				      &whole->peers[i].instance);
	if (whole->leaving)
		fleet_leave(cell->fleet, now);
}

static void open_cells(struct cells *c, int64_t now)
{
	size_t i;

	for (i = 0; i < c->whole->map.n_cells; i++)
		open_cell(c, i, now);
	c->n = i;
}

void cells_tick(struct cells *c, int64_t now)
{
	size_t i;

	fleet_tick(c->whole, now);
	if (!c->n && fleet_is_divided(c->whole))
		open_cells(c, now);
	for (i = 0; i < c->n; i++)
		fleet_tick(c->cells[i].fleet, now);
}

void cells_peer_up(struct cells *c, int64_t now,
		   const struct syc_instance *peer)
{
	size_t i;

	fleet_peer_up(c->whole, now, peer);
	for (i = 0; i < c->n; i++)
		fleet_peer_up(c->cells[i].fleet, now, peer);
}

void cells_peer_down(struct cells *c, int64_t now, uint64_t peer)
{
	size_t i;

	fleet_peer_down(c->whole, now, peer);
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

bool cells_receive(struct cells *c, int64_t now, uint64_t from,
		   struct syc_bytes msg)
{
	if (wire_type(msg) == SYC_PEER_CELL)
		return receive_for_cell(c, now, from, msg);
	return fleet_receive(c->whole, now, from, msg);
}

void cells_set_workers(struct cells *c, int64_t now,
		       const struct drive_worker *list, size_t n)
{
	size_t i;

	c->workers_read_in_flight = false;
	if (c->whole->workers_read_in_flight)
		fleet_set_workers(c->whole, now, list, n);
	for (i = 0; i < c->n; i++)
		if (c->cells[i].fleet->workers_read_in_flight)
			fleet_set_workers(c->cells[i].fleet, now, list, n);
}

void cells_set_config(struct cells *c, int64_t now, uint64_t version,
		      struct syc_bytes text)
{
	fleet_set_config(c->whole, now, version, text);
}

struct fleet *cells_whole(struct cells *c)
{
	return c->whole;
}

struct fleet *cells_own(struct cells *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (fleet_is_member(c->cells[i].fleet))
			return c->cells[i].fleet;
	return c->whole;
}

/* The fleet whose driver made the call; its number there is stored. */
static struct fleet *caller_of(struct cells *c, uint64_t *call)
{
	if (*call == FLEET_PROBE_CALL || !(*call & cell_call_bit))
		return c->whole;
	*call &= ~cell_call_bit;
	return cells_own(c);
}

void cells_start_answered(struct cells *c, int64_t now, uint64_t call,
			  const struct drive_call_answer *answer)
{
	struct fleet *f = caller_of(c, &call);

	drive_start_answered(fleet_get_drive(f), now, call, answer);
}

void cells_stop_answered(struct cells *c, int64_t now, uint64_t call,
			 const struct drive_call_answer *answer)
{
	struct fleet *f = caller_of(c, &call);

	drive_stop_answered(fleet_get_drive(f), now, call, answer);
}

void cells_hold_answered(struct cells *c, int64_t now, uint64_t call,
			 const struct drive_hold_answer *lists)
{
	struct fleet *f = caller_of(c, &call);

	fleet_hold_answered(f, now, call, lists);
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
		return fleet_is_ready(c->whole, why);
	if (c->whole->leaving)
		*why = "stopping";
	else if (!c->whole->config_version)
		*why = "no configuration yet";
	else if (!is_any_driver_reachable(c, syc_now(&c->opt.clock)))
		*why = "no driver is heard";
	else
		return true;
	return false;
}

void cells_leave(struct cells *c, int64_t now)
{
	size_t i;

	fleet_leave(c->whole, now);
	for (i = 0; i < c->n; i++)
		fleet_leave(c->cells[i].fleet, now);
}

bool cells_has_left(const struct cells *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (!fleet_has_left(c->cells[i].fleet))
			return false;
	return fleet_has_left(c->whole);
}

size_t cells_open_jobs(const struct cells *c)
{
	size_t i, n = fleet_open_jobs(c->whole);

	for (i = 0; i < c->n; i++)
		n += fleet_open_jobs(c->cells[i].fleet);
	return n;
}

size_t cells_count(const struct cells *c)
{
	return c->n;
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
	json_t *root = dump_fleet(c->whole, now), *cell;
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
