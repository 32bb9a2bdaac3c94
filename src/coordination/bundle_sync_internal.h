/* The state behind bundle_sync.h, shared by the files that implement it. */
#ifndef COORDINATION_BUNDLE_SYNC_INTERNAL_H
#define COORDINATION_BUNDLE_SYNC_INTERNAL_H

#include "sycamoreshore/bundle_sync.h"

enum {
	SYNC_OFFERS_MAX = 64, /* peers known to have a newer bundle */
	SYNC_RECENT_MAX = 8, /* envelopes kept as bases of deltas */
	SYNC_PULL_INTERVAL_MS = 200, /* least time between two pulls */
	SYNC_PULL_TIMEOUT_MS = 2000, /* for the answer to a pull */
	SYNC_PEER_BACKOFF_MS = 10000, /* after an invalid bundle of a peer */
	SYNC_REPLIES_PER_S = 64, /* answers to the pulls of peers */
	SYNC_REPLY_BYTES_PER_S = 4 * 1024 * 1024,
	SYNC_WATCH_WAIT_MS = 8000, /* a lost one looks quiet for this time */
	SYNC_WATCH_INTERVAL_MS = 50, /* least time between two watches */
	SYNC_RETRY_MIN_MS = 250, /* backoff after a failure of the store */
	SYNC_RETRY_MAX_MS = 4000,
	SYNC_REPAIR_MIN_MS = 250, /* backoff after a refused repair */
	SYNC_REPAIR_MAX_MS = 16000,
	/* Delay until a store that held an older bundle is read again. */
	SYNC_OLDER_BUNDLE_RETRY_MS = 1000,
	SYNC_ABSENT_RETRY_MS = 1000, /* until an empty store is read again */
	/* The first read is delayed so that peers are queried before it. */
	SYNC_FIRST_READ_DELAY_MS = 1000,
	SYNC_FIRST_READ_RETRY_MS = 5000
};

/* A peer that is known to have a newer bundle. */
struct sync_offer {
	uint64_t peer; /* zero: unused */
	uint64_t version;
	int64_t retry_at; /* ms; no pull from this peer before */
};

enum sync_store_call { SYNC_STORE_IDLE, SYNC_STORE_READ, SYNC_STORE_WRITE };

/* All points of time are in ms. */
struct syc_bundle_sync {
	struct syc_bundle_sync_options opt;
	int64_t now;
	struct syc_bundle *current;
	struct syc_bundle *recent[SYNC_RECENT_MAX]; /* newest first */

	/* peers */
	struct sync_offer offers[SYNC_OFFERS_MAX];
	uint64_t pull_from; /* zero: no pull in flight */
	int64_t pull_timeout_at;
	int64_t next_pull_at;
	bool wants_whole_text; /* the last answer was unusable */
	int64_t reply_window_at; /* start of the second that is counted */
	uint32_t window_replies;
	size_t window_reply_bytes;

	/* the store */
	bool is_watcher;
	enum sync_store_call call;
	int64_t next_store_call_at;
	uint32_t store_backoff_ms; /* zero: the last call succeeded */
	uint32_t repair_backoff_ms; /* zero: no repair was refused */
	int64_t next_repair_at;
	uint64_t store_index;
	bool has_refused_index; /* a refusal at refused_index was reported */
	uint64_t refused_index;
};

/*
 * Parses and verifies an envelope and adopts its bundle. Returns false with
 * a message in `err` when the envelope is refused.
 */
bool sync_try_adopt(struct syc_bundle_sync *s, struct syc_bytes envelope,
		    char *err, size_t errlen);

/* Returns the hash that names an envelope as a delta's base; never zero. */
uint64_t sync_envelope_hash(struct syc_bytes envelope);

void sync_report_refusal(struct syc_bundle_sync *s, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

void sync_store_tick(struct syc_bundle_sync *s);
void sync_peer_tick(struct syc_bundle_sync *s);

#endif
