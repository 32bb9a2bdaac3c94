/* `sycamoreshore entry`: reads the settings and runs one instance. */
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cmd/cmd.h"
#include "cmd/daemon_options.h"
#include "cmd/entry.h"
#include "cmd/held_signals.h"
#include "util/cleanup.h"

enum {
	TICK_MS = 10,
	IDLE_TICK_MS = 50, /* while only heartbeats arrive */
	STOP_GRACE_MS = 2000, /* to send last answers after stop_s */
	MESSAGE_MAX = 512 /* bytes of an error message */
};

static void close_log(struct settings *s, int fd)
{
	if (*s->log_file)
		close(fd);
}

static int open_log(const struct settings *s)
{
	struct log_options opt = {
		.fd = STDERR_FILENO,
		.level = s->log_level,
		.json = s->log_json,
		.instance = s->name,
	};

	if (*s->log_file) {
		opt.fd = open(s->log_file,
			      O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
		if (opt.fd < 0) {
			fprintf(stderr, "sycamoreshore: log file %s: %s\n",
				s->log_file, strerror(errno));
			return -1;
		}
	}
	log_init(&opt);
	return opt.fd;
}

static bool is_stop_done(const struct entry *e)
{
	return syc_core_stopped(e->core) && !caller_server_open(e->callers);
}

static bool is_stop_overdue(const struct entry *e, int64_t now)
{
	int64_t limit_ms = (int64_t)e->settings.stop_s * 1000 + STOP_GRACE_MS;

	return now - e->stop_began_at > limit_ms;
}

static void on_tick(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct entry *e = w->data;
	int64_t now = entry_now();

	syc_core_tick(e->core, now);
	w->repeat = (syc_core_is_idle(e->core) ? IDLE_TICK_MS : TICK_MS) /
		    1000.;
	ev_timer_again(loop, w);
	if (!e->stop_began_at)
		return;
	if (is_stop_done(e)) {
		log_info("stopped", LOG_S("task", "entry"));
		ev_break(loop, EVBREAK_ALL);
	} else if (is_stop_overdue(e, now)) {
		log_error("stop_timed_out", LOG_S("task", "entry"),
			  LOG_U("open", syc_core_in_flight(e->core)));
		e->exit_code = EXIT_FAILED;
		ev_break(loop, EVBREAK_ALL);
	}
}

/* The first signal begins a planned stop; the second ends it at once. */
static void on_stop(struct ev_loop *loop, struct ev_signal *w, int revents)
{
	struct entry *e = w->data;

	if (e->stop_began_at) {
		log_warn("stop_forced", LOG_S("task", "entry"));
		e->exit_code = EXIT_FAILED;
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	e->stop_began_at = entry_now();
	caller_server_quiesce(e->callers);
	syc_core_stop(e->core, e->stop_began_at);
}

static void on_dump(struct ev_loop *loop, struct ev_signal *w, int revents)
{
	struct entry *e = w->data;
	auto_free char *text = syc_core_dump(e->core, entry_now());

	log_info("state", LOG_S("task", "entry"), LOG_S("dump", text));
}

static void watch_signal(struct entry *e, struct ev_signal *w, int signum,
			 void (*cb)(struct ev_loop *, struct ev_signal *, int))
{
	ev_signal_init(w, cb, signum);
	w->data = e;
	ev_signal_start(e->loop, w);
}

static void watch_signals(struct entry *e)
{
	signal(SIGPIPE, SIG_IGN);
	watch_signal(e, &e->sigterm, SIGTERM, on_stop);
	watch_signal(e, &e->sigint, SIGINT, on_stop);
	watch_signal(e, &e->sigusr1, SIGUSR1, on_dump);
}

static void run_loop(struct entry *e)
{
	ev_timer_init(&e->tick, on_tick, 0., TICK_MS / 1000.);
	e->tick.data = e;
	ev_timer_start(e->loop, &e->tick);
	log_info("started", LOG_S("task", "entry"),
		 LOG_S("domain", e->self.domain), LOG_U("id", e->self.id),
		 LOG_U("callers_port", caller_server_port(e->callers)),
		 LOG_U("peers_port", peer_links_port(e->peers)),
		 LOG_U("admin_port", admin_server_port(e->admin)));
	ev_run(e->loop, 0);
}

static int run_entry(struct entry *e)
{
	char err[MESSAGE_MAX];
	int fd = open_log(&e->settings);

	if (fd < 0)
		return EXIT_FAILED;
	e->loop = ev_default_loop(EVFLAG_AUTO);
	watch_signals(e);
	held_signals_deliver();
	if (entry_open(e, err, sizeof(err))) {
		run_loop(e);
	} else {
		log_error("start_failed", LOG_S("task", "entry"),
			  LOG_S("why", err));
		fprintf(stderr, "sycamoreshore: %s\n", err);
		e->exit_code = EXIT_FAILED;
	}
	entry_free(e);
	close_log(&e->settings, fd);
	return e->exit_code;
}

static int read_settings(struct entry *e, const char *path)
{
	char err[MESSAGE_MAX];

	if (!path) {
		fputs("sycamoreshore: entry needs --settings=FILE\n", stderr);
		return EXIT_USAGE;
	}
	if (settings_read(&e->settings, path, err, sizeof(err)))
		return EXIT_DONE;
	fprintf(stderr, "sycamoreshore: %s\n", err);
	return EXIT_USAGE;
}

int cmd_entry(int argc, const char **argv)
{
	struct entry e = {.exit_code = EXIT_DONE};
	struct daemon_options o = {0};
	int rc;

	held_signals_block();

	if (!daemon_options_read(&o, "sycamoreshore entry", argc, argv))
		return EXIT_USAGE;
	if (o.grace_s) {
		fputs("sycamoreshore: entry has no --grace-s\n", stderr);
		return EXIT_USAGE;
	}
	if (o.reference) {
		settings_print_reference();
		return EXIT_DONE;
	}
	if (sodium_init() < 0)
		return EXIT_FAILED;
	rc = read_settings(&e, o.settings);
	if (!rc && !o.check)
		rc = run_entry(&e);
	free(o.settings);
	return rc;
}
