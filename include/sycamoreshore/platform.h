/*
 * The platform's key-value store and list of targets as the decision code
 * uses them. An adapter implements these calls over the platform's protocol.
 */
#ifndef SYCAMORESHORE_PLATFORM_H
#define SYCAMORESHORE_PLATFORM_H

#include "sycamoreshore/types.h"

enum syc_platform_status {
	SYC_PLATFORM_OK = 0,
	SYC_PLATFORM_ABSENT, /* the key does not exist */
	SYC_PLATFORM_CONFLICT, /* the index did not match in a write */
	SYC_PLATFORM_UNREACHABLE, /* not sent, or no answer has begun */
	SYC_PLATFORM_UNCERTAIN, /* a write was sent but its reply is lost */
	SYC_PLATFORM_ERROR /* the store answered with an error */
};

/*
 * Result of a call. `index` is the store's change counter of the key, zero
 * when the key does not exist.
 */
struct syc_platform_value {
	enum syc_platform_status status;
	uint64_t index;
	struct syc_bytes value;
	const char *message; /* error message after a failure; never NULL */
};

/*
 * All calls return without waiting. `done` is called from the event loop
 * exactly once per call, unless the adapter is freed first.
 */
struct syc_platform_ops {
	void *ctx;

	/* Reads `key`. */
	void (*get)(void *ctx, const char *key,
		    void (*done)(void *arg, const struct syc_platform_value *v),
		    void *arg);

	/*
	 * Writes `key` if its index is `index`, where zero means that the
	 * key must not exist. After SYC_PLATFORM_UNCERTAIN the caller has to
	 * read the key to learn whether the write took place.
	 */
	void (*cas)(void *ctx, const char *key, uint64_t index,
		    struct syc_bytes value,
		    void (*done)(void *arg, const struct syc_platform_value *v),
		    void *arg);

	/*
	 * Waits until the index of `key` differs from `index` or `wait_ms`
	 * has passed, then reads the key.
	 */
	void (*watch)(void *ctx, const char *key, uint64_t index,
		      uint32_t wait_ms,
		      void (*done)(void *arg,
				   const struct syc_platform_value *v),
		      void *arg);

	/*
	 * Reads the list of targets of `service`. `targets` is valid during
	 * the callback only, and NULL after a failure.
	 */
	void (*list)(void *ctx, const char *service,
		     void (*done)(void *arg, enum syc_platform_status st,
				  const struct syc_target *targets, size_t n),
		     void *arg);
};

#endif
