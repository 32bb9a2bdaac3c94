/* The routes of the operator's configuration that is in force. */
#ifndef CMD_ROUTES_IN_FORCE_H
#define CMD_ROUTES_IN_FORCE_H

#include "fleet/route.h"

/*
 * Replaces `routes` by those of the configuration `text` if it is newer, and
 * returns its version; otherwise returns zero. `from` names its source in the
 * log.
 */
uint64_t routes_in_force_offer(struct fleet_routes *routes,
			       struct syc_bytes text, const char *from);

#endif
