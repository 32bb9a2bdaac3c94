#include <sodium.h>
#include <string.h>

#include "state/bundle_text.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/field.h"
#include "util/invariant.h"

/* Put before the signed text, so that a signature is valid for bundles only. */
#define SIGNATURE_CONTEXT "sycamoreshore bundle 1\n"

/* If several operators are trusted, no bundle is valid with one signature. */
enum { SIGNOFFS_MIN = 2 };

struct signature_check {
	struct syc_bundle *bundle;
	const struct syc_signer *trusted;
	size_t n_trusted;
	struct buf signed_message;
	bool in_signatures; /* [signatures] has begun */
	const struct syc_signer *counted_signers[SYC_SIGNERS_MAX];
};

static void build_signed_message(struct buf *out, const void *text, size_t n)
{
	buf_puts(out, SIGNATURE_CONTEXT);
	buf_add(out, text, n);
}

size_t syc_bundle_signed_len(struct syc_bytes envelope)
{
	const char *text = envelope.p;
	const size_t line_len = strlen(BUNDLE_SIGNATURES_LINE);
	const char *line_end;
	size_t pos = 0;

	while (pos < envelope.n) {
		if (envelope.n - pos >= line_len &&
		    !memcmp(text + pos, BUNDLE_SIGNATURES_LINE, line_len))
			return pos;
		line_end = memchr(text + pos, '\n', envelope.n - pos);
		if (!line_end)
			break;
		pos = (size_t)(line_end - text) + 1;
	}
	return envelope.n;
}

/* The index of `name` among the signers, or their number if it is none. */
static size_t find_signer_index(const struct syc_bundle *b, const char *name)
{
	size_t i;

	for (i = 0; i < b->n_signers; i++)
		if (!strcmp(b->signers[i], name))
			break;
	return i;
}

bool syc_bundle_meets_signoffs(const struct syc_bundle *cur,
			       const struct syc_bundle *next)
{
	uint32_t n_signed = 0;
	size_t i, index;

	for (i = 0; i < cur->n_signers; i++) {
		index = find_signer_index(next, cur->signers[i]);
		if (index < next->n_signers && next->signed_by[index])
			n_signed++;
	}
	return n_signed >= cur->signoffs_needed;
}

static const struct syc_signer *find_trusted(
	const struct signature_check *check, const char *name)
{
	size_t i;

	for (i = 0; i < check->n_trusted; i++)
		if (!strcmp(check->trusted[i].name, name))
			return &check->trusted[i];
	return NULL;
}

/*
 * Whether a signature of this key is counted already. A key with two names is
 * one operator.
 */
static bool is_key_counted(const struct signature_check *check,
			   const struct syc_signer *signer)
{
	size_t i;

	for (i = 0; i < check->bundle->n_signed; i++)
		if (!memcmp(check->counted_signers[i]->key, signer->key,
			    SYC_PUBLIC_KEY_LEN))
			return true;
	return false;
}

static bool on_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	struct signature_check *check = ctx;

	if (check->in_signatures || strcmp(name, "signatures"))
		return ini_fail(pos, "section [%s] after the signed text",
				name);
	check->in_signatures = true;
	return true;
}

static bool on_key(void *ctx, const struct ini_pos *pos, const char *name,
		   const char *value)
{
	struct signature_check *check = ctx;
	const struct syc_signer *signer;
	uint8_t signature[SYC_SIGNATURE_LEN];
	size_t index = find_signer_index(check->bundle, name);

	if (index == check->bundle->n_signers)
		return ini_fail(pos, "%s is no signer of this bundle", name);
	if (!field_parse_hex(value, signature, sizeof(signature)))
		return ini_fail(pos,
				"the signature of %s is not 128 "
				"lower-case hexadecimal digits",
				name);
	signer = find_trusted(check, name);
	if (!signer)
		return true;
	if (crypto_sign_verify_detached(
		    signature,
		    (const unsigned char *)check->signed_message.data,
		    check->signed_message.len, signer->key))
		return ini_fail(pos, "the signature of %s is wrong", name);
	if (is_key_counted(check, signer))
		return ini_fail(pos, "the key of %s has signed already", name);
	invariant(check->bundle->n_signed < SYC_SIGNERS_MAX);
	check->counted_signers[check->bundle->n_signed++] = signer;
	check->bundle->signed_by[index] = true;
	return true;
}

static uint32_t signoffs_needed(const struct syc_bundle *b, size_t n_trusted)
{
	if (n_trusted >= SIGNOFFS_MIN && b->signoffs_needed < SIGNOFFS_MIN)
		return SIGNOFFS_MIN;
	return b->signoffs_needed;
}

bool bundle_signatures_check(struct syc_bundle *b, struct syc_bytes envelope,
			     size_t signed_len,
			     const struct syc_signer *trusted, size_t n_trusted,
			     struct ini_pos *pos)
{
	struct signature_check check = {b, trusted, n_trusted, {0}, false, {0}};
	struct ini_events events = {&check, on_section, on_key};
	struct syc_bytes rest = {(const char *)envelope.p + signed_len,
				 envelope.n - signed_len};
	uint32_t needed = signoffs_needed(b, n_trusted);
	bool ok;

	build_signed_message(&check.signed_message, envelope.p, signed_len);
	ok = ini_text_read(rest, pos, &events);
	buf_free(&check.signed_message);
	if (ok && b->n_signed < needed)
		return ini_fail(pos,
				"%zu good signatures of trusted operators, "
				"%u needed",
				b->n_signed, needed);
	return ok;
}

void syc_bundle_sign(struct syc_bytes envelope, const uint8_t *seed,
		     uint8_t sig[SYC_SIGNATURE_LEN])
{
	unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
	unsigned char secret_key[crypto_sign_SECRETKEYBYTES];
	auto_buf struct buf message = {0};

	invariant(crypto_sign_seed_keypair(public_key, secret_key, seed) == 0);
	build_signed_message(&message, envelope.p,
			     syc_bundle_signed_len(envelope));
	crypto_sign_detached(sig, NULL, (unsigned char *)message.data,
			     message.len, secret_key);
	sodium_memzero(secret_key, sizeof(secret_key));
}

void syc_bundle_public_key(const uint8_t *seed, uint8_t key[SYC_PUBLIC_KEY_LEN])
{
	unsigned char secret_key[crypto_sign_SECRETKEYBYTES];

	invariant(crypto_sign_seed_keypair(key, secret_key, seed) == 0);
	sodium_memzero(secret_key, sizeof(secret_key));
}
