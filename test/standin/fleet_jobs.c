/* Counts starts and ends by job, for tests that check what answers said. */
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

enum {
	TASKS_COUNTED = 64,
	CRASHES_COUNTED = 3 /* one more start is allowed after these */
};

/* A task is named JOB.OCCURRENCE.STEP.INDEX. */
static struct fleet_job *find_or_add(struct fleet_platform *p, const char *task)
{
	size_t n = strcspn(task, ".");
	struct index_key key = index_hash_bytes(task, n);
	uint64_t place;

	if (index_get(&p->job_ids, key, &place))
		return &p->jobs[place];
	if (p->n_jobs == FLEET_JOBS_MAX)
		return NULL;
	index_put(&p->job_ids, key, p->n_jobs);
	return &p->jobs[p->n_jobs++];
}

static size_t task_index(const char *task)
{
	const char *index = strrchr(task, '.');

	return index ? strtoul(index + 1, NULL, 10) % FLEET_TASKS_MAX : 0;
}

void fleet_count_start(struct fleet_platform *p, const char *task)
{
	struct fleet_job *j = find_or_add(p, task);
	size_t k;

	if (!j)
		return;
	j->starts++;
	k = task_index(task);
	if (j->crashes[k] >= CRASHES_COUNTED && ++j->late_starts[k] > 1)
		p->starts_over_budget++;
}

void fleet_count_crash(struct fleet_platform *p, const char *task)
{
	struct fleet_job *j = find_or_add(p, task);

	if (j)
		j->crashes[task_index(task)]++;
}

unsigned fleet_most_crashes(const struct fleet_job *j)
{
	unsigned most = 0;
	size_t k;

	for (k = 0; k < FLEET_TASKS_MAX; k++)
		if (j->crashes[k] > most)
			most = j->crashes[k];
	return most;
}

void fleet_count_done(struct fleet_platform *p, const char *task)
{
	struct fleet_job *j = find_or_add(p, task);
	const char *index = strrchr(task, '.');
	unsigned long k = index ? strtoul(index + 1, NULL, 10) : TASKS_COUNTED;

	if (j && k < TASKS_COUNTED)
		j->done |= 1ULL << k;
}
