/*
 * Bundles for tests. Operators a, b, c are trusted; d may sign too but is
 * not trusted; x may not sign. A capital letter signs wrongly.
 */
#ifndef TEST_BUNDLE_FIXTURE_H
#define TEST_BUNDLE_FIXTURE_H

#include "sycamoreshore/bundle.h"
#include "util/buf.h"

enum { FIXTURE_TRUSTED = 3 };

extern struct syc_signer fixture_trusted[FIXTURE_TRUSTED];

/* Call before the others. */
void fixture_init(void);

/* Appends a draft. */
void fixture_add_draft(struct buf *out, unsigned long version, unsigned needed);

/* Appends the signature that the holder of key `key` makes as `name`. */
void fixture_add_signature(struct buf *env, const char *name, char key);

/* Appends a draft signed by each letter of `signers`. */
void fixture_add_signed(struct buf *env, unsigned long version, unsigned needed,
			const char *signers);

/* Parses with the trusted operators; `err` has 256 bytes. */
struct syc_bundle *fixture_parse(const struct buf *env, char *err);

#endif
