/*
 * The slots of targets. Every target is in the bucket for its number of free
 * slots within its size class, so that a free target is found without a
 * search.
 */
#include <stdlib.h>
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"
#include "util/invariant.h"

/* Half of the range, so that the time since then does not overflow. */
#define DISTANT_PAST (INT64_MIN / 2)

static void bucket_add(struct size_class *c, struct target *t)
{
	struct bucket *b = &c->buckets[t->free_slots];

	if (b->n == b->cap) {
		b->cap = b->cap ? b->cap * 2 : 8;
		b->targets = xrealloc(b->targets,
				      b->cap * sizeof(struct target *));
	}
	t->bucket_index = b->n;
	b->targets[b->n++] = t;
}

static void bucket_remove(struct size_class *c, struct target *t)
{
	struct bucket *b = &c->buckets[t->free_slots];

	b->targets[t->bucket_index] = b->targets[--b->n];
	b->targets[t->bucket_index]->bucket_index = t->bucket_index;
}

static struct size_class *get_size_class(struct pool *p,
					 const struct syc_target *t)
{
	struct size_class *c;
	size_t i;

	for (i = 0; i < p->n_size_classes; i++) {
		c = p->size_classes[i];
		if (c->cpus == t->cpus && c->memory_mb == t->memory_mb &&
		    c->accelerators == t->accelerators)
			return c;
	}
	if (p->n_size_classes == SIZE_CLASSES_MAX)
		return NULL;
	c = xcalloc(1, sizeof(*c));
	c->cpus = t->cpus;
	c->memory_mb = t->memory_mb;
	c->accelerators = t->accelerators;
	p->size_classes[p->n_size_classes++] = c;
	return c;
}

/* The slots of the target that a task or a grant may take now. */
static uint32_t startable_slots(const struct target *t)
{
	if (!t->is_listed || t->conf.leaving || t->pool->reserved_target == t)
		return 0;
	if (t->state == TARGET_PROBE)
		return t->is_owned && !t->uncertain_until && t->slots &&
		       !t->used_slots;
	if (t->state != TARGET_UP)
		return 0;
	if (!t->is_owned || t->uncertain_until || t->used_slots >= t->slots)
		return 0;
	return t->slots - t->used_slots;
}

void slots_update_free(struct syc_dispatch *d, struct target *t)
{
	uint32_t n_free = startable_slots(t);

	if (n_free == t->free_slots)
		return;
	t->pool->slots_free -= t->free_slots;
	bucket_remove(t->size_class, t);
	t->free_slots = n_free;
	bucket_add(t->size_class, t);
	t->pool->slots_free += n_free;
}

void slots_occupy(struct syc_dispatch *d, struct send *s)
{
	struct target *t = s->target;

	t->n_sends++;
	t->rack->used_slots += s->width;
	t->pool->slots_used += s->width;
	if (s->grant)
		return;
	t->used_slots += s->width;
	invariant(t->used_slots <= t->slots);
	slots_update_free(d, t);
}

void slots_release(struct syc_dispatch *d, int64_t now, struct send *s)
{
	struct target *t = s->target;

	invariant(t->n_sends > 0);
	t->n_sends--;
	t->rack->used_slots -= s->width;
	t->pool->slots_used -= s->width;
	if (s->grant) {
		holder_end_use(d, now, s->grant);
		return;
	}
	invariant(t->used_slots >= s->width);
	t->used_slots -= s->width;
	if (s->handover_id)
		slots_return_grant(d, now, t, s->handover_id, d->opt.self);
	slots_update_free(d, t);
}

void slots_return_grant(struct syc_dispatch *d, int64_t now, struct target *t,
			uint64_t id, uint64_t issuer)
{
	struct issued_grant *g;
	struct slot_peer *sp;

	if (t->owner == issuer || !t->owner)
		return;
	if (t->is_owned) {
		g = owner_find_grant(d, id);
		if (g && g->holder == d->opt.self)
			owner_release_grant(d, g);
		return;
	}
	sp = slot_peer_get(d, now, t->pool, t->owner);
	if (sp)
		buf_add(&sp->returned_ids, &id, sizeof(id));
}

struct target *slots_find_target(const struct pool *p, const char *name)
{
	uint64_t handle;

	if (!index_get(&p->target_by_name, index_hash_bytes(name, strlen(name)),
		       &handle))
		return NULL;
	return table_get(&p->targets, handle);
}

static void drop_target(struct syc_dispatch *d, struct pool *p,
			struct target *t, uint64_t handle)
{
	if (p->reserved_target == t)
		p->reserved_target = NULL;
	p->n_ejected -= t->state == TARGET_EJECTED;
	if (t->is_owned && t->uncertain_until)
		p->n_uncertain--;
	heap_remove(&d->target_timers, &t->state_timer);
	p->slots_free -= t->free_slots;
	bucket_remove(t->size_class, t);
	index_del(&p->target_by_name,
		  index_hash_bytes(t->conf.name, strlen(t->conf.name)));
	table_del(&p->targets, handle);
}

static struct rack *get_rack(struct pool *p, const char *name)
{
	struct index_key key = index_hash_bytes(name, strlen(name));
	struct rack *r;
	uint64_t val;

	if (index_get(&p->rack_by_name, key, &val))
		return (struct rack *)(uintptr_t)val;
	r = xcalloc(1, sizeof(*r));
	copy_text(r->name, sizeof(r->name), name);
	r->next = p->racks;
	p->racks = r;
	index_put(&p->rack_by_name, key, (uintptr_t)r);
	return r;
}

static struct target *get_target(struct syc_dispatch *d, int64_t now,
				 struct pool *p, const struct syc_target *conf)
{
	struct index_key key = index_hash_bytes(conf->name, strlen(conf->name));
	struct size_class *c;
	struct target *t;
	uint64_t handle;
	void *item;

	if (index_get(&p->target_by_name, key, &handle))
		return table_get(&p->targets, handle);
	c = get_size_class(p, conf);
	if (!c)
		return NULL;
	handle = table_add(&p->targets, &item);
	t = item;
	t->pool = p;
	t->rack = get_rack(p, conf->rack);
	t->size_class = c;
	t->conf = *conf;
	t->owners_known_since = now;
	if (d->is_first_map || now - d->owners_changed_at > MAP_SPREAD_MS)
		t->owners_known_since = DISTANT_PAST;
	index_put(&p->target_by_name, key, handle);
	bucket_add(c, t);
	return t;
}

/* Moves the target to the class of the size that is listed now. */
static void update_size_class(struct pool *p, struct target *t,
			      const struct syc_target *conf)
{
	struct size_class *c = get_size_class(p, conf);

	if (!c || c == t->size_class)
		return;
	bucket_remove(t->size_class, t);
	t->size_class = c;
	bucket_add(c, t);
}

static void list_target(struct syc_dispatch *d, int64_t now, struct pool *p,
			const struct syc_target *conf)
{
	struct target *t = get_target(d, now, p, conf);

	if (!t)
		return;
	update_size_class(p, t, conf);
	t->conf = *conf;
	t->slots = p->conf.slots;
	t->is_listed = true;
	t->size_class->n_listed += !conf->leaving;
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
		t->is_listed = false;
	for (i = 0; i < p->n_size_classes; i++)
		p->size_classes[i]->n_listed = 0;
	p->n_listed = 0;
	for (i = 0; i < n; i++)
		list_target(d, now, p, &targets[i]);
	slots_update_owners(d, now, p);
	for (pos = 0; (t = table_next(&p->targets, &pos, &handle));) {
		slots_update_free(d, t);
		if (!t->is_listed && !t->used_slots && !t->n_held &&
		    !t->n_sends)
			drop_target(d, p, t, handle);
	}
}

void slots_resize(struct syc_dispatch *d, struct pool *p)
{
	struct target *t;
	uint64_t handle;
	uint32_t pos = 0;

	while ((t = table_next(&p->targets, &pos, &handle))) {
		t->slots = p->conf.slots;
		slots_update_free(d, t);
	}
}

static void clear_owner_slots(struct syc_dispatch *d, struct pool *p)
{
	struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	p->slots_owned = 0;
	while ((sp = table_next(&d->slot_peers, &pos, &h)))
		if (sp->pool == p)
			sp->peer_slots = 0;
}

static void count_owner_slots(struct syc_dispatch *d, int64_t now,
			      const struct target *t)
{
	struct slot_peer *sp;

	if (!t->is_listed || t->conf.leaving || !t->owner)
		return;
	if (t->is_owned) {
		t->pool->slots_owned += t->slots;
		return;
	}
	sp = slot_peer_get(d, now, t->pool, t->owner);
	if (sp)
		sp->peer_slots += t->slots;
}

/* The listed slots divided evenly among the owners of targets. */
static uint32_t compute_even_part(const struct syc_dispatch *d,
				  const struct pool *p)
{
	struct slot_peer *sp;
	uint32_t pos = 0, n_owners = 1;
	uint32_t slots = p->slots_owned;
	uint64_t h;

	while ((sp = table_next(&d->slot_peers, &pos, &h))) {
		if (sp->pool != p || !sp->peer_slots)
			continue;
		n_owners++;
		slots += sp->peer_slots;
	}
	return slots / n_owners;
}

void slots_update_owners(struct syc_dispatch *d, int64_t now, struct pool *p)
{
	struct target *t;
	uint64_t handle;
	uint32_t pos = 0;

	clear_owner_slots(d, p);
	while ((t = table_next(&p->targets, &pos, &handle))) {
		handover_set_owner(d, now, t,
				   d->opt.find_owner(d->opt.ctx, t->conf.name));
		count_owner_slots(d, now, t);
		slots_update_free(d, t);
	}
	p->slots_even_part = compute_even_part(d, p);
}

void slots_free_pool(struct pool *p)
{
	struct rack *r;
	size_t i, k;

	while ((r = p->racks)) {
		p->racks = r->next;
		free(r);
	}
	index_free(&p->rack_by_name);

	for (i = 0; i < p->n_size_classes; i++) {
		for (k = 0; k <= TARGET_SLOTS_MAX; k++)
			free(p->size_classes[i]->buckets[k].targets);
		free(p->size_classes[i]);
	}
	table_free(&p->targets);
	index_free(&p->target_by_name);
}
