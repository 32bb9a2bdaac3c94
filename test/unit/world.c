#include <inttypes.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sycamoreshore/bundle_sync.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/invariant.h"
#include "util/log.h"
#include "world.h"

enum event_kind { EVENT_MESSAGE, EVENT_LINK_UP, EVENT_LINK_DOWN, EVENT_RESULT };

struct world_event {
	struct world_event *next;
	enum event_kind kind;
	int64_t at;
	int node; /* who gets it */
	uint64_t to_id; /* only this incarnation */
	uint64_t from_id;
	int from;
	uint64_t start_id;
	int target;
	enum syc_send_end end;
	size_t len;
	char data[];
};

enum {
	TICK_MS = 10,
	HEARTBEAT_MS = 200,
	SUSPECT_MS = 1000,
	RUN_MS = 100, /* of a task, at most */
	LINK_RETRY_MS = 300,
	STOP_MS = 8000,
	STOP_GRACE_MS = 2000, /* as the entry daemon allows */
	LIST_LAG_MS = 3000 /* until the list drops who died */
};

static const struct log_options quiet = {.fd = 2, .level = LOG_ERROR};
static const uint8_t cluster_key[SYC_DIGEST_LEN] = {42};

static void world_error(struct world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->errors++)
		return;
	va_start(ap, fmt);
	vsnprintf(w->error, sizeof(w->error), fmt, ap);
	va_end(ap);
}

int world_domain(int node)
{
	return node % WORLD_DOMAINS;
}

bool world_alive(const struct world *w, int node)
{
	return w->nodes[node].core && !w->nodes[node].stop_at;
}

static struct world_event *post(struct world *w, enum event_kind kind, int node,
				int64_t delay, struct syc_bytes data)
{
	struct world_event *e = xcalloc(1, sizeof(*e) + data.n);
	struct world_event **at = &w->events;

	e->kind = kind;
	e->at = w->now + delay;
	e->node = node;
	e->to_id = w->nodes[node].id;
	e->len = data.n;
	if (data.n)
		memcpy(e->data, data.p, data.n);
	while (*at && (*at)->at <= e->at)
		at = &(*at)->next;
	e->next = *at;
	*at = e;
	return e;
}

static const struct syc_bytes nothing = {NULL, 0};

static struct syc_signer trusted;

static int64_t wall_now(void *ctx)
{
	const struct world *w = ctx;

	return 1700000000000 + w->now;
}

static void put_bundle(struct world *w)
{
	static const char text[] =
		"[bundle]\nversion = 1\nsignoffs = 1\n[signer op]\n"
		"[domain d0]\n[domain d1]\n"
		"[service work]\npath = /t\nslots = 4\n"
		"[caller shop]\nowner = o\nshare = 1\ntoken_hash = "
		"0000000000000000000000000000000000000000000000000000000000"
		"000000\n"
		"[kind pay]\nservice = work\nnon_idempotent = yes\n"
		"time_limit_ms = 1000\n";
	uint8_t seed[SYC_SEED_LEN] = {1}, sig[SYC_SIGNATURE_LEN];
	char hex[2 * SYC_SIGNATURE_LEN + 1];
	auto_buf struct buf env = {0};

	strcpy(trusted.name, "op");
	syc_bundle_public_key(seed, trusted.key);
	buf_printf(&env, "%s[signatures]\n", text);
	syc_bundle_sign((struct syc_bytes){env.data, env.len}, seed, sig);
	sodium_bin2hex(hex, sizeof(hex), sig, sizeof(sig));
	buf_printf(&env, "op = %s\n", hex);
	fake_store_put(&w->store, SYC_BUNDLE_KEY, env.data);
}

/* The callbacks' context: which node of which world. */
struct node_ref {
	struct world *w;
	int node;
};

static struct node_ref refs[WORLD_NODES];

static int node_of(const struct world *w, uint64_t id)
{
	int i;

	for (i = 0; i < WORLD_NODES; i++)
		if (w->nodes[i].core && w->nodes[i].id == id)
			return i;
	return -1;
}

static bool cb_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct node_ref *ref = ctx;
	struct world *w = ref->w;
	int node = node_of(w, to);
	int copies = 1, i;

	w->peer_messages++;
	if (node < 0)
		return false;
	if (w->nodes[ref->node].cut[node] ||
	    rng_below(&w->rng, 100) < w->drop_percent)
		return true;
	if (rng_below(&w->rng, 100) < w->repeat_percent)
		copies = 2;
	for (i = 0; i < copies; i++) {
		struct world_event *e = post(w, EVENT_MESSAGE, node,
					     (int64_t)rng_below(&w->rng, 4),
					     msg);

		e->from = ref->node;
		e->from_id = w->nodes[ref->node].id;
	}
	return true;
}

static int target_of(const struct world *w, const char *name)
{
	int i;

	for (i = 0; i < WORLD_TARGETS; i++)
		if (!strcmp(w->targets[i].name, name))
			return i;
	invariant(!"no such target");
}

/* The body names job and task: "JOB/TASK". */
static void count_start(struct world *w, const struct syc_start *start)
{
	unsigned job, task;
	char text[32] = "";

	memcpy(text, start->body.p, start->body.n);
	invariant(sscanf(text, "%u/%u", &job, &task) == 2);
	if (++w->jobs[job].starts[task] > 1)
		world_error(w, "job %u task %u started twice at %" PRId64, job,
			    task, w->now);
}

static void cb_start(void *ctx, const struct syc_start *start)
{
	struct node_ref *ref = ctx;
	struct world *w = ref->w;
	struct world_event *e;
	int target = target_of(w, start->target->name);
	int64_t delay = 1 + (int64_t)rng_below(&w->rng, RUN_MS);
	enum syc_send_end end = SYC_SEND_ANSWERED;
	uint64_t dice = rng_below(&w->rng, 100);

	w->sends++;
	if (dice < w->refuse_percent) {
		delay = 1;
		end = SYC_SEND_REFUSED;
	} else {
		count_start(w, start);
		w->running[target]++;
		if (w->running[target] > WORLD_SLOTS)
			world_error(w, "target %d over its slots at %" PRId64,
				    target, w->now);
		if (dice >= 100 - w->break_percent)
			end = SYC_SEND_BROKEN;
	}
	e = post(w, EVENT_RESULT, ref->node, delay, start->body);
	e->start_id = start->id;
	e->target = target;
	e->end = end;
}

static void cb_stop(void *ctx, uint64_t start_id)
{
}

/* Every result must be the job's own, whole and in order. */
static bool answer_is_own(const struct world_job *j, size_t job,
			  const struct syc_answer *a)
{
	char want[32];
	uint32_t i;

	if (a->n_results != j->n_tasks)
		return false;
	for (i = 0; i < a->n_results; i++) {
		const struct syc_bytes *b = &a->results[i].body;

		snprintf(want, sizeof(want), "%zu/%u", job, i);
		if (b->n != strlen(want) || memcmp(b->p, want, b->n))
			return false;
	}
	return true;
}

static bool has_started(const struct world_job *j)
{
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++)
		if (j->starts[i])
			return true;
	return false;
}

static void cb_answer(void *ctx, uint64_t tag, const struct syc_answer *a)
{
	struct node_ref *ref = ctx;
	struct world *w = ref->w;
	size_t job = (size_t)(tag >> 32);
	struct world_job *j = &w->jobs[job];

	j->answered++;
	if (a->outcome == SYC_COMPLETED) {
		j->completed++;
		if (a->reason != SYC_ANSWER_DROPPED &&
		    !answer_is_own(j, job, a))
			world_error(w, "job %zu got another answer", job);
	} else if (a->n_results) {
		world_error(w, "job %zu got a partial answer", job);
	}
	if (a->outcome == SYC_NOT_RUN) {
		j->not_run++;
		if (has_started(j))
			world_error(w, "job %zu not_run, but it ran (%s)", job,
				    syc_reason_name(a->reason));
	}
	j->failed += a->outcome == SYC_FAILED;
	j->unknown += a->outcome == SYC_UNKNOWN;
}

static void cb_shown(void *ctx, uint64_t tag, const char *state,
		     const struct syc_answer *a)
{
}

static void cb_event(void *ctx, const char *event, const char *detail)
{
}

static void cb_dial(void *ctx, const struct syc_addr *addr)
{
}

static struct syc_instance describe(const struct world *w, int node)
{
	struct syc_instance inst = {.id = w->nodes[node].id};

	snprintf(inst.name, sizeof(inst.name), "n%d", node);
	snprintf(inst.domain, sizeof(inst.domain), "d%d", world_domain(node));
	snprintf(inst.rack, sizeof(inst.rack), "r%d", node / WORLD_DOMAINS);
	strcpy(inst.peer_addr.ip, "127.0.0.1");
	inst.peer_addr.port = (uint16_t)(1000 + node);
	return inst;
}

/* Links come up when both sides can reach each other. */
static void link_up(struct world *w, int a, int b)
{
	struct syc_instance inst = describe(w, a);
	struct syc_bytes data = {&inst, sizeof(inst)};

	post(w, EVENT_LINK_UP, b, 1 + (int64_t)rng_below(&w->rng, 5), data);
}

static void link_all(struct world *w, int node)
{
	int i;

	for (i = 0; i < WORLD_NODES; i++) {
		if (i == node || !w->nodes[i].core)
			continue;
		if (w->nodes[i].cut[node] || w->nodes[node].cut[i])
			continue;
		link_up(w, i, node);
		link_up(w, node, i);
	}
}

static void link_down(struct world *w, uint64_t id, int node, int64_t delay)
{
	struct world_event *e = post(w, EVENT_LINK_DOWN, node, delay, nothing);

	e->from_id = id;
}

void world_start(struct world *w, int node)
{
	struct world_node *n = &w->nodes[node];
	struct syc_core_options opt = {
		.seed = rng_next(&w->rng),
		.heartbeat_ms = HEARTBEAT_MS,
		.suspect_ms = SUSPECT_MS,
		.queue_max = 1000,
		.claims_max = 10000,
		.answers_max_bytes = 1 << 20,
		.cluster_key = cluster_key,
		.stop_ms = STOP_MS,
		.list_interval_ms = 1000,
		.wall = {wall_now, w},
		.trusted = &trusted,
		.n_trusted = 1,
		.ctx = &refs[node],
		.dial = cb_dial,
		.send = cb_send,
		.start = cb_start,
		.stop = cb_stop,
		.answer = cb_answer,
		.report_state = cb_shown,
		.event = cb_event,
	};
	int i;

	invariant(!n->core && w->n_clients < 256);
	n->client = &w->clients[w->n_clients++];
	n->client->store = &w->store;
	n->id = rng_next(&w->rng) | 1;
	n->paused = false;
	n->stop_at = 0;
	for (i = 0; i < WORLD_NODES; i++)
		n->cut[i] = false;
	refs[node].w = w;
	refs[node].node = node;
	opt.self = describe(w, node);
	opt.store = fake_store_ops(n->client);
	n->core = syc_core_new(&opt, w->now);
	link_all(w, node);
}

void world_kill(struct world *w, int node)
{
	struct world_node *n = &w->nodes[node];
	int i;

	if (!n->core)
		return;
	for (i = 0; i < WORLD_NODES; i++)
		if (i != node && w->nodes[i].core)
			link_down(w, n->id, i, 1);
	fake_store_drop(n->client);
	syc_core_free(n->core);
	n->core = NULL;
	n->stop_at = 0;
	w->died_at[node] = w->now;
	n->id = 0;
}

void world_pause(struct world *w, int node)
{
	w->nodes[node].paused = true;
	w->nodes[node].client->paused = true;
}

void world_resume(struct world *w, int node)
{
	w->nodes[node].paused = false;
	if (w->nodes[node].client)
		w->nodes[node].client->paused = false;
}

void world_stop(struct world *w, int node)
{
	if (!world_alive(w, node))
		return;
	w->nodes[node].stop_at = w->now;
	syc_core_stop(w->nodes[node].core, w->now);
}

void world_cut(struct world *w, int from, int to, bool cut)
{
	struct world_node *a = &w->nodes[from], *b = &w->nodes[to];
	bool was = a->cut[to] || b->cut[from];

	if (from == to)
		return;
	a->cut[to] = cut;
	if (!a->core || !b->core)
		return;
	if (cut && !was) {
		link_down(w, a->id, to, LINK_RETRY_MS);
		link_down(w, b->id, from, LINK_RETRY_MS);
	} else if (was && !a->cut[to] && !b->cut[from]) {
		link_up(w, from, to);
		link_up(w, to, from);
	}
}

void world_cut_store(struct world *w, int node, bool cut)
{
	if (w->nodes[node].client)
		w->nodes[node].client->cut = cut;
}

void world_cut_domain(struct world *w, int domain, bool cut)
{
	int a, b;

	for (a = 0; a < WORLD_NODES; a++)
		for (b = 0; b < WORLD_NODES; b++)
			if (world_domain(a) == domain &&
			    world_domain(b) != domain) {
				world_cut(w, a, b, cut);
				world_cut(w, b, a, cut);
			}
}

void world_heal(struct world *w)
{
	int a, b;

	w->store.down = false;
	w->store.lose_percent = 0;
	w->store.stale_percent = 0;
	w->drop_percent = 0;
	w->repeat_percent = 0;
	for (a = 0; a < WORLD_NODES; a++) {
		world_resume(w, a);
		world_cut_store(w, a, false);
		for (b = 0; b < WORLD_NODES; b++)
			world_cut(w, a, b, false);
	}
}

static void deliver_result(struct world *w, struct world_event *e)
{
	struct syc_send_result res = {.end = e->end, .status = 200};

	if (e->end == SYC_SEND_ANSWERED) {
		res.body.p = e->data;
		res.body.n = e->len;
	}
	syc_core_result(w->nodes[e->node].core, w->now, e->start_id, &res);
}

/* A link that broke while nothing is cut any more comes up again. */
static void dial_again(struct world *w, int node, int from)
{
	if (from < 0 || w->nodes[from].cut[node] || w->nodes[node].cut[from])
		return;
	link_up(w, from, node);
	link_up(w, node, from);
}

static void deliver(struct world *w, struct world_event *e)
{
	struct syc_core *core = w->nodes[e->node].core;
	struct syc_bytes data = {e->data, e->len};
	struct syc_instance inst;

	switch (e->kind) {
	case EVENT_MESSAGE:
		syc_core_receive(core, w->now, e->from_id, data);
		return;
	case EVENT_LINK_UP:
		memcpy(&inst, e->data, sizeof(inst));
		if (node_of(w, inst.id) >= 0)
			syc_core_peer_up(core, w->now, &inst);
		return;
	case EVENT_LINK_DOWN:
		syc_core_peer_down(core, w->now, e->from_id);
		dial_again(w, e->node, node_of(w, e->from_id));
		return;
	case EVENT_RESULT:
		deliver_result(w, e);
		return;
	}
}

/* A target frees its slot also when whoever asked is gone or paused. */
static void at_target(struct world *w, struct world_event *e)
{
	if (e->kind != EVENT_RESULT || e->target < 0)
		return;
	if (e->end != SYC_SEND_REFUSED)
		w->running[e->target]--;
	e->target = -1;
}

static void run_events(struct world *w)
{
	struct world_event **at = &w->events;

	while (*at && (*at)->at <= w->now) {
		struct world_event *e = *at;
		struct world_node *n = &w->nodes[e->node];

		at_target(w, e);
		if (n->core && n->id == e->to_id && n->paused) {
			at = &e->next;
			continue;
		}
		*at = e->next;
		if (n->core && n->id == e->to_id)
			deliver(w, e);
		free(e);
		/* Delivery may have put events before the ones passed over. */
		at = &w->events;
		while (*at && (*at)->at <= w->now &&
		       w->nodes[(*at)->node].paused)
			at = &(*at)->next;
	}
}

static void tick_node(struct world *w, int node)
{
	struct world_node *n = &w->nodes[node];

	if (!n->core || n->paused)
		return;
	syc_core_tick(n->core, w->now);
	if (n->stop_at && (syc_core_stopped(n->core) ||
			   w->now - n->stop_at > STOP_MS + STOP_GRACE_MS))
		world_kill(w, node);
}

/* The platform's list lags: it goes on naming who has just died. */
static void list_entries(struct world *w)
{
	size_t n = 0;
	int i;

	for (i = 0; i < WORLD_NODES; i++) {
		struct syc_instance inst = describe(w, i);

		if (!w->nodes[i].core && w->now - w->died_at[i] >= LIST_LAG_MS)
			continue;
		copy_name(w->entries[n].name, SYC_NAME_MAX, inst.name);
		w->entries[n++].addr = inst.peer_addr;
	}
	w->store.entries = w->entries;
	w->store.n_entries = n;
}

void world_run(struct world *w, int64_t ms)
{
	int64_t until = w->now + ms;
	int i;

	for (; w->now < until; w->now++) {
		fake_store_run(&w->store, w->now);
		run_events(w);
		if (w->now % TICK_MS)
			continue;
		list_entries(w);
		for (i = 0; i < WORLD_NODES; i++)
			tick_node(w, i);
	}
}

static void describe_target(struct world *w, int i)
{
	struct syc_target *t = &w->targets[i];

	snprintf(t->name, sizeof(t->name), "t%d", i);
	strcpy(t->service, "work");
	snprintf(t->domain, sizeof(t->domain), "d%d", i % WORLD_DOMAINS);
	snprintf(t->rack, sizeof(t->rack), "r%d", i);
	strcpy(t->addr.ip, "127.0.0.1");
	t->addr.port = (uint16_t)(2000 + i);
	t->cpus = 16;
	t->memory_mb = 65536;
}

void world_init(struct world *w, uint64_t seed)
{
	int i;

	memset(w, 0, sizeof(*w));
	log_init(&quiet);
	invariant(sodium_init() >= 0);
	w->rng.state = seed;
	w->store.rng.state = seed + 1;
	w->store.delay_ms = 2;
	w->now = 1000;
	w->store.now = w->now;
	for (i = 0; i < WORLD_TARGETS; i++)
		describe_target(w, i);
	w->store.targets = w->targets;
	w->store.n_targets = WORLD_TARGETS;
	put_bundle(w);
}

void world_free(struct world *w)
{
	struct world_event *e;
	int i;

	for (i = 0; i < WORLD_NODES; i++)
		world_kill(w, i);
	while ((e = w->events)) {
		w->events = e->next;
		free(e);
	}
	fake_store_free(&w->store);
}

size_t world_job(struct world *w, const char *key, uint32_t n_tasks)
{
	struct world_job *j = &w->jobs[w->n_jobs];

	invariant(w->n_jobs < WORLD_JOBS && n_tasks <= WORLD_JOB_TASKS);
	copy_name(j->key, sizeof(j->key), key ? key : "");
	j->n_tasks = n_tasks;
	return w->n_jobs++;
}

void world_submit(struct world *w, size_t job, int node)
{
	struct world_job *j = &w->jobs[job];
	struct syc_task_spec tasks[WORLD_JOB_TASKS] = {{{NULL, 0}, 0, 0, 0, 0}};
	char bodies[WORLD_JOB_TASKS][32];
	struct syc_job_spec spec = {
		.caller = "shop",
		.kind = "pay",
		.n_tasks = j->n_tasks,
		.tasks = tasks,
	};
	uint32_t i;

	invariant(w->nodes[node].core);
	for (i = 0; i < j->n_tasks; i++) {
		snprintf(bodies[i], sizeof(bodies[i]), "%zu/%u", job, i);
		tasks[i].body.p = bodies[i];
		tasks[i].body.n = strlen(bodies[i]);
	}
	j->asked++;
	syc_core_submit(w->nodes[node].core, w->now,
			(uint64_t)job << 32 | j->asked, *j->key ? j->key : NULL,
			&spec);
}

uint32_t world_waiting(const struct world *w)
{
	uint32_t n = 0;
	int i;

	for (i = 0; i < WORLD_NODES; i++)
		if (w->nodes[i].core)
			n += (uint32_t)syc_core_in_flight(w->nodes[i].core);
	return n;
}
