/* Reads the profile file of a load for the driver of leased workers. */
#include <string.h>

#include "cmd/profile_file.h"
#include "fleet_load.h"

#define IN_PROFILE(member) offsetof(struct profile, member)
#define IN_KIND(member) offsetof(struct profile_kind, member)
#define IN_WORKER_TYPE(member) offsetof(struct profile_worker_type, member)
#define IN_TROUBLE(member) offsetof(struct profile_trouble, member)

enum { TIME_MAX_MS = 3600000, CPU_MAX = 1024000, PERCENT_MAX = 100000 };

static const struct field load_fields[] = {
	{"seconds", FIELD_U32, IN_PROFILE(seconds), 1, 3600, "s", "30",
	 "Time in which jobs arrive."},
	{"instances", FIELD_U32, IN_PROFILE(instances), 1, 1000, NULL, "8",
	 "Instances that accept jobs."},
	{"workers_each", FIELD_U32, IN_PROFILE(workers_each), 1, 100, NULL, "6",
	 "Workers per instance."},
	{"domains", FIELD_U32, IN_PROFILE(domains), 1, 64, NULL, "4",
	 "Failure domains."},
	{"window_ms", FIELD_U32, IN_PROFILE(window_ms), 100, TIME_MAX_MS, "ms",
	 "2000", "Length of the windows in the report."},
	{"deadline_ms", FIELD_U32, IN_PROFILE(deadline_ms), 1, TIME_MAX_MS,
	 "ms", "2500", "How long callers wait for an answer."},
	{"link_ms", FIELD_U32, IN_PROFILE(link_ms), 0, 1000, "ms", "1",
	 "Delay of a message, one way."},
	{0},
};

static const struct field kind_fields[] = {
	{"weight", FIELD_U32, IN_KIND(weight), 1, 1000000, NULL, "1",
	 "Share of the jobs."},
	{"worth", FIELD_U32, IN_KIND(worth), 1, 1000000, NULL, "1",
	 "Worth of a job with mean work."},
	{"priority", FIELD_U32, IN_KIND(priority), 0, 100, NULL, "0",
	 "Priority; 0 comes first."},
	{"width_mean", FIELD_U32, IN_KIND(width_mean), 1, FLEET_LOAD_TASKS_MAX,
	 NULL, "1", "Mean number of tasks per job."},
	{"width_spread_percent", FIELD_U32, IN_KIND(width_spread_percent), 0,
	 200, "%", "0",
	 "Standard deviation of the tasks per job, over the mean."},
	{"width_max", FIELD_U32, IN_KIND(width_max), 1, FLEET_LOAD_TASKS_MAX,
	 NULL, "64", "Largest number of tasks per job."},
	{"run_mean_ms", FIELD_U32, IN_KIND(run_mean_ms), 1, TIME_MAX_MS, "ms",
	 "100", "Mean run time of a task."},
	{"run_spread_percent", FIELD_U32, IN_KIND(run_spread_percent), 0, 200,
	 "%", "0",
	 "Standard deviation of run times between jobs, over the mean."},
	{"run_max_ms", FIELD_U32, IN_KIND(run_max_ms), 1, TIME_MAX_MS, "ms",
	 "60000", "Longest run time."},
	{"uneven_percent", FIELD_U32, IN_KIND(uneven_percent), 0, 200, "%", "0",
	 "Standard deviation of run times within a job, over the mean."},
	{"cpu_milli_mean", FIELD_U32, IN_KIND(cpu_milli_mean), 1, CPU_MAX,
	 "1/1000 core", "1000", "Mean processor need of a task."},
	{"cpu_milli_max", FIELD_U32, IN_KIND(cpu_milli_max), 1, CPU_MAX,
	 "1/1000 core", "1024000", "Largest processor need of a task."},
	{"estimate_off_percent", FIELD_U32, IN_KIND(estimate_off_percent), 0,
	 90, "%", "0", "Largest error of the declared run times."},
	{"objective_percent", FIELD_U32, IN_KIND(objective_percent), 1,
	 PERCENT_MAX, "%", "100",
	 "Latency objective relative to the longest run time of the job."},
	{"objective_add_ms", FIELD_U32, IN_KIND(objective_add_ms), 0,
	 TIME_MAX_MS, "ms", "0", "Time added to the latency objective."},
	{"attempts", FIELD_U32, IN_KIND(attempts), 1, 100, NULL, "2",
	 "Failures of one task after which its job fails."},
	{0},
};

static const struct field worker_type_fields[] = {
	{"weight", FIELD_U32, IN_WORKER_TYPE(weight), 1, 1000, NULL, "1",
	 "Share of the workers."},
	{"kind", FIELD_TEXT, IN_WORKER_TYPE(kind), 0, SYC_NAME_MAX, NULL, "",
	 "Kind that these workers state; empty: the section's name."},
	{"cpu_milli", FIELD_U32, IN_WORKER_TYPE(cpu_milli), 1, CPU_MAX,
	 "1/1000 core", "16000", "Processor capacity of a worker."},
	{"slow_percent", FIELD_U32, IN_WORKER_TYPE(slow_percent), 1,
	 PERCENT_MAX, "%", "100", "Run time relative to a usual worker."},
	{0},
};

static const struct field trouble_fields[] = {
	{"how", FIELD_NAME, IN_TROUBLE(how), 0, 0, NULL, NULL,
	 "dark, slow, fail or burst."},
	{"at_ms", FIELD_U32, IN_TROUBLE(at_ms), 0, TIME_MAX_MS, "ms", "0",
	 "Time at which the trouble begins."},
	{"for_ms", FIELD_U32, IN_TROUBLE(for_ms), 1, TIME_MAX_MS, "ms", "1000",
	 "Duration of the trouble."},
	{"share_percent", FIELD_U32, IN_TROUBLE(share_percent), 0, 100, "%",
	 "10", "Share of the workers that have the trouble."},
	{"factor_percent", FIELD_U32, IN_TROUBLE(factor_percent), 1,
	 PERCENT_MAX, "%", "100",
	 "Factor of the run times (slow) or of the jobs (burst)."},
	{0},
};

/* Sets the trouble's kind from the name in `how`. */
static bool set_trouble_kind(void *item, const struct ini_pos *pos)
{
	static const char *const names[] = {"", "dark", "slow", "fail",
					    "burst"};
	struct profile_trouble *t = item;
	size_t i;

	for (i = 1; i < sizeof(names) / sizeof(*names); i++)
		if (!strcmp(t->how, names[i]))
			t->kind = (enum trouble_kind)i;
	if (!t->kind)
		return ini_fail(pos,
				"unknown trouble '%s'; it must be "
				"dark, slow, fail or burst",
				t->how);
	return true;
}

static const struct profile_section sections[] = {
	{"load", load_fields, 0, 0, 0, 0, NULL},
	{"kind", kind_fields, sizeof(struct profile_kind), PROFILE_KINDS_MAX,
	 IN_PROFILE(kinds), IN_PROFILE(n_kinds), NULL},
	{"worker", worker_type_fields, sizeof(struct profile_worker_type),
	 PROFILE_WORKER_TYPES_MAX, IN_PROFILE(worker_types),
	 IN_PROFILE(n_worker_types), NULL},
	{"trouble", trouble_fields, sizeof(struct profile_trouble),
	 PROFILE_TROUBLES_MAX, IN_PROFILE(troubles), IN_PROFILE(n_troubles),
	 set_trouble_kind},
	{0},
};

static bool check_profile(const void *base, const struct ini_pos *pos)
{
	const struct profile *p = base;

	if (!p->seconds || !p->n_kinds || !p->n_worker_types)
		return ini_fail(pos, "the sections [load], [kind NAME] and "
				     "[worker NAME] are required");
	return true;
}

bool profile_read(struct profile *p, const char *path)
{
	struct profile_form form = {sections, p, sizeof(*p), check_profile};

	return profile_file_read(&form, path);
}
