/*
 * The task that talks to targets: owns the HTTP client and the sends in
 * flight. It knows the target protocol: POST to the service's path with
 * Sycamoreshore-Task, -Attempt, -Epoch, -Kind and -Caller headers; a 503
 * with Sycamoreshore-Not-Run is a marked refusal.
 */
#ifndef CMD_TARGET_CLIENT_H
#define CMD_TARGET_CLIENT_H

#include <ev.h>

#include "sycamoreshore/dispatch.h"

struct target_client;

struct target_client_options {
	struct ev_loop *loop;
	void *ctx;
	/* The result of a send; never called from target_client_start. */
	void (*result)(void *ctx, uint64_t start_id,
		       const struct syc_send_result *res);
};

struct target_client *target_client_new(
	const struct target_client_options *opt);
void target_client_free(struct target_client *t);
void target_client_start(struct target_client *t, const struct syc_start *start,
			 uint64_t epoch);
void target_client_stop(struct target_client *t, uint64_t start_id);

#endif
