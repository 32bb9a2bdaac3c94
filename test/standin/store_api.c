/* The API of the store stand-in: handles each request. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store.h"

static void reply_text(struct store_request *r, unsigned status,
		       const char *text)
{
	store_reply(r, status, strdup(text), strlen(text));
}

static void reply_json(struct store_request *r, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	json_decref(doc);
	if (!text)
		abort();
	store_reply(r, 200, text, strlen(text));
}

/* Counts a call once, although a blocking query is handled repeatedly. */
static void count_once(struct store_request *r, uint64_t *counter)
{
	if (!r->is_counted)
		(*counter)++;
	r->is_counted = true;
}

/*
 * Returns whether a blocking query still has to wait for a change after
 * `index`.
 */
static bool must_wait(const struct store_request *r, uint64_t index)
{
	const char *known = store_query(r, "index");

	return known && !r->waited && strtoull(known, NULL, 10) == index;
}

static bool list_keys(struct store_request *r, const char *prefix)
{
	struct store_data *d = &r->store->data;
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < d->n_keys; i++) {
		const struct store_key *k = &d->keys[i];

		if (!k->current.data ||
		    strncmp(k->name, prefix, strlen(prefix)))
			continue;
		json_array_append_new(
			list, store_query(r, "keys")
				      ? json_string(k->name)
				      : store_key_json(k->name, &k->current));
	}
	r->index = d->index;
	if (json_array_size(list)) {
		reply_json(r, list);
		return true;
	}
	json_decref(list);
	reply_text(r, 404, "");
	return true;
}

static bool get_key(struct store_request *r, const char *name)
{
	struct store *s = r->store;
	struct store_key *k = store_key(&s->data, name);
	const struct store_value *v = s->knobs.stale ? &k->previous
						     : &k->current;

	count_once(r, store_query(r, "index") ? &s->counts.kv_watch
					      : &s->counts.kv_get);
	if (store_query(r, "recurse") || store_query(r, "keys"))
		return list_keys(r, name);
	r->index = v->data ? v->modify_index : s->data.index + 1;
	if (must_wait(r, r->index))
		return false;
	if (!v->data)
		reply_text(r, 404, "");
	else if (store_query(r, "raw"))
		store_reply(r, 200,
			    memcpy(malloc(v->len + 1), v->data, v->len + 1),
			    v->len);
	else
		reply_json(r, json_pack("[o]", store_key_json(name, v)));
	return true;
}

/*
 * Returns whether the request has no compare-and-swap index or the current one.
 */
static bool is_cas_met(const struct store_request *r, const struct store_key *k)
{
	const char *cas = store_query(r, "cas");
	uint64_t current_index = k->current.data ? k->current.modify_index : 0;

	return !cas || strtoull(cas, NULL, 10) == current_index;
}

static void lose_reply(struct store_request *r)
{
	struct store *s = r->store;

	if (s->knobs.lose_replies <= 0)
		return;
	s->knobs.lose_replies--;
	r->loses_reply = true;
}

static bool put_key(struct store_request *r, const char *name)
{
	struct store *s = r->store;
	struct store_key *k = store_key(&s->data, name);

	count_once(r, store_query(r, "cas") ? &s->counts.kv_cas
					    : &s->counts.kv_put);
	if (r->too_long) {
		reply_text(r, 413, "value too long\n");
		return true;
	}
	if (!is_cas_met(r, k)) {
		reply_text(r, 200, "false");
		return true;
	}
	store_set(&s->data, k, r->body, r->len);
	lose_reply(r);
	reply_text(r, 200, "true");
	store_wake(s);
	return true;
}

static bool delete_key(struct store_request *r, const char *name)
{
	struct store *s = r->store;
	struct store_key *k = store_key(&s->data, name);

	count_once(r, &s->counts.kv_delete);
	if (!is_cas_met(r, k)) {
		reply_text(r, 200, "false");
		return true;
	}
	store_unset(&s->data, k);
	lose_reply(r);
	reply_text(r, 200, "true");
	store_wake(s);
	return true;
}

static bool handle_key(struct store_request *r, const char *method,
		       const char *name)
{
	if (!strcmp(method, "GET"))
		return get_key(r, name);
	if (!strcmp(method, "PUT"))
		return put_key(r, name);
	if (!strcmp(method, "DELETE"))
		return delete_key(r, name);
	reply_text(r, 405, "");
	return true;
}

static bool handle_health(struct store_request *r, const char *service)
{
	struct store *s = r->store;

	count_once(r, store_query(r, "index") ? &s->counts.health_watch
					      : &s->counts.health);
	r->index = s->data.services_index + 1;
	if (must_wait(r, r->index))
		return false;
	reply_json(r, store_health_json(&s->data, service));
	return true;
}

static bool handle_agent(struct store_request *r, const char *path)
{
	struct store_data *d = &r->store->data;
	const char *enable = store_query(r, "enable");
	bool ok = false;

	count_once(r, &r->store->counts.agent);
	if (!strcmp(path, "register"))
		ok = store_register(d, r->body, r->len);
	else if (!strncmp(path, "deregister/", 11))
		ok = store_deregister(d, path + 11);
	else if (!strncmp(path, "maintenance/", 12))
		ok = store_set_maintenance(d, path + 12,
					   enable && !strcmp(enable, "true"));
	reply_text(r, ok ? 200 : 404, "");
	store_wake(r->store);
	return true;
}

static void reply_counts(struct store_request *r)
{
	const struct store_counts *c = &r->store->counts;

	reply_json(r, json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "kv_get",
				(json_int_t)c->kv_get, "kv_put",
				(json_int_t)c->kv_put, "kv_cas",
				(json_int_t)c->kv_cas, "kv_delete",
				(json_int_t)c->kv_delete, "kv_watch",
				(json_int_t)c->kv_watch, "health",
				(json_int_t)c->health, "health_watch",
				(json_int_t)c->health_watch, "agent",
				(json_int_t)c->agent));
}

static bool set_knob(struct store_request *r, const char *name, long *knob)
{
	const char *val = store_query(r, name);
	char *end;

	if (!val)
		return false;
	*knob = strtol(val, &end, 10);
	return *val && !*end;
}

static void set_knobs(struct store_request *r)
{
	struct store_knobs *k = &r->store->knobs;
	bool found = false;

	found |= set_knob(r, "down", &k->down);
	found |= set_knob(r, "slow_ms", &k->slow_ms);
	found |= set_knob(r, "lose_replies", &k->lose_replies);
	found |= set_knob(r, "stale", &k->stale);
	reply_text(r, found ? 200 : 400, found ? "" : "no such knob\n");
	store_wake(r->store);
}

static bool handle_control(struct store_request *r, const char *path)
{
	if (!strcmp(path, "counts"))
		reply_counts(r);
	else if (!strcmp(path, "knobs"))
		set_knobs(r);
	else if (!strcmp(path, "snapshot"))
		store_snapshot(&r->store->data);
	else if (!strcmp(path, "restore"))
		store_restore(&r->store->data);
	else
		reply_text(r, 404, "");
	if (!r->status)
		reply_text(r, 200, "");
	store_wake(r->store);
	return true;
}

bool store_answer(struct store_request *r, const char *method, const char *path)
{
	if (!strncmp(path, "/standin/", 9))
		return handle_control(r, path + 9);
	if (!strncmp(path, "/v1/kv/", 7))
		return handle_key(r, method, path + 7);
	if (!strncmp(path, "/v1/health/service/", 19))
		return handle_health(r, path + 19);
	if (!strncmp(path, "/v1/agent/service/", 18))
		return handle_agent(r, path + 18);
	reply_text(r, 404, "");
	return true;
}
