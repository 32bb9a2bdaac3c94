/*
 * The slots of targets. Every target sits in the bucket of its free slots
 * within its class of size, so that a task finds one without a search.
 */
#include <stdlib.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

#define LONG_AGO (INT64_MIN / 2)

static void bucket_add(struct size_class *c, struct target *t)
{
	struct bucket *b = &c->buckets[t->free];

	if (b->n == b->cap) {
		b->cap = b->cap ? b->cap * 2 : 8;
		b->at = xrealloc(b->at, b->cap * sizeof(struct target *));
	}
	t->at = b->n;
	b->at[b->n++] = t;
}

static void bucket_remove(struct size_class *c, struct target *t)
{
	struct bucket *b = &c->buckets[t->free];

	b->at[t->at] = b->at[--b->n];
	b->at[t->at]->at = t->at;
}

static struct size_class *class_get(struct pool *p, const struct syc_target *t)
{
	struct size_class *c;
	size_t i;

	for (i = 0; i < p->n_classes; i++) {
		c = p->classes[i];
		if (c->cpus == t->cpus && c->memory_mb == t->memory_mb &&
		    c->accelerators == t->accelerators)
			return c;
	}
	if (p->n_classes == CLASSES_MAX)
		return NULL;
	c = xcalloc(1, sizeof(*c));
	c->cpus = t->cpus;
	c->memory_mb = t->memory_mb;
	c->accelerators = t->accelerators;
	p->classes[p->n_classes++] = c;
	return c;
}

/* Slots on which a task may start now. */
static uint32_t usable(const struct target *t)
{
	if (!t->listed || t->conf.leaving || t->pool->reserved == t)
		return 0;
	if (t->state == TARGET_PROBE)
		return t->owned && !t->unsure_until && t->slots && !t->used;
	if (t->state != TARGET_UP)
		return 0;
	if (!t->owned || t->unsure_until || t->used >= t->slots)
		return 0;
	return t->slots - t->used;
}

void slots_update(struct syc_dispatch *d, struct target *t)
{
	uint32_t n = usable(t);

	if (n == t->free)
		return;
	t->pool->slots_free -= t->free;
	bucket_remove(t->class, t);
	t->free = n;
	bucket_add(t->class, t);
	t->pool->slots_free += n;
}

void slots_take(struct syc_dispatch *d, struct send *s)
{
	struct target *t = s->target;

	t->sends++;
	t->rack->running += s->width;
	t->pool->slots_used += s->width;
	if (s->held)
		return;
	t->used += s->width;
	invariant(t->used <= t->slots);
	slots_update(d, t);
}

void slots_give(struct syc_dispatch *d, int64_t now, struct send *s)
{
	struct target *t = s->target;

	invariant(t->sends > 0);
	t->sends--;
	t->rack->running -= s->width;
	t->pool->slots_used -= s->width;
	if (s->held) {
		holder_idle(d, now, s->held);
		return;
	}
	invariant(t->used >= s->width);
	t->used -= s->width;
	if (s->cover)
		slots_return(d, now, t, s->cover, d->opt.self);
	slots_update(d, t);
}

void slots_return(struct syc_dispatch *d, int64_t now, struct target *t,
		  uint64_t id, uint64_t giver)
{
	struct granted *g;
	struct link *l;

	if (t->owner == giver || !t->owner)
		return;
	if (t->owned) {
		g = owner_find(d, id);
		if (g && g->holder == d->opt.self)
			owner_release(d, g);
		return;
	}
	l = link_get(d, now, t->pool, t->owner);
	if (l)
		buf_add(&l->returns, &id, sizeof(id));
}

struct target *slots_find(const struct pool *p, const char *name)
{
	uint64_t handle;

	if (!index_get(&p->by_name, index_hash_bytes(name, strlen(name)),
		       &handle))
		return NULL;
	return table_get(&p->targets, handle);
}

static void target_drop(struct syc_dispatch *d, struct pool *p,
			struct target *t, uint64_t handle)
{
	if (p->reserved == t)
		p->reserved = NULL;
	p->n_ejected -= t->state == TARGET_EJECTED;
	if (t->owned && t->unsure_until)
		p->n_unsure--;
	heap_remove(&d->target_timers, &t->timer);
	p->slots_free -= t->free;
	bucket_remove(t->class, t);
	index_del(&p->by_name,
		  index_hash_bytes(t->conf.name, strlen(t->conf.name)));
	table_del(&p->targets, handle);
}

static struct rack *rack_get(struct pool *p, const char *name)
{
	struct index_key key = index_hash_bytes(name, strlen(name));
	struct rack *r;
	uint64_t val;

	if (index_get(&p->rack_by_name, key, &val))
		return (struct rack *)(uintptr_t)val;
	r = xcalloc(1, sizeof(*r));
	copy_name(r->name, sizeof(r->name), name);
	r->next = p->racks;
	p->racks = r;
	index_put(&p->rack_by_name, key, (uintptr_t)r);
	return r;
}

static struct target *target_get(struct syc_dispatch *d, int64_t now,
				 struct pool *p, const struct syc_target *conf)
{
	struct index_key key = index_hash_bytes(conf->name, strlen(conf->name));
	struct size_class *c;
	struct target *t;
	uint64_t handle;
	void *item;

	if (index_get(&p->by_name, key, &handle))
		return table_get(&p->targets, handle);
	c = class_get(p, conf);
	if (!c)
		return NULL;
	handle = table_add(&p->targets, &item);
	t = item;
	t->pool = p;
	t->rack = rack_get(p, conf->rack);
	t->class = c;
	t->conf = *conf;
	t->known_from = now;
	if (d->first_map || now - d->owners_at > MAP_SPREAD_MS)
		t->known_from = LONG_AGO;
	index_put(&p->by_name, key, handle);
	bucket_add(c, t);
	return t;
}

/* A target whose size is listed anew moves to the class of that size. */
static void target_resize(struct pool *p, struct target *t,
			  const struct syc_target *conf)
{
	struct size_class *c = class_get(p, conf);

	if (!c || c == t->class)
		return;
	bucket_remove(t->class, t);
	t->class = c;
	bucket_add(c, t);
}

static void target_list(struct syc_dispatch *d, int64_t now, struct pool *p,
			const struct syc_target *conf)
{
	struct target *t = target_get(d, now, p, conf);

	if (!t)
		return;
	target_resize(p, t, conf);
	t->conf = *conf;
	t->slots = p->conf.slots;
	t->listed = true;
	t->class->listed += !conf->leaving;
	p->n_listed += !conf->leaving;
}

void slots_set_targets(struct syc_dispatch *d, int64_t now, struct pool *p,
		       const struct syc_target *targets, size_t n)
{
	struct target *t;
	uint64_t handle;
	uint32_t pos = 0;
	size_t i;

	while ((t = table_next(&p->targets, &pos, &handle)))
		t->listed = false;
	for (i = 0; i < p->n_classes; i++)
		p->classes[i]->listed = 0;
	p->n_listed = 0;
	for (i = 0; i < n; i++)
		target_list(d, now, p, &targets[i]);
	slots_owners(d, now, p);
	for (pos = 0; (t = table_next(&p->targets, &pos, &handle));) {
		slots_update(d, t);
		if (!t->listed && !t->used && !t->held && !t->sends)
			target_drop(d, p, t, handle);
	}
}

/* The bundle gave the service another number of slots. */
void slots_resize(struct syc_dispatch *d, struct pool *p)
{
	struct target *t;
	uint64_t handle;
	uint32_t pos = 0;

	while ((t = table_next(&p->targets, &pos, &handle))) {
		t->slots = p->conf.slots;
		slots_update(d, t);
	}
}

static void clear_owner_slots(struct syc_dispatch *d, struct pool *p)
{
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	p->slots_own = 0;
	while ((l = table_next(&d->links, &pos, &h)))
		if (l->pool == p)
			l->slots = 0;
}

static void count_owner_slots(struct syc_dispatch *d, int64_t now,
			      const struct target *t)
{
	struct link *l;

	if (!t->listed || t->conf.leaving || !t->owner)
		return;
	if (t->owned) {
		t->pool->slots_own += t->slots;
		return;
	}
	l = link_get(d, now, t->pool, t->owner);
	if (l)
		l->slots += t->slots;
}

/* Our part of the listed slots while every owner wants as many. */
static uint32_t even_part(const struct syc_dispatch *d, const struct pool *p)
{
	struct link *l;
	uint32_t pos = 0, owners = 1;
	uint32_t slots = p->slots_own;
	uint64_t h;

	while ((l = table_next(&d->links, &pos, &h))) {
		if (l->pool != p || !l->slots)
			continue;
		owners++;
		slots += l->slots;
	}
	return slots / owners;
}

void slots_owners(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct target *t;
	uint64_t handle;
	uint32_t pos = 0;

	clear_owner_slots(d, p);
	while ((t = table_next(&p->targets, &pos, &handle))) {
		handover_owner(d, now, t,
			       d->opt.owner(d->opt.ctx, t->conf.name));
		count_owner_slots(d, now, t);
		slots_update(d, t);
	}
	p->slots_part = even_part(d, p);
}

void slots_pool_free(struct pool *p)
{
	struct rack *r;
	size_t i, k;

	while ((r = p->racks)) {
		p->racks = r->next;
		free(r);
	}
	index_free(&p->rack_by_name);

	for (i = 0; i < p->n_classes; i++) {
		for (k = 0; k <= SLOTS_MAX; k++)
			free(p->classes[i]->buckets[k].at);
		free(p->classes[i]);
	}
	table_free(&p->targets);
	index_free(&p->by_name);
}
