/* The list of workers, and which of them may be trusted with a task. */
#include <string.h>

#include "drive/drive_state.h"

enum {
	BAD_ENDS_TO_EJECT = 2, /* in a row */
	EJECT_MS = 1000, /* doubled with each ejection in a row */
	EJECT_MOST_MS = 8000,
	SILENT_MS = 40, /* beyond its wait, until a hold counts as silent */
	/*
	 * A worker that left the list may come back to it, and remembers the
	 * highest fence that it was called with.
	 */
	REMEMBER_MS = 120000
};

struct worker *worker_get(const struct drive *d, uint64_t handle)
{
	return table_get(&d->workers, handle);
}

static uint64_t epoch_of(const struct drive *d, const struct worker *w)
{
	return w->epoch > d->epoch ? w->epoch : d->epoch;
}

uint64_t worker_fence(const struct drive *d, const struct worker *w)
{
	return epoch_of(d, w) * DRIVE_FENCE_STEPS + w->fence_step;
}

bool worker_held(const struct drive *d, const struct worker *w)
{
	return w->held_fence >= epoch_of(d, w) * DRIVE_FENCE_STEPS;
}

bool worker_ours(const struct drive *d, const struct worker *w)
{
	return !w->ended && (!*d->only || !strcmp(d->only, w->info.domain));
}

bool worker_unseen(const struct drive *d, const struct worker *w, int64_t since,
		   int64_t now)
{
	if (w->ended || (worker_held(d, w) && w->proved_at >= since))
		return false;
	return w->listed || now - w->unlisted_at < UNLISTED_RUNS_MS;
}

bool worker_usable(const struct drive *d, const struct worker *w, int64_t now)
{
	if (!w->listed || w->info.leaving || !worker_ours(d, w) ||
	    !worker_held(d, w))
		return false;
	/* A start carries its own lease, so none need be held before it. */
	if (w->silent_since)
		return false;
	if (now < w->ejected_until)
		return false;
	if (w->n_strays)
		return false;
	return !w->probation || !w->n_runs;
}

void worker_good_end(struct drive *d, struct worker *w)
{
	w->bad_in_row = 0;
	w->ejections = 0;
	w->probation = false;
}

void worker_eject(struct drive *d, struct worker *w, int64_t now,
		  const char *why)
{
	int64_t pause = EJECT_MS;
	uint32_t i;

	for (i = 0; i < w->ejections && pause < EJECT_MOST_MS; i++)
		pause *= 2;
	if (now < w->ejected_until)
		return;
	w->ejections++;
	w->ejected_until = now + pause;
	w->probation = true;
	w->bad_in_row = 0;
	d->counts.ejections++;
	log_info("worker_ejected", LOG_S("worker", w->info.name),
		 LOG_S("why", why), LOG_I("for_ms", pause),
		 LOG_U("runs", w->n_runs));
}

void worker_bad_end(struct drive *d, struct worker *w, int64_t now,
		    const char *why)
{
	w->bad_in_row++;
	if (w->probation || w->bad_in_row >= BAD_ENDS_TO_EJECT)
		worker_eject(d, w, now, why);
}

/*
 * An answer's clock was read no later than now, so it bounds the difference
 * from below; a lease made of it never ends later than meant.
 */
void worker_note_clock(struct worker *w, int64_t now,
		       const struct drive_answer *a)
{
	int64_t ahead = a->clock_ms - now;
	int64_t known = w->clock_ahead - (now - w->clock_at) / CLOCK_DRIFT - 1;

	if (!a->has_clock || (w->has_clock && ahead < known))
		return;
	w->clock_ahead = ahead;
	w->clock_at = now;
	w->has_clock = true;
}

int64_t worker_lease_most(const struct drive *d)
{
	int64_t lease = d->opt.lease_ms;

	return lease + lease / CLOCK_DRIFT + LEASE_MARGIN_MS;
}

void worker_may_run(const struct drive *d, struct worker *w, int64_t now)
{
	w->lease_over = now + worker_lease_most(d);
}

int64_t worker_lease(const struct drive *d, struct worker *w, int64_t now)
{
	int64_t lease = d->opt.lease_ms;

	worker_may_run(d, w, now);
	return now + w->clock_ahead + lease - (now - w->clock_at) / CLOCK_DRIFT;
}

static struct index_key name_key(const char *name)
{
	return index_hash_bytes(name, strlen(name));
}

static struct worker *find(const struct drive *d, const char *name)
{
	uint64_t handle;

	if (!index_get(&d->worker_names, name_key(name), &handle))
		return NULL;
	return worker_get(d, handle);
}

static struct worker *add(struct drive *d, int64_t now,
			  const struct drive_worker *info)
{
	struct worker *w;
	void *item;
	uint64_t handle = table_add(&d->workers, &item);

	w = item;
	w->handle = handle;
	w->info = *info;
	w->listed = true;
	w->hold_at = now;
	list_init(&w->runs);
	index_put(&d->worker_names, name_key(info->name), handle);
	if (d->active)
		log_info("worker_listed", LOG_S("worker", info->name),
			 LOG_S("domain", info->domain),
			 LOG_U("cpu", info->cpu_milli));
	return w;
}

static void update(struct worker *w, const struct drive_worker *info)
{
	if (info->leaving && !w->info.leaving)
		log_info("worker_leaving", LOG_S("worker", info->name),
			 LOG_U("runs", w->n_runs));
	w->info = *info;
	w->listed = true;
}

void drive_workers(struct drive *d, int64_t now,
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
		w = find(d, list[i].name);
		if (w)
			update(w, &list[i]);
		else
			add(d, now, &list[i]);
	}
	for (pos = 0; (w = table_next(&d->workers, &pos, &handle));)
		worker_drop_old(d, w, now);
	if (!d->known_since)
		d->known_since = now;
	d->list_fresh = true;
	d->room_changed = true;
}

void worker_drop_old(struct drive *d, struct worker *w, int64_t now)
{
	if (w->listed || w->n_runs || now - w->unlisted_at < REMEMBER_MS)
		return;
	d->forgot = true;
	index_del(&d->worker_names, name_key(w->info.name));
	table_del(&d->workers, w->handle);
}

void drive_domain_back(struct drive *d, int64_t now, const char *domain)
{
	struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		if (!w->listed && !w->ended && !strcmp(w->info.domain, domain))
			w->unlisted_at = now;
	if (d->forgot)
		d->known_since = now;
	d->forgot = false;
}

size_t drive_unlisted(const struct drive *d, int64_t now,
		      struct drive_worker *list, size_t max)
{
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;
	size_t n = 0;

	while ((w = table_next(&d->workers, &pos, &handle)) && n < max)
		if (!w->listed && !w->ended &&
		    (w->n_runs || now - w->unlisted_at < UNLISTED_RUNS_MS))
			list[n++] = w->info;
	return n;
}

void drive_know(struct drive *d, int64_t now, const struct drive_worker *list,
		size_t n)
{
	struct worker *w;
	size_t i;

	for (i = 0; i < n; i++) {
		if (find(d, list[i].name))
			continue;
		w = add(d, now, &list[i]);
		w->listed = false;
		w->unlisted_at = now;
	}
	d->known_since = now - UNLISTED_RUNS_MS;
}
