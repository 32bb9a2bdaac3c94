/*
 * Keeps the jobs that callers submitted to this instance. Each is submitted
 * to the driver, and again, with a higher generation, when there is another
 * driver or the driver may have lost it. The driver gives up the jobs of an
 * instance from which it receives no heartbeats.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	/* A link to the driver of another cell is up sooner. */
	LINK_TIMEOUT_MS = 40,
	/* The same for a job that only that cell may run. */
	LINK_TIMEOUT_MOVED_MS = 1000,
	/* A takeover takes less, so after this time no instance can drive. */
	NO_DRIVER_TIMEOUT_MS = 600,
	NO_DRIVER_RETRY_MS = 1000,
	/* A driver that was paused takes jobs again after this time. */
	NOT_TAKEN_RETRY_MS = 50,
	/* What callers sent during a pause of this process is read by then. */
	BACKLOG_READ_MS = 200,
	/* A loop that is so late reads requests long after they came. */
	LATE_LOOP_MS = 200,
	DEADLINE_SLACK_MS = 50, /* for the driver's answer at the deadline */
	STOP_SLACK_MS = 100 /* the same before this instance stops */
};

static void drop_job(struct fleet *f, struct home_job *j)
{
	if (j->is_cancelled)
		f->n_cancelled--;
	else
		index_del(&f->tags, index_hash_number(j->tag));
	free(j->text);
	table_del(&f->jobs, j->handle);
}

static void set_spec_times(struct home_job *j, int64_t now)
{
	int64_t left_ms = j->deadline_at - now;

	j->spec.age_ms = (uint32_t)(now - j->arrived_at);
	j->spec.deadline_ms = left_ms > 0 ? (uint32_t)left_ms : 0;
}

static struct fleet_answer make_answer(const struct fleet *f,
				       struct home_job *j,
				       enum fleet_outcome outcome,
				       uint32_t retry_after_ms,
				       const char *reason, int64_t now)
{
	struct fleet_answer answer = {
		.outcome = outcome,
		.retry_after_ms = retry_after_ms,
		.reason = reason,
		.took_ms = now - j->arrived_at,
		.cell = j->cell,
		.job = &j->spec,
	};

	set_spec_times(j, now);

	log_info("job_answered", LOG_S("job", j->spec.id),
		 LOG_U("outcome", outcome), LOG_S("reason", reason),
		 LOG_U("generation", j->generation), LOG_U("epoch", f->epoch),
		 LOG_I("took_ms", now - j->arrived_at));
	return answer;
}

static void answer_job(struct fleet *f, struct home_job *j,
		       enum fleet_outcome outcome, uint32_t retry_after_ms,
		       const char *reason, int64_t now)
{
	struct fleet_answer answer = make_answer(f, j, outcome, retry_after_ms,
						 reason, now);

	f->opt.answer(f->opt.ctx, j->tag, &answer);
	drop_job(f, j);
}

/* Copies the job's texts and body into one block. */
static void copy_spec(const struct fleet *f, struct home_job *j,
		      const struct drive_job *spec)
{
	const char *texts[] = {spec->id, spec->service, spec->route,
			       spec->label};
	const char **copies[] = {&j->spec.id, &j->spec.service, &j->spec.route,
				 &j->spec.label};
	size_t i, n = spec->body.n;
	char *dst;

	for (i = 0; i < sizeof(texts) / sizeof(*texts); i++)
		n += strlen(texts[i]) + 1;
	j->spec = *spec;
	j->spec.domain = f->opt.self.domain;
	j->text = dst = xcalloc(1, n);
	for (i = 0; i < sizeof(texts) / sizeof(*texts); i++) {
		n = strlen(texts[i]) + 1;
		memcpy(dst, texts[i], n);
		*copies[i] = dst;
		dst += n;
	}
	if (spec->body.n)
		memcpy(dst, spec->body.p, spec->body.n);
	j->spec.body.p = dst;
}

static void send_job(struct fleet *f, struct home_job *j, int64_t now)
{
	auto_wire_out struct wire_out w = {0};

	msg_job_pack(&w, j->handle, &j->spec);
	if (!f->opt.send(f->opt.ctx, election_get_driver(f), wire_bytes(&w)))
		return; /* it is submitted once the link is up */
	j->submitted = true;
}

/* Tells the driver until when this instance, which stops, can wait. */
static void tell_end(struct fleet *f, uint64_t handle, int64_t now)
{
	const struct home_job *j = table_get(&f->jobs, handle);
	int64_t left_ms = f->ends_at - STOP_SLACK_MS - now;
	auto_wire_out struct wire_out w = {0};

	if (!f->ends_at || !j || !j->submitted || j->is_cancelled)
		return;
	if (left_ms < 0)
		left_ms = 0;
	if (election_get_driver(f) == f->opt.self.id) {
		drive_end_by(f->drive, now, f->opt.self.id, handle,
			     (uint32_t)left_ms);
		return;
	}
	wire_begin(&w, SYC_PEER_JOB_END_BY, 2);
	wire_put_u64(&w, handle);
	wire_put_u64(&w, (uint64_t)left_ms);
	f->opt.send(f->opt.ctx, election_get_driver(f), wire_bytes(&w));
}

void home_tell_end(struct fleet *f, int64_t now)
{
	uint64_t handle;
	uint32_t pos = 0;

	while (table_next(&f->jobs, &pos, &handle))
		tell_end(f, handle, now);
}

static void submit_job(struct fleet *f, struct home_job *j, int64_t now)
{
	uint64_t handle = j->handle;

	if (!election_is_driver_reachable(f, now) || now >= j->deadline_at)
		return;
	j->resubmit_at = 0;
	set_spec_times(j, now);
	if (j->submitted)
		j->generation++;
	j->spec.generation = j->generation;
	if (election_get_driver(f) != f->opt.self.id) {
		send_job(f, j, now);
	} else {
		j->submitted = true;
		drive_submit(f->drive, now, f->opt.self.id, handle, &j->spec);
	}
	tell_end(f, handle, now); /* if it has no answer yet */
}

void fleet_submit(struct fleet *f, int64_t now, uint64_t tag,
		  const struct drive_job *job)
{
	struct home_job *j;
	uint64_t handle;
	void *item;

	fleet_detect_pause(f, now);
	handle = table_add(&f->jobs, &item);
	j = item;
	j->handle = handle;
	j->tag = tag;
	j->arrived_at = now - job->age_ms;
	j->taken_at = now;
	j->deadline_at = now + job->deadline_ms;
	j->generation = job->generation;
	copy_spec(f, j, job);
	/* It may have waited to be read during a pause of this process. */
	if (now - f->resumed_at < BACKLOG_READ_MS ||
	    f->opt.get_late_ms(f->opt.ctx) >= LATE_LOOP_MS)
		j->spec.may_be_old = true;
	index_put(&f->tags, index_hash_number(tag), handle);
	log_info("job_taken", LOG_S("job", j->spec.id),
		 LOG_S("route", j->spec.route), LOG_U("tasks", job->n_tasks),
		 LOG_U("config", f->config_version),
		 LOG_U("driver", election_get_driver(f)),
		 LOG_U("epoch", f->epoch),
		 LOG_U("deadline_ms", job->deadline_ms));
	submit_job(f, j, now);
}

static void send_cancel(struct fleet *f, uint64_t tag)
{
	auto_wire_out struct wire_out w = {0};

	wire_begin(&w, SYC_PEER_JOB_CANCEL, 2);
	wire_put_u64(&w, tag);
	wire_put_str(&w, ""); /* the tag names the job */
	f->opt.send(f->opt.ctx, election_get_driver(f), wire_bytes(&w));
}

static void cancel_at_driver(struct fleet *f, const struct home_job *j,
			     int64_t now)
{
	if (election_get_driver(f) == f->opt.self.id)
		drive_cancel(f->drive, now, f->opt.self.id, j->handle);
	else
		send_cancel(f, j->handle);
}

void home_submit_all(struct fleet *f, int64_t now)
{
	struct home_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&f->jobs, &pos, &handle)))
		if (j->is_cancelled)
			cancel_at_driver(f, j, now);
	for (pos = 0; (j = table_next(&f->jobs, &pos, &handle));)
		if (!j->is_cancelled)
			submit_job(f, j, now);
}

void home_submit_waiting(struct fleet *f, int64_t now)
{
	struct home_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&f->jobs, &pos, &handle)))
		if (!j->is_cancelled && !j->submitted)
			submit_job(f, j, now);
}

/*
 * Keeps the cancelled job until its deadline, to send the cancellation again.
 * If it were lost with its link, the driver would go on to run the job while
 * the caller submits it elsewhere.
 */
static void cancel_job(struct fleet *f, struct home_job *j, int64_t now)
{
	cancel_at_driver(f, j, now);
	index_del(&f->tags, index_hash_number(j->tag));
	j->is_cancelled = true;
	f->n_cancelled++;
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
	if (j->submitted)
		cancel_job(f, j, now);
	else
		drop_job(f, j);
}

static enum fleet_outcome fleet_outcome_of(const struct home_job *j,
					   enum drive_outcome outcome)
{
	if (outcome == DRIVE_COMPLETED)
		return FLEET_COMPLETED;
	if (outcome == DRIVE_FAILED)
		return FLEET_FAILED;
	if (outcome == DRIVE_CANCELLED)
		return FLEET_CANCELLED;
	if (outcome == DRIVE_ELSEWHERE)
		return FLEET_ELSEWHERE;
	/* An earlier driver may have started some of the tasks. */
	if (outcome == DRIVE_REFUSED && !j->generation)
		return FLEET_NOT_RUN;
	return FLEET_UNKNOWN;
}

void home_job_done(struct fleet *f, int64_t now,
		   const struct drive_job_done *done)
{
	struct home_job *j = table_get(&f->jobs, done->tag);

	if (!j)
		return;
	if (done->outcome == DRIVE_NOT_TAKEN) {
		if (done->generation == j->generation)
			j->resubmit_at = now + NOT_TAKEN_RETRY_MS;
		return;
	}
	if (j->is_cancelled) {
		drop_job(f, j);
		return;
	}
	/* A completion is final in any generation, other outcomes are not. */
	if (done->outcome != DRIVE_COMPLETED &&
	    done->generation != j->generation)
		return;
	if (done->outcome == DRIVE_ELSEWHERE)
		j->cell = done->cell;
	answer_job(f, j, fleet_outcome_of(j, done->outcome),
		   done->retry_after_ms, done->reason, now);
}

/* Answers the caller; the driver gets the cancellation if it returns. */
static void answer_driver_lost(struct fleet *f, struct home_job *j, int64_t now)
{
	struct fleet_answer answer = make_answer(f, j, FLEET_UNKNOWN, 0,
						 "driver_lost", now);
	uint64_t tag = j->tag;

	cancel_job(f, j, now);
	f->opt.answer(f->opt.ctx, tag, &answer);
}

static int64_t link_timeout_ms(const struct home_job *j)
{
	return j->spec.is_moved ? LINK_TIMEOUT_MOVED_MS : LINK_TIMEOUT_MS;
}

static void tick_job(struct fleet *f, struct home_job *j, int64_t now)
{
	bool is_takeover_overdue = election_is_takeover_overdue(f, now) ||
				   fleet_misses_division(f);

	if (j->is_cancelled) {
		if (now > j->deadline_at + DEADLINE_SLACK_MS)
			drop_job(f, j);
		return;
	}
	if (j->resubmit_at && now >= j->resubmit_at)
		submit_job(f, j, now);
	if (!j->submitted && !fleet_is_eligible(f) &&
	    now - j->taken_at > link_timeout_ms(j)) {
		answer_job(f, j, FLEET_NOT_RUN, NO_DRIVER_RETRY_MS, "no_link",
			   now);
		return;
	}
	if (!j->submitted && (is_takeover_overdue ||
			      now - j->arrived_at > NO_DRIVER_TIMEOUT_MS)) {
		answer_job(f, j, FLEET_NOT_RUN, NO_DRIVER_RETRY_MS, "no_driver",
			   now);
		return;
	}
	/*
	 * If the driver still runs, it gives the job up before a caller that
	 * is answered now can submit it again.
	 */
	if (is_takeover_overdue) {
		answer_driver_lost(f, j, now);
		return;
	}
	if (now > j->deadline_at + DEADLINE_SLACK_MS) {
		cancel_at_driver(f, j, now);
		answer_job(f, j, FLEET_UNKNOWN, 0, "driver_silent", now);
	}
}

/* What may run is cancelled, as this instance can't wait for it. */
static void end_at_stop(struct fleet *f, int64_t now)
{
	struct home_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&f->jobs, &pos, &handle)))
		if (!j->is_cancelled && j->submitted)
			cancel_at_driver(f, j, now);
	home_end_all(f, now, "stopping");
}

void home_tick(struct fleet *f, int64_t now)
{
	struct home_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	if (f->ends_at && now >= f->ends_at) {
		end_at_stop(f, now);
		return;
	}
	while ((j = table_next(&f->jobs, &pos, &handle)))
		tick_job(f, j, now);
}

void home_end_all(struct fleet *f, int64_t now, const char *reason)
{
	struct home_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&f->jobs, &pos, &handle))) {
		if (j->is_cancelled)
			drop_job(f, j);
		else if (j->submitted)
			answer_job(f, j, FLEET_UNKNOWN, 0, reason, now);
		else
			answer_job(f, j, FLEET_NOT_RUN, NO_DRIVER_RETRY_MS,
				   reason, now);
	}
}

void home_free(struct fleet *f)
{
	struct home_job *j;
	uint64_t handle;
	uint32_t pos = 0;

	while ((j = table_next(&f->jobs, &pos, &handle)))
		drop_job(f, j);
	table_free(&f->jobs);
	index_free(&f->tags);
}

size_t fleet_open_jobs(const struct fleet *f)
{
	return f->jobs.used - f->n_cancelled;
}
