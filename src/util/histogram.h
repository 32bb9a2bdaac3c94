/*
 * Counts of durations in fixed buckets from 1 ms to 3 s, written in the
 * Prometheus text format in seconds.
 */
#ifndef UTIL_HISTOGRAM_H
#define UTIL_HISTOGRAM_H

#include <stdint.h>

#include "util/buf.h"

enum { HISTOGRAM_BUCKETS = 14 };

struct histogram {
	uint64_t counts[HISTOGRAM_BUCKETS + 1]; /* the last one: over 3 s */
	uint64_t sum_ms;
};

void histogram_add(struct histogram *h, int64_t ms);

/*
 * Writes the HELP and TYPE lines if `help` is given, then the samples. `labels`
 * is the text between the braces, or NULL.
 */
void histogram_render(const struct histogram *h, const char *name,
		      const char *help, const char *labels, struct buf *out);

#endif
