/*
 * A small seeded random number generator (splitmix64, Steele, Lea and Flood
 * 2014) for jitter and tests. It is not suitable for secrets.
 */
#ifndef UTIL_RNG_H
#define UTIL_RNG_H

#include <stdint.h>

struct rng {
	uint64_t state;
};

static inline uint64_t rng_next(struct rng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Returns a number from 0 to n - 1, or zero if n is zero. */
static inline uint64_t rng_below(struct rng *r, uint64_t n)
{
	return n ? rng_next(r) % n : 0;
}

#endif
