/* The command line that all daemons share. */
#ifndef CMD_DAEMON_OPTIONS_H
#define CMD_DAEMON_OPTIONS_H

#include <stdbool.h>

struct daemon_options {
	char *settings; /* path, to be freed; NULL: not given */
	int check; /* only check the settings */
	int reference; /* only print the reference of all settings */
};

/* Reads the arguments of `command`; tells what is wrong with them. */
bool daemon_options_read(struct daemon_options *o, const char *command,
			 int argc, const char **argv);

#endif
