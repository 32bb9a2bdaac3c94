/*
 * Measures the turns of an event loop: the time from the end of one wait for
 * events to the beginning of the next. An event that arrives waits for the rest
 * of the turn, so long turns make a process late with everything.
 */
#ifndef TRANSPORT_LOOP_TURNS_H
#define TRANSPORT_LOOP_TURNS_H

#include <ev.h>
#include <stdbool.h>

#include "util/histogram.h"

struct loop_turns {
	struct ev_loop *loop;
	ev_check wait_ended;
	ev_prepare wait_begins;
	double began_at; /* loop time at the end of the last wait; seconds */
	struct histogram durations;
	double slot_at; /* when the current slot began; seconds */
	double longest_ms; /* in the current slot */
	double longest_before_ms; /* in the slot before */
};

void loop_turns_start(struct loop_turns *t, struct ev_loop *loop);
void loop_turns_stop(struct loop_turns *t);

/* The longest turn of about the last fifth of a second, in ms. */
uint32_t loop_turns_longest_ms(const struct loop_turns *t);

#endif
