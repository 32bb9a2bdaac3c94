/*
 * The list of workers, read from the platform: often by the driver, seldom
 * by those who may have to take its place.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	DRIVER_READ_MS = 500,
	OTHER_READ_MS = 3000,
	FAILED_READ_MS = 500,
	RETURN_MS = 2500 /* entries may be missing for so long after */
};

void workers_tick(struct fleet *f, int64_t now)
{
	if (f->workers_open || now < f->workers_at)
		return;
	f->workers_open = true;
	f->opt.read_workers(f->opt.ctx);
}

static bool contains(const struct drive_worker *list, size_t n,
		     const char *name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(list[i].name, name))
			return true;
	return false;
}

/* Entries lapse while the store is away and come back a little later. */
static size_t keep_missing(const struct fleet *f, struct drive_worker *next,
			   size_t n)
{
	size_t i, all = n;

	for (i = 0; i < f->n_workers; i++)
		if (!contains(next, n, f->workers[i].name))
			next[all++] = f->workers[i];
	return all;
}

void fleet_workers(struct fleet *f, int64_t now,
		   const struct drive_worker *list, size_t n)
{
	struct drive_worker *next;

	f->workers_open = false;
	if (!list) {
		f->workers_failed_at = now;
		f->workers_at = now + FAILED_READ_MS;
		return;
	}
	f->workers_at = now +
			(fleet_drives(f) ? DRIVER_READ_MS : OTHER_READ_MS);
	next = xcalloc(n + f->n_workers + 1, sizeof(*next));
	memcpy(next, list, n * sizeof(*next));
	if (f->workers_failed_at && now - f->workers_failed_at < RETURN_MS)
		n = keep_missing(f, next, n);
	free(f->workers);
	f->workers = next;
	f->n_workers = n;
	f->workers_known = true;
	if (fleet_drives(f))
		drive_workers(f->drive, now, next, n);
}
