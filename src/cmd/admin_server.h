/*
 * The HTTP server for operators. It answers on the admin address: /healthz,
 * /readyz, /metrics, /state and /ledger.
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
	/*
	 * Returns whether the instance is ready. If not, sets `*why` to the
	 * reason.
	 */
	bool (*is_ready)(void *ctx, const char **why);
	/* Each returns JSON text, which the server frees. */
	char *(*state)(void *ctx);
	char *(*ledger)(void *ctx);
	/* Updates the metrics before /metrics is rendered. */
	void (*refresh)(void *ctx);
	/* Appends histograms to /metrics; NULL when there are none. */
	void (*histograms)(void *ctx, struct buf *out);
};

enum transport_status admin_server_new(struct admin_server **a,
				       const struct admin_server_options *opt);
void admin_server_free(struct admin_server *a);
uint16_t admin_server_port(const struct admin_server *a);

#endif
