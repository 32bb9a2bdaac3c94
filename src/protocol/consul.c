#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/consul.h"
#include "protocol/json_items.h"
#include "util/alloc.h"

static void free_json(json_t **doc)
{
	json_decref(*doc);
}

#define auto_json __attribute__((cleanup(free_json)))

static json_t *parse_array(struct syc_bytes json)
{
	json_error_t err;
	json_t *doc = json_load_items(json, 1, JSON_ALLOW_NUL, &err);

	if (!doc) {
		protocol_fail(PROTOCOL_SYNTAX, "store: line %d: %s", err.line,
			      err.text);
		return NULL;
	}
	if (json_is_array(doc))
		return doc;
	json_decref(doc);
	protocol_fail(PROTOCOL_SYNTAX, "store: answer is not a JSON array");
	return NULL;
}

static enum protocol_status decode_value(const json_t *val, struct buf *out)
{
	const char *text = json_string_value(val);
	size_t len = json_string_length(val), n;
	auto_buf struct buf raw = {0};

	if (json_is_null(val))
		return PROTOCOL_OK;
	if (!text)
		return protocol_fail(PROTOCOL_TYPE,
				     "store: Value is not a string");
	buf_add(&raw, text, len);
	if (!len)
		return PROTOCOL_OK;
	if (sodium_base642bin((unsigned char *)raw.data, len, text, len, NULL,
			      &n, NULL, sodium_base64_VARIANT_ORIGINAL))
		return protocol_fail(PROTOCOL_SYNTAX,
				     "store: Value is not valid base64");
	buf_add(out, raw.data, n);
	return PROTOCOL_OK;
}

enum protocol_status consul_read_key(struct syc_bytes json, struct buf *value,
				     uint64_t *index)
{
	auto_json json_t *doc = parse_array(json);
	const json_t *entry, *modified;

	if (!doc)
		return PROTOCOL_SYNTAX;
	if (json_array_size(doc) != 1)
		return protocol_fail(PROTOCOL_SYNTAX,
				     "store: answer has %zu keys instead of 1",
				     json_array_size(doc));
	entry = json_array_get(doc, 0);
	modified = json_object_get(entry, "ModifyIndex");
	if (json_integer_value(modified) <= 0)
		return protocol_fail(
			PROTOCOL_TYPE,
			"store: ModifyIndex is not a positive integer");
	*index = (uint64_t)json_integer_value(modified);
	return decode_value(json_object_get(entry, "Value"), value);
}

static bool read_text(const json_t *obj, const char *key, char *dst,
		      size_t size)
{
	const json_t *field = json_object_get(obj, key);
	const char *text = json_string_value(field);

	if (!text || !*text || strlen(text) >= size ||
	    strlen(text) != json_string_length(field))
		return false;
	copy_text(dst, size, text);
	return true;
}

/* Reads a number from Meta, which holds strings only; zero if it is missing. */
static bool read_number(const json_t *meta, const char *key, uint32_t *val)
{
	const json_t *field = json_object_get(meta, key);
	const char *text = json_string_value(field);
	unsigned long long n;
	char *end;

	*val = 0;
	if (!text)
		return !field;
	errno = 0;
	n = strtoull(text, &end, 10);
	if (errno || end == text || end != text + json_string_length(field) ||
	    *text == '-' || n > UINT32_MAX)
		return false;
	*val = (uint32_t)n;
	return true;
}

static bool read_addr(const json_t *service, struct syc_addr *addr)
{
	json_int_t port = json_integer_value(json_object_get(service, "Port"));
	unsigned char ip[16];

	if (port < 1 || port > UINT16_MAX ||
	    !read_text(service, "Address", addr->ip, sizeof(addr->ip)))
		return false;
	addr->port = (uint16_t)port;
	return inet_pton(AF_INET, addr->ip, ip) == 1 ||
	       inet_pton(AF_INET6, addr->ip, ip) == 1;
}

static bool in_maintenance(const json_t *checks)
{
	static const char prefix[] = "_service_maintenance:";
	const char *id, *status;
	const json_t *check;
	size_t i;

	json_array_foreach(checks, i, check)
	{
		id = json_string_value(json_object_get(check, "CheckID"));
		status = json_string_value(json_object_get(check, "Status"));
		if (id && status && !strncmp(id, prefix, strlen(prefix)) &&
		    !strcmp(status, "critical"))
			return true;
	}
	return false;
}

static bool read_target(const json_t *entry, struct syc_target *t)
{
	const json_t *service = json_object_get(entry, "Service");
	const json_t *meta = json_object_get(service, "Meta");
	const char *state = json_string_value(json_object_get(meta, "state"));

	memset(t, 0, sizeof(*t));
	if (!read_text(service, "ID", t->name, sizeof(t->name)) ||
	    !read_text(service, "Service", t->service, sizeof(t->service)) ||
	    !read_addr(service, &t->addr) ||
	    !read_text(meta, "domain", t->domain, sizeof(t->domain)))
		return false;
	if (!read_text(meta, "rack", t->rack, sizeof(t->rack)))
		copy_text(t->rack, sizeof(t->rack), "none");
	if (!read_number(meta, "cpus", &t->cpus) ||
	    !read_number(meta, "memory_mb", &t->memory_mb) ||
	    !read_number(meta, "accelerators", &t->accelerators))
		return false;
	t->leaving = (state && !strcmp(state, "leaving")) ||
		     in_maintenance(json_object_get(entry, "Checks"));
	return true;
}

enum protocol_status consul_read_health(struct syc_bytes json,
					struct syc_target **targets, size_t *n,
					size_t *skipped)
{
	auto_json json_t *doc = parse_array(json);
	const json_t *entry;
	size_t i, size;

	*targets = NULL;
	*n = *skipped = 0;
	if (!doc)
		return PROTOCOL_SYNTAX;
	size = json_array_size(doc);
	if (size > CONSUL_TARGETS_MAX)
		return protocol_fail(PROTOCOL_RANGE,
				     "store: %zu targets, the limit is %d",
				     size, CONSUL_TARGETS_MAX);
	*targets = xcalloc(size + 1, sizeof(**targets));
	json_array_foreach(doc, i, entry)
	{
		if (read_target(entry, &(*targets)[*n]))
			(*n)++;
		else
			(*skipped)++;
	}
	return PROTOCOL_OK;
}
