/* Reads the profile of a fleet's load. */
#include <stdio.h>
#include <string.h>

#include "cmd/options.h"
#include "fleet_load.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/field.h"

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

struct reading {
	struct profile *p;
	const struct field *fields; /* of the open section */
	void *base;
	uint64_t seen;
	char section[INI_TEXT_SECTION_MAX + 1];
};

static bool name_trouble(struct profile_trouble *t, const struct ini_pos *pos)
{
	static const char *const names[] = {"", "dark", "slow", "fail",
					    "burst"};
	size_t i;

	for (i = 1; i < sizeof(names) / sizeof(*names); i++)
		if (!strcmp(t->how, names[i]))
			t->kind = (enum trouble_kind)i;
	if (!t->kind)
		return ini_fail(pos, "unknown trouble %s", t->how);
	return true;
}

static bool close_section(struct reading *rd, const struct ini_pos *pos)
{
	if (!rd->fields)
		return true;
	if (!field_finish(rd->fields, rd->base, rd->seen, pos, rd->section))
		return false;
	return rd->fields != trouble_fields || name_trouble(rd->base, pos);
}

static bool open_named(struct reading *rd, const char *name,
		       const struct ini_pos *pos)
{
	struct profile *p = rd->p;
	char *copy = NULL;

	if (!strncmp(name, "kind ", 5) && p->n_kinds < PROFILE_KINDS_MAX) {
		rd->fields = kind_fields;
		rd->base = &p->kinds[p->n_kinds];
		copy = p->kinds[p->n_kinds++].name;
		name += 5;
	} else if (!strncmp(name, "worker ", 7) &&
		   p->n_breeds < PROFILE_BREEDS_MAX) {
		rd->fields = breed_fields;
		rd->base = &p->breeds[p->n_breeds];
		copy = p->breeds[p->n_breeds++].name;
		name += 7;
	} else if (!strncmp(name, "trouble ", 8) &&
		   p->n_troubles < PROFILE_TROUBLES_MAX) {
		rd->fields = trouble_fields;
		rd->base = &p->troubles[p->n_troubles];
		copy = p->troubles[p->n_troubles++].name;
		name += 8;
	}
	if (!copy || !field_name_valid(name))
		return ini_fail(pos, "unknown section, or too many of it");
	copy_name(copy, SYC_NAME_MAX, name);
	return true;
}

static bool on_section(void *ctx, const struct ini_pos *pos, const char *name)
{
	struct reading *rd = ctx;

	if (!close_section(rd, pos))
		return false;
	rd->seen = 0;
	copy_name(rd->section, sizeof(rd->section), name);
	if (strcmp(name, "load"))
		return open_named(rd, name, pos);
	rd->fields = load_fields;
	rd->base = rd->p;
	return true;
}

static bool on_key(void *ctx, const struct ini_pos *pos, const char *key,
		   const char *value)
{
	struct reading *rd = ctx;

	if (!rd->fields)
		return ini_fail(pos, "key %s stands in no section", key);
	return field_set(rd->fields, rd->base, &rd->seen, pos, key, value);
}

bool profile_read(struct profile *p, const char *path)
{
	struct buf auto_buf text = {0};
	struct reading rd = {.p = p};
	struct ini_events events = {&rd, on_section, on_key};
	char err[256] = "";
	struct ini_pos pos = {path, 0, err, sizeof(err)};
	bool ok;

	memset(p, 0, sizeof(*p));
	if (!file_read(path, &text))
		return false;
	ok = ini_text_read((struct syc_bytes){text.data, text.len}, &pos,
			   &events) &&
	     close_section(&rd, &pos);
	if (ok && (!p->seconds || !p->n_kinds || !p->n_breeds))
		ok = ini_fail(&pos, "[load], a [kind NAME] and a [worker "
				    "NAME] are needed");
	if (!ok)
		fprintf(stderr, "%s\n", err);
	return ok;
}
