#include "dispatch_cluster.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

enum event_type {
	EVENT_TICK,
	EVENT_MESSAGE,
	EVENT_START,
	EVENT_END,
	EVENT_RESULT,
	EVENT_MAP
};

struct event {
	struct heap_node node;
	enum event_type type;
	int instance;
	uint64_t sender_or_epoch; /* the epoch in EVENT_MAP */
	int target;
	uint64_t send_id;
	uint64_t task_id;
	int caller;
	bool must_run_once;
	bool ran;
	bool is_broken; /* the connection */
	int64_t started_at;
	uint32_t time_limit_ms;
	struct cluster_task task;
	struct syc_send_result result;
	size_t n_data; /* bytes, or members in EVENT_MAP */
	char *data;
};

enum {
	SEQ_BITS = 24, /* of a heap key, below the time */
	PERMILLE = 1000,
	STOP_MS = 10 /* within which a target notices a closed connection */
};

static struct event *event_new(struct cluster *c, enum event_type type,
			       int instance, int64_t at)
{
	struct event *e = xcalloc(1, sizeof(*e));
	int64_t seq = (int64_t)(c->event_seq++ & ((1 << SEQ_BITS) - 1));

	e->type = type;
	e->instance = instance;
	heap_set(&c->events, &e->node, at << SEQ_BITS | seq);
	return e;
}

static bool happens(struct cluster *c, uint32_t permille)
{
	return rng_below(&c->rng, PERMILLE) < permille;
}

static int find_instance(const struct cluster *c, uint64_t id)
{
	int i;

	for (i = 0; i < c->n_instances; i++)
		if (c->instances[i].id == id)
			return i;
	return -1;
}

/*
 * Returns the owner by rendezvous hash over the members of the map that the
 * instance knows.
 */
static uint64_t find_owner(void *ctx, const char *name)
{
	const struct cluster_instance *in = ctx;
	uint64_t best = 0, best_score = 0;
	struct index_key key = index_hash_bytes(name, strlen(name));
	int i;

	for (i = 0; i < in->n_members; i++) {
		uint64_t score = index_hash_number(in->members[i] ^ key.lo).lo;

		if (!best || score > best_score) {
			best = in->members[i];
			best_score = score;
		}
	}
	return best;
}

static void queue_message(struct cluster *c, int from, int to,
			  struct syc_bytes msg)
{
	int64_t delay = (int64_t)rng_below(&c->rng,
					   c->opt.message_delay_max_ms + 1);
	struct event *e = event_new(c, EVENT_MESSAGE, to, c->now + delay);

	e->sender_or_epoch = c->instances[from].id;
	e->data = xmemdup(msg.p, msg.n);
	e->n_data = msg.n;
}

static void send_message(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct cluster_instance *in = ctx;
	struct cluster *c = in->cluster;
	int from = (int)(in - c->instances);
	int i = find_instance(c, to);

	c->messages++;
	c->message_bytes += msg.n;
	if (i < 0 || c->instances[i].partition != in->partition ||
	    happens(c, c->opt.lost_permille))
		return;
	queue_message(c, from, i, msg);
	if (happens(c, c->opt.repeated_permille))
		queue_message(c, from, i, msg);
}

static void on_start(void *ctx, const struct syc_start *s)
{
	struct cluster_instance *in = ctx;
	struct cluster *c = in->cluster;
	struct event *e = event_new(c, EVENT_START, (int)(in - c->instances),
				    c->now + (int64_t)rng_below(&c->rng, 2));
	uint64_t target = 0;

	c->sends++;
	index_get(&c->target_by_name,
		  index_hash_bytes(s->target->name, strlen(s->target->name)),
		  &target);
	e->target = (int)target;
	e->send_id = s->id;
	e->task_id = s->task;
	e->caller = atoi(s->caller + 1);
	e->must_run_once = strcmp(s->kind, "view") != 0;
	e->time_limit_ms = s->time_limit_ms;
	memcpy(&e->task, s->body.p, sizeof(e->task));
}

static void queue_result(struct cluster *c, const struct event *run,
			 enum syc_send_end end, int64_t delay)
{
	struct event *e = event_new(c, EVENT_RESULT, run->instance,
				    c->now + delay);

	e->send_id = run->send_id;
	e->task = run->task;
	e->result.end = end;
	e->result.status = end == SYC_SEND_FAILED ? 500 : 200;
}

/*
 * Closes the connection of a send. The result follows at once; the target
 * notices within STOP_MS, also when the connection was broken before.
 */
static void on_stop(void *ctx, uint64_t id)
{
	struct cluster_instance *in = ctx;
	struct cluster *c = in->cluster;
	struct event *e = NULL;
	size_t i;

	c->stops++;
	for (i = 0; i < c->events.n && !e; i++) {
		e = HEAP_ITEM(c->events.nodes[i], struct event, node);
		if (e->send_id != id || &c->instances[e->instance] != in ||
		    (e->type != EVENT_END && e->type != EVENT_START))
			e = NULL;
	}
	if (!e)
		return;
	if (e->type == EVENT_START && c->targets[e->target].is_unreachable)
		return;
	if (e->type == EVENT_END)
		heap_set(&c->events, &e->node,
			 (c->now + (int64_t)rng_below(&c->rng, STOP_MS))
				 << SEQ_BITS);
	if (!e->is_broken)
		queue_result(c, e, SYC_SEND_BROKEN, 0);
	e->is_broken = true;
}

static bool is_answer_complete(const struct cluster_job *j,
			       const struct syc_answer *answer)
{
	uint32_t i;

	if (answer->outcome != SYC_COMPLETED)
		return answer->n_results == 0;
	if (answer->n_results != j->n_tasks)
		return false;
	for (i = 0; i < answer->n_results; i++) {
		struct cluster_task task;

		if (answer->results[i].body.n != sizeof(task))
			return false;
		memcpy(&task, answer->results[i].body.p, sizeof(task));
		if (task.index != i)
			return false;
	}
	return true;
}

static void on_done(void *ctx, uint64_t tag, const struct syc_answer *answer)
{
	struct cluster_instance *in = ctx;
	struct cluster *c = in->cluster;
	struct cluster_job *j = &c->jobs[tag - 1];

	c->answered_twice += j->is_answered;
	c->wrong_answers += !is_answer_complete(j, answer);
	j->is_answered = true;
	j->outcome = answer->outcome;
	j->reason = answer->reason;
	j->took_ms = c->now - j->submitted_at;
	c->false_not_run += j->runs && j->outcome == SYC_NOT_RUN;
	if (c->on_answered)
		c->on_answered(c->ctx, j);
}

static void make_bundle(struct cluster *c)
{
	static const char *const kinds[] = {"job", "print", "view"};
	struct syc_bundle *b = xcalloc(1, sizeof(*b));
	int i;

	b->refs = 1;
	b->version = c->bundle ? c->bundle->version + 1 : 1;
	c->bundle = b;
	b->retry_percent = 10;
	b->n_domains = 1;
	b->domains = xcalloc(1, sizeof(*b->domains));
	strcpy(b->domains[0], "d1");
	b->n_services = 1;
	b->services = xcalloc(1, sizeof(*b->services));
	strcpy(b->services[0].name, "svc");
	b->services[0].slots = c->opt.slots_per_target;
	b->n_callers = (size_t)c->opt.n_callers;
	b->callers = xcalloc(b->n_callers, sizeof(*b->callers));
	for (i = 0; i < c->opt.n_callers; i++) {
		snprintf(b->callers[i].name, SYC_NAME_MAX, "c%d", i);
		b->callers[i].share = c->opt.shares[i] ? c->opt.shares[i] : 1;
		b->callers[i].slots = c->opt.caller_slots[i];
	}
	b->n_kinds = 3;
	b->kinds = xcalloc(3, sizeof(*b->kinds));
	for (i = 0; i < 3; i++) {
		strcpy(b->kinds[i].name, kinds[i]);
		strcpy(b->kinds[i].service, "svc");
		b->kinds[i].time_limit_ms = c->opt.time_limit_ms;
	}
	b->kinds[1].non_idempotent = true;
	b->kinds[2].retries = 2;
}

static void make_targets(struct cluster *c)
{
	int i;

	c->n_targets = c->opt.n_targets;
	c->targets = xcalloc((size_t)c->n_targets, sizeof(*c->targets));
	for (i = 0; i < c->n_targets; i++) {
		struct syc_target *t = &c->targets[i].conf;

		snprintf(t->name, sizeof(t->name), "t%d", i);
		strcpy(t->service, "svc");
		strcpy(t->domain, "d1");
		snprintf(t->rack, sizeof(t->rack), "r%d", i / 6);
		t->cpus = 16;
		t->memory_mb = 65536;
		index_put(&c->target_by_name,
			  index_hash_bytes(t->name, strlen(t->name)),
			  (uint64_t)i);
	}
}

static void pass_targets(struct cluster *c, struct cluster_instance *in)
{
	struct syc_target *list = xcalloc((size_t)c->n_targets, sizeof(*list));
	int i;

	for (i = 0; i < c->n_targets; i++)
		list[i] = c->targets[i].conf;
	syc_dispatch_set_targets(in->d, c->now, "svc", list,
				 (size_t)c->n_targets);
	free(list);
}

void cluster_list_targets(struct cluster *c)
{
	int i;

	for (i = 0; i < c->n_instances; i++)
		if (c->instances[i].is_alive)
			pass_targets(c, &c->instances[i]);
}

static int add_instance(struct cluster *c)
{
	struct syc_dispatch_options opt = {0};
	struct cluster_instance *in = &c->instances[c->n_instances];

	in->cluster = c;
	in->id = rng_next(&c->rng) | 1;
	in->is_alive = true;
	opt.self = in->id;
	opt.domain = "d1";
	opt.rack = "r0";
	opt.seed = c->opt.seed;
	opt.queue_max = c->opt.queue_max;
	opt.ctx = in;
	opt.start = on_start;
	opt.stop = on_stop;
	opt.send = send_message;
	opt.done = on_done;
	opt.find_owner = find_owner;
	in->d = syc_dispatch_new(&opt, c->now);
	syc_dispatch_set_bundle(in->d, c->now, c->bundle);
	event_new(c, EVENT_TICK, c->n_instances, c->now + CLUSTER_TICK_MS);
	return c->n_instances++;
}

/* Passes the map to instance `i`, unless it has this or a newer one. */
static void apply_map(struct cluster *c, int i, uint64_t epoch,
		      const uint64_t *members, int n)
{
	struct cluster_instance *in = &c->instances[i];

	if (epoch <= in->map_epoch)
		return;
	in->map_epoch = epoch;
	in->n_members = n;
	memcpy(in->members, members, (size_t)n * sizeof(*members));
	syc_dispatch_owners_changed(in->d, c->now);
}

/* Makes the living instances the members of a new map and spreads it. */
static void change_map(struct cluster *c, int64_t delay_ms)
{
	int i;

	c->n_members = 0;
	c->map_epoch++;
	for (i = 0; i < c->n_instances; i++)
		if (c->instances[i].is_alive)
			c->members[c->n_members++] = c->instances[i].id;
	for (i = 0; i < c->n_instances; i++) {
		int64_t at = c->now + delay_ms;
		struct event *e;

		if (!c->instances[i].is_alive)
			continue;
		at += (int64_t)rng_below(&c->rng, CLUSTER_LEARN_MS);
		e = event_new(c, EVENT_MAP, i, at);
		e->sender_or_epoch = c->map_epoch;
		e->n_data = (size_t)c->n_members;
		e->data = xmemdup(c->members, sizeof(c->members));
	}
}

struct cluster *cluster_new(const struct cluster_options *opt)
{
	struct cluster *c = xcalloc(1, sizeof(*c));
	int i;

	c->opt = *opt;
	c->rng.state = opt->seed;
	c->now = 100000;
	make_bundle(c);
	make_targets(c);
	for (i = 0; i < opt->n_instances; i++)
		add_instance(c);
	change_map(c, 0);
	for (i = 0; i < opt->n_instances; i++) {
		if (opt->is_first_map)
			syc_dispatch_set_first_map(c->instances[i].d);
		apply_map(c, i, c->map_epoch, c->members, c->n_members);
	}
	cluster_list_targets(c);
	return c;
}

static void event_free(struct event *e)
{
	free(e->data);
	free(e);
}

void cluster_free(struct cluster *c)
{
	size_t k;
	int i;

	for (i = 0; i < c->n_instances; i++)
		if (c->instances[i].is_alive)
			syc_dispatch_free(c->instances[i].d);
	for (k = 0; k < c->events.n; k++)
		event_free(HEAP_ITEM(c->events.nodes[k], struct event, node));
	heap_free(&c->events);
	index_free(&c->target_by_name);
	index_free(&c->runs_by_task);
	syc_bundle_unref(c->bundle);
	free(c->targets);
	free(c->jobs);
	free(c);
}

static void count_run(struct cluster *c, const struct event *e)
{
	struct cluster_job *j = &c->jobs[e->task.job_tag - 1];
	uint64_t n = 0;

	index_get(&c->runs_by_task, index_hash_number(e->task_id), &n);
	c->forbidden_reruns += n && e->must_run_once;
	j->runs++;
	c->false_not_run += j->is_answered && j->outcome == SYC_NOT_RUN;
	index_put(&c->runs_by_task, index_hash_number(e->task_id), n + 1);
	c->starts++;
	c->instances[e->instance].runs++;
	c->targets[e->target].starts++;
	c->caller_starts[e->caller]++;
	c->caller_running[e->caller]++;
	c->starts_over_limit += c->opt.caller_slots[e->caller] &&
				c->caller_running[e->caller] >
					c->opt.caller_slots[e->caller];
}

static int64_t run_time_ms(const struct cluster *c, const struct event *e)
{
	const struct cluster_target *t = &c->targets[e->target];
	int64_t ms = e->task.run_ms;

	if (t->slow_percent)
		ms = ms * t->slow_percent / 100;
	if (e->task.end == CLUSTER_HANGS || ms > (int64_t)e->time_limit_ms)
		ms = e->time_limit_ms;
	return t->behaviour == CLUSTER_FAILS_FAST ? 1 : ms;
}

static enum syc_send_end unbroken_end(const struct cluster *c,
				      const struct event *e)
{
	if (c->targets[e->target].behaviour == CLUSTER_FAILS_FAST)
		return SYC_SEND_FAILED;
	if (e->task.end == CLUSTER_HANGS || e->task.run_ms > e->time_limit_ms)
		return SYC_SEND_TIMEOUT;
	return e->task.end == CLUSTER_FAILS ? SYC_SEND_FAILED
					    : SYC_SEND_ANSWERED;
}

/* Queues a refusal if the target or the task demands it, else returns false. */
static bool refuse_start(struct cluster *c, const struct event *e)
{
	const struct cluster_target *t = &c->targets[e->target];
	uint32_t end = e->task.end;

	if (t->is_unreachable || (end == CLUSTER_NOT_SENT && happens(c, 500)))
		queue_result(c, e, SYC_SEND_NOT_SENT, 1);
	else if (t->behaviour == CLUSTER_REFUSES_ALL ||
		 (end == CLUSTER_REFUSES && happens(c, 500)))
		queue_result(c, e, SYC_SEND_REFUSED, 1);
	else
		return false;
	return true;
}

static void start_run(struct cluster *c, struct event *e)
{
	struct cluster_target *t = &c->targets[e->target];
	struct event *end;

	if (!e->is_broken && refuse_start(c, e))
		return;
	c->starts_over_slots += t->running >= c->opt.slots_per_target;
	t->running++;
	count_run(c, e);
	end = event_new(c, EVENT_END, e->instance,
			c->now + (e->is_broken ? STOP_MS : run_time_ms(c, e)));
	end->target = e->target;
	end->send_id = e->send_id;
	end->task_id = e->task_id;
	end->caller = e->caller;
	end->started_at = c->now;
	end->task = e->task;
	end->is_broken = e->is_broken;
	end->result.end = unbroken_end(c, e);
	if (e->is_broken || e->task.end != CLUSTER_BREAKS)
		return;
	end->is_broken = true;
	queue_result(c, e, SYC_SEND_BROKEN, 1);
}

static void end_run(struct cluster *c, struct event *e)
{
	c->targets[e->target].running--;
	c->caller_running[e->caller]--;
	c->slot_ms[e->caller] += c->now - e->started_at;
	if (!e->is_broken && !c->targets[e->target].is_unreachable)
		queue_result(c, e, e->result.end,
			     (int64_t)rng_below(&c->rng, 2));
	else if (!e->is_broken)
		queue_result(c, e, SYC_SEND_BROKEN, 0);
}

static void handle_at_instance(struct cluster *c, struct event *e)
{
	struct cluster_instance *in = &c->instances[e->instance];
	struct syc_bytes msg = {e->data, e->n_data};

	switch (e->type) {
	case EVENT_TICK:
		syc_dispatch_tick(in->d, c->now);
		event_new(c, EVENT_TICK, e->instance, c->now + CLUSTER_TICK_MS);
		break;
	case EVENT_MESSAGE:
		c->wrong_answers += !syc_dispatch_receive(
			in->d, c->now, e->sender_or_epoch, msg);
		break;
	case EVENT_RESULT:
		e->result.body.p = &e->task;
		e->result.body.n = sizeof(e->task);
		syc_dispatch_result(in->d, c->now, e->send_id, &e->result);
		break;
	case EVENT_MAP:
		apply_map(c, e->instance, e->sender_or_epoch,
			  (const void *)e->data, (int)e->n_data);
		break;
	default:
		break;
	}
}

/* Handles an event. Those of a paused instance are delayed in their order. */
static void handle_event(struct cluster *c, struct event *e)
{
	struct cluster_instance *in = &c->instances[e->instance];

	if (e->type == EVENT_START) {
		start_run(c, e);
	} else if (e->type == EVENT_END) {
		end_run(c, e);
	} else if (in->is_alive && in->paused_until > c->now) {
		heap_set(&c->events, &e->node,
			 in->paused_until << SEQ_BITS |
				 (e->node.key & ((1 << SEQ_BITS) - 1)));
		return;
	} else if (in->is_alive) {
		handle_at_instance(c, e);
	}
	event_free(e);
}

void cluster_run(struct cluster *c, int64_t ms)
{
	int64_t until = c->now + ms;
	struct heap_node *n;

	while ((n = heap_top(&c->events)) && n->key >> SEQ_BITS <= until) {
		c->now = n->key >> SEQ_BITS;
		heap_remove(&c->events, n);
		handle_event(c, HEAP_ITEM(n, struct event, node));
	}
	c->now = until;
}

static struct cluster_job *job_new(struct cluster *c, int i, int caller,
				   uint32_t n)
{
	struct cluster_job *j;

	if (c->n_jobs == c->cap_jobs) {
		c->cap_jobs = c->cap_jobs ? c->cap_jobs * 2 : 1024;
		c->jobs = xrealloc(c->jobs, c->cap_jobs * sizeof(*c->jobs));
	}
	j = &c->jobs[c->n_jobs++];
	memset(j, 0, sizeof(*j));
	j->tag = c->n_jobs;
	j->instance = i;
	j->caller = caller;
	j->n_tasks = n;
	j->submitted_at = c->now;
	return j;
}

size_t cluster_submit(struct cluster *c, int i, int caller, const char *kind,
		      uint32_t n, const struct cluster_task *tasks,
		      uint32_t deadline_ms)
{
	struct cluster_job *j = job_new(c, i, caller, n);
	struct cluster_task *bodies = xmemdup(tasks, n * sizeof(*tasks));
	struct syc_task_spec *specs = xcalloc(n, sizeof(*specs));
	struct syc_job_spec spec = {0};
	size_t index = c->n_jobs - 1;
	char name[16];
	uint32_t k;

	snprintf(name, sizeof(name), "c%d", caller);
	for (k = 0; k < n; k++) {
		bodies[k].index = k;
		bodies[k].job_tag = (uint32_t)j->tag;
		specs[k].body.p = &bodies[k];
		specs[k].body.n = sizeof(bodies[k]);
		specs[k].run_ms = tasks[k].declared_ms;
		specs[k].cpus = tasks[k].cpus;
		if (tasks[k].run_ms > j->ideal_ms)
			j->ideal_ms = tasks[k].run_ms;
	}
	spec.caller = name;
	spec.kind = kind;
	spec.single = !strcmp(kind, "view");
	spec.deadline_ms = deadline_ms;
	spec.n_tasks = n;
	spec.tasks = specs;
	syc_dispatch_submit(c->instances[i].d, c->now, j->tag, &spec);
	free(specs);
	free(bodies);
	return index;
}

void cluster_update_bundle(struct cluster *c)
{
	struct syc_bundle *old = c->bundle;
	int i;

	make_bundle(c);
	syc_bundle_unref(old);
	for (i = 0; i < c->n_instances; i++)
		if (c->instances[i].is_alive)
			syc_dispatch_set_bundle(c->instances[i].d, c->now,
						c->bundle);
}

void cluster_cancel(struct cluster *c, size_t job)
{
	struct cluster_job *j = &c->jobs[job];

	if (c->instances[j->instance].is_alive)
		syc_dispatch_cancel(c->instances[j->instance].d, c->now,
				    j->tag);
}

void cluster_crash(struct cluster *c, int i)
{
	size_t k;

	c->instances[i].is_alive = false;
	syc_dispatch_free(c->instances[i].d);
	for (k = 0; k < c->n_jobs; k++)
		if (c->jobs[k].instance == i && !c->jobs[k].is_answered)
			c->jobs[k].is_lost = true;
	change_map(c, CLUSTER_MAP_MS);
}

void cluster_pause(struct cluster *c, int i, int64_t ms)
{
	c->instances[i].paused_until = c->now + ms;
}

int cluster_join(struct cluster *c)
{
	int i = add_instance(c);

	change_map(c, 0);
	pass_targets(c, &c->instances[i]);
	return i;
}

int cluster_find_owner(struct cluster *c, int i, const char *name)
{
	return find_instance(c, find_owner(&c->instances[i], name));
}

uint64_t cluster_sum_ledger(struct cluster *c, int i, const char *field)
{
	char *text = syc_dispatch_ledger(c->instances[i].d, c->now);
	json_t *root = json_loads(text, 0, NULL);
	json_t *entries = json_object_get(root, "entries");
	json_t *e;
	uint64_t sum = 0;
	size_t k;

	json_array_foreach(entries, k, e)
		sum += (uint64_t)json_integer_value(json_object_get(e, field));
	json_decref(root);
	free(text);
	return sum;
}

size_t cluster_count_open(const struct cluster *c)
{
	size_t i, n = 0;

	for (i = 0; i < c->n_jobs; i++)
		n += !c->jobs[i].is_answered && !c->jobs[i].is_lost;
	return n;
}
