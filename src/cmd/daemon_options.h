/* The command line of the daemons `entry` and `fleet`. */
#ifndef CMD_DAEMON_OPTIONS_H
#define CMD_DAEMON_OPTIONS_H

#include <stdbool.h>

struct daemon_options {
	char *settings; /* path, which the caller frees; NULL: not given */
	/* Seconds from SIGTERM to SIGKILL, likewise; empty: unknown. */
	char *grace_s;
	int check; /* only check the settings and exit */
	int reference; /* only print the settings' reference and exit */
};

/*
 * Reads the arguments of `command`. On an invalid one prints an error and
 * returns false.
 */
bool daemon_options_read(struct daemon_options *o, const char *command,
			 int argc, const char **argv);

#endif
