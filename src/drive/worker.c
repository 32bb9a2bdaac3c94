/* Keeps the list of workers and decides which of them may get tasks. */
#include <string.h>

#include "drive/drive_state.h"
#include "util/alloc.h"

enum {
	FAILURES_TO_EJECT = 2, /* in a row */
	/* The same for a lost start while calls to all workers are lost. */
	LOST_TO_EJECT = 4,
	EJECT_MS = 1000, /* doubled with each ejection in a row */
	EJECT_MAX_MS = 8000,
	FULL_MS = 20, /* after a start refused for want of capacity; doubled */
	FULL_MAX_MS = 500, /* the list of workers is read as often */
	/*
	 * A worker that left the list may be listed again. It still obeys only
	 * the highest fence of its calls, so that fence is kept for this time.
	 */
	UNLISTED_KEPT_MS = 120000
};

struct worker *worker_get(const struct drive *d, uint64_t handle)
{
	return table_get(&d->workers, handle);
}

static uint64_t worker_epoch(const struct drive *d, const struct worker *w)
{
	return w->epoch > d->epoch ? w->epoch : d->epoch;
}

uint64_t worker_fence(const struct drive *d, const struct worker *w)
{
	return worker_epoch(d, w) * DRIVE_FENCES_PER_EPOCH + w->fence_step;
}

void worker_raise_fence(const struct drive *d, struct worker *w)
{
	if (++w->fence_step < DRIVE_FENCES_PER_EPOCH)
		return;
	w->epoch = worker_epoch(d, w) + 1;
	w->fence_step = 0;
}

bool worker_is_in_doubt(const struct worker *w)
{
	return w->lists_missed && !w->unresponsive_since;
}

uint32_t worker_limit_ms(const struct drive *d, const struct worker *w)
{
	return call_limit_ms(&d->call_limits, &w->limit,
			     d->opt.get_late_ms(d->opt.ctx));
}

void worker_record_answer(struct drive *d, struct worker *w, int64_t sent_at,
			  int64_t at_once_ms)
{
	if (sent_at > w->answered_at)
		w->answered_at = sent_at;
	w->lists_missed = 0;
	call_limit_answered(&d->call_limits, &w->limit);
	if (at_once_ms >= 0)
		call_limit_sample(&d->call_limits, &w->limit, at_once_ms);
}

void worker_record_miss(struct drive *d, struct worker *w, int64_t sent_at)
{
	if (w->answered_at <= sent_at)
		call_limit_missed(&w->limit);
	/* That a worker does not answer says nothing about the others. */
	if (!w->unresponsive_since)
		call_limits_missed(&d->call_limits);
}

bool worker_is_confirmed(const struct drive *d, const struct worker *w)
{
	return w->confirmed_fence >=
	       worker_epoch(d, w) * DRIVE_FENCES_PER_EPOCH;
}

bool worker_is_driven(const struct drive *d, const struct worker *w)
{
	return !w->is_replaced &&
	       (!*d->domain_limit || !strcmp(d->domain_limit, w->info.domain));
}

bool worker_may_hide_runs(const struct drive *d, const struct worker *w,
			  int64_t since, int64_t now)
{
	if (w->is_replaced ||
	    (worker_is_confirmed(d, w) && w->confirmed_at >= since))
		return false;
	return w->listed || now - w->unlisted_at < UNLISTED_MAY_RUN_MS;
}

bool worker_is_evacuated(const struct drive *d, const struct worker *w)
{
	size_t i;

	if (d->awaits_evacuated)
		return true;
	for (i = 0; i < d->evacuated.n; i++)
		if (!strcmp(d->evacuated.names[i], w->info.domain))
			return true;
	return false;
}

uint32_t worker_free_slots(const struct worker *w)
{
	if (!w->info.slots)
		return UINT32_MAX;
	return w->info.slots > w->n_runs ? w->info.slots - w->n_runs : 0;
}

double worker_expected_ms(const struct drive *d, const struct worker *w,
			  const struct job *j)
{
	(void)d;
	return run_time_expected_ms(j->run_time, j->estimate_ms) * w->factor;
}

bool worker_is_available(const struct drive *d, const struct worker *w,
			 int64_t now)
{
	if (d->awaits_list || worker_is_evacuated(d, w))
		return false;
	if (!w->listed || w->info.leaving || !worker_is_driven(d, w) ||
	    !worker_is_confirmed(d, w))
		return false;
	/* The worker needs no lease beforehand: a start carries one. */
	if (w->unresponsive_since || worker_is_in_doubt(w))
		return false;
	if (now < w->ejected_until || now < w->full_until)
		return false;
	if (w->n_orphans)
		return false;
	return !w->on_probation || !w->n_runs;
}

bool worker_is_usable(const struct drive *d, const struct worker *w,
		      int64_t now)
{
	return !w->n_exclusive && !w->is_reserved &&
	       worker_is_available(d, w, now);
}

void worker_record_success(struct drive *d, struct worker *w)
{
	w->failures_in_row = 0;
	w->ejections_in_row = 0;
	w->full_in_row = 0;
	w->full_until = 0;
	w->on_probation = false;
}

void worker_record_full(struct worker *w, int64_t now)
{
	int64_t full_ms = FULL_MS;
	uint32_t i;

	for (i = 0; i < w->full_in_row && full_ms < FULL_MAX_MS; i++)
		full_ms *= 2;
	w->full_in_row++;
	w->full_until = now + (full_ms < FULL_MAX_MS ? full_ms : FULL_MAX_MS);
}

void worker_eject(struct drive *d, struct worker *w, int64_t now,
		  const char *why)
{
	int64_t eject_ms = EJECT_MS;
	uint32_t i;

	for (i = 0; i < w->ejections_in_row && eject_ms < EJECT_MAX_MS; i++)
		eject_ms *= 2;
	if (now < w->ejected_until)
		return;
	w->ejections_in_row++;
	w->ejected_until = now + eject_ms;
	w->on_probation = true;
	w->failures_in_row = 0;
	d->counts.ejections++;
	log_info("worker_ejected", LOG_S("worker", w->info.name),
		 LOG_S("why", why), LOG_I("for_ms", eject_ms),
		 LOG_U("runs", w->n_runs));
}

static void record_failure(struct drive *d, struct worker *w, int64_t now,
			   const char *why, uint32_t to_eject)
{
	w->failures_in_row++;
	if (w->on_probation || w->failures_in_row >= to_eject)
		worker_eject(d, w, now, why);
}

void worker_record_failure(struct drive *d, struct worker *w, int64_t now,
			   const char *why)
{
	record_failure(d, w, now, why, FAILURES_TO_EJECT);
}

void worker_record_lost_start(struct drive *d, struct worker *w, int64_t now)
{
	bool lossy = call_limits_lossy(&d->call_limits);

	record_failure(d, w, now, "start_lost",
		       lossy ? LOST_TO_EJECT : FAILURES_TO_EJECT);
}

/*
 * The clock in an answer was read no later than now, so it gives a lower
 * bound of the offset, and a lease computed from it never ends too late.
 */
void worker_record_clock(struct worker *w, int64_t now,
			 const struct drive_call_answer *a)
{
	int64_t offset = a->clock_ms - now;
	int64_t known_offset = w->clock_offset_ms -
			       (now - w->clock_offset_at) /
				       CLOCK_DRIFT_DIVISOR -
			       1;

	if (!a->has_clock || (w->has_clock && offset < known_offset))
		return;
	w->clock_offset_ms = offset;
	w->clock_offset_at = now;
	w->has_clock = true;
}

int64_t worker_lease_max_ms(const struct drive *d)
{
	int64_t lease_ms = d->opt.lease_ms;

	return lease_ms + lease_ms / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MS;
}

void worker_assume_renewed(const struct drive *d, struct worker *w, int64_t now)
{
	w->lease_expired_at = now + worker_lease_max_ms(d);
}

int64_t worker_grant_lease(const struct drive *d, struct worker *w, int64_t now)
{
	int64_t lease_ms = d->opt.lease_ms;

	worker_assume_renewed(d, w, now);
	return now + w->clock_offset_ms + lease_ms -
	       (now - w->clock_offset_at) / CLOCK_DRIFT_DIVISOR;
}

static struct index_key name_key(const char *name)
{
	return index_hash_bytes(name, strlen(name));
}

static struct worker *find_worker(const struct drive *d, const char *name)
{
	uint64_t handle;

	if (!index_get(&d->worker_names, name_key(name), &handle))
		return NULL;
	return worker_get(d, handle);
}

/* The list repeats what a worker said once, so only a change counts. */
static void note_cold(struct worker *w, uint32_t old_cold_ms, int64_t now)
{
	if (w->info.cold_ms != old_cold_ms)
		w->cold_until = now + w->info.cold_ms;
}

static struct worker *add_worker(struct drive *d, int64_t now,
				 const struct drive_worker *info)
{
	struct worker *w;
	void *item;
	uint64_t handle = table_add(&d->workers, &item);

	w = item;
	w->handle = handle;
	w->info = *info;
	w->listed = true;
	w->next_hold_at = now;
	list_init(&w->runs);
	note_cold(w, 0, now);
	speeds_begin_life(d, w, now);
	index_put(&d->worker_names, name_key(info->name), handle);
	if (d->active)
		log_info("worker_listed", LOG_S("worker", info->name),
			 LOG_S("domain", info->domain),
			 LOG_U("cpu", info->cpu_milli),
			 LOG_I("born_ms", info->born_ms));
	return w;
}

static void update_worker(struct drive *d, struct worker *w,
			  const struct drive_worker *info, int64_t now)
{
	int64_t old_born_ms = w->info.born_ms;
	uint32_t old_cold_ms = w->info.cold_ms;
	char old_kind[SYC_NAME_MAX];
	bool is_new_life;

	copy_text(old_kind, sizeof(old_kind), w->info.kind);
	if (info->leaving && !w->info.leaving)
		log_info("worker_leaving", LOG_S("worker", info->name),
			 LOG_U("runs", w->n_runs));
	w->listed = true;
	w->others_use = false;
	incarnation_note_listed(d, w, info, now);
	is_new_life = w->info.born_ms != old_born_ms ||
		      strcmp(w->info.kind, old_kind) != 0;
	note_cold(w, is_new_life ? 0 : old_cold_ms, now);
	if (is_new_life)
		speeds_begin_life(d, w, now);
}

void drive_set_workers(struct drive *d, int64_t now,
		       const struct drive_worker *list, size_t n)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;
	size_t i;

	while ((w = table_next(&d->workers, &pos, &handle))) {
		if (w->listed)
			w->unlisted_at = now;
		w->listed = false;
	}
	for (i = 0; i < n; i++) {
		w = find_worker(d, list[i].name);
		if (w)
			update_worker(d, w, &list[i], now);
		else
			add_worker(d, now, &list[i]);
	}
	losses_check_list(d->losses, list, n);
	for (pos = 0; (w = table_next(&d->workers, &pos, &handle));)
		worker_remove_unlisted(d, w, now);
	if (!d->workers_known_since)
		d->workers_known_since = now;
	d->is_list_fresh = true;
	d->capacity_changed = true;
}

void drive_note_others_use(struct drive *d, int64_t now,
			   const struct drive_worker *list, size_t n)
{
	struct worker *w;
	size_t i;

	for (i = 0; i < n; i++) {
		w = find_worker(d, list[i].name);
		if (!w) {
			w = add_worker(d, now, &list[i]);
			w->listed = false;
		}
		if (w->listed)
			continue;
		w->unlisted_at = now;
		w->others_use = true;
	}
}

void drive_end_others_use(struct drive *d, int64_t now)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle))) {
		if (w->others_use)
			w->unlisted_at = now;
		w->others_use = false;
	}
}

void worker_remove_unlisted(struct drive *d, struct worker *w, int64_t now)
{
	if (w->listed || w->n_runs || now - w->unlisted_at < UNLISTED_KEPT_MS)
		return;
	d->forgot_worker = true;
	worker_speed_end(&d->speeds, &w->speed);
	index_del(&d->worker_names, name_key(w->info.name));
	table_del(&d->workers, w->handle);
}

void drive_domain_reachable(struct drive *d, int64_t now, const char *domain)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (!w->listed && !w->is_replaced &&
		    !strcmp(w->info.domain, domain))
			w->unlisted_at = now;
	if (d->forgot_worker)
		d->workers_known_since = now;
	d->forgot_worker = false;
}

int64_t drive_get_last_start(const struct drive *d, const char *domain)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;
	int64_t last = -1;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (!strcmp(w->info.domain, domain) && w->last_start_at > last)
			last = w->last_start_at;
	return last;
}

size_t drive_count_workers(const struct drive *d)
{
	return d->workers.used;
}

size_t drive_get_unlisted_workers(const struct drive *d, int64_t now,
				  struct drive_worker *list, size_t max)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;
	size_t n = 0;

	while ((w = table_next(&d->workers, &pos, &handle)) && n < max)
		if (!w->listed && !w->is_replaced &&
		    (w->n_runs || now - w->unlisted_at < UNLISTED_MAY_RUN_MS))
			list[n++] = w->info;
	return n;
}

void drive_add_unlisted_workers(struct drive *d, int64_t now,
				const struct drive_worker *list, size_t n)
{
	struct worker *w;
	size_t i;

	for (i = 0; i < n; i++) {
		if (find_worker(d, list[i].name))
			continue;
		w = add_worker(d, now, &list[i]);
		w->listed = false;
		w->unlisted_at = now;
	}
	d->workers_known_since = now - UNLISTED_MAY_RUN_MS;
}
