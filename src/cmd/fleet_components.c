/* Opens the components of the fleet daemon and connects them by callbacks. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/fleet_daemon.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum {
	RECONNECT_DELAY_MAX_MS = 400, /* time to notice a partition's end */
	SEND_BYTES_MAX = 4 * 1024 * 1024 /* unsent on one peer link */
};

static const struct syc_bytes no_bytes = {NULL, 0};

/* Callbacks of the fleet. */

static void fleet_dial_cb(void *ctx, const struct syc_addr *addr)
{
	struct fleet_daemon *d = ctx;

	peer_links_dial(d->peers, addr);
}

static void fleet_hang_up_cb(void *ctx, const struct syc_addr *addr)
{
	struct fleet_daemon *d = ctx;

	peer_links_stop_dialling(d->peers, addr);
}

static bool fleet_send_cb(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct fleet_daemon *d = ctx;

	return peer_links_send(d->peers, to, msg);
}

static void fleet_answer_cb(void *ctx, uint64_t tag,
			    const struct fleet_answer *answer)
{
	struct fleet_daemon *d = ctx;
	struct fleet_answer a = *answer;
	struct syc_bytes head = {&a, sizeof(a)};

	/* They may be freed before delivery; the reason was logged. */
	a.reason = NULL;
	a.job = NULL;
	mailbox_post(&d->to_jobs, MAIL_ANSWER, tag, head, no_bytes);
}

static void fleet_cancelled_cb(void *ctx, uint64_t tag, bool is_done)
{
	struct fleet_daemon *d = ctx;
	struct syc_bytes head = {&is_done, sizeof(is_done)};

	mailbox_post(&d->to_jobs, MAIL_CANCELLED, tag, head, no_bytes);
}

static uint64_t fleet_config_cb(void *ctx, struct syc_bytes text,
				const char *from)
{
	struct fleet_daemon *d = ctx;

	return routes_in_force_offer(&d->routes, text, from);
}

static void fleet_read_workers_cb(void *ctx)
{
	struct fleet_daemon *d = ctx;

	platform_store_workers(d->store);
}

static void fleet_start_cb(void *ctx, const struct drive_start *call)
{
	struct fleet_daemon *d = ctx;

	worker_client_start(d->workers, call);
}

static void fleet_stop_cb(void *ctx, const struct drive_stop *call)
{
	struct fleet_daemon *d = ctx;

	worker_client_stop(d->workers, call);
}

static void fleet_hold_cb(void *ctx, const struct drive_hold *call)
{
	struct fleet_daemon *d = ctx;

	worker_client_hold(d->workers, call);
}

static uint32_t fleet_late_cb(void *ctx)
{
	const struct fleet_daemon *d = ctx;

	return loop_turns_longest_ms(&d->turns);
}

static void open_fleet(struct fleet_daemon *d)
{
	struct fleet_options opt = {
		.self = d->self,
		.clock = syc_clock_boot,
		.wall_clock = syc_clock_wall,
		.store = platform_store_ops(d->store),
		.config_key = PLATFORM_CONFIG,
		.config_apply_ms = d->settings.config_apply_ms,
		.evacuations_key = PLATFORM_EVACUATIONS,
		.evacuation_apply_ms = d->settings.evacuation_apply_ms,
		.divided_workers_min = d->settings.divided_workers_min,
		.cell_workers_min = d->settings.cell_workers_min,
		.capacity = capacity_estimate(&d->settings.machine),
		.lease_ms = d->settings.lease_ms,
		.hold_wait_ms = d->settings.hold_wait_ms,
		.ctx = d,
		.dial = fleet_dial_cb,
		.hang_up = fleet_hang_up_cb,
		.send = fleet_send_cb,
		.answer = fleet_answer_cb,
		.cancelled = fleet_cancelled_cb,
		.config = fleet_config_cb,
		.read_workers = fleet_read_workers_cb,
		.start = fleet_start_cb,
		.stop = fleet_stop_cb,
		.hold = fleet_hold_cb,
		.get_late_ms = fleet_late_cb,
	};

	d->fleet = cells_new(&opt, fleet_daemon_now());
}

/* Callbacks of the workers' client, the store and the servers. */

static void started_cb(void *ctx, uint64_t call,
		       const struct drive_call_answer *a)
{
	struct fleet_daemon *d = ctx;

	cells_start_answered(d->fleet, fleet_daemon_now(), call, a);
}

static void stopped_cb(void *ctx, uint64_t call,
		       const struct drive_call_answer *a)
{
	struct fleet_daemon *d = ctx;

	cells_stop_answered(d->fleet, fleet_daemon_now(), call, a);
}

static void held_cb(void *ctx, uint64_t call,
		    const struct drive_hold_answer *held)
{
	struct fleet_daemon *d = ctx;

	cells_hold_answered(d->fleet, fleet_daemon_now(), call, held);
}

static void open_workers(struct fleet_daemon *d)
{
	struct worker_client_options opt = {
		.loop = d->loop,
		.ctx = d,
		.started = started_cb,
		.stopped = stopped_cb,
		.held = held_cb,
	};

	d->workers = worker_client_new(&opt);
}

static void workers_cb(void *ctx, const struct drive_worker *list, size_t n)
{
	struct fleet_daemon *d = ctx;

	cells_set_workers(d->fleet, fleet_daemon_now(), list, n);
}

/*
 * Lost reads must end before the age of what they read reaches its bound, as
 * there is a limit on the reads in flight.
 */
static uint32_t limit_store_timeout(const struct fleet_settings *s)
{
	uint32_t max_ms = s->config_apply_ms / 2;
	uint32_t evacuation_max_ms = s->evacuation_apply_ms / 2;

	if (evacuation_max_ms && evacuation_max_ms < max_ms)
		max_ms = evacuation_max_ms;
	if (s->store_timeout_ms <= max_ms)
		return s->store_timeout_ms;
	log_info("store_timeout_limited", LOG_U("timeout_ms", max_ms));
	return max_ms;
}

static void open_store(struct fleet_daemon *d)
{
	struct platform_store_options opt = {
		.loop = d->loop,
		.addr = d->settings.store,
		.timeout_ms = limit_store_timeout(&d->settings),
		.ctx = d,
		.workers = workers_cb,
	};

	d->store = platform_store_new(&opt);
}

static const struct fleet_routes *routes_cb(void *ctx)
{
	struct fleet_daemon *d = ctx;

	return &d->routes;
}

static void submit_cb(void *ctx, uint64_t tag, const struct drive_job *job)
{
	struct fleet_daemon *d = ctx;

	cells_submit(d->fleet, fleet_daemon_now(), tag, job);
}

static void client_gone_cb(void *ctx, uint64_t tag)
{
	struct fleet_daemon *d = ctx;

	cells_cancel(d->fleet, fleet_daemon_now(), tag);
}

static void cancel_cb(void *ctx, uint64_t tag, const char *id)
{
	struct fleet_daemon *d = ctx;

	cells_cancel_id(d->fleet, fleet_daemon_now(), tag, id);
}

static bool open_jobs(struct fleet_daemon *d, char *err, size_t errlen)
{
	const struct fleet_settings *s = &d->settings;
	struct job_server_options opt = {
		.loop = d->loop,
		.listen = s->callers,
		.body_max = s->body_max,
		.conns_max = s->connections_max,
		.idle_s = s->idle_s,
		.ctx = d,
		.routes = routes_cb,
		.submit = submit_cb,
		.client_gone = client_gone_cb,
		.cancel = cancel_cb,
	};

	if (!job_server_new(&d->jobs, &opt))
		return true;
	snprintf(err, errlen, "callers: %s", transport_last_error());
	return false;
}

static bool ready_cb(void *ctx, const char **why)
{
	struct fleet_daemon *d = ctx;

	return cells_is_ready(d->fleet, why);
}

char *fleet_daemon_state(struct fleet_daemon *d)
{
	return cells_dump(d->fleet, fleet_daemon_now());
}

static char *state_cb(void *ctx)
{
	return fleet_daemon_state(ctx);
}

static void histograms_cb(void *ctx, struct buf *out)
{
	fleet_metrics_histograms(ctx, out);
}

static void refresh_cb(void *ctx)
{
	fleet_metrics_refresh(ctx);
}

static bool open_admin(struct fleet_daemon *d, char *err, size_t errlen)
{
	struct admin_server_options opt = {
		.loop = d->loop,
		.listen = d->settings.admin,
		.metrics = &d->metrics,
		.ctx = d,
		.is_ready = ready_cb,
		.state = state_cb,
		.ledger = state_cb,
		.refresh = refresh_cb,
		.histograms = histograms_cb,
	};

	if (!admin_server_new(&d->admin, &opt))
		return true;
	snprintf(err, errlen, "admin: %s", transport_last_error());
	return false;
}

/* Messages. */

static void peer_up_cb(void *ctx, const struct syc_instance *peer)
{
	struct fleet_daemon *d = ctx;
	struct syc_bytes head = {peer, sizeof(*peer)};

	log_info("peer_up", LOG_S("peer", peer->name), LOG_U("id", peer->id));
	mailbox_post(&d->to_fleet, MAIL_PEER_UP, peer->id, head, no_bytes);
}

static void peer_down_cb(void *ctx, uint64_t peer)
{
	struct fleet_daemon *d = ctx;

	log_info("peer_down", LOG_U("id", peer));
	mailbox_post(&d->to_fleet, MAIL_PEER_DOWN, peer, no_bytes, no_bytes);
}

static void peer_receive_cb(void *ctx, uint64_t from, struct syc_bytes msg)
{
	struct fleet_daemon *d = ctx;

	mailbox_post(&d->to_fleet, MAIL_PEER_MESSAGE, from, msg, no_bytes);
}

static void peer_rejected_cb(void *ctx, const char *addr, const char *why)
{
	log_warn("peer_rejected", LOG_S("addr", addr), LOG_S("why", why));
}

static void deliver_to_fleet(void *ctx, const struct mail *m)
{
	struct fleet_daemon *d = ctx;
	struct syc_bytes msg = {m->payload, m->len};
	int64_t now = fleet_daemon_now();
	struct syc_instance peer;

	switch (m->type) {
	case MAIL_PEER_UP:
		memcpy(&peer, m->payload, sizeof(peer));
		cells_peer_up(d->fleet, now, &peer);
		return;
	case MAIL_PEER_DOWN:
		cells_peer_down(d->fleet, now, m->id);
		return;
	case MAIL_PEER_MESSAGE:
		if (!cells_receive(d->fleet, now, m->id, msg))
			log_warn("bad_message", LOG_U("peer", m->id));
		return;
	default:
		invariant(
			!"a message of a type that the fleet does not receive");
	}
}

static void deliver_to_jobs(void *ctx, const struct mail *m)
{
	struct fleet_daemon *d = ctx;
	struct fleet_answer answer;
	bool is_done;

	if (m->type == MAIL_CANCELLED) {
		memcpy(&is_done, m->payload, sizeof(is_done));
		job_server_cancelled(d->jobs, m->id, is_done);
		return;
	}
	memcpy(&answer, m->payload, sizeof(answer));
	histogram_add(answer.outcome <= FLEET_FAILED ? &d->served_ms
						     : &d->refused_ms,
		      answer.took_ms);
	job_server_answer(d->jobs, m->id, &answer);
}

static bool open_peers(struct fleet_daemon *d, char *err, size_t errlen)
{
	struct peer_links_options opt = {
		.loop = d->loop,
		.self = d->self,
		.listen = d->settings.peers,
		.cluster_key = d->cluster_key,
		.send_max = SEND_BYTES_MAX,
		.dial_backoff_max_ms = RECONNECT_DELAY_MAX_MS,
		.ctx = d,
		.up = peer_up_cb,
		.down = peer_down_cb,
		.receive = peer_receive_cb,
		.rejected = peer_rejected_cb,
	};

	if (peer_links_new(&d->peers, &opt)) {
		snprintf(err, errlen, "peers: %s", transport_last_error());
		return false;
	}
	d->self.peer_addr.port = peer_links_port(d->peers);
	return true;
}

bool fleet_components_open(struct fleet_daemon *d, char *err, size_t errlen)
{
	mailbox_init(&d->to_fleet, d->loop, deliver_to_fleet, d);
	mailbox_init(&d->to_jobs, d->loop, deliver_to_jobs, d);
	if (!open_peers(d, err, errlen))
		return false;
	open_store(d);
	open_workers(d);
	open_fleet(d);
	return open_jobs(d, err, errlen) && open_admin(d, err, errlen);
}
