/* The randomised run: faults drawn by seed, promises counted. */
#include <stdio.h>

#include "coord_sim.h"

enum {
	STEP_MS = 100,
	CALM_MS = 60000, /* after the last fault, to settle */
	LISTED_GONE_MS = 8000,
	MEND_MS = 4000 /* for who knows better to write the map back */
};

static int pick(struct coord_sim *s)
{
	return (int)rng_below(&s->rng, (uint64_t)s->n_nodes);
}

static void cut_some(struct coord_sim *s)
{
	int a = pick(s), b = pick(s);

	if (a != b)
		coord_sim_cut_link(s, a, b, rng_below(&s->rng, 2));
}

static void isolate(struct coord_sim *s)
{
	int a = pick(s);

	coord_sim_isolate(s, a);
	s->nodes[a].store_cut = rng_below(&s->rng, 2);
}

/*
 * Sets the store back. Where nobody who knows the newest map is left, a
 * member that it had removed cannot be told from a living one by any rule;
 * docs/design/at-most-once.md names this limit. So one who knows has to be
 * there, and gets the time to reach the store and mend it.
 */
static void restore(struct coord_sim *s)
{
	uint64_t newest = 0;
	bool known = false;
	int i;

	for (i = 0; i < s->n_nodes; i++)
		if (s->nodes[i].coord &&
		    syc_coord_epoch(s->nodes[i].coord) > newest)
			newest = syc_coord_epoch(s->nodes[i].coord);
	for (i = 0; i < s->n_nodes; i++) {
		const struct coord_sim_node *n = &s->nodes[i];

		known |= n->coord && !n->paused && !n->store_cut &&
			 syc_coord_epoch(n->coord) == newest;
	}
	if (!known || newest != coord_sim_store_epoch(s))
		return;
	s->store.down = false;
	s->store.delay_max_ms = 0;
	coord_sim_restore_store(s, 1 + rng_below(&s->rng, 3));
	coord_sim_run(s, MEND_MS);
}

static void store_fault(struct coord_sim *s)
{
	struct coord_sim_store *st = &s->store;

	switch (rng_below(&s->rng, 7)) {
	case 0:
		st->down = true;
		break;
	case 1:
		st->delay_max_ms = (unsigned)rng_below(&s->rng, 2000);
		break;
	case 2:
		st->lost_reply_percent = 50;
		break;
	case 3:
		st->stale_read_percent = 30;
		break;
	case 4:
		s->nodes[pick(s)].store_cut = true;
		break;
	case 5:
		restore(s);
		break;
	default:
		st->down = false;
		st->delay_max_ms = 0;
	}
}

static void message_fault(struct coord_sim *s)
{
	s->drop_percent = (unsigned)rng_below(&s->rng, 20);
	s->duplicate_percent = (unsigned)rng_below(&s->rng, 20);
	s->delay_ms = 1 + (unsigned)rng_below(&s->rng, 300);
}

static void fault(struct coord_sim *s)
{
	int a = pick(s);

	switch (rng_below(&s->rng, 12)) {
	case 0:
	case 1:
		coord_sim_kill(s, a);
		break;
	case 2:
	case 3:
		if (!s->nodes[a].coord)
			coord_sim_start(s, a);
		break;
	case 4:
		coord_sim_set_paused(s, a, true);
		break;
	case 5:
		coord_sim_set_paused(s, a, false);
		break;
	case 6:
		cut_some(s);
		break;
	case 7:
		isolate(s);
		break;
	case 8:
		store_fault(s);
		break;
	case 9:
		message_fault(s);
		break;
	case 10:
		if (s->nodes[a].coord && !s->nodes[a].paused)
			syc_coord_leave(s->nodes[a].coord, s->now);
		break;
	default:
		coord_sim_heal(s);
	}
}

static void resubmit(struct coord_sim *s, int64_t begun, int64_t ms)
{
	unsigned upto = (unsigned)((s->now - begun) * s->n_keys / ms) + 1;
	int i;

	upto = upto < s->n_keys ? upto : s->n_keys;
	for (i = 0; i < 4; i++)
		coord_sim_submit(s, pick(s),
				 (unsigned)rng_below(&s->rng, upto));
	coord_sim_submit(s, pick(s), upto - 1);
}

/* After all is healed the instances must agree again and serve. */
static void calm(struct coord_sim *s)
{
	unsigned key = s->n_keys;
	int i;

	coord_sim_heal(s);
	s->delay_ms = 2;
	for (i = 0; i < s->n_nodes; i++) {
		if (s->nodes[i].coord && s->nodes[i].coord->is_leaving)
			coord_sim_kill(s, i);
		if (!s->nodes[i].coord)
			coord_sim_start(s, i);
	}
	coord_sim_run(s, CALM_MS);
	s->recovery_failures += !coord_sim_is_settled(s);
	s->not_run_percent = 0;
	s->n_keys += 100;
	for (; key < s->n_keys; key++) {
		s->keys[key].ticket = 1;
		coord_sim_submit(s, pick(s), key);
	}
	coord_sim_run(s, 2000);
	for (key = s->n_keys - 100; key < s->n_keys; key++)
		s->recovery_failures += s->keys[key].starts == 0;
}

unsigned coord_sim_run_random(struct coord_sim *s, uint64_t seed, int64_t ms)
{
	struct coord_rules rules = s->rules;
	bool quiet;
	int64_t begun;
	int i;

	quiet = s->quiet;
	coord_sim_init(s, seed, 2 + (int)(seed % 4));
	s->quiet = quiet;
	s->rules = rules;
	s->list_delay_ms = LISTED_GONE_MS;
	s->not_run_percent = 10;
	for (i = 0; i < s->n_nodes; i++)
		coord_sim_start(s, i);
	begun = s->now;
	while (s->now < begun + ms) {
		coord_sim_run(s, STEP_MS);
		resubmit(s, begun, ms);
		if (rng_below(&s->rng, 10) == 0)
			fault(s);
	}
	calm(s);
	return s->second_starts + s->false_not_run + s->recovery_failures;
}
