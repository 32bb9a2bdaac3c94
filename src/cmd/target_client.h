/*
 * The HTTP client for targets. It implements the target protocol: a POST to
 * the service's path with the headers Sycamoreshore-Task, -Attempt, -Epoch,
 * -Kind and -Caller. A 503 with the header Sycamoreshore-Not-Run means that
 * the target refused the task and did not run it.
 */
#ifndef CMD_TARGET_CLIENT_H
#define CMD_TARGET_CLIENT_H

#include <ev.h>

#include "sycamoreshore/dispatch.h"

struct target_client;

struct target_client_options {
	struct ev_loop *loop;
	void *ctx;
	/*
	 * Reports the result of a send. target_client_start never calls it
	 * itself.
	 */
	void (*result)(void *ctx, uint64_t start_id,
		       const struct syc_send_result *res);
};

struct target_client *target_client_new(
	const struct target_client_options *opt);
void target_client_free(struct target_client *t);
void target_client_start(struct target_client *t, const struct syc_start *start,
			 uint64_t epoch);
/* Aborts a send that is in flight; its result is still reported. */
void target_client_stop(struct target_client *t, uint64_t start_id);

#endif
