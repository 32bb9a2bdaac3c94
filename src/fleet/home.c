/*
 * Jobs that callers handed to this instance. It hands each to the driver,
 * and again to the next one, with a higher generation, when the driver
 * changes or may have lost it. The driver gives up the jobs of an instance
 * that it no longer hears.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	/* A takeover takes less; longer, and there is nobody to take over. */
	NO_DRIVER_MS = 600,
	NO_DRIVER_RETRY_MS = 1000,
	DEADLINE_SLACK_MS = 50 /* after the driver should have answered */
};

static void drop(struct fleet *f, struct home_job *j)
{
	if (j->gone)
		f->n_gone--;
	else
		index_del(&f->tags, index_hash_number(j->tag));
	free(j->text);
	table_del(&f->jobs, j->handle);
}

static struct fleet_answer note_answer(const struct fleet *f,
				       const struct home_job *j,
				       enum fleet_outcome outcome,
				       uint32_t retry_after_ms,
				       const char *reason, int64_t now)
{
	struct fleet_answer answer = {outcome, retry_after_ms, reason,
				      now - j->arrived_at};

	log_info("job_answered", LOG_S("job", j->spec.id),
		 LOG_U("outcome", outcome), LOG_S("reason", reason),
		 LOG_U("generation", j->generation), LOG_U("epoch", f->epoch),
		 LOG_I("took_ms", now - j->arrived_at));
	return answer;
}

static void finish(struct fleet *f, struct home_job *j,
		   enum fleet_outcome outcome, uint32_t retry_after_ms,
		   const char *reason, int64_t now)
{
	struct fleet_answer answer = note_answer(f, j, outcome, retry_after_ms,
						 reason, now);
	uint64_t tag = j->tag;

	drop(f, j);
	f->opt.answer(f->opt.ctx, tag, &answer);
}

/* Copies the job with all its text into one block. */
static void keep_spec(const struct fleet *f, struct home_job *j,
		      const struct drive_job *spec)
{
	const char *parts[] = {spec->id, spec->service, spec->route,
			       spec->label};
	const char **views[] = {&j->spec.id, &j->spec.service, &j->spec.route,
				&j->spec.label};
	size_t i, n = spec->body.n;
	char *at;

	for (i = 0; i < sizeof(parts) / sizeof(*parts); i++)
		n += strlen(parts[i]) + 1;
	j->spec = *spec;
	j->spec.domain = f->opt.self.domain;
	j->text = at = xcalloc(1, n);
	for (i = 0; i < sizeof(parts) / sizeof(*parts); i++) {
		n = strlen(parts[i]) + 1;
		memcpy(at, parts[i], n);
		*views[i] = at;
		at += n;
	}
	if (spec->body.n)
		memcpy(at, spec->body.p, spec->body.n);
	j->spec.body.p = at;
}

static void send_job(struct fleet *f, struct home_job *j, int64_t now)
{
	auto_wire_out struct wire_out w = {0};

	msg_job_pack(&w, j->handle, &j->spec);
	if (!f->opt.send(f->opt.ctx, lead_driver(f), wire_bytes(&w)))
		return; /* handed in again once the link is up */
	j->handed_in = true;
}

static void hand_in(struct fleet *f, struct home_job *j, int64_t now)
{
	if (!lead_hears_driver(f, now) || now >= j->deadline_at)
		return;
	j->spec.age_ms = (uint32_t)(now - j->arrived_at);
	j->spec.deadline_ms = (uint32_t)(j->deadline_at - now);
	if (j->handed_in)
		j->generation++;
	j->spec.generation = j->generation;
	if (lead_driver(f) != f->opt.self.id) {
		send_job(f, j, now);
		return;
	}
	j->handed_in = true;
	drive_submit(f->drive, now, f->opt.self.id, j->handle, &j->spec);
}

void fleet_submit(struct fleet *f, int64_t now, uint64_t tag,
		  const struct drive_job *job)
{
	struct home_job *j;
	uint64_t handle;
	void *item;

	fleet_enter(f, now);
	handle = table_add(&f->jobs, &item);
	j = item;
	j->handle = handle;
	j->tag = tag;
	j->arrived_at = now - job->age_ms;
	j->deadline_at = now + job->deadline_ms;
	keep_spec(f, j, job);
	index_put(&f->tags, index_hash_number(tag), handle);
	log_info("job_taken", LOG_S("job", j->spec.id),
		 LOG_S("route", j->spec.route), LOG_U("tasks", job->n_tasks),
		 LOG_U("config", f->config_version),
		 LOG_U("driver", lead_driver(f)), LOG_U("epoch", f->epoch),
		 LOG_U("deadline_ms", job->deadline_ms));
	hand_in(f, j, now);
}

/* `id` is empty where the home's tag names the job. */
static bool send_cancel(struct fleet *f, uint64_t tag, const char *id)
{
	auto_wire_out struct wire_out w = {0};

	wire_begin(&w, SYC_PEER_JOB_CANCEL, 2);
	wire_put_u64(&w, tag);
	wire_put_str(&w, id);
	return f->opt.send(f->opt.ctx, lead_driver(f), wire_bytes(&w));
}

static void tell_driver(struct fleet *f, const struct home_job *j, int64_t now)
{
	if (lead_driver(f) == f->opt.self.id)
		drive_cancel(f->drive, now, f->opt.self.id, j->handle);
	else
		send_cancel(f, j->handle, "");
}

void home_hand_in_all(struct fleet *f, int64_t now)
{
	struct home_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&f->jobs, &pos, &handle)))
		if (j->gone)
			tell_driver(f, j, now);
	for (pos = 0; (j = table_next(&f->jobs, &pos, &handle));)
		if (!j->gone)
			hand_in(f, j, now);
}

/*
 * Kept until the deadline, to be told again: were it lost with its link, the
 * driver would run the job on while its caller hands it in elsewhere.
 */
static void give_up(struct fleet *f, struct home_job *j, int64_t now)
{
	tell_driver(f, j, now);
	index_del(&f->tags, index_hash_number(j->tag));
	j->gone = true;
	f->n_gone++;
}

void fleet_cancel(struct fleet *f, int64_t now, uint64_t tag)
{
	struct home_job *j;
	uint64_t handle;

	if (!index_get(&f->tags, index_hash_number(tag), &handle))
		return;
	j = table_get(&f->jobs, handle);
	log_info("caller_gone", LOG_S("job", j->spec.id),
		 LOG_I("after_ms", now - j->arrived_at));
	if (j->handed_in)
		give_up(f, j, now);
	else
		drop(f, j);
}

bool fleet_cancel_id(struct fleet *f, int64_t now, const char *id)
{
	if (lead_driver(f) == f->opt.self.id) {
		drive_cancel_id(f->drive, now, id);
		return true;
	}
	return lead_driver(f) && send_cancel(f, 0, id);
}

static enum fleet_outcome outcome_of(const struct home_job *j,
				     enum drive_outcome outcome)
{
	if (outcome == DRIVE_COMPLETED)
		return FLEET_COMPLETED;
	if (outcome == DRIVE_FAILED)
		return FLEET_FAILED;
	if (outcome == DRIVE_CANCELLED)
		return FLEET_CANCELLED;
	/* An earlier driver may have started some of it. */
	if (outcome == DRIVE_REFUSED && !j->generation)
		return FLEET_NOT_RUN;
	return FLEET_UNKNOWN;
}

void home_done(struct fleet *f, int64_t now, uint64_t handle,
	       uint32_t generation, enum drive_outcome outcome,
	       uint32_t retry_after_ms, const char *reason)
{
	struct home_job *j = table_get(&f->jobs, handle);

	if (!j)
		return;
	if (j->gone) {
		drop(f, j);
		return;
	}
	/* Only an end is true whoever tells it. */
	if (outcome != DRIVE_COMPLETED && generation != j->generation)
		return;
	finish(f, j, outcome_of(j, outcome), retry_after_ms, reason, now);
}

/* Nobody drives: the caller is told, and the driver, should it come back. */
static void lose(struct fleet *f, struct home_job *j, int64_t now)
{
	struct fleet_answer answer = note_answer(f, j, FLEET_UNKNOWN, 0,
						 "driver_lost", now);
	uint64_t tag = j->tag;

	give_up(f, j, now);
	f->opt.answer(f->opt.ctx, tag, &answer);
}

static void tick_job(struct fleet *f, struct home_job *j, int64_t now)
{
	bool forlorn = lead_forlorn(f, now);

	if (j->gone) {
		if (now > j->deadline_at + DEADLINE_SLACK_MS)
			drop(f, j);
		return;
	}
	if (!j->handed_in && (forlorn || now - j->arrived_at > NO_DRIVER_MS)) {
		finish(f, j, FLEET_NOT_RUN, NO_DRIVER_RETRY_MS, "no_driver",
		       now);
		return;
	}
	/*
	 * The driver, should it live, gives the job up before a caller that
	 * is answered now can have handed it in again.
	 */
	if (forlorn) {
		lose(f, j, now);
		return;
	}
	if (now > j->deadline_at + DEADLINE_SLACK_MS) {
		tell_driver(f, j, now);
		finish(f, j, FLEET_UNKNOWN, 0, "driver_silent", now);
	}
}

void home_tick(struct fleet *f, int64_t now)
{
	struct home_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&f->jobs, &pos, &handle)))
		tick_job(f, j, now);
}

void home_free(struct fleet *f)
{
	struct home_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&f->jobs, &pos, &handle)))
		drop(f, j);
	table_free(&f->jobs);
	index_free(&f->tags);
}

size_t fleet_open(const struct fleet *f)
{
	return f->jobs.used - f->n_gone;
}
