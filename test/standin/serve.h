/* What the stand-ins that serve have in common. */
#ifndef TEST_SERVE_H
#define TEST_SERVE_H

#include <ev.h>
#include <popt.h>
#include <stdbool.h>

/* Reads the options; no other argument may stand. Says what is wrong. */
bool serve_options(const char *name, int argc, const char **argv,
		   const struct poptOption *options);

/* Returns after SIGTERM or SIGINT. */
void serve_until_stopped(struct ev_loop *loop);

#endif
