#include <ctype.h>
#include <string.h>

#include "bundle_fixture.h"

struct syc_signer fixture_trusted[FIXTURE_TRUSTED];

static void make_seed(char key, uint8_t seed[SYC_SEED_LEN])
{
	memset(seed, key, SYC_SEED_LEN);
}

void fixture_init(void)
{
	uint8_t seed[SYC_SEED_LEN];
	int i;

	for (i = 0; i < FIXTURE_TRUSTED; i++) {
		make_seed((char)('a' + i), seed);
		fixture_trusted[i].name[0] = (char)('a' + i);
		syc_bundle_public_key(seed, fixture_trusted[i].key);
	}
}

static void put_hex(struct buf *out, const uint8_t *p, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		buf_printf(out, "%02x", p[i]);
}

void fixture_add_draft(struct buf *out, unsigned long version,
		       unsigned signoffs)
{
	uint8_t hash[SYC_DIGEST_LEN];

	buf_printf(out,
		   "[bundle]\nversion = %lu\nsignoffs = %u\n"
		   "[signer a]\n[signer b]\n[signer c]\n[signer d]\n"
		   "[domain east]\n[service work]\npath = /t\nslots = 8\n"
		   "[caller one]\nowner = o\nshare = 1\ntoken_hash = ",
		   version, signoffs);
	syc_bundle_token_hash("secret", hash);
	put_hex(out, hash, sizeof(hash));
	buf_puts(out, "\n[kind pay]\nservice = work\n"
		      "non_idempotent = yes\ntime_limit_ms = 1000\n");
}

void fixture_add_signature(struct buf *envelope, const char *name, char key)
{
	uint8_t seed[SYC_SEED_LEN], sig[SYC_SIGNATURE_LEN];

	make_seed(key, seed);
	syc_bundle_sign((struct syc_bytes){envelope->data, envelope->len}, seed,
			sig);
	buf_printf(envelope, "%s = ", name);
	put_hex(envelope, sig, sizeof(sig));
	buf_puts(envelope, "\n");
}

void fixture_add_signed(struct buf *envelope, unsigned long version,
			unsigned signoffs, const char *signers)
{
	char name[2] = "";

	fixture_add_draft(envelope, version, signoffs);
	buf_puts(envelope, "[signatures]\n");
	for (; *signers; signers++) {
		name[0] = (char)tolower((unsigned char)*signers);
		fixture_add_signature(envelope, name, *signers);
	}
}

struct syc_bundle *fixture_parse(const struct buf *envelope, char *err)
{
	return syc_bundle_parse(
		(struct syc_bytes){envelope->data, envelope->len},
		fixture_trusted, FIXTURE_TRUSTED, err, 256);
}
