/*
 * Callers, kinds and pools by name. They are kept when a later bundle no
 * longer lists them, since jobs, sends and grants refer to them.
 */
#include <stdlib.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"

static void *find_item(const struct index *ix, const char *name)
{
	uint64_t val;

	if (!index_get(ix, index_hash_bytes(name, strlen(name)), &val))
		return NULL;
	return (void *)(uintptr_t)val;
}

static void *add_item(struct index *ix, struct table *t, const char *name)
{
	void *item;

	table_add(t, &item);
	index_put(ix, index_hash_bytes(name, strlen(name)), (uintptr_t)item);
	return item;
}

struct caller *dispatch_find_caller(struct syc_dispatch *d, const char *name)
{
	struct caller *c = find_item(&d->caller_by_name, name);

	return c && c->is_listed ? c : NULL;
}

struct kind *dispatch_find_kind(struct syc_dispatch *d, const char *name)
{
	struct kind *k = find_item(&d->kind_by_name, name);

	return k && k->is_listed ? k : NULL;
}

struct pool *dispatch_find_pool(struct syc_dispatch *d, const char *name)
{
	return find_item(&d->pool_by_name, name);
}

struct pool *dispatch_add_pool(struct syc_dispatch *d, const char *name)
{
	struct pool *p = add_item(&d->pool_by_name, &d->pool_table, name);

	table_init(&p->targets, sizeof(struct target));
	list_init(&p->idle_grants);
	return p;
}

static void apply_service(struct syc_dispatch *d, const struct syc_service *s)
{
	struct pool *p = dispatch_find_pool(d, s->name);

	if (!p)
		p = dispatch_add_pool(d, s->name);
	p->conf = *s;
	p->is_listed = true;
	if (p->conf.slots > TARGET_SLOTS_MAX)
		p->conf.slots = TARGET_SLOTS_MAX;
	if (p->conf.connections && p->conf.slots > p->conf.connections)
		p->conf.slots = p->conf.connections;
	slots_resize(d, p);
}

static void apply_caller(struct syc_dispatch *d, const struct syc_caller *conf)
{
	struct caller *c = find_item(&d->caller_by_name, conf->name);

	if (!c)
		c = add_item(&d->caller_by_name, &d->caller_table, conf->name);
	c->conf = *conf;
	c->is_listed = true;
}

static void apply_kind(struct syc_dispatch *d, const struct syc_kind *conf)
{
	struct kind *k = find_item(&d->kind_by_name, conf->name);

	if (!k)
		k = add_item(&d->kind_by_name, &d->kind_table, conf->name);
	k->conf = *conf;
	k->is_listed = true;
	k->pool = dispatch_find_pool(d, conf->service);
	if (!k->conf.time_limit_ms)
		k->conf.time_limit_ms = DEFAULT_TIME_LIMIT_MS;
	if (k->conf.time_limit_ms > TIME_LIMIT_MAX_MS)
		k->conf.time_limit_ms = TIME_LIMIT_MAX_MS;
	if (k->pool && k->pool->max_time_limit_ms < k->conf.time_limit_ms)
		k->pool->max_time_limit_ms = k->conf.time_limit_ms;
}

static void unlist_all(struct syc_dispatch *d)
{
	struct caller *c;
	struct kind *k;
	struct pool *p;
	uint64_t h;
	uint32_t pos;

	for (pos = 0; (c = table_next(&d->caller_table, &pos, &h));)
		c->is_listed = false;
	for (pos = 0; (k = table_next(&d->kind_table, &pos, &h));)
		k->is_listed = false;
	for (pos = 0; (p = table_next(&d->pool_table, &pos, &h));)
		p->is_listed = false;
}

void dispatch_apply_bundle(struct syc_dispatch *d, int64_t now)
{
	const struct syc_bundle *b = d->bundle;
	size_t i;

	unlist_all(d);
	for (i = 0; i < b->n_services; i++)
		apply_service(d, &b->services[i]);
	for (i = 0; i < b->n_callers; i++)
		apply_caller(d, &b->callers[i]);
	for (i = 0; i < b->n_kinds; i++)
		apply_kind(d, &b->kinds[i]);
}

static void free_pool(struct pool *p)
{
	struct flow *f;

	while ((f = p->flows)) {
		p->flows = f->next;
		heap_free(&f->waiting_jobs);
		ledger_free(&f->ledger);
		free(f);
	}
	heap_free(&p->ready_flows);
	heap_free(&p->demanded_flows);
	index_free(&p->flow_by_caller);
	slots_free_pool(p);
}

void dispatch_free_names(struct syc_dispatch *d)
{
	struct caller *c;
	struct pool *p;
	uint32_t pos = 0;
	uint64_t h;

	while ((p = table_next(&d->pool_table, &pos, &h)))
		free_pool(p);
	table_free(&d->pool_table);
	table_free(&d->kind_table);
	for (pos = 0; (c = table_next(&d->caller_table, &pos, &h));)
		free(c->allotments);
	table_free(&d->caller_table);
	index_free(&d->pool_by_name);
	index_free(&d->kind_by_name);
	index_free(&d->caller_by_name);
}
