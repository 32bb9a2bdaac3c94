#include <string.h>

#include "cmd/settings.h"
#include "cmd/settings_file.h"
#include "util/alloc.h"

enum {
	SUSPECT_HEARTBEATS_MIN =
		3 /* fewest heartbeat intervals in suspect_ms */
};

static bool add_operator(struct settings *s, const struct ini_pos *pos,
			 const char *name, const char *value)
{
	struct syc_signer *signer = &s->trusted[s->n_trusted];

	if (s->n_trusted >= SYC_SIGNERS_MAX)
		return ini_fail(pos, "[operators] holds more than %d keys",
				SYC_SIGNERS_MAX);
	if (!field_name_valid(name))
		return ini_fail(pos,
				"'%.40s' is not a name of 1 to 31 bytes of "
				"a-z, 0-9, '.', '_' and '-'",
				name);
	if (!field_parse_hex(value, signer->key, sizeof(signer->key)))
		return ini_fail(pos,
				"the key of %s is not 64 lower-case "
				"hexadecimal digits",
				name);
	copy_text(signer->name, sizeof(signer->name), name);
	s->n_trusted++;
	return true;
}

static bool add_seed(struct settings *s, const struct ini_pos *pos,
		     const char *name, const char *value)
{
	if (s->n_seeds >= SETTINGS_SEEDS_MAX)
		return ini_fail(pos, "[seeds] holds more than %d addresses",
				SETTINGS_SEEDS_MAX);
	if (!field_name_valid(name))
		return ini_fail(pos,
				"'%.40s' is not a name of 1 to 31 bytes of "
				"a-z, 0-9, '.', '_' and '-'",
				name);
	if (!field_parse_addr(value, &s->seeds[s->n_seeds]))
		return ini_fail(pos, "%s = '%.40s' is not ip:port", name,
				value);
	s->n_seeds++;
	return true;
}

static bool add_named_key(void *base, const struct ini_pos *pos,
			  const char *section, const char *key,
			  const char *value)
{
	if (!strcmp(section, "seeds"))
		return add_seed(base, pos, key, value);
	return add_operator(base, pos, key, value);
}

/* With two names for one key, one operator could sign twice. */
static bool check_operators(const struct settings *s, const struct ini_pos *pos)
{
	size_t i, k;

	if (!s->n_trusted)
		return ini_fail(
			pos, "[operators] holds no key; 1 to 16 are allowed");
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

static bool check_values(const void *base, const struct ini_pos *pos)
{
	const struct settings *s = base;

	if (s->suspect_ms < SUSPECT_HEARTBEATS_MIN * s->heartbeat_ms)
		return ini_fail(pos,
				"suspect_ms = %u is less than %d times "
				"heartbeat_ms = %u",
				s->suspect_ms, SUSPECT_HEARTBEATS_MIN,
				s->heartbeat_ms);
	return check_operators(s, pos);
}

static struct settings_form form_of(struct settings *s)
{
	return (struct settings_form){
		.sections = settings_sections,
		.base = s,
		.size = sizeof(*s),
		.named = add_named_key,
		.check = check_values,
	};
}

bool settings_parse(struct settings *s, const char *file, struct syc_bytes text,
		    char *err, size_t errlen)
{
	struct settings_form form = form_of(s);

	return settings_file_parse(&form, file, text, err, errlen);
}

bool settings_read(struct settings *s, const char *path, char *err,
		   size_t errlen)
{
	struct settings_form form = form_of(s);

	return settings_file_read(&form, path, err, errlen);
}
