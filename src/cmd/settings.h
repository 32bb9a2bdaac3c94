/*
 * The settings of one instance, read from an INI file. A table holds each
 * key's type, range, unit, default and help; the reference page is printed
 * from it.
 */
#ifndef CMD_SETTINGS_H
#define CMD_SETTINGS_H

#include "sycamoreshore/bundle.h"
#include "sycamoreshore/types.h"
#include "util/buf.h"
#include "util/log.h"

enum { SETTINGS_SEEDS_MAX = 32 };

struct settings {
	/* [instance] */
	char name[SYC_NAME_MAX];
	char domain[SYC_NAME_MAX];
	char rack[SYC_NAME_MAX];
	/* [listen] */
	struct syc_addr callers;
	struct syc_addr peers;
	struct syc_addr admin;
	char advertise[SYC_IP_MAX]; /* IP that peers dial; empty: as `peers` */
	/* [cluster] */
	char key_file[256]; /* file with the hexadecimal cluster key */
	size_t n_seeds;
	struct syc_addr seeds[SETTINGS_SEEDS_MAX];
	uint32_t heartbeat_ms;
	uint32_t suspect_ms;
	/* [platform] */
	struct syc_addr store;
	uint32_t store_timeout_ms;
	uint32_t list_interval_ms;
	char token_file[256]; /* with the store's access token; empty: none */
	/* [limits] */
	uint32_t body_max; /* bytes */
	uint32_t connections_max;
	uint32_t idle_s;
	uint32_t queue_max; /* waiting tasks */
	uint32_t claims_max; /* idempotency keys */
	uint32_t answers_max; /* bytes of kept answers */
	uint32_t stop_s; /* time limit of a planned stop */
	/* [operators]; each name = a hexadecimal public key */
	size_t n_trusted;
	struct syc_signer trusted[SYC_SIGNERS_MAX];
	/* [log] */
	enum log_level log_level;
	bool log_json;
	char log_file[256]; /* empty: standard error */
};

/*
 * Reads `path` into `s`. On failure returns false and writes a message with
 * file and line into `err`.
 */
bool settings_read(struct settings *s, const char *path, char *err,
		   size_t errlen);

/* Like settings_read, but reads `text`, which messages call `file`. */
bool settings_parse(struct settings *s, const char *file, struct syc_bytes text,
		    char *err, size_t errlen);

/* Appends the reference page. */
void settings_reference(struct buf *out);

/* Prints the reference of all keys, as docs/SETTINGS.md has it. */
void settings_print_reference(void);

#endif
