/* The randomised run: injects faults by seed and counts violations. */
#include <stdio.h>

#include "coord_sim.h"

enum {
	STEP_MS = 100,
	RECOVERY_MS = 60000, /* allowed after the last fault */
	LISTED_GONE_MS = 8000,
	RECOVERY_KEYS = 100, /* submitted after the recovery */
	REPAIR_MS = 4000 /* until the newest map is written back */
};

static int pick_node(struct coord_sim *sim)
{
	return (int)rng_below(&sim->rng, (uint64_t)sim->n_nodes);
}

static void cut_random_link(struct coord_sim *sim)
{
	int a = pick_node(sim), b = pick_node(sim);

	if (a != b)
		coord_sim_cut_link(sim, a, b, rng_below(&sim->rng, 2));
}

static void isolate_random_node(struct coord_sim *sim)
{
	int a = pick_node(sim);

	coord_sim_isolate(sim, a);
	sim->nodes[a].store_cut = rng_below(&sim->rng, 2);
}

/*
 * Sets the store back. If no instance knows the newest map any more, no rule
 * can distinguish a member that this map had removed from a live one;
 * docs/design/at-most-once.md names this limit. So the store is only set back
 * if a running instance knows that map, which then gets the time to write it
 * back.
 */
static void restore_store(struct coord_sim *sim)
{
	uint64_t newest = 0;
	bool is_newest_known = false;
	int i;

	for (i = 0; i < sim->n_nodes; i++)
		if (sim->nodes[i].coord &&
		    syc_coord_epoch(sim->nodes[i].coord) > newest)
			newest = syc_coord_epoch(sim->nodes[i].coord);
	for (i = 0; i < sim->n_nodes; i++) {
		const struct coord_sim_node *n = &sim->nodes[i];

		is_newest_known |= n->coord && !n->paused && !n->store_cut &&
				   syc_coord_epoch(n->coord) == newest;
	}
	if (!is_newest_known || newest != coord_sim_store_epoch(sim))
		return;
	sim->store.down = false;
	sim->store.delay_max_ms = 0;
	coord_sim_restore_store(sim, 1 + rng_below(&sim->rng, 3));
	coord_sim_run(sim, REPAIR_MS);
}

static void inject_store_fault(struct coord_sim *sim)
{
	struct coord_sim_store *store = &sim->store;

	switch (rng_below(&sim->rng, 7)) {
	case 0:
		store->down = true;
		break;
	case 1:
		store->delay_max_ms = (unsigned)rng_below(&sim->rng, 2000);
		break;
	case 2:
		store->lost_reply_percent = 50;
		break;
	case 3:
		store->stale_read_percent = 30;
		break;
	case 4:
		sim->nodes[pick_node(sim)].store_cut = true;
		break;
	case 5:
		restore_store(sim);
		break;
	default:
		store->down = false;
		store->delay_max_ms = 0;
	}
}

static void inject_message_fault(struct coord_sim *sim)
{
	sim->drop_percent = (unsigned)rng_below(&sim->rng, 20);
	sim->duplicate_percent = (unsigned)rng_below(&sim->rng, 20);
	sim->delay_max_ms = 1 + (unsigned)rng_below(&sim->rng, 300);
}

static void inject_fault(struct coord_sim *sim)
{
	int a = pick_node(sim);

	switch (rng_below(&sim->rng, 12)) {
	case 0:
	case 1:
		coord_sim_kill(sim, a);
		break;
	case 2:
	case 3:
		if (!sim->nodes[a].coord)
			coord_sim_start(sim, a);
		break;
	case 4:
		coord_sim_set_paused(sim, a, true);
		break;
	case 5:
		coord_sim_set_paused(sim, a, false);
		break;
	case 6:
		cut_random_link(sim);
		break;
	case 7:
		isolate_random_node(sim);
		break;
	case 8:
		inject_store_fault(sim);
		break;
	case 9:
		inject_message_fault(sim);
		break;
	case 10:
		if (sim->nodes[a].coord && !sim->nodes[a].paused)
			syc_coord_leave(sim->nodes[a].coord, sim->now);
		break;
	default:
		coord_sim_heal(sim);
	}
}

static void submit_random_keys(struct coord_sim *sim, int64_t begun_at,
			       int64_t ms)
{
	unsigned n_due_keys = (unsigned)((sim->now - begun_at) * sim->n_keys /
					 ms) +
			      1;
	unsigned key;
	int i;

	n_due_keys = n_due_keys < sim->n_keys ? n_due_keys : sim->n_keys;
	for (i = 0; i < 4; i++) {
		key = (unsigned)rng_below(&sim->rng, n_due_keys);
		coord_sim_submit(sim, pick_node(sim), key);
	}
	coord_sim_submit(sim, pick_node(sim), n_due_keys - 1);
}

/* After the faults end, the instances must agree and serve again. */
static void check_recovery(struct coord_sim *sim)
{
	unsigned key = sim->n_keys;
	int i;

	coord_sim_heal(sim);
	sim->delay_max_ms = 2;
	for (i = 0; i < sim->n_nodes; i++) {
		if (sim->nodes[i].coord && sim->nodes[i].coord->is_leaving)
			coord_sim_kill(sim, i);
		if (!sim->nodes[i].coord)
			coord_sim_start(sim, i);
	}
	coord_sim_run(sim, RECOVERY_MS);
	sim->recovery_failures += !coord_sim_is_settled(sim);
	sim->not_run_percent = 0;
	sim->n_keys += RECOVERY_KEYS;
	for (; key < sim->n_keys; key++) {
		sim->keys[key].ticket = 1;
		coord_sim_submit(sim, pick_node(sim), key);
	}
	coord_sim_run(sim, 2000);
	for (key = sim->n_keys - RECOVERY_KEYS; key < sim->n_keys; key++)
		sim->recovery_failures += sim->keys[key].starts == 0;
}

unsigned coord_sim_run_random(struct coord_sim *sim, uint64_t seed, int64_t ms)
{
	struct coord_rules rules = sim->rules;
	bool quiet;
	int64_t begun_at;
	int i;

	quiet = sim->quiet;
	coord_sim_init(sim, seed, 2 + (int)(seed % 4));
	sim->quiet = quiet;
	sim->rules = rules;
	sim->list_delay_ms = LISTED_GONE_MS;
	sim->not_run_percent = 10;
	for (i = 0; i < sim->n_nodes; i++)
		coord_sim_start(sim, i);
	begun_at = sim->now;
	while (sim->now < begun_at + ms) {
		coord_sim_run(sim, STEP_MS);
		submit_random_keys(sim, begun_at, ms);
		if (rng_below(&sim->rng, 10) == 0)
			inject_fault(sim);
	}
	check_recovery(sim);
	return sim->second_starts + sim->false_not_run + sim->recovery_failures;
}
