/*
 * The platform's store and target list on a virtual clock: reads, writes by
 * compare-and-swap and watches, with the faults of the real ones.
 */
#ifndef TEST_FAKE_STORE_H
#define TEST_FAKE_STORE_H

#include "sycamoreshore/platform.h"
#include "util/rng.h"

enum {
	FAKE_STORE_KEYS_MAX = 64,
	FAKE_STORE_CALLS_MAX = 16384 /* in flight */
};

struct fake_call;

struct fake_store {
	struct rng rng;
	int64_t now;
	int64_t delay_ms; /* shortest delay of a reply; jitter can double it */
	bool down;
	/*
	 * Calls that reach the store, or would be answered, while it is silent
	 * or the client deaf end at their time limit.
	 */
	bool silent;
	int64_t timeout_ms; /* time limit of a call; a watch adds its wait */
	unsigned lose_reads; /* this many further reads get no answer */
	bool deaf; /* watches do not report changes */
	bool ends_watches; /* at once, without a change */
	bool busy; /* calls are answered with an error */
	unsigned late_reply_percent; /* replies that come late */
	unsigned lost_reply_percent; /* of the applied writes */
	unsigned stale_read_percent; /* reads that return older content */
	uint64_t index;
	struct fake_key {
		char name[96];
		char *val, *old_val;
		size_t len, old_len;
		uint64_t index, old_index;
		bool is_set; /* see fake_store_put_set */
	} keys[FAKE_STORE_KEYS_MAX];
	size_t n_keys;
	struct fake_call *calls[FAKE_STORE_CALLS_MAX];
	size_t n_calls;
	const struct syc_target *targets; /* targets of all other services */
	size_t n_targets;
	const struct syc_target *entries; /* of the service "sycamoreshore" */
	size_t n_entries;
	uint64_t reads, writes;
};

/* One user of the store. `cut` makes the store unreachable for it alone. */
struct fake_store_client {
	struct fake_store *store;
	bool cut;
	bool ended; /* see fake_store_end_client */
	bool paused; /* its replies wait, as in a stopped process */
	bool silent; /* the store is silent for it alone */
};

struct syc_platform_ops fake_store_ops(struct fake_store_client *client);
/* Advances the clock to `now` and delivers the replies that are due. */
void fake_store_run(struct fake_store *s, int64_t now);
/*
 * Ends the client's process. Its calls end as unreachable, but its writes may
 * still take effect.
 */
void fake_store_end_client(struct fake_store_client *client);
/* Ends all waiting watches as unreachable, as the store drops its history. */
void fake_store_cut_watches(struct fake_store *s);
/* Sets each key back to its content before its last write. */
void fake_store_restore(struct fake_store *s);
void fake_store_put(struct fake_store *s, const char *key, const char *value);
/*
 * The same for a value that stands for a set of keys. Its index is that of the
 * store, which rises with each read, as other keys change all the time.
 */
void fake_store_put_set(struct fake_store *s, const char *key,
			const char *value);
void fake_store_free(struct fake_store *s);

#endif
