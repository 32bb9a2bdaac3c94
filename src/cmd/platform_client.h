/*
 * The task that talks to the platform: owns its HTTP client and implements
 * the platform operations for the Consul HTTP API. The only module that
 * knows that protocol; its parsing is in protocol/consul.h.
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
	uint32_t timeout_ms; /* of a call; a watch adds its wait */
	const char *token; /* access token, or NULL */
};

struct platform_client *platform_client_new(
	const struct platform_client_options *opt);
void platform_client_free(struct platform_client *p);

/* The operations, bound to this task. */
struct syc_platform_ops platform_client_ops(struct platform_client *p);

/* Calls made so far, watches included, for the metrics. */
uint64_t platform_client_calls(const struct platform_client *p);

#endif
