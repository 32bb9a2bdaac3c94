/*
 * Bundles for tests. The operators a, b, c and d are signers of the bundle; d
 * is not trusted, and x is no signer. A capital letter stands for a signature
 * with a wrong key.
 */
#ifndef TEST_BUNDLE_FIXTURE_H
#define TEST_BUNDLE_FIXTURE_H

#include "sycamoreshore/bundle.h"
#include "util/buf.h"

enum { FIXTURE_TRUSTED = 3 }; /* operators */

extern struct syc_signer fixture_trusted[FIXTURE_TRUSTED];

/* Makes the keys; must be called first. */
void fixture_init(void);

/* Appends a draft that needs `signoffs` signatures. */
void fixture_add_draft(struct buf *out, unsigned long version,
		       unsigned signoffs);

/* Appends a signature of operator `name` made with key `key`. */
void fixture_add_signature(struct buf *envelope, const char *name, char key);

/* Appends a draft with a signature for each letter of `signers`. */
void fixture_add_signed(struct buf *envelope, unsigned long version,
			unsigned signoffs, const char *signers);

/* Parses with the trusted operators. `err` has 256 bytes. */
struct syc_bundle *fixture_parse(const struct buf *envelope, char *err);

#endif
