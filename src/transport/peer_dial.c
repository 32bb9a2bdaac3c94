#include <stdlib.h>

#include "transport/peer_dial.h"
#include "util/alloc.h"

enum {
	DIAL_BACKOFF_MIN_MS = 100,
	LEARNED_TIMEOUT_S = 60, /* without a connection in or out */
	/* A peer that hung up, unlike one that dials again. */
	HUNG_UP_AFTER_S = 2,
	/* A peer that is up has accepted a connection by then. */
	STUCK_MS = 50
};

static const double ms_per_s = 1000;

/* A timer that is active keeps its time, so it is stopped before. */
static void set_timer(struct peer_dial *d, double after_s)
{
	struct ev_loop *loop = d->dials->conns->loop;

	ev_timer_stop(loop, &d->retry_timer);
	ev_timer_set(&d->retry_timer, after_s, 0);
	ev_timer_start(loop, &d->retry_timer);
}

/*
 * Dials again after a random time between half and all of the backoff, which
 * then doubles.
 */
static void schedule_dial(struct peer_dial *d)
{
	struct peer_dials *ds = d->dials;
	double jitter = (double)rng_below(&ds->rng, 1000) / 1000;
	double max = ds->dial_backoff_max_ms / ms_per_s;

	set_timer(d, d->backoff_s * (0.5 + jitter / 2));
	d->backoff_s = d->backoff_s * 2 < max ? d->backoff_s * 2 : max;
}

static void dial(struct peer_dial *d)
{
	d->dialled_at_s = ev_now(d->dials->conns->loop);
	d->conn = peer_conn_dial(d->dials->conns, &d->addr);
	if (!d->conn)
		schedule_dial(d);
}

static void remove_dial(struct peer_dial *d)
{
	struct peer_dial **at = &d->dials->first;

	while (*at && *at != d)
		at = &(*at)->next;
	if (*at)
		*at = d->next;
	ev_timer_stop(d->dials->conns->loop, &d->retry_timer);
	if (d->conn)
		peer_conn_close(d->conn, NULL);
	free(d);
}

static bool is_expired(struct peer_dial *d)
{
	struct peer_dials *ds = d->dials;
	double now = ev_now(ds->conns->loop);

	if (!d->learned)
		return false;
	if (ds->has_inbound(ds->ctx, &d->addr))
		d->connected_at_s = now;
	return now - d->connected_at_s > LEARNED_TIMEOUT_S;
}

/*
 * Each side sends over the connection that it has dialled itself. If the peer's
 * has ended, a connection that was only dialled in return is closed. One that
 * this instance wants is dialled anew, and the peer dials back.
 */
static void check_inbound(struct peer_dial *d)
{
	struct peer_dials *ds = d->dials;

	if (ds->has_inbound(ds->ctx, &d->addr))
		return;
	if (d->learned)
		remove_dial(d);
	else
		peer_conn_close(d->conn, NULL);
}

static void on_retry(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct peer_dial *d = w->data;
	struct peer_dials *ds = d->dials;

	if (d->conn) {
		check_inbound(d);
		return;
	}
	if (is_expired(d)) {
		remove_dial(d);
		return;
	}
	if (d->alias_of && ds->has_outbound(ds->ctx, d->alias_of)) {
		schedule_dial(d);
		return;
	}
	d->alias_of = 0;
	dial(d);
}

static struct peer_dial *find_dial(const struct peer_dials *ds,
				   const struct syc_addr *addr)
{
	struct peer_dial *d;

	for (d = ds->first; d; d = d->next)
		if (addr_equal(&d->addr, addr))
			return d;
	return NULL;
}

static bool is_connecting(const struct peer_dial *d)
{
	return d->conn && d->conn->stage == PEER_CONNECTING;
}

/*
 * The peer has dialled this instance, so it is up. If the next attempt to dial it
 * waits for the backoff, it is made now. If an attempt is in progress that began
 * while the peer was down, it is replaced, as TCP would retry only after a second.
 */
static void dial_anew(struct peer_dial *d)
{
	double age_s = ev_now(d->dials->conns->loop) - d->dialled_at_s;

	if (d->is_self || d->alias_of)
		return;
	if (!d->conn) {
		set_timer(d, 0);
		return;
	}
	if (!is_connecting(d) || age_s <= STUCK_MS / ms_per_s)
		return;
	d->dials_at_once = true;
	peer_conn_close(d->conn, NULL);
}

void peer_dials_add(struct peer_dials *ds, const struct syc_addr *addr,
		    bool learned)
{
	struct peer_dial *d = find_dial(ds, addr);

	if (addr_equal(addr, &ds->conns->self.peer_addr))
		return;
	if (d) {
		d->learned &= learned;
		if (learned)
			dial_anew(d);
		return;
	}
	d = xcalloc(1, sizeof(*d));
	d->dials = ds;
	d->addr = *addr;
	d->learned = learned;
	d->backoff_s = DIAL_BACKOFF_MIN_MS / ms_per_s;
	d->connected_at_s = ev_now(ds->conns->loop);
	ev_timer_init(&d->retry_timer, on_retry, 0, 0);
	d->retry_timer.data = d;
	d->next = ds->first;
	ds->first = d;
	dial(d);
}

void peer_dials_remove(struct peer_dials *ds, const struct syc_addr *addr)
{
	struct peer_dial *d = find_dial(ds, addr);

	if (d)
		remove_dial(d);
}

void peer_dials_inbound_closed(struct peer_dials *ds,
			       const struct syc_addr *addr)
{
	struct peer_dial *d = find_dial(ds, addr);

	if (!d || !d->conn)
		return;
	set_timer(d, HUNG_UP_AFTER_S);
}

struct peer_dial *peer_dials_find(const struct peer_dials *ds,
				  const struct peer_conn *c)
{
	struct peer_dial *d;

	for (d = ds->first; d; d = d->next)
		if (d->conn == c)
			return d;
	return NULL;
}

void peer_dials_free(struct peer_dials *ds)
{
	struct peer_dial *d, *next;

	for (d = ds->first; d; d = next) {
		next = d->next;
		remove_dial(d);
	}
}

void peer_dial_up(struct peer_dial *d)
{
	d->backoff_s = DIAL_BACKOFF_MIN_MS / ms_per_s;
	d->connected_at_s = ev_now(d->dials->conns->loop);
}

void peer_dial_closed(struct peer_dial *d)
{
	d->conn = NULL;
	if (d->is_self)
		return;
	if (d->dials_at_once)
		d->backoff_s = 0;
	schedule_dial(d);
	if (d->dials_at_once)
		d->backoff_s = DIAL_BACKOFF_MIN_MS / ms_per_s;
	d->dials_at_once = false;
}
