/*
 * A table of the jobs that drivers have told of, by the hashes of their ids: those
 * of other cells, and earlier ones of the own cell. Each entry holds for a while
 * after it was last noted. Times are in milliseconds.
 */
#ifndef FLEET_OPEN_JOBS_H
#define FLEET_OPEN_JOBS_H

#include "drive/drive.h"
#include "util/index.h"
#include "util/table.h"

struct open_jobs {
	struct table items; /* of struct open_job, see open_jobs.c */
	struct index keys; /* by hash and cell */
	int64_t hold_ms; /* how long an entry holds */
};

void open_jobs_init(struct open_jobs *o, int64_t hold_ms);
void open_jobs_free(struct open_jobs *o);

uint64_t open_jobs_hash(const char *id);
/*
 * Notes that the cell has the job. `is_waiting`: it has no runs of it, and starts
 * it if the others do not have it.
 */
void open_jobs_note(struct open_jobs *o, uint64_t hash, uint32_t cell,
		    bool is_waiting, int64_t now);
/* Whether the cell is known to have the job. */
bool open_jobs_find(const struct open_jobs *o, uint64_t hash, uint32_t cell,
		    int64_t now);
/* The same, but the job does not merely wait there. */
bool open_jobs_is_listed(const struct open_jobs *o, uint64_t hash,
			 uint32_t cell, int64_t now);
/* Drops the entries of the cell that its last list lacks. */
void open_jobs_drop_older(struct open_jobs *o, uint32_t cell, int64_t now);
/* Drops the entries that do not hold any more. */
void open_jobs_expire(struct open_jobs *o, int64_t now);
/* The number of entries. */
size_t open_jobs_count(const struct open_jobs *o);

#endif
