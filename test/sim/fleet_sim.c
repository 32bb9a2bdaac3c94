#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_sim.h"
#include "protocol/wire.h"
#include "util/alloc.h"
#include "util/invariant.h"
#include "util/log.h"

enum {
	TICK_MS = 10,
	DELAY_MS = 1, /* of a message, one way */
	STORE_TIMEOUT_MS = 1000,
	CALL_TIMEOUT_MS = 120, /* until a call counts as unanswered */
	RETRY_MS = 1300,
	DEADLINE_MS = 2200,
	EARLY_LEAVE_MS = 300,
	LINK_INTERVAL_MS = 200, /* between attempts to open links */
	LEASE_MS = 1000,
	HOLD_WAIT_MS = 200,
	US_PER_MS = 1000,
	OLD_NUMBERS = 4, /* of a heartbeat of the first version */
	OLD_FLAGS = 3,
	LATE_MIN_MS = 2000,
	LATE_SPREAD_MS = 10000
};

enum event_kind {
	EVENT_MESSAGE,
	EVENT_CALL, /* a call reaches its worker */
	EVENT_ANSWER,
	EVENT_LIST,
	EVENT_CALLER_DISCONNECTED
};

enum call_kind { CALL_START, CALL_STOP, CALL_HOLD };

struct fsim_event {
	struct fsim_event *next;
	int64_t at;
	int64_t arrived_at; /* zero: not at a busy instance yet */
	enum event_kind kind;
	int instance; /* the receiver, or the sender of a call */
	uint64_t incarnation; /* incarnation of `instance` */
	uint64_t sender_or_tag; /* a message's sender, or a job's tag */
	void *bytes;
	size_t len;
	/* a call to a worker */
	enum call_kind call_kind;
	int worker;
	char worker_name[SYC_NAME_MAX];
	uint64_t call;
	struct drive_task task;
	uint32_t run;
	uint64_t fence, cursor;
	int64_t lease_expires_at;
	int64_t wait_until; /* a hold is answered then or at a run's end */
	int64_t timeout_at; /* when the call counts as unanswered */
	bool late; /* carried out late, or lost, and never answered */
	struct drive_hold_answer lists;
};

static void push_event(struct fsim *s, struct fsim_event *e)
{
	struct fsim_event **at = &s->events;

	while (*at && (*at)->at <= e->at)
		at = &(*at)->next;
	e->next = *at;
	*at = e;
}

static struct fsim_event *event_new(enum event_kind kind, int64_t at,
				    const struct fsim_instance *i)
{
	struct fsim_event *e = xcalloc(1, sizeof(*e));

	e->kind = kind;
	e->at = at;
	e->instance = (int)(i - i->sim->instances);
	e->incarnation = i->instance.id;
	return e;
}

static void event_free(struct fsim_event *e)
{
	free(e->bytes);
	free((void *)(uintptr_t)e->lists.running);
	free((void *)(uintptr_t)e->lists.ended);
	free(e);
}

static bool happens_percent(struct fsim *s, unsigned percent)
{
	return rng_below(&s->rng, 100) < percent;
}

static bool domains_reach(const struct fsim *s, int a, int b)
{
	return a == b || (!s->domain_cut[a] && !s->domain_cut[b]);
}

static bool instances_reach(const struct fsim *s, int a, int b)
{
	const struct fsim_instance *x = &s->instances[a];
	const struct fsim_instance *y = &s->instances[b];

	return !x->cut && !y->cut && domains_reach(s, x->domain, y->domain);
}

static struct fsim_instance *find_incarnation(struct fsim *s, uint64_t id)
{
	int i;

	for (i = 0; i < s->n_instances; i++)
		if (s->instances[i].fleet && s->instances[i].instance.id == id)
			return &s->instances[i];
	return NULL;
}

/* Callbacks of an instance. */

static int64_t sim_clock(void *ctx)
{
	struct fsim_instance *i = ctx;

	return i->sim->now;
}

static int64_t sim_wall_clock(void *ctx)
{
	struct fsim_instance *i = ctx;

	return i->sim->now + 1700000000000LL;
}

/* open_links links all instances that reach each other, without dialling. */
static void on_dial(void *ctx, const struct syc_addr *addr)
{
}

/* Repacks a heartbeat with the fields that the first version had. */
static void cut_newer_fields(struct fsim_event *e)
{
	struct syc_bytes msg = {e->bytes, e->len};
	auto_wire_out struct wire_out out = {0};
	struct wire_in in;
	int i;

	wire_open(&in, msg);
	wire_begin(&out, SYC_PEER_FLEET_HEARTBEAT, OLD_NUMBERS + OLD_FLAGS);
	for (i = 0; i < OLD_NUMBERS; i++)
		wire_put_u64(&out, wire_u64(&in));
	for (i = 0; i < OLD_FLAGS; i++)
		wire_put_bool(&out, wire_bool(&in));
	invariant(wire_close(&in));
	free(e->bytes);
	e->len = wire_bytes(&out).n;
	e->bytes = xmemdup(wire_bytes(&out).p, e->len);
}

static bool on_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct fsim_instance *i = ctx;
	struct fsim *s = i->sim;
	struct fsim_instance *peer = find_incarnation(s, to);
	struct fsim_event *e;
	int a = (int)(i - s->instances);

	if (!peer || !s->linked[a][peer - s->instances])
		return false;
	e = event_new(EVENT_MESSAGE, s->now + DELAY_MS, peer);
	e->sender_or_tag = i->instance.id;
	e->bytes = xmemdup(msg.p, msg.n);
	e->len = msg.n;
	if (s->first_is_old && !a && wire_type(msg) == SYC_PEER_FLEET_HEARTBEAT)
		cut_newer_fields(e);
	push_event(s, e);
	return true;
}

static void on_answer(void *ctx, uint64_t tag,
		      const struct fleet_answer *answer)
{
	struct fsim_instance *i = ctx;
	struct fsim *s = i->sim;
	struct fsim_job *j = &s->jobs[tag - 1];

	if (j->home != i - s->instances ||
	    j->home_incarnation != i->instance.id)
		return;
	j->home = -1;
	if (answer->outcome == FLEET_NOT_RUN && j->started &&
	    !j->may_have_run) {
		if (!s->n_false_refusals++ && !s->n_double_runs)
			snprintf(s->message, sizeof(s->message),
				 "at %lld ms: %.20s refused as not run (%.40s)",
				 (long long)s->now, j->id, answer->reason);
	}
	if (answer->outcome == FLEET_UNKNOWN) {
		j->may_have_run = true;
		j->retry_at = s->now + RETRY_MS;
		return;
	}
	j->answered = true;
	j->outcome = answer->outcome;
	j->ended_at = s->now;
}

static uint64_t on_config(void *ctx, struct syc_bytes text, const char *from)
{
	struct fsim_instance *i = ctx;
	uint64_t version = 0;
	size_t k;

	for (k = 0; k < text.n; k++)
		version = version * 10 +
			  (uint64_t)(((const char *)text.p)[k] - '0');
	if (version <= i->config_version)
		return 0;
	i->config_version = version;
	return version;
}

void fsim_put_config(struct fsim *s)
{
	char text[24];

	invariant(s->n_configs + 1 < FSIM_CONFIGS);
	s->config_put_at[++s->n_configs] = s->now;
	snprintf(text, sizeof(text), "%llu", (unsigned long long)s->n_configs);
	fake_store_put(&s->store, "config", text);
}

bool fsim_reaches_store(const struct fsim *s, const struct fsim_instance *i)
{
	const struct fake_store *store = &s->store;

	return i->fleet && s->now >= i->paused_until && !store->down &&
	       !store->silent && !store->busy && !i->store->cut &&
	       !i->store->silent && !store->late_reply_percent &&
	       !store->stale_read_percent;
}

/* The newest version that the store confirmed FSIM_CONFIG_APPLY_MS ago. */
static uint64_t due_config(const struct fsim *s)
{
	uint64_t version = s->n_configs;

	while (version &&
	       s->now - s->config_put_at[version] < FSIM_CONFIG_APPLY_MS)
		version--;
	return version;
}

/* Checks that the instances that the store answers are up to date. */
static void check_configs(struct fsim *s)
{
	uint64_t due = due_config(s);
	int k;

	for (k = 0; k < s->n_instances; k++) {
		struct fsim_instance *i = &s->instances[k];

		if (!fsim_reaches_store(s, i))
			i->store_reached_since = s->now;
		if (s->now - i->store_reached_since < FSIM_CONFIG_APPLY_MS ||
		    i->config_version >= due || s->n_late_configs++)
			continue;
		snprintf(s->message, sizeof(s->message),
			 "at %lld ms: i%d has configuration %llu, not %llu",
			 (long long)s->now, k,
			 (unsigned long long)i->config_version,
			 (unsigned long long)due);
	}
}

static void on_read_workers(void *ctx)
{
	struct fsim_instance *i = ctx;
	struct fsim *s = i->sim;
	struct fsim_event *e = event_new(EVENT_LIST, s->now + 5, i);

	if (s->store.silent || i->store->silent || s->lose_lists) {
		s->lose_lists -= s->lose_lists > 0;
		e->late = true;
		e->at = s->now + STORE_TIMEOUT_MS;
	}
	push_event(s, e);
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
	struct fsim_event *e = event_new(EVENT_CALL, s->now + DELAY_MS, i);

	e->call_kind = kind;
	e->worker = worker_index(s, w->name);
	copy_text(e->worker_name, sizeof(e->worker_name), w->name);
	e->call = call;
	e->timeout_at = s->now + CALL_TIMEOUT_MS;
	e->late = happens_percent(s, s->late_percent);
	return e;
}

static bool reaches_worker(const struct fsim *s, int instance, int worker)
{
	return s->workers[worker].up && !s->workers[worker].cut &&
	       domains_reach(s, s->instances[instance].domain,
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
			push_event(s, e);
			return;
		}
		e->kind = EVENT_ANSWER;
		e->at = e->timeout_at;
		e->lists.answer.result = DRIVE_CALL_UNANSWERED;
		push_event(s, e);
		return;
	}
	/* The call times out unless it is answered before. */
	timeout = xcalloc(1, sizeof(*timeout));
	*timeout = *e;
	timeout->kind = EVENT_ANSWER;
	timeout->at = e->timeout_at;
	timeout->lists.answer.result = DRIVE_CALL_UNANSWERED;
	push_event(s, timeout);
	if (e->late)
		e->at += LATE_MIN_MS +
			 (int64_t)rng_below(&s->rng, LATE_SPREAD_MS);
	push_event(s, e);
}

static int64_t late_us(const struct fsim_instance *i)
{
	int64_t us = i->busy_until_us - i->sim->now * US_PER_MS;

	return us > 0 ? us : 0;
}

static uint32_t on_get_late_ms(void *ctx)
{
	const struct fsim_instance *i = ctx;

	return i->event_late_ms;
}

static void use_processor(struct fsim_instance *i, uint32_t us)
{
	i->busy_until_us = i->sim->now * US_PER_MS + late_us(i) + us;
}

static void on_start(void *ctx, const struct drive_start *call)
{
	struct fsim_instance *i = ctx;
	struct fsim_event *e = call_new(i, CALL_START, call->worker,
					call->call);

	e->task = *call->task;
	e->run = call->run;
	e->fence = call->fence;
	e->lease_expires_at = call->lease_expires_at;
	use_processor(i, i->sim->start_us);
	send_call(i->sim, e);
}

static void on_stop(void *ctx, const struct drive_stop *call)
{
	struct fsim_instance *i = ctx;
	struct fsim_event *e = call_new(i, CALL_STOP, call->worker, call->call);

	e->task = *call->task;
	e->run = call->run;
	e->fence = call->fence;
	send_call(i->sim, e);
}

static void on_hold(void *ctx, const struct drive_hold *call)
{
	struct fsim_instance *i = ctx;
	struct fsim_event *e = call_new(i, CALL_HOLD, call->worker, call->call);

	e->fence = call->fence;
	e->cursor = call->cursor;
	e->lease_expires_at = call->lease_expires_at;
	e->wait_until = i->sim->now + call->wait_ms;
	e->timeout_at += call->wait_ms;
	send_call(i->sim, e);
}

/* Workers and their answers. */

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
	if (e->call_kind == CALL_HOLD && result == DRIVE_CALL_DONE)
		fill_lists(s, e, w);
	e->kind = EVENT_ANSWER;
	e->at = s->now + DELAY_MS;
	push_event(s, e);
}

static void execute_call(struct fsim *s, struct fsim_event *e)
{
	struct fsim_worker *w;
	enum drive_call_result result;

	if (e->worker < 0 || !reaches_worker(s, e->instance, e->worker)) {
		event_free(e);
		return;
	}
	w = &s->workers[e->worker];
	if (strcmp(w->info.name, e->worker_name)) {
		answer_call(s, e, DRIVE_CALL_OTHER_INCARNATION);
		return;
	}
	if (e->call_kind == CALL_START)
		result = fsim_worker_start(s, w, &e->task, e->run, e->fence,
					   e->lease_expires_at);
	else if (e->call_kind == CALL_STOP)
		result = fsim_worker_stop(s, w, &e->task, e->run, e->fence);
	else
		result = fsim_worker_hold(s, w, e->fence, e->cursor,
					  e->lease_expires_at);
	if (e->late || w->loses_answers) {
		event_free(e);
		return;
	}
	if (e->call_kind == CALL_HOLD && result == DRIVE_CALL_DONE &&
	    !w->n_ends && s->now < e->wait_until) {
		e->at = s->now + DELAY_MS;
		e->lease_expires_at = 0; /* the lease is already granted */
		push_event(s, e);
		return;
	}
	answer_call(s, e, result);
}

static void deliver_answer(struct fsim *s, struct fsim_instance *i,
			   struct fsim_event *e)
{
	if (e->lists.answer.result != DRIVE_CALL_UNANSWERED &&
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

static void deliver_list(struct fsim *s, struct fsim_instance *i, bool lost)
{
	struct drive_worker list[FSIM_WORKERS];
	size_t n = 0;
	int k;

	if (lost || !fsim_reaches_store(s, i)) {
		cells_set_workers(i->cells, s->now, NULL, 0);
		return;
	}
	for (k = 0; k < FSIM_WORKERS; k++)
		if (s->workers[k].listed)
			list[n++] = s->workers[k].info;
	cells_set_workers(i->cells, s->now, list, n);
}

static void handle_event(struct fsim *s, struct fsim_event *e)
{
	struct fsim_instance *i = &s->instances[e->instance];

	if (e->kind == EVENT_CALL) {
		execute_call(s, e);
		return;
	}
	if (!i->fleet || i->instance.id != e->incarnation) {
		event_free(e);
		return;
	}
	if (s->now < i->paused_until) {
		e->at = i->paused_until;
		push_event(s, e);
		return;
	}
	if (!e->arrived_at)
		e->arrived_at = s->now;
	if (late_us(i) >= US_PER_MS) {
		e->at = s->now + late_us(i) / US_PER_MS;
		push_event(s, e);
		return;
	}
	use_processor(i, s->event_us);
	i->event_late_ms = (uint32_t)(s->now - e->arrived_at);
	log_context_set(i->instance.name);
	if (e->kind == EVENT_MESSAGE) {
		struct syc_bytes msg = {e->bytes, e->len};
		struct fsim_instance *from = find_incarnation(s,
							      e->sender_or_tag);

		if (from && s->linked[from - s->instances][e->instance])
			cells_receive(i->cells, s->now, e->sender_or_tag, msg);
	} else if (e->kind == EVENT_ANSWER) {
		deliver_answer(s, i, e);
	} else if (e->kind == EVENT_CALLER_DISCONNECTED) {
		cells_cancel(i->cells, s->now, e->sender_or_tag);
	} else {
		deliver_list(s, i, e->late);
	}
	event_free(e);
}

/* Callers. */

static int pick_home(struct fsim *s, int domain)
{
	int k, at = (int)rng_below(&s->rng, s->n_instances);
	const char *why;

	for (k = 0; k < s->n_instances; k++, at = (at + 1) % s->n_instances) {
		const struct fsim_instance *i = &s->instances[at];

		if (i->fleet && i->domain == domain &&
		    s->now >= i->paused_until)
			return at;
	}
	for (k = 0; k < s->n_instances; k++, at = (at + 1) % s->n_instances) {
		const struct fsim_instance *i = &s->instances[at];

		if (i->fleet && s->now >= i->paused_until &&
		    cells_is_ready(i->cells, &why))
			return at;
	}
	return -1;
}

static void submit_job(struct fsim *s, struct fsim_job *j)
{
	int home = pick_home(s, j->domain);
	struct drive_job spec = {
		.id = j->id,
		.service = "s",
		.route = "r",
		.label = "",
		.attempts_max = 3,
		.n_tasks = j->n_tasks,
		.cpu_milli = 8000,
		.memory_mb = 64,
		.estimate_ms = j->run_ms,
		.objective_percent = 160,
		.objective_add_ms = s->objective_add_ms,
		.deadline_ms = DEADLINE_MS,
		.body = {"x", 1},
	};

	if (home < 0) {
		j->retry_at = s->now + RETRY_MS;
		return;
	}
	j->home = home;
	j->home_incarnation = s->instances[home].instance.id;
	j->sent_at = s->now;
	j->deadline_at = s->now + DEADLINE_MS;
	j->retry_at = 0;
	log_context_set(s->instances[home].instance.name);
	cells_submit(s->instances[home].cells, s->now,
		     (uint64_t)(j - s->jobs) + 1, &spec);
}

/*
 * Returns whether the caller of an unreachable home tries another instance
 * before its deadline.
 */
static bool leaves_early(const struct fsim *s, const struct fsim_job *j)
{
	const struct fsim_instance *i = &s->instances[j->home];

	return s->callers_leave_early &&
	       s->now >= j->sent_at + EARLY_LEAVE_MS &&
	       (i->cut || s->now < i->paused_until);
}

/*
 * Cancels the job at its home `i`. A paused home learns that the caller has
 * disconnected when it resumes.
 */
static void cancel_at_home(struct fsim *s, struct fsim_instance *i,
			   const struct fsim_job *j)
{
	uint64_t tag = (uint64_t)(j - s->jobs) + 1;
	struct fsim_event *e;

	if (s->now >= i->paused_until) {
		log_context_set(i->instance.name);
		cells_cancel(i->cells, s->now, tag);
		return;
	}
	e = event_new(EVENT_CALLER_DISCONNECTED, i->paused_until, i);
	e->sender_or_tag = tag;
	push_event(s, e);
}

static void tick_caller(struct fsim *s, struct fsim_job *j)
{
	struct fsim_instance *i;

	if (j->answered)
		return;
	if (j->retry_at && s->now >= j->retry_at) {
		submit_job(s, j);
		return;
	}
	if (j->home < 0)
		return;
	i = &s->instances[j->home];
	if (i->fleet && i->instance.id == j->home_incarnation &&
	    s->now < j->deadline_at && !leaves_early(s, j))
		return;
	if (i->fleet && i->instance.id == j->home_incarnation)
		cancel_at_home(s, i, j);
	j->home = -1;
	j->may_have_run = true;
	j->retry_at = s->now + RETRY_MS;
}

void fsim_submit(struct fsim *s, int domain, uint32_t n_tasks, uint32_t run_ms)
{
	struct fsim_job *j;

	invariant(s->n_jobs < FSIM_JOBS);
	j = &s->jobs[s->n_jobs++];
	snprintf(j->id, sizeof(j->id), "%016llx",
		 (unsigned long long)rng_next(&s->rng));
	j->domain = domain;
	j->n_tasks = n_tasks;
	j->run_ms = run_ms;
	j->began_at = s->now;
	submit_job(s, j);
}

/* Instances and links. */

struct fsim_client {
	struct fsim_client *next;
	struct fake_store_client store;
};

static struct fake_store_client *client_new(struct fsim *s)
{
	struct fsim_client *c = xcalloc(1, sizeof(*c));

	c->store.store = &s->store;
	c->next = s->clients;
	s->clients = c;
	return &c->store;
}

void fsim_start(struct fsim *s, int instance)
{
	struct fsim_instance *i = &s->instances[instance];
	struct fleet_options opt;

	if (i->fleet)
		return;
	i->instance.id = ++s->next_id;
	snprintf(i->instance.name, sizeof(i->instance.name), "i%d", instance);
	i->store = client_new(s);
	opt = (struct fleet_options){
		.self = i->instance,
		.clock = {sim_clock, i},
		.wall_clock = {sim_wall_clock, i},
		.store = fake_store_ops(i->store),
		.config_key = "config",
		.config_apply_ms = FSIM_CONFIG_APPLY_MS,
		.divided_workers_min = FSIM_WORKERS,
		.cell_workers_min = s->divided ? FSIM_WORKERS / FSIM_DOMAINS
					       : 0,
		.capacity = i->capacity,
		.lease_ms = LEASE_MS,
		.hold_wait_ms = HOLD_WAIT_MS,
		.ctx = i,
		.dial = on_dial,
		.send = on_send,
		.answer = on_answer,
		.config = on_config,
		.read_workers = on_read_workers,
		.start = on_start,
		.stop = on_stop,
		.hold = on_hold,
		.get_late_ms = on_get_late_ms,
	};
	i->paused_until = 0;
	i->busy_until_us = 0;
	i->next_tick_at = 0;
	i->config_version = 0;
	i->store_reached_since = s->now;
	i->cells = cells_new(&opt, s->now);
	i->fleet = cells_whole(i->cells);
}

static void unlink_instances(struct fsim *s, int a, int b)
{
	s->linked[a][b] = false;
	if (s->instances[a].fleet)
		cells_peer_down(s->instances[a].cells, s->now,
				s->instances[b].instance.id);
}

void fsim_kill(struct fsim *s, int instance)
{
	struct fsim_instance *i = &s->instances[instance];
	int k;

	if (!i->fleet)
		return;
	fake_store_end_client(i->store);
	cells_free(i->cells);
	i->cells = NULL;
	i->fleet = NULL;
	for (k = 0; k < s->n_instances; k++) {
		s->linked[instance][k] = false;
		if (k != instance && s->linked[k][instance])
			unlink_instances(s, k, instance);
	}
}

void fsim_pause(struct fsim *s, int instance, int64_t ms)
{
	s->instances[instance].paused_until = s->now + ms;
}

void fsim_leave(struct fsim *s, int instance)
{
	if (s->instances[instance].fleet)
		cells_leave(s->instances[instance].cells, s->now);
}

void fsim_cut_domain(struct fsim *s, int domain, bool cut)
{
	s->domain_cut[domain] = cut;
}

void fsim_cut_instance(struct fsim *s, int instance, bool cut)
{
	s->instances[instance].cut = cut;
}

void fsim_restart_worker(struct fsim *s, int worker)
{
	struct fsim_worker *w = &s->workers[worker];
	int domain = w->domain;
	bool cut = w->cut;

	memset(w, 0, sizeof(*w));
	w->domain = domain;
	w->cut = cut;
	w->up = w->listed = true;
	w->clock_offset_ms = (int64_t)rng_below(&s->rng, 1000000);
	w->info.cpu_milli = 16000;
	w->info.memory_mb = 65536;
	snprintf(w->info.name, sizeof(w->info.name), "w%d-%llu", worker,
		 (unsigned long long)++s->next_id);
	snprintf(w->info.domain, sizeof(w->info.domain), "d%d", domain);
	copy_text(w->info.service, sizeof(w->info.service), "s");
}

void fsim_set_listed(struct fsim *s, int worker, bool listed)
{
	s->workers[worker].listed = listed;
}

static void open_links(struct fsim *s)
{
	int a, b;

	for (a = 0; a < s->n_instances; a++) {
		for (b = 0; b < s->n_instances; b++) {
			bool can_link = a != b && s->instances[a].fleet &&
					s->instances[b].fleet &&
					instances_reach(s, a, b);

			if (can_link && !s->linked[a][b]) {
				s->linked[a][b] = true;
				cells_peer_up(s->instances[a].cells, s->now,
					      &s->instances[b].instance);
			} else if (!can_link && s->linked[a][b]) {
				unlink_instances(s, a, b);
			}
		}
	}
}

/* Closes the links over a cut at once. open_links opens them again. */
static void close_cut_links(struct fsim *s)
{
	int a, b;

	for (a = 0; a < s->n_instances; a++)
		for (b = 0; b < s->n_instances; b++)
			if (s->linked[a][b] && !instances_reach(s, a, b))
				unlink_instances(s, a, b);
}

static void advance_one_ms(struct fsim *s)
{
	size_t i;
	int k;

	s->now++;
	log_clock_set(s->now);
	close_cut_links(s);
	if (s->now % LINK_INTERVAL_MS == 0)
		open_links(s);
	for (k = 0; k < s->n_instances; k++)
		s->instances[k].store->paused = s->now <
						s->instances[k].paused_until;
	fake_store_run(&s->store, s->now);
	for (k = 0; k < FSIM_WORKERS; k++)
		fsim_worker_tick(s, &s->workers[k]);
	while (s->events && s->events->at <= s->now) {
		struct fsim_event *e = s->events;

		s->events = e->next;
		handle_event(s, e);
	}
	for (k = 0; k < s->n_instances; k++) {
		struct fsim_instance *in = &s->instances[k];

		if (in->fleet && s->now >= in->paused_until &&
		    (s->now + k) % TICK_MS == 0 && s->now >= in->next_tick_at) {
			/* A late loop reaches its timers once a turn. */
			in->next_tick_at = s->now + late_us(in) / US_PER_MS;
			log_context_set(in->instance.name);
			cells_tick(in->cells, s->now);
		}
	}
	for (i = 0; i < s->n_jobs; i++)
		tick_caller(s, &s->jobs[i]);
	check_configs(s);
}

void fsim_run(struct fsim *s, int64_t ms)
{
	int64_t until = s->now + ms;

	while (s->now < until)
		advance_one_ms(s);
}

int fsim_find_driver(const struct fsim *s)
{
	int k;

	for (k = 0; k < s->n_instances; k++)
		if (s->instances[k].cells &&
		    fleet_is_driver(cells_own(s->instances[k].cells)))
			return k;
	return -1;
}

size_t fsim_count_outcomes(const struct fsim *s, enum fleet_outcome outcome)
{
	size_t i, n = 0;

	for (i = 0; i < s->n_jobs; i++)
		n += s->jobs[i].answered && s->jobs[i].outcome == outcome;
	return n;
}

static struct fsim *sim_new(uint64_t seed, bool divided, bool first_is_old)
{
	struct fsim *s = xcalloc(1, sizeof(*s));
	int k;

	s->divided = divided;
	s->first_is_old = first_is_old;
	s->objective_add_ms = 1000;
	s->n_instances = divided ? FSIM_INSTANCES_MAX : FSIM_INSTANCES;

	s->rng.state = seed;
	s->store.rng.state = seed + 1;
	s->store.delay_ms = 2;
	s->store.timeout_ms = STORE_TIMEOUT_MS;
	fsim_put_config(s);
	s->now = 1000000;
	s->store.now = s->now;
	for (k = 0; k < FSIM_WORKERS; k++) {
		s->workers[k].domain = k % FSIM_DOMAINS;
		fsim_restart_worker(s, k);
	}
	for (k = 0; k < s->n_instances; k++) {
		s->instances[k].sim = s;
		s->instances[k].domain = k % FSIM_DOMAINS;
		snprintf(s->instances[k].instance.domain, SYC_NAME_MAX, "d%d",
			 k % FSIM_DOMAINS);
		fsim_start(s, k);
	}
	fsim_run(s, 3000);
	return s;
}

struct fsim *fsim_new(uint64_t seed)
{
	return sim_new(seed, false, false);
}

struct fsim *fsim_new_divided(uint64_t seed)
{
	return sim_new(seed, true, false);
}

struct fsim *fsim_new_divided_with_old(uint64_t seed)
{
	return sim_new(seed, true, true);
}

void fsim_free(struct fsim *s)
{
	struct fsim_client *c;
	struct fsim_event *e;
	int k;

	for (k = 0; k < s->n_instances; k++)
		fsim_kill(s, k);
	while ((e = s->events)) {
		s->events = e->next;
		event_free(e);
	}
	fake_store_run(&s->store, s->now + 1000000);
	while ((c = s->clients)) {
		s->clients = c->next;
		free(c);
	}
	for (k = 0; k < (int)s->store.n_keys; k++) {
		free(s->store.keys[k].val);
		free(s->store.keys[k].old_val);
	}
	free(s);
}
