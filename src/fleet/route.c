#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "fleet/route.h"

/* A Host header may carry a port. */
static bool host_matches(const char *header, const char *host)
{
	size_t n = strlen(host);

	return !strncasecmp(header, host, n) &&
	       (!header[n] || header[n] == ':');
}

const struct fleet_route *fleet_route_find(const struct fleet_routes *routes,
					   const char *host, const char *path)
{
	const struct fleet_route *r, *best = NULL;
	size_t i, n, best_len = 0;

	for (i = 0; i < routes->n; i++) {
		r = &routes->list[i];
		n = strlen(r->prefix);
		if (n > best_len && host_matches(host, r->host) &&
		    !strncmp(path, r->prefix, n)) {
			best = r;
			best_len = n;
		}
	}
	return best;
}

void fleet_routes_free(struct fleet_routes *routes)
{
	free(routes->list);
	*routes = (struct fleet_routes){0};
}
