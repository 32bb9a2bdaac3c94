/* Tests of max-min shares. */
#include "policy/fair_share.h"
#include "unit.h"

static struct run_time route;

/* Two accounts of one priority that ask and get so much each 10 ms. */
static void ask_and_get(struct fair_shares *s, const double ask[2],
			const double get[2], int64_t for_ms)
{
	const char *const domains[] = {"a", "b"};
	size_t i, account;
	int64_t now;

	for (now = 0; now < for_ms; now += 10)
		for (i = 0; i < 2; i++) {
			account = fair_share_find(s, 1, &route, domains[i]);
			fair_share_ask(s, account, ask[i], now);
			fair_share_get(s, account, get[i], now);
		}
}

static void unused_share_is_lent(void)
{
	const double ask[] = {100, 1000}, get[] = {100, 500};
	struct fair_shares s = {0};

	ask_and_get(&s, ask, get, 2000);
	CU_ASSERT(!fair_share_is_over(&s, 0, 2000));
	CU_ASSERT(!fair_share_is_over(&s, 1, 2000));
}

static void who_had_more_than_an_equal_part_is_over(void)
{
	const double ask[] = {400, 1000}, get[] = {100, 500};
	struct fair_shares s = {0};

	ask_and_get(&s, ask, get, 2000);
	CU_ASSERT(!fair_share_is_over(&s, 0, 2000));
	CU_ASSERT(fair_share_is_over(&s, 1, 2000));
}

static void nobody_is_over_while_there_is_room(void)
{
	const double ask[] = {100, 1000}, get[] = {100, 1000};
	struct fair_shares s = {0};

	ask_and_get(&s, ask, get, 2000);
	CU_ASSERT(!fair_share_is_over(&s, 1, 2000));
}

static void other_priorities_do_not_count(void)
{
	const double ask[] = {400, 1000}, get[] = {100, 500};
	struct fair_shares s = {0};
	size_t account;

	ask_and_get(&s, ask, get, 2000);
	account = fair_share_find(&s, 2, &route, "a");
	fair_share_ask(&s, account, 9000, 2000);
	fair_share_get(&s, account, 8000, 2000);
	CU_ASSERT(!fair_share_is_over(&s, account, 2000));
}

static void account_that_was_idle_longest_is_replaced(void)
{
	struct fair_shares s = {0};
	uint32_t i;

	for (i = 0; i < FAIR_ACCOUNTS_MAX; i++)
		fair_share_ask(&s, fair_share_find(&s, i, &route, "a"), 1,
			       i == 5 ? 1 : 100);
	CU_ASSERT_EQUAL(fair_share_find(&s, 1000, &route, "a"), 5);
	CU_ASSERT_EQUAL(s.n, FAIR_ACCOUNTS_MAX);
	CU_ASSERT_EQUAL(fair_share_find(&s, 7, &route, "a"), 7);
}

SUITE(policy_fair)
{
	TEST(unused_share_is_lent);
	TEST(who_had_more_than_an_equal_part_is_over);
	TEST(nobody_is_over_while_there_is_room);
	TEST(other_priorities_do_not_count);
	TEST(account_that_was_idle_longest_is_replaced);
}
