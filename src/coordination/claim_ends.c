/*
 * Sends the ends of claims to the other holders, in batches, until they are
 * acknowledged: the runner sends to the primary, the primary to its backup.
 */
#include "coordination/coord_state.h"

/* Returns the instance to which `end` is sent next; zero: none. */
static uint64_t find_next_receiver(const struct syc_coord *c,
				   const struct claim_end *end)
{
	const struct map_slice *slice = &c->map.slices[map_slice_of(&end->key)];

	if (slice->primary != c->opt.self.id)
		return slice->primary;
	return slice->backup;
}

static void drop_ends_without_receiver(struct syc_coord *c)
{
	size_t i = 0;

	while (i < c->claims.n_ends) {
		if (find_next_receiver(c, &c->claims.ends[i]))
			i++;
		else
			claims_remove_end(&c->claims, i);
	}
}

static bool is_due(const struct syc_coord *c, const struct claim_end *end)
{
	return !end->batch || c->now - end->sent_at >= RESEND_INTERVAL_MS;
}

/* Sends the due ends that have the same receiver as the one at `first`. */
static void send_batch(struct syc_coord *c, size_t first)
{
	static struct claim_end out[ENDS_PER_MESSAGE];
	struct claims *claims = &c->claims;
	uint64_t to = find_next_receiver(c, &claims->ends[first]);
	uint64_t batch = ++claims->last_batch;
	size_t i, n = 0;

	for (i = first; i < claims->n_ends && n < ENDS_PER_MESSAGE; i++) {
		struct claim_end *end = &claims->ends[i];

		if (!is_due(c, end) || find_next_receiver(c, end) != to)
			continue;
		end->batch = batch;
		end->sent_to = to;
		end->sent_at = c->now;
		out[n++] = *end;
	}
	claim_send_ends(c, to, batch, out, n);
}

void claim_ends_tick(struct syc_coord *c)
{
	size_t i;

	drop_ends_without_receiver(c);
	for (i = 0; i < c->claims.n_ends; i++)
		if (is_due(c, &c->claims.ends[i]))
			send_batch(c, i);
}

void claim_ends_receive_ack(struct syc_coord *c, uint64_t from, uint64_t batch)
{
	size_t i = 0;

	while (i < c->claims.n_ends) {
		const struct claim_end *end = &c->claims.ends[i];

		if (end->batch == batch && end->sent_to == from)
			claims_remove_end(&c->claims, i);
		else
			i++;
	}
}

/*
 * Records an end. Returns false if the claim is missing but its copy may still
 * be in flight. The end is not acknowledged then, so that its sender sends it
 * again.
 */
bool claim_ends_apply(struct syc_coord *c, const struct claim_end *end)
{
	unsigned s = map_slice_of(&end->key);
	struct claim *claim = claims_find(&c->claims, &end->key);

	if (!claim)
		return c->map.slices[s].backup != c->opt.self.id ||
		       c->complete_slices >> s & 1;
	if (claim->runner != end->runner || claim->serial != end->serial ||
	    claim->runner == c->opt.self.id || claim->state == CLAIM_ENDED)
		return true;
	claim->state = CLAIM_ENDED;
	claim->outcome = end->outcome;
	claim->updated_at = c->now;
	if (c->map.slices[s].primary == c->opt.self.id)
		claims_add_end(&c->claims, claim);
	if (end->outcome == SYC_NOT_RUN)
		claims_remove(&c->claims, &end->key);
	return true;
}
