#include "policy/placement.h"

/* How sure it is that a task ends in time. */
enum placement_class {
	SAFE, /* even if it takes half as long again */
	LIKELY,
	TIGHT, /* only if it takes no longer than expected */
	LATE
};

/* The time left is this multiple of the expected time. */
static const double safe_ratio = 1.5;
static const double likely_ratio = 1.1;

/* Factors that differ by less count as equal, for they are learned. */
static const double factor_step = 1.15;

static enum placement_class class_of(const struct placement_task *t,
				     const struct placement_worker *w)
{
	if (w->expected_ms * safe_ratio <= t->left_ms)
		return SAFE;
	if (w->expected_ms * likely_ratio <= t->left_ms)
		return LIKELY;
	return w->expected_ms <= t->left_ms ? TIGHT : LATE;
}

bool placement_is_in_time(const struct placement_task *t,
			  const struct placement_worker *w)
{
	return class_of(t, w) != LATE;
}

static bool is_slower(const struct placement_worker *a,
		      const struct placement_worker *b)
{
	return a->factor > b->factor * factor_step;
}

bool placement_is_better(const struct placement_task *t,
			 const struct placement_worker *a,
			 const struct placement_worker *b)
{
	enum placement_class class_a = class_of(t, a);
	enum placement_class class_b = class_of(t, b);

	if (a->is_mixed != b->is_mixed)
		return b->is_mixed;
	if (class_a != class_b)
		return class_a < class_b;
	if (class_a == LATE && (is_slower(a, b) || is_slower(b, a)))
		return is_slower(b, a);
	if (a->in_home_domain != b->in_home_domain)
		return a->in_home_domain;
	/* Faster ones are left to tasks that need them. */
	if (!t->is_any_speed && (is_slower(a, b) || is_slower(b, a)))
		return is_slower(a, b);
	return a->free_cpu_milli < b->free_cpu_milli;
}
