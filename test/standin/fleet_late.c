/* Orders that workers leave unanswered and carry out 2 to 12 s later. */
#include <string.h>

#include "fleet.h"
#include "platform/names.h"
#include "util/alloc.h"

static const double late_min_s = 2;

enum { LATE_SPREAD_MS = 10000 };

static unsigned late_percent(const struct fleet_platform *p, const char *path)
{
	if (strcmp(path, CALL_STOP_PATH) ||
	    p->late_stops_percent < p->late_percent)
		return p->late_percent;
	return p->late_stops_percent;
}

bool fleet_late_keep(struct fleet_worker *w, const char *path,
		     const char *expected_instance, json_t *body)
{
	struct fleet_platform *p = w->platform;
	unsigned percent = late_percent(p, path);
	struct fleet_late_order *o;

	if (!percent || w->n_late == FLEET_LATE_MAX ||
	    rng_below(&p->rng, 100) >= percent)
		return false;
	p->late_orders++;
	o = &w->late[w->n_late++];
	o->due_at = ev_now(p->loop) + late_min_s +
		    (double)rng_below(&p->rng, LATE_SPREAD_MS) / 1000;
	copy_text(o->path, sizeof(o->path), path);
	copy_text(o->expected_instance, sizeof(o->expected_instance),
		  expected_instance ? expected_instance : w->name);
	o->body = json_incref(body);
	return true;
}

void fleet_late_tick(struct fleet_worker *w)
{
	struct fleet_late_order o;
	size_t i = 0;

	while (i < w->n_late) {
		if (ev_now(w->platform->loop) < w->late[i].due_at) {
			i++;
			continue;
		}
		o = w->late[i];
		w->late[i] = w->late[--w->n_late];
		/* A worker that is down, or has another id now, never gets it. */
		if (w->server && !strcmp(o.expected_instance, w->name))
			fleet_worker_carry_out(w, 0, o.path, o.body);
		json_decref(o.body);
	}
}
