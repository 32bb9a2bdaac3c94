#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"

#define VERSION "0.1.0"

static const struct command {
	const char *name;
	int (*run)(int argc, const char **argv);
	const char *help;
} commands[] = {
	{"entry", cmd_entry, "runs one instance"},
	{"fleet", cmd_fleet, "runs one instance of a fleet of leased workers"},
	{"load", cmd_load, "sends submissions and measures the answers"},
	{"jobs", cmd_jobs, "submits, shows and cancels jobs"},
	{"state", cmd_state, "prints the state of running instances"},
	{"explain", cmd_explain, "prints the log lines about one request"},
	{"report", cmd_report, "prints the use of slots by caller and service"},
	{"bundle", cmd_bundle,
	 "checks and signs bundles and puts them in force"},
	{NULL, NULL, NULL},
};

static void print_help(FILE *out)
{
	size_t i;

	fputs("Usage: sycamoreshore COMMAND [OPTION...]\n\n", out);
	for (i = 0; commands[i].name; i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].help);
	fputs("\n'sycamoreshore COMMAND --help' lists a command's options.\n",
	      out);
}

int main(int argc, const char **argv)
{
	size_t i;

	if (argc < 2 || !strcmp(argv[1], "--help")) {
		print_help(argc < 2 ? stderr : stdout);
		return argc < 2 ? EXIT_USAGE : EXIT_DONE;
	}
	if (!strcmp(argv[1], "--version")) {
		puts("sycamoreshore " VERSION);
		return EXIT_DONE;
	}
	for (i = 0; commands[i].name; i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr,
		"sycamoreshore: unknown command '%s'; 'sycamoreshore --help' "
		"lists the commands\n",
		argv[1]);
	return EXIT_USAGE;
}
