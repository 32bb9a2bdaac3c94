/* Creates the driver, begins and ends its term, and runs its ticks. */
#include <stdlib.h>

#include "drive/drive_state.h"
#include "util/alloc.h"

enum {
	TICK_MS = 10, /* between two calls of drive_tick */
	QUEUE_CHECK_MS = 20 /* between two checks of an unchanged queue */
};

struct drive *drive_new(const struct drive_options *opt)
{
	struct drive *d = xcalloc(1, sizeof(*d));

	d->opt = *opt;
	d->losses = opt->losses ? opt->losses : losses_new();
	table_init(&d->workers, sizeof(struct worker));
	table_init(&d->runs, sizeof(struct run));
	table_init(&d->jobs, sizeof(struct job));
	table_init(&d->holds, sizeof(struct hold_call));
	list_init(&d->queue);
	list_init(&d->suspect_jobs);
	list_init(&d->all_jobs);
	cancelled_init(d);
	return d;
}

static void drop_jobs(struct drive *d)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &d->all_jobs)
	job_drop(d, LIST_ITEM(pos, struct job, all_link));
}

static void remove_runs(struct drive *d)
{
	struct run *r;
	uint64_t handle;
	uint32_t pos = 0;

	while ((r = table_next(&d->runs, &pos, &handle)))
		run_remove(d, r);
}

void drive_free(struct drive *d)
{
	if (!d)
		return;
	drop_jobs(d);
	remove_runs(d);
	run_times_free(&d->run_times);
	if (!d->opt.losses)
		losses_free(d->losses);
	cancelled_free(d);
	index_free(&d->worker_names);
	index_free(&d->run_tasks);
	index_free(&d->job_ids);
	table_free(&d->workers);
	table_free(&d->runs);
	table_free(&d->jobs);
	table_free(&d->holds);
	free(d);
}

/* Clears the outdated state from an earlier term as the driver. */
static void reset_worker(struct worker *w, int64_t now)
{
	w->fence_step = 0;
	w->confirmed_fence = 0;
	w->confirmed_at = 0;
	w->hold_in_flight = w->probe_in_flight = false;
	w->hold_overdue_at = 0;
	w->limit.misses = 0;
	w->lists_missed = 0;
	w->answered_at = 0;
	w->next_hold_at = now;
	w->unresponsive_since = 0;
	w->refuses_since = 0;
	w->is_reserved = false;
	w->exclusive_lost_at = 0;
	w->lease_held_until = 0;
	w->lease_expired_at = 0;
	w->cursor = w->acknowledged = 0;
}

void drive_begin(struct drive *d, int64_t now, uint64_t epoch)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	remove_runs(d);
	room_renew_plans(d);
	d->active = true;
	d->epoch = epoch;
	d->began_at = now;
	d->is_list_fresh = false;
	d->awaits_list = false;
	drive_end_others_use(d, now);
	while ((w = table_next(&d->workers, &pos, &handle))) {
		reset_worker(w, now);
		hold_tick(d, w, now);
	}
	log_info("drive_begun", LOG_U("epoch", epoch),
		 LOG_U("workers", d->workers.used),
		 LOG_U("jobs", d->jobs.used));
}

void drive_limit_to_domain(struct drive *d, const char *domain)
{
	copy_text(d->domain_limit, sizeof(d->domain_limit), domain);
}

void drive_end(struct drive *d, int64_t now)
{
	if (!d->active)
		return;
	log_info("drive_ended", LOG_U("epoch", d->epoch),
		 LOG_U("jobs", d->jobs.used), LOG_U("runs", d->runs.used));
	d->active = false;
	drop_jobs(d);
	remove_runs(d);
}

bool drive_is_active(const struct drive *d)
{
	return d->active;
}

static void tick_workers(struct drive *d, int64_t now)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle))) {
		speeds_refresh(d, w, now);
		hold_tick(d, w, now);
		worker_remove_unlisted(d, w, now);
	}
}

static void tick_runs(struct drive *d, int64_t now)
{
	struct run *r;
	uint64_t handle;
	uint32_t pos = 0;

	while ((r = table_next(&d->runs, &pos, &handle)))
		run_tick(d, r, now);
}

static void tick_jobs(struct drive *d, int64_t now)
{
	struct list *pos, *after;

	LIST_EACH(pos, after, &d->all_jobs)
	job_tick(d, LIST_ITEM(pos, struct job, all_link), now);
}

void drive_tick(struct drive *d, int64_t now)
{
	bool is_check_due;

	if (!d->active)
		return;
	d->n_ticks++;
	room_renew_plans(d);
	tick_workers(d, now);
	tick_runs(d, now);
	progress_review(d, now);
	tick_jobs(d, now);
	losses_tick(d->losses, now);
	suspects_review(d, now);
	is_check_due = now / QUEUE_CHECK_MS != (now - TICK_MS) / QUEUE_CHECK_MS;
	if (is_check_due)
		d->capacity_changed = true;
	queue_run(d, now);
	if (is_check_due)
		room_review(d, now);
}

void drive_await_list(struct drive *d, int64_t now, bool awaits)
{
	d->awaits_list = awaits;
	d->capacity_changed = true;
	queue_run(d, now);
}

void drive_set_evacuated(struct drive *d, int64_t now,
			 const struct drive_domains *domains)
{
	d->awaits_evacuated = !domains;
	if (domains)
		d->evacuated = *domains;
	d->capacity_changed = true;
	queue_run(d, now);
}

size_t drive_open_jobs(const struct drive *d)
{
	return d->jobs.used;
}

static bool has_waiting_task(const struct job *j)
{
	return j->queue_link.next || j->n_suspects;
}

void drive_get_counts(const struct drive *d, struct drive_counts *counts)
{
	const struct worker *w;
	const struct job *j;
	uint64_t handle;
	uint32_t pos = 0;

	*counts = d->counts;
	counts->running = d->runs.used;
	while ((j = table_next(&d->jobs, &pos, &handle)))
		counts->queued += has_waiting_task(j);
	for (pos = 0; (w = table_next(&d->workers, &pos, &handle));) {
		counts->workers++;
		if (!w->listed || w->unresponsive_since || w->is_replaced ||
		    w->info.leaving)
			continue;
		counts->workers_usable++;
		speeds_count(d, w, counts);
	}
}

void drive_get_room(const struct drive *d, int64_t now, struct drive_room *room)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	*room = (struct drive_room){0};
	while ((w = table_next(&d->workers, &pos, &handle))) {
		if (!worker_is_usable(d, w, now))
			continue;
		room->cpu_milli += w->info.cpu_milli;
		if (w->info.cpu_milli > w->used_cpu_milli)
			room->free_cpu_milli += w->info.cpu_milli -
						w->used_cpu_milli;
	}
}
