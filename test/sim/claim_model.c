#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "claim_model.h"
#include "util/alloc.h"

enum { INSTANCES = 3, EPOCHS = 4, NO_BACKUP = 3 };

/*
 * States are zeroed before use and have no padding, so that equal states have
 * equal bytes.
 */
struct model_state {
	uint8_t epoch; /* epoch of the map in the store */
	uint8_t ticket_epoch; /* epoch of the key's ticket */
	uint8_t primary[EPOCHS + 1], backup[EPOCHS + 1];
	uint8_t loss_epoch; /* epoch of the last loss mark */
	uint8_t claims_sent, acks_sent; /* a bit per epoch */
	uint8_t copies_with_key, copies_without_key; /* a bit per epoch */
	uint8_t starts;
	struct {
		uint8_t map_epoch;
		uint8_t waiting_epoch; /* of a waiting claim; zero: none */
		uint8_t has_claim, runner;
		uint8_t is_complete;
		uint8_t is_dead;
	} instances[INSTANCES];
};

struct search {
	const struct coord_rules *rules;
	unsigned epochs;
	uint64_t *visited;
	size_t cap_visited, n_visited;
	struct model_state *stack;
	size_t n_stack, cap_stack;
	bool second_start;
};

static bool mark_visited(struct search *search,
			 const struct model_state *state);

static void grow_visited(struct search *search)
{
	uint64_t *old_visited = search->visited;
	size_t i, k, n = search->cap_visited;

	search->cap_visited = n ? n * 2 : 1 << 16;
	search->visited = xcalloc(search->cap_visited,
				  sizeof(*search->visited));
	for (i = 0; i < n; i++) {
		if (!old_visited[i])
			continue;
		for (k = old_visited[i] & (search->cap_visited - 1);
		     search->visited[k];)
			k = (k + 1) & (search->cap_visited - 1);
		search->visited[k] = old_visited[i];
	}
	free(old_visited);
}

static bool mark_visited(struct search *search, const struct model_state *state)
{
	uint64_t hash = XXH3_64bits(state, sizeof(*state)) | 1;
	size_t k;

	if (search->n_visited * 2 >= search->cap_visited)
		grow_visited(search);
	for (k = hash & (search->cap_visited - 1); search->visited[k];
	     k = (k + 1) & (search->cap_visited - 1))
		if (search->visited[k] == hash)
			return false;
	search->visited[k] = hash;
	search->n_visited++;
	return true;
}

static void add_state(struct search *search, const struct model_state *state)
{
	if (state->starts > 1)
		search->second_start = true;
	if (search->second_start || !mark_visited(search, state))
		return;
	if (search->n_stack == search->cap_stack) {
		search->cap_stack = search->cap_stack ? search->cap_stack * 2
						      : 1024;
		search->stack = xrealloc(search->stack,
					 search->cap_stack *
						 sizeof(*search->stack));
	}
	search->stack[search->n_stack++] = *state;
}

static void start_key(struct model_state *state, int i)
{
	state->instances[i].waiting_epoch = 0;
	state->instances[i].has_claim = 1;
	state->instances[i].runner = (uint8_t)i;
	state->starts++;
}

/* Submits the key to instance `i`. */
static void submit_key(struct search *search, struct model_state state, int i)
{
	uint8_t epoch = state.instances[i].map_epoch;

	if (!epoch || state.epoch < state.ticket_epoch ||
	    state.primary[epoch] != i || state.instances[i].has_claim ||
	    state.instances[i].waiting_epoch ||
	    (state.loss_epoch > state.ticket_epoch &&
	     state.loss_epoch <= epoch))
		return;
	if (state.backup[epoch] == NO_BACKUP) {
		start_key(&state, i);
	} else {
		state.instances[i].waiting_epoch = epoch;
		state.claims_sent |= 1 << epoch;
		if (!search->rules->ack_before_start)
			start_key(&state, i);
	}
	add_state(search, &state);
}

/* Delivers a claim made under `epoch` to the backup of that epoch. */
static void deliver_claim(struct search *search, struct model_state state,
			  uint8_t epoch)
{
	uint8_t backup = state.backup[epoch], primary = state.primary[epoch];

	if (!(state.claims_sent >> epoch & 1) || backup == NO_BACKUP ||
	    state.instances[backup].is_dead ||
	    state.instances[backup].map_epoch < epoch ||
	    (state.instances[backup].map_epoch > epoch &&
	     search->rules->ack_current_entry_only))
		return;
	if (state.instances[backup].has_claim &&
	    state.instances[backup].runner != primary)
		return;
	if (!state.instances[backup].waiting_epoch) {
		state.instances[backup].has_claim = 1;
		state.instances[backup].runner = primary;
	}
	state.acks_sent |= 1 << epoch;
	add_state(search, &state);
}

/* Delivers the acknowledgement of `epoch` to the primary of that epoch. */
static void deliver_ack(struct search *search, struct model_state state,
			uint8_t epoch)
{
	uint8_t primary = state.primary[epoch];

	if (!(state.acks_sent >> epoch & 1) ||
	    state.instances[primary].is_dead ||
	    !state.instances[primary].waiting_epoch)
		return;
	if (state.instances[primary].waiting_epoch != epoch &&
	    search->rules->replaced_drops_waiting)
		return;
	start_key(&state, primary);
	add_state(search, &state);
}

static void send_copy(struct model_state *state, int i, uint8_t epoch)
{
	if (state->primary[epoch] != i || state->backup[epoch] == NO_BACKUP)
		return;
	if (state->instances[i].has_claim)
		state->copies_with_key |= 1 << epoch;
	else
		state->copies_without_key |= 1 << epoch;
}

static bool has_stayed_primary(const struct model_state *state, int i,
			       uint8_t from, uint8_t to)
{
	for (; from <= to; from++)
		if (state->primary[from] != i)
			return false;
	return true;
}

/* Instance `i` adopts the map of epoch `epoch`. */
static void adopt_map(struct search *search, struct model_state state, int i,
		      uint8_t epoch)
{
	if (epoch <= state.instances[i].map_epoch || epoch > state.epoch)
		return;
	state.instances[i].map_epoch = epoch;
	state.instances[i].is_complete = 0;
	if (state.instances[i].waiting_epoch && state.primary[epoch] == i &&
	    (!search->rules->resend_if_still_primary ||
	     has_stayed_primary(&state, i, state.instances[i].waiting_epoch,
				epoch))) {
		if (state.backup[epoch] == NO_BACKUP) {
			start_key(&state, i);
		} else {
			state.instances[i].waiting_epoch = epoch;
			state.claims_sent |= 1 << epoch;
		}
	} else if (search->rules->replaced_drops_waiting) {
		state.instances[i].waiting_epoch = 0;
	}
	send_copy(&state, i, epoch);
	add_state(search, &state);
}

/* Delivers a copy sent under `epoch` to the backup of that epoch. */
static void deliver_copy(struct search *search, struct model_state state,
			 uint8_t epoch, bool with_key)
{
	uint8_t backup = state.backup[epoch];

	if (!((with_key ? state.copies_with_key : state.copies_without_key) >>
		      epoch &
	      1) ||
	    state.instances[backup].is_dead ||
	    state.instances[backup].map_epoch != epoch)
		return;
	state.instances[backup].is_complete = 1;
	if (with_key && !state.instances[backup].has_claim) {
		state.instances[backup].has_claim = 1;
		state.instances[backup].runner = state.primary[epoch];
	}
	add_state(search, &state);
}

/*
 * Writes a map with this primary and backup to the store, if the rules allow
 * it.
 */
static void change_map(struct search *search, struct model_state state,
		       uint8_t primary, uint8_t backup)
{
	uint8_t epoch = state.epoch, old_primary = state.primary[epoch],
		old_backup = state.backup[epoch];
	bool keeps_claims = primary == old_primary, holders_ended;

	if (primary == backup || epoch == search->epochs ||
	    state.instances[primary].is_dead)
		return;
	if (primary == old_backup)
		keeps_claims = !search->rules->complete_before_primary ||
			       (state.instances[primary].is_complete &&
				state.instances[primary].map_epoch == epoch);
	holders_ended = state.instances[old_primary].is_dead &&
			(old_backup == NO_BACKUP ||
			 state.instances[old_backup].is_dead ||
			 primary == old_backup);
	if (!keeps_claims && !holders_ended &&
	    search->rules->ended_before_replacement)
		return;
	state.epoch = ++epoch;
	state.primary[epoch] = primary;
	state.backup[epoch] = backup;
	if (!keeps_claims)
		state.loss_epoch = epoch;
	add_state(search, &state);
}

/*
 * Lets the backup `i`, which reaches neither the primary nor the store, start
 * the key alone.
 */
static void take_over_without_store(struct search *search,
				    struct model_state state, int i)
{
	if (search->rules->takeover_through_store ||
	    !state.instances[i].map_epoch || state.epoch < state.ticket_epoch ||
	    state.backup[state.instances[i].map_epoch] != i ||
	    !state.instances[i].is_complete || state.instances[i].has_claim)
		return;
	start_key(&state, i);
	add_state(search, &state);
}

static void expand_state(struct search *search, const struct model_state *state)
{
	struct model_state crashed;
	uint8_t epoch, primary, backup;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		if (state->instances[i].is_dead)
			continue;
		crashed = *state;
		memset(&crashed.instances[i], 0, sizeof(crashed.instances[i]));
		crashed.instances[i].is_dead = 1;
		add_state(search, &crashed);
		submit_key(search, *state, i);
		take_over_without_store(search, *state, i);
		for (epoch = 1; epoch <= state->epoch; epoch++)
			adopt_map(search, *state, i, epoch);
	}
	for (epoch = 1; epoch <= state->epoch; epoch++) {
		deliver_claim(search, *state, epoch);
		deliver_ack(search, *state, epoch);
		deliver_copy(search, *state, epoch, true);
		deliver_copy(search, *state, epoch, false);
	}
	for (primary = 0; primary < INSTANCES; primary++)
		for (backup = 0; backup <= NO_BACKUP; backup++)
			change_map(search, *state, primary, backup);
}

struct model_result claim_model(const struct coord_rules *rules,
				unsigned epochs)
{
	struct search search = {.rules = rules, .epochs = epochs};
	struct model_result res;
	struct model_state state;
	uint8_t ticket_epoch;

	for (ticket_epoch = 0; ticket_epoch <= epochs; ticket_epoch++) {
		memset(&state, 0, sizeof(state));
		state.ticket_epoch = ticket_epoch;
		state.epoch = 1;
		state.primary[1] = 0;
		state.backup[1] = 1;
		add_state(&search, &state);
	}
	while (search.n_stack && !search.second_start) {
		state = search.stack[--search.n_stack];
		expand_state(&search, &state);
	}
	res.states = search.n_visited;
	res.second_start = search.second_start;
	free(search.visited);
	free(search.stack);
	return res;
}
