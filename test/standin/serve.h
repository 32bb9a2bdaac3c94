/* Functions shared by the stand-ins that are servers. */
#ifndef TEST_SERVE_H
#define TEST_SERVE_H

#include <ev.h>
#include <popt.h>
#include <stdbool.h>

/*
 * Reads the options. Prints an error and returns false if an option is invalid
 * or there is another argument.
 */
bool serve_options(const char *name, int argc, const char **argv,
		   const struct poptOption *options);

/* Runs `loop` until SIGTERM or SIGINT. */
void serve_until_stopped(struct ev_loop *loop);

#endif
