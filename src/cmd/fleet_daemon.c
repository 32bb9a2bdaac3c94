#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/fleet_daemon.h"
#include "cmd/secret_file.h"
#include "util/alloc.h"
#include "util/cleanup.h"

enum {
	TICK_MS = 10,
	LATE_TURN_MS = 40, /* a turn of the loop that is worth a log line */
	LATE_LOG_MS = 1000, /* between two of these lines */
	/* The last answers of a planned stop are written in this time. */
	ANSWERS_MS = 100,
	MESSAGE_MAX = 512 /* bytes of an error message */
};

int64_t fleet_daemon_now(void)
{
	return syc_now(&syc_clock_boot);
}

static void fill_self(struct fleet_daemon *d)
{
	const struct fleet_settings *s = &d->settings;

	do {
		randombytes_buf(&d->self.id, sizeof(d->self.id));
		d->self.id >>= 1; /* JSON dumps hold signed integers */
	} while (!d->self.id);
	copy_text(d->self.name, sizeof(d->self.name), s->name);
	copy_text(d->self.domain, sizeof(d->self.domain), s->domain);
	copy_text(d->self.rack, sizeof(d->self.rack), s->rack);
	d->self.peer_addr = s->peers;
}

static bool set_cluster_key(struct fleet_daemon *d, char *err, size_t errlen)
{
	const struct fleet_settings *s = &d->settings;

	if (*s->key_file)
		return secret_file_read_hex(s->key_file, d->cluster_key,
					    PEER_KEY_LEN, err, errlen);
	crypto_generichash(d->cluster_key, PEER_KEY_LEN,
			   (const unsigned char *)s->cluster,
			   strlen(s->cluster), NULL, 0);
	return true;
}

bool fleet_daemon_open(struct fleet_daemon *d, char *err, size_t errlen)
{
	if (!set_cluster_key(d, err, errlen))
		return false;
	fill_self(d);
	return fleet_components_open(d, err, errlen);
}

void fleet_daemon_free(struct fleet_daemon *d)
{
	loop_turns_stop(&d->turns);
	admin_server_free(d->admin);
	job_server_free(d->jobs);
	worker_client_free(d->workers);
	platform_store_free(d->store);
	fleet_routes_free(&d->routes);
	peer_links_free(d->peers);
	cells_free(d->fleet);
	if (d->to_fleet.end) {
		mailbox_free(&d->to_fleet);
		mailbox_free(&d->to_jobs);
	}
	metrics_free(&d->metrics);
	sodium_memzero(d->cluster_key, sizeof(d->cluster_key));
}

static void end_loop(struct fleet_daemon *d, int exit_code)
{
	log_info("stopped", LOG_I("exit_code", exit_code),
		 LOG_U("open", cells_open_jobs(d->fleet)));
	d->exit_code = exit_code;
	ev_break(d->loop, EVBREAK_ALL);
}

/* When the jobs that are still open are answered in a planned stop. */
static int64_t jobs_end_at(const struct fleet_daemon *d)
{
	return d->stop_began_at + d->settings.stop_ms - ANSWERS_MS;
}

/*
 * Whether all that was asked is answered. A request that is still being read is
 * waited for, but not for longer than one that was read.
 */
static bool is_all_answered(const struct fleet_daemon *d, int64_t now)
{
	return cells_has_left(d->fleet) && !job_server_open(d->jobs) &&
	       (!job_server_reading(d->jobs) || now >= jobs_end_at(d));
}

static void advance_stop(struct fleet_daemon *d, int64_t now)
{
	int64_t elapsed_ms = now - d->stop_began_at;

	if (!d->quiesced &&
	    (elapsed_ms >= d->settings.drain_ms || now >= jobs_end_at(d))) {
		d->quiesced = true;
		job_server_quiesce(d->jobs);
	}
	if (d->quiesced && is_all_answered(d, now))
		end_loop(d, EXIT_DONE);
	else if (elapsed_ms >= d->settings.stop_ms)
		end_loop(d, EXIT_FAILED);
}

/* Logs that the loop is late, at most once a second. */
static void log_late_turns(struct fleet_daemon *d, int64_t now)
{
	uint32_t ms = loop_turns_longest_ms(&d->turns);

	if (ms < LATE_TURN_MS || now - d->late_logged_at < LATE_LOG_MS)
		return;
	d->late_logged_at = now;
	log_warn("loop_late", LOG_U("turn_ms", ms),
		 LOG_U("drives", fleet_is_driver(cells_own(d->fleet))),
		 LOG_U("open", cells_open_jobs(d->fleet)),
		 LOG_U("peers_unsent", peer_links_unsent(d->peers)));
}

static void on_tick(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct fleet_daemon *d = w->data;
	int64_t now = fleet_daemon_now();
	const char *why;

	cells_tick(d->fleet, now);
	log_late_turns(d, now);
	/* Clients of an instance that is not ready reconnect to a ready one. */
	job_server_drain(d->jobs, !cells_is_ready(d->fleet, &why));
	if (d->stop_began_at)
		advance_stop(d, now);
	log_flush();
}

/* The first signal begins a planned stop; the second ends it at once. */
static void on_stop(struct ev_loop *loop, struct ev_signal *w, int revents)
{
	struct fleet_daemon *d = w->data;

	if (d->stop_began_at) {
		end_loop(d, EXIT_FAILED);
		return;
	}
	d->stop_began_at = fleet_daemon_now();
	job_server_drain(d->jobs, true);
	cells_leave(d->fleet, d->stop_began_at, jobs_end_at(d));
}

static void on_dump(struct ev_loop *loop, struct ev_signal *w, int revents)
{
	auto_free char *text = fleet_daemon_state(w->data);

	log_info("state", LOG_S("dump", text));
}

/* A reload changes only the log level; the rest needs a restart. */
static void on_reload(struct ev_loop *loop, struct ev_signal *w, int revents)
{
	struct fleet_daemon *d = w->data;
	struct fleet_settings next;
	char err[MESSAGE_MAX];

	if (!fleet_settings_read(&next, d->settings_path, err, sizeof(err))) {
		log_warn("reload_refused", LOG_S("why", err));
		return;
	}
	log_level_set(next.log_level);
	log_info("reloaded", LOG_S("file", d->settings_path));
}

static void watch_signal(struct fleet_daemon *d, struct ev_signal *w,
			 int signum,
			 void (*cb)(struct ev_loop *, struct ev_signal *, int))
{
	ev_signal_init(w, cb, signum);
	w->data = d;
	ev_signal_start(d->loop, w);
}

void fleet_daemon_watch_signals(struct fleet_daemon *d)
{
	signal(SIGPIPE, SIG_IGN);
	watch_signal(d, &d->sigterm, SIGTERM, on_stop);
	watch_signal(d, &d->sigint, SIGINT, on_stop);
	watch_signal(d, &d->sighup, SIGHUP, on_reload);
	watch_signal(d, &d->sigusr1, SIGUSR1, on_dump);
}

void fleet_daemon_run(struct fleet_daemon *d)
{
	ev_timer_init(&d->tick, on_tick, 0., TICK_MS / 1000.);
	d->tick.data = d;
	ev_timer_start(d->loop, &d->tick);
	loop_turns_start(&d->turns, d->loop);
	log_info("started", LOG_S("domain", d->self.domain),
		 LOG_U("id", d->self.id),
		 LOG_U("callers_port", job_server_port(d->jobs)),
		 LOG_U("peers_port", peer_links_port(d->peers)),
		 LOG_U("admin_port", admin_server_port(d->admin)),
		 LOG_U("lease_ms", d->settings.lease_ms),
		 LOG_U("cpu_milli", d->settings.machine.cpu_share_milli),
		 LOG_U("link_kbps", d->settings.machine.link_kbps));
	ev_run(d->loop, 0);
	log_flush();
}
