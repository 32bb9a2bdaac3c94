/* The tests that KNOWN-RED.txt names: their failures do not fail the run. */
#ifndef KNOWN_RED_H
#define KNOWN_RED_H

/*
 * Prints the known red tests among the failed ones, and returns the number of
 * the other failed tests.
 */
unsigned known_red_count_others(void);

#endif
