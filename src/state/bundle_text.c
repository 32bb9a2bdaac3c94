#include <string.h>

#include "state/bundle_text.h"
#include "util/alloc.h"
#include "util/field.h"

#define IN_BUNDLE(member) offsetof(struct syc_bundle, member)
#define IN_SERVICE(member) offsetof(struct syc_service, member)
#define IN_CALLER(member) offsetof(struct syc_caller, member)
#define IN_KIND(member) offsetof(struct syc_kind, member)

static const struct field bundle_fields[] = {
	{"version", FIELD_U64, IN_BUNDLE(version), 1, INT64_MAX, NULL, NULL,
	 "Version, raised with every change."},
	{"signoffs", FIELD_U32, IN_BUNDLE(signoffs_needed), 1, SYC_SIGNERS_MAX,
	 NULL, NULL, "Operators who must sign."},
	{"retention_ms", FIELD_U32, IN_BUNDLE(retention_ms), 1000, 86400000,
	 "ms", "900000", "How long the key of an answered request is kept."},
	{"retry_percent", FIELD_U32, IN_BUNDLE(retry_percent), 0, 100, NULL,
	 "10", "Retries allowed per hundred first sends."},
	{0},
};

static const struct field no_fields[] = {{0}};

static const struct field service_fields[] = {
	{"path", FIELD_TEXT, IN_SERVICE(path), 1,
	 sizeof(((struct syc_service *)NULL)->path), NULL, NULL,
	 "HTTP path of a task on a target."},
	{"slots", FIELD_U32, IN_SERVICE(slots), 1, 1024, NULL, NULL,
	 "Tasks at once on one target."},
	{"connections", FIELD_U32, IN_SERVICE(connections), 1, 1024, NULL, "64",
	 "Connections at once to one target."},
	{0},
};

static const struct field caller_fields[] = {
	{"owner", FIELD_NAME, IN_CALLER(owner), 0, 0, NULL, NULL,
	 "Who is responsible for this caller."},
	{"share", FIELD_U32, IN_CALLER(share), 1, 1000000, NULL, NULL,
	 "Weight relative to the other callers."},
	{"rate", FIELD_U32, IN_CALLER(rate), 0, 10000000, "submissions/s", "0",
	 "Submissions per second over all instances; 0: no limit."},
	{"slots", FIELD_U32, IN_CALLER(slots), 0, 10000000, NULL, "0",
	 "Slots at once over all instances; 0: no limit."},
	{"token_hash", FIELD_HEX, IN_CALLER(token_hash), 0, SYC_DIGEST_LEN,
	 NULL, NULL, "BLAKE2b-256 of its bearer token."},
	{0},
};

static const struct field kind_fields[] = {
	{"service", FIELD_NAME, IN_KIND(service), 0, 0, NULL, NULL,
	 "Service that runs it."},
	{"non_idempotent", FIELD_BOOL, IN_KIND(non_idempotent), 0, 0, NULL,
	 NULL, "Whether it must not run twice."},
	{"time_limit_ms", FIELD_U32, IN_KIND(time_limit_ms), 1, 3600000, "ms",
	 NULL, "Time limit of one task."},
	{"retries", FIELD_U32, IN_KIND(retries), 0, 10, NULL, "0",
	 "Retries of a request."},
	{"hedge_ms", FIELD_U32, IN_KIND(hedge_ms), 0, 3600000, "ms", "0",
	 "Time until a second send; 0: none."},
	{0},
};

/* A type of section that may occur several times, each with a name. */
struct section_type {
	const char *name;
	const struct field *fields;
	size_t item_size; /* an item begins with its name */
	size_t array_offset;
	size_t count_offset;
	size_t items_max;
};

static const struct section_type section_types[] = {
	{"signer", no_fields, SYC_NAME_MAX, IN_BUNDLE(signers),
	 IN_BUNDLE(n_signers), SYC_SIGNERS_MAX},
	{"domain", no_fields, SYC_NAME_MAX, IN_BUNDLE(domains),
	 IN_BUNDLE(n_domains), BUNDLE_DOMAINS_MAX},
	{"service", service_fields, sizeof(struct syc_service),
	 IN_BUNDLE(services), IN_BUNDLE(n_services), BUNDLE_SERVICES_MAX},
	{"caller", caller_fields, sizeof(struct syc_caller), IN_BUNDLE(callers),
	 IN_BUNDLE(n_callers), BUNDLE_CALLERS_MAX},
	{"kind", kind_fields, sizeof(struct syc_kind), IN_BUNDLE(kinds),
	 IN_BUNDLE(n_kinds), BUNDLE_KINDS_MAX},
};

struct bundle_reader {
	struct syc_bundle *bundle;
	const struct field *section_fields; /* NULL: no section is open */
	void *open_item;
	uint64_t seen_fields; /* a bit for each of section_fields */
	int section_line; /* of the header of the open section */
	char section[INI_TEXT_SECTION_MAX + 1];
	bool has_bundle_section;
	int kind_lines[BUNDLE_KINDS_MAX]; /* of the headers of kinds */
};

static bool finish_section(struct bundle_reader *reader,
			   const struct ini_pos *pos)
{
	struct ini_pos at = *pos;

	if (!reader->section_fields)
		return true;
	at.line = reader->section_line;
	return field_apply_defaults(reader->section_fields, reader->open_item,
				    reader->seen_fields, &at, reader->section);
}

static void begin_section(struct bundle_reader *reader,
			  const struct ini_pos *pos, const struct field *fields,
			  void *item, const char *name)
{
	reader->section_fields = fields;
	reader->open_item = item;
	reader->seen_fields = 0;
	reader->section_line = pos->line;
	copy_text(reader->section, sizeof(reader->section), name);
}

/* Adds a zeroed item to the array of the type in the bundle. */
static void *add_item(struct syc_bundle *b, const struct section_type *type)
{
	void **array = (void **)(void *)((char *)b + type->array_offset);
	size_t *count = (size_t *)(void *)((char *)b + type->count_offset);
	char *item;

	*array = xrealloc(*array, (*count + 1) * type->item_size);
	item = (char *)*array + *count * type->item_size;
	memset(item, 0, type->item_size);
	(*count)++;
	return item;
}

static const struct section_type *find_type(const char *section)
{
	size_t i, n;

	for (i = 0; i < sizeof(section_types) / sizeof(*section_types); i++) {
		n = strlen(section_types[i].name);
		if (!strncmp(section, section_types[i].name, n) &&
		    section[n] == ' ')
			return &section_types[i];
	}
	return NULL;
}

static bool on_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	struct bundle_reader *reader = ctx;
	const struct section_type *type = find_type(name);
	const char *item_name;
	char *item;

	if (!finish_section(reader, pos))
		return false;
	if (!strcmp(name, "bundle")) {
		reader->has_bundle_section = true;
		begin_section(reader, pos, bundle_fields, reader->bundle, name);
		return true;
	}
	if (!type)
		return ini_fail(pos,
				"unknown section [%s]; known are [bundle] and "
				"[TYPE NAME] with TYPE signer, domain, "
				"service, caller or kind",
				name);
	item_name = name + strlen(type->name) + 1;
	if (!field_name_valid(item_name))
		return ini_fail(pos,
				"'%s' is not a name of 1 to 31 bytes of a-z, "
				"0-9, '.', '_' and '-'",
				item_name);
	if (*(size_t *)(void *)((char *)reader->bundle + type->count_offset) >=
	    type->items_max)
		return ini_fail(pos, "more than %zu sections [%s ...]",
				type->items_max, type->name);
	item = add_item(reader->bundle, type);
	copy_text(item, SYC_NAME_MAX, item_name);
	if (type->fields == kind_fields)
		reader->kind_lines[reader->bundle->n_kinds - 1] = pos->line;
	begin_section(reader, pos, type->fields, item, name);
	return true;
}

static bool on_key(void *ctx, const struct ini_pos *pos, const char *key,
		   const char *value)
{
	struct bundle_reader *reader = ctx;

	return field_set(reader->section_fields, reader->open_item,
			 &reader->seen_fields, pos, key, value);
}

static bool check_kind(const struct syc_bundle *b, const struct syc_kind *k,
		       const struct ini_pos *pos)
{
	if (!syc_bundle_service(b, k->service))
		return ini_fail(pos,
				"kind %s names service %s, which is not "
				"in the bundle",
				k->name, k->service);
	if (k->non_idempotent && (k->retries || k->hedge_ms))
		return ini_fail(pos,
				"kind %s is non-idempotent: retries and "
				"hedge_ms must be 0",
				k->name);
	if (k->hedge_ms >= k->time_limit_ms)
		return ini_fail(pos,
				"hedge_ms of kind %s must be less than its "
				"time_limit_ms",
				k->name);
	return true;
}

/* Checks that each token belongs to one caller only. */
static bool check_tokens(const struct syc_bundle *b, const struct ini_pos *pos)
{
	size_t i, k;

	for (i = 0; i < b->n_callers; i++)
		for (k = 0; k < i; k++)
			if (!memcmp(b->callers[i].token_hash,
				    b->callers[k].token_hash, SYC_DIGEST_LEN))
				return ini_fail(pos,
						"callers %s and %s have "
						"the same token_hash",
						b->callers[k].name,
						b->callers[i].name);
	return true;
}

static bool check_paths(const struct syc_bundle *b, const struct ini_pos *pos)
{
	size_t i;

	for (i = 0; i < b->n_services; i++)
		if (b->services[i].path[0] != '/' ||
		    strpbrk(b->services[i].path, " \t?#"))
			return ini_fail(
				pos,
				"path of service %s must begin with '/' and "
				"have no space, tab, '?' or '#'",
				b->services[i].name);
	return true;
}

static bool check_bundle(struct bundle_reader *reader, struct ini_pos *pos)
{
	const struct syc_bundle *b = reader->bundle;
	size_t i;

	if (!reader->has_bundle_section)
		return ini_fail(pos, "section [bundle] is missing");
	if (!b->n_domains || !b->n_services)
		return ini_fail(pos, "section [%s ...] is missing",
				b->n_domains ? "service" : "domain");
	if (b->n_signers < b->signoffs_needed)
		return ini_fail(pos,
				"signoffs = %u, but %zu sections [signer ...]",
				b->signoffs_needed, b->n_signers);
	if (!check_paths(b, pos) || !check_tokens(b, pos))
		return false;
	for (i = 0; i < b->n_kinds; i++) {
		struct ini_pos at = *pos;

		at.line = reader->kind_lines[i];
		if (!check_kind(b, &b->kinds[i], &at))
			return false;
	}
	return true;
}

bool bundle_text_read(struct syc_bundle *b, struct syc_bytes text,
		      struct ini_pos *pos)
{
	struct bundle_reader reader = {.bundle = b};
	struct ini_events events = {&reader, on_section, on_key};

	return ini_text_read(text, pos, &events) &&
	       finish_section(&reader, pos) && check_bundle(&reader, pos);
}
