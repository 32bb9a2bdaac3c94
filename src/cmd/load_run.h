/*
 * Runs a load. In an open loop, submissions are sent at random times that do
 * not depend on earlier answers. In a closed loop, a fixed number of
 * submissions is kept in flight.
 */
#ifndef CMD_LOAD_RUN_H
#define CMD_LOAD_RUN_H

#include "cmd/load_plan.h"
#include "cmd/load_stats.h"
#include "cmd/options.h"

enum { LOAD_TOKENS_MAX = 256 };

struct load_options {
	struct load_plan plan;
	struct addr_list entries;
	struct addr_list direct; /* targets that receive every second send */
	const char *direct_path;
	size_t n_tokens;
	char *tokens[LOAD_TOKENS_MAX]; /* the token of each caller */
	double rate; /* submissions a second outside of bursts */
	uint64_t submissions; /* number to send; zero: no limit */
	double seconds; /* duration of sending; zero: no limit */
	uint32_t in_flight; /* submissions kept in flight; zero: open loop */
	uint32_t timeout_ms; /* longest wait for one answer */
	/*
	 * Most retries of a submission that was not sent or not run, or that
	 * has a key and got no answer.
	 */
	uint32_t retries;
	bool print_progress; /* to standard error */
};

/* Runs until the last answer has arrived, and fills `stats`. */
void load_run(const struct load_options *opt, struct load_stats *stats);

#endif
