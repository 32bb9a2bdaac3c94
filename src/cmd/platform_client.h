/*
 * Implements the platform operations by the Consul HTTP API. Only this
 * module and target_lists.h call that API; protocol/consul.h parses it.
 */
#ifndef CMD_PLATFORM_CLIENT_H
#define CMD_PLATFORM_CLIENT_H

#include <ev.h>

#include "cmd/settings.h"
#include "sycamoreshore/platform.h"

struct platform_client;

struct platform_client_options {
	struct ev_loop *loop;
	struct syc_addr store;
	uint32_t timeout_ms; /* limit of a call; a watch adds its wait time */
	const char *token; /* access token, or NULL */
};

struct platform_client *platform_client_new(
	const struct platform_client_options *opt);
void platform_client_free(struct platform_client *p);

/* Returns the platform operations with `p` as their context. */
struct syc_platform_ops platform_client_ops(struct platform_client *p);

/* Returns the number of calls made, including watches, for the metrics. */
uint64_t platform_client_calls(const struct platform_client *p);

#endif
