/* Reads the profile of a fleet's load. */
#include <string.h>

#include "cmd/profile_file.h"
#include "fleet_load.h"

#define IN_PROFILE(member) offsetof(struct profile, member)
#define IN_KIND(member) offsetof(struct profile_kind, member)
#define IN_BREED(member) offsetof(struct profile_breed, member)
#define IN_TROUBLE(member) offsetof(struct profile_trouble, member)

enum { TIME_MAX_MS = 3600000, CPU_MAX = 1024000, PERCENT_MAX = 100000 };

static const struct field load_fields[] = {
	{"seconds", FIELD_U32, IN_PROFILE(seconds), 1, 3600, "s", "30",
	 "Time in which jobs come."},
	{"instances", FIELD_U32, IN_PROFILE(instances), 1, 1000, NULL, "8",
	 "Instances that take jobs."},
	{"workers_each", FIELD_U32, IN_PROFILE(workers_each), 1, 100, NULL, "6",
	 "Workers per instance."},
	{"domains", FIELD_U32, IN_PROFILE(domains), 1, 64, NULL, "4",
	 "Failure domains."},
	{"window_ms", FIELD_U32, IN_PROFILE(window_ms), 100, TIME_MAX_MS, "ms",
	 "2000", "Length of the windows of the report."},
	{"deadline_ms", FIELD_U32, IN_PROFILE(deadline_ms), 1, TIME_MAX_MS,
	 "ms", "2500", "How long callers wait."},
	{"link_ms", FIELD_U32, IN_PROFILE(link_ms), 0, 1000, "ms", "1",
	 "One way of a message."},
	{0},
};

static const struct field kind_fields[] = {
	{"weight", FIELD_U32, IN_KIND(weight), 1, 1000000, NULL, "1",
	 "Share of the jobs."},
	{"worth", FIELD_U32, IN_KIND(worth), 1, 1000000, NULL, "1",
	 "Worth of a job of mean work."},
	{"priority", FIELD_U32, IN_KIND(priority), 0, 100, NULL, "0",
	 "0 comes first."},
	{"width_mean", FIELD_U32, IN_KIND(width_mean), 1, LOAD_WIDTH_MAX, NULL,
	 "1", "Tasks of a job."},
	{"width_spread_percent", FIELD_U32, IN_KIND(width_spread_percent), 0,
	 200, "%", "0", "Standard deviation over the mean."},
	{"width_max", FIELD_U32, IN_KIND(width_max), 1, LOAD_WIDTH_MAX, NULL,
	 "64", "Most tasks of a job."},
	{"run_mean_ms", FIELD_U32, IN_KIND(run_mean_ms), 1, TIME_MAX_MS, "ms",
	 "100", "Run time of a task."},
	{"run_spread_percent", FIELD_U32, IN_KIND(run_spread_percent), 0, 200,
	 "%", "0", "Standard deviation over the mean, between jobs."},
	{"run_max_ms", FIELD_U32, IN_KIND(run_max_ms), 1, TIME_MAX_MS, "ms",
	 "60000", "Longest run time."},
	{"uneven_percent", FIELD_U32, IN_KIND(uneven_percent), 0, 200, "%", "0",
	 "The same between tasks of one job."},
	{"cpu_milli_mean", FIELD_U32, IN_KIND(cpu_milli_mean), 1, CPU_MAX,
	 "1/1000 core", "1000", "Room of a task."},
	{"cpu_milli_max", FIELD_U32, IN_KIND(cpu_milli_max), 1, CPU_MAX,
	 "1/1000 core", "1024000", "Most room of a task."},
	{"estimate_off_percent", FIELD_U32, IN_KIND(estimate_off_percent), 0,
	 90, "%", "0", "How far declared run times are off at most."},
	{"objective_percent", FIELD_U32, IN_KIND(objective_percent), 1,
	 PERCENT_MAX, "%", "100", "Of the longest task, and"},
	{"objective_add_ms", FIELD_U32, IN_KIND(objective_add_ms), 0,
	 TIME_MAX_MS, "ms", "0", "this: the latency objective."},
	{"attempts", FIELD_U32, IN_KIND(attempts), 1, 100, NULL, "2",
	 "How often a task may fail before its job does."},
	{0},
};

static const struct field breed_fields[] = {
	{"weight", FIELD_U32, IN_BREED(weight), 1, 1000, NULL, "1",
	 "Share of the workers."},
	{"cpu_milli", FIELD_U32, IN_BREED(cpu_milli), 1, CPU_MAX, "1/1000 core",
	 "16000", "Room of a worker."},
	{"slow_percent", FIELD_U32, IN_BREED(slow_percent), 1, PERCENT_MAX, "%",
	 "100", "Run time over the usual one."},
	{0},
};

static const struct field trouble_fields[] = {
	{"how", FIELD_NAME, IN_TROUBLE(how), 0, 0, NULL, NULL,
	 "dark, slow, fail or burst."},
	{"at_ms", FIELD_U32, IN_TROUBLE(at_ms), 0, TIME_MAX_MS, "ms", "0",
	 "When it begins."},
	{"for_ms", FIELD_U32, IN_TROUBLE(for_ms), 1, TIME_MAX_MS, "ms", "1000",
	 "How long it lasts."},
	{"share_percent", FIELD_U32, IN_TROUBLE(share_percent), 0, 100, "%",
	 "10", "Of the workers."},
	{"factor_percent", FIELD_U32, IN_TROUBLE(factor_percent), 1,
	 PERCENT_MAX, "%", "100", "Of the run time, or of the jobs."},
	{0},
};

static bool name_trouble(void *item, const struct ini_pos *pos)
{
	static const char *const names[] = {"", "dark", "slow", "fail",
					    "burst"};
	struct profile_trouble *t = item;
	size_t i;

	for (i = 1; i < sizeof(names) / sizeof(*names); i++)
		if (!strcmp(t->how, names[i]))
			t->kind = (enum trouble_kind)i;
	if (!t->kind)
		return ini_fail(pos, "unknown trouble %s", t->how);
	return true;
}

static const struct profile_section sections[] = {
	{"load", load_fields, 0, 0, 0, 0, NULL},
	{"kind", kind_fields, sizeof(struct profile_kind), PROFILE_KINDS_MAX,
	 IN_PROFILE(kinds), IN_PROFILE(n_kinds), NULL},
	{"worker", breed_fields, sizeof(struct profile_breed),
	 PROFILE_BREEDS_MAX, IN_PROFILE(breeds), IN_PROFILE(n_breeds), NULL},
	{"trouble", trouble_fields, sizeof(struct profile_trouble),
	 PROFILE_TROUBLES_MAX, IN_PROFILE(troubles), IN_PROFILE(n_troubles),
	 name_trouble},
	{0},
};

static bool check(const void *base, const struct ini_pos *pos)
{
	const struct profile *p = base;

	if (!p->seconds || !p->n_kinds || !p->n_breeds)
		return ini_fail(pos, "[load], a [kind NAME] and a [worker "
				     "NAME] are needed");
	return true;
}

bool profile_read(struct profile *p, const char *path)
{
	struct profile_form form = {sections, p, sizeof(*p), check};

	return profile_file_read(&form, path);
}
