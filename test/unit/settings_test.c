/* Tests the settings' readers: defaults, errors, damaged text, references. */
#include <stdio.h>
#include <string.h>

#include "cmd/fleet_settings.h"
#include "cmd/settings.h"
#include "unit.h"
#include "util/rng.h"

#define KEY1 "0101010101010101010101010101010101010101010101010101010101010101"
#define KEY2 "0202020202020202020202020202020202020202020202020202020202020202"
#define HEAD                                   \
	"[instance]\nname = a\ndomain = d\n"   \
	"[cluster]\nkey_file = /k\n[seeds]\n"  \
	"b = 127.0.0.1:1\n[operators]\nanna =" \
	" " KEY1 "\n"

static bool parse(struct settings *s, const char *text, char *err)
{
	return settings_parse(s, "t", (struct syc_bytes){text, strlen(text)},
			      err, 256);
}

static void defaults_come_from_the_table(void)
{
	struct settings s;
	char err[256] = "";

	CU_ASSERT_TRUE_FATAL(parse(&s, HEAD, err));
	CU_ASSERT_STRING_EQUAL(s.name, "a");
	CU_ASSERT_STRING_EQUAL(s.rack, "none");
	CU_ASSERT_EQUAL(s.callers.port, 7400);
	CU_ASSERT_EQUAL(s.store.port, 8500);
	CU_ASSERT_EQUAL(s.heartbeat_ms, 200);
	CU_ASSERT_EQUAL(s.n_seeds, 1);
	CU_ASSERT_EQUAL(s.n_trusted, 1);
	CU_ASSERT_EQUAL(s.trusted[0].key[31], 1);
	CU_ASSERT_EQUAL(s.log_level, LOG_INFO);
}

static void errors_name_file_line_and_value(void)
{
	static const struct {
		const char *text, *err;
	} cases[] = {
		{"x = 1\n", "t:1: key before any section"},
		{"\n[nothing]\n", "t:2: unknown section [nothing]"},
		{"[log]\n\nlvl = info\n", "t:3: unknown key 'lvl'"},
		{"[log]\nlevel = loud\n", "t:2: level = 'loud' is not error"},
		{"[log]\njson = no\njson = no\n", "t:3: key 'json' repeated"},
		{"[log]\n[cluster]\n[log]\n", "t:3: section [log] repeated"},
		{"[log]\nnonsense\n", "t:2: neither section nor key"},
		{"[log\n", "t:1: section header without ]"},
		{"[log] x\n", "t:1: text after section header"},
		{"[log]\nfile = \001\n", "t:2: control character 0x01"},
		{"[limits]\nidle_s = 0\n", "t:2: idle_s = '0' is not a number"},
		{"[limits]\nidle_s = -1\n", "t:2: idle_s = '-1' is not a"},
		{"[limits]\nidle_s = 1s\n", "t:2: idle_s = '1s' is not a"},
		{"[limits]\nidle_s = 99999999999999999999\n", "t:2: idle_s ="},
		{"[listen]\ncallers = localhost:1\n", "t:2: callers = 'localh"},
		{"[listen]\ncallers = 1.2.3.4:65536\n", "t:2: callers = '1.2"},
		{"[listen]\nadvertise = here\n", "t:2: advertise = 'here'"},
		{"[instance]\nname = A\n", "t:2: name = 'A' is not a name"},
		{"[operators]\nanna = 01\n", "t:2: the key of anna is not"},
		{"[seeds]\nb = x\n", "t:2: b = 'x' is not ip:port"},
		{"[instance]\nname = a\n", "t:2: key 'domain' missing"},
		{HEAD "bernd = " KEY1 "\n", "t:10: operators anna and bernd"},
		{HEAD "[listen]\nadmin = [::1]:x\n", "t:11: admin = '[::1]:x"},
	};
	struct settings s;
	char err[256];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		err[0] = '\0';
		CU_ASSERT_FALSE(parse(&s, cases[i].text, err));
		if (strncmp(err, cases[i].err, strlen(cases[i].err)))
			printf("case %zu: %s\n", i, err);
		CU_ASSERT_NSTRING_EQUAL(err, cases[i].err,
					strlen(cases[i].err));
	}
}

static void long_lines_are_refused_not_cut(void)
{
	char text[600] = HEAD "[log]\nfile = /", err[256];
	size_t at = strlen(text);
	size_t line = strlen("file = /");
	struct settings s;

	memset(text + at, 'x', 196 - line);
	CU_ASSERT_TRUE(parse(&s, text, err));
	CU_ASSERT_EQUAL(strlen(s.log_file), 196 - strlen("file = "));
	text[at + 196 - line] = 'x';
	CU_ASSERT_FALSE(parse(&s, text, err));
	CU_ASSERT_STRING_EQUAL(err, "t:11: line longer than 196 bytes");
}

static void errors_in_damaged_text_name_the_file(void)
{
	static const char head[] = HEAD "[operators2]\n[limits]\nidle_s = 3\n";
	struct rng r = {21};
	char copy[sizeof(head)], err[256];
	struct settings s;
	size_t i, n;

	for (i = 0; i < 20000; i++) {
		memcpy(copy, head, sizeof(head));
		n = 1 + rng_below(&r, sizeof(head) - 1);
		copy[rng_below(&r, n)] = (char)rng_next(&r);
		copy[rng_below(&r, n)] = (char)rng_next(&r);
		err[0] = '\0';
		if (!settings_parse(&s, "t", (struct syc_bytes){copy, n}, err,
				    sizeof(err)))
			CU_ASSERT_NSTRING_EQUAL(err, "t:", 2);
	}
}

static void example_file_is_accepted(void)
{
	struct settings s;
	char err[256] = "";

	CU_ASSERT_TRUE(
		settings_read(&s, "conf/sycamoreshore.conf", err, sizeof(err)));
	CU_ASSERT_STRING_EQUAL(err, "");
}

static void missing_file_is_named(void)
{
	struct settings s;
	char err[256] = "";

	CU_ASSERT_FALSE(settings_read(&s, "conf/none.conf", err, sizeof(err)));
	CU_ASSERT_STRING_EQUAL(err, "conf/none.conf: No such file or "
				    "directory");
}

static void expect_page(const char *path, const struct buf *expected)
{
	auto_buf struct buf actual = {0};
	FILE *f = fopen(path, "re");
	int c;

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	while ((c = fgetc(f)) != EOF)
		buf_add(&actual, &(char){(char)c}, 1);
	fclose(f);
	CU_ASSERT_STRING_EQUAL(actual.data, expected->data);
}

/* The pages in docs equal the printed references byte for byte. */
static void reference_pages_match_the_tables(void)
{
	auto_buf struct buf entry = {0}, fleet = {0};

	settings_reference(&entry);
	expect_page("docs/SETTINGS.md", &entry);
	fleet_settings_reference(&fleet);
	expect_page("docs/SETTINGS-FLEET.md", &fleet);
}

static bool parse_fleet_into(struct fleet_settings *s, const char *extra,
			     char *err, size_t errlen)
{
	static const char head[] =
		"[instance]\nname = a\ndomain = d\n[listen]\n"
		"callers = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
		"admin = 127.0.0.1:3\n[platform]\nstore = 127.0.0.1:4\n";
	char text[1024];

	snprintf(text, sizeof(text), "%s%s", head, extra);
	return fleet_settings_parse(
		s, "f", (struct syc_bytes){text, strlen(text)}, err, errlen);
}

static bool parse_fleet(const char *extra, char *err, size_t errlen)
{
	struct fleet_settings s;

	return parse_fleet_into(&s, extra, err, errlen);
}

static void expect_stop_times(const char *limits, const char *option,
			      uint32_t stop_ms, uint32_t drain_ms)
{
	struct fleet_settings s;
	char extra[128], err[256] = "";

	snprintf(extra, sizeof(extra), "[limits]\n%s", limits);
	CU_ASSERT(parse_fleet_into(&s, extra, err, sizeof(err)));
	CU_ASSERT(fleet_settings_set_grace(&s, option, err, sizeof(err)));
	CU_ASSERT_EQUAL(s.stop_ms, stop_ms);
	CU_ASSERT_EQUAL(s.drain_ms, drain_ms);
}

/* Guards against a planned stop that lasts until SIGKILL, as of 4 s. */
static void stop_ends_before_the_grace_period(void)
{
	expect_stop_times("", NULL, 5500, 2500);
	expect_stop_times("", "", 5500, 2500);
	expect_stop_times("", "6", 5500, 2500);
	expect_stop_times("grace_s = 6\n", NULL, 5500, 2500);
	expect_stop_times("grace_s = 6\n", "4", 3667, 2500);
	expect_stop_times("grace_s = 1.5\n", NULL, 1375, 687);
	expect_stop_times("grace_s = 30\n", NULL, 27500, 2500);
	expect_stop_times("grace_s = 30\nstop_ms = 4000\n", NULL, 4000, 2500);
	expect_stop_times("grace_s = 6\nstop_ms = 60000\n", NULL, 5500, 2500);
}

static void fleet_settings_are_checked(void)
{
	char err[256] = "";

	CU_ASSERT(parse_fleet("", err, sizeof(err)));
	CU_ASSERT_FALSE(
		parse_fleet("[workers]\nlease_ms = 300\n", err, sizeof(err)));
	CU_ASSERT_PTR_NOT_NULL(strstr(err, "hold_wait_ms"));
	CU_ASSERT_FALSE(
		parse_fleet("[limits]\nstop_ms = 2000\n", err, sizeof(err)));
	CU_ASSERT_FALSE(parse_fleet("[nonsense]\n", err, sizeof(err)));
	CU_ASSERT_FALSE(parse_fleet("[log]\nlevel = loud\n", err, sizeof(err)));
	CU_ASSERT(parse_fleet("[machine]\ncpu_share = 0.12\ncpu_speed = 1\n"
			      "link_mbps = 25.0\n",
			      err, sizeof(err)));
	CU_ASSERT_FALSE(
		parse_fleet("[machine]\ncpu_share = -1\n", err, sizeof(err)));
	CU_ASSERT_FALSE(parse_fleet("[machine]\ncpu_share = 0.1.2\n", err,
				    sizeof(err)));
	CU_ASSERT_FALSE(
		parse_fleet("[machine]\nlink_mbps = 1e3\n", err, sizeof(err)));
}

SUITE(settings)
{
	TEST(defaults_come_from_the_table);
	TEST(errors_name_file_line_and_value);
	TEST(long_lines_are_refused_not_cut);
	TEST(errors_in_damaged_text_name_the_file);
	TEST(example_file_is_accepted);
	TEST(missing_file_is_named);
	TEST(reference_pages_match_the_tables);
	TEST(fleet_settings_are_checked);
	TEST(stop_ends_before_the_grace_period);
}
