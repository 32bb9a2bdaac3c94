/*
 * A cache of answers for submissions that are repeated under their key,
 * limited in bytes. The oldest answers are dropped first. A claim is kept
 * longer than its answer.
 */
#ifndef CORE_ANSWER_CACHE_H
#define CORE_ANSWER_CACHE_H

#include "sycamoreshore/coord.h"
#include "util/index.h"
#include "util/table.h"

struct answer_cache {
	struct table answers;
	struct index by_key;
	uint64_t oldest, newest; /* handles; zero: empty */
	size_t bytes;
	size_t bytes_max;
};

void answer_cache_init(struct answer_cache *cache, size_t bytes_max);
void answer_cache_free(struct answer_cache *cache);

/* Stores an answer packed by job_answer_pack under `key`. */
void answer_cache_put(struct answer_cache *cache,
		      const struct syc_claim_key *key, struct syc_bytes answer);

/*
 * Returns the packed answer, or a NULL pointer when there is none. It is
 * valid until the next answer_cache_put.
 */
struct syc_bytes answer_cache_get(const struct answer_cache *cache,
				  const struct syc_claim_key *key);

#endif
