/*
 * Remembers the ids of cancelled jobs for a while, at an instance that does not
 * drive too, as it may be the next driver. A home that stood still submits such
 * a job again, and copies of its request may come late.
 */
#include "drive/drive_state.h"

enum {
	/* Longer than a home stands still, or than a copy is on its way. */
	KEEP_MS = 30000,
	IDS_MAX = 4096
};

struct cancelled_job {
	uint64_t handle;
	char id[DRIVE_JOB_ID_MAX];
	int64_t cancelled_at;
	struct list age_link;
};

void cancelled_init(struct drive *d)
{
	table_init(&d->cancelled, sizeof(struct cancelled_job));
	list_init(&d->cancelled_by_age);
}

void cancelled_free(struct drive *d)
{
	table_free(&d->cancelled);
	index_free(&d->cancelled_ids);
}

static struct index_key id_key(const char id[DRIVE_JOB_ID_MAX])
{
	return index_hash_bytes(id, DRIVE_JOB_ID_MAX);
}

static struct cancelled_job *find(const struct drive *d,
				  const char id[DRIVE_JOB_ID_MAX])
{
	uint64_t handle;

	if (!d->cancelled.used ||
	    !index_get(&d->cancelled_ids, id_key(id), &handle))
		return NULL;
	return table_get(&d->cancelled, handle);
}

static void drop(struct drive *d, struct cancelled_job *c)
{
	list_remove(&c->age_link);
	index_del(&d->cancelled_ids, id_key(c->id));
	table_del(&d->cancelled, c->handle);
}

static bool is_expired(const struct cancelled_job *c, int64_t now)
{
	return now - c->cancelled_at >= KEEP_MS;
}

static void make_room(struct drive *d, int64_t now)
{
	struct cancelled_job *oldest;

	while (!list_empty(&d->cancelled_by_age)) {
		oldest = LIST_ITEM(d->cancelled_by_age.next,
				   struct cancelled_job, age_link);
		if (!is_expired(oldest, now) && d->cancelled.used < IDS_MAX)
			return;
		if (!is_expired(oldest, now))
			log_warn("cancelled_forgotten",
				 LOG_S("job", oldest->id),
				 LOG_I("after_ms", now - oldest->cancelled_at));
		drop(d, oldest);
	}
}

bool cancelled_note(struct drive *d, const char id[DRIVE_JOB_ID_MAX],
		    int64_t now)
{
	struct cancelled_job *c;
	bool is_new;
	void *item;
	uint64_t handle;

	make_room(d, now);
	c = find(d, id);
	is_new = !c;
	if (is_new) {
		handle = table_add(&d->cancelled, &item);
		c = item;
		c->handle = handle;
		memcpy(c->id, id, sizeof(c->id));
		index_put(&d->cancelled_ids, id_key(id), handle);
	}
	c->cancelled_at = now;
	list_remove(&c->age_link);
	list_add(&d->cancelled_by_age, &c->age_link);
	return is_new;
}

bool cancelled_answer(struct drive *d, uint64_t home, uint64_t tag,
		      const struct drive_job *spec,
		      const char id[DRIVE_JOB_ID_MAX], int64_t now)
{
	const struct cancelled_job *c = find(d, id);
	struct drive_job_done done = {
		.home = home,
		.tag = tag,
		.generation = spec->generation,
		.outcome = DRIVE_CANCELLED,
		.reason = "cancelled_before",
	};

	if (!c || is_expired(c, now))
		return false;
	log_info("job_cancelled_before", LOG_S("job", id), LOG_U("home", home),
		 LOG_U("generation", spec->generation),
		 LOG_I("after_ms", now - c->cancelled_at));
	d->opt.job_done(d->opt.ctx, &done);
	return true;
}
