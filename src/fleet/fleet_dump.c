/* Shows the state of a fleet to operators, as counts and as JSON. */
#include <jansson.h>
#include <stdlib.h>

#include "fleet/fleet_state.h"

void fleet_get_counts(const struct fleet *f, struct fleet_counts *counts)
{
	size_t i;

	*counts = (struct fleet_counts){
		.members = f->map.n_members,
		.is_member = fleet_map_find(&f->map, f->opt.self.id) != NULL,
		.capacity = f->opt.capacity,
	};
	for (i = 0; i < f->n_peers; i++)
		counts->links += f->peers[i].link_up;
}

/* What is known of evacuations; null: it is not known, or not in use. */
static json_t *dump_evacuations(const struct fleet *f)
{
	struct fleet_evacuations e;
	json_t *list;
	size_t i;

	fleet_get_evacuations(f->whole, &e);
	if (!e.is_known)
		return json_null();
	list = json_array();
	for (i = 0; i < e.domains.n; i++)
		json_array_append_new(list, json_string(e.domains.names[i]));
	return json_pack("{s:I, s:o}", "age_ms", (json_int_t)e.age_ms,
			 "domains", list);
}

char *fleet_dump(const struct fleet *f, int64_t now)
{
	json_t *root, *peers = json_array(), *drive;
	char *text = drive_dump(f->drive, now);
	size_t i;

	drive = json_loads(text, 0, NULL);
	free(text);
	for (i = 0; i < f->n_peers; i++) {
		const struct fleet_peer *p = &f->peers[i];

		json_array_append_new(
			peers,
			json_pack("{s:s, s:I, s:b, s:I, s:I, s:b}", "name",
				  p->instance.name, "id",
				  (json_int_t)p->instance.id, "up", p->link_up,
				  "heard_ms",
				  (json_int_t)(p->heartbeat_at
						       ? now - p->heartbeat_at
						       : -1),
				  "uptime_ms", (json_int_t)p->uptime_ms,
				  "leaving", p->leaving));
	}
	root = json_pack(
		"{s:I, s:I, s:I, s:b, s:i, s:b, s:i, s:I, s:I, s:I, "
		"s:o, s:o, s:o}",
		"id", (json_int_t)f->opt.self.id, "driver",
		(json_int_t)f->driver, "epoch", (json_int_t)f->epoch,
		"store_away", f->store_unreachable, "members",
		(int)f->map.n_members, "is_member",
		fleet_map_find(&f->map, f->opt.self.id) != NULL, "jobs",
		(int)fleet_open_jobs(f), "config_version",
		(json_int_t)f->whole->config_version, "config_age_ms",
		(json_int_t)key_watch_age_ms(&f->whole->config_watch, now),
		"map_age_ms", (json_int_t)key_watch_age_ms(&f->map_watch, now),
		"evacuated", dump_evacuations(f), "peers", peers, "drive",
		drive);
	text = json_dumps(root, JSON_INDENT(1));
	json_decref(root);
	return text;
}
