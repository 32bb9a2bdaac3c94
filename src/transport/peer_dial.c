#include <stdlib.h>

#include "transport/peer_dial.h"
#include "util/alloc.h"

enum {
	PAUSE_MIN_MS = 100,
	LEARNED_KEEP_S = 60 /* a learned address is dialled in vain */
};

static const double ms_per_s = 1000;

/* Between half and all of the pause, which then doubles. */
static void dial_later(struct peer_dial *d)
{
	struct peer_dials *ds = d->dials;
	double part = (double)rng_below(&ds->rng, 1000) / 1000;
	double max = ds->dial_backoff_max_ms / ms_per_s;

	ev_timer_set(&d->again, d->pause_s * (0.5 + part / 2), 0);
	ev_timer_start(ds->conns->loop, &d->again);
	d->pause_s = d->pause_s * 2 < max ? d->pause_s * 2 : max;
}

static void dial(struct peer_dial *d)
{
	d->conn = peer_conn_dial(d->dials->conns, &d->addr);
	if (!d->conn)
		dial_later(d);
}

static void drop(struct peer_dial *d)
{
	struct peer_dial **at = &d->dials->first;

	while (*at && *at != d)
		at = &(*at)->next;
	if (*at)
		*at = d->next;
	ev_timer_stop(d->dials->conns->loop, &d->again);
	if (d->conn)
		peer_conn_close(d->conn, NULL);
	free(d);
}

static bool given_up(struct peer_dial *d)
{
	struct peer_dials *ds = d->dials;
	double now = ev_now(ds->conns->loop);

	if (!d->learned)
		return false;
	if (ds->heard(ds->ctx, &d->addr))
		d->alive_at = now;
	return now - d->alive_at > LEARNED_KEEP_S;
}

static void on_again(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct peer_dial *d = w->data;
	struct peer_dials *ds = d->dials;

	if (given_up(d)) {
		drop(d);
		return;
	}
	if (d->alias && ds->reached(ds->ctx, d->alias)) {
		dial_later(d);
		return;
	}
	d->alias = 0;
	dial(d);
}

static struct peer_dial *find(const struct peer_dials *ds,
			      const struct syc_addr *addr)
{
	struct peer_dial *d;

	for (d = ds->first; d; d = d->next)
		if (addr_equal(&d->addr, addr))
			return d;
	return NULL;
}

void peer_dials_add(struct peer_dials *ds, const struct syc_addr *addr,
		    bool learned)
{
	struct peer_dial *d = find(ds, addr);

	if (addr_equal(addr, &ds->conns->self.peer_addr))
		return;
	if (d) {
		d->learned &= learned;
		return;
	}
	d = xcalloc(1, sizeof(*d));
	d->dials = ds;
	d->addr = *addr;
	d->learned = learned;
	d->pause_s = PAUSE_MIN_MS / ms_per_s;
	d->alive_at = ev_now(ds->conns->loop);
	ev_timer_init(&d->again, on_again, 0, 0);
	d->again.data = d;
	d->next = ds->first;
	ds->first = d;
	dial(d);
}

void peer_dials_forget(struct peer_dials *ds, const struct syc_addr *addr)
{
	struct peer_dial *d = find(ds, addr);

	if (d)
		drop(d);
}

struct peer_dial *peer_dials_of(const struct peer_dials *ds,
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
		drop(d);
	}
}

void peer_dial_up(struct peer_dial *d)
{
	d->pause_s = PAUSE_MIN_MS / ms_per_s;
	d->alive_at = ev_now(d->dials->conns->loop);
}

void peer_dial_closed(struct peer_dial *d)
{
	d->conn = NULL;
	if (!d->self)
		dial_later(d);
}
