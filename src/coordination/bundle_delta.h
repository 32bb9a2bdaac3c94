/*
 * A change of a bundle as pieces of the old text and new lines between
 * them. The result is checked like any other envelope, so a delta need not
 * be trusted.
 */
#ifndef COORDINATION_BUNDLE_DELTA_H
#define COORDINATION_BUNDLE_DELTA_H

#include "protocol/wire.h"
#include "util/buf.h"

enum { BUNDLE_DELTA_STEPS_MAX = 1024 };

/* Copy `len` bytes of the base from `from`, then add `added`. */
struct bundle_delta_step {
	size_t from;
	size_t len;
	struct syc_bytes added; /* a view of the new text */
};

/*
 * Finds the steps from `base` to `next`; returns how many, or zero when
 * `max` are too few.
 */
size_t bundle_delta_compute(struct syc_bytes base, struct syc_bytes next,
			    struct bundle_delta_step *steps, size_t max);

/* Writes the steps as one field, and reads them, applying them to `base`. */
void bundle_delta_encode(struct wire_out *w,
			 const struct bundle_delta_step *steps, size_t n);
bool bundle_delta_apply(struct wire_in *w, struct syc_bytes base,
			struct buf *out, size_t out_max);

#endif
