#include <string.h>

#include "cmd/settings.h"
#include "cmd/settings_file.h"
#include "cmd/settings_table.h"
#include "util/alloc.h"
#include "util/buf.h"

enum {
	SETTINGS_SECTIONS_MAX = 16,
	HEARTBEATS_TO_SUSPECT = 3 /* fewest heartbeats in suspect_ms */
};

struct reading {
	struct settings *s;
	const struct settings_section *sec;
	uint64_t seen[SETTINGS_SECTIONS_MAX]; /* keys given, by section */
};

static bool on_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	struct reading *rd = ctx;

	rd->sec = settings_section(name);
	if (!rd->sec)
		return ini_fail(pos, "unknown section [%s]", name);
	return true;
}

static bool add_operator(struct settings *s, const struct ini_pos *pos,
			 const char *name, const char *value)
{
	struct syc_signer *signer = &s->trusted[s->n_trusted];

	if (s->n_trusted >= SYC_SIGNERS_MAX)
		return ini_fail(pos, "more than %d operators", SYC_SIGNERS_MAX);
	if (!field_name_valid(name))
		return ini_fail(pos, "'%.40s' is no name", name);
	if (!field_parse_hex(value, signer->key, sizeof(signer->key)))
		return ini_fail(pos,
				"the key of %s is not 64 lower-case "
				"hexadecimal digits",
				name);
	copy_name(signer->name, sizeof(signer->name), name);
	s->n_trusted++;
	return true;
}

static bool add_seed(struct settings *s, const struct ini_pos *pos,
		     const char *name, const char *value)
{
	if (s->n_seeds >= SETTINGS_SEEDS_MAX)
		return ini_fail(pos, "more than %d seeds", SETTINGS_SEEDS_MAX);
	if (!field_name_valid(name))
		return ini_fail(pos, "'%.40s' is no name", name);
	if (!field_parse_addr(value, &s->seeds[s->n_seeds]))
		return ini_fail(pos, "%s = '%.40s' is not ip:port", name,
				value);
	s->n_seeds++;
	return true;
}

static bool on_key(void *ctx, const struct ini_pos *pos, const char *key,
		   const char *value)
{
	struct reading *rd = ctx;

	if (rd->sec->fields)
		return field_set(rd->sec->fields, rd->s,
				 &rd->seen[rd->sec - settings_sections], pos,
				 key, value);
	if (!strcmp(rd->sec->name, "seeds"))
		return add_seed(rd->s, pos, key, value);
	return add_operator(rd->s, pos, key, value);
}

/* Two names for one key would let one operator sign twice. */
static bool check_operators(const struct settings *s, const struct ini_pos *pos)
{
	size_t i, k;

	if (!s->n_trusted)
		return ini_fail(pos, "[operators] names nobody");
	for (i = 0; i < s->n_trusted; i++)
		for (k = 0; k < i; k++)
			if (!memcmp(s->trusted[i].key, s->trusted[k].key,
				    SYC_PUBLIC_KEY_LEN))
				return ini_fail(pos,
						"operators %s and %s have "
						"the same key",
						s->trusted[k].name,
						s->trusted[i].name);
	return true;
}

static bool finish(struct reading *rd, const struct ini_pos *pos)
{
	const struct settings_section *sec;
	struct settings *s = rd->s;

	for (sec = settings_sections; sec->name; sec++)
		if (sec->fields &&
		    !field_finish(sec->fields, s,
				  rd->seen[sec - settings_sections], pos,
				  sec->name))
			return false;
	if (s->suspect_ms < HEARTBEATS_TO_SUSPECT * s->heartbeat_ms)
		return ini_fail(pos, "suspect_ms is less than %d heartbeat_ms",
				HEARTBEATS_TO_SUSPECT);
	return check_operators(s, pos);
}

bool settings_parse(struct settings *s, const char *file, struct syc_bytes text,
		    char *err, size_t errlen)
{
	struct reading rd = {s, NULL, {0}};
	struct ini_events events = {&rd, on_section, on_key};
	struct ini_pos pos = {file, 0, err, errlen};

	memset(s, 0, sizeof(*s));
	return ini_text_read(text, &pos, &events) && finish(&rd, &pos);
}

bool settings_read(struct settings *s, const char *path, char *err,
		   size_t errlen)
{
	auto_buf struct buf text = {0};

	if (!settings_file_read(path, &text, err, errlen))
		return false;
	return settings_parse(s, path, (struct syc_bytes){text.data, text.len},
			      err, errlen);
}
