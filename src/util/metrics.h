/*
 * Counters and gauges, written in the Prometheus text format (version 0.0.4).
 * A metric is looked up once and then changed through a pointer to its value,
 * which stays valid until metrics_free.
 */
#ifndef UTIL_METRICS_H
#define UTIL_METRICS_H

#include <stdint.h>

#include "util/buf.h"

enum metric_kind { METRIC_COUNTER, METRIC_GAUGE };

struct metric;

struct metrics {
	struct metric *first;
};

/*
 * Finds or adds a metric and returns a pointer to its value. `labels` is the
 * text between the braces, such as caller="a", or NULL. `name` and `help` must
 * remain valid until metrics_free.
 */
uint64_t *metrics_get(struct metrics *m, enum metric_kind kind,
		      const char *name, const char *help, const char *labels);
void metrics_render(const struct metrics *m, struct buf *out);
void metrics_free(struct metrics *m);

#endif
