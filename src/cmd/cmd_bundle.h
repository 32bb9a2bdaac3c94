/* What the subcommands of `sycamoreshore bundle` share. */
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

/* The command line. Texts are borrowed from popt's context. */
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

/* Prints "sycamoreshore bundle: message" to standard error; returns `code`. */
int bundle_say(int code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Reads a whole file of at most `max` bytes; says what is wrong. */
bool bundle_read_file(const char *path, size_t max, struct buf *out);

/* Reads a key file: the hexadecimal seed of an operator. */
bool bundle_read_seed(const char *path, uint8_t seed[SYC_SEED_LEN]);

/* The store, called and waited for. */
struct bundle_store {
	struct ev_loop *loop;
	struct platform_client *side;
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
 * Opens the store named on the command line or in the settings, which are
 * read into `s` when they are named. Says what is wrong.
 */
bool bundle_store_open(struct bundle_store *st, const struct bundle_args *args,
		       struct settings *s);
void bundle_store_close(struct bundle_store *st);

/* Reads a key; false when neither a value nor its absence was told. */
bool bundle_store_get(struct bundle_store *st, const char *key,
		      struct bundle_value *v);
/*
 * Writes a key that is still at `index`; zero: absent. Returns an exit code
 * after saying what is wrong, or -1 to ask for another try, as somebody else
 * wrote it or nobody knows.
 */
int bundle_store_put(struct bundle_store *st, const char *key, uint64_t index,
		     struct syc_bytes text);
void bundle_value_free(struct bundle_value *v);

static inline struct syc_bytes buf_view(const struct buf *b)
{
	return (struct syc_bytes){b->data, b->len};
}

/* "version 7, digest 0123..., signed by anna bernd", for people. */
void bundle_describe(struct syc_bytes envelope, char *out, size_t n);

#endif
