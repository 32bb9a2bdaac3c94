/*
 * What becomes of an attempt to claim a key: at the primary a claim waits
 * for the backup of the same map entry before anything may start.
 */
#include <string.h>

#include "coordination/coord_state.h"
#include "util/invariant.h"

enum {
	WAIT_SUSPICIONS = 2, /* suspicion times that a claim waits at most */
	WAIT_MORE_MS = 1000
};

static struct syc_claim_result refuse(enum syc_reason reason, uint32_t retry_ms)
{
	struct syc_claim_result r = {.decision = SYC_DECISION_REFUSED,
				     .outcome = SYC_UNKNOWN,
				     .reason = reason,
				     .retry_after_ms = retry_ms};

	return r;
}

static struct syc_claim_result verdict(enum syc_claim_decision v,
				       uint64_t runner)
{
	struct syc_claim_result r = {.decision = v, .instance = runner};

	return r;
}

static struct syc_claim_result ended(const struct claim *cl)
{
	struct syc_claim_result r = {.decision = SYC_DECISION_ENDED,
				     .instance = cl->runner,
				     .outcome = cl->outcome,
				     .reason = SYC_ANSWER_DROPPED};

	return r;
}

/* The verdict on a key that this instance holds a claim of. */
static struct syc_claim_result held(const struct syc_coord *c,
				    const struct claim *cl)
{
	if (cl->runner == c->opt.self.id)
		return cl->state == CLAIM_ENDED
			       ? ended(cl)
			       : verdict(SYC_DECISION_JOIN, cl->runner);
	if (membership_may_run(c, cl->runner))
		return verdict(SYC_DECISION_ELSEWHERE, cl->runner);
	if (cl->state == CLAIM_ENDED)
		return ended(cl);
	return refuse(SYC_RUNNER_GONE, 0);
}

/* The verdict of an instance that is not the key's primary. */
static struct syc_claim_result pass_on(const struct syc_coord *c,
				       const struct claim *cl, uint64_t primary)
{
	if (membership_may_run(c, primary))
		return verdict(SYC_DECISION_FORWARD, primary);
	if (cl)
		return held(c, cl);
	return refuse(SYC_HOME_UNREACHABLE, c->opt.suspect_ms);
}

/*
 * Whether the key may be older than the slice's loss of claims. A ticket
 * counts as newer only when its epoch is one of this map's own history since
 * the loss: a store that was set back has lost a history with other epochs.
 */
static bool lost(const struct syc_coord *c, unsigned s, uint64_t ticket_epoch)
{
	const struct map_slice *sl = &c->map.slices[s];

	if (!sl->lost ||
	    c->now - c->lost_seen[s] > (int64_t)c->opt.retention_ms)
		return false;
	return ticket_epoch < sl->lost || !map_had(&c->map, ticket_epoch);
}

static struct claim *add_own(struct syc_coord *c,
			     const struct syc_claim_key *key,
			     const uint8_t *digest)
{
	struct claim *cl = claims_add(&c->claims, key);

	memcpy(cl->digest, digest, CLAIM_DIGEST_LEN);
	cl->runner = c->opt.self.id;
	cl->serial = ++c->claims.serial;
	cl->at = c->now;
	return cl;
}

static void start_now(struct syc_coord *c, struct claim *cl)
{
	invariant(c->map.slices[cl->slice].primary == c->opt.self.id ||
		  !c->rules.drop_waiting);
	invariant(cl->runner == c->opt.self.id && cl->state != CLAIM_ENDED);
	claims_unwait(&c->claims, cl);
	cl->state = CLAIM_LIVE;
	cl->at = c->now;
}

/* The primary takes a key that nobody holds. */
static struct syc_claim_result take(struct syc_coord *c,
				    const struct syc_claim_key *key,
				    const uint8_t *digest)
{
	const struct map_slice *sl = &c->map.slices[map_slice_of(key)];
	struct claim *cl = add_own(c, key, digest);
	int64_t wait = (int64_t)c->opt.suspect_ms * WAIT_SUSPICIONS +
		       WAIT_MORE_MS;

	if (!sl->backup && !c->confirm) {
		start_now(c, cl);
		return verdict(SYC_DECISION_RUN, cl->runner);
	}
	cl->state = CLAIM_WAITING;
	claims_wait(&c->claims, cl, c->now + wait, sl->since);
	if (sl->backup)
		claim_send(c, cl);
	if (!c->rules.ack_before_start) {
		start_now(c, cl);
		return verdict(SYC_DECISION_RUN, cl->runner);
	}
	return verdict(SYC_DECISION_PENDING, cl->runner);
}

/* A claim that cannot be acknowledged now is refused rather than held. */
static bool stalled(const struct syc_coord *c, uint64_t backup)
{
	return backup && !membership_may_run(c, backup) && !c->store.reachable;
}

struct syc_claim_result claim_serve(struct syc_coord *c,
				    const struct syc_claim_key *key,
				    const uint8_t *digest, uint64_t ticket)
{
	unsigned s = map_slice_of(key);
	const struct map_slice *sl = &c->map.slices[s];
	const struct claim *cl = claims_find(&c->claims, key);

	if (!c->map.epoch)
		return refuse(SYC_NOT_READY, CLAIM_RETRY_MS);
	if (cl && memcmp(cl->digest, digest, CLAIM_DIGEST_LEN))
		return verdict(SYC_DECISION_MISMATCH, 0);
	if (cl && cl->runner == c->opt.self.id)
		return held(c, cl);
	if (sl->primary != c->opt.self.id)
		return pass_on(c, cl, sl->primary);
	if (cl)
		return held(c, cl);
	if (lost(c, s, ticket))
		return refuse(SYC_CLAIMS_LOST, 0);
	if (c->claims.table.used >= c->opt.claims_max)
		return refuse(SYC_CLAIMS_FULL, CLAIM_RETRY_MS);
	if (stalled(c, sl->backup))
		return refuse(SYC_CLAIM_PENDING, c->opt.suspect_ms);
	return take(c, key, digest);
}

struct syc_claim_result claim_look(const struct syc_coord *c,
				   const struct syc_claim_key *key)
{
	const struct claim *cl = claims_find(&c->claims, key);
	uint64_t primary = c->map.slices[map_slice_of(key)].primary;
	struct syc_claim_result r;

	if (!c->map.epoch)
		return refuse(SYC_NOT_READY, CLAIM_RETRY_MS);
	if (cl && (cl->runner == c->opt.self.id || primary == c->opt.self.id))
		return held(c, cl);
	if (primary != c->opt.self.id)
		return pass_on(c, cl, primary);
	r = refuse(SYC_REASON_NONE, 0);
	if (!lost(c, map_slice_of(key), 0))
		r.outcome = SYC_NOT_RUN;
	return r;
}

/* Drops a claim that never started; tells others who may have noted it. */
static void drop(struct syc_coord *c, const struct syc_claim_key *key)
{
	struct claim *cl = claims_find(&c->claims, key);

	claims_unwait(&c->claims, cl);
	cl->outcome = SYC_NOT_RUN;
	claims_push_end(&c->claims, cl);
	claims_del(&c->claims, key);
}

static void give_up(struct syc_coord *c, struct syc_claim_key key,
		    struct syc_claim_result res)
{
	drop(c, &key);
	c->opt.claimed(c->opt.ctx, &key, &res);
}

void claim_serve_answered(struct syc_coord *c, const struct syc_claim_key *key,
			  uint32_t serial, unsigned ack)
{
	struct claim *cl = claims_find(&c->claims, key);
	struct syc_claim_key copy = *key;
	struct syc_claim_result res;

	if (!cl || cl->state != CLAIM_WAITING || cl->serial != serial)
		return;
	if (ack == CLAIM_TAKEN) {
		start_now(c, cl);
		res = verdict(SYC_DECISION_RUN, cl->runner);
		c->opt.claimed(c->opt.ctx, &copy, &res);
		return;
	}
	res = refuse(ack == CLAIM_FULL ? SYC_CLAIMS_FULL : SYC_RUNNER_GONE,
		     ack == CLAIM_FULL ? CLAIM_RETRY_MS : 0);
	if (ack == CLAIM_FULL)
		res.outcome = SYC_NOT_RUN;
	give_up(c, copy, res);
}

/* Sends what waits again, or starts it where no backup is left. */
static void renew(struct syc_coord *c, size_t i)
{
	struct waiting *w = &c->claims.waiting[i];
	struct claim *cl = claims_find(&c->claims, &w->key);
	struct syc_claim_key key = w->key;
	struct syc_claim_result res;

	if (c->map.slices[cl->slice].primary != c->opt.self.id)
		return;
	if (c->map.slices[cl->slice].backup) {
		claim_send(c, cl);
		return;
	}
	if (c->confirm)
		return;
	start_now(c, cl);
	res = verdict(SYC_DECISION_RUN, cl->runner);
	c->opt.claimed(c->opt.ctx, &key, &res);
}

/* Walks down, as handling one entry may put the last in its place. */
static void renew_all(struct syc_coord *c, bool at_once)
{
	size_t i = c->claims.n_waiting;

	while (i-- > 0) {
		struct waiting *w;

		if (i >= c->claims.n_waiting)
			continue;
		w = &c->claims.waiting[i];
		if (at_once || c->now - w->sent >= RESEND_MS)
			renew(c, i);
	}
}

void claim_serve_tick(struct syc_coord *c)
{
	size_t i = c->claims.n_waiting;

	while (i-- > 0) {
		if (i < c->claims.n_waiting &&
		    c->now >= c->claims.waiting[i].deadline)
			give_up(c, c->claims.waiting[i].key,
				refuse(SYC_CLAIM_PENDING, CLAIM_RETRY_MS));
	}
	renew_all(c, false);
}

/* Whether this instance was primary all the time since `w` was made. */
static bool stayed_primary(const struct syc_coord *c, const struct waiting *w)
{
	const struct map_slice *sl = &c->map.slices[map_slice_of(&w->key)];

	return sl->primary == c->opt.self.id &&
	       (sl->held <= w->since || !c->rules.stay_primary);
}

/*
 * A waiting claim belongs to the map entry it was made under. Where another
 * instance is or was primary since, it is dropped, whatever arrives later.
 */
void claim_serve_adopted(struct syc_coord *c)
{
	size_t i = c->claims.n_waiting;

	if (!c->rules.drop_waiting)
		return;
	while (i-- > 0) {
		const struct waiting *w = &c->claims.waiting[i];

		if (i < c->claims.n_waiting && !stayed_primary(c, w))
			give_up(c, w->key,
				refuse(SYC_CLAIM_PENDING, CLAIM_RETRY_MS));
	}
	renew_all(c, true);
}

/* The store confirmed the map: what waited to be served alone starts. */
void claim_serve_confirmed(struct syc_coord *c)
{
	renew_all(c, false);
}

void claim_serve_end(struct syc_coord *c, const struct syc_claim_key *key,
		     enum syc_outcome outcome)
{
	struct claim *cl = claims_find(&c->claims, key);

	if (!cl || cl->runner != c->opt.self.id || cl->state == CLAIM_ENDED)
		return;
	invariant(cl->state != CLAIM_WAITING || outcome == SYC_NOT_RUN);
	if (outcome == SYC_NOT_RUN) {
		drop(c, key);
		return;
	}
	cl->state = CLAIM_ENDED;
	cl->outcome = (uint8_t)outcome;
	cl->at = c->now;
	claims_push_end(&c->claims, cl);
}
