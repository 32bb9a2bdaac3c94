/*
 * Keeps the workers that one route's tasks may crash at a time to a part of all,
 * so that callers of the other routes are served.
 */
#include "drive/drive_state.h"

enum {
	/* One of this many workers may be lost to one route. */
	WORKERS_PER_LOST = 3,
	/* The same while less than FREE_PERCENT of the capacity is free. */
	WORKERS_PER_LOST_BUSY = 8,
	FREE_PERCENT = 20
};

bool bulkhead_is_closed(const struct drive *d, const struct run_time *rt,
			int64_t now)
{
	struct drive_room room;
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0, n = 0, n_lost = 0;

	if (!run_time_is_risky(rt, now) ||
	    !run_times_has_other(&d->run_times, rt, now))
		return false;
	while ((w = table_next(&d->workers, &pos, &handle))) {
		n += w->listed;
		n_lost += w->lost_to == rt && w->refuses_since &&
			  !w->is_replaced &&
			  now - w->refuses_since < LOST_WORKER_COUNTS_MS;
	}
	if (n_lost && n_lost >= n / WORKERS_PER_LOST)
		return true;
	drive_get_room(d, now, &room);
	return n_lost && n_lost >= n / WORKERS_PER_LOST_BUSY &&
	       room.free_cpu_milli * 100 < room.cpu_milli * FREE_PERCENT;
}
