/*
 * Tickets are keys issued by an instance. They carry their home failure
 * domain, the map epoch and an expiry time. The cluster key authenticates
 * them, so a caller cannot forge a ticket or use another caller's.
 *
 * Text: t1.DOMAIN.EPOCH.EXPIRY.NONCE.MAC, numbers in hexadecimal.
 */
#ifndef CORE_TICKET_H
#define CORE_TICKET_H

#include "sycamoreshore/types.h"

enum { TICKET_LIFETIME_MS = 10 * 60 * 1000 };

struct ticket {
	char domain[SYC_NAME_MAX];
	uint64_t epoch;
	int64_t expires_at; /* ms since the Unix epoch */
	uint64_t nonce;
};

enum ticket_status {
	TICKET_NONE, /* not a ticket but a key chosen by the caller */
	TICKET_VALID,
	TICKET_EXPIRED, /* authentic, but past its expiry time */
	TICKET_FORGED /* the MAC does not match the text and the caller */
};

/*
 * Writes the ticket of `caller` into `out` of SYC_KEY_MAX bytes. Returns
 * false when the domain contains a dot or the text is too long.
 */
bool ticket_write(const struct ticket *t, const char *caller,
		  const uint8_t *cluster_key, char *out);

/*
 * Reads and verifies a ticket of `caller`. `wall_now` is in ms since the
 * Unix epoch. `t` is set only for TICKET_VALID and TICKET_EXPIRED.
 */
enum ticket_status ticket_read(struct ticket *t, const char *text,
			       const char *caller, const uint8_t *cluster_key,
			       int64_t wall_now);

#endif
