#include <string.h>
#include <xxhash.h>

#include "util/log_budget.h"

enum {
	SECOND_MS = 1000,
	BURST_FACTOR = 2 /* multiple of lines_per_s; see is_kept */
};

void log_budget_init(struct log_budget *b, uint32_t lines_per_s)
{
	memset(b, 0, sizeof(*b));
	b->lines_per_s = lines_per_s;
	b->kept_share = LOG_BUDGET_ALL;
}

static uint32_t next_share(const struct log_budget *b)
{
	if (b->offered <= b->lines_per_s)
		return LOG_BUDGET_ALL;
	return (uint32_t)((uint64_t)b->lines_per_s * LOG_BUDGET_ALL /
			  b->offered);
}

bool log_budget_advance(struct log_budget *b, int64_t now_ms)
{
	uint32_t before = b->kept_share;

	if (!b->lines_per_s || now_ms - b->second_started_at < SECOND_MS)
		return false;
	b->kept_share = next_share(b);
	b->second_started_at = now_ms;
	b->offered = 0;
	b->written = 0;
	return b->kept_share != before;
}

/*
 * The kept share follows from the load of the previous second. If the load
 * rises suddenly, BURST_FACTOR limits the lines of the current second, so the
 * lines of a job may then be kept in part.
 */
static bool is_kept(const struct log_budget *b, const char *job)
{
	if (b->written >= BURST_FACTOR * b->lines_per_s)
		return false;
	return XXH64(job, strlen(job), 0) % LOG_BUDGET_ALL < b->kept_share;
}

bool log_budget_admit(struct log_budget *b, const char *job)
{
	if (!b->lines_per_s)
		return true;
	b->offered++;
	if (job && !is_kept(b, job)) {
		b->left_out++;
		return false;
	}
	b->written++;
	return true;
}
