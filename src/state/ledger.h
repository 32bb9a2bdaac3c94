/*
 * The usage ledger: what each caller used of each service under each version
 * of the bundle. Every send is counted once when it starts and once when it
 * ends, by its kind of end.
 */
#ifndef STATE_LEDGER_H
#define STATE_LEDGER_H

#include <jansson.h>

#include "sycamoreshore/dispatch.h"

enum {
	LEDGER_VERSIONS_MAX = 16, /* older ones are summed up in version 0 */
	SEND_END_COUNT = SYC_SEND_TIMEOUT + 1
};

struct ledger_entry {
	struct ledger_entry *next;
	uint64_t version; /* of the bundle; zero: the sum of older ones */
	/* Of running and waiting tasks, up to the available slots. */
	int64_t wanted_slot_ms;
	int64_t got_slot_ms; /* used by ended sends */
	int64_t lent_slot_ms; /* of its share, used by others */
	int64_t borrowed_slot_ms; /* used beyond its share */
	uint64_t tasks; /* tasks sent at least once */
	uint64_t sends;
	uint64_t hedges;
	uint64_t open_sends; /* not yet ended */
	uint64_t sends_by_end[SEND_END_COUNT]; /* by enum syc_send_end */
	uint64_t submissions;
	uint64_t answers_by_outcome[SYC_UNKNOWN + 1];
	uint64_t answers_by_reason[SYC_REASON_COUNT];
};

/* The entries of one caller and service, newest version first. */
struct ledger {
	struct ledger_entry *first;
};

/* The entry for `version`, made when there is none. */
struct ledger_entry *ledger_get_entry(struct ledger *l, uint64_t version);
/* Counts the start of a send. */
void ledger_count_start(struct ledger *l, uint64_t version, bool is_first_send,
			bool is_hedge);
void ledger_count_end(struct ledger *l, uint64_t version,
		      enum syc_send_end end);
void ledger_count_answer(struct ledger *l, uint64_t version,
			 enum syc_outcome outcome, enum syc_reason reason);
/* Appends one object for each entry to `out` and returns it. */
json_t *ledger_append_json(const struct ledger *l, const char *caller,
			   const char *service, json_t *out);
void ledger_free(struct ledger *l);

#endif
