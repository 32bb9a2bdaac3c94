/*
 * The daemon of one instance of a fleet of leased workers: its components
 * and the messages between them. The fleet makes all decisions; the servers
 * and clients own their sockets.
 */
#ifndef CMD_FLEET_DAEMON_H
#define CMD_FLEET_DAEMON_H

#include <ev.h>

#include "cmd/admin_server.h"
#include "cmd/fleet_settings.h"
#include "cmd/mailbox.h"
#include "cmd/routes_in_force.h"
#include "fleet/cells.h"
#include "platform/job_server.h"
#include "platform/store.h"
#include "platform/worker_client.h"
#include "transport/loop_turns.h"
#include "transport/peer_link.h"
#include "util/histogram.h"
#include "util/metrics.h"

struct fleet_daemon {
	struct ev_loop *loop;
	const char *settings_path;
	struct fleet_settings settings;
	struct metrics metrics;
	struct drive_domains shown_evacuated; /* in the metrics */
	struct histogram served_ms, refused_ms; /* from arrival to answer */
	uint8_t cluster_key[PEER_KEY_LEN];
	struct syc_instance self;
	struct cells *fleet;
	struct job_server *jobs;
	struct worker_client *workers;
	struct platform_store *store;
	struct fleet_routes routes; /* in force */
	struct admin_server *admin;
	struct peer_links *peers;
	struct mailbox to_fleet;
	struct mailbox to_jobs;
	struct ev_timer tick;
	struct loop_turns turns;
	int64_t late_logged_at; /* by fleet_daemon_now */
	struct ev_signal sigterm, sigint, sighup, sigusr1;
	int64_t stop_began_at; /* by fleet_daemon_now; zero: not stopping */
	bool quiesced;
	int exit_code;
};

/*
 * Binds the sockets and starts the components. On failure returns false with
 * a message in `err`; fleet_daemon_free releases what was started.
 */
bool fleet_daemon_open(struct fleet_daemon *d, char *err, size_t errlen);
void fleet_daemon_free(struct fleet_daemon *d);

/*
 * Must be called before fleet_daemon_open, so that a signal during the start
 * does not end the process. It is handled by fleet_daemon_run.
 */
void fleet_daemon_watch_signals(struct fleet_daemon *d);

/* Runs the daemon until a stop has ended. */
void fleet_daemon_run(struct fleet_daemon *d);

/* fleet_components.c: opens the components and connects them. */
bool fleet_components_open(struct fleet_daemon *d, char *err, size_t errlen);

/* Returns the whole state as JSON text, which the caller frees. */
char *fleet_daemon_state(struct fleet_daemon *d);

/* fleet_metrics.c: updates the metrics and renders the histograms. */
void fleet_metrics_refresh(struct fleet_daemon *d);
void fleet_metrics_histograms(struct fleet_daemon *d, struct buf *out);

/*
 * Returns the milliseconds since the machine's start, including time in
 * suspend.
 */
int64_t fleet_daemon_now(void);

#endif
