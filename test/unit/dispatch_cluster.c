#include "dispatch_cluster.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

enum event_type { EV_TICK, EV_MESSAGE, EV_ARRIVE, EV_END, EV_RESULT, EV_LEARN };

struct event {
	struct heap_node node;
	enum event_type type;
	int instance;
	uint64_t from; /* a message's sender, or a map's epoch */
	int target;
	uint64_t start; /* the send's id */
	uint64_t task;
	int caller;
	bool once; /* must not run again */
	bool ran;
	bool broke;
	int64_t began;
	uint32_t limit_ms;
	struct cluster_task body;
	struct syc_send_result res;
	size_t n;
	char *data;
};

enum {
	SEQ_BITS = 24,
	MILLE = 1000,
	STOP_MS = 10 /* in which a target notices a closed connection */
};

static struct event *event_new(struct cluster *w, enum event_type type,
			       int instance, int64_t at)
{
	struct event *e = xcalloc(1, sizeof(*e));
	int64_t seq = (int64_t)(w->event_seq++ & ((1 << SEQ_BITS) - 1));

	e->type = type;
	e->instance = instance;
	heap_set(&w->events, &e->node, at << SEQ_BITS | seq);
	return e;
}

static bool chance(struct cluster *w, uint32_t permille)
{
	return rng_below(&w->rng, MILLE) < permille;
}

static int find_instance(const struct cluster *w, uint64_t id)
{
	int i;

	for (i = 0; i < w->n_instances; i++)
		if (w->instances[i].id == id)
			return i;
	return -1;
}

/* Rendezvous hash over the members of the map that the instance knows. */
static uint64_t owner(void *ctx, const char *name)
{
	const struct cluster_instance *in = ctx;
	uint64_t best = 0, best_score = 0;
	struct index_key key = index_hash_bytes(name, strlen(name));
	int i;

	for (i = 0; i < in->n_members; i++) {
		uint64_t s = index_hash_number(in->members[i] ^ key.lo).lo;

		if (!best || s > best_score) {
			best = in->members[i];
			best_score = s;
		}
	}
	return best;
}

static void post(struct cluster *w, int from, int to, struct syc_bytes msg)
{
	int64_t delay = (int64_t)rng_below(&w->rng, w->opt.delay_max_ms + 1);
	struct event *e = event_new(w, EV_MESSAGE, to, w->now + delay);

	e->from = w->instances[from].id;
	e->data = xmemdup(msg.p, msg.n);
	e->n = msg.n;
}

static void send_message(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct cluster_instance *in = ctx;
	struct cluster *w = in->w;
	int from = (int)(in - w->instances);
	int i = find_instance(w, to);

	w->messages++;
	w->message_bytes += msg.n;
	if (i < 0 || w->instances[i].side != in->side ||
	    chance(w, w->opt.lost_permille))
		return;
	post(w, from, i, msg);
	if (chance(w, w->opt.repeated_permille))
		post(w, from, i, msg);
}

static void start(void *ctx, const struct syc_start *s)
{
	struct cluster_instance *in = ctx;
	struct cluster *w = in->w;
	struct event *e = event_new(w, EV_ARRIVE, (int)(in - w->instances),
				    w->now + (int64_t)rng_below(&w->rng, 2));
	uint64_t t = 0;

	w->sends++;
	index_get(&w->target_by_name,
		  index_hash_bytes(s->target->name, strlen(s->target->name)),
		  &t);
	e->target = (int)t;
	e->start = s->id;
	e->task = s->task;
	e->caller = atoi(s->caller + 1);
	e->once = strcmp(s->kind, "view") != 0;
	e->limit_ms = s->time_limit_ms;
	memcpy(&e->body, s->body.p, sizeof(e->body));
}

static void result(struct cluster *w, const struct event *of,
		   enum syc_send_end end, int64_t delay)
{
	struct event *e = event_new(w, EV_RESULT, of->instance, w->now + delay);

	e->start = of->start;
	e->body = of->body;
	e->res.end = end;
	e->res.status = end == SYC_SEND_FAILED ? 500 : 200;
}

/*
 * The connection closes: the result comes at once, the target notices a
 * little later, also when the connection had broken just before.
 */
static void stop(void *ctx, uint64_t id)
{
	struct cluster_instance *in = ctx;
	struct cluster *w = in->w;
	struct event *e = NULL;
	size_t i;

	w->stops++;
	for (i = 0; i < w->events.n && !e; i++) {
		e = HEAP_ITEM(w->events.at[i], struct event, node);
		if (e->start != id || &w->instances[e->instance] != in ||
		    (e->type != EV_END && e->type != EV_ARRIVE))
			e = NULL;
	}
	if (!e)
		return;
	if (e->type == EV_ARRIVE && w->targets[e->target].gone)
		return;
	if (e->type == EV_END)
		heap_set(&w->events, &e->node,
			 (w->now + (int64_t)rng_below(&w->rng, STOP_MS))
				 << SEQ_BITS);
	if (!e->broke)
		result(w, e, SYC_SEND_BROKEN, 0);
	e->broke = true;
}

static bool whole(const struct cluster_job *j, const struct syc_answer *a)
{
	uint32_t i;

	if (a->outcome != SYC_COMPLETED)
		return a->n_results == 0;
	if (a->n_results != j->n_tasks)
		return false;
	for (i = 0; i < a->n_results; i++) {
		struct cluster_task t;

		if (a->results[i].body.n != sizeof(t))
			return false;
		memcpy(&t, a->results[i].body.p, sizeof(t));
		if (t.place != i)
			return false;
	}
	return true;
}

static void done(void *ctx, uint64_t tag, const struct syc_answer *a)
{
	struct cluster_instance *in = ctx;
	struct cluster *w = in->w;
	struct cluster_job *j = &w->jobs[tag - 1];

	w->answered_twice += j->answered;
	w->wrong_answers += !whole(j, a);
	j->answered = true;
	j->outcome = a->outcome;
	j->reason = a->reason;
	j->took_ms = w->now - j->at;
	w->false_not_run += j->runs && j->outcome == SYC_NOT_RUN;
	if (w->answered)
		w->answered(w->ctx, j);
}

static void make_bundle(struct cluster *w)
{
	static const char *const kinds[] = {"job", "print", "view"};
	struct syc_bundle *b = xcalloc(1, sizeof(*b));
	int i;

	b->refs = 1;
	b->version = w->bundle ? w->bundle->version + 1 : 1;
	w->bundle = b;
	b->retry_percent = 10;
	b->n_domains = 1;
	b->domains = xcalloc(1, sizeof(*b->domains));
	strcpy(b->domains[0], "d1");
	b->n_services = 1;
	b->services = xcalloc(1, sizeof(*b->services));
	strcpy(b->services[0].name, "svc");
	b->services[0].slots = w->opt.slots;
	b->n_callers = (size_t)w->opt.n_callers;
	b->callers = xcalloc(b->n_callers, sizeof(*b->callers));
	for (i = 0; i < w->opt.n_callers; i++) {
		snprintf(b->callers[i].name, SYC_NAME_MAX, "c%d", i);
		b->callers[i].share = w->opt.shares[i] ? w->opt.shares[i] : 1;
		b->callers[i].slots = w->opt.caller_slots[i];
	}
	b->n_kinds = 3;
	b->kinds = xcalloc(3, sizeof(*b->kinds));
	for (i = 0; i < 3; i++) {
		strcpy(b->kinds[i].name, kinds[i]);
		strcpy(b->kinds[i].service, "svc");
		b->kinds[i].time_limit_ms = w->opt.limit_ms;
	}
	b->kinds[1].non_idempotent = true;
	b->kinds[2].retries = 2;
}

static void make_targets(struct cluster *w)
{
	int i;

	w->n_targets = w->opt.n_targets;
	w->targets = xcalloc((size_t)w->n_targets, sizeof(*w->targets));
	for (i = 0; i < w->n_targets; i++) {
		struct syc_target *t = &w->targets[i].conf;

		snprintf(t->name, sizeof(t->name), "t%d", i);
		strcpy(t->service, "svc");
		strcpy(t->domain, "d1");
		snprintf(t->rack, sizeof(t->rack), "r%d", i / 6);
		t->cpus = 16;
		t->memory_mb = 65536;
		index_put(&w->target_by_name,
			  index_hash_bytes(t->name, strlen(t->name)),
			  (uint64_t)i);
	}
}

static void list_to(struct cluster *w, struct cluster_instance *in)
{
	struct syc_target *list = xcalloc((size_t)w->n_targets, sizeof(*list));
	int i;

	for (i = 0; i < w->n_targets; i++)
		list[i] = w->targets[i].conf;
	syc_dispatch_targets(in->d, w->now, "svc", list, (size_t)w->n_targets);
	free(list);
}

void cluster_list_targets(struct cluster *w)
{
	int i;

	for (i = 0; i < w->n_instances; i++)
		if (w->instances[i].alive)
			list_to(w, &w->instances[i]);
}

static int add_instance(struct cluster *w)
{
	struct syc_dispatch_options opt = {0};
	struct cluster_instance *in = &w->instances[w->n_instances];

	in->w = w;
	in->id = rng_next(&w->rng) | 1;
	in->alive = true;
	opt.self = in->id;
	opt.domain = "d1";
	opt.rack = "r0";
	opt.seed = w->opt.seed;
	opt.queue_max = w->opt.queue_max;
	opt.ctx = in;
	opt.start = start;
	opt.stop = stop;
	opt.send = send_message;
	opt.done = done;
	opt.owner = owner;
	in->d = syc_dispatch_new(&opt, w->now);
	syc_dispatch_bundle(in->d, w->now, w->bundle);
	event_new(w, EV_TICK, w->n_instances, w->now + CLUSTER_TICK_MS);
	return w->n_instances++;
}

/* Learns the map of `epoch`, unless it knows a newer one. */
static void learn(struct cluster *w, int i, uint64_t epoch,
		  const uint64_t *members, int n)
{
	struct cluster_instance *in = &w->instances[i];

	if (epoch <= in->epoch)
		return;
	in->epoch = epoch;
	in->n_members = n;
	memcpy(in->members, members, (size_t)n * sizeof(*members));
	syc_dispatch_owners_changed(in->d, w->now);
}

/* The map becomes the living instances; each learns it in its time. */
static void change_map(struct cluster *w, int64_t after)
{
	int i;

	w->n_members = 0;
	w->map_epoch++;
	for (i = 0; i < w->n_instances; i++)
		if (w->instances[i].alive)
			w->members[w->n_members++] = w->instances[i].id;
	for (i = 0; i < w->n_instances; i++) {
		int64_t at = w->now + after;
		struct event *e;

		if (!w->instances[i].alive)
			continue;
		at += (int64_t)rng_below(&w->rng, CLUSTER_LEARN_MS);
		e = event_new(w, EV_LEARN, i, at);
		e->from = w->map_epoch;
		e->n = (size_t)w->n_members;
		e->data = xmemdup(w->members, sizeof(w->members));
	}
}

struct cluster *cluster_new(const struct cluster_options *opt)
{
	struct cluster *w = xcalloc(1, sizeof(*w));
	int i;

	w->opt = *opt;
	w->rng.state = opt->seed;
	w->now = 100000;
	make_bundle(w);
	make_targets(w);
	for (i = 0; i < opt->n_instances; i++)
		add_instance(w);
	change_map(w, 0);
	for (i = 0; i < opt->n_instances; i++) {
		if (opt->new_cluster)
			syc_dispatch_first_map(w->instances[i].d);
		learn(w, i, w->map_epoch, w->members, w->n_members);
	}
	cluster_list_targets(w);
	return w;
}

static void event_free(struct event *e)
{
	free(e->data);
	free(e);
}

void cluster_free(struct cluster *w)
{
	size_t k;
	int i;

	for (i = 0; i < w->n_instances; i++)
		if (w->instances[i].alive)
			syc_dispatch_free(w->instances[i].d);
	for (k = 0; k < w->events.n; k++)
		event_free(HEAP_ITEM(w->events.at[k], struct event, node));
	heap_free(&w->events);
	index_free(&w->target_by_name);
	index_free(&w->runs);
	syc_bundle_unref(w->bundle);
	free(w->targets);
	free(w->jobs);
	free(w);
}

static void count_run(struct cluster *w, const struct event *e)
{
	struct cluster_job *j = &w->jobs[e->body.job - 1];
	uint64_t n = 0;

	index_get(&w->runs, index_hash_number(e->task), &n);
	w->twice += n && e->once;
	j->runs++;
	w->false_not_run += j->answered && j->outcome == SYC_NOT_RUN;
	index_put(&w->runs, index_hash_number(e->task), n + 1);
	w->starts++;
	w->instances[e->instance].runs++;
	w->targets[e->target].starts++;
	w->caller_starts[e->caller]++;
	w->caller_running[e->caller]++;
	w->over_limit += w->opt.caller_slots[e->caller] &&
			 w->caller_running[e->caller] >
				 w->opt.caller_slots[e->caller];
}

static int64_t run_ms(const struct cluster *w, const struct event *e)
{
	const struct cluster_target *t = &w->targets[e->target];
	int64_t ms = e->body.run_ms;

	if (t->slow_percent)
		ms = ms * t->slow_percent / 100;
	if (e->body.end == CLUSTER_HANGS || ms > (int64_t)e->limit_ms)
		ms = e->limit_ms;
	return t->mood == CLUSTER_FAILS_FAST ? 1 : ms;
}

static enum syc_send_end natural_end(const struct cluster *w,
				     const struct event *e)
{
	if (w->targets[e->target].mood == CLUSTER_FAILS_FAST)
		return SYC_SEND_FAILED;
	if (e->body.end == CLUSTER_HANGS || e->body.run_ms > e->limit_ms)
		return SYC_SEND_TIMEOUT;
	return e->body.end == CLUSTER_FAILS ? SYC_SEND_FAILED
					    : SYC_SEND_ANSWERED;
}

/* Whether the task is turned away, with proof. */
static bool refuses(struct cluster *w, const struct event *e)
{
	const struct cluster_target *t = &w->targets[e->target];
	uint32_t end = e->body.end;

	if (t->gone || (end == CLUSTER_NOT_SENT && chance(w, 500)))
		result(w, e, SYC_SEND_NOT_SENT, 1);
	else if (t->mood == CLUSTER_REFUSES_ALL ||
		 (end == CLUSTER_REFUSES && chance(w, 500)))
		result(w, e, SYC_SEND_REFUSED, 1);
	else
		return false;
	return true;
}

static void arrive(struct cluster *w, struct event *e)
{
	struct cluster_target *t = &w->targets[e->target];
	struct event *end;

	if (!e->broke && refuses(w, e))
		return;
	w->over_slots += t->running >= w->opt.slots;
	t->running++;
	count_run(w, e);
	end = event_new(w, EV_END, e->instance,
			w->now + (e->broke ? STOP_MS : run_ms(w, e)));
	end->target = e->target;
	end->start = e->start;
	end->task = e->task;
	end->caller = e->caller;
	end->began = w->now;
	end->body = e->body;
	end->broke = e->broke;
	end->res.end = natural_end(w, e);
	if (e->broke || e->body.end != CLUSTER_BREAKS)
		return;
	end->broke = true;
	result(w, e, SYC_SEND_BROKEN, 1);
}

static void end_run(struct cluster *w, struct event *e)
{
	w->targets[e->target].running--;
	w->caller_running[e->caller]--;
	w->slot_ms[e->caller] += w->now - e->began;
	if (!e->broke && !w->targets[e->target].gone)
		result(w, e, e->res.end, (int64_t)rng_below(&w->rng, 2));
	else if (!e->broke)
		result(w, e, SYC_SEND_BROKEN, 0);
}

static void to_instance(struct cluster *w, struct event *e)
{
	struct cluster_instance *in = &w->instances[e->instance];
	struct syc_bytes msg = {e->data, e->n};

	switch (e->type) {
	case EV_TICK:
		syc_dispatch_tick(in->d, w->now);
		event_new(w, EV_TICK, e->instance, w->now + CLUSTER_TICK_MS);
		break;
	case EV_MESSAGE:
		w->wrong_answers += !syc_dispatch_receive(in->d, w->now,
							  e->from, msg);
		break;
	case EV_RESULT:
		e->res.body.p = &e->body;
		e->res.body.n = sizeof(e->body);
		syc_dispatch_result(in->d, w->now, e->start, &e->res);
		break;
	case EV_LEARN:
		learn(w, e->instance, e->from, (const void *)e->data,
		      (int)e->n);
		break;
	default:
		break;
	}
}

/* What is for a paused instance waits until it goes on, in order. */
static void handle(struct cluster *w, struct event *e)
{
	struct cluster_instance *in = &w->instances[e->instance];

	if (e->type == EV_ARRIVE) {
		arrive(w, e);
	} else if (e->type == EV_END) {
		end_run(w, e);
	} else if (in->alive && in->paused_until > w->now) {
		heap_set(&w->events, &e->node,
			 in->paused_until << SEQ_BITS |
				 (e->node.key & ((1 << SEQ_BITS) - 1)));
		return;
	} else if (in->alive) {
		to_instance(w, e);
	}
	event_free(e);
}

void cluster_run(struct cluster *w, int64_t ms)
{
	int64_t until = w->now + ms;
	struct heap_node *n;

	while ((n = heap_top(&w->events)) && n->key >> SEQ_BITS <= until) {
		w->now = n->key >> SEQ_BITS;
		heap_remove(&w->events, n);
		handle(w, HEAP_ITEM(n, struct event, node));
	}
	w->now = until;
}

static struct cluster_job *job_new(struct cluster *w, int i, int caller,
				   uint32_t n)
{
	struct cluster_job *j;

	if (w->n_jobs == w->cap_jobs) {
		w->cap_jobs = w->cap_jobs ? w->cap_jobs * 2 : 1024;
		w->jobs = xrealloc(w->jobs, w->cap_jobs * sizeof(*w->jobs));
	}
	j = &w->jobs[w->n_jobs++];
	memset(j, 0, sizeof(*j));
	j->tag = w->n_jobs;
	j->instance = i;
	j->caller = caller;
	j->n_tasks = n;
	j->at = w->now;
	return j;
}

size_t cluster_submit(struct cluster *w, int i, int caller, const char *kind,
		      uint32_t n, const struct cluster_task *tasks,
		      uint32_t deadline_ms)
{
	struct cluster_job *j = job_new(w, i, caller, n);
	struct cluster_task *bodies = xmemdup(tasks, n * sizeof(*tasks));
	struct syc_task_spec *specs = xcalloc(n, sizeof(*specs));
	struct syc_job_spec spec = {0};
	size_t place = w->n_jobs - 1;
	char name[16];
	uint32_t k;

	snprintf(name, sizeof(name), "c%d", caller);
	for (k = 0; k < n; k++) {
		bodies[k].place = k;
		bodies[k].job = (uint32_t)j->tag;
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
	syc_dispatch_submit(w->instances[i].d, w->now, j->tag, &spec);
	free(specs);
	free(bodies);
	return place;
}

void cluster_roll(struct cluster *w)
{
	struct syc_bundle *old = w->bundle;
	int i;

	make_bundle(w);
	syc_bundle_unref(old);
	for (i = 0; i < w->n_instances; i++)
		if (w->instances[i].alive)
			syc_dispatch_bundle(w->instances[i].d, w->now,
					    w->bundle);
}

void cluster_cancel(struct cluster *w, size_t job)
{
	struct cluster_job *j = &w->jobs[job];

	if (w->instances[j->instance].alive)
		syc_dispatch_cancel(w->instances[j->instance].d, w->now,
				    j->tag);
}

void cluster_crash(struct cluster *w, int i)
{
	size_t k;

	w->instances[i].alive = false;
	syc_dispatch_free(w->instances[i].d);
	for (k = 0; k < w->n_jobs; k++)
		if (w->jobs[k].instance == i && !w->jobs[k].answered)
			w->jobs[k].lost = true;
	change_map(w, CLUSTER_MAP_MS);
}

void cluster_pause(struct cluster *w, int i, int64_t ms)
{
	w->instances[i].paused_until = w->now + ms;
}

int cluster_join(struct cluster *w)
{
	int i = add_instance(w);

	change_map(w, 0);
	list_to(w, &w->instances[i]);
	return i;
}

int cluster_owner(struct cluster *w, int i, const char *name)
{
	return find_instance(w, owner(&w->instances[i], name));
}

uint64_t cluster_ledger(struct cluster *w, int i, const char *field)
{
	char *text = syc_dispatch_ledger(w->instances[i].d, w->now);
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

size_t cluster_open(const struct cluster *w)
{
	size_t i, n = 0;

	for (i = 0; i < w->n_jobs; i++)
		n += !w->jobs[i].answered && !w->jobs[i].lost;
	return n;
}
