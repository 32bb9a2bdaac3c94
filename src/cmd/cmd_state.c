/* `sycamoreshore state`: prints the state of running instances. */
#include <jansson.h>
#include <stdio.h>
#include <time.h>

#include "cmd/cmd.h"
#include "cmd/fetch.h"
#include "cmd/options.h"

enum { READY_POLL_MS = 50 };

static bool print_state(const struct syc_addr *addr)
{
	struct fetch auto_fetch f = {0};
	json_error_t err;
	json_t *doc;

	if (!fetch_page(&f, addr, "/state"))
		return false;
	doc = json_loadb(f.body.data ? f.body.data : "", f.body.len, 0, &err);
	if (!doc) {
		fprintf(stderr, "%s:%u/state: the answer is not JSON: %s\n",
			addr->ip, addr->port, err.text);
		return false;
	}
	json_dumpf(doc, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(doc);
	return true;
}

/*
 * Returns whether all instances are ready. If `print_reason` is set, prints the
 * reason of the first instance that is not ready.
 */
static bool are_all_ready(const struct addr_list *admin, bool print_reason)
{
	struct fetch auto_fetch f = {0};
	size_t i;

	for (i = 0; i < admin->n; i++) {
		fetch_free(&f);
		fetch_get(&f, &admin->addr[i], "/readyz");
		if (f.end == HTTP_ANSWERED && f.status == 200)
			continue;
		if (print_reason)
			fprintf(stderr, "%s:%u: %s\n", admin->addr[i].ip,
				admin->addr[i].port,
				f.body.data ? f.body.data : f.message);
		return false;
	}
	return true;
}

static int wait_ready(const struct addr_list *admin, int seconds)
{
	time_t deadline = time(NULL) + seconds;
	struct timespec delay = {.tv_nsec = READY_POLL_MS * 1000000L};

	while (!are_all_ready(admin, false)) {
		if (time(NULL) >= deadline)
			return are_all_ready(admin, true) ? EXIT_DONE
							  : EXIT_FAILED;
		nanosleep(&delay, NULL);
	}
	return EXIT_DONE;
}

int cmd_state(int argc, const char **argv)
{
	static char *admin;
	static int ready, wait_s;
	static const struct poptOption option_table[] = {
		{"admin", 'a', POPT_ARG_STRING, &admin, 0,
		 "admin addresses of the instances", "IP:PORT,..."},
		{"ready", 0, POPT_ARG_NONE, &ready, 0,
		 "print nothing, succeed when all instances are ready", NULL},
		{"wait", 0, POPT_ARG_INT, &wait_s, 0,
		 "with --ready: time limit of the wait in seconds", "S"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext auto_options ctx = options_open(
		"sycamoreshore state", argc, argv, option_table, "[OPTION...]");
	struct addr_list list;
	int rc = EXIT_DONE;
	size_t i;

	if (!options_read(ctx, "state") ||
	    !addr_list_read(&list, admin, "admin"))
		return EXIT_USAGE;
	if (ready)
		return wait_ready(&list, wait_s);
	for (i = 0; i < list.n; i++)
		if (!print_state(&list.addr[i]))
			rc = EXIT_UNREACHABLE;
	return rc;
}
