#include <string.h>

#include "fleet/open_jobs.h"

enum {
	/* Messages of one list arrive within this time. */
	ONE_LIST_MS = 50,
	/* A job that a cell asked for is in its lists by then. */
	ASKED_MS = 350
};

struct open_job {
	uint64_t hash;
	uint32_t cell;
	bool is_waiting; /* the cell asks others for it */
	int64_t noted_at;
};

void open_jobs_init(struct open_jobs *o, int64_t hold_ms)
{
	table_init(&o->items, sizeof(struct open_job));
	o->hold_ms = hold_ms;
}

void open_jobs_free(struct open_jobs *o)
{
	table_free(&o->items);
	index_free(&o->keys);
}

uint64_t open_jobs_hash(const char *id)
{
	return index_hash_bytes(id, strlen(id)).lo;
}

static struct index_key job_key(uint64_t hash, uint32_t cell)
{
	const uint64_t key[2] = {hash, cell};

	return index_hash_bytes(key, sizeof(key));
}

static struct open_job *find(const struct open_jobs *o, uint64_t hash,
			     uint32_t cell)
{
	uint64_t handle;

	if (!index_get(&o->keys, job_key(hash, cell), &handle))
		return NULL;
	return table_get(&o->items, handle);
}

static struct open_job *add(struct open_jobs *o, uint64_t hash, uint32_t cell)
{
	struct open_job *j;
	void *item;
	uint64_t handle = table_add(&o->items, &item);

	j = item;
	j->hash = hash;
	j->cell = cell;
	index_put(&o->keys, job_key(hash, cell), handle);
	return j;
}

void open_jobs_note(struct open_jobs *o, uint64_t hash, uint32_t cell,
		    bool is_waiting, int64_t now)
{
	struct open_job *j = find(o, hash, cell);

	if (!j)
		j = add(o, hash, cell);
	j->is_waiting = is_waiting;
	j->noted_at = now;
}

bool open_jobs_find(const struct open_jobs *o, uint64_t hash, uint32_t cell,
		    int64_t now)
{
	const struct open_job *j = find(o, hash, cell);

	return j && now - j->noted_at < o->hold_ms;
}

bool open_jobs_is_listed(const struct open_jobs *o, uint64_t hash,
			 uint32_t cell, int64_t now)
{
	const struct open_job *j = find(o, hash, cell);

	return j && !j->is_waiting && now - j->noted_at < o->hold_ms;
}

static void drop(struct open_jobs *o, uint64_t handle)
{
	const struct open_job *j = table_get(&o->items, handle);

	index_del(&o->keys, job_key(j->hash, j->cell));
	table_del(&o->items, handle);
}

void open_jobs_drop_older(struct open_jobs *o, uint32_t cell, int64_t now)
{
	const struct open_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&o->items, &pos, &handle)))
		if (j->cell == cell &&
		    now - j->noted_at >=
			    (j->is_waiting ? ASKED_MS : ONE_LIST_MS))
			drop(o, handle);
}

void open_jobs_expire(struct open_jobs *o, int64_t now)
{
	const struct open_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&o->items, &pos, &handle)))
		if (now - j->noted_at >= o->hold_ms)
			drop(o, handle);
}

size_t open_jobs_count(const struct open_jobs *o)
{
	return o->items.used;
}
