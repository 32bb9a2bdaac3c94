/* Submits keys to the instances and checks what they start. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coord_sim_internal.h"

static void start_run(struct coord_sim_node *n, unsigned key)
{
	struct coord_sim *sim = n->sim;
	struct coord_sim_key *k = &sim->keys[key];
	bool not_run = coord_sim_chance(sim, sim->not_run_percent);
	struct coord_sim_event ev = {
		.kind = EV_RUN_END,
		.node = n->index,
		.id = n->instance.id,
		.key = key,
		.hops_or_outcome = not_run ? SYC_NOT_RUN : SYC_COMPLETED};

	sim->runs++;
	ev.at = sim->now + 50 + (int64_t)rng_below(&sim->rng, 2000);
	coord_sim_push(sim, ev);
	if (not_run)
		return;
	if (k->starts && !sim->quiet)
		printf("second start of key %u at %lld by %llx, previous one "
		       "by %llx at %lld\n",
		       key, (long long)sim->now,
		       (unsigned long long)n->instance.id,
		       (unsigned long long)k->started_by,
		       (long long)k->last_start_at);
	sim->second_starts += k->starts > 0;
	k->starts++;
	k->started_by = n->instance.id;
	k->last_start_at = sim->now;
}

static void record_refusal(struct coord_sim *sim, unsigned key,
			   const struct syc_claim_result *res)
{
	sim->refusals++;
	sim->keys[key].refusals++;
	if (res->outcome != SYC_NOT_RUN || !sim->keys[key].starts)
		return;
	sim->false_not_run++;
	if (!sim->quiet)
		printf("key %u refused as not_run at %lld after a start\n", key,
		       (long long)sim->now);
}

static unsigned find_key(const struct coord_sim *sim,
			 const struct syc_claim_key *key)
{
	unsigned i;

	for (i = 0; i < sim->n_keys; i++)
		if (!memcmp(&sim->keys[i].key, key, sizeof(*key)))
			return i;
	abort();
}

void coord_sim_on_claimed(void *ctx, const struct syc_claim_key *key,
			  const struct syc_claim_result *res)
{
	struct coord_sim_node *n = ctx;
	unsigned i = find_key(n->sim, key);

	n->sim->keys[i].pending--;
	if (res->decision == SYC_DECISION_RUN)
		start_run(n, i);
	else
		record_refusal(n->sim, i, res);
}

static void forward_submission(struct coord_sim_node *n, uint64_t to,
			       unsigned key, unsigned hops)
{
	struct coord_sim *sim = n->sim;
	struct coord_sim_node *receiver = coord_sim_find_node(sim, to);
	struct coord_sim_event ev = {
		.kind = EV_SUBMIT, .key = key, .hops_or_outcome = hops + 1};

	if (!receiver || !receiver->coord ||
	    sim->cut[n->index][receiver->index] || hops >= 2)
		return;
	ev.node = receiver->index;
	ev.id = to;
	ev.at = sim->now + (int64_t)rng_below(&sim->rng, sim->delay_max_ms + 1);
	coord_sim_push(sim, ev);
}

void coord_sim_submit_at(struct coord_sim_node *n, unsigned key, unsigned hops)
{
	struct coord_sim *sim = n->sim;
	struct coord_sim_key *k = &sim->keys[key];
	uint8_t digest[SYC_DIGEST_LEN] = {1};
	struct syc_claim_result res;

	if (!k->submitted && k->ticket)
		k->ticket = syc_coord_epoch(n->coord);
	k->submitted = true;
	res = syc_coord_claim(n->coord, sim->now, &k->key, digest, k->ticket);
	switch (res.decision) {
	case SYC_DECISION_RUN:
		start_run(n, key);
		break;
	case SYC_DECISION_PENDING:
		k->pending++;
		break;
	case SYC_DECISION_FORWARD:
	case SYC_DECISION_ELSEWHERE:
		sim->redirects++;
		forward_submission(n, res.instance, key, hops);
		break;
	case SYC_DECISION_REFUSED:
		record_refusal(sim, key, &res);
		break;
	default:
		sim->joins++;
	}
}

void coord_sim_submit(struct coord_sim *sim, int node, unsigned key)
{
	struct coord_sim_node *n = &sim->nodes[node];

	if (n->coord && !n->paused)
		coord_sim_submit_at(n, key, 0);
}
