#include "state/ledger.h"

#include <stdlib.h>

#include "util/alloc.h"
#include "util/invariant.h"

static void add_entry(struct ledger_entry *sum,
		      const struct ledger_entry *entry)
{
	size_t i;

	sum->wanted_slot_ms += entry->wanted_slot_ms;
	sum->got_slot_ms += entry->got_slot_ms;
	sum->lent_slot_ms += entry->lent_slot_ms;
	sum->borrowed_slot_ms += entry->borrowed_slot_ms;
	sum->tasks += entry->tasks;
	sum->sends += entry->sends;
	sum->hedges += entry->hedges;
	sum->open_sends += entry->open_sends;
	sum->submissions += entry->submissions;
	for (i = 0; i < SEND_END_COUNT; i++)
		sum->sends_by_end[i] += entry->sends_by_end[i];
	for (i = 0; i <= SYC_UNKNOWN; i++)
		sum->answers_by_outcome[i] += entry->answers_by_outcome[i];
	for (i = 0; i < SYC_REASON_COUNT; i++)
		sum->answers_by_reason[i] += entry->answers_by_reason[i];
}

/*
 * Limits the number of entries: sums up the oldest two under version 0. The
 * newest versions stay.
 */
static void limit_versions(struct ledger *l)
{
	struct ledger_entry *e = l->first;
	size_t n = 1;

	for (; e && n < LEDGER_VERSIONS_MAX - 1; n++)
		e = e->next;
	if (!e || !e->next || !e->next->next)
		return;
	add_entry(e->next, e->next->next);
	e->next->version = 0;
	free(e->next->next);
	e->next->next = NULL;
}

struct ledger_entry *ledger_get_entry(struct ledger *l, uint64_t version)
{
	struct ledger_entry **position = &l->first;
	struct ledger_entry *e;

	while (*position && (*position)->version > version)
		position = &(*position)->next;
	if (*position &&
	    ((*position)->version == version || !(*position)->version))
		return *position;
	e = xcalloc(1, sizeof(*e));
	e->version = version;
	e->next = *position;
	*position = e;
	limit_versions(l);
	return ledger_get_entry(l, version);
}

void ledger_count_start(struct ledger *l, uint64_t version, bool is_first_send,
			bool is_hedge)
{
	struct ledger_entry *e = ledger_get_entry(l, version);

	e->sends++;
	e->open_sends++;
	e->tasks += is_first_send;
	e->hedges += is_hedge;
}

void ledger_count_end(struct ledger *l, uint64_t version, enum syc_send_end end)
{
	struct ledger_entry *e = ledger_get_entry(l, version);
	uint64_t ended = 0;
	size_t i;

	invariant(e->open_sends > 0);
	e->open_sends--;
	e->sends_by_end[end]++;
	for (i = 0; i < SEND_END_COUNT; i++)
		ended += e->sends_by_end[i];
	invariant(e->sends == ended + e->open_sends);
}

void ledger_count_answer(struct ledger *l, uint64_t version,
			 enum syc_outcome outcome, enum syc_reason reason)
{
	struct ledger_entry *e = ledger_get_entry(l, version);

	e->submissions++;
	e->answers_by_outcome[outcome]++;
	e->answers_by_reason[reason]++;
}

static void set_u64(json_t *o, const char *name, uint64_t v)
{
	json_object_set_new(o, name, json_integer((json_int_t)v));
}

static json_t *reasons_json(const struct ledger_entry *e)
{
	json_t *o = json_object();
	int i;

	for (i = 1; i < SYC_REASON_COUNT; i++)
		if (e->answers_by_reason[i])
			set_u64(o, syc_reason_name((enum syc_reason)i),
				e->answers_by_reason[i]);
	return o;
}

static json_t *entry_json(const struct ledger_entry *e)
{
	uint64_t not_run = e->sends_by_end[SYC_SEND_REFUSED] +
			   e->sends_by_end[SYC_SEND_NOT_SENT];
	json_t *o = json_object();

	set_u64(o, "version", e->version);
	set_u64(o, "wanted_slot_ms", (uint64_t)e->wanted_slot_ms);
	set_u64(o, "got_slot_ms", (uint64_t)e->got_slot_ms);
	set_u64(o, "lent_slot_ms", (uint64_t)e->lent_slot_ms);
	set_u64(o, "borrowed_slot_ms", (uint64_t)e->borrowed_slot_ms);
	set_u64(o, "submitted", e->submissions);
	set_u64(o, "completed", e->answers_by_outcome[SYC_COMPLETED]);
	set_u64(o, "failed", e->answers_by_outcome[SYC_FAILED]);
	set_u64(o, "not_run", e->answers_by_outcome[SYC_NOT_RUN]);
	set_u64(o, "unknown", e->answers_by_outcome[SYC_UNKNOWN]);
	set_u64(o, "tasks", e->tasks);
	set_u64(o, "sends", e->sends);
	set_u64(o, "hedges", e->hedges);
	set_u64(o, "starts", e->sends - not_run);
	set_u64(o, "open", e->open_sends);
	set_u64(o, "refused_by_target", e->sends_by_end[SYC_SEND_REFUSED]);
	set_u64(o, "not_sent", e->sends_by_end[SYC_SEND_NOT_SENT]);
	set_u64(o, "answered", e->sends_by_end[SYC_SEND_ANSWERED]);
	set_u64(o, "failed_sends", e->sends_by_end[SYC_SEND_FAILED]);
	set_u64(o, "broken", e->sends_by_end[SYC_SEND_BROKEN]);
	set_u64(o, "timeout", e->sends_by_end[SYC_SEND_TIMEOUT]);
	json_object_set_new(o, "reasons", reasons_json(e));
	return o;
}

json_t *ledger_append_json(const struct ledger *l, const char *caller,
			   const char *service, json_t *out)
{
	const struct ledger_entry *e;
	json_t *o;

	for (e = l->first; e; e = e->next) {
		o = entry_json(e);
		json_object_set_new(o, "caller", json_string(caller));
		json_object_set_new(o, "service", json_string(service));
		json_array_append_new(out, o);
	}
	return out;
}

void ledger_free(struct ledger *l)
{
	struct ledger_entry *e;

	while ((e = l->first)) {
		l->first = e->next;
		free(e);
	}
}
