/*
 * The bundle is the configuration that the operators sign: one versioned INI
 * text with the services, callers, kinds of request, failure domains and
 * signers. A parsed bundle is immutable and reference counted.
 */
#ifndef SYCAMORESHORE_BUNDLE_H
#define SYCAMORESHORE_BUNDLE_H

#include "sycamoreshore/types.h"

enum {
	SYC_BUNDLE_BYTES_MAX = 512 * 1024,
	SYC_SIGNERS_MAX = 16,
	SYC_PUBLIC_KEY_LEN = 32,
	SYC_SIGNATURE_LEN = 64,
	SYC_SEED_LEN = 32
};

/* A group of interchangeable targets, listed by the platform as `name`. */
struct syc_service {
	char name[SYC_NAME_MAX];
	char path[64]; /* HTTP path to which a task is posted */
	uint32_t slots; /* concurrent tasks on one target */
	uint32_t connections; /* concurrent connections to one target */
};

/* A caller with its weight and its limits over all instances together. */
struct syc_caller {
	char name[SYC_NAME_MAX];
	char owner[SYC_NAME_MAX];
	uint32_t share; /* weight in the fair queue, at least 1 */
	uint32_t rate; /* submissions per second; zero: no limit */
	uint32_t slots; /* concurrent slots; zero: no limit */
	uint8_t token_hash[SYC_DIGEST_LEN]; /* BLAKE2b-256 of the token */
};

/* A kind of request or task. */
struct syc_kind {
	char name[SYC_NAME_MAX];
	char service[SYC_NAME_MAX];
	bool non_idempotent;
	uint32_t time_limit_ms; /* of one task */
	uint32_t retries; /* of an idempotent request */
	uint32_t hedge_ms; /* delay of a second, hedged send; zero: none */
};

/* An operator and the ed25519 key that verifies the operator's signatures. */
struct syc_signer {
	char name[SYC_NAME_MAX];
	uint8_t key[SYC_PUBLIC_KEY_LEN];
};

/* A parsed bundle, with the signatures that were verified. */
struct syc_bundle {
	int refs;
	uint64_t version;
	uint8_t digest[SYC_DIGEST_LEN]; /* of the signed text */
	uint32_t signoffs_needed;
	uint32_t retention_ms; /* time for which an ended claim is kept */
	uint32_t retry_percent; /* retries allowed per hundred first sends */
	size_t n_domains, n_services, n_callers, n_kinds;
	char (*domains)[SYC_NAME_MAX];
	struct syc_service *services;
	struct syc_caller *callers;
	struct syc_kind *kinds;
	char *text; /* the envelope as stored: signed text and signatures */
	size_t text_len;
	size_t n_signers;
	char (*signers)[SYC_NAME_MAX]; /* operators who may sign */
	size_t n_signed; /* valid signatures; zero for a draft */
	bool signed_by[SYC_SIGNERS_MAX]; /* by index into `signers` */
};

/*
 * Parses a signed envelope. `trusted` holds the operators' keys from the
 * settings. Returns a reference that the caller releases with
 * syc_bundle_unref, or NULL when the text, a value or a signature is invalid;
 * `err` then holds a message with the line.
 */
struct syc_bundle *syc_bundle_parse(struct syc_bytes envelope,
				    const struct syc_signer *trusted,
				    size_t n_trusted, char *err, size_t errlen);

/* Parses the text of a draft and ignores signatures. Errors are as above. */
struct syc_bundle *syc_bundle_parse_draft(struct syc_bytes text, char *err,
					  size_t errlen);

/*
 * Whether `next` may replace `cur`, which may be NULL: it needs a higher
 * version and at least as many valid signatures as `cur` demands. Returns
 * false and writes a message into `err` otherwise.
 */
bool syc_bundle_can_replace(const struct syc_bundle *cur,
			    const struct syc_bundle *next, char *err,
			    size_t errlen);

/*
 * Whether `next` has enough signatures by the signers that `cur` names. The
 * operators' tools require this before they publish a bundle. An instance
 * cannot require it, since it may have missed a version in between.
 */
bool syc_bundle_meets_signoffs(const struct syc_bundle *cur,
			       const struct syc_bundle *next);

/* Length of the signed part of `envelope`, which ends at the signatures. */
size_t syc_bundle_signed_len(struct syc_bytes envelope);

/*
 * Signs the signed part of `envelope` with the ed25519 key that is derived
 * from `seed` of SYC_SEED_LEN bytes.
 */
void syc_bundle_sign(struct syc_bytes envelope, const uint8_t *seed,
		     uint8_t sig[SYC_SIGNATURE_LEN]);

/* Derives the public key of `seed`, which has SYC_SEED_LEN bytes. */
void syc_bundle_public_key(const uint8_t *seed,
			   uint8_t key[SYC_PUBLIC_KEY_LEN]);

/* Computes the hash that a bundle stores for the bearer token `token`. */
void syc_bundle_token_hash(const char *token, uint8_t hash[SYC_DIGEST_LEN]);

/* Adds a reference; returns `b`. */
struct syc_bundle *syc_bundle_ref(struct syc_bundle *b);
/* Drops a reference; `b` may be NULL. */
void syc_bundle_unref(struct syc_bundle *b);

/* Lookups by name. They return NULL when the bundle has no such entry. */
const struct syc_service *syc_bundle_service(const struct syc_bundle *b,
					     const char *name);
const struct syc_caller *syc_bundle_caller(const struct syc_bundle *b,
					   const char *name);
const struct syc_kind *syc_bundle_kind(const struct syc_bundle *b,
				       const char *name);

/* Returns the caller with the bearer token `token`, or NULL. */
const struct syc_caller *syc_bundle_caller_by_token(const struct syc_bundle *b,
						    const char *token);

#endif
