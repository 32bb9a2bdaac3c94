#include <stdlib.h>
#include <string.h>

#include "coordination/claims.h"
#include "util/alloc.h"

static struct index_key index_key_of(const struct syc_claim_key *key)
{
	struct index_key index_key;

	memcpy(&index_key.hi, key->b, sizeof(index_key.hi));
	memcpy(&index_key.lo, key->b + sizeof(index_key.hi),
	       sizeof(index_key.lo));
	return index_key;
}

void claims_init(struct claims *claims)
{
	memset(claims, 0, sizeof(*claims));
	table_init(&claims->table, sizeof(struct claim));
}

void claims_free(struct claims *claims)
{
	table_free(&claims->table);
	index_free(&claims->index);
	free(claims->waiting);
	free(claims->ends);
}

struct claim *claims_find(const struct claims *claims,
			  const struct syc_claim_key *key)
{
	uint64_t handle;

	if (!index_get(&claims->index, index_key_of(key), &handle))
		return NULL;
	return table_get(&claims->table, handle);
}

struct claim *claims_add(struct claims *claims, const struct syc_claim_key *key)
{
	void *item;
	struct claim *claim;
	uint64_t handle = table_add(&claims->table, &item);

	claim = item;
	claim->key = *key;
	claim->slice = (uint8_t)map_slice_of(key);
	index_put(&claims->index, index_key_of(key), handle);
	return claim;
}

void claims_remove(struct claims *claims, const struct syc_claim_key *key)
{
	uint64_t handle;

	if (!index_get(&claims->index, index_key_of(key), &handle))
		return;
	index_del(&claims->index, index_key_of(key));
	table_del(&claims->table, handle);
}

void claims_add_waiting(struct claims *claims, struct claim *claim,
			int64_t deadline_at, uint64_t entry_epoch)
{
	struct waiting_claim *w;

	if (claims->n_waiting == claims->cap_waiting) {
		claims->cap_waiting = claims->cap_waiting
					      ? claims->cap_waiting * 2
					      : 16;
		claims->waiting = xrealloc(claims->waiting,
					   claims->cap_waiting * sizeof(*w));
	}
	w = &claims->waiting[claims->n_waiting++];
	w->key = claim->key;
	w->sent_at = 0;
	w->deadline_at = deadline_at;
	w->entry_epoch = entry_epoch;
	claim->waiting_pos = (uint32_t)claims->n_waiting;
}

struct waiting_claim *claims_find_waiting(const struct claims *claims,
					  const struct claim *claim)
{
	return claim->waiting_pos ? &claims->waiting[claim->waiting_pos - 1]
				  : NULL;
}

void claims_remove_waiting(struct claims *claims, struct claim *claim)
{
	struct waiting_claim *w = claims_find_waiting(claims, claim);
	struct claim *moved;

	if (!w)
		return;
	*w = claims->waiting[--claims->n_waiting];
	moved = claims_find(claims, &w->key);
	if (moved && moved != claim)
		moved->waiting_pos = claim->waiting_pos;
	claim->waiting_pos = 0;
}

void claims_add_end(struct claims *claims, const struct claim *claim)
{
	struct claim_end *e;

	if (claims->n_ends == claims->cap_ends) {
		claims->cap_ends = claims->cap_ends ? claims->cap_ends * 2 : 16;
		claims->ends = xrealloc(claims->ends,
					claims->cap_ends * sizeof(*e));
	}
	e = &claims->ends[claims->n_ends++];
	memset(e, 0, sizeof(*e));
	e->key = claim->key;
	e->runner = claim->runner;
	e->serial = claim->serial;
	e->outcome = claim->outcome;
}

void claims_remove_end(struct claims *claims, size_t i)
{
	claims->ends[i] = claims->ends[--claims->n_ends];
}
