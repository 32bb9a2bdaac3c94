/* Creates an instance of the fleet, and passes events to its parts. */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	/* Time without probes after a domain proved not to be cut off. */
	ISOLATION_RETRY_MS = 5000,
	/* A time without events that shows a pause; ticks come every 10 ms. */
	PAUSED_MS = 200,
	/* All that arrived during a pause has been read after this time. */
	RESUME_MS = 40,
	/* Members that watch the store, besides the driver. */
	WATCHERS = 3
};

void fleet_send_job_done(struct fleet *f, const struct drive_job_done *done)
{
	auto_wire_out struct wire_out w = {0};
	bool elsewhere = done->outcome == DRIVE_ELSEWHERE;

	wire_begin(&w, SYC_PEER_JOB_DONE, elsewhere ? 6 : 5);
	wire_put_u64(&w, done->tag);
	wire_put_u64(&w, done->generation);
	/* An earlier version ends the job as one of unknown outcome. */
	wire_put_u64(&w, elsewhere ? DRIVE_ABORTED : done->outcome);
	wire_put_u64(&w, done->retry_after_ms);
	wire_put_str(&w, done->reason);
	if (elsewhere)
		wire_put_u64(&w, done->cell);
	if (!f->opt.send(f->opt.ctx, done->home, wire_bytes(&w)))
		log_warn("done_not_sent", LOG_U("home", done->home),
			 LOG_U("tag", done->tag));
}

static void on_job_done(void *ctx, const struct drive_job_done *done)
{
	struct fleet *f = ctx;

	if (done->home != f->opt.self.id)
		fleet_send_job_done(f, done);
	else
		home_job_done(f, syc_now(&f->opt.clock), done);
}

static uint64_t on_fenced(void *ctx, const struct drive_worker *worker)
{
	struct fleet *f = ctx;
	int64_t now = syc_now(&f->opt.clock);

	log_warn("fenced", LOG_S("worker", worker->name),
		 LOG_U("epoch", f->epoch),
		 LOG_U("alone", f->domain_driver != 0));
	if (f->domain_driver) {
		/* The domain is not cut off: the driver reaches its workers. */
		isolated_end(f, now, "fenced");
		f->next_probe_at = now + ISOLATION_RETRY_MS;
		return 0;
	}
	/*
	 * The driver of a cut-off domain has raised the worker's fence. Its
	 * drive has ended or ends soon.
	 */
	if (election_has_quorum(f, now))
		return election_next_epoch(f);
	if (!f->fenced_at)
		f->fenced_at = now;
	return 0;
}

static bool on_is_home_reachable(void *ctx, uint64_t home)
{
	struct fleet *f = ctx;
	const struct fleet_peer *p = heartbeat_get_peer(f, home);
	int64_t now = syc_now(&f->opt.clock);

	if (now - f->last_event_at >= PAUSED_MS || fleet_is_resuming(f, now))
		return false;
	return home == f->opt.self.id || (p && heartbeat_is_recent(p, now));
}

bool fleet_is_eligible_domain(const struct fleet *f, const char *domain)
{
	return !*f->opt.cell || !strcmp(f->opt.cell, domain);
}

bool fleet_is_eligible(const struct fleet *f)
{
	return fleet_is_eligible_domain(f, f->opt.self.domain);
}

bool fleet_is_member(const struct fleet *f, uint64_t id)
{
	return !f->map_known || fleet_map_find(&f->map, id);
}

enum key_watch_role fleet_role(const struct fleet *f, int64_t now)
{
	size_t i;

	if (f->driver == f->opt.self.id)
		return KEY_WATCH_LEADS;
	if (!election_is_driver_reachable(f, now))
		return KEY_WATCH_WATCHES;
	for (i = 0; i < f->map.n_members && i < WATCHERS; i++)
		if (f->map.members[i].id == f->opt.self.id)
			return KEY_WATCH_WATCHES;
	return KEY_WATCH_FOLLOWS;
}

bool fleet_is_divided(const struct fleet *f)
{
	return f->map.n_cells > 0;
}

bool fleet_misses_division(const struct fleet *f)
{
	return f->missed_division && !fleet_is_divided(f);
}

void fleet_retire(struct fleet *f, int64_t now)
{
	log_info("fleet_divided", LOG_U("cells", f->map.n_cells),
		 LOG_U("epoch", f->epoch), LOG_U("open", fleet_open_jobs(f)));
	isolated_end(f, now, "fleet_divided");
	drive_end(f->drive, now);
	home_end_all(f, now, "fleet_divided");
}

bool fleet_is_resuming(const struct fleet *f, int64_t now)
{
	return now - f->resumed_at < RESUME_MS;
}

void fleet_detect_pause(struct fleet *f, int64_t now)
{
	int64_t paused_ms = now - f->last_event_at;

	f->last_event_at = now;
	if (paused_ms < PAUSED_MS)
		return;
	f->resumed_at = now;
	heartbeat_add_pause(f, paused_ms);
	log_warn("stood_still", LOG_I("for_ms", paused_ms),
		 LOG_U("drives", fleet_is_driver(f)));
	heartbeat_check_timeouts(f, now);
	workers_await_if_old(f, now);
}

static bool on_find_told(void *ctx, const char *id, uint32_t *cell)
{
	struct fleet *f = ctx;

	return f->opt.find_told && f->opt.find_told(f->opt.ctx, id, cell);
}

static bool on_ask_cells(void *ctx, const struct drive_job_query *q)
{
	struct fleet *f = ctx;

	return f->opt.ask_cells && f->opt.ask_cells(f->opt.ctx, q);
}

static void on_start(void *ctx, const struct drive_start *call)
{
	struct fleet *f = ctx;

	f->opt.start(f->opt.ctx, call);
}

static void on_stop(void *ctx, const struct drive_stop *call)
{
	struct fleet *f = ctx;

	f->opt.stop(f->opt.ctx, call);
}

static void on_hold(void *ctx, const struct drive_hold *call)
{
	struct fleet *f = ctx;

	f->opt.hold(f->opt.ctx, call);
}

static uint32_t on_get_late_ms(void *ctx)
{
	struct fleet *f = ctx;

	return f->opt.get_late_ms(f->opt.ctx);
}

struct fleet *fleet_new(const struct fleet_options *opt, int64_t now)
{
	struct fleet *f = xcalloc(1, sizeof(*f));
	struct drive_options drive = {
		.ctx = f,
		.losses = opt->losses,
		.cell = f->opt.cell,
		.lease_ms = opt->lease_ms,
		.hold_wait_ms = opt->hold_wait_ms,
		.start = on_start,
		.stop = on_stop,
		.hold = on_hold,
		.job_done = on_job_done,
		.is_home_reachable = on_is_home_reachable,
		.choose_higher_epoch = on_fenced,
		.get_late_ms = on_get_late_ms,
		.find_told = on_find_told,
		.ask_cells = on_ask_cells,
	};

	f->opt = *opt;
	f->whole = f;
	f->started_at = now;
	f->outside_since = now;
	f->last_event_at = now;
	f->drive = drive_new(&drive);
	map_sync_init(f, now);
	config_sync_init(f, now);
	evacuation_init(f, now);
	table_init(&f->jobs, sizeof(struct home_job));
	return f;
}

void fleet_free(struct fleet *f)
{
	if (!f)
		return;
	home_free(f);
	drive_free(f->drive);
	free(f->workers);
	free(f->peers);
	free(f->config);
	free(f);
}

void fleet_tick(struct fleet *f, int64_t now)
{
	fleet_detect_pause(f, now);
	if (!*f->opt.cell && !fleet_is_divided(f))
		f->role = fleet_role(f, now);
	map_sync_tick(f, now);
	config_sync_tick(f, now);
	evacuation_tick(f, now);
	heartbeat_tick(f, now);
	if (!fleet_is_divided(f))
		election_tick(f, now);
	workers_tick(f, now);
	drive_tick(f->drive, now);
	losses_sync_tick(f, now);
	losses_store_tick(f, now);
	home_tick(f, now);
}

struct drive *fleet_get_drive(struct fleet *f)
{
	return f->drive;
}

bool fleet_is_driver(const struct fleet *f)
{
	return drive_is_active(f->drive);
}

uint64_t fleet_epoch(const struct fleet *f)
{
	return f->epoch;
}

bool fleet_is_ready(const struct fleet *f, const char **why)
{
	if (f->leaving)
		*why = "stopping";
	else if (!f->config_version)
		*why = "no configuration yet";
	else if (fleet_misses_division(f))
		*why = "the cells are not known yet";
	else if (!f->driver)
		*why = "no driver yet";
	else if (!f->workers_known)
		*why = "no list of workers yet";
	else if (!election_is_driver_reachable(f, syc_now(&f->opt.clock)))
		*why = "the driver is not heard";
	else
		return true;
	return false;
}

void fleet_leave(struct fleet *f, int64_t now, int64_t ends_at)
{
	f->leaving = true;
	f->ends_at = ends_at;
	log_info("leaving", LOG_U("drives", fleet_is_driver(f)),
		 LOG_U("open", fleet_open_jobs(f)));
	/* Before another instance takes over, if this one drives. */
	home_tell_end(f, now);
	heartbeat_send_all(f, now);
}

/*
 * Whether no job is open, and either this instance does not drive or there is
 * no link to an instance that could take over.
 */
bool fleet_has_left(const struct fleet *f)
{
	size_t i;

	if (!f->leaving || fleet_open_jobs(f))
		return false;
	if (!fleet_is_driver(f))
		return true;
	for (i = 0; i < f->n_peers; i++)
		if (f->peers[i].link_up && !f->peers[i].leaving &&
		    fleet_is_eligible_domain(f, f->peers[i].instance.domain))
			return false;
	return true;
}
