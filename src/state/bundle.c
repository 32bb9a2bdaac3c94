#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/bundle_text.h"
#include "util/alloc.h"
#include "util/invariant.h"

static struct syc_bundle *new_bundle(struct syc_bytes envelope)
{
	struct syc_bundle *b = xcalloc(1, sizeof(*b));

	b->refs = 1;
	b->text = xcalloc(1, envelope.n + 1);
	if (envelope.n)
		memcpy(b->text, envelope.p, envelope.n);
	b->text_len = envelope.n;
	return b;
}

static int count_lines(const char *text, size_t n)
{
	int lines = 0;
	size_t i;

	for (i = 0; i < n; i++)
		lines += text[i] == '\n';
	return lines;
}

static bool read_signed_text(struct syc_bundle *b, size_t signed_len,
			     struct ini_pos *pos)
{
	struct syc_bytes text = {b->text, signed_len};

	if (signed_len && b->text[signed_len - 1] != '\n') {
		pos->line = count_lines(b->text, signed_len) + 1;
		return ini_fail(pos,
				"the last line does not end with a newline");
	}
	if (!bundle_text_read(b, text, pos))
		return false;
	crypto_generichash(b->digest, sizeof(b->digest),
			   (const unsigned char *)b->text, signed_len, NULL, 0);
	return true;
}

static struct syc_bundle *parse_bundle(struct syc_bytes envelope,
				       const struct syc_signer *trusted,
				       size_t n_trusted, bool is_draft,
				       char *err, size_t errlen)
{
	struct ini_pos pos = {"bundle", 0, err, errlen};
	struct syc_bundle *b;
	size_t signed_len;
	bool ok;

	if (envelope.n > SYC_BUNDLE_BYTES_MAX) {
		ini_fail(&pos, "the bundle is longer than %d bytes",
			 SYC_BUNDLE_BYTES_MAX);
		return NULL;
	}
	b = new_bundle(envelope);
	signed_len = syc_bundle_signed_len(envelope);
	ok = read_signed_text(b, signed_len, &pos);
	if (ok && !is_draft) {
		pos.line = count_lines(b->text, signed_len);
		ok = bundle_signatures_check(b, envelope, signed_len, trusted,
					     n_trusted, &pos);
	}
	if (ok)
		return b;
	syc_bundle_unref(b);
	return NULL;
}

struct syc_bundle *syc_bundle_parse(struct syc_bytes envelope,
				    const struct syc_signer *trusted,
				    size_t n_trusted, char *err, size_t errlen)
{
	return parse_bundle(envelope, trusted, n_trusted, false, err, errlen);
}

struct syc_bundle *syc_bundle_parse_draft(struct syc_bytes text, char *err,
					  size_t errlen)
{
	return parse_bundle(text, NULL, 0, true, err, errlen);
}

bool syc_bundle_can_replace(const struct syc_bundle *cur,
			    const struct syc_bundle *next, char *err,
			    size_t errlen)
{
	if (!cur)
		return true;
	if (next->version <= cur->version) {
		snprintf(err, errlen, "version %llu is not above %llu",
			 (unsigned long long)next->version,
			 (unsigned long long)cur->version);
		return false;
	}
	if (next->n_signed < cur->signoffs_needed) {
		snprintf(err, errlen,
			 "version %llu has %zu good signatures; version %llu "
			 "in force demands %u",
			 (unsigned long long)next->version, next->n_signed,
			 (unsigned long long)cur->version,
			 cur->signoffs_needed);
		return false;
	}
	return true;
}

struct syc_bundle *syc_bundle_ref(struct syc_bundle *b)
{
	if (b)
		b->refs++;
	return b;
}

void syc_bundle_unref(struct syc_bundle *b)
{
	if (!b)
		return;
	invariant(b->refs > 0);
	if (--b->refs)
		return;
	free(b->domains);
	free(b->signers);
	free(b->services);
	free(b->callers);
	free(b->kinds);
	free(b->text);
	free(b);
}

const struct syc_service *syc_bundle_service(const struct syc_bundle *b,
					     const char *name)
{
	size_t i;

	for (i = 0; i < b->n_services; i++)
		if (!strcmp(b->services[i].name, name))
			return &b->services[i];
	return NULL;
}

const struct syc_caller *syc_bundle_caller(const struct syc_bundle *b,
					   const char *name)
{
	size_t i;

	for (i = 0; i < b->n_callers; i++)
		if (!strcmp(b->callers[i].name, name))
			return &b->callers[i];
	return NULL;
}

const struct syc_kind *syc_bundle_kind(const struct syc_bundle *b,
				       const char *name)
{
	size_t i;

	for (i = 0; i < b->n_kinds; i++)
		if (!strcmp(b->kinds[i].name, name))
			return &b->kinds[i];
	return NULL;
}

void syc_bundle_token_hash(const char *token, uint8_t hash[SYC_DIGEST_LEN])
{
	crypto_generichash(hash, SYC_DIGEST_LEN, (const unsigned char *)token,
			   strlen(token), NULL, 0);
}

const struct syc_caller *syc_bundle_caller_by_token(const struct syc_bundle *b,
						    const char *token)
{
	uint8_t hash[SYC_DIGEST_LEN];
	size_t i;

	syc_bundle_token_hash(token, hash);
	for (i = 0; i < b->n_callers; i++)
		if (!memcmp(b->callers[i].token_hash, hash, SYC_DIGEST_LEN))
			return &b->callers[i];
	return NULL;
}
