/*
 * A change of a bundle's text: ranges of the base text that are kept, with
 * new lines between them. The text that a delta yields is verified like any
 * other envelope, so the delta itself need not be trusted.
 */
#ifndef COORDINATION_BUNDLE_DELTA_H
#define COORDINATION_BUNDLE_DELTA_H

#include "protocol/wire.h"
#include "util/buf.h"

enum { BUNDLE_DELTA_STEPS_MAX = 1024 };

/* Copies `copy_len` bytes from `base_offset` on, then appends `added`. */
struct bundle_delta_step {
	size_t base_offset;
	size_t copy_len;
	struct syc_bytes added; /* points into the new text */
};

/*
 * Computes the steps that turn `base` into `next`. Returns their number, or
 * zero when more than `max` would be needed.
 */
size_t bundle_delta_compute(struct syc_bytes base, struct syc_bytes next,
			    struct bundle_delta_step *steps, size_t max);

/* Writes the steps as one wire field. */
void bundle_delta_encode(struct wire_out *w,
			 const struct bundle_delta_step *steps, size_t n);

/*
 * Reads the steps and appends the text that they make of `base` to `out`.
 * Returns false when a step reaches outside of the base or when the text
 * would be longer than `out_max` bytes.
 */
bool bundle_delta_apply(struct wire_in *w, struct syc_bytes base,
			struct buf *out, size_t out_max);

#endif
