/* Calls to the simulated workers and their answers. */
#include <stdlib.h>
#include <string.h>

#include "fleet_sim_internal.h"
#include "util/alloc.h"

static bool happens_percent(struct fsim *s, unsigned percent)
{
	return rng_below(&s->rng, 100) < percent;
}

static int worker_index(const struct fsim *s, const char *name)
{
	int i;

	for (i = 0; i < FSIM_WORKERS; i++)
		if (!strcmp(s->workers[i].info.name, name))
			return i;
	return -1;
}

static struct fsim_event *call_new(struct fsim_instance *i, enum call_kind kind,
				   const struct drive_worker *w, uint64_t call)
{
	struct fsim *s = i->sim;
	struct fsim_event *e = fsim_event_new(EVENT_CALL, s->now + DELAY_MS, i);

	e->call_kind = kind;
	e->worker = worker_index(s, w->name);
	copy_text(e->worker_name, sizeof(e->worker_name), w->name);
	e->call = call;
	e->sent_at = s->now;
	e->timeout_at = s->now + CALL_TIMEOUT_MS;
	e->late = happens_percent(s, s->late_percent);
	return e;
}

static bool reaches_worker(const struct fsim *s, int instance, int worker)
{
	return s->workers[worker].up && !s->workers[worker].cut &&
	       fsim_domains_reach(s, s->instances[instance].domain,
				  s->workers[worker].domain);
}

static void send_call(struct fsim *s, struct fsim_event *e)
{
	struct fsim_event *timeout;

	/*
	 * A probe must have exactly one answer. Of the answers to another call
	 * only the first counts.
	 */
	if (e->call == FLEET_PROBE_CALL) {
		if (e->worker >= 0 &&
		    reaches_worker(s, e->instance, e->worker)) {
			fsim_event_push(s, e);
			return;
		}
		e->kind = EVENT_ANSWER;
		e->at = e->timeout_at;
		e->lists.answer.result = DRIVE_CALL_UNANSWERED;
		fsim_event_push(s, e);
		return;
	}
	/* The call times out unless it is answered before. */
	timeout = xcalloc(1, sizeof(*timeout));
	*timeout = *e;
	timeout->kind = EVENT_ANSWER;
	timeout->at = e->timeout_at;
	timeout->lists.answer.result = DRIVE_CALL_UNANSWERED;
	fsim_event_push(s, timeout);
	if (e->late)
		e->at += LATE_MIN_MS +
			 (int64_t)rng_below(&s->rng, LATE_SPREAD_MS);
	fsim_event_push(s, e);
}

static void set_limit(struct fsim_event *e, const struct fsim *s,
		      uint32_t timeout_ms)
{
	if (timeout_ms)
		e->timeout_at = s->now + timeout_ms;
}

void fsim_on_start(void *ctx, const struct drive_start *call)
{
	struct fsim_instance *i = ctx;
	struct fsim_event *e = call_new(i, CALL_START, call->worker,
					call->call);

	e->task = *call->task;
	e->run = call->run;
	e->fence = call->fence;
	e->lease_expires_at = call->lease_expires_at;
	set_limit(e, i->sim, call->timeout_ms);
	fsim_use_processor(i, i->sim->start_us);
	send_call(i->sim, e);
}

void fsim_on_stop(void *ctx, const struct drive_stop *call)
{
	struct fsim_instance *i = ctx;
	struct fsim_event *e = call_new(i, CALL_STOP, call->worker, call->call);

	e->task = *call->task;
	e->run = call->run;
	e->fence = call->fence;
	send_call(i->sim, e);
}

void fsim_on_hold(void *ctx, const struct drive_hold *call)
{
	struct fsim_instance *i = ctx;
	struct fsim_event *e = call_new(i, CALL_HOLD, call->worker, call->call);

	e->fence = call->fence;
	e->cursor = call->cursor;
	e->lease_expires_at = call->lease_expires_at;
	e->wait_until = i->sim->now + call->wait_ms;
	set_limit(e, i->sim, call->timeout_ms);
	e->timeout_at += call->wait_ms;
	send_call(i->sim, e);
}

static uint32_t percent_done(const struct fsim *s, const struct fsim_run *r)
{
	if (r->ends_at <= r->began_at)
		return 0;
	return (uint32_t)((s->now - r->began_at) * 100 /
			  (r->ends_at - r->began_at));
}

static void fill_lists(const struct fsim *s, struct fsim_event *e,
		       const struct fsim_worker *w)
{
	struct drive_active_run *running = xcalloc(FSIM_RUNS, sizeof(*running));
	struct drive_ended_run *ended = xcalloc(FSIM_ENDS, sizeof(*ended));
	size_t i;

	for (i = 0; i < w->n_runs; i++) {
		running[i].task = w->runs[i].task;
		running[i].run = w->runs[i].number;
		running[i].percent = percent_done(s, &w->runs[i]);
	}
	for (i = 0; i < w->n_ends; i++) {
		ended[i].sequence = w->ends[i].sequence;
		ended[i].task = w->ends[i].task;
		ended[i].run = w->ends[i].run;
		ended[i].result = w->ends[i].result;
	}
	e->lists.running = running;
	e->lists.n_running = w->n_runs;
	e->lists.ended = ended;
	e->lists.n_ended = w->n_ends;
}

static void answer_call(struct fsim *s, struct fsim_event *e,
			enum drive_call_result result)
{
	struct fsim_worker *w = &s->workers[e->worker];

	e->lists.answer.result = result;
	e->lists.answer.has_clock = true;
	e->lists.answer.clock_ms = s->now - s->now / 50 + w->clock_offset_ms;
	/* Only lists are sure to say it. */
	if (e->call_kind == CALL_HOLD || e->call % 2)
		e->lists.answer.born_ms = w->info.born_ms;
	if (e->call_kind == CALL_HOLD && result == DRIVE_CALL_DONE)
		fill_lists(s, e, w);
	e->kind = EVENT_ANSWER;
	e->at = s->now + DELAY_MS;
	fsim_event_push(s, e);
}

/* Whether the worker's machine answers that no process listens. */
static bool is_refused(const struct fsim *s, const struct fsim_event *e)
{
	const struct fsim_worker *w = &s->workers[e->worker];

	return w->restarts_at && !w->cut && !e->late &&
	       fsim_domains_reach(s, s->instances[e->instance].domain,
				  w->domain);
}

static void refuse_call(struct fsim *s, struct fsim_event *e)
{
	e->lists.answer.result = DRIVE_CALL_NO_LISTENER;
	e->kind = EVENT_ANSWER;
	e->at = s->now + DELAY_MS;
	fsim_event_push(s, e);
}

void fsim_execute_call(struct fsim *s, struct fsim_event *e)
{
	struct fsim_worker *w;
	enum drive_call_result result;

	if (e->worker >= 0 && is_refused(s, e)) {
		refuse_call(s, e);
		return;
	}
	if (e->worker < 0 || !reaches_worker(s, e->instance, e->worker)) {
		fsim_event_free(e);
		return;
	}
	w = &s->workers[e->worker];
	if (e->call_kind == CALL_STOP && w->loses_stops) {
		fsim_event_free(e);
		return;
	}
	if (strcmp(w->info.name, e->worker_name)) {
		answer_call(s, e, DRIVE_CALL_OTHER_INCARNATION);
		return;
	}
	w->call_sent_at = e->sent_at;
	s->starter = e->instance;
	if (e->call_kind == CALL_START)
		result = fsim_worker_start(s, w, &e->task, e->run, e->fence,
					   e->lease_expires_at);
	else if (e->call_kind == CALL_STOP)
		result = fsim_worker_stop(s, w, &e->task, e->run, e->fence);
	else
		result = fsim_worker_hold(s, w, e->fence, e->cursor,
					  e->lease_expires_at);
	if (e->call_kind == CALL_START && result == DRIVE_CALL_DONE) {
		fsim_check_evacuation(s, e);
		fsim_check_drain(s, e);
	}
	if (e->late || w->loses_answers) {
		fsim_event_free(e);
		return;
	}
	if (e->call_kind == CALL_HOLD && result == DRIVE_CALL_DONE &&
	    !w->n_ends && s->now < e->wait_until) {
		e->at = s->now + DELAY_MS;
		e->lease_expires_at = 0; /* the lease is already granted */
		fsim_event_push(s, e);
		return;
	}
	answer_call(s, e, result);
}

void fsim_deliver_answer(struct fsim *s, struct fsim_instance *i,
			 struct fsim_event *e)
{
	if (e->lists.answer.result != DRIVE_CALL_UNANSWERED &&
	    e->lists.answer.result != DRIVE_CALL_NO_LISTENER &&
	    (e->at > e->timeout_at ||
	     !reaches_worker(s, e->instance, e->worker)))
		return;
	if (e->call_kind == CALL_START)
		cells_start_answered(i->cells, s->now, e->call,
				     &e->lists.answer);
	else if (e->call_kind == CALL_STOP)
		cells_stop_answered(i->cells, s->now, e->call,
				    &e->lists.answer);
	else
		cells_hold_answered(i->cells, s->now, e->call, &e->lists);
}
