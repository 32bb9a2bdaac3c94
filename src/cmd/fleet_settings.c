#include <stdio.h>

#include "cmd/fleet_settings.h"
#include "cmd/settings_file.h"
#include "cmd/settings_reference.h"

enum {
	LEASE_HOLDS_MIN = 2, /* least ratio of lease_ms to hold_wait_ms */
	EVACUATION_MS_MIN = 100,
	STOP_MS = 5500,
	/* A stop ends this part of the time before SIGKILL comes. */
	GRACE_MARGIN_DIVISOR = 12
};

#define OFFSET_OF(member) offsetof(struct fleet_settings, member)
#define SIZE_OF(member) sizeof(((struct fleet_settings *)NULL)->member)

static const struct field instance_fields[] = {
	{"name", FIELD_NAME, OFFSET_OF(name), 0, 0, NULL, NULL,
	 "Name of this instance; after a restart it replaces the earlier "
	 "instance of this name."},
	{"domain", FIELD_NAME, OFFSET_OF(domain), 0, 0, NULL, NULL,
	 "Failure domain of this instance."},
	{"rack", FIELD_NAME, OFFSET_OF(rack), 0, 0, NULL, "none",
	 "Rack of this instance."},
	{0},
};

static const struct field machine_fields[] = {
	{"cpu_share", FIELD_MILLI, OFFSET_OF(machine.cpu_share_milli), 0, 1000,
	 NULL, "0", "Cores that this instance may use; 0: unknown."},
	{"cpu_speed", FIELD_MILLI, OFFSET_OF(machine.cpu_speed_milli), 0, 1000,
	 NULL, "1", "Speed of a core, as a multiple of the usual one."},
	{"link_mbps", FIELD_MILLI, OFFSET_OF(machine.link_kbps), 0, 1000000,
	 "Mbit/s", "0", "Rate of the machine's link; 0: unknown."},
	{0},
};

static const struct field listen_fields[] = {
	{"callers", FIELD_ADDR, OFFSET_OF(callers), 0, 0, NULL, NULL,
	 "Address for callers."},
	{"peers", FIELD_ADDR, OFFSET_OF(peers), 0, 0, NULL, NULL,
	 "Address for other instances."},
	{"admin", FIELD_ADDR, OFFSET_OF(admin), 0, 0, NULL, NULL,
	 "Address for readiness, operators and metrics."},
	{0},
};

static const struct field cluster_fields[] = {
	{"name", FIELD_TEXT, OFFSET_OF(cluster), 1, SIZE_OF(cluster), NULL,
	 "fleet",
	 "Name of the cluster; instances of other clusters are refused."},
	{"key_file", FIELD_TEXT, OFFSET_OF(key_file), 0, SIZE_OF(key_file),
	 NULL, "",
	 "File with the cluster key, 64 hexadecimal digits; empty: the key is "
	 "derived from the name, which separates clusters but keeps no "
	 "attacker out."},
	{0},
};

static const struct field platform_fields[] = {
	{"store", FIELD_ADDR, OFFSET_OF(store), 0, 0, NULL, NULL,
	 "Address of the platform's store."},
	{"timeout_ms", FIELD_U32, OFFSET_OF(store_timeout_ms), 50, 60000, "ms",
	 "1000",
	 "Time limit of a call, at most half of config_apply_ms and of "
	 "evacuation_apply_ms; a watch adds its wait time."},
	{"config_apply_ms", FIELD_U32, OFFSET_OF(config_apply_ms), 100, 600000,
	 "ms", "2000",
	 "Time within which a change of the configuration is in force after "
	 "the store has confirmed it; an older confirmation is logged."},
	{"evacuation_apply_ms", FIELD_U32, OFFSET_OF(evacuation_apply_ms), 0,
	 600000, "ms", "0",
	 "Time after which no task is started on the workers of a failure "
	 "domain that the operator has evacuated, at least 100; 0: there are "
	 "no evacuations."},
	{0},
};

static const struct field workers_fields[] = {
	{"lease_ms", FIELD_U32, OFFSET_OF(lease_ms), 100, 60000, "ms", "1000",
	 "Time after its last renewal at which a worker's lease expires and "
	 "its runs end."},
	{"hold_wait_ms", FIELD_U32, OFFSET_OF(hold_wait_ms), 10, 30000, "ms",
	 "200",
	 "Longest time that one lease renewal waits for the end of a run."},
	{0},
};

static const struct field cells_fields[] = {
	{"fleet_workers_min", FIELD_U32, OFFSET_OF(divided_workers_min), 1,
	 1000000, "workers", "200",
	 "Workers of the whole fleet from which on it is divided; fewer if "
	 "the driver's machine cannot carry them."},
	{"workers_min", FIELD_U32, OFFSET_OF(cell_workers_min), 0, 1000000,
	 "workers", "48",
	 "Least workers of each failure domain in a divided fleet, at most 16 "
	 "if the driver's machine cannot carry half of the fleet; 0: the fleet "
	 "is never divided."},
	{0},
};

static const struct field limits_fields[] = {
	{"body_max", FIELD_U32, OFFSET_OF(body_max), 1024, 7340032, "bytes",
	 "262144", "Largest body of a submission."},
	{"connections_max", FIELD_U32, OFFSET_OF(connections_max), 1, 65536,
	 NULL, "2048", "Most open connections from callers."},
	{"idle_s", FIELD_U32, OFFSET_OF(idle_s), 1, 3600, "s", "30",
	 "Time after which an idle connection of a caller is closed."},
	{"drain_ms", FIELD_U32, OFFSET_OF(drain_ms), 0, 60000, "ms", "2500",
	 "Time for which a planned stop still accepts connections, until "
	 "the load balancer has noticed it."},
	{"grace_s", FIELD_MILLI, OFFSET_OF(grace_ms), 0, 3600, "s", "0",
	 "Time from SIGTERM to SIGKILL, which a planned stop does not "
	 "reach; 0: unknown."},
	{"stop_ms", FIELD_U32, OFFSET_OF(stop_ms), 0, 3600000, "ms", "0",
	 "Time limit of a planned stop; 0: eleven twelfths of grace_s, or "
	 "5500 if that is unknown."},
	{0},
};

static const struct field log_fields[] = {
	{"level", FIELD_LEVEL, OFFSET_OF(log_level), 0, 0, NULL, "info",
	 "Lowest level that is logged."},
	{"json", FIELD_BOOL, OFFSET_OF(log_json), 0, 0, NULL, "no",
	 "JSON lines instead of logfmt."},
	{"batch", FIELD_U32, OFFSET_OF(log_batch), 4096, 16777216, "bytes",
	 "262144",
	 "Log lines kept while standard output is blocked; further ones are "
	 "dropped."},
	{"lines_per_s", FIELD_U32, OFFSET_OF(log_lines_per_s), 0, 1000000,
	 "lines/s", "1000",
	 "Above this, lines about jobs are left out by the job's id, so that "
	 "some jobs are logged completely; 0: no limit."},
	{0},
};

static const struct settings_section sections[] = {
	{"instance", instance_fields, "Identity of this instance."},
	{"machine", machine_fields,
	 "What this instance may use of its machine. The instance that can "
	 "drive most is preferred as the driver."},
	{"listen", listen_fields,
	 "Addresses to listen on, by IP address; host names are not allowed."},
	{"cluster", cluster_fields, "Name and key of the cluster."},
	{"platform", platform_fields, "The platform's services."},
	{"workers", workers_fields, "Leases of the workers."},
	{"cells", cells_fields,
	 "Division into cells: each failure domain gets a driver of its own. "
	 "It stays until the maps in the store are removed."},
	{"limits", limits_fields,
	 "Limits on connections, and the times of a planned stop."},
	{"log", log_fields, "The log, on standard output."},
	{0},
};

static bool check_values(const void *base, const struct ini_pos *pos)
{
	const struct fleet_settings *s = base;

	if (s->lease_ms < LEASE_HOLDS_MIN * s->hold_wait_ms)
		return ini_fail(pos,
				"lease_ms = %u is less than %d times "
				"hold_wait_ms = %u",
				s->lease_ms, LEASE_HOLDS_MIN, s->hold_wait_ms);
	if (s->evacuation_apply_ms &&
	    s->evacuation_apply_ms < EVACUATION_MS_MIN)
		return ini_fail(pos,
				"evacuation_apply_ms = %u is neither 0 nor at "
				"least %d",
				s->evacuation_apply_ms, EVACUATION_MS_MIN);
	if (s->stop_ms && s->stop_ms <= s->drain_ms)
		return ini_fail(
			pos, "stop_ms = %u is not greater than drain_ms = %u",
			s->stop_ms, s->drain_ms);
	return true;
}

static struct settings_form form_of(struct fleet_settings *s)
{
	return (struct settings_form){
		.sections = sections,
		.base = s,
		.size = sizeof(*s),
		.check = check_values,
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

/* A stop that SIGKILL cuts short leaves callers without an answer. */
static void fit_stop_into_grace(struct fleet_settings *s)
{
	uint32_t max_ms = s->grace_ms - s->grace_ms / GRACE_MARGIN_DIVISOR;

	if (!s->stop_ms)
		s->stop_ms = s->grace_ms ? max_ms : STOP_MS;
	if (s->grace_ms && s->stop_ms > max_ms)
		s->stop_ms = max_ms;
	if (s->drain_ms >= s->stop_ms)
		s->drain_ms = s->stop_ms / 2;
}

bool fleet_settings_set_grace(struct fleet_settings *s, const char *text,
			      char *err, size_t errlen)
{
	struct ini_pos pos = {"command line", 0, err, errlen};
	uint64_t seen = 0;

	if (text && *text &&
	    !field_set(limits_fields, s, &seen, &pos, "grace_s", text))
		return false;
	fit_stop_into_grace(s);
	return true;
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
