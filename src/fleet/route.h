/* The routes of a configuration, by the host and path of a request. */
#ifndef FLEET_ROUTE_H
#define FLEET_ROUTE_H

#include "sycamoreshore/types.h"

enum { ROUTE_TEXT_MAX = 128 /* bytes with the terminator */ };

struct fleet_route {
	char name[ROUTE_TEXT_MAX];
	char host[ROUTE_TEXT_MAX];
	char prefix[ROUTE_TEXT_MAX];
	char service[SYC_NAME_MAX];
	uint32_t priority; /* zero is the highest */
	uint32_t attempts_max;
	/* The objective: a percentage of the run time plus a fixed time. */
	uint32_t objective_percent;
	uint32_t objective_add_ms;
	uint32_t timeout_ms;
};

struct fleet_routes {
	uint64_t version; /* zero: none yet */
	struct fleet_route *list;
	size_t n;
};

/* The route of `host` with the longest prefix of `path`, or NULL if none. */
const struct fleet_route *fleet_route_find(const struct fleet_routes *routes,
					   const char *host, const char *path);
void fleet_routes_free(struct fleet_routes *routes);

#endif
