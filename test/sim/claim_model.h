/*
 * A model of the rules of claims and maps for one key, three instances and a
 * few epochs, small enough to try every order of events. A message stays
 * deliverable for ever, so each may come late, repeatedly or not at all.
 */
#ifndef TEST_CLAIM_MODEL_H
#define TEST_CLAIM_MODEL_H

#include "coordination/coord_state.h"

struct model_result {
	uint64_t states;
	bool second_start; /* some order of events starts the key twice */
};

/* Tries all orders of events until epoch `epochs` (at most 4). */
struct model_result claim_model(const struct coord_rules *rules,
				unsigned epochs);

#endif
