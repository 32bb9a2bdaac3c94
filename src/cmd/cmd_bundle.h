/* Functions shared by the subcommands of `sycamoreshore bundle`. */
#ifndef CMD_CMD_BUNDLE_H
#define CMD_CMD_BUNDLE_H

#include <ev.h>

#include "cmd/platform_client.h"
#include "cmd/settings.h"
#include "sycamoreshore/bundle.h"
#include "sycamoreshore/bundle_sync.h"
#include "util/buf.h"

#define BUNDLE_PROPOSED_KEY "sycamoreshore/bundle/proposed"

enum { BUNDLE_ADMINS_MAX = 256 };

/* The command line. The texts belong to popt's context. */
struct bundle_args {
	const char *file; /* the argument after the subcommand, or NULL */
	char *name;
	char *key;
	char *out;
	char *settings;
	char *store;
	char *token_file;
	int replace;
	int timeout_ms;
	int wait_s;
	long long version;
	size_t n_admins;
	struct syc_addr admins[BUNDLE_ADMINS_MAX];
};

/* The subcommands; each returns an exit code. */
int bundle_keygen(const struct bundle_args *args);
int bundle_token(const struct bundle_args *args);
int bundle_check(const struct bundle_args *args);
int bundle_propose(const struct bundle_args *args);
int bundle_sign(const struct bundle_args *args);
int bundle_roll(const struct bundle_args *args);
int bundle_status(const struct bundle_args *args);

/* Prints "sycamoreshore bundle: MESSAGE" to standard error; returns `code`. */
int bundle_error(int code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Appends a file of at most `max` bytes to `out`. On failure prints an error
 * and returns false.
 */
bool bundle_read_file(const char *path, size_t max, struct buf *out);

/*
 * Reads an operator's hexadecimal seed. On failure prints an error and returns
 * false.
 */
bool bundle_read_seed(const char *path, uint8_t seed[SYC_SEED_LEN]);

/* The platform's store; each call waits for its result. */
struct bundle_store {
	struct ev_loop *loop;
	struct platform_client *client;
	struct syc_platform_ops ops;
	struct buf token;
};

struct bundle_value {
	enum syc_platform_status status;
	uint64_t index;
	struct buf text;
	char message[SYC_DETAIL_MAX];
};

#define auto_bundle_store __attribute__((cleanup(bundle_store_close)))
#define auto_bundle_value __attribute__((cleanup(bundle_value_free)))

/*
 * Opens the store that the command line names, or else the one that the
 * settings name. Reads the settings into `s` if the command line names a
 * settings file; clears `s` otherwise. On failure prints an error and returns
 * false.
 */
bool bundle_store_open(struct bundle_store *st, const struct bundle_args *args,
		       struct settings *s);
void bundle_store_close(struct bundle_store *st);

/*
 * Reads a key. Prints an error and returns false when the store reports neither
 * a value nor that the key is absent.
 */
bool bundle_store_get(struct bundle_store *st, const char *key,
		      struct bundle_value *v);
/*
 * Writes a key if its index still is `index`; zero stands for an absent key.
 * Returns EXIT_DONE, another exit code after printing an error, or -1 when the
 * write has to be tried again because the key has changed or the result is
 * unknown.
 */
int bundle_store_put(struct bundle_store *st, const char *key, uint64_t index,
		     struct syc_bytes text);
void bundle_value_free(struct bundle_value *v);

static inline struct syc_bytes buf_view(const struct buf *b)
{
	return (struct syc_bytes){b->data, b->len};
}

/* Writes a description: "version 7, digest 0123..., signed by anna bernd". */
void bundle_describe(struct syc_bytes envelope, char *out, size_t n);

#endif
