/*
 * Counts of durations in fixed buckets, from 1 ms to 3 s, shown in the
 * Prometheus text format in seconds.
 */
#ifndef UTIL_HISTOGRAM_H
#define UTIL_HISTOGRAM_H

#include <stdint.h>

#include "util/buf.h"

enum { HISTOGRAM_BUCKETS = 14 };

struct histogram {
	uint64_t counts[HISTOGRAM_BUCKETS + 1]; /* the last: longer ones */
	uint64_t sum_ms;
};

void histogram_add(struct histogram *h, int64_t ms);

/* `labels` is the inside of the braces, or NULL. */
void histogram_render(const struct histogram *h, const char *name,
		      const char *help, const char *labels, struct buf *out);

#endif
