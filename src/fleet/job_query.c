/*
 * Asks the drivers of the other cells for a job, as it may be old, or as this
 * driver has just begun and has not been told yet what they have. A driver that
 * does not know the runs of its workers yet does not answer, and is asked again.
 */
#include <string.h>

#include "fleet/cells_state.h"
#include "util/alloc.h"

enum {
	ASK_INTERVAL_MS = 50, /* an answer takes a round trip */
	NO_CELL = FLEET_CELLS_MAX + 1
};

/* A job that the other cells were asked for. */
struct job_query {
	char id[DRIVE_JOB_ID_MAX];
	uint64_t number; /* of the query, which its answers repeat */
	bool may_have_runs; /* here */
	uint32_t awaited; /* a bit for each cell that has not answered */
	int64_t next_at; /* when they are asked again */
};

void job_queries_init(struct cells *c)
{
	table_init(&c->queries, sizeof(struct job_query));
}

void job_queries_free(struct cells *c)
{
	table_free(&c->queries);
}

/* Whether the cell's driver has told this one lately which jobs it has. */
static bool has_told(const struct cell *cell, int64_t now)
{
	const struct cells *c = cell->cells;

	return cell->told_at >= c->drives_since &&
	       now - cell->told_at < open_jobs_hold_ms(c);
}

/*
 * Whether the cell may have runs that this driver has not been told of. When it
 * has had no driver for long, they have ended with their leases; when it only
 * does not reach this instance, that is cut off from them. A new driver of that
 * cell keeps them, and tells of them when it knows them.
 */
static bool may_hide_runs(const struct cell *cell, int64_t now)
{
	const struct cells *c = cell->cells;
	int64_t since = c->drives_since;

	if (since < cell->epoch_since)
		since = cell->epoch_since;
	return !has_told(cell, now) && now - since < open_jobs_hold_ms(c) &&
	       now - cell->heard_at < open_jobs_hold_ms(c);
}

/* The cells that are to answer for a job that may be old, or for any job. */
static uint32_t cells_to_ask(const struct cells *c, const struct cell *own,
			     int64_t now, bool only_hidden)
{
	const struct cell *cell;
	uint32_t mask = 0;
	size_t i;

	for (i = 0; i < c->n; i++) {
		cell = &c->cells[i];
		if (cell == own)
			continue;
		if (may_hide_runs(cell, now) ||
		    (!only_hidden && has_told(cell, now)))
			mask |= 1U << i;
	}
	return mask;
}

static void send_query(struct cells *c, const struct cell *own,
		       struct job_query *q, int64_t now)
{
	auto_wire_out struct wire_out w = {0};
	size_t i;

	q->next_at = now + ASK_INTERVAL_MS;
	wire_begin(&w, SYC_PEER_JOB_QUERY, 5);
	wire_put_u64(&w, own->number);
	wire_put_u64(&w, own->fleet->epoch);
	wire_put_u64(&w, q->number);
	wire_put_str(&w, q->id);
	wire_put_bool(&w, q->may_have_runs);
	for (i = 0; i < c->n; i++)
		if (q->awaited >> i & 1)
			cells_send_to_driver(&c->cells[i], &w);
}

static struct job_query *find_query(const struct cells *c, const char *id,
				    uint64_t *handle)
{
	struct job_query *q;
	uint32_t pos = 0;

	while ((q = table_next(&c->queries, &pos, handle)))
		if (!strcmp(q->id, id))
			return q;
	return NULL;
}

bool job_query_ask(struct cell *own, const struct drive_job_query *asked)
{
	struct cells *c = own->cells;
	int64_t now = syc_now(&c->opt.clock);
	uint32_t awaited = cells_to_ask(c, own, now, asked->is_fresh);
	struct job_query *q;
	uint64_t handle;
	void *item;

	if (!awaited)
		return false;
	q = find_query(c, asked->id, &handle);
	if (!q) {
		table_add(&c->queries, &item);
		q = item;
		copy_text(q->id, sizeof(q->id), asked->id);
	}
	q->number = ++c->n_queries;
	q->may_have_runs = asked->may_have_runs;
	q->awaited = awaited;
	send_query(c, own, q, now);
	return true;
}

/*
 * A cell that has listed the job while it was asked, even if it did not answer. Of
 * two cells that may have runs, that of higher number gives way.
 */
static size_t find_listed(const struct cells *c, const struct cell *own,
			  const struct job_query *q, int64_t now)
{
	uint64_t hash = open_jobs_hash(q->id);
	size_t i;

	for (i = 0; i < c->n; i++)
		if (&c->cells[i] != own &&
		    (!q->may_have_runs || i < own->number) &&
		    open_jobs_is_listed(&c->open_jobs, hash, (uint32_t)i, now))
			return i;
	return NO_CELL;
}

/* `cell`: the number of the one that has the job, or NO_CELL. */
static void end_query(struct cells *c, const struct cell *own, uint64_t handle,
		      size_t cell, int64_t now)
{
	const struct job_query *q = table_get(&c->queries, handle);
	struct drive *d = fleet_get_drive(own->fleet);
	char id[DRIVE_JOB_ID_MAX];

	copy_text(id, sizeof(id), q->id);
	if (cell == NO_CELL)
		cell = find_listed(c, own, q, now);
	table_del(&c->queries, handle);
	if (cell == NO_CELL)
		drive_job_not_elsewhere(d, now, id);
	else
		drive_job_elsewhere(d, now, id, (uint32_t)cell,
				    cell < own->number);
}

void job_queries_tick(struct cells *c, const struct cell *own, int64_t now)
{
	uint32_t asked = own ? cells_to_ask(c, own, now, false) : 0;
	struct job_query *q;
	uint64_t handle;
	uint32_t pos = 0;

	while ((q = table_next(&c->queries, &pos, &handle))) {
		q->awaited &= asked;
		if (!own)
			table_del(&c->queries, handle);
		else if (!q->awaited)
			end_query(c, own, handle, NO_CELL, now);
		else if (now >= q->next_at)
			send_query(c, own, q, now);
	}
}

/* What is asked by, or told to, the driver of another cell. */
struct query_msg {
	uint64_t cell; /* of the sender */
	uint64_t epoch; /* of the sender's drive */
	uint64_t number; /* of the query */
	char id[DRIVE_JOB_ID_MAX];
};

static void read_query_msg(struct wire_in *w, struct query_msg *m)
{
	m->cell = wire_u64(w);
	m->epoch = wire_u64(w);
	m->number = wire_u64(w);
	wire_str(w, m->id, sizeof(m->id));
}

/* `was_there`: the asking cell has told of the job, by an earlier driver. */
static void answer_query(struct cells *c, const struct cell *own, uint64_t to,
			 const struct query_msg *m, bool is_here,
			 bool was_there)
{
	auto_wire_out struct wire_out w = {0};

	wire_begin(&w, SYC_PEER_JOB_LOCATED, 6);
	wire_put_u64(&w, own->number);
	wire_put_u64(&w, own->fleet->epoch);
	wire_put_u64(&w, m->number);
	wire_put_str(&w, m->id);
	wire_put_bool(&w, is_here);
	wire_put_bool(&w, was_there);
	c->opt.send(c->opt.ctx, to, wire_bytes(&w));
}

/*
 * If two drivers ask each other, the job goes to the cell that may have runs of it,
 * or else to that of lower number.
 */
static bool has_job(const struct cell *own, const struct query_msg *m,
		    bool may_have_runs)
{
	bool is_lower = own->number < m->cell;

	switch (drive_find_job(fleet_get_drive(own->fleet), m->id)) {
	case DRIVE_PRESENT:
		return true;
	case DRIVE_MAY_HAVE_RUNS:
		return !may_have_runs || is_lower;
	case DRIVE_AWAITS_CELLS:
		return !may_have_runs && is_lower;
	default:
		return false;
	}
}

bool job_query_receive(struct cells *c, int64_t now, uint64_t from,
		       struct wire_in *w)
{
	const struct cell *own = cells_driven(c);
	struct query_msg m;
	bool may_have_runs, is_here, was_there;
	uint64_t hash;

	read_query_msg(w, &m);
	may_have_runs = wire_bool(w);
	if (w->failed)
		return false;
	/* The asking driver repeats what gets no answer. */
	if (!own || own == &c->whole ||
	    !cells_is_current_driver(c, m.cell, m.epoch) ||
	    !drive_knows_runs(fleet_get_drive(own->fleet), now))
		return true;
	is_here = has_job(own, &m, may_have_runs);
	hash = open_jobs_hash(m.id);
	was_there = open_jobs_find(&c->open_jobs, hash, (uint32_t)m.cell, now);
	if (!is_here)
		open_jobs_note(&c->open_jobs, hash, (uint32_t)m.cell, true,
			       now);
	answer_query(c, own, from, &m, is_here, was_there);
	return true;
}

bool job_located_receive(struct cells *c, int64_t now, struct wire_in *w)
{
	const struct cell *own = cells_driven(c);
	struct query_msg m;
	struct job_query *q;
	bool is_there, was_here;
	uint64_t handle;

	read_query_msg(w, &m);
	is_there = wire_bool(w);
	was_here = wire_bool(w);
	if (w->failed)
		return false;
	q = own ? find_query(c, m.id, &handle) : NULL;
	if (!q || q->number != m.number ||
	    !cells_is_current_driver(c, m.cell, m.epoch))
		return true;
	q->awaited &= ~(1U << m.cell);
	if (was_here)
		drive_job_was_here(fleet_get_drive(own->fleet), m.id);
	if (is_there)
		end_query(c, own, handle, m.cell, now);
	else if (!q->awaited)
		end_query(c, own, handle, NO_CELL, now);
	return true;
}
