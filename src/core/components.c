/*
 * Creates the components of an instance (coordination, dispatcher and bundle
 * sync) and implements the callbacks that connect them.
 */
#include <stdio.h>
#include <string.h>

#include "core/core_internal.h"

enum {
	WATCHERS = 2 /* instances of a failure domain that watch the store */
};

static void send_to_peer(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct syc_core *core = ctx;

	core->opt.send(core->opt.ctx, to, msg);
}

static void coord_claimed(void *ctx, const struct syc_claim_key *key,
			  const struct syc_claim_result *res)
{
	core_submission_claimed(ctx, key, res);
}

/*
 * Whether this instance watches the store. The members with the lowest ids do,
 * so that all members choose the same ones.
 */
static bool is_watcher(const struct syc_core *core,
		       const struct syc_instance *members, size_t n)
{
	size_t i, lower = 0;

	for (i = 0; i < n; i++)
		if (members[i].id < core->opt.self.id)
			lower++;
	return lower < WATCHERS;
}

static bool is_member(const struct syc_instance *members, size_t n, uint64_t id)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (members[i].id == id)
			return true;
	return false;
}

/*
 * Reports the first map of the failure domain, which has epoch 1, to the
 * dispatcher: no target had an owner before it.
 */
static void detect_first_map(struct syc_core *core)
{
	uint64_t epoch = syc_coord_epoch(core->coord);

	if (epoch == 1 && !core->epoch_seen)
		syc_dispatch_set_first_map(core->dispatch);
	core->epoch_seen = epoch;
}

/*
 * Ends the grants of a member that is no longer alive and answers the requests
 * forwarded to it, without waiting for the link to break.
 */
static void drop_member(struct syc_core *core, uint64_t id)
{
	syc_dispatch_drop_peer(core->dispatch, core->now, id);
	core_forward_peer_down(core, id);
}

static void coord_changed(void *ctx)
{
	struct syc_core *core = ctx;
	struct syc_instance members[SYC_MEMBERS_MAX];
	size_t i, n;

	if (!core->coord)
		return;
	detect_first_map(core);
	n = syc_coord_members(core->coord, members, SYC_MEMBERS_MAX);
	for (i = 0; i < core->n_members_seen; i++)
		if (!is_member(members, n, core->members_seen[i]))
			drop_member(core, core->members_seen[i]);
	for (i = 0; i < n; i++)
		core->members_seen[i] = members[i].id;
	core->n_members_seen = n;
	syc_dispatch_owners_changed(core->dispatch, core->now);
	syc_bundle_sync_set_watcher(core->bundle_sync, core->now,
				    is_watcher(core, members, n));
}

static void dispatch_start(void *ctx, const struct syc_start *start)
{
	struct syc_core *core = ctx;

	core->opt.start(core->opt.ctx, start);
}

static void dispatch_stop(void *ctx, uint64_t start_id)
{
	struct syc_core *core = ctx;

	core->opt.stop(core->opt.ctx, start_id);
}

static void dispatch_done(void *ctx, uint64_t tag,
			  const struct syc_answer *answer)
{
	core_submission_done(ctx, tag, answer);
}

static uint64_t dispatch_owner(void *ctx, const char *name)
{
	struct syc_core *core = ctx;

	return syc_coord_owner(core->coord, name);
}

static void bundle_adopted(void *ctx, struct syc_bundle *b)
{
	struct syc_core *core = ctx;
	char detail[SYC_DETAIL_MAX];

	syc_coord_set_bundle(core->coord, b->version, b->digest);
	syc_coord_set_retention(core->coord, b->retention_ms);
	syc_dispatch_set_bundle(core->dispatch, core->now, b);
	core->target_list_at = core->now;
	snprintf(detail, sizeof(detail), "version %llu",
		 (unsigned long long)b->version);
	core->opt.event(core->opt.ctx, "bundle_adopted", detail);
}

static void bundle_refused(void *ctx, const char *message)
{
	struct syc_core *core = ctx;

	core->opt.event(core->opt.ctx, "bundle_refused", message);
}

static void make_coord(struct syc_core *core)
{
	struct syc_coord_options opt = {
		.self = core->opt.self,
		.seed = core->opt.seed,
		.heartbeat_ms = core->opt.heartbeat_ms,
		.suspect_ms = core->opt.suspect_ms,
		.retention_ms = CORE_DEFAULT_RETENTION_MS,
		.claims_max = core->opt.claims_max,
		.ctx = core,
		.send = send_to_peer,
		.claimed = coord_claimed,
		.changed = coord_changed,
		.store = core->opt.store,
	};

	core->coord = syc_coord_new(&opt, core->now);
}

static void make_dispatch(struct syc_core *core)
{
	struct syc_dispatch_options opt = {
		.self = core->opt.self.id,
		.domain = core->opt.self.domain,
		.rack = core->opt.self.rack,
		.seed = core->opt.seed,
		.queue_max = core->opt.queue_max,
		.ctx = core,
		.start = dispatch_start,
		.stop = dispatch_stop,
		.send = send_to_peer,
		.done = dispatch_done,
		.find_owner = dispatch_owner,
	};

	core->dispatch = syc_dispatch_new(&opt, core->now);
}

static void make_bundle_sync(struct syc_core *core)
{
	struct syc_bundle_sync_options opt = {
		.trusted = core->opt.trusted,
		.n_trusted = core->opt.n_trusted,
		.ctx = core,
		.send = send_to_peer,
		.adopted = bundle_adopted,
		.refused = bundle_refused,
		.store = core->opt.store,
	};

	core->bundle_sync = syc_bundle_sync_new(&opt, core->now);
	/* Every instance watches until it knows the members. */
	syc_bundle_sync_set_watcher(core->bundle_sync, core->now, true);
}

void core_components_new(struct syc_core *core)
{
	make_dispatch(core);
	make_bundle_sync(core);
	make_coord(core);
}

void core_components_free(struct syc_core *core)
{
	syc_coord_free(core->coord);
	syc_dispatch_free(core->dispatch);
	syc_bundle_sync_free(core->bundle_sync);
}
