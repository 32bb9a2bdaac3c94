#include <math.h>

#include "policy/start_rate.h"

/* A start counts less by e after this time. */
static const double window_ms = 500;

static double decay_since(const struct start_rate *r, int64_t now)
{
	return exp(-(double)(now - r->at) / window_ms);
}

void start_rate_add(struct start_rate *r, int64_t now, uint32_t cpu_milli,
		    double run_ms)
{
	double decay = decay_since(r, now);

	r->cpu_milli = r->cpu_milli * decay + cpu_milli;
	r->cpu_milli_ms = r->cpu_milli_ms * decay + cpu_milli * run_ms;
	r->at = now;
}

struct room_surge start_rate_surge(const struct start_rate *r, int64_t now)
{
	struct room_surge s = {.now = now};

	if (r->cpu_milli <= 0)
		return s;
	s.cpu_milli_per_ms = r->cpu_milli * decay_since(r, now) / window_ms;
	s.run_ms = r->cpu_milli_ms / r->cpu_milli;
	return s;
}
