/*
 * The task that keeps the operator's configuration in force: watches it in
 * the store, takes it from peers, and never goes back to an older version.
 */
#ifndef CMD_CONFIG_SIDE_H
#define CMD_CONFIG_SIDE_H

#include <ev.h>

#include "fleet/route.h"
#include "sycamoreshore/platform.h"

struct config_side;

struct config_side_options {
	struct ev_loop *loop;
	struct syc_platform_ops store;
	const char *key; /* of the configuration in the store */
	/* Reads the text; see platform_config_read. */
	bool (*read)(struct syc_bytes text, struct fleet_routes *routes,
		     size_t *skipped, const char **why);
	void *ctx;
	/* A newer version is in force. */
	void (*adopted)(void *ctx, uint64_t version, struct syc_bytes text);
};

struct config_side *config_side_new(const struct config_side_options *opt);
void config_side_free(struct config_side *c);

/* Takes the text of a configuration from a peer. */
void config_side_offer(struct config_side *c, struct syc_bytes text,
		       const char *from);

/* The routes in force; their version is zero before the first. */
const struct fleet_routes *config_side_routes(const struct config_side *c);

#endif
