/*
 * The task that serves operators on the admin address: /healthz, /readyz,
 * /metrics, /state and /ledger.
 */
#ifndef CMD_ADMIN_SERVER_H
#define CMD_ADMIN_SERVER_H

#include <ev.h>

#include "sycamoreshore/types.h"
#include "transport/transport_error.h"
#include "util/buf.h"
#include "util/metrics.h"

struct admin_server;

struct admin_server_options {
	struct ev_loop *loop;
	struct syc_addr listen;
	struct metrics *metrics;
	void *ctx;
	/* Whether it can serve; otherwise `why` says what it waits for. */
	bool (*ready)(void *ctx, const char **why);
	/* JSON text, which the admin side frees. */
	char *(*state)(void *ctx);
	char *(*ledger)(void *ctx);
	/* Brings gauges up to date before /metrics is rendered. */
	void (*refresh)(void *ctx);
	/* Appends histograms to /metrics; NULL: there are none. */
	void (*histograms)(void *ctx, struct buf *out);
};

enum transport_status admin_server_new(struct admin_server **a,
				       const struct admin_server_options *opt);
void admin_server_free(struct admin_server *a);
uint16_t admin_server_port(const struct admin_server *a);

#endif
