/* What the files of the fleet share. Private to src/fleet. */
#ifndef FLEET_FLEET_STATE_H
#define FLEET_FLEET_STATE_H

#include "fleet/fleet.h"
#include "fleet/fleet_map.h"
#include "protocol/wire.h"
#include "util/index.h"
#include "util/list.h"
#include "util/log.h"
#include "util/table.h"

/* Another instance that a link was up with. */
struct fleet_peer {
	struct syc_instance inst;
	bool up;
	bool gone; /* silent for so long that its jobs are given up */
	int64_t heard_at; /* zero: no heartbeat yet */
	uint32_t uptime_ms;
	uint64_t epoch;
	uint64_t driver;
	uint64_t config_version;
	bool leaving;
	bool hears_driver;
	bool alone; /* drives its failure domain, which is cut off */
	int64_t config_sent_at;
};

/* A job of a caller of this instance. */
struct home_job {
	uint64_t handle; /* its tag towards the driver */
	uint64_t tag; /* its caller's */
	bool handed_in;
	bool gone; /* its caller left, which the driver may not have heard */
	uint32_t generation;
	int64_t arrived_at;
	int64_t deadline_at;
	struct drive_job spec; /* its views point into `text` */
	char *text;
};

struct fleet {
	struct fleet_options opt;
	struct drive *drive;
	int64_t started_at;
	int64_t seen_at; /* the last event */
	int64_t awake_at; /* this instance stood still until then */

	/* lead.c */
	uint64_t epoch;
	uint64_t driver;
	int64_t silent_since; /* the driver has not been heard; zero: it is */
	int64_t learned_at; /* that this one drives */
	int64_t began_at; /* this instance began to drive */
	uint64_t alone; /* drives our domain while it is cut off; zero: none */
	int64_t taking_until; /* it goes on without the store after this */
	int64_t fenced_at; /* zero: no worker refused our fence */

	/* alone.c */
	int64_t probe_at; /* when other domains may be probed again */

	/* map_sync.c */
	struct fleet_map map; /* as last read */
	struct fleet_map writing; /* by the call that is on its way */
	int64_t map_at; /* when the next call may be sent */
	int64_t store_back_at;
	int64_t joined_at; /* the last try to join the map */

	/* beat.c */
	struct fleet_peer peers[FLEET_MEMBERS_MAX];
	size_t n_peers;
	int64_t beat_at;

	/* home.c */
	struct table jobs; /* of struct home_job */
	size_t n_gone; /* of these */
	struct index tags;

	/* workers.c */
	struct drive_worker *workers;
	size_t n_workers;
	int64_t workers_at;
	int64_t workers_failed_at;

	/* config */
	uint64_t config_version;
	void *config;
	size_t config_len;

	int probes_open; /* calls to workers of other domains */
	bool leaving; /* a planned stop has begun */
	bool taking_over; /* the map's change is on its way */
	bool probes_answered; /* a worker of another domain was reached */
	bool map_known;
	bool map_open; /* a call is on its way */
	bool watch_open;
	bool store_away;
	bool workers_known;
	bool workers_open; /* a reading is on its way */
};

/* fleet.c */
/*
 * Call first at each event. What waited in sockets while the instance stood
 * still is older than it looks.
 */
void fleet_enter(struct fleet *f, int64_t now);
/* Whether such messages may still be coming. */
bool fleet_waking(const struct fleet *f, int64_t now);

/* beat.c */
/* The peer with this id, or NULL when no link to it was up lately. */
const struct fleet_peer *beat_known(const struct fleet *f, uint64_t id);
struct fleet_peer *beat_peer(struct fleet *f, uint64_t id);
bool beat_fresh(const struct fleet_peer *p, int64_t now);
/* Heard so lately that it still hears us, unless we are cut off just now. */
bool beat_near(const struct fleet_peer *p, int64_t now);
void beat_tick(struct fleet *f, int64_t now);
void beat_all(struct fleet *f, int64_t now);
/* Gives up the jobs of peers that have been silent for too long. */
void beat_judge(struct fleet *f, int64_t now);
bool beat_receive(struct fleet *f, int64_t now, struct fleet_peer *p,
		  struct syc_bytes msg);

/* lead.c */
void lead_tick(struct fleet *f, int64_t now);
/* Another instance, or the map, names a driver. */
void lead_heard(struct fleet *f, int64_t now, uint64_t epoch, uint64_t driver);
bool lead_hears_driver(const struct fleet *f, int64_t now);
/* The instance that jobs go to; zero when none is known. */
uint64_t lead_driver(const struct fleet *f);
/* Nobody drives, and a takeover would have been made by now. */
bool lead_forlorn(const struct fleet *f, int64_t now);
/* Whether this is the best of all instances that are heard. */
bool lead_is_best(const struct fleet *f, int64_t now);
/* Whether most instances of the map are heard. */
bool lead_hears_most(const struct fleet *f, int64_t now);
/* An epoch above all that are known. */
uint64_t lead_next_epoch(const struct fleet *f);
/* Another instance changed the map before us. */
void lead_lost(struct fleet *f);

/* alone.c */
/* The driver is not heard, and this instance cannot take its place. */
void alone_tick(struct fleet *f, int64_t now);
/* A heartbeat of an instance that drives its own domain. */
void alone_heard(struct fleet *f, int64_t now, const struct fleet_peer *p);
void alone_end(struct fleet *f, int64_t now, const char *why);
/* Whether the other instance that drives our cut-off domain is heard. */
bool alone_is_heard(const struct fleet *f, int64_t now);

/* map_sync.c */
void map_sync_tick(struct fleet *f, int64_t now);
/* Writes the map that names us as the driver under `epoch`. */
void map_sync_take(struct fleet *f, int64_t now, uint64_t epoch);

/* home.c */
void home_tick(struct fleet *f, int64_t now);
/*
 * Hands all jobs in again, as another drives or may have lost them; what the
 * callers gave up meanwhile is cancelled first.
 */
void home_hand_in_all(struct fleet *f, int64_t now);
void home_done(struct fleet *f, int64_t now, uint64_t handle,
	       uint32_t generation, enum drive_outcome outcome,
	       uint32_t retry_after_ms, const char *reason);
void home_free(struct fleet *f);

/* workers.c */
void workers_tick(struct fleet *f, int64_t now);
/* Tells a peer the list that this instance drives by. */
void workers_tell(struct fleet *f, uint64_t to);
bool workers_receive(struct fleet *f, int64_t now, struct syc_bytes msg);

/* fleet_msgs.c */
void msg_job_pack(struct wire_out *w, uint64_t tag,
		  const struct drive_job *job);
/* Views of `job` point into `msg`; names into `names`. */
struct msg_job {
	uint64_t tag;
	struct drive_job job;
	char id[DRIVE_JOB_ID_MAX];
	char service[SYC_NAME_MAX];
	char route[64];
	char label[SYC_NAME_MAX];
	char domain[SYC_NAME_MAX];
};
bool msg_job_unpack(struct wire_in *w, struct syc_bytes msg, struct msg_job *m);

#endif
