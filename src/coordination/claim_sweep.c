/*
 * Ends the live claims of runners that have ended and drops ended claims by
 * age. Each sweep examines a bounded number of claims.
 */
#include "coordination/coord_state.h"

enum {
	SWEEP_INTERVAL_MS = 200,
	/*
	 * Multiple of retention_ms. A live claim of another runner that is
	 * older is ended even if the runner is alive.
	 */
	ORPHAN_RETENTION_MULTIPLE = 2
};

/* Whether the runner of `claim` has ended, as far as is known. */
static bool is_runner_gone(const struct syc_coord *c, const struct claim *claim)
{
	const struct peer *p;

	if (claim->runner == c->opt.self.id)
		return false;
	if (c->now - claim->updated_at >
	    (int64_t)c->opt.retention_ms * ORPHAN_RETENTION_MULTIPLE)
		return true;
	p = peers_find(&c->peers, claim->runner);
	return !p ||
	       (p->is_suspected && map_find_member(&c->map, claim->runner) < 0);
}

static void sweep_claim(struct syc_coord *c, struct claim *claim)
{
	struct syc_claim_key key = claim->key;

	if (claim->state == CLAIM_LIVE && is_runner_gone(c, claim)) {
		claim->state = CLAIM_ENDED;
		claim->outcome = SYC_UNKNOWN;
		claim->updated_at = c->now;
	}
	if (claim->state == CLAIM_ENDED &&
	    c->now - claim->updated_at > (int64_t)c->opt.retention_ms)
		claims_remove(&c->claims, &key);
}

void claim_sweep_tick(struct syc_coord *c)
{
	struct claims *claims = &c->claims;
	struct claim *claim;
	uint64_t handle;
	int i;

	if (c->now - c->swept_at < SWEEP_INTERVAL_MS)
		return;
	c->swept_at = c->now;
	for (i = 0; i < CLAIM_SWEEP_COUNT; i++) {
		claim = table_next(&claims->table, &claims->sweep_pos, &handle);
		if (!claim) {
			claims->sweep_pos = 0;
			return;
		}
		sweep_claim(c, claim);
	}
}
