/*
 * Keeps the operator's configuration in force: watches it in the store,
 * accepts it from peers, and never replaces it by an older version.
 */
#ifndef CMD_CONFIG_WATCHER_H
#define CMD_CONFIG_WATCHER_H

#include <ev.h>

#include "fleet/route.h"
#include "sycamoreshore/platform.h"

struct config_watcher;

struct config_watcher_options {
	struct ev_loop *loop;
	struct syc_platform_ops store;
	const char *key; /* the key of the configuration in `store` */
	/* Parses a configuration, as platform_config_read does. */
	bool (*read)(struct syc_bytes text, struct fleet_routes *routes,
		     size_t *skipped, const char **why);
	void *ctx;
	/* Called when a newer version has come into force. */
	void (*changed)(void *ctx, uint64_t version, struct syc_bytes text);
};

struct config_watcher *config_watcher_new(
	const struct config_watcher_options *opt);
void config_watcher_free(struct config_watcher *c);

/*
 * Puts the configuration `text` in force if it is newer. `from` names its
 * source in the log.
 */
void config_watcher_offer(struct config_watcher *c, struct syc_bytes text,
			  const char *from);

/* Returns the routes in force. Their version is zero before the first. */
const struct fleet_routes *config_watcher_routes(
	const struct config_watcher *c);

/* Returns the time in ms since the store's last answer; -1: none yet. */
int64_t config_watcher_age_ms(const struct config_watcher *c);

#endif
