/*
 * Keeps an instance on the newest valid bundle. A few instances watch the
 * store; the others see versions in heartbeats and request the bundle from a
 * peer. Only a complete, valid and fully signed bundle of a higher version
 * is adopted.
 */
#ifndef SYCAMORESHORE_BUNDLE_SYNC_H
#define SYCAMORESHORE_BUNDLE_SYNC_H

#include "sycamoreshore/bundle.h"
#include "sycamoreshore/platform.h"

/* The store's key that holds the bundle in force. */
#define SYC_BUNDLE_KEY "sycamoreshore/bundle/current"

struct syc_bundle_sync_options {
	const struct syc_signer *trusted; /* must outlive the sync */
	size_t n_trusted;
	void *ctx;
	/* Sends one message to a peer; it may be lost. */
	void (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	/* Reports a newer bundle in force. To keep `b`, add a reference. */
	void (*adopted)(void *ctx, struct syc_bundle *b);
	/* Reports a refused bundle; `message` gives the reason for the log. */
	void (*refused)(void *ctx, const char *message);
	struct syc_platform_ops store;
};

struct syc_bundle_sync;

struct syc_bundle_sync *syc_bundle_sync_new(
	const struct syc_bundle_sync_options *opt, int64_t now);
void syc_bundle_sync_free(struct syc_bundle_sync *s);

/* Sets whether this instance watches the store. */
void syc_bundle_sync_set_watcher(struct syc_bundle_sync *s, int64_t now,
				 bool watcher);

/* Reports the version that a peer's heartbeat carried. */
void syc_bundle_sync_peer_version(struct syc_bundle_sync *s, int64_t now,
				  uint64_t peer, uint64_t version);

/*
 * Handles SYC_PEER_BUNDLE_REQUEST and SYC_PEER_BUNDLE. Returns false when
 * the message is malformed.
 */
bool syc_bundle_sync_receive(struct syc_bundle_sync *s, int64_t now,
			     uint64_t from, struct syc_bytes msg);

/* Sends due requests to the store and to peers. */
void syc_bundle_sync_tick(struct syc_bundle_sync *s, int64_t now);

/* The bundle in force; NULL before the first. No reference is added. */
struct syc_bundle *syc_bundle_sync_current(const struct syc_bundle_sync *s);

#endif
