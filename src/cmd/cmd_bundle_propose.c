/* `propose` and `sign`: proposes a bundle and signs the proposal. */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/cmd_bundle.h"

enum { WRITE_ATTEMPTS = 8, DESCRIPTION_MAX = 512 };

/* Returns the version of the bundle `text`, or zero if it is not valid. */
static uint64_t version_of(const struct buf *text)
{
	char err[256];
	struct syc_bundle *b;
	uint64_t version;

	if (!text->len)
		return 0;
	b = syc_bundle_parse_draft(buf_view(text), err, sizeof(err));
	version = b ? b->version : 0;
	syc_bundle_unref(b);
	return version;
}

/* Returns whether both texts are equal apart from the signatures. */
static bool is_same_text(struct syc_bytes a, struct syc_bytes b)
{
	size_t n = syc_bundle_signed_len(a);

	return n == syc_bundle_signed_len(b) && !memcmp(a.p, b.p, n);
}

static int report_other_text(const char *message, const struct buf *text)
{
	char desc[DESCRIPTION_MAX];

	bundle_describe(buf_view(text), desc, sizeof(desc));
	return bundle_error(EXIT_CONFLICT, "%s: %s", message, desc);
}

/* Reads and checks the file, and removes its signatures, if any. */
static bool read_draft(const char *path, struct buf *text, uint64_t *version)
{
	char err[256];
	struct syc_bundle *b;

	if (!bundle_read_file(path, SYC_BUNDLE_BYTES_MAX, text))
		return false;
	b = syc_bundle_parse_draft(buf_view(text), err, sizeof(err));
	if (!b)
		return bundle_error(false, "%s: %s", path, err);
	*version = b->version;
	text->len = syc_bundle_signed_len(buf_view(text));
	text->data[text->len] = '\0';
	syc_bundle_unref(b);
	return true;
}

/*
 * Tries to propose once. Returns an exit code, or -1 when it has to be tried
 * again.
 */
static int propose_once(struct bundle_store *st, const struct bundle_args *args,
			const struct buf *text, uint64_t current_version)
{
	auto_bundle_value struct bundle_value v = {0};
	uint64_t index;

	if (!bundle_store_get(st, BUNDLE_PROPOSED_KEY, &v))
		return EXIT_UNREACHABLE;
	if (v.text.len && is_same_text(buf_view(&v.text), buf_view(text)))
		return EXIT_DONE;
	if (!args->replace && version_of(&v.text) > current_version)
		return report_other_text(
			"another proposal is pending, --replace overwrites it",
			&v.text);
	index = v.status == SYC_PLATFORM_ABSENT ? 0 : v.index;
	return bundle_store_put(st, BUNDLE_PROPOSED_KEY, index, buf_view(text));
}

int bundle_propose(const struct bundle_args *args)
{
	auto_bundle_store struct bundle_store st = {0};
	auto_bundle_value struct bundle_value cur = {0};
	auto_buf struct buf text = {0};
	struct settings s;
	uint64_t version = 0;
	int code = -1, i;

	if (!read_draft(args->file, &text, &version) ||
	    !bundle_store_open(&st, args, &s))
		return EXIT_USAGE;
	if (!bundle_store_get(&st, SYC_BUNDLE_KEY, &cur))
		return EXIT_UNREACHABLE;
	if (version <= version_of(&cur.text))
		return report_other_text(
			"the version must be greater than the one in force",
			&cur.text);
	for (i = 0; i < WRITE_ATTEMPTS && code < 0; i++)
		code = propose_once(&st, args, &text, version_of(&cur.text));
	if (code < 0)
		return bundle_error(
			EXIT_UNREACHABLE,
			"store: each write met a concurrent change or its "
			"result is unknown");
	if (code == EXIT_DONE)
		printf("proposed version %llu\n", (unsigned long long)version);
	return code;
}

struct signing {
	const char *name;
	uint8_t seed[SYC_SEED_LEN];
	struct buf text; /* the text that the operator has read and signs */
};

/* Appends the signature; false when the operator has signed already. */
static bool add_signature(const struct signing *sg, struct buf *envelope)
{
	char hex[2 * SYC_SIGNATURE_LEN + 1], line[SYC_NAME_MAX + 8];
	uint8_t sig[SYC_SIGNATURE_LEN];
	size_t len = syc_bundle_signed_len(buf_view(envelope));

	snprintf(line, sizeof(line), "\n%s = ", sg->name);
	if (strstr(envelope->data + len, line))
		return false;
	if (len == envelope->len)
		buf_puts(envelope, "[signatures]\n");
	syc_bundle_sign(buf_view(envelope), sg->seed, sig);
	sodium_bin2hex(hex, sizeof(hex), sig, sizeof(sig));
	buf_printf(envelope, "%s = %s\n", sg->name, hex);
	return true;
}

static int sign_once(struct bundle_store *st, const struct signing *sg)
{
	auto_bundle_value struct bundle_value v = {0};

	if (!bundle_store_get(st, BUNDLE_PROPOSED_KEY, &v))
		return EXIT_UNREACHABLE;
	if (!v.text.len)
		return bundle_error(EXIT_CONFLICT, "no bundle is proposed");
	if (!is_same_text(buf_view(&v.text), buf_view(&sg->text)))
		return report_other_text(
			"another text than that of the file is proposed",
			&v.text);
	if (!add_signature(sg, &v.text))
		return EXIT_DONE;
	return bundle_store_put(st, BUNDLE_PROPOSED_KEY, v.index,
				buf_view(&v.text));
}

/*
 * Checks that the operator is a signer of the bundle and that the settings list
 * no other key under that name. Otherwise the stored signature would make the
 * roll fail.
 */
static bool check_signer(const struct signing *sg, const struct settings *s)
{
	uint8_t key[SYC_PUBLIC_KEY_LEN];
	char err[256];
	struct syc_bundle *b = syc_bundle_parse_draft(buf_view(&sg->text), err,
						      sizeof(err));
	bool named = false;
	size_t i;

	for (i = 0; b && i < b->n_signers; i++)
		named = named || !strcmp(b->signers[i], sg->name);
	syc_bundle_unref(b);
	if (!named)
		return bundle_error(false, "%s is not a signer of this bundle",
				    sg->name);
	syc_bundle_public_key(sg->seed, key);
	for (i = 0; i < s->n_trusted; i++)
		if (!strcmp(s->trusted[i].name, sg->name) &&
		    memcmp(s->trusted[i].key, key, sizeof(key)))
			return bundle_error(false,
					    "the key is not that of %s in the "
					    "settings",
					    sg->name);
	return true;
}

static int sign(struct bundle_store *st, const struct signing *sg)
{
	int code = -1, i;

	for (i = 0; i < WRITE_ATTEMPTS && code < 0; i++)
		code = sign_once(st, sg);
	if (code < 0)
		return bundle_error(
			EXIT_UNREACHABLE,
			"store: each write met a concurrent change or its "
			"result is unknown");
	if (code == EXIT_DONE)
		printf("signed by %s\n", sg->name);
	return code;
}

int bundle_sign(const struct bundle_args *args)
{
	auto_bundle_store struct bundle_store st = {0};
	struct signing sg = {.name = args->name};
	struct settings s;
	uint64_t version;
	int code = EXIT_USAGE;

	if (!args->name || !args->key)
		return bundle_error(EXIT_USAGE, "sign needs --name and --key");
	if (bundle_read_seed(args->key, sg.seed) &&
	    read_draft(args->file, &sg.text, &version) &&
	    bundle_store_open(&st, args, &s) && check_signer(&sg, &s))
		code = sign(&st, &sg);
	sodium_memzero(sg.seed, sizeof(sg.seed));
	buf_free(&sg.text);
	return code;
}
