/*
 * Answers attempts to claim a key. At the primary a claim waits until the
 * backup of the same map entry has acknowledged it, before anything starts.
 */
#include <string.h>

#include "coordination/coord_state.h"
#include "util/invariant.h"

enum {
	/* A claim waits for its acknowledgement for the sum of both times. */
	ACK_WAIT_SUSPECT_MULTIPLE = 2, /* of suspect_ms */
	ACK_WAIT_EXTRA_MS = 1000
};

static struct syc_claim_result make_refusal(enum syc_reason reason,
					    uint32_t retry_ms)
{
	struct syc_claim_result r = {.decision = SYC_DECISION_REFUSED,
				     .outcome = SYC_UNKNOWN,
				     .reason = reason,
				     .retry_after_ms = retry_ms};

	return r;
}

static struct syc_claim_result make_result(enum syc_claim_decision decision,
					   uint64_t instance)
{
	struct syc_claim_result r = {.decision = decision,
				     .instance = instance};

	return r;
}

static struct syc_claim_result make_ended_result(const struct claim *claim)
{
	struct syc_claim_result r = {.decision = SYC_DECISION_ENDED,
				     .instance = claim->runner,
				     .outcome = claim->outcome,
				     .reason = SYC_ANSWER_DROPPED};

	return r;
}

/* Returns the result for a key of which this instance holds a claim. */
static struct syc_claim_result held_claim_result(const struct syc_coord *c,
						 const struct claim *claim)
{
	if (claim->runner == c->opt.self.id)
		return claim->state == CLAIM_ENDED
			       ? make_ended_result(claim)
			       : make_result(SYC_DECISION_JOIN, claim->runner);
	if (membership_is_alive(c, claim->runner))
		return make_result(SYC_DECISION_ELSEWHERE, claim->runner);
	if (claim->state == CLAIM_ENDED)
		return make_ended_result(claim);
	return make_refusal(SYC_RUNNER_GONE, 0);
}

/* Returns the result at an instance that is not the key's primary. */
static struct syc_claim_result forward_result(const struct syc_coord *c,
					      const struct claim *claim,
					      uint64_t primary)
{
	if (membership_is_alive(c, primary))
		return make_result(SYC_DECISION_FORWARD, primary);
	if (claim)
		return held_claim_result(c, claim);
	return make_refusal(SYC_HOME_UNREACHABLE, c->opt.suspect_ms);
}

/*
 * Whether a claim of the key may be among those that the slice has lost. A
 * ticket is newer than the loss only if its epoch belongs to this map's
 * history since the loss. A history that the store lost when it was set back
 * has other epochs.
 */
static bool may_be_lost(const struct syc_coord *c, unsigned slice_index,
			uint64_t ticket_epoch)
{
	const struct map_slice *slice = &c->map.slices[slice_index];

	if (!slice->loss_epoch || c->now - c->loss_seen_at[slice_index] >
					  (int64_t)c->opt.retention_ms)
		return false;
	return ticket_epoch < slice->loss_epoch ||
	       !map_has_epoch(&c->map, ticket_epoch);
}

static struct claim *add_own_claim(struct syc_coord *c,
				   const struct syc_claim_key *key,
				   const uint8_t *digest)
{
	struct claim *claim = claims_add(&c->claims, key);

	memcpy(claim->digest, digest, CLAIM_DIGEST_LEN);
	claim->runner = c->opt.self.id;
	claim->serial = ++c->claims.last_serial;
	claim->updated_at = c->now;
	return claim;
}

static void start_claim(struct syc_coord *c, struct claim *claim)
{
	invariant(c->map.slices[claim->slice].primary == c->opt.self.id ||
		  !c->rules.replaced_drops_waiting);
	invariant(claim->runner == c->opt.self.id &&
		  claim->state != CLAIM_ENDED);
	claims_remove_waiting(&c->claims, claim);
	claim->state = CLAIM_LIVE;
	claim->updated_at = c->now;
}

/* Claims, as the primary, a key that no instance holds. */
static struct syc_claim_result take_key(struct syc_coord *c,
					const struct syc_claim_key *key,
					const uint8_t *digest)
{
	const struct map_slice *slice = &c->map.slices[map_slice_of(key)];
	struct claim *claim = add_own_claim(c, key, digest);
	int64_t wait_ms = (int64_t)c->opt.suspect_ms *
				  ACK_WAIT_SUSPECT_MULTIPLE +
			  ACK_WAIT_EXTRA_MS;

	if (!slice->backup && !c->needs_confirmation) {
		start_claim(c, claim);
		return make_result(SYC_DECISION_RUN, claim->runner);
	}
	claim->state = CLAIM_WAITING;
	claims_add_waiting(&c->claims, claim, c->now + wait_ms,
			   slice->entry_epoch);
	if (slice->backup)
		claim_send(c, claim);
	if (!c->rules.ack_before_start) {
		start_claim(c, claim);
		return make_result(SYC_DECISION_RUN, claim->runner);
	}
	return make_result(SYC_DECISION_PENDING, claim->runner);
}

/*
 * Whether no acknowledgement can come: the backup is not alive and the store
 * cannot replace it. A claim is then refused instead of waiting.
 */
static bool is_slice_stalled(const struct syc_coord *c, uint64_t backup)
{
	return backup && !membership_is_alive(c, backup) &&
	       !c->store.is_reachable;
}

struct syc_claim_result claim_serve_attempt(struct syc_coord *c,
					    const struct syc_claim_key *key,
					    const uint8_t *digest,
					    uint64_t ticket_epoch)
{
	unsigned s = map_slice_of(key);
	const struct map_slice *slice = &c->map.slices[s];
	const struct claim *claim = claims_find(&c->claims, key);

	if (!c->map.epoch)
		return make_refusal(SYC_NOT_READY, CLAIM_RETRY_MS);
	if (claim && memcmp(claim->digest, digest, CLAIM_DIGEST_LEN))
		return make_result(SYC_DECISION_MISMATCH, 0);
	if (claim && claim->runner == c->opt.self.id)
		return held_claim_result(c, claim);
	if (slice->primary != c->opt.self.id)
		return forward_result(c, claim, slice->primary);
	if (claim)
		return held_claim_result(c, claim);
	if (may_be_lost(c, s, ticket_epoch))
		return make_refusal(SYC_CLAIMS_LOST, 0);
	if (c->claims.table.used >= c->opt.claims_max)
		return make_refusal(SYC_CLAIMS_FULL, CLAIM_RETRY_MS);
	if (is_slice_stalled(c, slice->backup))
		return make_refusal(SYC_CLAIM_PENDING, c->opt.suspect_ms);
	return take_key(c, key, digest);
}

struct syc_claim_result claim_serve_lookup(const struct syc_coord *c,
					   const struct syc_claim_key *key)
{
	const struct claim *claim = claims_find(&c->claims, key);
	uint64_t primary = c->map.slices[map_slice_of(key)].primary;
	struct syc_claim_result r;

	if (!c->map.epoch)
		return make_refusal(SYC_NOT_READY, CLAIM_RETRY_MS);
	if (claim &&
	    (claim->runner == c->opt.self.id || primary == c->opt.self.id))
		return held_claim_result(c, claim);
	if (primary != c->opt.self.id)
		return forward_result(c, claim, primary);
	r = make_refusal(SYC_REASON_NONE, 0);
	if (!may_be_lost(c, map_slice_of(key), 0))
		r.outcome = SYC_NOT_RUN;
	return r;
}

/*
 * Drops a claim that never started. Its end is sent to the holders that may
 * have recorded it.
 */
static void drop_claim(struct syc_coord *c, const struct syc_claim_key *key)
{
	struct claim *claim = claims_find(&c->claims, key);

	claims_remove_waiting(&c->claims, claim);
	claim->outcome = SYC_NOT_RUN;
	claims_add_end(&c->claims, claim);
	claims_remove(&c->claims, key);
}

static void give_up_claim(struct syc_coord *c, struct syc_claim_key key,
			  struct syc_claim_result res)
{
	drop_claim(c, &key);
	c->opt.claimed(c->opt.ctx, &key, &res);
}

void claim_serve_receive_ack(struct syc_coord *c,
			     const struct syc_claim_key *key, uint32_t serial,
			     unsigned ack)
{
	struct claim *claim = claims_find(&c->claims, key);
	struct syc_claim_key key_copy = *key;
	struct syc_claim_result res;

	if (!claim || claim->state != CLAIM_WAITING || claim->serial != serial)
		return;
	if (ack == CLAIM_ACK_ACCEPTED) {
		start_claim(c, claim);
		res = make_result(SYC_DECISION_RUN, claim->runner);
		c->opt.claimed(c->opt.ctx, &key_copy, &res);
		return;
	}
	res = make_refusal(ack == CLAIM_ACK_FULL ? SYC_CLAIMS_FULL
						 : SYC_RUNNER_GONE,
			   ack == CLAIM_ACK_FULL ? CLAIM_RETRY_MS : 0);
	if (ack == CLAIM_ACK_FULL)
		res.outcome = SYC_NOT_RUN;
	give_up_claim(c, key_copy, res);
}

/* Resends a waiting claim, or starts it if the slice has no backup left. */
static void resend_waiting(struct syc_coord *c, size_t i)
{
	struct waiting_claim *w = &c->claims.waiting[i];
	struct claim *claim = claims_find(&c->claims, &w->key);
	struct syc_claim_key key = w->key;
	struct syc_claim_result res;

	if (c->map.slices[claim->slice].primary != c->opt.self.id)
		return;
	if (c->map.slices[claim->slice].backup) {
		claim_send(c, claim);
		return;
	}
	if (c->needs_confirmation)
		return;
	start_claim(c, claim);
	res = make_result(SYC_DECISION_RUN, claim->runner);
	c->opt.claimed(c->opt.ctx, &key, &res);
}

/*
 * Resends all waiting claims. The loop goes from the last index down, because
 * handling one entry may move the last one into its position.
 */
static void resend_all_waiting(struct syc_coord *c, bool ignore_interval)
{
	size_t i = c->claims.n_waiting;

	while (i-- > 0) {
		struct waiting_claim *w;

		if (i >= c->claims.n_waiting)
			continue;
		w = &c->claims.waiting[i];
		if (ignore_interval ||
		    c->now - w->sent_at >= RESEND_INTERVAL_MS)
			resend_waiting(c, i);
	}
}

void claim_serve_tick(struct syc_coord *c)
{
	size_t i = c->claims.n_waiting;

	while (i-- > 0) {
		if (i < c->claims.n_waiting &&
		    c->now >= c->claims.waiting[i].deadline_at)
			give_up_claim(c, c->claims.waiting[i].key,
				      make_refusal(SYC_CLAIM_PENDING,
						   CLAIM_RETRY_MS));
	}
	resend_all_waiting(c, false);
}

/* Whether this instance has been the primary ever since `w` was made. */
static bool has_stayed_primary(const struct syc_coord *c,
			       const struct waiting_claim *w)
{
	const struct map_slice *slice = &c->map.slices[map_slice_of(&w->key)];

	return slice->primary == c->opt.self.id &&
	       (slice->primary_epoch <= w->entry_epoch ||
		!c->rules.resend_if_still_primary);
}

/*
 * Drops the waiting claims of slices that have or had another primary since
 * the claim was made, and resends the others. A waiting claim belongs to the
 * map entry under which it was made. An acknowledgement of a dropped claim has
 * no effect.
 */
void claim_serve_map_changed(struct syc_coord *c)
{
	size_t i = c->claims.n_waiting;

	if (!c->rules.replaced_drops_waiting)
		return;
	while (i-- > 0) {
		const struct waiting_claim *w = &c->claims.waiting[i];

		if (i < c->claims.n_waiting && !has_stayed_primary(c, w))
			give_up_claim(c, w->key,
				      make_refusal(SYC_CLAIM_PENDING,
						   CLAIM_RETRY_MS));
	}
	resend_all_waiting(c, true);
}

/*
 * Resends waiting claims and starts those without a backup, which may start
 * now that the store has confirmed the map.
 */
void claim_serve_map_confirmed(struct syc_coord *c)
{
	resend_all_waiting(c, false);
}

void claim_serve_end(struct syc_coord *c, const struct syc_claim_key *key,
		     enum syc_outcome outcome)
{
	struct claim *claim = claims_find(&c->claims, key);

	if (!claim || claim->runner != c->opt.self.id ||
	    claim->state == CLAIM_ENDED)
		return;
	invariant(claim->state != CLAIM_WAITING || outcome == SYC_NOT_RUN);
	if (outcome == SYC_NOT_RUN) {
		drop_claim(c, key);
		return;
	}
	claim->state = CLAIM_ENDED;
	claim->outcome = (uint8_t)outcome;
	claim->updated_at = c->now;
	claims_add_end(&c->claims, claim);
}
