/* State and ledger of the instance as JSON. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/core_internal.h"
#include "util/alloc.h"
#include "util/cleanup.h"

/* Parses the JSON `text`, stores it under `name` and frees `text`. */
static void put_json_text(json_t *root, const char *name, char *text)
{
	json_t *part = json_loads(text, 0, NULL);

	json_object_set_new(root, name, part ? part : json_null());
	free(text);
}

static void put_id(json_t *obj, const char *name, uint64_t id)
{
	char text[17];

	snprintf(text, sizeof(text), "%016" PRIx64, id);
	json_object_set_new(obj, name, json_string(text));
}

static json_t *instance_json(const struct syc_instance *inst)
{
	json_t *o = json_object();

	put_id(o, "id", inst->id);
	json_object_set_new(o, "name", json_string(inst->name));
	json_object_set_new(o, "domain", json_string(inst->domain));
	json_object_set_new(o, "rack", json_string(inst->rack));
	return o;
}

static json_t *peers_json(const struct syc_core *core)
{
	json_t *a = json_array();
	const struct peer *p;
	uint64_t handle;
	uint32_t pos = 0;

	while ((p = table_next(&core->peers, &pos, &handle)))
		if (p->up)
			json_array_append_new(a, instance_json(&p->instance));
	return a;
}

static json_t *summary_json(const struct syc_core *core)
{
	const struct syc_bundle *b = syc_core_bundle(core);
	json_t *o = json_object();
	const char *why;

	json_object_set_new(o, "instance", instance_json(&core->opt.self));
	json_object_set_new(o, "bundle_version",
			    json_integer(b ? (json_int_t)b->version : 0));
	json_object_set_new(o, "ready",
			    json_boolean(syc_core_ready(core, &why)));
	json_object_set_new(o, "why", json_string(why));
	json_object_set_new(o, "stopping", json_boolean(core->stop_at != 0));
	return o;
}

char *syc_core_dump(const struct syc_core *core, int64_t now)
{
	json_t *o = summary_json(core);
	char *text;

	json_object_set_new(o, "peers", peers_json(core));
	json_object_set_new(o, "runs", json_integer(core->submissions.used));
	json_object_set_new(o, "forwards", json_integer(core->forwards.used));
	json_object_set_new(o, "replay_bytes",
			    json_integer((json_int_t)core->answer_cache.bytes));
	put_json_text(o, "coordination", syc_coord_dump(core->coord, now));
	put_json_text(o, "dispatch", syc_dispatch_dump(core->dispatch, now));
	text = json_dumps(o, JSON_INDENT(1));
	json_decref(o);
	return text;
}

char *syc_core_ledger(const struct syc_core *core, int64_t now)
{
	auto_free char *entries = syc_dispatch_ledger(core->dispatch, now);
	json_t *o = json_loads(entries, 0, NULL);
	json_t *summary = summary_json(core);
	char *text;

	json_object_update(o, summary);
	json_decref(summary);
	json_object_set_new(o, "stopped_cleanly",
			    json_boolean(core_is_drained(core)));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}
