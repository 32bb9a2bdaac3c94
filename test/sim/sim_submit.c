/* Callers who submit keys, and the count of what was started. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_parts.h"

static void start(struct sim_node *n, unsigned key)
{
	struct sim *s = n->sim;
	struct sim_key *k = &s->keys[key];
	bool not_run = sim_chance(s, s->not_run_percent);
	struct sim_event ev = {.kind = EV_END,
			       .node = n->place,
			       .id = n->inst.id,
			       .key = key,
			       .hops = not_run ? SYC_NOT_RUN : SYC_COMPLETED};

	s->runs++;
	ev.at = s->now + 50 + (int64_t)rng_below(&s->rng, 2000);
	sim_push(s, ev);
	if (not_run)
		return;
	if (k->starts && !s->quiet)
		printf("second start of key %u at %lld by %llx, first by %llx "
		       "at %lld\n",
		       key, (long long)s->now, (unsigned long long)n->inst.id,
		       (unsigned long long)k->started_by,
		       (long long)k->first_start);
	s->second_starts += k->starts > 0;
	k->starts++;
	k->started_by = n->inst.id;
	k->first_start = s->now;
}

static void refused(struct sim *s, unsigned key,
		    const struct syc_claim_result *res)
{
	s->refusals++;
	s->keys[key].refused++;
	if (res->outcome != SYC_NOT_RUN || !s->keys[key].starts)
		return;
	s->false_not_run++;
	if (!s->quiet)
		printf("false not_run of key %u at %lld\n", key,
		       (long long)s->now);
}

static unsigned key_number(const struct sim *s, const struct syc_claim_key *key)
{
	unsigned i;

	for (i = 0; i < s->n_keys; i++)
		if (!memcmp(&s->keys[i].key, key, sizeof(*key)))
			return i;
	abort();
}

void sim_on_claimed(void *ctx, const struct syc_claim_key *key,
		    const struct syc_claim_result *res)
{
	struct sim_node *n = ctx;
	unsigned i = key_number(n->sim, key);

	n->sim->keys[i].pending--;
	if (res->decision == SYC_DECISION_RUN)
		start(n, i);
	else
		refused(n->sim, i, res);
}

static void forward(struct sim_node *n, uint64_t to, unsigned key,
		    unsigned hops)
{
	struct sim *s = n->sim;
	struct sim_node *dst = sim_node_by_id(s, to);
	struct sim_event ev = {.kind = EV_SUBMIT, .key = key, .hops = hops + 1};

	if (!dst || !dst->coord || s->cut[n->place][dst->place] || hops >= 2)
		return;
	ev.node = dst->place;
	ev.id = to;
	ev.at = s->now + (int64_t)rng_below(&s->rng, s->delay_ms + 1);
	sim_push(s, ev);
}

void sim_submit_at(struct sim_node *n, unsigned key, unsigned hops)
{
	struct sim *s = n->sim;
	struct sim_key *k = &s->keys[key];
	uint8_t digest[SYC_DIGEST_LEN] = {1};
	struct syc_claim_result res;

	if (!k->submitted && k->ticket)
		k->ticket = syc_coord_epoch(n->coord);
	k->submitted = true;
	res = syc_coord_claim(n->coord, s->now, &k->key, digest, k->ticket);
	switch (res.decision) {
	case SYC_DECISION_RUN:
		start(n, key);
		break;
	case SYC_DECISION_PENDING:
		k->pending++;
		break;
	case SYC_DECISION_FORWARD:
	case SYC_DECISION_ELSEWHERE:
		s->elsewhere++;
		forward(n, res.instance, key, hops);
		break;
	case SYC_DECISION_REFUSED:
		refused(s, key, &res);
		break;
	default:
		s->joins++;
	}
}

void sim_submit(struct sim *s, int place, unsigned key)
{
	struct sim_node *n = &s->nodes[place];

	if (n->coord && !n->paused)
		sim_submit_at(n, key, 0);
}
