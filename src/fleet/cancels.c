/*
 * Keeps the cancels of jobs by their ids that callers sent to this instance. No
 * instance knows which cell has a job, or whether its driver is about to be
 * replaced. So each cancel is sent to the drivers of all cells, or to the one of
 * an undivided fleet, until each has acknowledged it, and for some seconds to
 * their successors. Its caller is answered when all of them have it.
 */
#include "fleet/cells_state.h"
#include "util/alloc.h"

enum {
	/* A driver that stood still is replaced, and heard again, by then. */
	KEEP_MS = 10000,
	KEPT_MAX = 1024,
	RESEND_MS = 100,
	/*
	 * The caller is told by then that not all drivers have it. A takeover
	 * takes less, and a cell that is lost counts as silent by then.
	 */
	ANSWER_MAX_MS = 1500
};

/* What became of a cancel at one cell, or in the whole fleet. */
struct cancel_target {
	uint64_t acked_by; /* the driver that has it; zero: none */
	uint64_t sent_to; /* the driver that it was sent to last */
	int64_t sent_at;
};

struct cancel {
	uint64_t handle; /* the tag that the drivers get */
	uint64_t tag; /* the caller's */
	char id[DRIVE_JOB_ID_MAX];
	int64_t taken_at;
	bool is_answered;
	struct list age_link;
	/* By the number of the cell. */
	struct cancel_target targets[FLEET_CELLS_MAX + 1];
};

void cancels_init(struct cells *c)
{
	table_init(&c->cancels, sizeof(struct cancel));
	list_init(&c->cancels_by_age);
}

void cancels_free(struct cells *c)
{
	table_free(&c->cancels);
}

/* The cells to tell are numbered from zero; an undivided fleet is one. */
static size_t count_targets(const struct cells *c)
{
	return c->n ? c->n : 1;
}

static struct cell *get_target(struct cells *c, size_t i)
{
	return c->n ? &c->cells[i] : &c->whole;
}

static bool has_acked(const struct cancel *k, const struct cell *cell)
{
	uint64_t driver = election_get_driver(cell->fleet);

	return driver && k->targets[cell->number].acked_by == driver;
}

/* Whether all runs of the cell have ended, or it is cut off from this one. */
static bool is_silent(const struct cell *cell, int64_t now)
{
	const struct fleet *f = cell->fleet;

	return !election_is_driver_reachable(f, now) && f->driver_lost_at &&
	       now - f->driver_lost_at >= open_jobs_hold_ms(cell->cells);
}

static void send_cancel(struct cancel *k, struct cell *cell, int64_t now)
{
	struct cancel_target *t = &k->targets[cell->number];
	uint64_t driver = election_get_driver(cell->fleet);

	if (!driver || t->acked_by == driver ||
	    (t->sent_to == driver && now - t->sent_at < RESEND_MS))
		return;
	if (cell->cells->n) {
		cell->used_at = now;
		election_dial_driver(cell->fleet, now);
	}
	/* It is sent as soon as the link is up. */
	if (!fleet_cancel_id(cell->fleet, now, k->handle, k->id))
		return;
	t->sent_to = driver;
	t->sent_at = now;
}

static void answer(struct cells *c, struct cancel *k, bool is_done, int64_t now)
{
	if (k->is_answered)
		return;
	k->is_answered = true;
	log_info("cancel_answered", LOG_S("job", k->id), LOG_U("done", is_done),
		 LOG_I("took_ms", now - k->taken_at));
	c->opt.cancelled(c->opt.ctx, k->tag, is_done);
}

/* Whether this instance stops, and has to answer what is still open. */
static bool is_at_end(const struct cells *c, int64_t now)
{
	int64_t ends_at = c->whole.fleet->ends_at;

	return ends_at && now >= ends_at;
}

static void answer_if_due(struct cells *c, struct cancel *k, int64_t now)
{
	bool is_awaited = false;
	size_t i, n_acked = 0;

	for (i = 0; i < count_targets(c); i++) {
		if (has_acked(k, get_target(c, i)))
			n_acked++;
		else if (!is_silent(get_target(c, i), now))
			is_awaited = true;
	}
	if (n_acked && !is_awaited)
		answer(c, k, true, now);
	else if (now - k->taken_at >= ANSWER_MAX_MS || is_at_end(c, now))
		answer(c, k, false, now);
}

static void drop(struct cells *c, struct cancel *k)
{
	list_remove(&k->age_link);
	table_del(&c->cancels, k->handle);
}

static void drop_oldest(struct cells *c, int64_t now)
{
	struct cancel *k = LIST_ITEM(c->cancels_by_age.next, struct cancel,
				     age_link);

	log_warn("cancel_dropped", LOG_S("job", k->id),
		 LOG_I("after_ms", now - k->taken_at));
	answer(c, k, false, now);
	drop(c, k);
}

static void tick_cancel(struct cells *c, struct cancel *k, int64_t now)
{
	size_t i;

	for (i = 0; i < count_targets(c); i++)
		send_cancel(k, get_target(c, i), now);
	answer_if_due(c, k, now);
}

void cells_cancel_id(struct cells *c, int64_t now, uint64_t tag, const char *id)
{
	struct cancel *k;
	uint64_t handle;
	void *item;

	if (c->cancels.used >= KEPT_MAX)
		drop_oldest(c, now);
	handle = table_add(&c->cancels, &item);
	k = item;
	k->handle = handle;
	k->tag = tag;
	k->taken_at = now;
	copy_text(k->id, sizeof(k->id), id);
	list_add(&c->cancels_by_age, &k->age_link);
	log_info("cancel_taken", LOG_S("job", id));
	tick_cancel(c, k, now);
}

void cancels_acked(struct cell *cell, uint64_t driver, uint64_t handle)
{
	struct cells *c = cell->cells;
	struct cancel *k = table_get(&c->cancels, handle);

	if (!k)
		return;
	k->targets[cell->number].acked_by = driver;
	answer_if_due(c, k, syc_now(&c->opt.clock));
}

void cancels_tick(struct cells *c, int64_t now)
{
	struct list *pos, *after;
	struct cancel *k;

	LIST_EACH(pos, after, &c->cancels_by_age)
	{
		k = LIST_ITEM(pos, struct cancel, age_link);
		tick_cancel(c, k, now);
		if (now - k->taken_at >= KEEP_MS)
			drop(c, k);
	}
}
