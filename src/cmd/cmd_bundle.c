#include <popt.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/cmd_bundle.h"
#include "util/field.h"

enum { OPT_ADMIN = 1, TIMEOUT_MS = 2000, WAIT_S = 30 };

static struct bundle_args args = {.timeout_ms = TIMEOUT_MS, .wait_s = WAIT_S};
static char *admin;

static const struct poptOption options[] = {
	{"settings", 's', POPT_ARG_STRING, &args.settings, 0,
	 "file of settings with the operators' keys and the store's address",
	 "FILE"},
	{"store", 0, POPT_ARG_STRING, &args.store, 0,
	 "address of the store, in place of that in the settings", "IP:PORT"},
	{"token-file", 0, POPT_ARG_STRING, &args.token_file, 0,
	 "file with the store's access token", "FILE"},
	{"name", 0, POPT_ARG_STRING, &args.name, 0,
	 "keygen, sign: the operator's name", "NAME"},
	{"key", 0, POPT_ARG_STRING, &args.key, 0,
	 "sign: file with the operator's secret key", "FILE"},
	{"out", 0, POPT_ARG_STRING, &args.out, 0,
	 "keygen: file for the secret key; must not exist", "FILE"},
	{"replace", 0, POPT_ARG_NONE, &args.replace, 0,
	 "propose: overwrite a pending proposal", NULL},
	{"admin", 0, POPT_ARG_STRING, &admin, OPT_ADMIN,
	 "status: admin address of an instance; may be repeated", "IP:PORT"},
	{"version", 0, POPT_ARG_LONGLONG, &args.version, 0,
	 "status: version to wait for; default: that of the store", "N"},
	{"wait", 0, POPT_ARG_INT, &args.wait_s, 0,
	 "status: time limit of the wait in seconds", "S"},
	{"timeout-ms", 0, POPT_ARG_INT, &args.timeout_ms, 0,
	 "time limit of one call", "MS"},
	POPT_AUTOHELP POPT_TABLEEND};

static const struct subcommand {
	const char *name;
	int (*run)(const struct bundle_args *args);
	bool takes_file;
} subcommands[] = {
	{"keygen", bundle_keygen, false}, {"token", bundle_token, true},
	{"check", bundle_check, true},	  {"propose", bundle_propose, true},
	{"sign", bundle_sign, true},	  {"roll", bundle_roll, false},
	{"status", bundle_status, false},
};

int bundle_error(int code, const char *fmt, ...)
{
	va_list ap;

	fputs("sycamoreshore bundle: ", stderr);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	return code;
}

static const struct subcommand *find_subcommand(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(subcommands) / sizeof(*subcommands); i++)
		if (name && !strcmp(subcommands[i].name, name))
			return &subcommands[i];
	return NULL;
}

static bool add_admin(void)
{
	if (args.n_admins >= BUNDLE_ADMINS_MAX)
		return bundle_error(false,
				    "--admin may be given at most %d times",
				    BUNDLE_ADMINS_MAX);
	if (!field_parse_addr(admin, &args.admins[args.n_admins]))
		return bundle_error(false, "--admin %s is not ip:port", admin);
	args.n_admins++;
	return true;
}

static bool read_options(poptContext ctx)
{
	int rc;

	while ((rc = poptGetNextOpt(ctx)) == OPT_ADMIN)
		if (!add_admin())
			return false;
	if (rc < -1)
		return bundle_error(false, "%s: %s",
				    poptBadOption(ctx, POPT_BADOPTION_NOALIAS),
				    poptStrerror(rc));
	if (args.timeout_ms < 1 || args.wait_s < 1 || args.version < 0)
		return bundle_error(false, "--timeout-ms and --wait must be at "
					   "least 1, --version at least 0");
	return true;
}

static int run_subcommand(poptContext ctx)
{
	const struct subcommand *sub;

	poptSetOtherOptionHelp(ctx, "keygen|token FILE|check FILE|propose FILE|"
				    "sign FILE|roll|status [OPTION...]");
	if (!read_options(ctx))
		return EXIT_USAGE;
	sub = find_subcommand(poptGetArg(ctx));
	if (!sub)
		return bundle_error(EXIT_USAGE,
				    "the subcommand is missing or unknown; "
				    "'sycamoreshore bundle --help' lists them");
	if (sub->takes_file)
		args.file = poptGetArg(ctx);
	if (sub->takes_file && !args.file)
		return bundle_error(EXIT_USAGE,
				    "%s needs a file as its argument",
				    sub->name);
	if (poptPeekArg(ctx))
		return bundle_error(EXIT_USAGE, "unexpected argument '%s'",
				    poptPeekArg(ctx));
	return sub->run(&args);
}

int cmd_bundle(int argc, const char **argv)
{
	poptContext ctx = poptGetContext("sycamoreshore bundle", argc, argv,
					 options, 0);
	int code = run_subcommand(ctx);

	poptFreeContext(ctx);
	return code;
}
