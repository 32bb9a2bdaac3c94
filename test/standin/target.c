/* `standin target`: serves stand-ins of targets. */
#include <stdio.h>
#include <stdlib.h>

#include "serve.h"
#include "standin.h"
#include "target.h"
#include "util/field.h"

enum { TARGETS_MAX = 1000 };

static char *opt_listen = "127.0.0.1:0";
static int opt_count = 1;
static struct target_knobs knobs;
static struct registration reg = {
	.service = "task",
	.domain = "a",
	.racks = 2,
	.cpus = 16,
	.memory_mb = 65536,
	.prefix = "t",
};

static const struct poptOption options[] = {
	{"listen", 0, POPT_ARG_STRING, &opt_listen, 0,
	 "address of the first target; the others take free ports", "IP:PORT"},
	{"count", 0, POPT_ARG_INT, &opt_count, 0, "number of targets", "N"},
	{"run-ms", 0, POPT_ARG_LONG, &knobs.run_ms, 0,
	 "run time of tasks whose body states none", "MS"},
	{"slots", 0, POPT_ARG_LONG, &knobs.slots, 0,
	 "tasks of a target at a time; more are refused; 0: no limit", "N"},
	{"register", 0, POPT_ARG_STRING, &reg.store, 0,
	 "register the targets in this store", "IP:PORT"},
	{"service", 0, POPT_ARG_STRING, &reg.service, 0, "service", "NAME"},
	{"domain", 0, POPT_ARG_STRING, &reg.domain, 0, "failure domain",
	 "NAME"},
	{"racks", 0, POPT_ARG_INT, &reg.racks, 0,
	 "number of racks of the targets", "N"},
	{"cpus", 0, POPT_ARG_INT, &reg.cpus, 0, "processors of a target", "N"},
	{"memory-mb", 0, POPT_ARG_INT, &reg.memory_mb, 0, "memory of a target",
	 "MB"},
	{"accelerators", 0, POPT_ARG_INT, &reg.accelerators, 0,
	 "accelerators of a target", "N"},
	{"prefix", 0, POPT_ARG_STRING, &reg.prefix, 0,
	 "prefix of the targets' IDs", "TEXT"},
	POPT_AUTOHELP POPT_TABLEEND};

static bool read_options(int argc, const char **argv)
{
	return serve_options("standin target", argc, argv, options) &&
	       opt_count >= 1 && opt_count <= TARGETS_MAX && reg.racks >= 1;
}

static bool open_target(struct targets *all, int i, uint16_t port)
{
	struct target *t = &all->target[i];

	t->all = all;
	t->index = i;
	t->knobs = knobs;
	if (!target_listen(t, reg.ip, i ? 0 : port)) {
		fprintf(stderr, "standin target: cannot listen on %s:%d\n",
			reg.ip, port);
		return false;
	}
	if (reg.store && !target_register(&reg, t)) {
		fprintf(stderr,
			"standin target: the store %s did not accept the "
			"registration\n",
			reg.store);
		return false;
	}
	printf("listening %s:%d\n", reg.ip, t->port);
	return true;
}

int standin_target(int argc, const char **argv)
{
	static struct targets all;
	static struct syc_addr at;
	int i;

	if (!read_options(argc, argv) || !field_parse_addr(opt_listen, &at))
		return 2;
	reg.ip = at.ip;
	all.loop = ev_default_loop(0);
	all.n = opt_count;
	all.target = calloc((size_t)opt_count, sizeof(*all.target));
	if (!all.target)
		return 1;
	for (i = 0; i < all.n; i++)
		if (!open_target(&all, i, at.port))
			return 1;
	fflush(stdout);
	serve_until_stopped(all.loop);
	return 0;
}
