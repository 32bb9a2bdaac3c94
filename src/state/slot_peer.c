/* Slot peers: one for each peer and service; see slot_state.h. */
#include <stdlib.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"

static struct index_key slot_peer_key(const struct pool *p, uint64_t peer)
{
	uint64_t pair[2] = {(uintptr_t)p, peer};

	return index_hash_bytes(pair, sizeof(pair));
}

struct slot_peer *slot_peer_find(const struct syc_dispatch *d,
				 const struct pool *p, uint64_t peer)
{
	uint64_t handle;

	if (!index_get(&d->slot_peer_index, slot_peer_key(p, peer), &handle))
		return NULL;
	return table_get(&d->slot_peers, handle);
}

struct slot_peer *slot_peer_get(struct syc_dispatch *d, int64_t now,
				struct pool *p, uint64_t peer)
{
	struct slot_peer *sp = slot_peer_find(d, p, peer);
	void *item;

	if (sp) {
		sp->used_at = now;
		return sp;
	}
	if (d->slot_peers.used >= SLOT_PEERS_MAX)
		return NULL;
	index_put(&d->slot_peer_index, slot_peer_key(p, peer),
		  table_add(&d->slot_peers, &item));
	sp = item;
	index_get(&d->slot_peer_index, slot_peer_key(p, peer), &sp->handle);
	sp->peer = peer;
	sp->pool = p;
	sp->used_at = now;
	sp->request_sent_at = now - RENEW_INTERVAL_MS;
	sp->peer_slots_free = UINT32_MAX;
	list_init(&sp->held_grants);
	list_init(&sp->holdings);
	list_init(&sp->issued_grants);
	list_init(&sp->demands);
	return sp;
}

static void free_lists(struct slot_peer *sp)
{
	struct list *n, *after;

	LIST_EACH(n, after, &sp->held_grants)
	free(LIST_ITEM(n, struct held_grant, peer_node));
	LIST_EACH(n, after, &sp->holdings)
	free(LIST_ITEM(n, struct holding, peer_node));
	LIST_EACH(n, after, &sp->demands)
	{
		list_remove(&LIST_ITEM(n, struct demand, peer_node)->flow_node);
		free(LIST_ITEM(n, struct demand, peer_node));
	}
	buf_free(&sp->returned_ids);
	buf_free(&sp->failed_ids);
	buf_free(&sp->not_renewed);
}

static void drop_slot_peer(struct syc_dispatch *d, struct slot_peer *sp)
{
	free_lists(sp);
	index_del(&d->slot_peer_index, slot_peer_key(sp->pool, sp->peer));
	table_del(&d->slot_peers, sp->handle);
}

void slot_peers_drop_idle(struct syc_dispatch *d, int64_t now)
{
	struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	while ((sp = table_next(&d->slot_peers, &pos, &h)))
		if (!sp->n_held && !sp->n_issued && !sp->returned_ids.len &&
		    now - sp->used_at > SLOT_PEER_IDLE_MS)
			drop_slot_peer(d, sp);
}

void slot_peers_free(struct syc_dispatch *d)
{
	struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	while ((sp = table_next(&d->slot_peers, &pos, &h)))
		drop_slot_peer(d, sp);
	table_free(&d->slot_peers);
	index_free(&d->slot_peer_index);
}
