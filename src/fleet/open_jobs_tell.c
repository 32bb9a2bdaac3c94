/*
 * Tells other instances which jobs a driver has. The drivers of the other cells
 * are told, so that a job that its caller submits again, to an instance of another
 * failure domain, is not run in two cells; and the members of the driver's own
 * fleet, as one of them may be the next driver, before it has seen all runs.
 *
 * What is told holds for longer than the leases of the runs, so it covers the
 * runs of a driver that is lost.
 */
#include "fleet/cells_state.h"

enum {
	TELL_INTERVAL_MS = 100,
	/*
	 * A job that a lost driver had not told of is younger than this and the
	 * interval. Its runs end with their lease, 1110 ms later, and before its
	 * caller is back after 1300 ms.
	 */
	TELL_AGE_MS = 80,
	JOBS_MAX = 2048, /* in one message */
	/* Added to the lease: two intervals and the way of a list. */
	HOLD_SLACK_MS = 300,
	/*
	 * After a silence what was told may hold no more: the longest time that
	 * a list may be late is taken off.
	 */
	LATE_MAX_MS = 400,
	USUAL_TICK_MS = 20 /* between two ticks of a process that is in time */
};

int64_t open_jobs_hold_ms(const struct cells *c)
{
	return (int64_t)c->opt.lease_ms + HOLD_SLACK_MS;
}

struct cell *cells_driven(struct cells *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (fleet_is_driver(c->cells[i].fleet))
			return &c->cells[i];
	return fleet_is_driver(c->whole.fleet) ? &c->whole : NULL;
}

/* Of a member's own fleet too, but for the one that drives it. */
static bool is_current(struct cells *c, uint64_t number, uint64_t epoch)
{
	const struct cell *cell = NULL;

	if (number == c->whole.number)
		cell = &c->whole;
	else if (number < c->n)
		cell = &c->cells[number];
	return cell && cell != cells_driven(c) && epoch >= cell->fleet->epoch;
}

bool cells_is_current_driver(struct cells *c, uint64_t number, uint64_t epoch)
{
	return number < c->n && is_current(c, number, epoch);
}

void cells_send_to_driver(const struct cell *cell, const struct wire_out *w)
{
	const struct fleet_options *opt = &cell->cells->opt;
	uint64_t driver = election_get_driver(cell->fleet);

	if (driver && driver != opt->self.id)
		opt->send(opt->ctx, driver, wire_bytes(w));
}

/* The jobs that are told of in the next message. */
struct told_jobs {
	struct cells *cells;
	const struct cell *own;
	int64_t now;
	size_t n;
	struct told_job {
		uint64_t hash;
		bool is_waiting; /* for the answers of other cells */
	} jobs[JOBS_MAX];
};

static void send_to_members(const struct fleet *f, const struct wire_out *w)
{
	const struct fleet_peer *p;
	size_t i;

	for (i = 0; i < f->n_peers; i++) {
		p = &f->peers[i];
		if (p->link_up && fleet_is_member(f, p->instance.id) &&
		    fleet_is_eligible_domain(f, p->instance.domain))
			f->whole->opt.send(f->whole->opt.ctx, p->instance.id,
					   wire_bytes(w));
	}
}

/* `is_complete`: the list ends here, and lacks no job. */
static void send_told(struct told_jobs *t, bool is_complete)
{
	struct cells *c = t->cells;
	auto_wire_out struct wire_out w = {0};
	size_t i;

	wire_begin(&w, SYC_PEER_OPEN_JOBS, 4);
	wire_put_u64(&w, t->own->number);
	wire_put_u64(&w, t->own->fleet->epoch);
	wire_put_bool(&w, is_complete);
	wire_put_array(&w, 2 * t->n);
	for (i = 0; i < t->n; i++) {
		wire_put_u64(&w, t->jobs[i].hash);
		wire_put_bool(&w, t->jobs[i].is_waiting);
	}
	send_to_members(t->own->fleet, &w);
	for (i = 0; i < c->n; i++)
		if (&c->cells[i] != t->own)
			cells_send_to_driver(&c->cells[i], &w);
	t->n = 0;
}

/* Whether a cell that this one gives way to tells that it has the job too. */
static bool is_open_twice(const struct told_jobs *t, uint64_t hash)
{
	const struct open_jobs *o = &t->cells->open_jobs;
	uint32_t i;

	for (i = 0; i < t->own->number && i < t->cells->n; i++)
		if (open_jobs_find(o, hash, i, t->now))
			return true;
	return false;
}

static void add_job(void *ctx, const char *id, enum drive_presence presence)
{
	struct told_jobs *t = ctx;
	uint64_t hash = open_jobs_hash(id);

	if (is_open_twice(t, hash))
		drive_ask_for_job(fleet_get_drive(t->own->fleet), id);
	t->jobs[t->n++] = (struct told_job){hash,
					    presence == DRIVE_AWAITS_CELLS};
	if (t->n == JOBS_MAX)
		send_told(t, false);
}

void open_jobs_tell(struct cells *c, const struct cell *own, int64_t now)
{
	const struct drive *d = fleet_get_drive(own->fleet);
	struct told_jobs t;

	if (now < c->next_tell_at)
		return;
	c->next_tell_at = now + TELL_INTERVAL_MS;
	open_jobs_expire(&c->open_jobs, now);
	t.cells = c;
	t.own = own;
	t.now = now;
	t.n = 0;
	drive_list_jobs(d, now, TELL_AGE_MS, add_job, &t);
	send_told(&t, drive_knows_runs(d, now));
}

static bool is_silence(const struct cells *c, int64_t ms)
{
	return ms >= open_jobs_hold_ms(c) - LATE_MAX_MS;
}

/*
 * What this driver has told does not hold in that cell any more if nothing passed
 * between the two for long, so its jobs may have been begun there.
 */
static void note_told(struct cell *cell, int64_t now)
{
	struct cells *c = cell->cells;
	const struct cell *own = cells_driven(c);
	int64_t silence_ms = now - cell->told_at;

	cell->told_at = now;
	if (own && own != &c->whole && is_silence(c, silence_ms))
		drive_ask_again(fleet_get_drive(own->fleet));
}

/* The others may have new drivers that this instance has not heard of. */
static void find_drivers(struct cells *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		key_watch_note_newer(&c->cells[i].fleet->map_watch);
	c->next_reports_at = 0;
}

static void note_epoch(struct cell *cell, int64_t now)
{
	if (cell->epoch == cell->fleet->epoch)
		return;
	cell->epoch = cell->fleet->epoch;
	cell->epoch_since = now;
}

/* A cell that had a driver before a pause may have one still. */
static void note_heard(struct cells *c, int64_t pause_ms, int64_t now)
{
	struct cell *cell;
	size_t i;

	for (i = 0; i < c->n; i++) {
		cell = &c->cells[i];
		note_epoch(cell, now);
		if (election_is_driver_reachable(cell->fleet, now) ||
		    !cell->heard_at)
			cell->heard_at = now;
		else if (pause_ms > USUAL_TICK_MS)
			cell->heard_at += pause_ms;
	}
}

void open_jobs_check_pause(struct cells *c, const struct cell *own, int64_t now)
{
	int64_t pause_ms = now - c->ticked_at;

	c->ticked_at = now;
	note_heard(c, pause_ms, now);
	if (own && !c->drives)
		find_drivers(c);
	c->drives = own != NULL;
	if (!own) {
		c->drives_since = now;
		return;
	}
	if (!is_silence(c, pause_ms))
		return;
	c->drives_since = now;
	drive_ask_again(fleet_get_drive(own->fleet));
}

bool open_jobs_receive(struct cells *c, int64_t now, struct wire_in *w)
{
	uint64_t number = wire_u64(w);
	uint64_t epoch = wire_u64(w);
	bool is_complete = wire_bool(w);
	uint32_t i, n = wire_enter(w, 2 * JOBS_MAX);
	uint64_t hash;
	bool is_waiting;

	if (w->failed || !is_current(c, number, epoch))
		return !w->failed;
	for (i = 0; i + 1 < n; i += 2) {
		hash = wire_u64(w);
		is_waiting = wire_bool(w);
		if (!w->failed)
			open_jobs_note(&c->open_jobs, hash, (uint32_t)number,
				       is_waiting, now);
	}
	wire_leave(w);
	if (w->failed)
		return false;
	/* Until then the jobs of the driver before it count too. */
	if (!is_complete)
		return true;
	if (number < c->n)
		note_told(&c->cells[number], now);
	open_jobs_drop_older(&c->open_jobs, (uint32_t)number, now);
	return true;
}
