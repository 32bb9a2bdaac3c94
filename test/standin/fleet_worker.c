/* The workers of the platform's stand-in: starts, stops, holds and leases. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "platform/names.h"
#include "util/alloc.h"

enum {
	TASKS_MAX = 2, /* runs on one worker at a time */
	LEASE_MAX_S = 1
};

/* The specification of a job whose first task crashes each worker. */
static const char crash_spec[] = "crash";
static const double crash_after_s = 0.01;

/* The specification of a job that names its tasks' run time: "run MS". */
static const char run_spec[] = "run ";

static double loop_time_s(const struct fleet_worker *w)
{
	return ev_now(w->platform->loop);
}

/* Each life has a clock of its own. */
static json_int_t clock_ms(const struct fleet_worker *w)
{
	return (json_int_t)(loop_time_s(w) * 1000) - w->born_ms;
}

static void reply_result(struct fleet_worker *w, uint64_t id, unsigned status,
			 const char *reason)
{
	json_t *body = json_pack("{s:I, s:I}", CALL_CLOCK, clock_ms(w),
				 WORKER_BORN, (json_int_t)w->born_ms);

	if (reason)
		json_object_set_new(body, CALL_REASON, json_string(reason));
	fleet_reply(w->server, id, status, body);
}

static void end_run(struct fleet_worker *w, size_t i, const char *outcome)
{
	struct fleet_ended_run *e;

	if (w->n_ends == FLEET_ENDS_MAX)
		memmove(w->ends, w->ends + 1, --w->n_ends * sizeof(*w->ends));
	e = &w->ends[w->n_ends++];
	e->number = ++w->last_end_number;
	copy_text(e->task, sizeof(e->task), w->runs[i].task);
	e->run = w->runs[i].run;
	e->outcome = outcome;
	if (!strcmp(outcome, "done")) {
		w->platform->done++;
		fleet_count_done(w->platform, w->runs[i].task);
	}
	w->runs[i] = w->runs[--w->n_runs];
}

static json_t *lists_json(const struct fleet_worker *w)
{
	json_t *running = json_array(), *ended = json_array();
	size_t i;

	for (i = 0; i < w->n_runs; i++) {
		const struct fleet_run *r = &w->runs[i];
		double part = (loop_time_s(w) - r->began_at) /
			      (r->ends_at - r->began_at);

		json_array_append_new(running,
				      json_pack("[s, I, s, i]", r->task,
						(json_int_t)r->run, "",
						(int)(part * 100)));
	}
	for (i = 0; i < w->n_ends; i++)
		json_array_append_new(ended,
				      json_pack("[I, s, I, s, s]",
						(json_int_t)w->ends[i].number,
						w->ends[i].task,
						(json_int_t)w->ends[i].run,
						w->ends[i].outcome, ""));
	return json_pack("{s:I, s:I, s:o, s:o}", CALL_CLOCK, clock_ms(w),
			 WORKER_BORN, (json_int_t)w->born_ms, HELD_RUNNING,
			 running, HELD_ENDED, ended);
}

static void drop_acknowledged_ends(struct fleet_worker *w, uint64_t cursor)
{
	size_t i, n = 0;

	for (i = 0; i < w->n_ends; i++)
		if (w->ends[i].number > cursor)
			w->ends[n++] = w->ends[i];
	w->n_ends = n;
}

static double lease_end_s(const struct fleet_worker *w, const json_t *body)
{
	double ms = json_number_value(
		json_object_get(body, CALL_LEASE_ENDS_AT));

	return (ms + (double)w->born_ms) / 1000;
}

static void extend_lease(struct fleet_worker *w, const json_t *body)
{
	double until = lease_end_s(w, body);

	if (until > loop_time_s(w) + LEASE_MAX_S)
		until = loop_time_s(w) + LEASE_MAX_S;
	if (until > w->lease_ends_at)
		w->lease_ends_at = until;
}

static void handle_hold(struct fleet_worker *w, uint64_t id, const json_t *body)
{
	double wait = json_number_value(json_object_get(body, CALL_WAIT));
	size_t i;

	extend_lease(w, body);
	drop_acknowledged_ends(w, (uint64_t)json_integer_value(
					  json_object_get(body, CALL_CURSOR)));
	for (i = 0; wait > 0 && !w->n_ends && i < FLEET_HOLDS_MAX; i++) {
		if (w->holds[i].request)
			continue;
		w->holds[i].request = id;
		w->holds[i].deadline = loop_time_s(w) + wait / 1000;
		return;
	}
	fleet_reply(w->server, id, 200, lists_json(w));
}

static void report_second_run(const struct fleet_worker *w, uint64_t run,
			      const struct fleet_worker *other,
			      const struct fleet_run *r)
{
	size_t n = w->platform->n_domains;

	printf("%s: run %llu on %s in d%zu beside run %llu on %s in d%zu\n",
	       r->task, (unsigned long long)run, w->name, w->number % n,
	       (unsigned long long)r->run, other->name, other->number % n);
	fflush(stdout);
	w->platform->concurrent_starts_in_domain += w->number % n ==
						    other->number % n;
}

/* Reports the first run of the task that is active on any worker. */
static bool is_second_run(const struct fleet_worker *w, const char *task,
			  uint64_t run)
{
	const struct fleet_worker *other;
	size_t i, k;

	for (i = 0; i < w->platform->n_workers; i++) {
		other = &w->platform->workers[i];
		for (k = 0; k < other->n_runs; k++) {
			if (strcmp(other->runs[k].task, task))
				continue;
			report_second_run(w, run, other, &other->runs[k]);
			return true;
		}
	}
	return false;
}

static const char *start_refusal(const struct fleet_worker *w,
				 const json_t *body, const char *task,
				 uint64_t run)
{
	size_t i;

	if (lease_end_s(w, body) <= loop_time_s(w) &&
	    w->lease_ends_at <= loop_time_s(w))
		return "late";
	for (i = 0; i < w->n_ends; i++)
		if (!strcmp(w->ends[i].task, task) && w->ends[i].run >= run)
			return "old";
	return w->n_runs >= TASKS_MAX ? "room" : NULL;
}

static bool is_crashing(const json_t *body, const char *task)
{
	const char *spec = json_string_value(json_object_get(body, JOB_BODY));
	const char *index = strrchr(task, '.');

	return spec && !strcmp(spec, crash_spec) && index &&
	       !strcmp(index, ".0");
}

static double run_time_s(const struct fleet_worker *w, const json_t *body)
{
	const char *spec = json_string_value(json_object_get(body, JOB_BODY));
	size_t n = sizeof(run_spec) - 1;

	if (!spec || strncmp(spec, run_spec, n))
		return w->platform->run_ms / 1000.0;
	return strtod(spec + n, NULL) / 1000;
}

static void handle_start(struct fleet_worker *w, uint64_t id,
			 const json_t *body, const char *task, uint64_t run)
{
	const char *refusal = start_refusal(w, body, task, run);
	struct fleet_run *r;

	extend_lease(w, body);
	if (refusal) {
		reply_result(w, id, 409, refusal);
		return;
	}
	w->platform->starts++;
	if (fleet_is_evacuated(w->platform, w->number % w->platform->n_domains))
		w->platform->evacuated_starts++;
	fleet_count_start(w->platform, task);
	w->platform->concurrent_starts += is_second_run(w, task, run);
	r = &w->runs[w->n_runs++];
	copy_text(r->task, sizeof(r->task), task);
	r->run = run;
	r->began_at = loop_time_s(w);
	r->ends_at = r->began_at + run_time_s(w, body);
	r->crashes_at = 0;
	if (is_crashing(body, task))
		r->crashes_at = r->began_at + crash_after_s;
	reply_result(w, id, 200, NULL);
}

/* A start of this run that arrives later is refused as old. */
static void add_stopped(struct fleet_worker *w, const char *task, uint64_t run)
{
	struct fleet_ended_run *e;

	if (w->n_ends == FLEET_ENDS_MAX)
		memmove(w->ends, w->ends + 1, --w->n_ends * sizeof(*w->ends));
	e = &w->ends[w->n_ends++];
	e->number = ++w->last_end_number;
	copy_text(e->task, sizeof(e->task), task);
	e->run = run;
	e->outcome = "stopped";
}

static void handle_stop(struct fleet_worker *w, uint64_t id, const char *task,
			uint64_t run)
{
	bool found = false;
	size_t i;

	for (i = w->n_runs; i-- > 0;)
		if (!strcmp(w->runs[i].task, task) && w->runs[i].run <= run) {
			end_run(w, i, "stopped");
			found = true;
		}
	if (!found)
		add_stopped(w, task, run);
	reply_result(w, id, 200, NULL);
}

void fleet_worker_carry_out(struct fleet_worker *w, uint64_t id,
			    const char *path, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, CALL_TASK));
	uint64_t run = (uint64_t)json_integer_value(
		json_object_get(body, CALL_RUN));
	uint64_t fence = (uint64_t)json_integer_value(
		json_object_get(body, CALL_FENCE));

	if (fence < w->fence) {
		reply_result(w, id, 409, "fence");
		return;
	}
	w->fence = fence;
	if (!strcmp(path, CALL_HOLD_PATH))
		handle_hold(w, id, body);
	else if (!strcmp(path, CALL_START_PATH) && task)
		handle_start(w, id, body, task, run);
	else if (!strcmp(path, CALL_STOP_PATH) && task)
		handle_stop(w, id, task, run);
	else
		reply_result(w, id, 400, NULL);
}

void fleet_worker_request(void *ctx, uint64_t id,
			  const struct http_request *req)
{
	struct fleet_worker *w = ctx;
	const char *expected_instance = http_header(req,
						    HEADER_EXPECTED_INSTANCE);
	json_t *body = json_loadb(req->body.p ? req->body.p : "", req->body.n,
				  0, NULL);

	if (expected_instance && strcmp(expected_instance, w->name))
		reply_result(w, id, 421, NULL);
	else if (!fleet_late_keep(w, req->path, expected_instance, body))
		fleet_worker_carry_out(w, id, req->path, body);
	json_decref(body);
}

void fleet_worker_client_gone(void *ctx, uint64_t id)
{
	struct fleet_worker *w = ctx;
	size_t i;

	for (i = 0; i < FLEET_HOLDS_MAX; i++)
		if (w->holds[i].request == id)
			w->holds[i].request = 0;
}

void fleet_worker_tick(struct fleet_worker *w)
{
	uint64_t id;
	size_t i;

	if (w->restarts_at && loop_time_s(w) >= w->restarts_at)
		fleet_worker_restart(w);
	fleet_late_tick(w);
	for (i = 0; i < w->n_runs; i++)
		if (w->runs[i].crashes_at &&
		    loop_time_s(w) >= w->runs[i].crashes_at)
			break;
	if (i < w->n_runs)
		fleet_worker_crash(w);
	for (i = w->n_runs; i-- > 0;) {
		if (loop_time_s(w) > w->lease_ends_at)
			end_run(w, i, "lapsed");
		else if (loop_time_s(w) >= w->runs[i].ends_at)
			end_run(w, i, "done");
	}
	for (i = 0; i < FLEET_HOLDS_MAX; i++) {
		id = w->holds[i].request;
		if (!id ||
		    (!w->n_ends && loop_time_s(w) < w->holds[i].deadline))
			continue;
		w->holds[i].request = 0;
		fleet_reply(w->server, id, 200, lists_json(w));
	}
}
