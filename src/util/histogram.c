#include <inttypes.h>

#include "util/histogram.h"

static const int64_t bucket_limits_ms[HISTOGRAM_BUCKETS] = {
	1, 2, 5, 10, 20, 50, 100, 150, 200, 300, 500, 1000, 2000, 3000};

void histogram_add(struct histogram *h, int64_t ms)
{
	int i = 0;

	if (ms < 0)
		ms = 0;
	while (i < HISTOGRAM_BUCKETS && ms > bucket_limits_ms[i])
		i++;
	h->counts[i]++;
	h->sum_ms += (uint64_t)ms;
}

void histogram_render(const struct histogram *h, const char *name,
		      const char *help, const char *labels, struct buf *out)
{
	const char *comma = labels ? "," : "";
	uint64_t n = 0;
	int i;

	labels = labels ? labels : "";
	if (help)
		buf_printf(out, "# HELP %s %s\n# TYPE %s histogram\n", name,
			   help, name);
	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		n += h->counts[i];
		buf_printf(out, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n", name,
			   labels, comma, (double)bucket_limits_ms[i] / 1000,
			   n);
	}
	n += h->counts[HISTOGRAM_BUCKETS];
	buf_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", name,
		   labels, comma, n);
	buf_printf(out, "%s_sum{%s} %g\n", name, labels,
		   (double)h->sum_ms / 1000);
	buf_printf(out, "%s_count{%s} %" PRIu64 "\n", name, labels, n);
}
