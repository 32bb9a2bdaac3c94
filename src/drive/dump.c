/* The driver's state as JSON. */
#include <jansson.h>

#include "drive/drive_state.h"

static json_t *dump_worker(const struct drive *d, const struct worker *w,
			   int64_t now)
{
	return json_pack(
		"{s:s, s:s, s:b, s:b, s:i, s:i, s:I, s:I, s:I, s:f, s:f, s:b}",
		"name", w->info.name, "domain", w->info.domain, "listed",
		w->listed, "leaving", w->info.leaving, "runs", (int)w->n_runs,
		"used_cpu", (int)w->used_cpu_milli, "silent_ms",
		(json_int_t)(w->unresponsive_since ? now - w->unresponsive_since
						   : 0),
		"lease_ms", (json_int_t)(w->lease_held_until - now),
		"ejected_ms",
		(json_int_t)(w->ejected_until > now ? w->ejected_until - now
						    : 0),
		"factor", w->factor, "usual_factor",
		worker_speed_usual_factor(&d->speeds, &w->speed), "cold",
		now < w->cold_until);
}

static json_t *dump_job(const struct job *j, int64_t now)
{
	return json_pack("{s:s, s:i, s:i, s:i, s:i, s:I, s:I}", "id", j->id,
			 "priority", (int)j->priority, "tasks", (int)j->n_tasks,
			 "done", (int)j->n_done, "active", (int)j->n_active,
			 "age_ms", (json_int_t)(now - j->arrived_at),
			 "to_objective_ms",
			 (json_int_t)(j->objective_at - now));
}

char *drive_dump(const struct drive *d, int64_t now)
{
	json_t *root, *workers = json_array(), *jobs = json_array();
	const struct worker *w;
	const struct job *j;
	uint64_t handle;
	uint32_t pos = 0;
	char *text;

	while ((w = table_next(&d->workers, &pos, &handle)))
		json_array_append_new(workers, dump_worker(d, w, now));
	for (pos = 0; (j = table_next(&d->jobs, &pos, &handle));)
		json_array_append_new(jobs, dump_job(j, now));
	root = json_pack("{s:b, s:I, s:o, s:o}", "driving", d->active, "epoch",
			 (json_int_t)d->epoch, "workers", workers, "jobs",
			 jobs);
	text = json_dumps(root, JSON_INDENT(1));
	json_decref(root);
	return text;
}
