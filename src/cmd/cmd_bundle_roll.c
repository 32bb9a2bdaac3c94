/* Putting a signed proposal in force. */
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/cmd_bundle.h"

enum { TRIES = 8, DESCRIPTION = 512 };

struct rolling {
	struct bundle_store store;
	struct settings settings;
	struct syc_bundle *next;
};

static struct syc_bytes next_text(const struct rolling *r)
{
	return (struct syc_bytes){r->next->text, r->next->text_len};
}

static bool read_proposal(struct rolling *r, int *code)
{
	auto_bundle_value struct bundle_value v = {0};
	char err[256];

	*code = EXIT_UNREACHABLE;
	if (!bundle_store_get(&r->store, BUNDLE_PROPOSED_KEY, &v))
		return false;
	*code = EXIT_FAILED;
	if (!v.text.len)
		return bundle_say(false, "nothing is proposed");
	r->next = syc_bundle_parse(buf_view(&v.text), r->settings.trusted,
				   r->settings.n_trusted, err, sizeof(err));
	return r->next || bundle_say(false, "the proposal: %s", err);
}

static int say_winner(const struct buf *text)
{
	char desc[DESCRIPTION];

	bundle_describe(buf_view(text), desc, sizeof(desc));
	return bundle_say(EXIT_CONFLICT, "in force is %s", desc);
}

/* Whether the proposal may follow what the store holds, by its rule too. */
static int check_against(const struct rolling *r, const struct buf *text)
{
	char err[256];
	struct syc_bundle *cur;
	int code = EXIT_DONE;

	if (!text->len)
		return EXIT_DONE;
	cur = syc_bundle_parse_draft(buf_view(text), err, sizeof(err));
	if (!cur)
		return bundle_say(EXIT_FAILED, "what is in force: %s", err);
	if (r->next->version <= cur->version)
		code = say_winner(text);
	else if (!syc_bundle_can_replace(cur, r->next, err, sizeof(err)))
		code = bundle_say(EXIT_FAILED, "%s", err);
	else if (!syc_bundle_meets_signoffs(cur, r->next))
		code = bundle_say(EXIT_FAILED,
				  "version %llu in force wants %u of its own "
				  "signers",
				  (unsigned long long)cur->version,
				  cur->signoffs_needed);
	syc_bundle_unref(cur);
	return code;
}

static bool is_ours(const struct rolling *r, const struct buf *text)
{
	struct syc_bytes ours = next_text(r);
	size_t n = syc_bundle_signed_len(ours);

	return n == syc_bundle_signed_len(buf_view(text)) &&
	       !memcmp(ours.p, text->data, n);
}

/* One try; -1 asks for another, after a lost reply or a lost race. */
static int roll_once(struct rolling *r)
{
	auto_bundle_value struct bundle_value v = {0};
	int code;

	if (!bundle_store_get(&r->store, SYC_BUNDLE_KEY, &v))
		return EXIT_UNREACHABLE;
	if (v.text.len && is_ours(r, &v.text))
		return EXIT_DONE;
	code = check_against(r, &v.text);
	if (code != EXIT_DONE)
		return code;
	return bundle_store_put(&r->store, SYC_BUNDLE_KEY,
				v.text.len ? v.index : 0, next_text(r));
}

static int roll(struct rolling *r)
{
	int code, i;

	if (!read_proposal(r, &code))
		return code;
	code = -1;
	for (i = 0; i < TRIES && code < 0; i++)
		code = roll_once(r);
	if (code < 0)
		return bundle_say(EXIT_UNREACHABLE, "store: no certain answer");
	if (code == EXIT_DONE)
		printf("version %llu is in force\n",
		       (unsigned long long)r->next->version);
	return code;
}

int bundle_roll(const struct bundle_args *args)
{
	struct rolling r = {0};
	int code = EXIT_USAGE;

	if (!args->settings)
		return bundle_say(EXIT_USAGE, "roll needs --settings");
	if (bundle_store_open(&r.store, args, &r.settings))
		code = roll(&r);
	syc_bundle_unref(r.next);
	bundle_store_close(&r.store);
	return code;
}
