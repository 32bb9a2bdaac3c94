/*
 * Lets a driver yield to an instance on a much stronger machine, which takes
 * over as it does from a driver that leaves. For a fleet whose strong instances
 * were all down for a moment, and whose weak driver cannot carry the load.
 */
#include "fleet/fleet_state.h"

enum {
	FACTOR = 2, /* of the stronger instance's capacity to the driver's */
	UPTIME_MIN_MS = 3000, /* of the stronger instance, and as driver */
	TIMEOUT_MS =
		500, /* until the driver stops yielding; a takeover is faster */
	RETRY_MS = 5000, /* doubled while no instance takes over */
	DOUBLINGS_MAX = 4
};

static bool has_stronger_peer(const struct fleet *f, int64_t now)
{
	const struct fleet_peer *p;
	size_t i;

	for (i = 0; i < f->n_peers; i++) {
		p = &f->peers[i];
		if (election_is_reachable_member(f, p, now) && !p->leaving &&
		    p->has_driver && p->uptime_ms >= UPTIME_MIN_MS &&
		    p->capacity >= (uint64_t)FACTOR * f->opt.capacity)
			return true;
	}
	return false;
}

static int64_t yield_retry_ms(const struct fleet *f)
{
	uint32_t doublings = f->n_yields < DOUBLINGS_MAX ? f->n_yields
							 : DOUBLINGS_MAX;

	return (int64_t)RETRY_MS << doublings;
}

void yield_tick(struct fleet *f, int64_t now)
{
	if (f->yielding) {
		if (now - f->yield_began_at < TIMEOUT_MS)
			return;
		f->yielding = false;
		f->n_yields++;
		f->next_yield_at = now + yield_retry_ms(f);
		log_info("yield_ended", LOG_U("epoch", f->epoch),
			 LOG_U("in_row", f->n_yields));
		return;
	}
	if (!f->opt.capacity || f->store_unreachable ||
	    now - f->drive_began_at < UPTIME_MIN_MS || now < f->next_yield_at ||
	    !has_stronger_peer(f, now))
		return;
	f->yielding = true;
	f->yield_began_at = now;
	log_info("yield_begun", LOG_U("epoch", f->epoch),
		 LOG_U("capacity", f->opt.capacity));
	heartbeat_send_all(f, now);
}
