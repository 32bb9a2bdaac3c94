/*
 * Max-min shares of the processor capacity between accounts (a route and the
 * failure domain of the callers' homes) of one priority. An account that asks
 * for less than its share gets all of it, and what it leaves is lent to the
 * others in equal parts. While one gets clearly less than its share, those that
 * have had more wait behind it.
 * All sums decay, so a share that was not asked for is not saved up.
 */
#ifndef POLICY_FAIR_SHARE_H
#define POLICY_FAIR_SHARE_H

#include "policy/run_time.h"

enum { FAIR_ACCOUNTS_MAX = 64 /* the one that was idle longest is replaced */ };

struct fair_account {
	uint32_t priority;
	const struct run_time *route;
	char domain[SYC_NAME_MAX];
	double asked, got; /* core-ms */
	int64_t at; /* when the sums were last updated */
};

struct fair_shares {
	struct fair_account accounts[FAIR_ACCOUNTS_MAX];
	size_t n;
};

/* Returns the index of the account; adds it if there is none. */
size_t fair_share_find(struct fair_shares *s, uint32_t priority,
		       const struct run_time *route, const char *domain);
/* A job of the account was submitted. */
void fair_share_ask(struct fair_shares *s, size_t account, double core_ms,
		    int64_t now);
/* A task of the account was started. */
void fair_share_get(struct fair_shares *s, size_t account, double core_ms,
		    int64_t now);
/* Whether it has had more than its share, and another one clearly less. */
bool fair_share_is_over(const struct fair_shares *s, size_t account,
			int64_t now);

#endif
