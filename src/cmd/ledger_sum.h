/*
 * The sum of several instances' ledgers: submissions and slot time by caller,
 * service and version of the bundle.
 */
#ifndef CMD_LEDGER_SUM_H
#define CMD_LEDGER_SUM_H

#include <jansson.h>
#include <stdio.h>

#include "cmd/options.h"

enum ledger_number {
	LEDGER_SUBMITTED,
	LEDGER_COMPLETED,
	LEDGER_FAILED,
	LEDGER_NOT_RUN,
	LEDGER_UNKNOWN,
	LEDGER_TASKS,
	LEDGER_STARTS,
	LEDGER_SENDS,
	LEDGER_WANTED, /* slot time in ms, like the three below */
	LEDGER_GOT,
	LEDGER_LENT,
	LEDGER_BORROWED,
	LEDGER_NUMBERS
};

struct ledger_row {
	char caller[SYC_NAME_MAX];
	char service[SYC_NAME_MAX];
	uint64_t version; /* of the bundle; zero: all older versions */
	uint64_t n[LEDGER_NUMBERS];
	uint64_t reasons[SYC_REASON_COUNT];
};

struct ledger_sum {
	size_t n_rows;
	struct ledger_row *rows;
	size_t n_instances; /* instances whose ledgers were read */
	size_t n_unanswered; /* instances whose ledgers could not be read */
};

/* Adds one instance's ledger. Returns false when its format is unknown. */
bool ledger_sum_add(struct ledger_sum *sum, const json_t *doc);

/*
 * Adds the ledgers of all instances and sorts the rows. Prints an error for
 * each instance whose ledger cannot be read.
 */
void ledger_sum_fetch(struct ledger_sum *sum, const struct addr_list *admin);

/* Returns the sum of one number over all rows. */
uint64_t ledger_sum_total(const struct ledger_sum *sum,
			  enum ledger_number number);

void ledger_sum_print(const struct ledger_sum *sum, FILE *out);
void ledger_sum_print_csv(const struct ledger_sum *sum, FILE *out);
void ledger_sum_print_json(const struct ledger_sum *sum, FILE *out);
void ledger_sum_free(struct ledger_sum *sum);

#endif
