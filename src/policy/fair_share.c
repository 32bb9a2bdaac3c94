#include <math.h>
#include <string.h>

#include "policy/fair_share.h"
#include "util/alloc.h"

/* A sum is less by e after this time. */
static const double window_ms = 1500;

/* Smaller differences are chance. */
static const double under_factor = 0.85;

static double decay_since(const struct fair_account *a, int64_t now)
{
	return exp(-(double)(now - a->at) / window_ms);
}

static void decay(struct fair_account *a, int64_t now)
{
	double factor = decay_since(a, now);

	a->asked *= factor;
	a->got *= factor;
	a->at = now;
}

static size_t longest_idle(const struct fair_shares *s)
{
	size_t i, oldest = 0;

	for (i = 1; i < s->n; i++)
		if (s->accounts[i].at < s->accounts[oldest].at)
			oldest = i;
	return oldest;
}

size_t fair_share_find(struct fair_shares *s, uint32_t priority,
		       const struct run_time *route, const char *domain)
{
	struct fair_account *a;
	size_t i;

	for (i = 0; i < s->n; i++) {
		a = &s->accounts[i];
		if (a->priority == priority && a->route == route &&
		    !strcmp(a->domain, domain))
			return i;
	}
	i = s->n < FAIR_ACCOUNTS_MAX ? s->n++ : longest_idle(s);
	a = &s->accounts[i];
	memset(a, 0, sizeof(*a));
	a->priority = priority;
	a->route = route;
	copy_text(a->domain, sizeof(a->domain), domain);
	return i;
}

void fair_share_ask(struct fair_shares *s, size_t account, double core_ms,
		    int64_t now)
{
	decay(&s->accounts[account], now);
	s->accounts[account].asked += core_ms;
}

void fair_share_get(struct fair_shares *s, size_t account, double core_ms,
		    int64_t now)
{
	decay(&s->accounts[account], now);
	s->accounts[account].got += core_ms;
}

/* What each account may get so that all get `total` together. */
static double fill_level(const double *asked, size_t n, double total)
{
	double level = total / (double)n, lower = -1, rest;
	size_t i, n_above;

	while (level > lower) {
		lower = level;
		rest = total;
		n_above = 0;
		for (i = 0; i < n; i++) {
			if (asked[i] <= level)
				rest -= asked[i];
			else
				n_above++;
		}
		if (!n_above)
			return INFINITY;
		level = rest / (double)n_above;
	}
	return level;
}

/* Whether an account got clearly less than its share. */
static bool is_any_under(const double *asked, const double *got, size_t n,
			 double level)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (got[i] < under_factor * fmin(asked[i], level))
			return true;
	return false;
}

bool fair_share_is_over(const struct fair_shares *s, size_t account,
			int64_t now)
{
	const struct fair_account *own = &s->accounts[account];
	double asked[FAIR_ACCOUNTS_MAX], got[FAIR_ACCOUNTS_MAX];
	double total = 0, factor, level;
	size_t i, n = 0;

	for (i = 0; i < s->n; i++) {
		const struct fair_account *a = &s->accounts[i];

		if (a->priority != own->priority)
			continue;
		factor = decay_since(a, now);
		asked[n] = a->asked * factor;
		got[n] = a->got * factor;
		total += got[n++];
	}
	level = fill_level(asked, n, total);
	return own->got * decay_since(own, now) > level &&
	       is_any_under(asked, got, n, level);
}
