/*
 * `sycamoreshore explain`: prints the log lines of all instances about one
 * request in order of time, and with them the events of the same time that
 * changed an instance's view of drivers, peers, workers and the store.
 */
#include <popt.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/log_lines.h"
#include "cmd/options.h"

enum {
	VALUE_BYTES_MAX = 64,
	TIME_BYTES = 19 /* of a time without its fraction of a second */
};

static const struct poptOption option_table[] = {POPT_AUTOHELP POPT_TABLEEND};

/* Events that change an instance's view and concern no single request. */
static const char *const context_events[] = {
	"config_in_force", "domain_cut_off", "domain_driver_left",
	"drive_begun",	   "drive_ended",    "driver_changed",
	"driver_silent",   "fenced",	     "leaving",
	"member_removed",  "peer_silent",    "started",
	"stood_still",	   "stopped",	     "store_lost",
	"store_regained",  "takeover_begun", "takeover_without_store",
	"worker_ejected",  "worker_lost",    "worker_silent",
};

struct time_span {
	char first[VALUE_BYTES_MAX]; /* time of the request's first line */
	char last[VALUE_BYTES_MAX];
	size_t n;
};

static bool is_about(const char *line, const char *id)
{
	char job[VALUE_BYTES_MAX];

	return log_line_field(line, "job", job, sizeof(job)) &&
	       !strcmp(job, id);
}

static bool is_context_event(const char *line)
{
	char event[VALUE_BYTES_MAX];
	size_t i;

	if (!log_line_field(line, "event", event, sizeof(event)))
		return false;
	for (i = 0; i < sizeof(context_events) / sizeof(*context_events); i++)
		if (!strcmp(context_events[i], event))
			return true;
	return false;
}

/* Copies the time of a line without its fraction of a second. */
static void copy_time(const char *line, char out[VALUE_BYTES_MAX])
{
	log_line_field(line, "time", out, VALUE_BYTES_MAX);
	if (strlen(out) > TIME_BYTES)
		out[TIME_BYTES] = '\0';
}

static struct time_span find_time_span(const struct log_lines *l,
				       const char *id)
{
	struct time_span s = {.n = 0};
	size_t i;

	for (i = 0; i < l->n; i++) {
		if (!is_about(l->lines[i], id))
			continue;
		if (!s.n++)
			copy_time(l->lines[i], s.first);
		copy_time(l->lines[i], s.last);
	}
	return s;
}

static bool is_within(const char *line, const struct time_span *s)
{
	char line_time[VALUE_BYTES_MAX] = "";

	copy_time(line, line_time);
	return strcmp(line_time, s->first) >= 0 &&
	       strcmp(line_time, s->last) <= 0;
}

static void print_lines(const struct log_lines *l, const char *id,
			const struct time_span *s)
{
	size_t i;

	for (i = 0; i < l->n; i++) {
		const char *line = l->lines[i];

		if (is_about(line, id))
			printf("* %s", line);
		else if (is_within(line, s) && is_context_event(line))
			printf("  %s", line);
	}
}

static int explain(const char *id, const struct log_lines *l)
{
	struct time_span s = find_time_span(l, id);

	if (!s.n) {
		fprintf(stderr,
			"sycamoreshore: no line is about %s; where the event "
			"log_thinned occurs, lines about jobs were left out\n",
			id);
		return EXIT_FAILED;
	}
	print_lines(l, id, &s);
	return EXIT_DONE;
}

int cmd_explain(int argc, const char **argv)
{
	poptContext auto_options ctx = options_open("sycamoreshore explain",
						    argc, argv, option_table,
						    "ID [LOG...]");
	struct log_lines lines = {0};
	const char *id, *path;
	int rc = EXIT_DONE;
	size_t n = 0;

	if (poptGetNextOpt(ctx) != -1 || !(id = poptGetArg(ctx))) {
		fputs("sycamoreshore: explain needs the id of a request\n",
		      stderr);
		return EXIT_USAGE;
	}
	while ((path = poptGetArg(ctx)) || !n) {
		n++;
		if (log_lines_read(&lines, path))
			continue;
		fprintf(stderr, "sycamoreshore explain: %s: cannot be read\n",
			path ? path : "standard input");
		rc = EXIT_FAILED;
		break;
	}
	log_lines_sort(&lines);
	if (rc == EXIT_DONE)
		rc = explain(id, &lines);
	log_lines_free(&lines);
	return rc;
}
