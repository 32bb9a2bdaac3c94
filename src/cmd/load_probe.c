#include <time.h>

#include "cmd/load_probe.h"
#include "cmd/load_stats.h"

enum { PROBES = 100, PROBE_TIMEOUT_MS = 2000, PROBE_BODY_MAX = 4096 };

double load_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static void on_probe(void *arg, const struct http_answer *a)
{
	*(bool *)arg = true;
}

double load_round_trip_ms(struct ev_loop *loop, struct http_client *client,
			  const struct syc_addr *entry)
{
	struct http_call call = {
		.method = "GET",
		.addr = *entry,
		.path = "/v1/none",
		.timeout_ms = PROBE_TIMEOUT_MS,
		.body_max = PROBE_BODY_MAX,
	};
	struct samples trips = {0};
	double began_ms, median;
	bool done;
	int i;

	for (i = 0; i < PROBES; i++) {
		done = false;
		began_ms = load_now_ms();
		http_client_send(client, &call, on_probe, &done);
		while (!done)
			ev_run(loop, EVRUN_ONCE);
		samples_add(&trips, load_now_ms() - began_ms);
	}
	median = samples_quantile(&trips, 0.5);
	samples_free(&trips);
	return median;
}
