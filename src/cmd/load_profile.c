#include "cmd/load_profile.h"
#include "cmd/profile_file.h"

#define IN_PROFILE(member) offsetof(struct load_profile, member)
#define IN_KIND(member) offsetof(struct load_kind, member)

enum { RUN_MS_MAX = 3600000, PAD_MAX = 1048576, MEMORY_MB_MAX = 1048576 };

static const struct field load_fields[] = {
	{"rate", FIELD_U32, IN_PROFILE(rate), 1, 1000000, "submissions/s", "10",
	 "Mean rate of submissions outside of bursts."},
	{"burst_every_ms", FIELD_U32, IN_PROFILE(burst_every_ms), 0, RUN_MS_MAX,
	 "ms", "0", "Time between bursts; 0: none."},
	{"burst_ms", FIELD_U32, IN_PROFILE(burst_ms), 0, RUN_MS_MAX, "ms", "0",
	 "Length of a burst."},
	{"burst_factor", FIELD_U32, IN_PROFILE(burst_factor), 1, 1000, NULL,
	 "1", "Factor of the rate within a burst."},
	{0},
};

static const struct field kind_fields[] = {
	{"weight", FIELD_U32, IN_KIND(weight), 1, 1000000, NULL, "1",
	 "Share of the submissions."},
	{"single", FIELD_BOOL, IN_KIND(single), 0, 0, NULL, "no",
	 "Whether it is a request with one task instead of a job."},
	{"keyed", FIELD_BOOL, IN_KIND(keyed), 0, 0, NULL, "no",
	 "Whether it has an idempotency key."},
	{"resubmit_percent", FIELD_U32, IN_KIND(resubmit_percent), 0, 100, NULL,
	 "0", "Share of keyed submissions that are sent twice."},
	{"tasks_min", FIELD_U32, IN_KIND(tasks_min), 1, SYC_TASKS_MAX, NULL,
	 "1", "Fewest tasks of a submission."},
	{"tasks_max", FIELD_U32, IN_KIND(tasks_max), 1, SYC_TASKS_MAX, NULL,
	 "1", "Most tasks of a submission."},
	{"run_ms_min", FIELD_U32, IN_KIND(run_ms_min), 0, RUN_MS_MAX, "ms",
	 "50", "Shortest run time."},
	{"run_ms_max", FIELD_U32, IN_KIND(run_ms_max), 0, RUN_MS_MAX, "ms",
	 "1000", "Longest usual run time."},
	{"long_permille", FIELD_U32, IN_KIND(long_permille), 0, 1000, NULL, "0",
	 "Tasks in a thousand with a long run time."},
	{"long_ms_min", FIELD_U32, IN_KIND(long_ms_min), 0, RUN_MS_MAX, "ms",
	 "2000", "Shortest long run time."},
	{"long_ms_max", FIELD_U32, IN_KIND(long_ms_max), 0, RUN_MS_MAX, "ms",
	 "5000", "Longest run time."},
	{"declared_off_percent", FIELD_U32, IN_KIND(declared_off_percent), 0,
	 100, NULL, "0", "Largest error of the declared run times."},
	{"pad_bytes", FIELD_U32, IN_KIND(pad_bytes), 0, PAD_MAX, "bytes", "0",
	 "Padding of each body."},
	{"cpus", FIELD_U32, IN_KIND(cpus), 0, 1024, NULL, "0",
	 "Declared processors."},
	{"memory_mb", FIELD_U32, IN_KIND(memory_mb), 0, MEMORY_MB_MAX, "MB",
	 "0", "Declared memory."},
	{"accelerators", FIELD_U32, IN_KIND(accelerators), 0, 1024, NULL, "0",
	 "Declared accelerators."},
	{0},
};

static bool check_kind(void *item, const struct ini_pos *pos)
{
	const struct load_kind *k = item;

	if (k->tasks_min > k->tasks_max || k->run_ms_min > k->run_ms_max ||
	    k->long_ms_min > k->long_ms_max)
		return ini_fail(pos,
				"kind %s: tasks_min, run_ms_min or long_ms_min "
				"is greater than its maximum",
				k->name);
	if (k->single && k->tasks_max > 1)
		return ini_fail(
			pos, "kind %s: single = yes allows only tasks_max = 1",
			k->name);
	return true;
}

static const struct profile_section sections[] = {
	{"load", load_fields, 0, 0, 0, 0, NULL},
	{"kind", kind_fields, sizeof(struct load_kind), LOAD_KINDS_MAX,
	 IN_PROFILE(kinds), IN_PROFILE(n_kinds), check_kind},
	{0},
};

static bool check_profile(const void *base, const struct ini_pos *pos)
{
	const struct load_profile *p = base;

	if (!p->rate || !p->n_kinds)
		return ini_fail(pos, "the profile needs [load] and at least "
				     "one [kind NAME]");
	return true;
}

bool load_profile_read(struct load_profile *p, const char *path)
{
	struct profile_form form = {sections, p, sizeof(*p), check_profile};

	return profile_file_read(&form, path);
}

static double kind_mean_ms(const struct load_kind *k)
{
	double usual = (k->run_ms_min + k->run_ms_max) / 2.0;
	double longer = (k->long_ms_min + k->long_ms_max) / 2.0;
	double share = k->long_permille / 1000.0;

	return (k->tasks_min + k->tasks_max) / 2.0 *
	       (usual * (1 - share) + longer * share);
}

double load_profile_mean_ms(const struct load_profile *p)
{
	double sum = 0, weight = 0;
	size_t i;

	for (i = 0; i < p->n_kinds; i++) {
		sum += p->kinds[i].weight * kind_mean_ms(&p->kinds[i]);
		weight += p->kinds[i].weight;
	}
	return weight > 0 ? sum / weight : 0;
}
