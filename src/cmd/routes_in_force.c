#include "cmd/routes_in_force.h"
#include "platform/config.h"
#include "util/log.h"

uint64_t routes_in_force_offer(struct fleet_routes *routes,
			       struct syc_bytes text, const char *from)
{
	struct fleet_routes next;
	const char *why;
	size_t skipped;

	if (!platform_config_read(text, &next, &skipped, &why)) {
		log_warn("config_unreadable", LOG_S("from", from),
			 LOG_S("why", why));
		return 0;
	}
	if (next.version <= routes->version) {
		fleet_routes_free(&next);
		return 0;
	}
	log_info("config_in_force", LOG_U("version", next.version),
		 LOG_U("old_version", routes->version), LOG_U("routes", next.n),
		 LOG_U("skipped", skipped), LOG_S("from", from));
	fleet_routes_free(routes);
	*routes = next;
	return routes->version;
}
