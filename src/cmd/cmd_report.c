/* `sycamoreshore report`: the ledgers of running instances, summed up. */
#include <stdio.h>
#include <unistd.h>

#include "cmd/cmd.h"
#include "cmd/ledger_sum.h"

static struct {
	char *admin;
	int csv;
	int json;
	int watch_s;
} args;

static const struct poptOption option_table[] = {
	{"admin", 'a', POPT_ARG_STRING, &args.admin, 0,
	 "admin addresses of the instances", "IP:PORT,..."},
	{"csv", 0, POPT_ARG_NONE, &args.csv, 0, "print comma-separated values",
	 NULL},
	{"json", 0, POPT_ARG_NONE, &args.json, 0, "print JSON", NULL},
	{"watch", 'w', POPT_ARG_INT, &args.watch_s, 0,
	 "read again at this interval in seconds until interrupted", "S"},
	POPT_AUTOHELP POPT_TABLEEND};

static int print_once(const struct addr_list *admin)
{
	struct ledger_sum sum = {0};
	int rc;

	ledger_sum_fetch(&sum, admin);
	if (args.watch_s && isatty(STDOUT_FILENO))
		fputs("\033[H\033[2J", stdout);
	if (args.json)
		ledger_sum_print_json(&sum, stdout);
	else if (args.csv)
		ledger_sum_print_csv(&sum, stdout);
	else
		ledger_sum_print(&sum, stdout);
	fflush(stdout);
	rc = sum.n_unanswered ? EXIT_UNREACHABLE : EXIT_DONE;
	ledger_sum_free(&sum);
	return rc;
}

int cmd_report(int argc, const char **argv)
{
	poptContext auto_options ctx = options_open("sycamoreshore report",
						    argc, argv, option_table,
						    "[OPTION...]");
	struct addr_list admin;
	int rc;

	if (!options_read(ctx, "report") ||
	    !addr_list_read(&admin, args.admin, "admin"))
		return EXIT_USAGE;
	rc = print_once(&admin);
	while (args.watch_s > 0) {
		sleep((unsigned)args.watch_s);
		rc = print_once(&admin);
	}
	return rc;
}
