/* The dispatcher's ledger and state as JSON text. */
#include <jansson.h>

#include "state/dispatch_state.h"

static char *write_text(json_t *o)
{
	char *text = json_dumps(o, JSON_INDENT(1) | JSON_SORT_KEYS);

	json_decref(o);
	return text;
}

static void set_u64(json_t *o, const char *name, uint64_t v)
{
	json_object_set_new(o, name, json_integer((json_int_t)v));
}

char *syc_dispatch_ledger(const struct syc_dispatch *d, int64_t now)
{
	json_t *root = json_object();
	json_t *entries = json_array();
	const struct pool *p;
	const struct flow *f;
	uint32_t pos = 0;
	uint64_t h;

	while ((p = table_next(&d->pool_table, &pos, &h)))
		for (f = p->flows; f; f = f->next)
			ledger_append_json(&f->ledger, f->caller->conf.name,
					   p->conf.name, entries);
	json_object_set_new(
		root, "instance",
		json_sprintf("%016llx", (unsigned long long)d->opt.self));
	json_object_set_new(root, "domain", json_string(d->opt.domain));
	set_u64(root, "refused_without_service", d->refused_without_service);
	json_object_set_new(root, "entries", entries);
	return write_text(root);
}

static json_t *flow_json(const struct flow *f)
{
	json_t *o = json_object();

	json_object_set_new(o, "caller", json_string(f->caller->conf.name));
	set_u64(o, "share", f->caller->conf.share);
	set_u64(o, "waiting_tasks", f->waiting_tasks);
	set_u64(o, "waiting_slot_ms", (uint64_t)f->waiting_slot_ms);
	set_u64(o, "running_slots", f->running_slots);
	set_u64(o, "granted_slots", f->granted_slots);
	set_u64(o, "wanted_elsewhere", f->demanded_tasks);
	return o;
}

static const char *target_state_name(const struct target *t)
{
	static const char *const names[] = {"up", "backoff", "ejected",
					    "probe"};

	if (!t->is_listed)
		return "unlisted";
	if (t->conf.leaving)
		return "leaving";
	if (t->is_owned && t->uncertain_until)
		return "unsure";
	return names[t->state];
}

static json_t *target_json(const struct target *t)
{
	json_t *o = json_object();

	json_object_set_new(o, "name", json_string(t->conf.name));
	json_object_set_new(o, "state", json_string(target_state_name(t)));
	json_object_set_new(o, "owned", json_boolean(t->is_owned));
	set_u64(o, "slots", t->slots);
	set_u64(o, "used", t->used_slots);
	set_u64(o, "granted", t->granted_slots);
	set_u64(o, "held", t->n_held);
	set_u64(o, "sends", t->n_sends);
	set_u64(o, "free", t->free_slots);
	return o;
}

static json_t *pool_json(const struct pool *p)
{
	json_t *o = json_object();
	json_t *flows = json_array();
	json_t *targets = json_array();
	const struct flow *f;
	const struct target *t;
	uint32_t pos = 0;
	uint64_t h;

	json_object_set_new(o, "service", json_string(p->conf.name));
	set_u64(o, "targets_listed", p->n_listed);
	set_u64(o, "slots_free", p->slots_free);
	set_u64(o, "slots_used", p->slots_used);
	set_u64(o, "slots_own", p->slots_owned);
	set_u64(o, "targets_ejected", p->n_ejected);
	set_u64(o, "targets_unsure", p->n_uncertain);
	set_u64(o, "waiting_tasks", p->waiting_tasks);
	for (f = p->flows; f; f = f->next)
		json_array_append_new(flows, flow_json(f));
	while ((t = table_next(&p->targets, &pos, &h)))
		json_array_append_new(targets, target_json(t));
	json_object_set_new(o, "callers", flows);
	json_object_set_new(o, "targets", targets);
	return o;
}

static json_t *kind_json(const struct kind *k)
{
	json_t *o = json_object();

	json_object_set_new(o, "kind", json_string(k->conf.name));
	set_u64(o, "samples", k->n_samples);
	set_u64(o, "estimate_ms", estimate_ms(k, 0));
	return o;
}

char *syc_dispatch_dump(const struct syc_dispatch *d, int64_t now)
{
	json_t *root = json_object();
	json_t *pools = json_array();
	json_t *kinds = json_array();
	const struct pool *p;
	const struct kind *k;
	uint32_t pos = 0;
	uint64_t h;

	while ((p = table_next(&d->pool_table, &pos, &h)))
		json_array_append_new(pools, pool_json(p));
	for (pos = 0; (k = table_next(&d->kind_table, &pos, &h));)
		json_array_append_new(kinds, kind_json(k));
	set_u64(root, "bundle", d->bundle ? d->bundle->version : 0);
	json_object_set_new(root, "draining", json_boolean(d->is_draining));
	set_u64(root, "jobs", d->jobs.used);
	set_u64(root, "sends", d->sends.used);
	set_u64(root, "peer_messages", d->messages_sent);
	set_u64(root, "peer_message_bytes", d->message_bytes_sent);
	set_u64(root, "waiting_tasks", d->waiting_tasks);
	json_object_set_new(root, "services", pools);
	json_object_set_new(root, "kinds", kinds);
	return write_text(root);
}
