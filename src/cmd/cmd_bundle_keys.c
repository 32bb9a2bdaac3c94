/* `keygen`, `token` and `check`: operators' keys, tokens and files. */
#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cmd/cmd.h"
#include "cmd/cmd_bundle.h"
#include "util/field.h"

enum { SECRET_FILE_MAX = 256 /* bytes */, SECRET_FILE_MODE = 0600 };

bool bundle_read_file(const char *path, size_t max, struct buf *out)
{
	char chunk[4096];
	FILE *f = fopen(path, "re");
	size_t n;
	bool read_failed;

	if (!f)
		return bundle_error(false, "%s: %s", path, strerror(errno));
	while (out->len <= max && (n = fread(chunk, 1, sizeof(chunk), f)))
		buf_add(out, chunk, n);
	read_failed = ferror(f);
	fclose(f);
	if (read_failed)
		return bundle_error(false, "%s: cannot be read", path);
	if (out->len > max)
		return bundle_error(false,
				    "%s: the file is longer than %zu bytes",
				    path, max);
	buf_puts(out, "");
	return true;
}

static void trim_newline(struct buf *text)
{
	while (text->len && (text->data[text->len - 1] == '\n' ||
			     text->data[text->len - 1] == '\r'))
		text->data[--text->len] = '\0';
}

bool bundle_read_seed(const char *path, uint8_t seed[SYC_SEED_LEN])
{
	auto_buf struct buf text = {0};
	bool ok;

	if (!bundle_read_file(path, SECRET_FILE_MAX, &text))
		return false;
	trim_newline(&text);
	ok = text.len && field_parse_hex(text.data, seed, SYC_SEED_LEN);
	if (text.len)
		sodium_memzero(text.data, text.len);
	return ok || bundle_error(false,
				  "%s: the content is not %d lower-case "
				  "hexadecimal digits",
				  path, 2 * SYC_SEED_LEN);
}

static bool write_secret(const char *path, const char *text)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
		      SECRET_FILE_MODE);
	size_t n = strlen(text);
	bool ok;

	if (fd < 0)
		return bundle_error(false, "%s: %s", path, strerror(errno));
	ok = write(fd, text, n) == (ssize_t)n;
	ok = !close(fd) && ok;
	if (ok)
		return true;
	unlink(path);
	return bundle_error(false, "%s: cannot be written", path);
}

int bundle_keygen(const struct bundle_args *args)
{
	char secret[2 * SYC_SEED_LEN + 2], public[2 * SYC_PUBLIC_KEY_LEN + 1];
	uint8_t seed[SYC_SEED_LEN], key[SYC_PUBLIC_KEY_LEN];
	bool ok;

	if (!args->name || !args->out)
		return bundle_error(EXIT_USAGE,
				    "keygen needs --name and --out");
	if (!field_name_valid(args->name))
		return bundle_error(EXIT_USAGE,
				    "--name '%s' is not 1 to 31 bytes of a-z, "
				    "0-9, '.', '_' and '-'",
				    args->name);
	if (sodium_init() < 0)
		return bundle_error(EXIT_FAILED,
				    "the system provides no random numbers");
	randombytes_buf(seed, sizeof(seed));
	syc_bundle_public_key(seed, key);
	sodium_bin2hex(secret, sizeof(secret), seed, sizeof(seed));
	secret[sizeof(secret) - 2] = '\n';
	secret[sizeof(secret) - 1] = '\0';
	ok = write_secret(args->out, secret);
	sodium_memzero(seed, sizeof(seed));
	sodium_memzero(secret, sizeof(secret));
	if (!ok)
		return EXIT_FAILED;
	sodium_bin2hex(public, sizeof(public), key, sizeof(key));
	printf("%s = %s\n", args->name, public);
	return EXIT_DONE;
}

int bundle_token(const struct bundle_args *args)
{
	auto_buf struct buf text = {0};
	uint8_t hash[SYC_DIGEST_LEN];
	char hex[2 * SYC_DIGEST_LEN + 1];

	if (!bundle_read_file(args->file, SECRET_FILE_MAX, &text))
		return EXIT_USAGE;
	trim_newline(&text);
	if (!text.len || strlen(text.data) != text.len)
		return bundle_error(
			EXIT_USAGE,
			"%s: the file holds no token, or one with a NUL byte",
			args->file);
	syc_bundle_token_hash(text.data, hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	printf("token_hash = %s\n", hex);
	return EXIT_DONE;
}

/* Checks the signatures too when settings with trusted keys are given. */
int bundle_check(const struct bundle_args *args)
{
	auto_buf struct buf text = {0};
	struct settings s;
	struct syc_bundle *b;
	char err[256];

	if (!bundle_read_file(args->file, SYC_BUNDLE_BYTES_MAX, &text))
		return EXIT_USAGE;
	if (args->settings &&
	    !settings_read(&s, args->settings, err, sizeof(err)))
		return bundle_error(EXIT_USAGE, "%s", err);
	if (args->settings)
		b = syc_bundle_parse(buf_view(&text), s.trusted, s.n_trusted,
				     err, sizeof(err));
	else
		b = syc_bundle_parse_draft(buf_view(&text), err, sizeof(err));
	if (!b)
		return bundle_error(EXIT_USAGE, "%s: %s", args->file, err);
	printf("version %llu: %zu domains, %zu services, %zu callers, "
	       "%zu kinds\n",
	       (unsigned long long)b->version, b->n_domains, b->n_services,
	       b->n_callers, b->n_kinds);
	syc_bundle_unref(b);
	return EXIT_DONE;
}
