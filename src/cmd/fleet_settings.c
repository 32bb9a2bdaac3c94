#include <stdio.h>

#include "cmd/fleet_settings.h"
#include "cmd/settings_file.h"
#include "cmd/settings_reference.h"

enum {
	HOLDS_IN_LEASE = 2 /* a lease outlives this many waiting holds */
};

#define AT(member) offsetof(struct fleet_settings, member)
#define SIZE(member) sizeof(((struct fleet_settings *)NULL)->member)

static const struct field instance_fields[] = {
	{"name", FIELD_NAME, AT(name), 0, 0, NULL, NULL,
	 "Name of this instance; a later life of it takes its place."},
	{"domain", FIELD_NAME, AT(domain), 0, 0, NULL, NULL,
	 "Failure domain it runs in."},
	{"rack", FIELD_NAME, AT(rack), 0, 0, NULL, "none", "Rack it runs in."},
	{0},
};

static const struct field listen_fields[] = {
	{"callers", FIELD_ADDR, AT(callers), 0, 0, NULL, NULL,
	 "Address for callers."},
	{"peers", FIELD_ADDR, AT(peers), 0, 0, NULL, NULL,
	 "Address for other instances."},
	{"admin", FIELD_ADDR, AT(admin), 0, 0, NULL, NULL,
	 "Address for readiness, operators and metrics."},
	{0},
};

static const struct field cluster_fields[] = {
	{"name", FIELD_TEXT, AT(cluster), 1, SIZE(cluster), NULL, "fleet",
	 "Name of the cluster; instances of another are turned away."},
	{"key_file", FIELD_TEXT, AT(key_file), 0, SIZE(key_file), NULL, "",
	 "File with the cluster key, 64 hexadecimal digits; empty: a key "
	 "made of the name, which keeps clusters apart but no attacker out."},
	{0},
};

static const struct field platform_fields[] = {
	{"store", FIELD_ADDR, AT(store), 0, 0, NULL, NULL,
	 "Address of the platform's store."},
	{"timeout_ms", FIELD_U32, AT(store_timeout_ms), 50, 60000, "ms", "1000",
	 "Time limit of a call; a watch adds its wait."},
	{0},
};

static const struct field workers_fields[] = {
	{"lease_ms", FIELD_U32, AT(lease_ms), 100, 60000, "ms", "1000",
	 "What runs on a worker ends so long after its last renewal."},
	{"hold_wait_ms", FIELD_U32, AT(hold_wait_ms), 10, 30000, "ms", "200",
	 "Longest wait for an end in one renewal of a lease."},
	{0},
};

static const struct field limits_fields[] = {
	{"body_max", FIELD_U32, AT(body_max), 1024, 7340032, "bytes", "262144",
	 "Largest body of a submission."},
	{"connections_max", FIELD_U32, AT(connections_max), 1, 65536, NULL,
	 "2048", "Connections from callers at once."},
	{"idle_s", FIELD_U32, AT(idle_s), 1, 3600, "s", "30",
	 "A silent connection of a caller is closed after this."},
	{"drain_ms", FIELD_U32, AT(drain_ms), 0, 60000, "ms", "2500",
	 "A planned stop goes on accepting connections for so long, until "
	 "the balancer has noticed."},
	{"stop_ms", FIELD_U32, AT(stop_ms), 100, 3600000, "ms", "5500",
	 "A planned stop ends at the latest after this."},
	{0},
};

static const struct field log_fields[] = {
	{"level", FIELD_LEVEL, AT(log_level), 0, 0, NULL, "info",
	 "Least level that is logged."},
	{"json", FIELD_BOOL, AT(log_json), 0, 0, NULL, "no",
	 "JSON lines instead of logfmt."},
	{"batch", FIELD_U32, AT(log_batch), 4096, 16777216, "bytes", "262144",
	 "Lines kept while standard output takes none; more are dropped."},
	{"lines_per_s", FIELD_U32, AT(log_lines_per_s), 0, 1000000, "lines/s",
	 "1000",
	 "Over this, lines about jobs are left out by the job's id, so that "
	 "some jobs are told of whole; 0: no bound."},
	{0},
};

static const struct settings_section sections[] = {
	{"instance", instance_fields, "Who this instance is."},
	{"listen", listen_fields, "Where it listens, by IP number."},
	{"cluster", cluster_fields, "How it knows its peers."},
	{"platform", platform_fields, "The platform's services."},
	{"workers", workers_fields, "How workers are driven."},
	{"limits", limits_fields, "Bounds on what it holds."},
	{"log", log_fields, "The log, on standard output."},
	{0},
};

static bool check(const void *base, const struct ini_pos *pos)
{
	const struct fleet_settings *s = base;

	if (s->lease_ms < HOLDS_IN_LEASE * s->hold_wait_ms)
		return ini_fail(pos, "lease_ms is less than %d hold_wait_ms",
				HOLDS_IN_LEASE);
	if (s->stop_ms <= s->drain_ms)
		return ini_fail(pos, "stop_ms is not over drain_ms");
	return true;
}

static struct settings_form form_of(struct fleet_settings *s)
{
	return (struct settings_form){
		.sections = sections,
		.base = s,
		.size = sizeof(*s),
		.check = check,
	};
}

bool fleet_settings_parse(struct fleet_settings *s, const char *file,
			  struct syc_bytes text, char *err, size_t errlen)
{
	struct settings_form form = form_of(s);

	return settings_file_parse(&form, file, text, err, errlen);
}

bool fleet_settings_read(struct fleet_settings *s, const char *path, char *err,
			 size_t errlen)
{
	struct settings_form form = form_of(s);

	return settings_file_read(&form, path, err, errlen);
}

void fleet_settings_reference(struct buf *out)
{
	buf_puts(out, "# Settings of a fleet's instance\n\n"
		      "The settings of `sycamoreshore fleet`: an INI file of "
		      "at most 196 bytes a\nline, checked as a whole. This "
		      "page is printed by\n`sycamoreshore fleet "
		      "--reference`; docs/SETTINGS.md is that of `entry`.\n");
	settings_reference_sections(out, sections);
}

void fleet_settings_print_reference(void)
{
	auto_buf struct buf out = {0};

	fleet_settings_reference(&out);
	fputs(out.data, stdout);
}
