/*
 * Chooses the workers of a job's waiting tasks. The fast and sound come
 * first, then the failure domain of the job's home, so that losing a domain
 * costs few jobs of others, then the tightest fit, which keeps room whole for
 * wide tasks. Answers loads where jobs of several tasks compete for room that
 * one task's ask nearly fills.
 */
#include <stdlib.h>
#include <string.h>

#include "drive/drive_state.h"
#include "util/alloc.h"
#include "util/cleanup.h"

static const double slow_from = 1.4; /* of the usual run time */

/* One worker while a job is being placed. */
struct seat {
	struct worker *w;
	uint32_t cpu, memory, accelerators; /* free */
	uint32_t placed;
	bool slow;
	bool near; /* in the failure domain of the job's home */
};

static bool has_label(const struct drive_worker *info, const char *label)
{
	size_t i;

	for (i = 0; i < info->n_labels; i++)
		if (!strcmp(info->labels[i], label))
			return true;
	return false;
}

static bool suits(const struct worker *w, const struct job *j)
{
	if (strcmp(w->info.service, j->service))
		return false;
	return !*j->label || has_label(&w->info, j->label);
}

static bool fits(const struct seat *s, const struct job *j)
{
	if (j->per_worker_max && s->placed >= j->per_worker_max)
		return false;
	if (s->w->probation && s->placed)
		return false;
	return s->cpu >= j->cpu_milli && s->memory >= j->memory_mb &&
	       s->accelerators >= j->accelerators;
}

static uint32_t left(uint32_t whole, uint32_t used)
{
	return whole > used ? whole - used : 0;
}

static uint32_t same_job_runs(const struct drive *d, const struct worker *w,
			      const struct job *j)
{
	struct list *pos, *after;
	uint32_t n = 0;

	if (!j->per_worker_max)
		return 0;
	LIST_EACH(pos, after, &w->runs)
	if (LIST_ITEM(pos, struct run, of_worker)->job == j->handle)
		n++;
	return n;
}

static size_t collect(const struct drive *d, const struct job *j,
		      struct seat *seats, int64_t now)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;
	size_t n = 0;

	while ((w = table_next(&d->workers, &pos, &handle))) {
		struct seat *s = &seats[n];

		if (!worker_usable(d, w, now) || !suits(w, j))
			continue;
		s->w = w;
		s->cpu = left(w->info.cpu_milli, w->used_cpu);
		s->memory = left(w->info.memory_mb, w->used_memory);
		s->accelerators = left(w->info.accelerators,
				       w->used_accelerators);
		s->placed = same_job_runs(d, w, j);
		s->slow = run_time_kind(&d->times, w->info.kind) > slow_from;
		s->near = !strcmp(w->info.domain, j->domain);
		if (fits(s, j))
			n++;
	}
	return n;
}

/* Whether `a` is the better seat for one more task. */
static bool better(const struct seat *a, const struct seat *b)
{
	if (a->slow != b->slow)
		return b->slow;
	if (a->near != b->near)
		return a->near;
	return a->cpu < b->cpu;
}

static struct seat *choose(struct drive *d, const struct job *j,
			   struct seat *seats, size_t n)
{
	struct seat *best = NULL;
	size_t i, at;

	for (i = 0; i < n; i++) {
		at = (i + d->next_pick) % n;
		if (fits(&seats[at], j) && (!best || better(&seats[at], best)))
			best = &seats[at];
	}
	return best;
}

static void sit(struct seat *s, const struct job *j)
{
	s->cpu -= j->cpu_milli;
	s->memory -= j->memory_mb;
	s->accelerators -= j->accelerators;
	s->placed++;
}

/* Fills `picks` with workers for as many waiting tasks as find room. */
static uint32_t pick(struct drive *d, const struct job *j,
		     struct worker **picks, int64_t now)
{
	auto_free struct seat *seats = NULL;
	uint32_t i, n_picks = 0;
	size_t n;

	seats = xcalloc(d->workers.used + 1, sizeof(*seats));
	n = collect(d, j, seats, now);
	if (!n)
		return 0;
	d->next_pick++;
	for (i = 0; i < j->n_tasks; i++) {
		struct seat *s;

		if (j->tasks[i].state != TASK_WAITING)
			continue;
		s = choose(d, j, seats, n);
		if (!s)
			break;
		sit(s, j);
		picks[n_picks++] = s->w;
	}
	return n_picks;
}

static uint32_t place(struct drive *d, struct job *j, uint32_t least,
		      int64_t now)
{
	auto_free struct worker **picks = NULL;
	uint32_t i, n, at = 0;

	picks = xcalloc(j->n_tasks, sizeof(struct worker *));
	n = pick(d, j, picks, now);
	if (n < least)
		return 0;
	for (i = 0; i < j->n_tasks && at < n; i++)
		if (j->tasks[i].state == TASK_WAITING)
			run_start(d, j, i, picks[at++], now);
	return n;
}

bool place_job(struct drive *d, struct job *j, int64_t now)
{
	uint32_t waiting = j->n_tasks - j->n_done - j->n_active;

	return place(d, j, waiting, now) == waiting;
}

bool place_part(struct drive *d, struct job *j, int64_t now)
{
	return place(d, j, 1, now) > 0;
}

bool place_possible(const struct drive *d, const struct job *j)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (w->listed && suits(w, j) &&
		    w->info.cpu_milli >= j->cpu_milli &&
		    w->info.memory_mb >= j->memory_mb &&
		    w->info.accelerators >= j->accelerators)
			return true;
	return false;
}
