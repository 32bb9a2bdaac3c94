#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/map.h"
#include "util/alloc.h"

static json_t *encode_member(const struct map_member *m)
{
	char id[17], addr[SYC_IP_MAX + 8];

	snprintf(id, sizeof(id), "%016" PRIx64, m->id);
	snprintf(addr, sizeof(addr), "%s:%u", m->addr.ip, m->addr.port);
	return json_pack("{s:s,s:s,s:s,s:s,s:b}", "id", id, "name", m->name,
			 "rack", m->rack, "addr", addr, "down",
			 (int)m->is_down);
}

static json_t *encode_slice(const struct map *m, const struct map_slice *s)
{
	return json_pack(
		"[i,i,I,I,I]", map_find_member(m, s->primary),
		map_find_member(m, s->backup), (json_int_t)s->entry_epoch,
		(json_int_t)s->primary_epoch, (json_int_t)s->loss_epoch);
}

static json_t *encode_ancestor(const struct map_ancestor *p)
{
	return json_pack("[I,I]", (json_int_t)p->epoch, (json_int_t)p->tag);
}

char *map_encode(const struct map *m)
{
	json_t *root, *members, *slices, *ancestors;
	char *text;
	size_t i;

	members = json_array();
	for (i = 0; i < m->n_members; i++)
		json_array_append_new(members, encode_member(&m->members[i]));
	slices = json_array();
	for (i = 0; i < SYC_SLICES; i++)
		json_array_append_new(slices, encode_slice(m, &m->slices[i]));
	ancestors = json_array();
	for (i = 0; i < MAP_ANCESTORS_MAX; i++)
		json_array_append_new(ancestors,
				      encode_ancestor(&m->ancestors[i]));
	root = json_pack("{s:I,s:I,s:o,s:o,s:o}", "epoch", (json_int_t)m->epoch,
			 "tag", (json_int_t)m->tag, "past", ancestors,
			 "members", members, "slices", slices);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}

/* Parses "IP:PORT". An IPv6 address contains colons too. */
static bool decode_addr(struct syc_addr *a, const char *text)
{
	const char *colon = strrchr(text, ':');
	unsigned long port;
	char *end;

	if (!colon || (size_t)(colon - text) >= sizeof(a->ip))
		return false;
	port = strtoul(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port > UINT16_MAX)
		return false;
	memcpy(a->ip, text, (size_t)(colon - text));
	a->port = (uint16_t)port;
	return true;
}

static bool decode_member(struct map_member *m, json_t *o)
{
	const char *id, *name, *rack, *addr;
	char *end;
	int down;

	if (json_unpack(o, "{s:s,s:s,s:s,s:s,s:b}", "id", &id, "name", &name,
			"rack", &rack, "addr", &addr, "down", &down))
		return false;
	if (strlen(name) >= SYC_NAME_MAX || strlen(rack) >= SYC_NAME_MAX ||
	    !decode_addr(&m->addr, addr))
		return false;
	m->id = strtoull(id, &end, 16);
	copy_text(m->name, sizeof(m->name), name);
	copy_text(m->rack, sizeof(m->rack), rack);
	m->is_down = down;
	return m->id && !*end;
}

static bool decode_slice(const struct map *m, struct map_slice *s, json_t *o)
{
	int primary, backup;
	json_int_t entry_epoch, primary_epoch, loss_epoch;

	if (json_unpack(o, "[i,i,I,I,I]", &primary, &backup, &entry_epoch,
			&primary_epoch, &loss_epoch))
		return false;
	if (primary < 0 || (size_t)primary >= m->n_members || backup < -1 ||
	    backup >= (int)m->n_members || backup == primary ||
	    primary_epoch < 1 || entry_epoch < primary_epoch || loss_epoch < 0)
		return false;
	s->primary = m->members[primary].id;
	s->backup = backup < 0 ? 0 : m->members[backup].id;
	s->entry_epoch = (uint64_t)entry_epoch;
	s->primary_epoch = (uint64_t)primary_epoch;
	s->loss_epoch = (uint64_t)loss_epoch;
	return s->entry_epoch <= m->epoch && s->loss_epoch <= m->epoch;
}

static bool decode_ancestor(struct map_ancestor *p, json_t *o)
{
	json_int_t epoch, tag;

	if (json_unpack(o, "[I,I]", &epoch, &tag) || epoch < 0 || tag < 0 ||
	    tag > UINT32_MAX)
		return false;
	p->epoch = (uint64_t)epoch;
	p->tag = (uint32_t)tag;
	return true;
}

static bool decode_history(struct map *m, json_t *ancestors, json_int_t tag)
{
	size_t i;

	if (json_array_size(ancestors) != MAP_ANCESTORS_MAX || tag < 0 ||
	    tag > UINT32_MAX)
		return false;
	m->tag = (uint32_t)tag;
	for (i = 0; i < MAP_ANCESTORS_MAX; i++)
		if (!decode_ancestor(&m->ancestors[i],
				     json_array_get(ancestors, i)))
			return false;
	return true;
}

static bool decode_members(struct map *m, json_t *members)
{
	size_t i;

	if (json_array_size(members) > SYC_MEMBERS_MAX)
		return false;
	for (i = 0; i < json_array_size(members); i++) {
		if (!decode_member(&m->members[i], json_array_get(members, i)))
			return false;
		if (map_find_member(m, m->members[i].id) >= 0)
			return false;
		m->n_members++;
	}
	return true;
}

static bool decode_root(struct map *m, json_t *root)
{
	json_t *members, *slices, *ancestors;
	json_int_t epoch, tag;
	size_t i;

	memset(m, 0, sizeof(*m));
	if (json_unpack(root, "{s:I,s:I,s:o,s:o,s:o}", "epoch", &epoch, "tag",
			&tag, "past", &ancestors, "members", &members, "slices",
			&slices))
		return false;
	if (epoch < 1 || json_array_size(slices) != SYC_SLICES)
		return false;
	m->epoch = (uint64_t)epoch;
	if (!decode_history(m, ancestors, tag) || !decode_members(m, members))
		return false;
	for (i = 0; i < SYC_SLICES; i++)
		if (!decode_slice(m, &m->slices[i], json_array_get(slices, i)))
			return false;
	return true;
}

enum coordination_status map_decode(struct map *m, struct syc_bytes text)
{
	json_error_t err;
	json_t *root;
	bool is_valid;

	if (text.n > MAP_BYTES_MAX)
		return coordination_fail(COORDINATION_BAD_VALUE,
					 "map has %zu bytes, limit is %d",
					 text.n, MAP_BYTES_MAX);
	root = json_loadb(text.p, text.n, JSON_REJECT_DUPLICATES, &err);
	if (!root)
		return coordination_fail(COORDINATION_BAD_VALUE,
					 "map is not valid JSON: %s", err.text);
	is_valid = decode_root(m, root);
	json_decref(root);
	if (!is_valid)
		return coordination_fail(COORDINATION_BAD_VALUE,
					 "map has a missing or invalid value");
	return COORDINATION_OK;
}
