#include <stdlib.h>
#include <string.h>

#include "core/answer_cache.h"
#include "util/alloc.h"

struct cached_answer {
	struct index_key key;
	uint64_t next; /* handle of the next newer answer; zero: none */
	size_t len;
	char *data;
};

static struct index_key index_key_of(const struct syc_claim_key *key)
{
	struct index_key index_key;

	memcpy(&index_key, key->b, sizeof(index_key));
	return index_key;
}

void answer_cache_init(struct answer_cache *cache, size_t bytes_max)
{
	memset(cache, 0, sizeof(*cache));
	table_init(&cache->answers, sizeof(struct cached_answer));
	cache->bytes_max = bytes_max;
}

static void drop_oldest(struct answer_cache *cache)
{
	uint64_t handle = cache->oldest;
	struct cached_answer *entry = table_get(&cache->answers, handle);
	uint64_t current;

	cache->oldest = entry->next;
	if (!cache->oldest)
		cache->newest = 0;
	if (index_get(&cache->by_key, entry->key, &current) &&
	    current == handle)
		index_del(&cache->by_key, entry->key);
	cache->bytes -= entry->len;
	free(entry->data);
	table_del(&cache->answers, handle);
}

void answer_cache_free(struct answer_cache *cache)
{
	while (cache->oldest)
		drop_oldest(cache);
	table_free(&cache->answers);
	index_free(&cache->by_key);
}

void answer_cache_put(struct answer_cache *cache,
		      const struct syc_claim_key *key, struct syc_bytes answer)
{
	struct cached_answer *entry, *prev;
	void *item;
	uint64_t handle;

	if (answer.n > cache->bytes_max)
		return;
	while (cache->oldest && cache->bytes + answer.n > cache->bytes_max)
		drop_oldest(cache);
	handle = table_add(&cache->answers, &item);
	entry = item;
	entry->key = index_key_of(key);
	entry->len = answer.n;
	entry->data = xmemdup(answer.p, answer.n);
	prev = table_get(&cache->answers, cache->newest);
	if (prev)
		prev->next = handle;
	else
		cache->oldest = handle;
	cache->newest = handle;
	cache->bytes += answer.n;
	index_put(&cache->by_key, entry->key, handle);
}

struct syc_bytes answer_cache_get(const struct answer_cache *cache,
				  const struct syc_claim_key *key)
{
	struct syc_bytes none = {NULL, 0}, found;
	const struct cached_answer *entry;
	uint64_t handle;

	if (!index_get(&cache->by_key, index_key_of(key), &handle))
		return none;
	entry = table_get(&cache->answers, handle);
	found.p = entry->data;
	found.n = entry->len;
	return found;
}
