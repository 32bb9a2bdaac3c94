#include <stdio.h>
#include <string.h>

#include "drive_fake.h"
#include "util/invariant.h"
#include "util/log.h"

static int worker_number(const struct drive_worker *w)
{
	return w->name[1] - '0';
}

static struct fake_call *record_call(struct fake_call *list, size_t *n)
{
	invariant(*n < FAKE_CALLS_MAX);
	memset(&list[*n], 0, sizeof(list[*n]));
	return &list[(*n)++];
}

static void on_start(void *ctx, const struct drive_start *call)
{
	struct drive_fake *f = ctx;
	struct fake_call *c = record_call(f->starts, &f->n_starts);

	c->call = call->call;
	c->worker = worker_number(call->worker);
	c->task = *call->task;
	c->run = call->run;
	c->fence = call->fence;
	c->lease_expires_at = call->lease_expires_at;
	c->timeout_ms = call->timeout_ms;
}

static void on_stop(void *ctx, const struct drive_stop *call)
{
	struct drive_fake *f = ctx;
	struct fake_call *c = record_call(f->stops, &f->n_stops);

	c->call = call->call;
	c->worker = worker_number(call->worker);
	c->task = *call->task;
	c->run = call->run;
}

static void on_hold(void *ctx, const struct drive_hold *call)
{
	struct drive_fake *f = ctx;
	struct fake_call *c = record_call(f->holds, &f->n_holds);

	c->call = call->call;
	c->worker = worker_number(call->worker);
	c->born_ms = call->worker->born_ms;
	c->fence = call->fence;
	c->cursor = call->cursor;
	c->lease_expires_at = call->lease_expires_at;
	c->wait_ms = call->wait_ms;
	c->timeout_ms = call->timeout_ms;
}

static void on_job_done(void *ctx, const struct drive_job_done *done)
{
	struct drive_fake *f = ctx;

	invariant(f->n_jobs_done < FAKE_CALLS_MAX);
	f->jobs_done[f->n_jobs_done++] = *done;
}

static bool on_is_home_reachable(void *ctx, uint64_t home)
{
	const struct drive_fake *f = ctx;

	return !f->homes_unreachable;
}

static uint64_t on_fenced(void *ctx, const struct drive_worker *worker)
{
	struct drive_fake *f = ctx;

	f->n_fenced++;
	return f->raised_epoch;
}

static uint32_t on_get_late_ms(void *ctx)
{
	const struct drive_fake *f = ctx;

	return f->late_ms;
}

static void new_drive(struct drive_fake *f)
{
	struct drive_options opt = {
		.ctx = f,
		.lease_ms = 1000,
		.hold_wait_ms = 200,
		.start = on_start,
		.stop = on_stop,
		.hold = on_hold,
		.job_done = on_job_done,
		.is_home_reachable = on_is_home_reachable,
		.choose_higher_epoch = on_fenced,
		.get_late_ms = on_get_late_ms,
	};

	log_level_set(LOG_ERROR);
	memset(f, 0, sizeof(*f));
	f->now = 100000;
	f->drive = drive_new(&opt);
}

void drive_fake_init_without_list(struct drive_fake *f)
{
	new_drive(f);
	drive_begin(f->drive, f->now, 5);
}

void drive_fake_init(struct drive_fake *f, size_t n)
{
	struct drive_worker *list = f->workers;
	size_t i;

	new_drive(f);
	f->n_workers = n;
	for (i = 0; i < n; i++) {
		snprintf(list[i].name, sizeof(list[i].name), "w%zu", i);
		snprintf(list[i].service, sizeof(list[i].service), "s");
		snprintf(list[i].domain, sizeof(list[i].domain), "d%zu", i % 2);
		list[i].cpu_milli = 16000;
		snprintf(list[i].addr.ip, sizeof(list[i].addr.ip), "10.0.0.%zu",
			 i + 1);
		list[i].memory_mb = 1000;
	}
	drive_set_workers(f->drive, f->now, list, n);
	drive_begin(f->drive, f->now, 5);
	drive_set_workers(f->drive, f->now, list, n);
	drive_add_unlisted_workers(f->drive, f->now, NULL, 0);
	drive_fake_answer_all_holds(f);
	drive_fake_answer_all_holds(f);
}

void drive_fake_free(struct drive_fake *f)
{
	drive_free(f->drive);
}

/* Workers that a test adds by another name do not say it. */
static int64_t born_of(const struct drive_fake *f, int worker)
{
	return worker < FAKE_WORKERS_MAX ? f->born_ms[worker] : 0;
}

static void pass_hold_answer(struct drive_fake *f, struct fake_call *c,
			     struct drive_hold_answer *lists)
{
	c->answered = true;
	if (lists->answer.result == DRIVE_CALL_DONE) {
		lists->answer.has_clock = true;
		lists->answer.clock_ms = f->now - f->clock_behind_ms;
		lists->answer.born_ms = born_of(f, c->worker);
	}
	drive_hold_answered(f->drive, f->now, c->call, lists);
}

void drive_fake_answer_all_holds(struct drive_fake *f)
{
	size_t i, n = f->n_holds;

	for (i = 0; i < n; i++) {
		struct drive_hold_answer lists = {
			.answer.result = DRIVE_CALL_DONE};

		if (!f->holds[i].answered)
			pass_hold_answer(f, &f->holds[i], &lists);
	}
}

static struct fake_call *find_last_open_hold(struct drive_fake *f, int worker)
{
	size_t i;

	for (i = f->n_holds; i-- > 0;)
		if (f->holds[i].worker == worker && !f->holds[i].answered)
			return &f->holds[i];
	return NULL;
}

/* A worker without runs is called at intervals, so the time advances to one. */
static struct fake_call *await_open_hold(struct drive_fake *f, int worker)
{
	int64_t until = f->now + FAKE_IDLE_MAX_MS;
	struct fake_call *c;

	while (!(c = find_last_open_hold(f, worker)) && f->now < until)
		drive_fake_advance(f, 10, false);
	return c;
}

void drive_fake_answer_hold(struct drive_fake *f, int worker,
			    const struct drive_active_run *running,
			    size_t n_running,
			    const struct drive_ended_run *ended, size_t n_ended)
{
	struct fake_call *c = await_open_hold(f, worker);
	struct drive_hold_answer lists = {
		.answer.result = DRIVE_CALL_DONE,
		.running = running,
		.n_running = n_running,
		.ended = ended,
		.n_ended = n_ended,
	};

	invariant(c);
	pass_hold_answer(f, c, &lists);
}

void drive_fake_fail_hold(struct drive_fake *f, int worker,
			  enum drive_call_result result)
{
	struct fake_call *c = await_open_hold(f, worker);
	struct drive_hold_answer lists = {.answer.result = result};

	invariant(c);
	pass_hold_answer(f, c, &lists);
}

void drive_fake_silence(struct drive_fake *f, int worker)
{
	struct drive_counts before, counts;

	drive_get_counts(f->drive, &before);
	do {
		drive_fake_fail_hold(f, worker, DRIVE_CALL_UNANSWERED);
		drive_get_counts(f->drive, &counts);
	} while (counts.silences == before.silences);
}

void drive_fake_answer_start(struct drive_fake *f, size_t start,
			     enum drive_call_result result)
{
	struct drive_call_answer a = {.result = result};

	if (result == DRIVE_CALL_DONE)
		a.born_ms = born_of(f, f->starts[start].worker);
	f->starts[start].answered = true;
	drive_start_answered(f->drive, f->now, f->starts[start].call, &a);
}

void drive_fake_end_run(struct drive_fake *f, size_t start, uint64_t sequence,
			enum drive_run_result result)
{
	const struct fake_call *c = &f->starts[start];
	struct drive_ended_run e = {
		.sequence = sequence,
		.task = c->task,
		.run = c->run,
		.result = result,
	};

	drive_fake_answer_hold(f, c->worker, NULL, 0, &e, 1);
}

void drive_fake_advance(struct drive_fake *f, int64_t ms, bool workers_answer)
{
	int64_t until = f->now + ms;

	while (f->now < until) {
		f->now += 10;
		drive_tick(f->drive, f->now);
		if (workers_answer && f->now % 200 == 0)
			drive_fake_answer_all_holds(f);
	}
}

struct drive_job drive_fake_job(const char *id, uint32_t n)
{
	return (struct drive_job){
		.id = id,
		.service = "s",
		.route = "r",
		.label = "",
		.domain = "d0",
		.attempts_max = 2,
		.n_tasks = n,
		.cpu_milli = 8000,
		.memory_mb = 10,
		.estimate_ms = 100,
		.objective_percent = 100,
		.objective_add_ms = 900,
		.deadline_ms = 3000,
		.body = {"x", 1},
	};
}

void drive_fake_submit(struct drive_fake *f, uint64_t tag,
		       const struct drive_job *job)
{
	drive_submit(f->drive, f->now, FAKE_HOME, tag, job);
}

void drive_fake_restart_worker(struct drive_fake *f, int worker)
{
	struct drive_worker *w = &f->workers[worker];

	snprintf(w->name, sizeof(w->name), "w%d-%u", worker, ++f->n_restarts);
	drive_fake_fail_hold(f, worker, DRIVE_CALL_OTHER_INCARNATION);
	drive_set_workers(f->drive, f->now, f->workers, f->n_workers);
	drive_fake_answer_hold(f, worker, NULL, 0, NULL, 0);
}

void drive_fake_set_born(struct drive_fake *f, int worker, int64_t born_ms)
{
	f->workers[worker].born_ms = f->born_ms[worker] = born_ms;
	drive_set_workers(f->drive, f->now, f->workers, f->n_workers);
}

void drive_fake_answer_call(struct drive_fake *f, size_t hold)
{
	struct drive_hold_answer lists = {.answer.result = DRIVE_CALL_DONE};

	pass_hold_answer(f, &f->holds[hold], &lists);
}
