/* The routes of a configuration: what a caller's host and path lead to. */
#ifndef FLEET_ROUTE_H
#define FLEET_ROUTE_H

#include "sycamoreshore/types.h"

enum { ROUTE_TEXT_MAX = 128 /* bytes with the terminator */ };

struct fleet_route {
	char name[ROUTE_TEXT_MAX];
	char host[ROUTE_TEXT_MAX];
	char prefix[ROUTE_TEXT_MAX];
	char service[SYC_NAME_MAX];
	uint32_t priority; /* zero comes first */
	uint32_t attempts_max;
	uint32_t objective_percent; /* of the run time ... */
	uint32_t objective_add_ms; /* ... and this: the latency objective */
	uint32_t timeout_ms;
};

struct fleet_routes {
	uint64_t version; /* zero: none yet */
	struct fleet_route *list;
	size_t n;
};

/* The route of `host` with the longest prefix of `path`, or NULL. */
const struct fleet_route *fleet_route_find(const struct fleet_routes *routes,
					   const char *host, const char *path);
void fleet_routes_free(struct fleet_routes *routes);

#endif
