/* `sycamoreshore fleet`: runs one instance of a fleet of leased workers. */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "cmd/cmd.h"
#include "cmd/daemon_options.h"
#include "cmd/crash.h"
#include "cmd/fleet_daemon.h"
#include "cmd/held_signals.h"

enum { MESSAGE_MAX = 512 /* bytes of an error message */ };

static void open_log(const struct fleet_settings *s)
{
	struct log_options opt = {
		.fd = STDOUT_FILENO,
		.level = s->log_level,
		.json = s->log_json,
		.instance = s->name,
		.batch_max = s->log_batch,
		.lines_per_s = s->log_lines_per_s,
	};

	log_init(&opt);
}

static int run_daemon(struct fleet_daemon *d)
{
	char err[MESSAGE_MAX];

	crash_report_init();
	open_log(&d->settings);
	d->loop = ev_default_loop(EVFLAG_AUTO);
	fleet_daemon_watch_signals(d);
	held_signals_deliver();
	if (fleet_daemon_open(d, err, sizeof(err))) {
		fleet_daemon_run(d);
	} else {
		log_error("start_failed", LOG_S("why", err));
		fprintf(stderr, "sycamoreshore: %s\n", err);
		d->exit_code = EXIT_FAILED;
	}
	fleet_daemon_free(d);
	log_flush();
	return d->exit_code;
}

static int read_settings(struct fleet_daemon *d, const struct daemon_options *o)
{
	struct fleet_settings *s = &d->settings;
	char err[MESSAGE_MAX];

	if (!o->settings) {
		fputs("sycamoreshore: fleet needs --settings=FILE\n", stderr);
		return EXIT_USAGE;
	}
	if (fleet_settings_read(s, o->settings, err, sizeof(err)) &&
	    fleet_settings_set_grace(s, o->grace_s, err, sizeof(err)))
		return EXIT_DONE;
	fprintf(stderr, "sycamoreshore: %s\n", err);
	return EXIT_USAGE;
}

int cmd_fleet(int argc, const char **argv)
{
	struct fleet_daemon d = {.exit_code = EXIT_DONE};
	struct daemon_options o = {0};
	int rc;

	held_signals_block();

	if (!daemon_options_read(&o, "sycamoreshore fleet", argc, argv))
		return EXIT_USAGE;
	if (o.reference) {
		fleet_settings_print_reference();
		return EXIT_DONE;
	}
	if (sodium_init() < 0)
		return EXIT_FAILED;
	rc = read_settings(&d, &o);
	d.settings_path = o.settings;
	if (!rc && !o.check)
		rc = run_daemon(&d);
	free(o.settings);
	free(o.grace_s);
	return rc;
}
