/*
 * Callers, kinds and pools by name. They outlive the bundle that listed
 * them for as long as something in hand refers to them.
 */
#include <stdlib.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"

static void *find(const struct index *ix, const char *name)
{
	uint64_t val;

	if (!index_get(ix, index_hash_bytes(name, strlen(name)), &val))
		return NULL;
	return (void *)(uintptr_t)val;
}

static void *add(struct index *ix, struct table *t, const char *name)
{
	void *item;

	table_add(t, &item);
	index_put(ix, index_hash_bytes(name, strlen(name)), (uintptr_t)item);
	return item;
}

struct caller *dispatch_caller(struct syc_dispatch *d, const char *name)
{
	struct caller *c = find(&d->callers, name);

	return c && c->listed ? c : NULL;
}

struct kind *dispatch_kind(struct syc_dispatch *d, const char *name)
{
	struct kind *k = find(&d->kinds, name);

	return k && k->listed ? k : NULL;
}

struct pool *dispatch_pool(struct syc_dispatch *d, const char *name)
{
	return find(&d->pools, name);
}

struct pool *dispatch_pool_new(struct syc_dispatch *d, const char *name)
{
	struct pool *p = add(&d->pools, &d->pool_table, name);

	table_init(&p->targets, sizeof(struct target));
	list_init(&p->idle);
	return p;
}

static void adopt_service(struct syc_dispatch *d, const struct syc_service *s)
{
	struct pool *p = dispatch_pool(d, s->name);

	if (!p)
		p = dispatch_pool_new(d, s->name);
	p->conf = *s;
	p->listed = true;
	if (p->conf.slots > SLOTS_MAX)
		p->conf.slots = SLOTS_MAX;
	if (p->conf.connections && p->conf.slots > p->conf.connections)
		p->conf.slots = p->conf.connections;
	slots_resize(d, p);
}

static void adopt_caller(struct syc_dispatch *d, const struct syc_caller *conf)
{
	struct caller *c = find(&d->callers, conf->name);

	if (!c)
		c = add(&d->callers, &d->caller_table, conf->name);
	c->conf = *conf;
	c->listed = true;
}

static void adopt_kind(struct syc_dispatch *d, const struct syc_kind *conf)
{
	struct kind *k = find(&d->kinds, conf->name);

	if (!k)
		k = add(&d->kinds, &d->kind_table, conf->name);
	k->conf = *conf;
	k->listed = true;
	k->pool = dispatch_pool(d, conf->service);
	if (!k->conf.time_limit_ms)
		k->conf.time_limit_ms = DEFAULT_TIME_LIMIT_MS;
	if (k->conf.time_limit_ms > TIME_LIMIT_MAX_MS)
		k->conf.time_limit_ms = TIME_LIMIT_MAX_MS;
	if (k->pool && k->pool->limit_ms < k->conf.time_limit_ms)
		k->pool->limit_ms = k->conf.time_limit_ms;
}

static void unlist(struct syc_dispatch *d)
{
	struct caller *c;
	struct kind *k;
	struct pool *p;
	uint64_t h;
	uint32_t pos;

	for (pos = 0; (c = table_next(&d->caller_table, &pos, &h));)
		c->listed = false;
	for (pos = 0; (k = table_next(&d->kind_table, &pos, &h));)
		k->listed = false;
	for (pos = 0; (p = table_next(&d->pool_table, &pos, &h));)
		p->listed = false;
}

void dispatch_adopt(struct syc_dispatch *d, int64_t now)
{
	const struct syc_bundle *b = d->bundle;
	size_t i;

	unlist(d);
	for (i = 0; i < b->n_services; i++)
		adopt_service(d, &b->services[i]);
	for (i = 0; i < b->n_callers; i++)
		adopt_caller(d, &b->callers[i]);
	for (i = 0; i < b->n_kinds; i++)
		adopt_kind(d, &b->kinds[i]);
}

static void pool_free(struct pool *p)
{
	struct flow *f;

	while ((f = p->flows)) {
		p->flows = f->next;
		heap_free(&f->jobs);
		ledger_free(&f->ledger);
		free(f);
	}
	heap_free(&p->ready);
	heap_free(&p->wanted);
	index_free(&p->flow_by_caller);
	slots_pool_free(p);
}

void dispatch_names_free(struct syc_dispatch *d)
{
	struct caller *c;
	struct pool *p;
	uint32_t pos = 0;
	uint64_t h;

	while ((p = table_next(&d->pool_table, &pos, &h)))
		pool_free(p);
	table_free(&d->pool_table);
	table_free(&d->kind_table);
	for (pos = 0; (c = table_next(&d->caller_table, &pos, &h));)
		free(c->borrowers);
	table_free(&d->caller_table);
	index_free(&d->pools);
	index_free(&d->kinds);
	index_free(&d->callers);
}
