/*
 * The lists of targets, kept up to date by one blocking query for each
 * service, so that frequent reads of an unchanged list cause no calls to the
 * platform.
 */
#ifndef CMD_TARGET_LISTS_H
#define CMD_TARGET_LISTS_H

#include <ev.h>

#include "sycamoreshore/platform.h"
#include "transport/http_client.h"

struct target_lists;

struct target_lists_options {
	struct ev_loop *loop;
	void *ctx;
	/* Gets `path` from the platform; `done` is called once by the loop. */
	void (*fetch)(void *ctx, const char *path, uint32_t wait_ms,
		      void (*done)(void *arg, const struct http_answer *a),
		      void *arg);
};

struct target_lists *target_lists_new(const struct target_lists_options *opt);

/*
 * Frees the lists. The HTTP client must be freed before, so that no query is in
 * flight.
 */
void target_lists_free(struct target_lists *l);

/* Implements the operation `list` of syc_platform_ops. */
void target_lists_read(struct target_lists *l, const char *service,
		       void (*done)(void *arg, enum syc_platform_status st,
				    const struct syc_target *targets, size_t n),
		       void *arg);

#endif
