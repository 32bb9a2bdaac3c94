/*
 * The bundle: what the operators sign off. One versioned INI text states the
 * services, callers, kinds of request, failure domains and who must sign.
 * A parsed bundle is never changed; it is shared by reference count.
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

/* A group of equal targets, listed by the platform under `name`. */
struct syc_service {
	char name[SYC_NAME_MAX];
	char path[64]; /* HTTP path of a task on the target */
	uint32_t slots; /* tasks at once on one target */
	uint32_t connections; /* connections at once to one target */
};

/* A caller and what it is entitled to. */
struct syc_caller {
	char name[SYC_NAME_MAX];
	char owner[SYC_NAME_MAX];
	uint32_t share; /* weight, from 1 */
	uint32_t rate; /* submissions a second, fleet-wide; zero: none */
	uint32_t slots; /* slots at once, fleet-wide; zero: no limit */
	uint8_t token_hash[SYC_DIGEST_LEN]; /* BLAKE2b-256 of the token */
};

/* A kind of request or task. */
struct syc_kind {
	char name[SYC_NAME_MAX];
	char service[SYC_NAME_MAX];
	bool non_idempotent;
	uint32_t time_limit_ms; /* of one task */
	uint32_t retries; /* further tries of an unmarked request */
	uint32_t hedge_ms; /* second send after; zero: never */
};

struct syc_signer {
	char name[SYC_NAME_MAX];
	uint8_t key[SYC_PUBLIC_KEY_LEN];
};

struct syc_bundle {
	int refs;
	uint64_t version;
	uint8_t digest[SYC_DIGEST_LEN]; /* of the signed text */
	uint32_t signoffs_needed;
	uint32_t retention_ms; /* how long a claim is kept */
	uint32_t retry_percent; /* retries allowed per hundred sends */
	size_t n_domains, n_services, n_callers, n_kinds;
	char (*domains)[SYC_NAME_MAX];
	struct syc_service *services;
	struct syc_caller *callers;
	struct syc_kind *kinds;
	char *text; /* the envelope as stored: signed text, signatures */
	size_t text_len;
	size_t n_signers;
	char (*signers)[SYC_NAME_MAX]; /* operators who may sign */
	size_t n_signed; /* signatures found good; zero for a draft */
	bool signed_by[SYC_SIGNERS_MAX]; /* by the signers' places */
};

/*
 * Parses a signed envelope. `trusted` are the operators' keys from the
 * settings. Returns NULL and writes a message with the line into `err` when
 * the text, a value or a signature is wrong. The caller owns a reference.
 */
struct syc_bundle *syc_bundle_parse(struct syc_bytes envelope,
				    const struct syc_signer *trusted,
				    size_t n_trusted, char *err, size_t errlen);

/* Parses without looking at signatures, to check a draft. */
struct syc_bundle *syc_bundle_parse_draft(struct syc_bytes text, char *err,
					  size_t errlen);

/*
 * Whether `next` may take the place of `cur`, which may be NULL: a higher
 * version with at least as many good signatures as `cur` demands. Otherwise
 * returns false with a message.
 */
bool syc_bundle_can_replace(const struct syc_bundle *cur,
			    const struct syc_bundle *next, char *err,
			    size_t errlen);

/*
 * Whether enough operators whom `cur` names have signed `next`. Operators'
 * tools demand this of a roll; an instance that missed a version cannot.
 */
bool syc_bundle_meets_signoffs(const struct syc_bundle *cur,
			       const struct syc_bundle *next);

/* Bytes of `envelope` that are signed: all before its signatures. */
size_t syc_bundle_signed_len(struct syc_bytes envelope);

/*
 * Signs the signed part of `envelope` with an ed25519 key made from `seed`
 * of SYC_SEED_LEN bytes.
 */
void syc_bundle_sign(struct syc_bytes envelope, const uint8_t *seed,
		     uint8_t sig[SYC_SIGNATURE_LEN]);

/* The public key that belongs to `seed`. */
void syc_bundle_public_key(const uint8_t *seed,
			   uint8_t key[SYC_PUBLIC_KEY_LEN]);

/* The hash by which a bundle knows bearer token `token`. */
void syc_bundle_token_hash(const char *token, uint8_t hash[SYC_DIGEST_LEN]);

struct syc_bundle *syc_bundle_ref(struct syc_bundle *b);
void syc_bundle_unref(struct syc_bundle *b);

/* Lookups by name; NULL when there is none. */
const struct syc_service *syc_bundle_service(const struct syc_bundle *b,
					     const char *name);
const struct syc_caller *syc_bundle_caller(const struct syc_bundle *b,
					   const char *name);
const struct syc_kind *syc_bundle_kind(const struct syc_bundle *b,
				       const char *name);

/* The caller who holds bearer token `token`; NULL when there is none. */
const struct syc_caller *syc_bundle_caller_by_token(const struct syc_bundle *b,
						    const char *token);

#endif
