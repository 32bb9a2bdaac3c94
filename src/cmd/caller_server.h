/*
 * The task that talks to callers: owns the HTTP server, checks tokens and
 * bodies, and turns JSON into submissions and answers into JSON.
 */
#ifndef CMD_CALLER_SERVER_H
#define CMD_CALLER_SERVER_H

#include <ev.h>

#include "cmd/settings.h"
#include "sycamoreshore/bundle.h"
#include "sycamoreshore/types.h"
#include "transport/transport_error.h"
#include "util/metrics.h"

struct caller_server;

/* What callers ask for; the functions below answer by `tag`. */
struct caller_server_options {
	struct ev_loop *loop;
	const struct settings *settings;
	struct metrics *metrics;
	void *ctx;
	/* The bundle in force, or NULL. */
	struct syc_bundle *(*bundle)(void *ctx);
	/* `key` is NULL for none; views are valid during the call. */
	void (*submit)(void *ctx, uint64_t tag, const char *key,
		       const struct syc_job_spec *spec);
	void (*cancel)(void *ctx, uint64_t tag, const char *caller,
		       const char *key);
	void (*show)(void *ctx, uint64_t tag, const char *caller,
		     const char *key);
	/* The client has gone: no answer is wanted. */
	void (*forget)(void *ctx, uint64_t tag);
	/* Mints one ticket into SYC_KEY_MAX bytes; false when not ready. */
	bool (*ticket)(void *ctx, const char *caller, char *out);
};

enum transport_status caller_server_new(
	struct caller_server **c, const struct caller_server_options *opt);
void caller_server_free(struct caller_server *c);
uint16_t caller_server_port(const struct caller_server *c);
/* Stops accepting; what is open is still answered. */
void caller_server_quiesce(struct caller_server *c);
/* Requests not yet answered. */
size_t caller_server_open(const struct caller_server *c);

void caller_server_answer(struct caller_server *c, uint64_t tag,
			  const struct syc_answer *answer);
/* `state` is "running", "ended", "not_found" or "unknown". */
void caller_server_shown(struct caller_server *c, uint64_t tag,
			 const char *state, const struct syc_answer *answer);

#endif
