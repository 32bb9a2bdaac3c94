/*
 * Keeps the operator's configuration in force: reads and watches it in the
 * store, sends it to peers that lack it, and accepts it from them. It is never
 * replaced by an older version.
 */
#include <stdlib.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum { SEND_RETRY_MS = 500 /* until it is sent to the same peer again */ };

static void adopt(struct fleet *f, int64_t now, struct syc_bytes text,
		  const char *from)
{
	uint64_t version = f->opt.config(f->opt.ctx, text, from);

	if (version <= f->config_version)
		return;
	f->config_version = version;
	free(f->config);
	f->config = xmemdup(text.p, text.n);
	f->config_len = text.n;
	heartbeat_send_all(f, now);
}

static void on_changed(void *ctx, const struct syc_platform_value *v)
{
	struct fleet *f = ctx;

	if (v->status == SYC_PLATFORM_OK)
		adopt(f, syc_now(&f->opt.clock), v->value, "store");
	else
		log_warn("config_absent", LOG_U("version", f->config_version));
}

/* The store answers again, so the map need not wait for its next read. */
static void on_reachable(void *ctx, bool reachable, const char *why)
{
	struct fleet *f = ctx;

	if (reachable && f->store_unreachable)
		key_watch_read(&f->map_watch, syc_now(&f->opt.clock));
}

void config_sync_init(struct fleet *f, int64_t now)
{
	struct key_watch_options opt = {
		.store = f->opt.store,
		.clock = f->opt.clock,
		.bound_ms = f->opt.config_apply_ms,
		.id = f->opt.self.id,
		.ctx = f,
		.changed = on_changed,
		.reachable = on_reachable,
	};

	copy_text(opt.key, sizeof(opt.key), f->opt.config_key);
	key_watch_init(&f->config_watch, &opt, now);
}

/* The fleet of a cell keeps no configuration. */
static bool has_config(const struct fleet *f)
{
	return !*f->opt.cell;
}

void config_sync_tick(struct fleet *f, int64_t now)
{
	if (has_config(f))
		key_watch_tick(&f->config_watch, now, f->role);
}

int64_t fleet_config_age_ms(const struct fleet *f)
{
	int64_t now = syc_now(&f->opt.clock);
	int64_t age_ms = key_watch_age_ms(&f->config_watch, now);

	return age_ms < 0 ? now - f->started_at : age_ms;
}

void config_sync_send(struct fleet *f, int64_t now, struct fleet_peer *p)
{
	auto_wire_out struct wire_out w = {0};
	const struct fleet *whole = f->whole;

	if (!whole->config_version ||
	    p->config_version >= whole->config_version ||
	    now - p->config_sent_at < SEND_RETRY_MS)
		return;
	p->config_sent_at = now;
	wire_begin(&w, SYC_PEER_CONFIG, 2);
	wire_put_u64(&w, whole->config_version);
	wire_put_bytes(&w, whole->config, whole->config_len);
	f->opt.send(f->opt.ctx, p->instance.id, wire_bytes(&w));
}

bool config_sync_receive(struct fleet *f, int64_t now, struct syc_bytes msg)
{
	struct syc_bytes text;
	struct wire_in w;
	uint64_t version;

	wire_open(&w, msg);
	version = wire_u64(&w);
	text = wire_view(&w);
	if (!w.failed && version > f->whole->config_version)
		adopt(f->whole, now, text, "peer");
	return wire_close(&w);
}
