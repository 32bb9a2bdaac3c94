#include <stdio.h>

#include "cmd/daemon_options.h"
#include "cmd/options.h"

bool daemon_options_read(struct daemon_options *o, const char *command,
			 int argc, const char **argv)
{
	struct poptOption option_table[] = {
		{"settings", 's', POPT_ARG_STRING, &o->settings, 0,
		 "file with the settings of this instance", "FILE"},
		{"grace-s", 0, POPT_ARG_STRING, &o->grace_s, 0,
		 "time from SIGTERM to SIGKILL; of `fleet` only", "S"},
		{"check", 'c', POPT_ARG_NONE, &o->check, 0,
		 "check the settings and exit", NULL},
		{"reference", 0, POPT_ARG_NONE, &o->reference, 0,
		 "print a reference of all settings and exit", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext auto_options ctx = options_open(
		command, argc, argv, option_table, "[OPTION...]");

	if (!options_read(ctx, command))
		return false;
	if (!poptPeekArg(ctx))
		return true;
	fprintf(stderr,
		"%s: unexpected argument '%s'; only options are allowed\n",
		command, poptPeekArg(ctx));
	return false;
}
