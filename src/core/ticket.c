#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "core/ticket.h"

enum {
	MAC_LEN = 16, /* bytes */
	MAC_DIGITS = 2 * MAC_LEN
};

static const char ticket_prefix[] = "t1.";

/*
 * Computes the MAC of caller and ticket text. A newline separates them, as
 * a caller's name cannot contain one.
 */
static void make_mac(const char *text, size_t len, const char *caller,
		     const uint8_t *cluster_key, uint8_t mac[MAC_LEN])
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, cluster_key, SYC_DIGEST_LEN, MAC_LEN);
	crypto_generichash_update(&st, (const uint8_t *)"ticket\n", 7);
	crypto_generichash_update(&st, (const uint8_t *)caller, strlen(caller));
	crypto_generichash_update(&st, (const uint8_t *)"\n", 1);
	crypto_generichash_update(&st, (const uint8_t *)text, len);
	crypto_generichash_final(&st, mac, MAC_LEN);
}

bool ticket_write(const struct ticket *t, const char *caller,
		  const uint8_t *cluster_key, char *out)
{
	uint8_t mac[MAC_LEN];
	int n;

	if (strchr(t->domain, '.'))
		return false;
	n = snprintf(out, SYC_KEY_MAX,
		     "%s%s.%" PRIx64 ".%" PRIx64 ".%016" PRIx64, ticket_prefix,
		     t->domain, t->epoch, (uint64_t)t->expires_at, t->nonce);
	if (n < 0 || n + 1 + MAC_DIGITS >= SYC_KEY_MAX)
		return false;
	make_mac(out, (size_t)n, caller, cluster_key, mac);
	out[n] = '.';
	sodium_bin2hex(out + n + 1, MAC_DIGITS + 1, mac, MAC_LEN);
	return true;
}

static bool mac_is_valid(const char *text, const char *caller,
			 const uint8_t *cluster_key)
{
	const char *dot = strrchr(text, '.');
	uint8_t mac[MAC_LEN], given[MAC_LEN];
	size_t len;

	if (strlen(dot + 1) != MAC_DIGITS ||
	    sodium_hex2bin(given, MAC_LEN, dot + 1, MAC_DIGITS, NULL, &len,
			   NULL) ||
	    len != MAC_LEN)
		return false;
	make_mac(text, (size_t)(dot - text), caller, cluster_key, mac);
	return !sodium_memcmp(mac, given, MAC_LEN);
}

enum ticket_status ticket_read(struct ticket *t, const char *text,
			       const char *caller, const uint8_t *cluster_key,
			       int64_t wall_now)
{
	uint64_t expiry;

	if (strncmp(text, ticket_prefix, sizeof(ticket_prefix) - 1))
		return TICKET_NONE;
	if (!mac_is_valid(text, caller, cluster_key))
		return TICKET_FORGED;
	/*
	 * The width 31 is SYC_NAME_MAX - 1. The valid MAC proves that
	 * ticket_write wrote the text, so the text has this form.
	 */
	if (sscanf(text + sizeof(ticket_prefix) - 1,
		   "%31[^.].%" SCNx64 ".%" SCNx64 ".%" SCNx64, t->domain,
		   &t->epoch, &expiry, &t->nonce) != 4)
		return TICKET_FORGED;
	t->expires_at = (int64_t)expiry;
	return t->expires_at < wall_now ? TICKET_EXPIRED : TICKET_VALID;
}
