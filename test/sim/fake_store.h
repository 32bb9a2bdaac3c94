/*
 * The platform's key-value service on a virtual clock: compare-and-swap,
 * watches and the target list, with the faults the real one shows.
 */
#ifndef TEST_FAKE_STORE_H
#define TEST_FAKE_STORE_H

#include "sycamoreshore/platform.h"
#include "util/rng.h"

enum {
	FAKE_KEYS = 64,
	FAKE_CALLS = 512 /* calls waiting for their reply */
};

struct fake_call;

struct fake_store {
	struct rng rng;
	int64_t now;
	int64_t delay_ms; /* of a reply, plus as much jitter */
	bool down;
	unsigned lost_reply_percent; /* replies lost, the effect stays */
	unsigned stale_read_percent; /* reads answered with older content */
	uint64_t index;
	struct fake_key {
		char name[96];
		char *val, *old_val;
		size_t len, old_len;
		uint64_t index, old_index;
	} keys[FAKE_KEYS];
	size_t n_keys;
	struct fake_call *calls[FAKE_CALLS];
	size_t n_calls;
	const struct syc_target *targets; /* of every service but entries */
	size_t n_targets;
	const struct syc_target *entries; /* of the service "sycamoreshore" */
	size_t n_entries;
	uint64_t reads, writes;
};

/* One user of the store; `cut` makes it unreachable for this one only. */
struct fake_store_client {
	struct fake_store *store;
	bool cut;
	bool gone; /* see fake_store_end_client */
	bool paused; /* its replies wait, as when a process is stopped */
};

struct syc_platform_ops fake_store_ops(struct fake_store_client *client);
/* Moves to `now` and gives the replies that are due. */
void fake_store_run(struct fake_store *s, int64_t now);
/*
 * The client's process ends: its calls end as unreachable, but what it has
 * written may still take effect.
 */
void fake_store_end_client(struct fake_store_client *client);
/* Goes back to the content each key had before its last write. */
void fake_store_restore(struct fake_store *s);
void fake_store_put(struct fake_store *s, const char *key, const char *val);
void fake_store_free(struct fake_store *s);

#endif
