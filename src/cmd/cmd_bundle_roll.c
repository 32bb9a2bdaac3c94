/* `roll`: puts the signed proposal in force. */
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/cmd_bundle.h"

enum { WRITE_ATTEMPTS = 8, DESCRIPTION_MAX = 512 };

struct rolling {
	struct bundle_store store;
	struct settings settings;
	struct syc_bundle *proposal;
};

static struct syc_bytes proposal_text(const struct rolling *r)
{
	return (struct syc_bytes){r->proposal->text, r->proposal->text_len};
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
		return bundle_error(false, "no bundle is proposed");
	r->proposal = syc_bundle_parse(buf_view(&v.text), r->settings.trusted,
				       r->settings.n_trusted, err, sizeof(err));
	return r->proposal || bundle_error(false, "the proposal: %s", err);
}

static int report_bundle_in_force(const struct buf *text)
{
	char desc[DESCRIPTION_MAX];

	bundle_describe(buf_view(text), desc, sizeof(desc));
	return bundle_error(EXIT_CONFLICT, "another bundle is in force: %s",
			    desc);
}

/*
 * Checks that the proposal may replace `text`, the bundle in force. The
 * proposal must also meet the rule for signers of the bundle in force.
 */
static int check_successor(const struct rolling *r, const struct buf *text)
{
	char err[256];
	struct syc_bundle *cur;
	int code = EXIT_DONE;

	if (!text->len)
		return EXIT_DONE;
	cur = syc_bundle_parse_draft(buf_view(text), err, sizeof(err));
	if (!cur)
		return bundle_error(EXIT_FAILED, "the bundle in force: %s",
				    err);
	if (r->proposal->version <= cur->version)
		code = report_bundle_in_force(text);
	else if (!syc_bundle_can_replace(cur, r->proposal, err, sizeof(err)))
		code = bundle_error(EXIT_FAILED, "%s", err);
	else if (!syc_bundle_meets_signoffs(cur, r->proposal))
		code = bundle_error(
			EXIT_FAILED,
			"version %llu in force requires %u of its own "
			"signers",
			(unsigned long long)cur->version, cur->signoffs_needed);
	syc_bundle_unref(cur);
	return code;
}

static bool is_proposal_in_force(const struct rolling *r,
				 const struct buf *text)
{
	struct syc_bytes ours = proposal_text(r);
	size_t n = syc_bundle_signed_len(ours);

	return n == syc_bundle_signed_len(buf_view(text)) &&
	       !memcmp(ours.p, text->data, n);
}

/*
 * Tries to roll once. Returns an exit code, or -1 when it has to be tried
 * again.
 */
static int roll_once(struct rolling *r)
{
	auto_bundle_value struct bundle_value v = {0};
	int code;

	if (!bundle_store_get(&r->store, SYC_BUNDLE_KEY, &v))
		return EXIT_UNREACHABLE;
	if (v.text.len && is_proposal_in_force(r, &v.text))
		return EXIT_DONE;
	code = check_successor(r, &v.text);
	if (code != EXIT_DONE)
		return code;
	return bundle_store_put(&r->store, SYC_BUNDLE_KEY,
				v.text.len ? v.index : 0, proposal_text(r));
}

static int roll(struct rolling *r)
{
	int code, i;

	if (!read_proposal(r, &code))
		return code;
	code = -1;
	for (i = 0; i < WRITE_ATTEMPTS && code < 0; i++)
		code = roll_once(r);
	if (code < 0)
		return bundle_error(
			EXIT_UNREACHABLE,
			"store: each write met a concurrent change or its "
			"result is unknown");
	if (code == EXIT_DONE)
		printf("version %llu is in force\n",
		       (unsigned long long)r->proposal->version);
	return code;
}

int bundle_roll(const struct bundle_args *args)
{
	struct rolling r = {0};
	int code = EXIT_USAGE;

	if (!args->settings)
		return bundle_error(EXIT_USAGE, "roll needs --settings");
	if (bundle_store_open(&r.store, args, &r.settings))
		code = roll(&r);
	syc_bundle_unref(r.proposal);
	bundle_store_close(&r.store);
	return code;
}
