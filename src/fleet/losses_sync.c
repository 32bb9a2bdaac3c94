/*
 * Shares what is known of lost runs, so that the count of a task's crashes does
 * not begin again with another driver, another cell or another home. Each loss
 * is told once over each link; what a driver learns it tells its own peers.
 */
#include "fleet/fleet_state.h"

enum {
	LOSS_FIELDS = 13,
	LOSSES_MAX = 128 /* in one message */
};

static void pack_loss(struct wire_out *w, const struct loss *x, int64_t now)
{
	wire_put_array(w, LOSS_FIELDS);
	wire_put_str(w, x->task.job);
	wire_put_u64(w, x->task.step);
	wire_put_u64(w, x->task.index);
	wire_put_u64(w, x->run);
	wire_put_str(w, x->worker);
	wire_put_str(w, x->addr.ip);
	wire_put_u64(w, x->addr.port);
	wire_put_u64(w, x->cause);
	wire_put_bool(w, x->alone);
	wire_put_bool(w, x->newest);
	wire_put_bool(w, x->refused);
	wire_put_bool(w, x->seen);
	wire_put_u64(w, now > x->at ? (uint64_t)(now - x->at) : 0);
}

static void unpack_loss(struct wire_in *w, struct loss *x, int64_t now)
{
	*x = (struct loss){0};
	wire_enter(w, LOSS_FIELDS);
	wire_str(w, x->task.job, sizeof(x->task.job));
	x->task.step = (uint32_t)wire_u64(w);
	x->task.index = (uint32_t)wire_u64(w);
	x->run = (uint32_t)wire_u64(w);
	wire_str(w, x->worker, sizeof(x->worker));
	wire_str(w, x->addr.ip, sizeof(x->addr.ip));
	x->addr.port = (uint16_t)wire_u64(w);
	x->cause = (enum loss_cause)wire_u64(w);
	x->alone = wire_bool(w);
	x->newest = wire_bool(w);
	x->refused = wire_bool(w);
	x->seen = wire_bool(w);
	x->at = now - (int64_t)wire_u64(w);
	wire_leave(w);
	if (x->cause > LOSS_OTHER)
		w->failed = true;
}

static bool send_list(struct fleet *f, uint64_t to,
		      const struct loss *const *list, size_t n, int64_t now)
{
	auto_wire_out struct wire_out w = {0};
	size_t i;

	wire_begin(&w, SYC_PEER_LOSSES, 1);
	wire_put_array(&w, n);
	for (i = 0; i < n; i++)
		pack_loss(&w, list[i], now);
	return f->opt.send(f->opt.ctx, to, wire_bytes(&w));
}

/* Sends the changes that the peer has not been sent. */
static void send_changes(struct fleet *f, struct fleet_peer *p, int64_t now)
{
	const struct loss *list[LOSSES_MAX], *x;
	uint32_t pos = 0;
	size_t n = 0;

	while ((x = losses_next(f->opt.losses, &pos))) {
		if (x->version <= p->losses_sent)
			continue;
		list[n++] = x;
		if (n < LOSSES_MAX)
			continue;
		if (!send_list(f, p->instance.id, list, n, now))
			return;
		n = 0;
	}
	if (n && !send_list(f, p->instance.id, list, n, now))
		return;
	p->losses_sent = losses_version(f->opt.losses);
}

void losses_sync_tick(struct fleet *f, int64_t now)
{
	size_t i;

	losses_tick(f->opt.losses, now);
	for (i = 0; i < f->n_peers; i++) {
		struct fleet_peer *p = &f->peers[i];

		if (!p->link_up || !p->knows_losses ||
		    p->losses_sent >= losses_version(f->opt.losses))
			continue;
		if (drive_is_active(f->drive) || p->instance.id == f->driver)
			send_changes(f, p, now);
	}
}

bool losses_sync_receive(struct fleet *f, int64_t now, struct fleet_peer *p,
			 struct syc_bytes msg)
{
	uint64_t version = losses_version(f->opt.losses);
	struct loss x;
	struct wire_in w;
	uint32_t i, n;

	wire_open(&w, msg);
	n = wire_enter(&w, LOSSES_MAX);
	for (i = 0; i < n && !w.failed; i++) {
		unpack_loss(&w, &x, now);
		if (!w.failed)
			losses_add(f->opt.losses, now, &x);
	}
	wire_leave(&w);
	/* The peer need not be told what it has just sent. */
	if (p->losses_sent == version)
		p->losses_sent = losses_version(f->opt.losses);
	return wire_close(&w);
}
