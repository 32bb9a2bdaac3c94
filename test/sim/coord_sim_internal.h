/* Calls between the files of the coordination simulation. */
#ifndef TEST_COORD_SIM_INTERNAL_H
#define TEST_COORD_SIM_INTERNAL_H

#include "coord_sim.h"

/* Functions of coord_sim_queue.c. */
void coord_sim_push(struct coord_sim *sim, struct coord_sim_event ev);
struct coord_sim_event coord_sim_pop(struct coord_sim *sim);
bool coord_sim_chance(struct coord_sim *sim, unsigned percent);
struct coord_sim_node *coord_sim_find_node(struct coord_sim *sim, uint64_t id);

/* Functions of coord_sim_submit.c. */
void coord_sim_submit_at(struct coord_sim_node *n, unsigned key, unsigned hops);
void coord_sim_on_claimed(void *ctx, const struct syc_claim_key *key,
			  const struct syc_claim_result *res);

/*
 * Functions of coord_sim_store.c: the store's operations, where `ctx` is the
 * node.
 */
void coord_sim_on_get(void *ctx, const char *key,
		      void (*done)(void *arg,
				   const struct syc_platform_value *v),
		      void *arg);
void coord_sim_on_cas(
	void *ctx, const char *key, uint64_t index, struct syc_bytes value,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg);
void coord_sim_on_watch(
	void *ctx, const char *key, uint64_t index, uint32_t wait_ms,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg);
void coord_sim_store_process(struct coord_sim *sim, struct coord_sim_event ev);
void coord_sim_store_reply(struct coord_sim *sim, struct coord_sim_event *ev);

#endif
