/*
 * Keeps one instance on the newest accepted bundle: a few instances watch
 * the store, the others learn versions from heartbeats and pull from a peer.
 * Adopts only a higher, whole, valid and fully signed version.
 */
#ifndef SYCAMORESHORE_BUNDLE_SYNC_H
#define SYCAMORESHORE_BUNDLE_SYNC_H

#include "sycamoreshore/bundle.h"
#include "sycamoreshore/platform.h"

/* The store's key of the bundle in force. */
#define SYC_BUNDLE_KEY "sycamoreshore/bundle/current"

struct syc_bundle_sync_options {
	const struct syc_signer *trusted; /* outlives the sync */
	size_t n_trusted;
	void *ctx;
	void (*send)(void *ctx, uint64_t to, struct syc_bytes msg);
	/* A newer bundle is in force; it holds a reference to keep. */
	void (*adopted)(void *ctx, struct syc_bundle *b);
	/* Something was refused; for the log. */
	void (*refused)(void *ctx, const char *message);
	struct syc_platform_ops store;
};

struct syc_bundle_sync;

struct syc_bundle_sync *syc_bundle_sync_new(
	const struct syc_bundle_sync_options *opt, int64_t now);
void syc_bundle_sync_free(struct syc_bundle_sync *s);

/* Whether this instance keeps the watch on the store. */
void syc_bundle_sync_set_watcher(struct syc_bundle_sync *s, int64_t now,
				 bool watcher);

/* A peer's heartbeat named this version. */
void syc_bundle_sync_peer_version(struct syc_bundle_sync *s, int64_t now,
				  uint64_t peer, uint64_t version);

/* Handles SYC_PEER_BUNDLE_REQUEST and SYC_PEER_BUNDLE. */
bool syc_bundle_sync_receive(struct syc_bundle_sync *s, int64_t now,
			     uint64_t from, struct syc_bytes msg);

void syc_bundle_sync_tick(struct syc_bundle_sync *s, int64_t now);

/* The bundle in force; NULL before the first. */
struct syc_bundle *syc_bundle_sync_current(const struct syc_bundle_sync *s);

#endif
