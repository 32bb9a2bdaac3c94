#include <popt.h>
#include <stdio.h>

#include "cmd/daemon_options.h"

bool daemon_options_read(struct daemon_options *o, const char *command,
			 int argc, const char **argv)
{
	struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &o->settings, 0,
		 "the settings of this instance", "FILE"},
		{"check", 'c', POPT_ARG_NONE, &o->check, 0,
		 "check the settings and exit", NULL},
		{"reference", 0, POPT_ARG_NONE, &o->reference, 0,
		 "print the reference of all settings and exit", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext(command, argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);
	bool ok = rc >= -1 && !poptPeekArg(ctx);

	if (!ok)
		fprintf(stderr, "%s: %s: %s\n", command,
			rc < -1 ? poptBadOption(ctx, 0) : poptPeekArg(ctx),
			rc < -1 ? poptStrerror(rc) : "unexpected argument");
	poptFreeContext(ctx);
	return ok;
}
