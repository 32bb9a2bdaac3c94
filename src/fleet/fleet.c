/* The parts of an instance put together. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	FENCED_REST_MS = 5000, /* until a domain may think itself cut off */
	/* Much longer than between two ticks. */
	STOOD_STILL_MS = 200,
	/* Until all that had come meanwhile has been read. */
	WAKING_MS = 40
};

static void send_done(struct fleet *f, const struct drive_done *done)
{
	auto_wire_out struct wire_out w = {0};

	wire_begin(&w, SYC_PEER_JOB_DONE, 5);
	wire_put_u64(&w, done->tag);
	wire_put_u64(&w, done->generation);
	wire_put_u64(&w, done->outcome);
	wire_put_u64(&w, done->retry_after_ms);
	wire_put_str(&w, done->reason);
	if (!f->opt.send(f->opt.ctx, done->home, wire_bytes(&w)))
		log_warn("done_not_sent", LOG_U("home", done->home),
			 LOG_U("tag", done->tag));
}

static void on_done(void *ctx, const struct drive_done *done)
{
	struct fleet *f = ctx;

	if (done->home != f->opt.self.id)
		send_done(f, done);
	else
		home_done(f, syc_now(&f->opt.clock), done->tag,
			  done->generation, done->outcome, done->retry_after_ms,
			  done->reason);
}

static uint64_t on_fenced(void *ctx, const struct drive_worker *worker)
{
	struct fleet *f = ctx;
	int64_t now = syc_now(&f->opt.clock);

	log_warn("fenced", LOG_S("worker", worker->name),
		 LOG_U("epoch", f->epoch), LOG_U("alone", f->alone != 0));
	if (f->alone) {
		/* Not cut off after all: the driver reaches our workers. */
		alone_end(f, now, "fenced");
		f->probe_at = now + FENCED_REST_MS;
		return 0;
	}
	/* A domain that was cut off drove it; it has ended or soon will. */
	if (lead_hears_most(f, now))
		return lead_next_epoch(f);
	if (!f->fenced_at)
		f->fenced_at = now;
	return 0;
}

static bool on_home_near(void *ctx, uint64_t home)
{
	struct fleet *f = ctx;
	const struct fleet_peer *p = beat_peer(f, home);
	int64_t now = syc_now(&f->opt.clock);

	if (now - f->seen_at >= STOOD_STILL_MS || fleet_waking(f, now))
		return false;
	return home == f->opt.self.id || (p && beat_near(p, now));
}

bool fleet_waking(const struct fleet *f, int64_t now)
{
	return now - f->awake_at < WAKING_MS;
}

void fleet_enter(struct fleet *f, int64_t now)
{
	int64_t still = now - f->seen_at;

	f->seen_at = now;
	if (still < STOOD_STILL_MS)
		return;
	f->awake_at = now;
	log_warn("stood_still", LOG_I("for_ms", still),
		 LOG_U("drives", fleet_drives(f)));
	beat_judge(f, now);
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

struct fleet *fleet_new(const struct fleet_options *opt, int64_t now)
{
	struct fleet *f = xcalloc(1, sizeof(*f));
	struct drive_options drive = {
		.ctx = f,
		.lease_ms = opt->lease_ms,
		.hold_wait_ms = opt->hold_wait_ms,
		.start = on_start,
		.stop = on_stop,
		.hold = on_hold,
		.done = on_done,
		.home_near = on_home_near,
		.fenced = on_fenced,
	};

	f->opt = *opt;
	f->started_at = now;
	f->seen_at = now;
	f->drive = drive_new(&drive);
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
	free(f->config);
	free(f);
}

void fleet_tick(struct fleet *f, int64_t now)
{
	fleet_enter(f, now);
	map_sync_tick(f, now);
	beat_tick(f, now);
	lead_tick(f, now);
	workers_tick(f, now);
	drive_tick(f->drive, now);
	home_tick(f, now);
}

static bool receive_job(struct fleet *f, int64_t now, uint64_t from,
			struct syc_bytes msg)
{
	struct msg_job m;
	struct wire_in w;
	bool ok = msg_job_unpack(&w, msg, &m);

	/*
	 * Whoever does not drive leaves it to be handed in again, and so does
	 * one that was asleep: the home may have given the job up since.
	 */
	if (ok && drive_active(f->drive) && !fleet_waking(f, now))
		drive_submit(f->drive, now, from, m.tag, &m.job);
	return wire_close(&w) && ok;
}

static bool receive_done(struct fleet *f, int64_t now, struct syc_bytes msg)
{
	char reason[SYC_NAME_MAX];
	uint32_t generation, retry_ms;
	enum drive_outcome outcome;
	struct wire_in w;
	uint64_t tag;

	wire_open(&w, msg);
	tag = wire_u64(&w);
	generation = (uint32_t)wire_u64(&w);
	outcome = (enum drive_outcome)wire_u64(&w);
	retry_ms = (uint32_t)wire_u64(&w);
	wire_str(&w, reason, sizeof(reason));
	if (!wire_close(&w) || outcome < DRIVE_COMPLETED ||
	    outcome > DRIVE_BROKEN_OFF)
		return false;
	home_done(f, now, tag, generation, outcome, retry_ms, reason);
	return true;
}

static bool receive_cancel(struct fleet *f, int64_t now, uint64_t from,
			   struct syc_bytes msg)
{
	char id[DRIVE_ID_MAX];
	struct wire_in w;
	uint64_t tag;

	wire_open(&w, msg);
	tag = wire_u64(&w);
	wire_str(&w, id, sizeof(id));
	if (!wire_close(&w))
		return false;
	if (*id)
		drive_cancel_id(f->drive, now, id);
	else
		drive_cancel(f->drive, now, from, tag);
	return true;
}

static bool receive_config(struct fleet *f, struct syc_bytes msg)
{
	struct syc_bytes text;
	struct wire_in w;
	uint64_t version;

	wire_open(&w, msg);
	version = wire_u64(&w);
	text = wire_view(&w);
	if (!w.failed && version > f->config_version)
		f->opt.config(f->opt.ctx, version, text);
	return wire_close(&w);
}

bool fleet_receive(struct fleet *f, int64_t now, uint64_t from,
		   struct syc_bytes msg)
{
	struct fleet_peer *p;

	fleet_enter(f, now);
	p = beat_peer(f, from);
	if (!p)
		return true; /* it has been dropped meanwhile */
	switch (wire_type(msg)) {
	case SYC_PEER_FLEET_HEARTBEAT:
		return beat_receive(f, now, p, msg);
	case SYC_PEER_JOB:
		return receive_job(f, now, from, msg);
	case SYC_PEER_JOB_DONE:
		return receive_done(f, now, msg);
	case SYC_PEER_JOB_CANCEL:
		return receive_cancel(f, now, from, msg);
	case SYC_PEER_CONFIG:
		return receive_config(f, msg);
	case SYC_PEER_WORKERS:
		return workers_receive(f, now, msg);
	default:
		return false;
	}
}

void fleet_config(struct fleet *f, int64_t now, uint64_t version,
		  struct syc_bytes text)
{
	if (version <= f->config_version)
		return;
	f->config_version = version;
	free(f->config);
	f->config = xmemdup(text.p, text.n);
	f->config_len = text.n;
	beat_all(f, now);
}

struct drive *fleet_drive(struct fleet *f)
{
	return f->drive;
}

bool fleet_drives(const struct fleet *f)
{
	return drive_active(f->drive);
}

uint64_t fleet_epoch(const struct fleet *f)
{
	return f->epoch;
}

bool fleet_ready(const struct fleet *f, const char **why)
{
	if (f->leaving)
		*why = "stopping";
	else if (!f->config_version)
		*why = "no configuration yet";
	else if (!f->driver)
		*why = "no driver yet";
	else if (!f->workers_known)
		*why = "no list of workers yet";
	else if (!lead_hears_driver(f, syc_now(&f->opt.clock)))
		*why = "the driver is not heard";
	else
		return true;
	return false;
}

void fleet_leave(struct fleet *f, int64_t now)
{
	f->leaving = true;
	log_info("leaving", LOG_U("drives", fleet_drives(f)),
		 LOG_U("open", fleet_open(f)));
	beat_all(f, now);
}

/* Another drives, or there is nobody who could. */
bool fleet_left(const struct fleet *f)
{
	size_t i;

	if (!f->leaving || fleet_open(f))
		return false;
	if (!fleet_drives(f))
		return true;
	for (i = 0; i < f->n_peers; i++)
		if (f->peers[i].up && !f->peers[i].leaving)
			return false;
	return true;
}

char *fleet_dump(const struct fleet *f, int64_t now)
{
	json_t *root, *peers = json_array(), *drive;
	char *text = drive_dump(f->drive, now);
	size_t i;

	drive = json_loads(text, 0, NULL);
	free(text);
	for (i = 0; i < f->n_peers; i++) {
		const struct fleet_peer *p = &f->peers[i];

		json_array_append_new(
			peers,
			json_pack("{s:s, s:I, s:b, s:I, s:I, s:b}", "name",
				  p->inst.name, "id", (json_int_t)p->inst.id,
				  "up", p->up, "heard_ms",
				  (json_int_t)(p->heard_at ? now - p->heard_at
							   : -1),
				  "uptime_ms", (json_int_t)p->uptime_ms,
				  "leaving", p->leaving));
	}
	root = json_pack("{s:I, s:I, s:I, s:b, s:i, s:i, s:I, s:o, s:o}", "id",
			 (json_int_t)f->opt.self.id, "driver",
			 (json_int_t)f->driver, "epoch", (json_int_t)f->epoch,
			 "store_away", f->store_away, "members", (int)f->map.n,
			 "jobs", (int)fleet_open(f), "config_version",
			 (json_int_t)f->config_version, "peers", peers, "drive",
			 drive);
	text = json_dumps(root, JSON_INDENT(1));
	json_decref(root);
	return text;
}
