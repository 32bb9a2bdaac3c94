#include <stdlib.h>
#include <string.h>

#include "cmd/fetch.h"
#include "cmd/ledger_sum.h"
#include "util/alloc.h"

/* The names of an entry's members, in the order of enum ledger_number. */
static const char *const member_names[LEDGER_NUMBERS] = {
	"submitted",	  "completed",	 "failed",	 "not_run",
	"unknown",	  "tasks",	 "starts",	 "sends",
	"wanted_slot_ms", "got_slot_ms", "lent_slot_ms", "borrowed_slot_ms",
};

static struct ledger_row *find_or_add_row(struct ledger_sum *sum,
					  const char *caller,
					  const char *service, uint64_t version)
{
	struct ledger_row *row;
	size_t i;

	for (i = 0; i < sum->n_rows; i++) {
		row = &sum->rows[i];
		if (row->version == version && !strcmp(row->caller, caller) &&
		    !strcmp(row->service, service))
			return row;
	}
	sum->rows = xrealloc(sum->rows, (sum->n_rows + 1) * sizeof(*row));
	row = &sum->rows[sum->n_rows++];
	memset(row, 0, sizeof(*row));
	copy_text(row->caller, sizeof(row->caller), caller);
	copy_text(row->service, sizeof(row->service), service);
	row->version = version;
	return row;
}

static bool add_reasons(struct ledger_row *row, const json_t *reasons)
{
	const json_t *val;
	int i;

	if (!json_is_object(reasons))
		return false;
	for (i = 0; i < SYC_REASON_COUNT; i++) {
		val = json_object_get(reasons,
				      syc_reason_name((enum syc_reason)i));
		row->reasons[i] += (uint64_t)json_integer_value(val);
	}
	return true;
}

static bool add_entry(struct ledger_sum *sum, const json_t *entry)
{
	const char *caller = json_string_value(
		json_object_get(entry, "caller"));
	const char *service = json_string_value(
		json_object_get(entry, "service"));
	const json_t *version = json_object_get(entry, "version"), *val;
	struct ledger_row *row;
	size_t i;

	if (!caller || !service || !json_is_integer(version))
		return false;
	row = find_or_add_row(sum, caller, service,
			      (uint64_t)json_integer_value(version));
	for (i = 0; i < LEDGER_NUMBERS; i++) {
		val = json_object_get(entry, member_names[i]);
		if (!json_is_integer(val))
			return false;
		row->n[i] += (uint64_t)json_integer_value(val);
	}
	return add_reasons(row, json_object_get(entry, "reasons"));
}

bool ledger_sum_add(struct ledger_sum *sum, const json_t *doc)
{
	const json_t *entries = json_object_get(doc, "entries");
	size_t i;

	if (!json_is_array(entries))
		return false;
	for (i = 0; i < json_array_size(entries); i++)
		if (!add_entry(sum, json_array_get(entries, i)))
			return false;
	sum->n_instances++;
	return true;
}

static bool add_instance(struct ledger_sum *sum, const struct syc_addr *addr)
{
	struct fetch auto_fetch f = {0};
	json_t *doc;
	bool ok;

	if (!fetch_page(&f, addr, "/ledger"))
		return false;
	doc = json_loadb(f.body.data ? f.body.data : "", f.body.len, 0, NULL);
	ok = ledger_sum_add(sum, doc);
	if (!ok)
		fprintf(stderr,
			"%s:%u/ledger: the format of the answer is unknown\n",
			addr->ip, addr->port);
	json_decref(doc);
	return ok;
}

static int compare_rows(const void *a, const void *b)
{
	const struct ledger_row *x = a, *y = b;
	int order = strcmp(x->service, y->service);

	if (!order)
		order = strcmp(x->caller, y->caller);
	if (order)
		return order;
	return (x->version > y->version) - (x->version < y->version);
}

void ledger_sum_fetch(struct ledger_sum *sum, const struct addr_list *admin)
{
	size_t i;

	for (i = 0; i < admin->n; i++)
		if (!add_instance(sum, &admin->addr[i]))
			sum->n_unanswered++;
	if (sum->n_rows)
		qsort(sum->rows, sum->n_rows, sizeof(*sum->rows), compare_rows);
}

uint64_t ledger_sum_total(const struct ledger_sum *sum,
			  enum ledger_number number)
{
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < sum->n_rows; i++)
		total += sum->rows[i].n[number];
	return total;
}

void ledger_sum_free(struct ledger_sum *sum)
{
	free(sum->rows);
	memset(sum, 0, sizeof(*sum));
}

static void print_reasons(const struct ledger_row *row, FILE *out)
{
	int i;

	for (i = 1; i < SYC_REASON_COUNT; i++)
		if (row->reasons[i])
			fprintf(out, " %s:%llu",
				syc_reason_name((enum syc_reason)i),
				(unsigned long long)row->reasons[i]);
	fputc('\n', out);
}

/*
 * Returns the row's share of the slot time that all callers of its service got.
 */
static double share_percent(const struct ledger_sum *sum,
			    const struct ledger_row *row)
{
	double got = 0;
	size_t i;

	for (i = 0; i < sum->n_rows; i++)
		if (!strcmp(sum->rows[i].service, row->service))
			got += (double)sum->rows[i].n[LEDGER_GOT];
	return got > 0 ? 100 * (double)row->n[LEDGER_GOT] / got : 0;
}

void ledger_sum_print(const struct ledger_sum *sum, FILE *out)
{
	const struct ledger_row *row;
	size_t i;

	fprintf(out,
		"%-12s %-14s %7s %9s %6s %8s %6s %7s %9s %9s %10s %10s "
		"%9s %9s  %s\n",
		"service", "caller", "version", "submitted", "done", "failed",
		"notrun", "unknown", "starts", "sends", "wanted s", "got s",
		"share %", "lent s", "refusals");
	for (i = 0; i < sum->n_rows; i++) {
		row = &sum->rows[i];
		fprintf(out,
			"%-12s %-14s %7llu %9llu %6llu %8llu %6llu %7llu %9llu "
			"%9llu %10.1f %10.1f %9.1f %9.1f ",
			row->service, row->caller,
			(unsigned long long)row->version,
			(unsigned long long)row->n[LEDGER_SUBMITTED],
			(unsigned long long)row->n[LEDGER_COMPLETED],
			(unsigned long long)row->n[LEDGER_FAILED],
			(unsigned long long)row->n[LEDGER_NOT_RUN],
			(unsigned long long)row->n[LEDGER_UNKNOWN],
			(unsigned long long)row->n[LEDGER_STARTS],
			(unsigned long long)row->n[LEDGER_SENDS],
			(double)row->n[LEDGER_WANTED] / 1000,
			(double)row->n[LEDGER_GOT] / 1000,
			share_percent(sum, row),
			(double)row->n[LEDGER_LENT] / 1000);
		print_reasons(row, out);
	}
	fprintf(out, "%zu instances read, %zu without an answer\n",
		sum->n_instances, sum->n_unanswered);
}

void ledger_sum_print_csv(const struct ledger_sum *sum, FILE *out)
{
	const struct ledger_row *row;
	size_t i, j;

	fputs("service,caller,version", out);
	for (j = 0; j < LEDGER_NUMBERS; j++)
		fprintf(out, ",%s", member_names[j]);
	for (j = 1; j < SYC_REASON_COUNT; j++)
		fprintf(out, ",%s", syc_reason_name((enum syc_reason)j));
	fputc('\n', out);
	for (i = 0; i < sum->n_rows; i++) {
		row = &sum->rows[i];
		fprintf(out, "%s,%s,%llu", row->service, row->caller,
			(unsigned long long)row->version);
		for (j = 0; j < LEDGER_NUMBERS; j++)
			fprintf(out, ",%llu", (unsigned long long)row->n[j]);
		for (j = 1; j < SYC_REASON_COUNT; j++)
			fprintf(out, ",%llu",
				(unsigned long long)row->reasons[j]);
		fputc('\n', out);
	}
}

static json_t *row_json(const struct ledger_row *row)
{
	json_t *obj = json_pack("{s:s,s:s,s:I}", "service", row->service,
				"caller", row->caller, "version",
				(json_int_t)row->version);
	json_t *reasons = json_object();
	size_t i;

	for (i = 0; i < LEDGER_NUMBERS; i++)
		json_object_set_new(obj, member_names[i],
				    json_integer((json_int_t)row->n[i]));
	for (i = 1; i < SYC_REASON_COUNT; i++)
		if (row->reasons[i])
			json_object_set_new(
				reasons, syc_reason_name((enum syc_reason)i),
				json_integer((json_int_t)row->reasons[i]));
	json_object_set_new(obj, "reasons", reasons);
	return obj;
}

void ledger_sum_print_json(const struct ledger_sum *sum, FILE *out)
{
	json_t *list = json_array(), *doc;
	size_t i;

	for (i = 0; i < sum->n_rows; i++)
		json_array_append_new(list, row_json(&sum->rows[i]));
	doc = json_pack("{s:I,s:I,s:o}", "instances",
			(json_int_t)sum->n_instances, "silent",
			(json_int_t)sum->n_unanswered, "rows", list);
	json_dumpf(doc, out, JSON_INDENT(1));
	fputc('\n', out);
	json_decref(doc);
}
