#include "fleet/cell_choice.h"

enum {
	/* Free part of the own cell above which no other is considered. */
	OWN_FREE_MIN_PERCENT = 15,
	PERCENT = 100
};

static bool may_try(const struct cell_view *v)
{
	return v->reachable && !v->tried;
}

static bool has_room(const struct cell_view *v, uint64_t cpu_milli)
{
	return may_try(v) && v->free_cpu_milli >= cpu_milli;
}

static bool has_room_to_spare(const struct cell_view *v, uint64_t cpu_milli)
{
	return has_room(v, cpu_milli) && v->cpu_milli &&
	       v->free_cpu_milli * PERCENT >=
		       v->cpu_milli * OWN_FREE_MIN_PERCENT;
}

/* The number of the `k`th cell that has room, without cell `skip`. */
static size_t nth_with_room(const struct cell_view *views, size_t n,
			    uint64_t cpu_milli, size_t k, size_t skip)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (i != skip && has_room(&views[i], cpu_milli) && !k--)
			return i;
	return n;
}

static size_t count_with_room(const struct cell_view *views, size_t n,
			      uint64_t cpu_milli)
{
	size_t i, found = 0;

	for (i = 0; i < n; i++)
		found += has_room(&views[i], cpu_milli);
	return found;
}

/*
 * Any cell that may be tried: the own one first, but after those with capacity
 * if it has none, as when its workers are evacuated.
 */
static size_t choose_without_room(const struct cell_view *views, size_t n)
{
	size_t i, any = n, own = n;

	for (i = 0; i < n; i++) {
		if (!may_try(&views[i]))
			continue;
		if (views[i].is_own)
			own = i;
		else if (any == n || views[i].cpu_milli)
			any = i;
	}
	if (own == n)
		return any;
	if (any < n && views[any].cpu_milli && !views[own].cpu_milli)
		return any;
	return own;
}

size_t cell_choose(const struct cell_view *views, size_t n, uint64_t cpu_milli,
		   struct rng *rng)
{
	size_t i, a, b, n_room;

	for (i = 0; i < n; i++)
		if (views[i].is_own && has_room_to_spare(&views[i], cpu_milli))
			return i;
	n_room = count_with_room(views, n, cpu_milli);
	if (!n_room)
		return choose_without_room(views, n);
	a = nth_with_room(views, n, cpu_milli, rng_below(rng, n_room), n);
	if (n_room == 1)
		return a;
	b = nth_with_room(views, n, cpu_milli, rng_below(rng, n_room - 1), a);
	return views[b].free_cpu_milli > views[a].free_cpu_milli ? b : a;
}
