/*
 * Shares what is known of lost runs, so that the count of a task's crashes does
 * not begin again with another driver, another cell or another home. Each loss
 * is told once over each link; what a driver learns it tells its own peers.
 */
#include "fleet/fleet_state.h"

static bool send_list(struct fleet *f, uint64_t to,
		      const struct loss *const *list, size_t n, int64_t now)
{
	auto_wire_out struct wire_out w = {0};

	wire_begin(&w, SYC_PEER_LOSSES, 2);
	losses_pack_list(&w, list, n, now);
	return f->opt.send(f->opt.ctx, to, wire_bytes(&w));
}

/* Sends the changes that the peer has not been sent. */
static void send_changes(struct fleet *f, struct fleet_peer *p, int64_t now)
{
	const struct loss *list[LOSSES_LIST_MAX], *x;
	uint32_t pos = 0;
	size_t n = 0;

	while ((x = losses_next(f->opt.losses, &pos))) {
		if (x->version <= p->losses_sent)
			continue;
		list[n++] = x;
		if (n < LOSSES_LIST_MAX)
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
	struct wire_in w;

	wire_open(&w, msg);
	losses_unpack_list(&w, f->opt.losses, now);
	/* The peer need not be told what it has just sent. */
	if (p->losses_sent == version)
		p->losses_sent = losses_version(f->opt.losses);
	return wire_close(&w);
}
