/*
 * `sycamoreshore explain`: the way of one request through the logs of all
 * instances, in the order of time, with what the instances believed then.
 */
#include <popt.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/log_lines.h"
#include "cmd/options.h"

enum {
	NAME_MAX_BYTES = 64,
	TIME_SECONDS = 19 /* bytes of a time up to its whole seconds */
};

static const struct poptOption table[] = {POPT_AUTOHELP POPT_TABLEEND};

/* Events that say what an instance believes, whichever request it has. */
static const char *const beliefs[] = {
	"config_in_force", "domain_cut_off", "domain_driver_left",
	"drive_begun",	   "drive_ended",    "driver_changed",
	"driver_silent",   "fenced",	     "leaving",
	"member_removed",  "peer_silent",    "started",
	"stood_still",	   "stopped",	     "store_lost",
	"store_regained",  "takeover_begun", "takeover_without_store",
	"worker_ejected",  "worker_lost",    "worker_silent",
};

struct span {
	char first[NAME_MAX_BYTES]; /* second of the request's first line */
	char last[NAME_MAX_BYTES];
	size_t n;
};

static bool is_about(const char *line, const char *id)
{
	char job[NAME_MAX_BYTES];

	return log_line_field(line, "job", job, sizeof(job)) &&
	       !strcmp(job, id);
}

static bool is_belief(const char *line)
{
	char event[NAME_MAX_BYTES];
	size_t i;

	if (!log_line_field(line, "event", event, sizeof(event)))
		return false;
	for (i = 0; i < sizeof(beliefs) / sizeof(*beliefs); i++)
		if (!strcmp(beliefs[i], event))
			return true;
	return false;
}

static void second_of(const char *line, char out[NAME_MAX_BYTES])
{
	log_line_field(line, "time", out, NAME_MAX_BYTES);
	if (strlen(out) > TIME_SECONDS)
		out[TIME_SECONDS] = '\0';
}

static struct span find_span(const struct log_lines *l, const char *id)
{
	struct span s = {.n = 0};
	size_t i;

	for (i = 0; i < l->n; i++) {
		if (!is_about(l->lines[i], id))
			continue;
		if (!s.n++)
			second_of(l->lines[i], s.first);
		second_of(l->lines[i], s.last);
	}
	return s;
}

static bool is_within(const char *line, const struct span *s)
{
	char second[NAME_MAX_BYTES] = "";

	second_of(line, second);
	return strcmp(second, s->first) >= 0 && strcmp(second, s->last) <= 0;
}

static void print_path(const struct log_lines *l, const char *id,
		       const struct span *s)
{
	size_t i;

	for (i = 0; i < l->n; i++) {
		const char *line = l->lines[i];

		if (is_about(line, id))
			printf("* %s", line);
		else if (is_within(line, s) && is_belief(line))
			printf("  %s", line);
	}
}

static int explain(const char *id, const struct log_lines *l)
{
	struct span s = find_span(l, id);

	if (!s.n) {
		fprintf(stderr,
			"sycamoreshore: no line about %s (where log_thinned "
			"stands, lines of some jobs were left out)\n",
			id);
		return EXIT_FAILED;
	}
	print_path(l, id, &s);
	return EXIT_DONE;
}

int cmd_explain(int argc, const char **argv)
{
	poptContext auto_options ctx = options_open(
		"sycamoreshore explain", argc, argv, table, "ID [LOG...]");
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
		fprintf(stderr, "sycamoreshore: %s cannot be read\n",
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
