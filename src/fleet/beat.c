/*
 * Heartbeats between instances. Each says how long its sender has been up,
 * whom it takes for the driver and whether it hears it, so that a driver's
 * silence is judged by many.
 */
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	BEAT_MS = 100,
	NEAR_MS = 220, /* well below the time after which a driver is left */
	FRESH_MS = 350, /* a heartbeat is as good as now for so long */
	CONFIG_AGAIN_MS = 500, /* until a configuration is sent again */
	CUT_OFF_MS = 5000, /* unheard, a domain may hold an old list */
	BEAT_FIELDS = 7
};

const struct fleet_peer *beat_known(const struct fleet *f, uint64_t id)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		if (f->peers[i].inst.id == id)
			return &f->peers[i];
	return NULL;
}

struct fleet_peer *beat_peer(struct fleet *f, uint64_t id)
{
	const struct fleet_peer *p = beat_known(f, id);

	return p ? &f->peers[p - f->peers] : NULL;
}

bool beat_fresh(const struct fleet_peer *p, int64_t now)
{
	return p->heard_at && now - p->heard_at <= FRESH_MS;
}

bool beat_near(const struct fleet_peer *p, int64_t now)
{
	return p->heard_at && now - p->heard_at <= NEAR_MS;
}

static void send_beat(struct fleet *f, int64_t now, uint64_t to)
{
	auto_wire_out struct wire_out w = {0};

	wire_begin(&w, SYC_PEER_FLEET_HEARTBEAT, BEAT_FIELDS);
	wire_put_u64(&w, (uint64_t)(now - f->started_at));
	wire_put_u64(&w, f->epoch);
	wire_put_u64(&w, f->driver);
	wire_put_u64(&w, f->config_version);
	wire_put_bool(&w, f->leaving);
	wire_put_bool(&w, !f->silent_since);
	wire_put_bool(&w, f->alone == f->opt.self.id);
	f->opt.send(f->opt.ctx, to, wire_bytes(&w));
}

void beat_all(struct fleet *f, int64_t now)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		if (f->peers[i].up)
			send_beat(f, now, f->peers[i].inst.id);
	f->beat_at = now + BEAT_MS;
}

static void send_config(struct fleet *f, int64_t now, struct fleet_peer *p)
{
	auto_wire_out struct wire_out w = {0};

	if (!f->config_version || p->config_version >= f->config_version ||
	    now - p->config_sent_at < CONFIG_AGAIN_MS)
		return;
	p->config_sent_at = now;
	wire_begin(&w, SYC_PEER_CONFIG, 2);
	wire_put_u64(&w, f->config_version);
	wire_put_bytes(&w, f->config, f->config_len);
	f->opt.send(f->opt.ctx, p->inst.id, wire_bytes(&w));
}

static void note_silence(struct fleet *f, int64_t now, struct fleet_peer *p)
{
	if (p->gone || !p->heard_at || now - p->heard_at < DRIVE_HOME_SILENT_MS)
		return;
	p->gone = true;
	log_info("peer_silent", LOG_S("peer", p->inst.name),
		 LOG_U("id", p->inst.id),
		 LOG_I("silent_ms", now - p->heard_at));
	drive_home_gone(f->drive, now, p->inst.id);
}

void beat_judge(struct fleet *f, int64_t now)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		note_silence(f, now, &f->peers[i]);
}

static void drop_peer(struct fleet *f, size_t i)
{
	f->peers[i] = f->peers[--f->n_peers];
}

void beat_tick(struct fleet *f, int64_t now)
{
	size_t i;

	if (now >= f->beat_at)
		beat_all(f, now);
	beat_judge(f, now);
	for (i = f->n_peers; i-- > 0;) {
		struct fleet_peer *p = &f->peers[i];

		if (!p->up && (p->gone || !p->heard_at))
			drop_peer(f, i);
	}
}

bool beat_receive(struct fleet *f, int64_t now, struct fleet_peer *p,
		  struct syc_bytes msg)
{
	struct wire_in w;
	bool again = false; /* a driver that was silent is heard again */

	wire_open(&w, msg);
	p->uptime_ms = (uint32_t)wire_u64(&w);
	p->epoch = wire_u64(&w);
	p->driver = wire_u64(&w);
	p->config_version = wire_u64(&w);
	p->leaving = wire_bool(&w);
	p->hears_driver = wire_bool(&w);
	p->alone = wire_bool(&w);
	if (!wire_close(&w))
		return false;
	if (fleet_waking(f, now)) {
		lead_heard(f, now, p->epoch, p->driver);
		return true;
	}
	if (p->gone)
		log_info("peer_heard_again", LOG_S("peer", p->inst.name),
			 LOG_I("silent_ms", now - p->heard_at));
	if (p->inst.id == lead_driver(f) && !beat_fresh(p, now))
		again = true;
	p->heard_at = now;
	p->gone = false;
	if (again)
		home_hand_in_all(f, now);
	if (p->alone)
		alone_heard(f, now, p);
	lead_heard(f, now, p->epoch, p->driver);
	send_config(f, now, p);
	return true;
}

static void add_peer(struct fleet *f, const struct syc_instance *inst)
{
	struct fleet_peer *p = beat_peer(f, inst->id);

	if (!p && f->n_peers == FLEET_MEMBERS_MAX) {
		log_warn("too_many_peers", LOG_S("peer", inst->name));
		return;
	}
	if (!p) {
		p = &f->peers[f->n_peers++];
		memset(p, 0, sizeof(*p));
	}
	p->inst = *inst;
	p->up = true;
}

static bool domain_heard(const struct fleet *f, const char *domain, int64_t now)
{
	const struct fleet_peer *p;
	size_t i;

	if (!strcmp(domain, f->opt.self.domain))
		return true;
	for (i = 0; i < f->n_peers; i++) {
		p = &f->peers[i];
		if (!strcmp(p->inst.domain, domain) && p->heard_at &&
		    now - p->heard_at < CUT_OFF_MS)
			return true;
	}
	return false;
}

void fleet_peer_up(struct fleet *f, int64_t now,
		   const struct syc_instance *peer)
{
	if (!domain_heard(f, peer->domain, now))
		drive_domain_back(f->drive, now, peer->domain);
	add_peer(f, peer);
	/* Before it hears us again and goes on with our jobs. */
	if (peer->id == lead_driver(f))
		home_hand_in_all(f, now);
	send_beat(f, now, peer->id);
	if (fleet_drives(f))
		workers_tell(f, peer->id);
}

void fleet_peer_down(struct fleet *f, int64_t now, uint64_t peer)
{
	struct fleet_peer *p = beat_peer(f, peer);

	if (p)
		p->up = false;
}
