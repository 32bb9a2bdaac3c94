/* Parts of the bundle's reader. docs/BUNDLE.md describes the envelope. */
#ifndef STATE_BUNDLE_TEXT_H
#define STATE_BUNDLE_TEXT_H

#include "sycamoreshore/bundle.h"
#include "util/ini_text.h"

enum {
	BUNDLE_DOMAINS_MAX = 64,
	BUNDLE_SERVICES_MAX = 64,
	BUNDLE_CALLERS_MAX = 1024,
	BUNDLE_KINDS_MAX = 512
};

/* The line after the signed text; the signatures follow it. */
#define BUNDLE_SIGNATURES_LINE "[signatures]\n"

/* Reads the signed text into the empty `b` and checks it. */
bool bundle_text_read(struct syc_bundle *b, struct syc_bytes text,
		      struct ini_pos *pos);

/*
 * Checks the signatures that follow the `signed_len` bytes of signed text
 * against the signoffs that `b` needs and counts the valid ones in `b`.
 */
bool bundle_signatures_check(struct syc_bundle *b, struct syc_bytes envelope,
			     size_t signed_len,
			     const struct syc_signer *trusted, size_t n_trusted,
			     struct ini_pos *pos);

#endif
