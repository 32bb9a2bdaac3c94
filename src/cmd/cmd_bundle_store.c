/* Calls to the store that wait for the result. */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/cmd_bundle.h"
#include "util/alloc.h"
#include "util/field.h"
#include "util/ini_text.h"

enum { TOKEN_BYTES_MAX = 1024, DIGEST_SHOWN_BYTES = 6 };

static bool read_token(struct bundle_store *st, const char *path)
{
	if (!path || !*path)
		return true;
	if (!bundle_read_file(path, TOKEN_BYTES_MAX, &st->token))
		return false;
	if (st->token.len)
		st->token.data[strcspn(st->token.data, "\r\n")] = '\0';
	return true;
}

bool bundle_store_open(struct bundle_store *st, const struct bundle_args *args,
		       struct settings *s)
{
	struct platform_client_options opt = {
		.timeout_ms = (uint32_t)args->timeout_ms,
	};
	const char *token_file = args->token_file;
	char err[256];

	memset(s, 0, sizeof(*s));
	if (args->settings &&
	    !settings_read(s, args->settings, err, sizeof(err)))
		return bundle_error(false, "%s", err);
	if (!args->settings && !args->store)
		return bundle_error(false, "the store's address is missing: "
					   "--store or --settings is required");
	if (args->store && !field_parse_addr(args->store, &s->store))
		return bundle_error(false, "--store %s is not ip:port",
				    args->store);
	if (!read_token(st, token_file ? token_file : s->token_file))
		return false;
	st->loop = ev_loop_new(0);
	opt.loop = st->loop;
	opt.store = s->store;
	opt.token = st->token.len ? st->token.data : NULL;
	st->client = platform_client_new(&opt);
	st->ops = platform_client_ops(st->client);
	return true;
}

void bundle_store_close(struct bundle_store *st)
{
	platform_client_free(st->client);
	if (st->loop)
		ev_loop_destroy(st->loop);
	buf_free(&st->token);
}

void bundle_value_free(struct bundle_value *v)
{
	buf_free(&v->text);
}

struct pending_call {
	struct bundle_store *store;
	struct bundle_value *v;
};

static void on_value(void *arg, const struct syc_platform_value *v)
{
	struct pending_call *w = arg;

	w->v->status = v->status;
	w->v->index = v->index;
	buf_add(&w->v->text, v->value.p, v->value.n);
	copy_text(w->v->message, sizeof(w->v->message), v->message);
	ev_break(w->store->loop, EVBREAK_ALL);
}

bool bundle_store_get(struct bundle_store *st, const char *key,
		      struct bundle_value *v)
{
	struct pending_call w = {st, v};

	buf_free(&v->text);
	st->ops.get(st->ops.ctx, key, on_value, &w);
	ev_run(st->loop, 0);
	if (v->status == SYC_PLATFORM_ABSENT)
		buf_free(&v->text);
	if (v->status == SYC_PLATFORM_OK || v->status == SYC_PLATFORM_ABSENT)
		return true;
	return bundle_error(false, "store: %s", v->message);
}

int bundle_store_put(struct bundle_store *st, const char *key, uint64_t index,
		     struct syc_bytes text)
{
	auto_bundle_value struct bundle_value result = {0};
	struct pending_call w = {st, &result};

	st->ops.cas(st->ops.ctx, key, index, text, on_value, &w);
	ev_run(st->loop, 0);
	switch (result.status) {
	case SYC_PLATFORM_OK:
		return EXIT_DONE;
	case SYC_PLATFORM_CONFLICT:
	case SYC_PLATFORM_UNCERTAIN:
		return -1;
	case SYC_PLATFORM_ERROR:
		return bundle_error(EXIT_FAILED, "store: %s", result.message);
	default:
		return bundle_error(EXIT_UNREACHABLE, "store: %s",
				    result.message);
	}
}

static bool skip_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	return true;
}

static bool add_signer(void *ctx, const struct ini_pos *pos, const char *key,
		       const char *value)
{
	buf_printf(ctx, " %s", key);
	return true;
}

static void list_signers(struct syc_bytes envelope, struct buf *out)
{
	size_t len = syc_bundle_signed_len(envelope);
	struct syc_bytes rest = {(const char *)envelope.p + len,
				 envelope.n - len};
	struct ini_events events = {out, skip_section, add_signer};
	char err[256];
	struct ini_pos pos = {"", 0, err, sizeof(err)};

	ini_text_read(rest, &pos, &events);
}

void bundle_describe(struct syc_bytes envelope, char *out, size_t n)
{
	char err[256], hex[2 * DIGEST_SHOWN_BYTES + 1];
	struct syc_bundle *b = syc_bundle_parse_draft(envelope, err,
						      sizeof(err));
	auto_buf struct buf signers = {0};

	if (!b) {
		snprintf(out, n, "unreadable text (%s)", err);
		return;
	}
	list_signers(envelope, &signers);
	sodium_bin2hex(hex, sizeof(hex), b->digest, DIGEST_SHOWN_BYTES);
	snprintf(out, n, "version %llu, digest %s, signed by%s",
		 (unsigned long long)b->version, hex,
		 signers.len ? signers.data : " nobody");
	syc_bundle_unref(b);
}
