/*
 * Discovery of the other instances. This instance connects to the members
 * of the maps of all failure domains, and to each instance that connects to
 * it. It reads one map at a time, in turn, so its rate of reads of the store
 * does not grow with the number of domains or instances.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/core_internal.h"
#include "util/alloc.h"

/* Service under which the platform lists the entry instances. */
static const char entry_service[] = "sycamoreshore";

enum {
	ENTRY_LIST_INTERVAL_MS = 2000,
	/*
	 * Interval after a list that lacks this instance, which shows that
	 * the platform does not maintain the list.
	 */
	ENTRY_LIST_ABSENT_MS = 60000,
	PEER_KEPT_MS = 600000, /* since the peer's link broke */
	MAP_READ_UNLINKED_INTERVAL_MS = 500, /* while no link is up */
	MAP_READ_INTERVAL_MS = 10000
};

static bool same_addr(const struct syc_addr *a, const struct syc_addr *b)
{
	return a->port == b->port && !strcmp(a->ip, b->ip);
}

static struct peer *find_peer(const struct syc_core *core, uint64_t id)
{
	uint64_t handle;

	if (!index_get(&core->peer_by_id, index_hash_number(id), &handle))
		return NULL;
	return table_get(&core->peers, handle);
}

const struct peer *core_get_linked_peer(const struct syc_core *core,
					uint64_t id)
{
	const struct peer *p = find_peer(core, id);

	return p && p->up ? p : NULL;
}

void core_peer_up(struct syc_core *core, const struct syc_instance *inst)
{
	struct peer *p = find_peer(core, inst->id);
	uint64_t handle;
	void *item;

	if (!p) {
		handle = table_add(&core->peers, &item);
		p = item;
		index_put(&core->peer_by_id, index_hash_number(inst->id),
			  handle);
	}
	core->peers_up += !p->up;
	p->instance = *inst;
	p->up = true;
	p->unlisted = false;
}

void core_peer_down(struct syc_core *core, uint64_t id)
{
	struct peer *p = find_peer(core, id);

	if (!p || !p->up)
		return;
	core->peers_up--;
	p->up = false;
	p->down_at = core->now;
}

uint64_t core_pick_peer_in_domain(const struct syc_core *core,
				  const char *domain,
				  const struct syc_claim_key *key)
{
	const struct peer *p;
	uint64_t handle, score, best_score = 0, best = 0;
	uint32_t pos = 0;

	while ((p = table_next(&core->peers, &pos, &handle))) {
		if (!p->up || strcmp(p->instance.domain, domain))
			continue;
		score = XXH3_64bits_withSeed(key->b, sizeof(key->b),
					     p->instance.id);
		if (best && score <= best_score)
			continue;
		best_score = score;
		best = p->instance.id;
	}
	return best;
}

static bool is_connected(const struct syc_core *core,
			 const struct syc_addr *addr)
{
	const struct peer *p;
	uint64_t handle;
	uint32_t pos = 0;

	while ((p = table_next(&core->peers, &pos, &handle)))
		if (p->up && same_addr(&p->instance.peer_addr, addr))
			return true;
	return false;
}

/* Connects to a member, which the map holds as {"addr": "IP:PORT", ...}. */
static void dial_member(struct syc_core *core, const json_t *member)
{
	const char *text = json_string_value(json_object_get(member, "addr"));
	const char *colon = text ? strrchr(text, ':') : NULL;
	struct syc_addr addr = {.port = 0};
	size_t n;

	if (!colon)
		return;
	n = (size_t)(colon - text);
	if (n >= sizeof(addr.ip))
		return;
	memcpy(addr.ip, text, n);
	addr.port = (uint16_t)strtoul(colon + 1, NULL, 10);
	if (addr.port && !is_connected(core, &addr))
		core->opt.dial(core->opt.ctx, &addr);
}

static void on_map_read(void *arg, const struct syc_platform_value *v)
{
	struct syc_core *core = arg;
	json_t *map, *member;
	size_t i;

	core->map_reads_pending--;
	if (v->status != SYC_PLATFORM_OK)
		return;
	map = json_loadb(v->value.p, v->value.n, 0, NULL);
	json_array_foreach(json_object_get(map, "members"), i, member)
		dial_member(core, member);
	json_decref(map);
}

static const char *next_domain(struct syc_core *core)
{
	struct syc_bundle *b = syc_core_bundle(core);

	if (!b || !b->n_domains)
		return core->opt.self.domain;
	core->map_domain_index = (core->map_domain_index + 1) % b->n_domains;
	return b->domains[core->map_domain_index];
}

static bool is_listed(const struct syc_target *list, size_t n,
		      const struct syc_addr *addr)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (same_addr(&list[i].addr, addr))
			return true;
	return false;
}

static void on_entries_listed(void *arg, enum syc_platform_status st,
			      const struct syc_target *list, size_t n)
{
	struct syc_core *core = arg;
	struct peer *p;
	uint64_t handle;
	uint32_t pos = 0;

	core->entry_list_pending = false;
	if (st != SYC_PLATFORM_OK)
		return;
	if (!is_listed(list, n, &core->opt.self.peer_addr)) {
		core->entry_list_at = core->now + ENTRY_LIST_ABSENT_MS;
		return;
	}
	while ((p = table_next(&core->peers, &pos, &handle))) {
		if (p->up || is_listed(list, n, &p->instance.peer_addr))
			continue;
		p->unlisted = true;
		syc_coord_peer_unlisted(core->coord, core->now, p->instance.id);
	}
}

static void drop_peer(struct syc_core *core, uint64_t handle, uint64_t id)
{
	index_del(&core->peer_by_id, index_hash_number(id));
	table_del(&core->peers, handle);
}

/*
 * Drops peers whose link broke long ago. Returns whether a peer of this
 * failure domain has no link but may still be listed by the platform.
 */
static bool prune_peers(struct syc_core *core)
{
	struct peer *p;
	uint64_t handle;
	uint32_t pos = 0;
	bool may_be_lost = false;

	while ((p = table_next(&core->peers, &pos, &handle))) {
		if (p->up)
			continue;
		if (core->now - p->down_at > PEER_KEPT_MS)
			drop_peer(core, handle, p->instance.id);
		else if (!p->unlisted &&
			 !strcmp(p->instance.domain, core->opt.self.domain))
			may_be_lost = true;
	}
	return may_be_lost;
}

/*
 * Reads the list of entry instances, but only while a peer of this failure
 * domain has no link and may still be listed.
 */
static void read_entries(struct syc_core *core)
{
	if (core->now < core->entry_list_at || core->entry_list_pending)
		return;
	core->entry_list_at = core->now + ENTRY_LIST_INTERVAL_MS;
	if (!prune_peers(core))
		return;
	core->entry_list_pending = true;
	core->opt.store.list(core->opt.store.ctx, entry_service,
			     on_entries_listed, core);
}

static void read_next_map(struct syc_core *core)
{
	char key[64 + SYC_NAME_MAX];
	uint32_t interval_ms = core->peers_up ? MAP_READ_INTERVAL_MS
					      : MAP_READ_UNLINKED_INTERVAL_MS;

	if (core->now < core->map_read_at || core->map_reads_pending)
		return;
	core->map_read_at = core->now + interval_ms / 2 +
			    (int64_t)rng_below(&core->rng, interval_ms);
	core->map_reads_pending++;
	snprintf(key, sizeof(key), "sycamoreshore/map/%s", next_domain(core));
	core->opt.store.get(core->opt.store.ctx, key, on_map_read, core);
}

void core_discovery_tick(struct syc_core *core)
{
	read_next_map(core);
	read_entries(core);
}
