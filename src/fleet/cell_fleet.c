/*
 * Creates the fleet of a cell, and connects it with the daemon: its messages
 * and its calls to workers carry the cell, so that what comes back finds it.
 */
#include "fleet/cells_state.h"
#include "util/alloc.h"

/* Set in the numbers of the calls that a cell's driver makes to workers. */
static const uint64_t cell_call_bit = 1ULL << 63;

static bool is_whole(const struct cell *cell)
{
	return cell == &cell->cells->whole;
}

static void on_dial(void *ctx, const struct syc_addr *addr)
{
	const struct cell *cell = ctx;
	const struct fleet_options *opt = &cell->cells->opt;

	opt->dial(opt->ctx, addr);
}

static void on_hang_up(void *ctx, const struct syc_addr *addr)
{
	const struct cell *cell = ctx;
	const struct fleet_options *opt = &cell->cells->opt;

	opt->hang_up(opt->ctx, addr);
}

static bool on_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	const struct cell *cell = ctx;
	const struct fleet_options *opt = &cell->cells->opt;
	auto_wire_out struct wire_out w = {0};

	if (is_whole(cell))
		return opt->send(opt->ctx, to, msg);
	wire_begin(&w, SYC_PEER_CELL, 2);
	wire_put_u64(&w, cell->number);
	wire_put_bytes(&w, msg.p, msg.n);
	return opt->send(opt->ctx, to, wire_bytes(&w));
}

static void on_answer(void *ctx, uint64_t tag,
		      const struct fleet_answer *answer)
{
	struct cell *cell = ctx;
	const struct fleet_options *opt = &cell->cells->opt;

	if (is_whole(cell))
		opt->answer(opt->ctx, tag, answer);
	else
		cell_jobs_answered(cell, tag, answer);
}

/* Only the whole fleet has a configuration. */
static uint64_t on_config(void *ctx, struct syc_bytes text, const char *from)
{
	const struct cell *cell = ctx;
	const struct fleet_options *opt = &cell->cells->opt;

	return opt->config(opt->ctx, text, from);
}

static void on_read_workers(void *ctx)
{
	const struct cell *cell = ctx;
	struct cells *c = cell->cells;

	/* The answer is passed to all that wait, and is as old as its read. */
	if (c->workers_read_in_flight) {
		cell->fleet->workers_read_at = c->workers_read_at;
		return;
	}
	c->workers_read_in_flight = true;
	c->workers_read_at = cell->fleet->workers_read_at;
	c->opt.read_workers(c->opt.ctx);
}

static uint64_t call_number(const struct cell *cell, uint64_t call)
{
	return is_whole(cell) ? call : call | cell_call_bit;
}

static void on_start(void *ctx, const struct drive_start *call)
{
	const struct cell *cell = ctx;
	const struct fleet_options *opt = &cell->cells->opt;
	struct drive_start c = *call;

	c.call = call_number(cell, call->call);
	opt->start(opt->ctx, &c);
}

static void on_stop(void *ctx, const struct drive_stop *call)
{
	const struct cell *cell = ctx;
	const struct fleet_options *opt = &cell->cells->opt;
	struct drive_stop c = *call;

	c.call = call_number(cell, call->call);
	opt->stop(opt->ctx, &c);
}

static void on_hold(void *ctx, const struct drive_hold *call)
{
	const struct cell *cell = ctx;
	const struct fleet_options *opt = &cell->cells->opt;
	struct drive_hold c = *call;

	c.call = call_number(cell, call->call);
	opt->hold(opt->ctx, &c);
}

static uint32_t on_get_late_ms(void *ctx)
{
	const struct cell *cell = ctx;
	const struct fleet_options *opt = &cell->cells->opt;

	return opt->get_late_ms(opt->ctx);
}

static bool on_find_told(void *ctx, const char *id, uint32_t *number)
{
	const struct cell *cell = ctx;
	const struct cells *c = cell->cells;
	uint64_t hash = open_jobs_hash(id);
	int64_t now = syc_now(&c->opt.clock);
	uint32_t i;

	for (i = 0; i < c->n; i++) {
		*number = i;
		if (i != cell->number &&
		    open_jobs_find(&c->open_jobs, hash, i, now))
			return true;
	}
	*number = DRIVE_OWN_CELL;
	return open_jobs_find(&c->open_jobs, hash, (uint32_t)cell->number, now);
}

static bool on_ask_cells(void *ctx, const struct drive_job_query *q)
{
	struct cell *cell = ctx;

	return !is_whole(cell) && job_query_ask(cell, q);
}

static void on_cancel_acked(void *ctx, uint64_t driver, uint64_t tag)
{
	struct cell *cell = ctx;

	cancels_acked(cell, driver, tag);
}

void cell_create_fleet(struct cell *cell, const char *domain,
		       uint64_t epoch_floor, int64_t now)
{
	struct fleet_options opt = cell->cells->opt;

	copy_text(opt.cell, sizeof(opt.cell), domain);
	opt.epoch_floor = epoch_floor;
	opt.ctx = cell;
	opt.dial = on_dial;
	opt.hang_up = on_hang_up;
	opt.send = on_send;
	opt.answer = on_answer;
	opt.config = on_config;
	opt.read_workers = on_read_workers;
	opt.start = on_start;
	opt.stop = on_stop;
	opt.hold = on_hold;
	opt.get_late_ms = on_get_late_ms;
	opt.find_told = on_find_told;
	opt.ask_cells = on_ask_cells;
	opt.cancel_acked = on_cancel_acked;
	cell->fleet = fleet_new(&opt, now);
}

/* The fleet whose driver made the call; its number there is stored. */
static struct fleet *caller_of(struct cells *c, uint64_t *call)
{
	if (*call == FLEET_PROBE_CALL || !(*call & cell_call_bit))
		return c->whole.fleet;
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
