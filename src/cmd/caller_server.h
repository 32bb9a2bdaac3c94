/*
 * The HTTP server for callers. It checks tokens and bodies, and translates
 * JSON to submissions and answers to JSON.
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

/*
 * The callbacks for requests. `tag` identifies a request until it is answered
 * by one of the functions below.
 */
struct caller_server_options {
	struct ev_loop *loop;
	const struct settings *settings;
	struct metrics *metrics;
	void *ctx;
	/* Returns the bundle in force, or NULL. */
	struct syc_bundle *(*bundle)(void *ctx);
	/* `key` may be NULL. The views of `spec` are valid during the call. */
	void (*submit)(void *ctx, uint64_t tag, const char *key,
		       const struct syc_job_spec *spec);
	void (*cancel)(void *ctx, uint64_t tag, const char *caller,
		       const char *key);
	void (*show)(void *ctx, uint64_t tag, const char *caller,
		     const char *key);
	/*
	 * Called when the client has closed the connection. A later answer is
	 * dropped.
	 */
	void (*client_gone)(void *ctx, uint64_t tag);
	/*
	 * Writes a new ticket to `out`, of SYC_KEY_MAX bytes. Returns false
	 * while the instance is not ready.
	 */
	bool (*issue_ticket)(void *ctx, const char *caller, char *out);
};

enum transport_status caller_server_new(
	struct caller_server **c, const struct caller_server_options *opt);
void caller_server_free(struct caller_server *c);
uint16_t caller_server_port(const struct caller_server *c);
/* Accepts no further connections; open requests are still answered. */
void caller_server_quiesce(struct caller_server *c);
/* Returns the number of requests that are not answered yet. */
size_t caller_server_open(const struct caller_server *c);

/* Answers a submission. */
void caller_server_answer(struct caller_server *c, uint64_t tag,
			  const struct syc_answer *answer);
/*
 * Answers a request to show or cancel. `state` is "running", "ended",
 * "not_found" or "unknown". `answer` may be NULL.
 */
void caller_server_answer_state(struct caller_server *c, uint64_t tag,
				const char *state,
				const struct syc_answer *answer);

#endif
