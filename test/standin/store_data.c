/* The content of the store stand-in: keys, registrations and snapshots. */
#include <stdlib.h>
#include <string.h>

#include "store.h"

static void value_free(struct store_value *v)
{
	free(v->data);
	*v = (struct store_value){0};
}

static void value_copy(struct store_value *to, const struct store_value *from)
{
	value_free(to);
	*to = *from;
	if (!from->data)
		return;
	to->data = malloc(from->len + 1);
	if (!to->data)
		abort();
	memcpy(to->data, from->data, from->len + 1);
}

struct store_key *store_key(struct store_data *d, const char *name)
{
	size_t i;

	for (i = 0; i < d->n_keys; i++)
		if (!strcmp(d->keys[i].name, name))
			return &d->keys[i];
	d->keys = realloc(d->keys, (d->n_keys + 1) * sizeof(*d->keys));
	if (!d->keys)
		abort();
	d->keys[d->n_keys] = (struct store_key){.name = strdup(name)};
	return &d->keys[d->n_keys++];
}

void store_set(struct store_data *d, struct store_key *k, const char *data,
	       size_t len)
{
	uint64_t created = k->current.data ? k->current.create_index
					   : ++d->index;

	value_copy(&k->previous, &k->current);
	value_free(&k->current);
	k->current.data = calloc(1, len + 1);
	if (!k->current.data)
		abort();
	if (len)
		memcpy(k->current.data, data, len);
	k->current.len = len;
	k->current.create_index = created;
	k->current.modify_index = ++d->index;
}

void store_unset(struct store_data *d, struct store_key *k)
{
	if (!k->current.data)
		return;
	value_copy(&k->previous, &k->current);
	value_free(&k->current);
	d->index++;
}

void store_snapshot(struct store_data *d)
{
	size_t i;

	for (i = 0; i < d->n_keys; i++)
		value_copy(&d->keys[i].snapshot, &d->keys[i].current);
}

void store_restore(struct store_data *d)
{
	size_t i;

	for (i = 0; i < d->n_keys; i++)
		value_copy(&d->keys[i].current, &d->keys[i].snapshot);
	d->index++;
}

static char *encode_base64(const char *data, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = malloc(len / 3 * 4 + 5), *p = out;
	unsigned char b[3];
	size_t i, n;

	if (!out)
		abort();
	for (i = 0; i < len; i += 3) {
		n = len - i < 3 ? len - i : 3;
		memset(b, 0, sizeof(b));
		memcpy(b, data + i, n);
		*p++ = digits[b[0] >> 2];
		*p++ = digits[(b[0] & 3) << 4 | b[1] >> 4];
		*p++ = n > 1 ? digits[(b[1] & 15) << 2 | b[2] >> 6] : '=';
		*p++ = n > 2 ? digits[b[2] & 63] : '=';
	}
	*p = '\0';
	return out;
}

json_t *store_key_json(const char *name, const struct store_value *v)
{
	char *text = encode_base64(v->data, v->len);
	json_t *doc = json_pack("{s:s, s:i, s:i, s:s, s:I, s:I}", "Key", name,
				"LockIndex", 0, "Flags", 0, "Value", text,
				"CreateIndex", (json_int_t)v->create_index,
				"ModifyIndex", (json_int_t)v->modify_index);

	free(text);
	return doc;
}

bool store_register(struct store_data *d, const char *body, size_t len)
{
	json_t *doc = json_loadb(body, len, 0, NULL);
	const char *name = json_string_value(json_object_get(doc, "Name"));
	const char *id = json_string_value(json_object_get(doc, "ID"));

	if (!name) {
		json_decref(doc);
		return false;
	}
	if (!d->services)
		d->services = json_object();
	json_object_set_new(d->services, id ? id : name, doc);
	d->services_index = ++d->index;
	return true;
}

bool store_deregister(struct store_data *d, const char *id)
{
	if (json_object_del(d->services, id))
		return false;
	d->services_index = ++d->index;
	return true;
}

bool store_set_maintenance(struct store_data *d, const char *id, bool enable)
{
	json_t *service = json_object_get(d->services, id);

	if (!service)
		return false;
	json_object_set_new(service, "Maintenance", json_boolean(enable));
	d->services_index = ++d->index;
	return true;
}

static json_t *checks_json(const char *id, const json_t *service)
{
	json_t *checks = json_pack("[{s:s, s:s}]", "CheckID", "serfHealth",
				   "Status", "passing");

	if (json_is_true(json_object_get(service, "Maintenance")))
		json_array_append_new(checks,
				      json_pack("{s:s+, s:s}", "CheckID",
						"_service_maintenance:", id,
						"Status", "critical"));
	return checks;
}

json_t *store_health_json(const struct store_data *d, const char *service)
{
	json_t *list = json_array(), *s;
	const char *id, *name;

	json_object_foreach(d->services, id, s)
	{
		name = json_string_value(json_object_get(s, "Name"));
		if (strcmp(name, service))
			continue;
		json_array_append_new(
			list,
			json_pack("{s:{s:s}, s:{s:s, s:s, s:O*, s:O*, s:O*}, "
				  "s:o}",
				  "Node", "Node", "standin", "Service", "ID",
				  id, "Service", name, "Address",
				  json_object_get(s, "Address"), "Port",
				  json_object_get(s, "Port"), "Meta",
				  json_object_get(s, "Meta"), "Checks",
				  checks_json(id, s)));
	}
	return list;
}
