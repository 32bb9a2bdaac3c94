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
	 "Counts up with every change."},
	{"signoffs", FIELD_U32, IN_BUNDLE(signoffs_needed), 1, SYC_SIGNERS_MAX,
	 NULL, NULL, "Operators who must sign."},
	{"retention_ms", FIELD_U32, IN_BUNDLE(retention_ms), 1000, 86400000,
	 "ms", "900000", "How long an ended key is remembered."},
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
	 "Who answers for this caller."},
	{"share", FIELD_U32, IN_CALLER(share), 1, 1000000, NULL, NULL,
	 "Weight against the other callers."},
	{"rate", FIELD_U32, IN_CALLER(rate), 0, 10000000, "submissions/s", "0",
	 "Submissions a second over all instances; 0: no limit."},
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
	 NULL, "Whether running it twice does harm."},
	{"time_limit_ms", FIELD_U32, IN_KIND(time_limit_ms), 1, 3600000, "ms",
	 NULL, "Time limit of one task."},
	{"retries", FIELD_U32, IN_KIND(retries), 0, 10, NULL, "0",
	 "Further tries of a request."},
	{"hedge_ms", FIELD_U32, IN_KIND(hedge_ms), 0, 3600000, "ms", "0",
	 "A second send follows after this; 0: never."},
	{0},
};

/* A kind of section that may stand more than once, with a name. */
struct section_type {
	const char *word;
	const struct field *fields;
	size_t item_size; /* the name comes first in an item */
	size_t array;
	size_t count;
	size_t max;
};

static const struct section_type types[] = {
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

struct reading {
	struct syc_bundle *b;
	const struct field *fields; /* of the open section; NULL: none */
	void *item;
	uint64_t seen;
	int line; /* of the open section's header */
	char section[INI_TEXT_SECTION_MAX + 1];
	bool have_bundle;
	int kind_lines[BUNDLE_KINDS_MAX];
};

static bool close_section(struct reading *rd, const struct ini_pos *pos)
{
	struct ini_pos at = *pos;

	if (!rd->fields)
		return true;
	at.line = rd->line;
	return field_apply_defaults(rd->fields, rd->item, rd->seen, &at,
				    rd->section);
}

static void open_section(struct reading *rd, const struct ini_pos *pos,
			 const struct field *fields, void *item,
			 const char *name)
{
	rd->fields = fields;
	rd->item = item;
	rd->seen = 0;
	rd->line = pos->line;
	copy_name(rd->section, sizeof(rd->section), name);
}

/* Adds a zeroed item to the type's array in the bundle. */
static void *add_item(struct syc_bundle *b, const struct section_type *type)
{
	void **array = (void **)(void *)((char *)b + type->array);
	size_t *count = (size_t *)(void *)((char *)b + type->count);
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

	for (i = 0; i < sizeof(types) / sizeof(*types); i++) {
		n = strlen(types[i].word);
		if (!strncmp(section, types[i].word, n) && section[n] == ' ')
			return &types[i];
	}
	return NULL;
}

static bool on_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	struct reading *rd = ctx;
	const struct section_type *type = find_type(name);
	const char *item_name;
	char *item;

	if (!close_section(rd, pos))
		return false;
	if (!strcmp(name, "bundle")) {
		rd->have_bundle = true;
		open_section(rd, pos, bundle_fields, rd->b, name);
		return true;
	}
	if (!type)
		return ini_fail(pos, "unknown section [%s]", name);
	item_name = name + strlen(type->word) + 1;
	if (!field_name_valid(item_name))
		return ini_fail(pos, "'%s' is no name", item_name);
	if (*(size_t *)(void *)((char *)rd->b + type->count) >= type->max)
		return ini_fail(pos, "more than %zu sections [%s ...]",
				type->max, type->word);
	item = add_item(rd->b, type);
	copy_name(item, SYC_NAME_MAX, item_name);
	if (type->fields == kind_fields)
		rd->kind_lines[rd->b->n_kinds - 1] = pos->line;
	open_section(rd, pos, type->fields, item, name);
	return true;
}

static bool on_key(void *ctx, const struct ini_pos *pos, const char *key,
		   const char *value)
{
	struct reading *rd = ctx;

	return field_set(rd->fields, rd->item, &rd->seen, pos, key, value);
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
				"kind %s is non-idempotent: no retries, "
				"no hedge_ms",
				k->name);
	if (k->hedge_ms >= k->time_limit_ms)
		return ini_fail(pos,
				"hedge_ms of kind %s is not less than its "
				"time limit",
				k->name);
	return true;
}

/* A token names one caller. */
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
			return ini_fail(pos, "path of service %s is no path",
					b->services[i].name);
	return true;
}

static bool check_whole(struct reading *rd, struct ini_pos *pos)
{
	const struct syc_bundle *b = rd->b;
	size_t i;

	if (!rd->have_bundle)
		return ini_fail(pos, "section [bundle] missing");
	if (!b->n_domains || !b->n_services)
		return ini_fail(pos, "no [%s ...]",
				b->n_domains ? "service" : "domain");
	if (b->n_signers < b->signoffs_needed)
		return ini_fail(pos, "signoffs = %u, but %zu [signer ...]",
				b->signoffs_needed, b->n_signers);
	if (!check_paths(b, pos) || !check_tokens(b, pos))
		return false;
	for (i = 0; i < b->n_kinds; i++) {
		struct ini_pos at = *pos;

		at.line = rd->kind_lines[i];
		if (!check_kind(b, &b->kinds[i], &at))
			return false;
	}
	return true;
}

bool bundle_text_read(struct syc_bundle *b, struct syc_bytes text,
		      struct ini_pos *pos)
{
	struct reading rd = {.b = b};
	struct ini_events events = {&rd, on_section, on_key};

	return ini_text_read(text, pos, &events) && close_section(&rd, pos) &&
	       check_whole(&rd, pos);
}
