#include <sodium.h>
#include <string.h>

#include "state/bundle_text.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/field.h"
#include "util/invariant.h"

/* Keeps a signature of a bundle from being one of anything else. */
#define SIGN_CONTEXT "sycamoreshore bundle 1\n"

/* With several operators trusted, no single one decides. */
enum { SIGNOFFS_FLOOR = 2 };

struct checking {
	struct syc_bundle *b;
	const struct syc_signer *trusted;
	size_t n_trusted;
	struct buf message;
	bool open; /* [signatures] has begun */
	const struct syc_signer *counted[SYC_SIGNERS_MAX];
};

static void sign_message(struct buf *out, const void *text, size_t n)
{
	buf_puts(out, SIGN_CONTEXT);
	buf_add(out, text, n);
}

size_t syc_bundle_signed_len(struct syc_bytes envelope)
{
	const char *text = envelope.p;
	const size_t mark = strlen(BUNDLE_SIGNATURES);
	const char *nl;
	size_t at = 0;

	while (at < envelope.n) {
		if (envelope.n - at >= mark &&
		    !memcmp(text + at, BUNDLE_SIGNATURES, mark))
			return at;
		nl = memchr(text + at, '\n', envelope.n - at);
		if (!nl)
			break;
		at = (size_t)(nl - text) + 1;
	}
	return envelope.n;
}

/* The place of `name` among the signers; their number when there is none. */
static size_t find_signer(const struct syc_bundle *b, const char *name)
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
	uint32_t n = 0;
	size_t i, place;

	for (i = 0; i < cur->n_signers; i++) {
		place = find_signer(next, cur->signers[i]);
		if (place < next->n_signers && next->signed_by[place])
			n++;
	}
	return n >= cur->signoffs_needed;
}

static const struct syc_signer *find_trusted(const struct checking *c,
					     const char *name)
{
	size_t i;

	for (i = 0; i < c->n_trusted; i++)
		if (!strcmp(c->trusted[i].name, name))
			return &c->trusted[i];
	return NULL;
}

/* One key under two names is one operator. */
static bool key_counted(const struct checking *c, const struct syc_signer *s)
{
	size_t i;

	for (i = 0; i < c->b->n_signed; i++)
		if (!memcmp(c->counted[i]->key, s->key, SYC_PUBLIC_KEY_LEN))
			return true;
	return false;
}

static bool on_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	struct checking *c = ctx;

	if (c->open || strcmp(name, "signatures"))
		return ini_fail(pos, "section [%s] after the signed text",
				name);
	c->open = true;
	return true;
}

static bool on_key(void *ctx, const struct ini_pos *pos, const char *name,
		   const char *value)
{
	struct checking *c = ctx;
	const struct syc_signer *signer;
	uint8_t sig[SYC_SIGNATURE_LEN];
	size_t place = find_signer(c->b, name);

	if (place == c->b->n_signers)
		return ini_fail(pos, "%s is no signer of this bundle", name);
	if (!field_parse_hex(value, sig, sizeof(sig)))
		return ini_fail(pos,
				"the signature of %s is not 128 "
				"lower-case hexadecimal digits",
				name);
	signer = find_trusted(c, name);
	if (!signer)
		return true;
	if (crypto_sign_verify_detached(sig,
					(const unsigned char *)c->message.data,
					c->message.len, signer->key))
		return ini_fail(pos, "the signature of %s is wrong", name);
	if (key_counted(c, signer))
		return ini_fail(pos, "the key of %s has signed already", name);
	invariant(c->b->n_signed < SYC_SIGNERS_MAX);
	c->counted[c->b->n_signed++] = signer;
	c->b->signed_by[place] = true;
	return true;
}

static uint32_t signoffs_needed(const struct syc_bundle *b, size_t n_trusted)
{
	if (n_trusted >= SIGNOFFS_FLOOR && b->signoffs_needed < SIGNOFFS_FLOOR)
		return SIGNOFFS_FLOOR;
	return b->signoffs_needed;
}

bool bundle_signatures_check(struct syc_bundle *b, struct syc_bytes envelope,
			     size_t signed_len,
			     const struct syc_signer *trusted, size_t n_trusted,
			     struct ini_pos *pos)
{
	struct checking c = {b, trusted, n_trusted, {0}, false, {0}};
	struct ini_events events = {&c, on_section, on_key};
	struct syc_bytes rest = {(const char *)envelope.p + signed_len,
				 envelope.n - signed_len};
	uint32_t needed = signoffs_needed(b, n_trusted);
	bool ok;

	sign_message(&c.message, envelope.p, signed_len);
	ok = ini_text_read(rest, pos, &events);
	buf_free(&c.message);
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
	unsigned char pk[crypto_sign_PUBLICKEYBYTES];
	unsigned char sk[crypto_sign_SECRETKEYBYTES];
	auto_buf struct buf message = {0};

	invariant(crypto_sign_seed_keypair(pk, sk, seed) == 0);
	sign_message(&message, envelope.p, syc_bundle_signed_len(envelope));
	crypto_sign_detached(sig, NULL, (unsigned char *)message.data,
			     message.len, sk);
	sodium_memzero(sk, sizeof(sk));
}

void syc_bundle_public_key(const uint8_t *seed, uint8_t key[SYC_PUBLIC_KEY_LEN])
{
	unsigned char sk[crypto_sign_SECRETKEYBYTES];

	invariant(crypto_sign_seed_keypair(key, sk, seed) == 0);
	sodium_memzero(sk, sizeof(sk));
}
