/*
 * Heartbeats between instances. Each carries its sender's uptime, the driver
 * that it accepts and whether that driver is reachable, so that a majority
 * decides whether a driver has failed.
 */
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	HEARTBEAT_MS = 100,
	/* Well below REACHABLE_MS, after which peers may replace a driver. */
	RECENT_MS = 220,
	REACHABLE_MS = 350, /* since the last heartbeat of a peer */
	/*
	 * A domain without heartbeat for this time may be driven with an old
	 * list of workers.
	 */
	DOMAIN_UNREACHABLE_MS = 5000,
	HEARTBEAT_FIELDS = 21 + EVACUATION_FIELDS,
	/* Descriptors, two for each, run out before. */
	PEERS_MAX = 8192
};

const struct fleet_peer *heartbeat_find_peer(const struct fleet *f, uint64_t id)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		if (f->peers[i].instance.id == id)
			return &f->peers[i];
	return NULL;
}

struct fleet_peer *heartbeat_get_peer(struct fleet *f, uint64_t id)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, id);

	return p ? &f->peers[p - f->peers] : NULL;
}

bool heartbeat_is_reachable(const struct fleet_peer *p, int64_t now)
{
	return p->heartbeat_at && now - p->heartbeat_at <= REACHABLE_MS;
}

bool heartbeat_is_reachable_awake(const struct fleet_peer *p, int64_t now)
{
	return p->heartbeat_at &&
	       now - p->heartbeat_at - p->paused_ms <= REACHABLE_MS;
}

void heartbeat_add_pause(struct fleet *f, int64_t paused_ms)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		f->peers[i].paused_ms += paused_ms;
}

bool heartbeat_is_recent(const struct fleet_peer *p, int64_t now)
{
	return p->heartbeat_at && now - p->heartbeat_at <= RECENT_MS;
}

uint64_t heartbeat_get_age_ms(const struct key_watch *w, int64_t now)
{
	int64_t age_ms = key_watch_age_ms(w, now);

	if (age_ms < 0)
		return 0;
	return age_ms ? (uint64_t)age_ms : 1;
}

static void send_heartbeat(struct fleet *f, int64_t now, uint64_t to)
{
	struct fleet_peer *p = heartbeat_get_peer(f, to);
	auto_wire_out struct wire_out w = {0};
	struct drive_room room = {0};

	if (drive_is_active(f->drive))
		drive_get_room(f->drive, now, &room);

	wire_begin(&w, SYC_PEER_FLEET_HEARTBEAT, HEARTBEAT_FIELDS);
	wire_put_u64(&w, (uint64_t)(now - f->started_at));
	wire_put_u64(&w, f->epoch);
	wire_put_u64(&w, f->driver);
	wire_put_u64(&w, f->whole->config_version);
	wire_put_bool(&w, f->leaving);
	wire_put_bool(&w, !f->driver_lost_at);
	wire_put_bool(&w, f->domain_driver == f->opt.self.id);
	wire_put_u64(&w, f->opt.capacity);
	wire_put_bool(&w, f->yielding);
	wire_put_u64(&w, room.cpu_milli);
	wire_put_u64(&w, room.free_cpu_milli);
	wire_put_bool(&w, fleet_is_divided(f));
	wire_put_u64(&w, p ? p->sent_at_ms : 0);
	wire_put_u64(&w, heartbeat_get_age_ms(&f->whole->config_watch, now));
	wire_put_u64(&w, f->map.index);
	wire_put_u64(&w, heartbeat_get_age_ms(&f->map_watch, now));
	wire_put_u64(&w, f->whole->map.index);
	wire_put_u64(&w, heartbeat_get_age_ms(&f->whole->map_watch, now));
	wire_put_bool(&w, true); /* it reads reports of lost runs */
	evacuation_put_fields(f, now, &w);
	workers_put_age(f, now, &w);
	if (f->opt.send(f->opt.ctx, to, wire_bytes(&w)) && p)
		p->knows_division = fleet_is_divided(f);
}

/* Whether one of the two drives workers for the other. */
static bool is_driver_of_either(const struct fleet *f, uint64_t peer)
{
	uint64_t self = f->opt.self.id;

	return f->driver == self || f->driver == peer ||
	       (f->domain_driver &&
		(f->domain_driver == self || f->domain_driver == peer));
}

/*
 * Whether this instance and the peer exchange heartbeats: members of the fleet
 * do to elect a driver, the driver and all homes do, and before there is one
 * each member does with the instances that join. A whole fleet that is divided
 * has none, except to tell it to a peer that has missed it.
 */
static bool exchanges_heartbeats(const struct fleet *f,
				 const struct fleet_peer *p)
{
	bool is_self_member = fleet_is_member(f, f->opt.self.id);
	bool is_peer_member = fleet_is_member(f, p->instance.id);

	if (fleet_is_divided(f))
		return p->heartbeat_at && !(p->is_divided && p->knows_division);
	if (is_driver_of_either(f, p->instance.id))
		return true;
	if (!fleet_is_eligible(f) ||
	    !fleet_is_eligible_domain(f, p->instance.domain))
		return false;
	if (f->driver_lost_at)
		return is_self_member || is_peer_member;
	return is_self_member && is_peer_member;
}

void heartbeat_send_all(struct fleet *f, int64_t now)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		if (f->peers[i].link_up &&
		    exchanges_heartbeats(f, &f->peers[i]))
			send_heartbeat(f, now, f->peers[i].instance.id);
	f->next_heartbeat_at = now + HEARTBEAT_MS;
}

static void check_timeout(struct fleet *f, int64_t now, struct fleet_peer *p)
{
	if (p->has_timed_out || !p->heartbeat_at ||
	    now - p->heartbeat_at < DRIVE_HOME_TIMEOUT_MS)
		return;
	if (!exchanges_heartbeats(f, p)) {
		p->heartbeat_at = 0;
		return;
	}
	p->has_timed_out = true;
	log_info("peer_silent", LOG_S("peer", p->instance.name),
		 LOG_U("id", p->instance.id),
		 LOG_I("silent_ms", now - p->heartbeat_at));
	drive_cancel_home(f->drive, now, p->instance.id);
}

void heartbeat_check_timeouts(struct fleet *f, int64_t now)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		check_timeout(f, now, &f->peers[i]);
}

static void drop_peer(struct fleet *f, size_t i)
{
	f->peers[i] = f->peers[--f->n_peers];
}

void heartbeat_tick(struct fleet *f, int64_t now)
{
	size_t i;

	if (now >= f->next_heartbeat_at)
		heartbeat_send_all(f, now);
	heartbeat_check_timeouts(f, now);
	for (i = f->n_peers; i-- > 0;) {
		struct fleet_peer *p = &f->peers[i];

		if (!p->link_up && (p->has_timed_out || !p->heartbeat_at))
			drop_peer(f, i);
	}
}

/* Instances of earlier versions do not send these. */
static void read_newer_fields(struct fleet *f, struct fleet_peer *p,
			      struct wire_in *w)
{
	p->knows_cells = true;
	p->capacity = (uint32_t)wire_u64(w);
	p->yields = wire_bool(w);
	p->room.cpu_milli = wire_u64(w);
	p->room.free_cpu_milli = wire_u64(w);
	p->is_divided = wire_bool(w);
	f->missed_division |= p->is_divided;
}

int64_t heartbeat_dated(const struct fleet *f, int64_t echo_ms, int64_t age_ms)
{
	int64_t uptime_ms = syc_now(&f->opt.clock) - f->started_at;

	/* No heartbeat of this instance was sent after now. */
	if (echo_ms <= 0 || age_ms <= 0 || echo_ms > uptime_ms)
		return 0;
	return f->started_at + echo_ms - age_ms;
}

void heartbeat_accept_age(const struct fleet *f, struct key_watch *w,
			  int64_t echo_ms, int64_t age_ms)
{
	int64_t at = heartbeat_dated(f, echo_ms, age_ms);

	if (at)
		key_watch_confirm(w, at);
}

/* The peer's word for the map of `g`, in a heartbeat of the fleet `f`. */
static void read_map_age(const struct fleet *f, struct fleet *g,
			 int64_t echo_ms, uint64_t index, int64_t age_ms)
{
	if (index && index == g->map.index)
		heartbeat_accept_age(f, &g->map_watch, echo_ms, age_ms);
	else if (index > g->map.index)
		key_watch_note_newer(&g->map_watch);
}

static void read_ages(struct fleet *f, struct fleet_peer *p, struct wire_in *w)
{
	int64_t echo_ms = (int64_t)wire_u64(w);
	int64_t config_age_ms = (int64_t)wire_u64(w);
	uint64_t map_index = wire_u64(w);
	int64_t map_age_ms = (int64_t)wire_u64(w);

	if (w->failed)
		return;
	if (p->config_version && p->config_version == f->whole->config_version)
		heartbeat_accept_age(f, &f->whole->config_watch, echo_ms,
				     config_age_ms);
	read_map_age(f, f, echo_ms, map_index, map_age_ms);
	if (!wire_has_more(w))
		return;
	map_index = wire_u64(w);
	map_age_ms = (int64_t)wire_u64(w);
	if (!w->failed)
		read_map_age(f, f->whole, echo_ms, map_index, map_age_ms);
	if (wire_has_more(w))
		p->knows_losses = wire_bool(w);
	if (wire_has_more(w))
		evacuation_read_fields(f, echo_ms, w);
	if (wire_has_more(w))
		workers_read_age(f, echo_ms, w);
}

static void log_newer_config(const struct fleet *f, const struct fleet_peer *p,
			     uint64_t version_before)
{
	if (p->config_version <= f->whole->config_version ||
	    p->config_version == version_before)
		return;
	log_info("peer_config_newer", LOG_S("peer", p->instance.name),
		 LOG_U("peer_version", p->config_version),
		 LOG_U("version", f->whole->config_version));
}

bool heartbeat_receive(struct fleet *f, int64_t now, struct fleet_peer *p,
		       struct syc_bytes msg)
{
	uint64_t version_before = p->config_version;
	bool is_first = !p->heartbeat_at;
	bool driver_returned = false; /* it was unreachable until now */
	struct wire_in w;

	wire_open(&w, msg);
	p->sent_at_ms = wire_u64(&w);
	p->uptime_ms = (uint32_t)p->sent_at_ms;
	p->epoch = wire_u64(&w);
	p->driver = wire_u64(&w);
	p->config_version = wire_u64(&w);
	p->leaving = wire_bool(&w);
	p->has_driver = wire_bool(&w);
	p->drives_domain = wire_bool(&w);
	if (wire_has_more(&w))
		read_newer_fields(f, p, &w);
	if (wire_has_more(&w))
		read_ages(f, p, &w);
	if (!wire_close(&w))
		return false;
	log_newer_config(f, p, version_before);
	if (fleet_is_resuming(f, now)) {
		election_update_driver(f, now, p->epoch, p->driver);
		return true;
	}
	if (p->has_timed_out)
		log_info("peer_heartbeat_resumed",
			 LOG_S("peer", p->instance.name),
			 LOG_I("silent_ms", now - p->heartbeat_at));
	if (p->instance.id == election_get_driver(f) &&
	    !heartbeat_is_reachable(p, now))
		driver_returned = true;
	if (!is_first && !heartbeat_is_reachable(p, now))
		p->heard_again_at = now;
	p->heartbeat_at = now;
	p->paused_ms = 0;
	p->has_timed_out = false;
	/* fleet_peer_up has submitted the other jobs over the new link. */
	if (driver_returned && is_first)
		home_submit_waiting(f, now);
	else if (driver_returned)
		home_submit_all(f, now);
	if (p->drives_domain)
		isolated_update_driver(f, now, p);
	election_update_driver(f, now, p->epoch, p->driver);
	config_sync_send(f, now, p);
	return true;
}

static struct fleet_peer *new_peer(struct fleet *f)
{
	struct fleet_peer *p;

	if (!f->peers || f->n_peers == f->peers_size) {
		f->peers_size = 2 * f->peers_size + FLEET_VOTERS_MAX;
		f->peers = xrealloc(f->peers,
				    f->peers_size * sizeof(*f->peers));
	}
	p = &f->peers[f->n_peers++];
	*p = (struct fleet_peer){0};
	return p;
}

static void add_peer(struct fleet *f, const struct syc_instance *inst)
{
	struct fleet_peer *p = heartbeat_get_peer(f, inst->id);

	if (!p && f->n_peers == PEERS_MAX) {
		log_error("too_many_peers", LOG_S("peer", inst->name));
		return;
	}
	if (!p)
		p = new_peer(f);
	p->instance = *inst;
	p->link_up = true;
	p->losses_sent = 0;
}

static bool is_domain_reachable(const struct fleet *f, const char *domain,
				int64_t now)
{
	const struct fleet_peer *p;
	size_t i;

	if (!strcmp(domain, f->opt.self.domain))
		return true;
	for (i = 0; i < f->n_peers; i++) {
		p = &f->peers[i];
		if (!strcmp(p->instance.domain, domain) && p->heartbeat_at &&
		    now - p->heartbeat_at < DOMAIN_UNREACHABLE_MS)
			return true;
	}
	return false;
}

void fleet_peer_up(struct fleet *f, int64_t now,
		   const struct syc_instance *peer)
{
	const struct fleet_peer *p;

	if (!is_domain_reachable(f, peer->domain, now))
		drive_domain_reachable(f->drive, now, peer->domain);
	add_peer(f, peer);
	/*
	 * Cancellations and jobs are sent before the heartbeat, as the driver
	 * may start tasks of our jobs again once it receives one.
	 */
	if (peer->id == election_get_driver(f))
		home_submit_all(f, now);
	if (peer->id == f->driver)
		f->dialled_at = 0;
	p = heartbeat_find_peer(f, peer->id);
	if (p && exchanges_heartbeats(f, p))
		send_heartbeat(f, now, peer->id);
	if (fleet_is_driver(f) && fleet_is_eligible_domain(f, peer->domain))
		workers_send(f, peer->id);
}

void fleet_peer_down(struct fleet *f, int64_t now, uint64_t peer)
{
	struct fleet_peer *p = heartbeat_get_peer(f, peer);

	if (p)
		p->link_up = false;
}
