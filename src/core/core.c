/* Public calls of the core, which pass each event to its component. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/core_internal.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum {
	IDLE_AFTER_MS = 2000, /* time without events until the core is idle */
	STOP_LEDGER_WAIT_MS = 3000 /* for the last ledger write at a stop */
};

struct syc_core *syc_core_new(const struct syc_core_options *opt, int64_t now)
{
	struct syc_core *core = xcalloc(1, sizeof(*core));

	core->opt = *opt;
	core->now = now;
	core->rng.state = opt->seed;
	table_init(&core->submissions, sizeof(struct submission));
	table_init(&core->forwards, sizeof(struct forward));
	table_init(&core->peers, sizeof(struct peer));
	answer_cache_init(&core->answer_cache, opt->answers_max_bytes);
	core_components_new(core);
	return core;
}

void syc_core_free(struct syc_core *core)
{
	uint64_t handle;
	uint32_t pos = 0;

	if (!core)
		return;
	core_components_free(core);
	while (table_next(&core->submissions, &pos, &handle))
		core_submission_free(core, handle);
	pos = 0;
	while (table_next(&core->forwards, &pos, &handle))
		core_forward_free(core, handle);
	table_free(&core->submissions);
	table_free(&core->forwards);
	table_free(&core->peers);
	index_free(&core->submission_by_key);
	index_free(&core->forward_by_waiter);
	index_free(&core->peer_by_id);
	answer_cache_free(&core->answer_cache);
	free(core);
}

/* Passes the bundle versions in the peers' heartbeats to the bundle sync. */
static void report_peer_bundles(struct syc_core *core)
{
	const struct peer *p;
	uint64_t handle, version;
	uint32_t pos = 0;

	while ((p = table_next(&core->peers, &pos, &handle)))
		if (syc_coord_peer_bundle(core->coord, p->instance.id,
					  &version))
			syc_bundle_sync_peer_version(core->bundle_sync,
						     core->now, p->instance.id,
						     version);
}

/*
 * Cancels what still runs when a stop takes too long, so that callers get
 * answers instead of broken connections.
 */
static void cancel_at_stop_timeout(struct syc_core *core)
{
	struct submission *s;
	uint64_t handle;
	uint32_t pos = 0;

	if (!core->stop_at || core->stop_timed_out ||
	    core->now - core->stop_at < (int64_t)core->opt.stop_ms)
		return;
	core->stop_timed_out = true;
	core->opt.event(core->opt.ctx, "stop_cancelled_tasks",
			"stop_ms has passed: cancelling all submissions");
	while ((s = table_next(&core->submissions, &pos, &handle)))
		if (s->is_started)
			syc_dispatch_cancel(core->dispatch, core->now, handle);
}

void syc_core_tick(struct syc_core *core, int64_t now)
{
	core->now = now;
	syc_coord_tick(core->coord, now);
	report_peer_bundles(core);
	syc_bundle_sync_tick(core->bundle_sync, now);
	core_discovery_tick(core);
	core_target_list_tick(core);
	syc_dispatch_tick(core->dispatch, now);
	core_submission_tick(core);
	core_forward_tick(core);
	core_ledger_tick(core);
	cancel_at_stop_timeout(core);
}

bool syc_core_is_idle(const struct syc_core *core)
{
	return !core->stop_at && !core->submissions.used &&
	       !core->forwards.used &&
	       core->now - core->active_at > IDLE_AFTER_MS;
}

void syc_core_peer_up(struct syc_core *core, int64_t now,
		      const struct syc_instance *peer)
{
	core->now = now;
	core_peer_up(core, peer);
	core->opt.dial(core->opt.ctx, &peer->peer_addr);
	syc_coord_peer_up(core->coord, now, peer);
}

void syc_core_peer_down(struct syc_core *core, int64_t now, uint64_t peer)
{
	core->now = now;
	core_peer_down(core, peer);
	syc_coord_peer_down(core->coord, now, peer);
	core_forward_peer_down(core, peer);
}

static bool receive_request(struct syc_core *core, uint64_t from,
			    struct syc_bytes msg)
{
	struct waiter waiter = {.peer = from};
	struct job_request m;
	struct wire_in w;

	if (!job_request_unpack(&w, msg, &m))
		return false;
	waiter.tag = m.request_id;
	waiter.wants_state = m.action == JOB_CANCEL || m.action == JOB_QUERY;
	core_handle_request(core, &waiter, &m);
	job_request_free(&w, &m);
	return true;
}

bool syc_core_receive(struct syc_core *core, int64_t now, uint64_t from,
		      struct syc_bytes msg)
{
	int type = wire_type(msg);

	core->now = now;
	if (type != SYC_PEER_HEARTBEAT)
		core->active_at = now;
	if (type >= SYC_PEER_HEARTBEAT && type <= SYC_PEER_CLAIM_COPY_ACK)
		return syc_coord_receive(core->coord, now, from, msg);
	if (type >= SYC_PEER_SLOT_REQUEST && type <= SYC_PEER_ALLOTMENT)
		return syc_dispatch_receive(core->dispatch, now, from, msg);
	if (type == SYC_PEER_BUNDLE_REQUEST || type == SYC_PEER_BUNDLE)
		return syc_bundle_sync_receive(core->bundle_sync, now, from,
					       msg);
	if (type == SYC_PEER_SUBMIT)
		return receive_request(core, from, msg);
	if (type == SYC_PEER_ANSWER)
		core_forward_receive_answer(core, from, msg);
	else if (type == SYC_PEER_IN_FLIGHT)
		core_forward_receive_ack(core, from, msg);
	else
		return false;
	return true;
}

void syc_core_result(struct syc_core *core, int64_t now, uint64_t start_id,
		     const struct syc_send_result *res)
{
	core->now = now;
	core->active_at = now;
	syc_dispatch_result(core->dispatch, now, start_id, res);
}

/* Handles a request of a caller that is connected to this instance. */
static void handle_local_request(struct syc_core *core, int64_t now,
				 uint64_t tag, enum job_action action,
				 const char *caller, const char *key,
				 const struct syc_job_spec *spec)
{
	struct waiter waiter = {.tag = tag, .wants_state = !spec};
	struct job_request m = job_request_make(action, caller, key, spec);

	core->now = now;
	core->active_at = now;
	core_handle_request(core, &waiter, &m);
}

void syc_core_submit(struct syc_core *core, int64_t now, uint64_t tag,
		     const char *key, const struct syc_job_spec *spec)
{
	handle_local_request(core, now, tag, JOB_SUBMIT, spec->caller, key,
			     spec);
}

void syc_core_cancel(struct syc_core *core, int64_t now, uint64_t tag,
		     const char *caller, const char *key)
{
	handle_local_request(core, now, tag, JOB_CANCEL, caller, key, NULL);
}

void syc_core_query(struct syc_core *core, int64_t now, uint64_t tag,
		    const char *caller, const char *key)
{
	handle_local_request(core, now, tag, JOB_QUERY, caller, key, NULL);
}

/*
 * Returns TICKET_LIFETIME_MS or half of the retention, whichever is shorter.
 * So a ticket expires before the claim made under it is dropped.
 */
static int64_t ticket_lifetime_ms(const struct syc_core *core)
{
	const struct syc_bundle *b = syc_core_bundle(core);
	int64_t lifetime_ms = (b ? b->retention_ms
				 : CORE_DEFAULT_RETENTION_MS) /
			      2;

	return lifetime_ms < TICKET_LIFETIME_MS ? lifetime_ms
						: TICKET_LIFETIME_MS;
}

bool syc_core_issue_ticket(struct syc_core *core, int64_t now,
			   const char *caller, char *out)
{
	struct ticket t = {
		.epoch = syc_coord_epoch(core->coord),
		.expires_at = syc_now(&core->opt.wall) +
			      ticket_lifetime_ms(core),
		.nonce = rng_next(&core->rng) ^ core->opt.self.id,
	};

	core->now = now;
	if (!syc_coord_ready(core->coord))
		return false;
	copy_text(t.domain, sizeof(t.domain), core->opt.self.domain);
	return ticket_write(&t, caller, core->opt.cluster_key, out);
}

struct syc_bundle *syc_core_bundle(const struct syc_core *core)
{
	return syc_bundle_sync_current(core->bundle_sync);
}

uint64_t syc_core_epoch(const struct syc_core *core)
{
	return syc_coord_epoch(core->coord);
}

size_t syc_core_in_flight(const struct syc_core *core)
{
	return core->submissions.used + core->forwards.used;
}

bool syc_core_ready(const struct syc_core *core, const char **why)
{
	*why = "ready";
	if (!syc_core_bundle(core))
		*why = "waiting for a bundle from the store or a peer";
	else if (!syc_coord_ready(core->coord))
		*why = "waiting for the map of the failure domain";
	else if (!core->targets_listed)
		*why = "waiting for the list of targets";
	else
		return true;
	return false;
}

void syc_core_stop(struct syc_core *core, int64_t now)
{
	core->now = now;
	if (core->stop_at)
		return;
	core->stop_at = now;
	syc_coord_leave(core->coord, now);
	core->opt.event(core->opt.ctx, "stopping", "");
}

bool core_is_drained(const struct syc_core *core)
{
	return core->stop_at && syc_coord_has_left(core->coord) &&
	       !core->submissions.used && !core->forwards.used &&
	       !syc_dispatch_in_flight(core->dispatch);
}

bool syc_core_stopped(const struct syc_core *core)
{
	if (!core_is_drained(core))
		return false;
	return core->final_ledger_written ||
	       core->now - core->stop_at > STOP_LEDGER_WAIT_MS;
}
