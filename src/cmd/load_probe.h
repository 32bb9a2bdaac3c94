/* The clock of a load run, and the round-trip time to an entry. */
#ifndef CMD_LOAD_PROBE_H
#define CMD_LOAD_PROBE_H

#include "transport/http_client.h"

/* Returns the monotonic time in milliseconds, with a fraction. */
double load_now_ms(void);

/*
 * Measures the median time of a request that the entry answers without a
 * target, which is part of the ideal response time. Runs `loop` meanwhile.
 */
double load_round_trip_ms(struct ev_loop *loop, struct http_client *client,
			  const struct syc_addr *entry);

#endif
