/* The store of the platform's stand-in: keys, ranges, watches and writes. */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "platform/names.h"
#include "util/alloc.h"
#include "util/buf.h"

enum { PAGE_BYTES = 1000000 /* of the values in one page, as base64 */ };

static struct fleet_item *find_item(struct fleet_platform *p, const char *key)
{
	size_t i;

	for (i = 0; i < p->n_items; i++)
		if (!strcmp(p->items[i].key, key))
			return &p->items[i];
	return NULL;
}

static uint64_t revision_of(struct fleet_platform *p, const char *key)
{
	const struct fleet_item *item = find_item(p, key);

	return item ? item->revision : 0;
}

static void put_item(struct fleet_platform *p, const char *key,
		     const char *value)
{
	struct fleet_item *item = find_item(p, key);

	if (!item && p->n_items == FLEET_KEYS_MAX)
		return;
	if (!item) {
		item = &p->items[p->n_items++];
		copy_text(item->key, sizeof(item->key), key);
	}
	free(item->value);
	item->value = xstrdup(value);
	item->revision = ++p->revision;
}

void fleet_store_remove(struct fleet_platform *p, const char *key)
{
	struct fleet_item *item = find_item(p, key);
	struct fleet_removed *removed;

	if (!item)
		return;
	removed = &p->removed[p->n_removed++ % FLEET_REMOVED_MAX];
	copy_text(removed->key, sizeof(removed->key), key);
	removed->revision = p->revision + 1;
	free(item->value);
	*item = p->items[--p->n_items];
	p->items[p->n_items].value = NULL;
	p->revision++;
}

void fleet_store_put(struct fleet_platform *p, const char *key,
		     const char *text)
{
	size_t n = strlen(text);
	size_t size = sodium_base64_ENCODED_LEN(n,
						sodium_base64_VARIANT_ORIGINAL);
	char *value = xcalloc(1, size);

	sodium_bin2base64(value, size, (const unsigned char *)text, n,
			  sodium_base64_VARIANT_ORIGINAL);
	put_item(p, key, value);
	free(value);
}

static json_t *item_json(const struct fleet_platform *p,
			 const struct fleet_item *item)
{
	return json_pack("{s:s, s:s, s:I, s:I}", ITEM_KEY, item->key,
			 ITEM_VALUE, item->value, ITEM_REVISION,
			 (json_int_t)item->revision, STORE_REVISION,
			 (json_int_t)p->revision);
}

static void get_key(struct fleet_platform *p, uint64_t id, const char *key)
{
	const struct fleet_item *item = key ? find_item(p, key) : NULL;

	fleet_reply(p->store, id, item ? 200 : 404,
		    item ? item_json(p, item) : json_object());
}

static json_t *items_json(const struct fleet_platform *p, const char *prefix,
			  uint64_t after)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < p->n_items; i++)
		if (!strncmp(p->items[i].key, prefix, strlen(prefix)) &&
		    p->items[i].revision > after)
			json_array_append_new(list, item_json(p, &p->items[i]));
	return list;
}

/* The item with the least key that begins with `prefix` and is after `key`. */
static const struct fleet_item *next_item(const struct fleet_platform *p,
					  const char *prefix, const char *key)
{
	const struct fleet_item *item, *next = NULL;
	size_t i;

	for (i = 0; i < p->n_items; i++) {
		item = &p->items[i];
		if (!strncmp(item->key, prefix, strlen(prefix)) &&
		    strcmp(item->key, key) > 0 &&
		    (!next || strcmp(item->key, next->key) < 0))
			next = item;
	}
	return next;
}

/* A page ends after about PAGE_BYTES of values. */
static void get_range(struct fleet_platform *p, uint64_t id, const char *prefix,
		      const char *after)
{
	const struct fleet_item *item = next_item(p, prefix, after);
	json_t *list = json_array();
	size_t bytes = 0;

	for (; item && bytes < PAGE_BYTES; item = next_item(p, prefix, after)) {
		json_array_append_new(list, item_json(p, item));
		bytes += strlen(item->value);
		after = item->key;
	}
	fleet_reply(p->store, id, 200,
		    json_pack("{s:o, s:b, s:I}", RANGE_ITEMS, list, RANGE_MORE,
			      item != NULL, STORE_REVISION,
			      (json_int_t)p->revision));
}

/* The events after a revision: items as they are now, and removals. */
static json_t *events_json(const struct fleet_platform *p, const char *prefix,
			   uint64_t after)
{
	json_t *list = items_json(p, prefix, after);
	const struct fleet_removed *r;
	size_t i;

	for (i = 0; i < p->n_removed && i < FLEET_REMOVED_MAX; i++) {
		r = &p->removed[i];
		if (r->revision > after &&
		    !strncmp(r->key, prefix, strlen(prefix)))
			json_array_append_new(
				list, json_pack("{s:s, s:I, s:b}", ITEM_KEY,
						r->key, ITEM_REVISION,
						(json_int_t)r->revision,
						ITEM_DELETED, 1));
	}
	return list;
}

bool fleet_is_evacuated(struct fleet_platform *p, size_t domain)
{
	char key[64];

	snprintf(key, sizeof(key), STORE_EVACUATIONS_PREFIX "d%zu", domain);
	return find_item(p, key) != NULL;
}

static void set_evacuation(struct fleet_platform *p, const char *domain,
			   bool evacuated)
{
	char key[64];

	snprintf(key, sizeof(key), STORE_EVACUATIONS_PREFIX "%s", domain);
	if (evacuated)
		fleet_store_put(p, key, "{}");
	else
		fleet_store_remove(p, key);
}

static void add_watch(struct fleet_platform *p, uint64_t id,
		      const struct http_request *req)
{
	const char *prefix = http_query(req, "prefix");
	const char *after = http_query(req, "after");
	const char *wait = http_query(req, "waitMs");
	size_t i;

	for (i = 0; i < FLEET_WATCHES_MAX; i++) {
		struct fleet_watch *w = &p->watches[i];

		if (w->request)
			continue;
		w->request = id;
		copy_text(w->prefix, sizeof(w->prefix), prefix ? prefix : "");
		w->after_revision = after ? strtoull(after, NULL, 10) : 0;
		w->deadline = ev_now(p->loop) +
			      (wait ? strtod(wait, NULL) / 1000 : 0);
		return;
	}
	fleet_reply(p->store, id, 429, json_object());
}

static bool are_conditions_met(struct fleet_platform *p, const json_t *body)
{
	const json_t *row, *list = json_object_get(body, WRITE_CONDITIONS);
	const char *key;
	size_t i;

	json_array_foreach(list, i, row)
	{
		key = json_string_value(json_object_get(row, ITEM_KEY));
		if (!key ||
		    revision_of(p, key) !=
			    (uint64_t)json_integer_value(
				    json_object_get(row, ITEM_REVISION)))
			return false;
	}
	return true;
}

static void write_keys(struct fleet_platform *p, uint64_t id,
		       struct syc_bytes text)
{
	json_t *body = json_loadb(text.p ? text.p : "", text.n, 0, NULL);
	const json_t *row, *puts = json_object_get(body, WRITE_PUTS);
	size_t i;

	if (!body || !are_conditions_met(p, body)) {
		fleet_reply(p->store, id, body ? 412 : 400, json_object());
		json_decref(body);
		return;
	}
	json_array_foreach(puts, i, row)
		put_item(p, json_string_value(json_object_get(row, ITEM_KEY)),
			 json_string_value(json_object_get(row, ITEM_VALUE)));
	fleet_reply(
		p->store, id, 200,
		json_pack("{s:I}", WRITE_REVISION, (json_int_t)p->revision));
	json_decref(body);
}

static void reply_counts(struct fleet_platform *p, uint64_t id)
{
	fleet_reply(p->store, id, 200,
		    json_pack("{s:i, s:i, s:i, s:i, s:i, s:i, s:i}",
			      "late_orders", (int)p->late_orders,
			      "evacuated_starts", (int)p->evacuated_starts,
			      "starts", (int)p->starts, "done", (int)p->done,
			      "twice", (int)p->concurrent_starts,
			      "twice_in_domain",
			      (int)p->concurrent_starts_in_domain,
			      "over_budget", (int)p->starts_over_budget));
}

static void reply_job(struct fleet_platform *p, uint64_t id, const char *job)
{
	static const struct fleet_job none;
	const struct fleet_job *j = &none;
	uint64_t place;

	if (job &&
	    index_get(&p->job_ids, index_hash_bytes(job, strlen(job)), &place))
		j = &p->jobs[place];
	fleet_reply(p->store, id, 200,
		    json_pack("{s:i, s:i, s:i}", "starts", (int)j->starts,
			      "done", __builtin_popcountll(j->done), "crashes",
			      (int)fleet_most_crashes(j)));
}

static void set_knobs(struct fleet_platform *p, uint64_t id,
		      const struct http_request *req)
{
	const char *down = http_query(req, "down");
	const char *silent = http_query(req, "silent");
	const char *deaf = http_query(req, "deaf");
	const char *config = http_query(req, "config");
	const char *run_ms = http_query(req, "run_ms");
	const char *late = http_query(req, "late_percent");
	const char *late_stops = http_query(req, "late_stops_percent");
	const char *evacuate = http_query(req, "evacuate");
	const char *evacuate_end = http_query(req, "evacuate_end");

	if (down)
		p->down = *down == '1';
	if (silent)
		p->silent = *silent == '1';
	if (deaf)
		p->deaf = *deaf == '1';
	if (config)
		fleet_put_config(p, strtol(config, NULL, 10));
	if (evacuate)
		set_evacuation(p, evacuate, true);
	if (evacuate_end)
		set_evacuation(p, evacuate_end, false);
	if (late)
		p->late_percent = (unsigned)strtoul(late, NULL, 10);
	if (late_stops)
		p->late_stops_percent = (unsigned)strtoul(late_stops, NULL, 10);
	if (run_ms)
		p->run_ms = (int)strtol(run_ms, NULL, 10);
	fleet_reply(p->store, id, 200, json_object());
}

static const char *query_or_empty(const struct http_request *req,
				  const char *name)
{
	const char *text = http_query(req, name);

	return text ? text : "";
}

/*
 * Puts any text under any key, as another writer may: the body, and then as many
 * bytes as `more` says. Removes the key if there is neither.
 */
static void put_entry(struct fleet_platform *p, uint64_t id,
		      const struct http_request *req)
{
	const char *key = query_or_empty(req, "key");
	size_t more = strtoul(query_or_empty(req, "more"), NULL, 10);
	auto_buf struct buf text = {0};
	char *padding = xcalloc(1, more + 1);

	memset(padding, 'x', more);
	buf_add(&text, req->body.p, req->body.n);
	buf_add(&text, padding, more);
	free(padding);
	if (text.len)
		fleet_store_put(p, key, text.data);
	else
		fleet_store_remove(p, key);
	fleet_reply(p->store, id, 200, json_object());
}

void fleet_store_request(void *ctx, uint64_t id, const struct http_request *req)
{
	struct fleet_platform *p = ctx;

	if (!strcmp(req->path, "/standin/knobs"))
		set_knobs(p, id, req);
	else if (!strcmp(req->path, "/standin/counts"))
		reply_counts(p, id);
	else if (!strcmp(req->path, "/standin/entry"))
		put_entry(p, id, req);
	else if (!strcmp(req->path, "/standin/job"))
		reply_job(p, id, http_query(req, "id"));
	else if (p->silent)
		return;
	else if (p->down)
		fleet_reply(p->store, id, 503, json_object());
	else if (!strcmp(req->path, STORE_KEY_PATH))
		get_key(p, id, http_query(req, "key"));
	else if (!strcmp(req->path, STORE_RANGE_PATH))
		get_range(p, id, query_or_empty(req, "prefix"),
			  query_or_empty(req, "after"));
	else if (!strcmp(req->path, STORE_WATCH_PATH))
		add_watch(p, id, req);
	else if (!strcmp(req->path, STORE_WRITE_PATH))
		write_keys(p, id, req->body);
	else
		fleet_reply(p->store, id, 404, json_object());
}

void fleet_store_client_gone(void *ctx, uint64_t id)
{
	struct fleet_platform *p = ctx;
	size_t i;

	for (i = 0; i < FLEET_WATCHES_MAX; i++)
		if (p->watches[i].request == id)
			p->watches[i].request = 0;
}

static void answer_watch_if_due(struct fleet_platform *p, struct fleet_watch *w)
{
	json_t *events;
	uint64_t id = w->request;

	if (!id)
		return;
	events = p->deaf ? json_array()
			 : events_json(p, w->prefix, w->after_revision);
	if (!json_array_size(events) && ev_now(p->loop) < w->deadline) {
		json_decref(events);
		return;
	}
	w->request = 0;
	if (p->silent) {
		json_decref(events);
		return;
	}
	fleet_reply(p->store, id, 200,
		    json_pack("{s:o, s:I}", WATCH_EVENTS, events,
			      STORE_REVISION, (json_int_t)p->revision));
}

void fleet_store_tick(struct fleet_platform *p)
{
	size_t i;

	for (i = 0; i < FLEET_WATCHES_MAX; i++)
		answer_watch_if_due(p, &p->watches[i]);
}
