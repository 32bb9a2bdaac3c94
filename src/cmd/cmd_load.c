/* `sycamoreshore load`: sends submissions and measures the answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cmd/cmd.h"
#include "cmd/ledger_sum.h"
#include "cmd/load_run.h"
#include "util/alloc.h"

static struct {
	char *entries;
	char *tokens;
	char *profile;
	char *ledger;
	char *direct;
	char *direct_path;
	double rate;
	double busy_percent;
	double seconds;
	double scale;
	int slots;
	int submissions;
	int in_flight;
	int timeout_ms;
	int retries;
	int seed;
	int json;
	int strict;
} args = {
	.direct_path = "/task",
	.scale = 1,
	.timeout_ms = 60000,
	.seed = 1,
};

static const struct poptOption option_table[] = {
	{"entry", 'e', POPT_ARG_STRING, &args.entries, 0,
	 "addresses for callers of the instances; each send draws one",
	 "IP:PORT,..."},
	{"tokens", 't', POPT_ARG_STRING, &args.tokens, 0,
	 "file of bearer tokens of callers, one on each line", "FILE"},
	{"profile", 'p', POPT_ARG_STRING, &args.profile, 0,
	 "profile of the load, such as conf/load-druckwerk.ini", "FILE"},
	{"submissions", 'n', POPT_ARG_INT, &args.submissions, 0,
	 "stop after this number of submissions", "N"},
	{"seconds", 's', POPT_ARG_DOUBLE, &args.seconds, 0,
	 "stop after this time", "S"},
	{"rate", 'r', POPT_ARG_DOUBLE, &args.rate, 0,
	 "submissions a second, in place of the profile's rate", "N"},
	{"slots", 0, POPT_ARG_INT, &args.slots, 0,
	 "with --busy: number of slots of all targets", "N"},
	{"busy", 0, POPT_ARG_DOUBLE, &args.busy_percent, 0,
	 "send at the rate that keeps this share of the slots busy", "PERCENT"},
	{"in-flight", 0, POPT_ARG_INT, &args.in_flight, 0,
	 "keep this number of submissions in flight, in place of a rate", "N"},
	{"scale", 0, POPT_ARG_DOUBLE, &args.scale, 0, "factor of the run times",
	 "X"},
	{"seed", 0, POPT_ARG_INT, &args.seed, 0, "seed of the random numbers",
	 "N"},
	{"timeout-ms", 0, POPT_ARG_INT, &args.timeout_ms, 0,
	 "time limit of an answer", "MS"},
	{"retries", 0, POPT_ARG_INT, &args.retries, 0,
	 "times to send again to another entry what was not run, and keyed "
	 "submissions without an answer",
	 "N"},
	{"ledger", 0, POPT_ARG_STRING, &args.ledger, 0,
	 "admin addresses of the instances, to count the sends of each task",
	 "IP:PORT,..."},
	{"direct", 0, POPT_ARG_STRING, &args.direct, 0,
	 "targets; every second send goes directly to one of them",
	 "IP:PORT,..."},
	{"direct-path", 0, POPT_ARG_STRING, &args.direct_path, 0,
	 "with --direct: path of the sends to targets", "PATH"},
	{"json", 0, POPT_ARG_NONE, &args.json, 0, "print JSON", NULL},
	{"strict", 0, POPT_ARG_NONE, &args.strict, 0,
	 "fail unless every submission completed", NULL},
	POPT_AUTOHELP POPT_TABLEEND};

static bool read_tokens(struct load_options *opt, const char *path)
{
	struct buf auto_buf text = {0};
	char *line, *save = NULL;

	if (!path) {
		fputs("--tokens is needed\n", stderr);
		return false;
	}
	if (!file_read(path, &text))
		return false;
	line = text.data ? strtok_r(text.data, "\r\n", &save) : NULL;
	for (; line && opt->n_tokens < LOAD_TOKENS_MAX;
	     line = strtok_r(NULL, "\r\n", &save))
		opt->tokens[opt->n_tokens++] = xstrdup(line);
	if (!opt->n_tokens)
		fprintf(stderr, "%s: the file holds no token\n", path);
	return opt->n_tokens > 0;
}

/* Takes the rate from --busy, --rate or the profile, in this order. */
static bool set_rate(struct load_options *opt)
{
	double mean_ms = load_profile_mean_ms(opt->plan.profile) * args.scale;

	opt->rate = args.rate > 0 ? args.rate : opt->plan.profile->rate;
	if (args.busy_percent <= 0)
		return true;
	if (args.slots < 1 || mean_ms <= 0) {
		fputs("--busy needs --slots and tasks that take time\n",
		      stderr);
		return false;
	}
	opt->rate = args.slots * 1000.0 * args.busy_percent / 100 / mean_ms;
	return true;
}

static bool check_ranges(void)
{
	if (args.scale >= 0 && args.submissions >= 0 && args.seconds >= 0 &&
	    args.in_flight >= 0 && args.timeout_ms > 0 && args.retries >= 0 &&
	    (args.submissions || args.seconds > 0))
		return true;
	fputs("load: --submissions or --seconds and --timeout-ms must be > 0, "
	      "the rest >= 0\n",
	      stderr);
	return false;
}

static bool fill_options(struct load_options *opt, struct load_profile *profile)
{
	if (!check_ranges() ||
	    !addr_list_read(&opt->entries, args.entries, "entry") ||
	    (args.direct &&
	     !addr_list_read(&opt->direct, args.direct, "direct")) ||
	    !read_tokens(opt, args.tokens))
		return false;
	if (!args.profile) {
		fputs("--profile is needed\n", stderr);
		return false;
	}
	if (!load_profile_read(profile, args.profile))
		return false;
	opt->plan.profile = profile;
	opt->plan.seed = (uint64_t)args.seed;
	opt->plan.run_id = (uint64_t)time(NULL) << 20 ^ (uint64_t)getpid();
	opt->plan.n_callers = (uint32_t)opt->n_tokens;
	opt->plan.scale = args.scale;
	opt->direct_path = args.direct_path;
	opt->submissions = (uint64_t)args.submissions;
	opt->seconds = args.seconds;
	opt->in_flight = (uint32_t)args.in_flight;
	opt->timeout_ms = (uint32_t)args.timeout_ms;
	opt->retries = (uint32_t)args.retries;
	opt->print_progress = !args.json && isatty(STDERR_FILENO);
	return set_rate(opt);
}

static void read_ledger(const struct addr_list *admin, uint64_t *tasks,
			uint64_t *sends)
{
	struct ledger_sum sum = {0};

	ledger_sum_fetch(&sum, admin);
	*tasks = ledger_sum_total(&sum, LEDGER_TASKS);
	*sends = ledger_sum_total(&sum, LEDGER_SENDS);
	ledger_sum_free(&sum);
}

/* Runs the load, and reads the ledgers before and after if requested. */
static void run_load(const struct load_options *opt,
		     const struct addr_list *admin, struct load_stats *stats)
{
	uint64_t tasks = 0, sends = 0;

	if (admin->n)
		read_ledger(admin, &tasks, &sends);
	load_run(opt, stats);
	if (!admin->n)
		return;
	read_ledger(admin, &stats->ledger_tasks, &stats->ledger_sends);
	stats->ledger_tasks -= tasks;
	stats->ledger_sends -= sends;
	stats->has_ledger = true;
}

static int exit_code_of(const struct load_stats *s)
{
	if (s->wrong)
		return EXIT_FAILED;
	if (args.strict &&
	    (s->whole != s->sent || s->resubmitted != s->resubmitted_whole))
		return EXIT_FAILED;
	return s->whole ? EXIT_DONE : EXIT_UNREACHABLE;
}

int cmd_load(int argc, const char **argv)
{
	poptContext auto_options ctx = options_open(
		"sycamoreshore load", argc, argv, option_table, "[OPTION...]");
	static struct load_options opt;
	static struct load_profile profile;
	struct addr_list admin = {0};
	struct load_stats stats = {0};
	size_t i;
	int rc;

	if (!options_read(ctx, "load") || !fill_options(&opt, &profile) ||
	    (args.ledger && !addr_list_read(&admin, args.ledger, "ledger")))
		return EXIT_USAGE;
	run_load(&opt, &admin, &stats);
	if (args.json)
		load_stats_print_json(&stats, stdout);
	else
		load_stats_print(&stats, stdout);
	rc = exit_code_of(&stats);
	load_stats_free(&stats);
	for (i = 0; i < opt.n_tokens; i++)
		free(opt.tokens[i]);
	return rc;
}
