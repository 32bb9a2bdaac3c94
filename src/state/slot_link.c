/* Links, one for each peer and service between which slots are granted. */
#include <stdlib.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"

static struct index_key link_key(const struct pool *p, uint64_t peer)
{
	uint64_t pair[2] = {(uintptr_t)p, peer};

	return index_hash_bytes(pair, sizeof(pair));
}

struct link *link_find(const struct syc_dispatch *d, const struct pool *p,
		       uint64_t peer)
{
	uint64_t handle;

	if (!index_get(&d->link_index, link_key(p, peer), &handle))
		return NULL;
	return table_get(&d->links, handle);
}

struct link *link_get(struct syc_dispatch *d, int64_t now, struct pool *p,
		      uint64_t peer)
{
	struct link *l = link_find(d, p, peer);
	void *item;

	if (l) {
		l->used_at = now;
		return l;
	}
	if (d->links.used >= LINKS_MAX)
		return NULL;
	index_put(&d->link_index, link_key(p, peer),
		  table_add(&d->links, &item));
	l = item;
	index_get(&d->link_index, link_key(p, peer), &l->handle);
	l->peer = peer;
	l->pool = p;
	l->used_at = now;
	l->request_sent_at = now - RENEW_INTERVAL_MS;
	l->peer_slots_free = UINT32_MAX;
	list_init(&l->held_grants);
	list_init(&l->holdings);
	list_init(&l->issued_grants);
	list_init(&l->demands);
	return l;
}

static void free_lists(struct link *l)
{
	struct list *n, *after;

	LIST_EACH(n, after, &l->held_grants)
	free(LIST_ITEM(n, struct held_grant, link_node));
	LIST_EACH(n, after, &l->holdings)
	free(LIST_ITEM(n, struct holding, link_node));
	LIST_EACH(n, after, &l->demands)
	{
		list_remove(&LIST_ITEM(n, struct demand, link_node)->flow_node);
		free(LIST_ITEM(n, struct demand, link_node));
	}
	buf_free(&l->returned_ids);
	buf_free(&l->failed_ids);
	buf_free(&l->not_renewed);
}

static void drop_link(struct syc_dispatch *d, struct link *l)
{
	free_lists(l);
	index_del(&d->link_index, link_key(l->pool, l->peer));
	table_del(&d->links, l->handle);
}

void links_drop_idle(struct syc_dispatch *d, int64_t now)
{
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	while ((l = table_next(&d->links, &pos, &h)))
		if (!l->n_held && !l->n_issued && !l->returned_ids.len &&
		    now - l->used_at > LINK_IDLE_MS)
			drop_link(d, l);
}

void links_free(struct syc_dispatch *d)
{
	struct link *l;
	uint32_t pos = 0;
	uint64_t h;

	while ((l = table_next(&d->links, &pos, &h)))
		drop_link(d, l);
	table_free(&d->links);
	index_free(&d->link_index);
}
