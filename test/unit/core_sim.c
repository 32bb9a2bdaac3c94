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
#include "core_sim.h"

enum event_kind { EVENT_MESSAGE, EVENT_LINK_UP, EVENT_LINK_DOWN, EVENT_RESULT };

struct core_sim_event {
	struct core_sim_event *next;
	enum event_kind kind;
	int64_t at;
	int node; /* receiver */
	uint64_t to_id; /* incarnation of the receiver */
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
	RUN_MS = 100, /* longest run time of a task */
	LINK_RETRY_MS = 300,
	STOP_MS = 8000,
	STOP_GRACE_MS = 2000, /* the same as in the entry daemon */
	LIST_LAG_MS = 3000 /* until the list drops a dead instance */
};

static const struct log_options log_errors_only = {.fd = 2, .level = LOG_ERROR};
static const uint8_t cluster_key[SYC_DIGEST_LEN] = {42};

static void record_error(struct core_sim *sim, const char *fmt, ...)
{
	va_list ap;

	if (sim->errors++)
		return;
	va_start(ap, fmt);
	vsnprintf(sim->error, sizeof(sim->error), fmt, ap);
	va_end(ap);
}

int core_sim_domain(int node)
{
	return node % CORE_SIM_DOMAINS;
}

bool core_sim_is_running(const struct core_sim *sim, int node)
{
	return sim->nodes[node].core && !sim->nodes[node].stop_at;
}

static struct core_sim_event *schedule(struct core_sim *sim,
				       enum event_kind kind, int node,
				       int64_t delay_ms, struct syc_bytes data)
{
	struct core_sim_event *e = xcalloc(1, sizeof(*e) + data.n);
	struct core_sim_event **at = &sim->events;

	e->kind = kind;
	e->at = sim->now + delay_ms;
	e->node = node;
	e->to_id = sim->nodes[node].id;
	e->len = data.n;
	if (data.n)
		memcpy(e->data, data.p, data.n);
	while (*at && (*at)->at <= e->at)
		at = &(*at)->next;
	e->next = *at;
	*at = e;
	return e;
}

static const struct syc_bytes no_data = {NULL, 0};

static struct syc_signer trusted;

static int64_t wall_now(void *ctx)
{
	const struct core_sim *sim = ctx;

	return 1700000000000 + sim->now;
}

static void store_bundle(struct core_sim *sim)
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
	fake_store_put(&sim->store, SYC_BUNDLE_KEY, env.data);
}

/* Context of the callbacks: a node of a simulation. */
struct node_ref {
	struct core_sim *sim;
	int node;
};

static struct node_ref node_refs[CORE_SIM_NODES];

static int find_node(const struct core_sim *sim, uint64_t id)
{
	int i;

	for (i = 0; i < CORE_SIM_NODES; i++)
		if (sim->nodes[i].core && sim->nodes[i].id == id)
			return i;
	return -1;
}

static bool on_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct node_ref *ref = ctx;
	struct core_sim *sim = ref->sim;
	int node = find_node(sim, to);
	int copies = 1, i;

	sim->peer_messages++;
	if (node < 0)
		return false;
	if (sim->nodes[ref->node].cut[node] ||
	    rng_below(&sim->rng, 100) < sim->drop_percent)
		return true;
	if (rng_below(&sim->rng, 100) < sim->repeat_percent)
		copies = 2;
	for (i = 0; i < copies; i++) {
		struct core_sim_event *e = schedule(
			sim, EVENT_MESSAGE, node,
			(int64_t)rng_below(&sim->rng, 4), msg);

		e->from = ref->node;
		e->from_id = sim->nodes[ref->node].id;
	}
	return true;
}

static int find_target(const struct core_sim *sim, const char *name)
{
	int i;

	for (i = 0; i < CORE_SIM_TARGETS; i++)
		if (!strcmp(sim->targets[i].name, name))
			return i;
	invariant(!"no such target");
}

/* Counts a start by the body, which contains "JOB/TASK". */
static void count_start(struct core_sim *sim, const struct syc_start *start)
{
	unsigned job, task;
	char text[32] = "";

	memcpy(text, start->body.p, start->body.n);
	invariant(sscanf(text, "%u/%u", &job, &task) == 2);
	if (++sim->jobs[job].starts[task] > 1)
		record_error(sim, "job %u task %u started twice at %" PRId64,
			     job, task, sim->now);
}

static void on_start(void *ctx, const struct syc_start *start)
{
	struct node_ref *ref = ctx;
	struct core_sim *sim = ref->sim;
	struct core_sim_event *e;
	int target = find_target(sim, start->target->name);
	int64_t delay_ms = 1 + (int64_t)rng_below(&sim->rng, RUN_MS);
	enum syc_send_end end = SYC_SEND_ANSWERED;
	uint64_t percent = rng_below(&sim->rng, 100);

	sim->sends++;
	if (percent < sim->refuse_percent) {
		delay_ms = 1;
		end = SYC_SEND_REFUSED;
	} else {
		count_start(sim, start);
		sim->running[target]++;
		if (sim->running[target] > CORE_SIM_SLOTS)
			record_error(sim,
				     "target %d ran too many tasks at %" PRId64,
				     target, sim->now);
		if (percent >= 100 - sim->break_percent)
			end = SYC_SEND_BROKEN;
	}
	e = schedule(sim, EVENT_RESULT, ref->node, delay_ms, start->body);
	e->start_id = start->id;
	e->target = target;
	e->end = end;
}

static void on_stop(void *ctx, uint64_t start_id)
{
}

/*
 * Returns whether the answer has the results of all tasks of this job in order.
 */
static bool answer_is_own(const struct core_sim_job *j, size_t job,
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

static bool has_started(const struct core_sim_job *j)
{
	uint32_t i;

	for (i = 0; i < j->n_tasks; i++)
		if (j->starts[i])
			return true;
	return false;
}

static void on_answer(void *ctx, uint64_t tag, const struct syc_answer *a)
{
	struct node_ref *ref = ctx;
	struct core_sim *sim = ref->sim;
	size_t job = (size_t)(tag >> 32);
	struct core_sim_job *j = &sim->jobs[job];

	j->answered++;
	if (a->outcome == SYC_COMPLETED) {
		j->completed++;
		if (a->reason != SYC_ANSWER_DROPPED &&
		    !answer_is_own(j, job, a))
			record_error(sim, "job %zu got a wrong answer", job);
	} else if (a->n_results) {
		record_error(sim, "job %zu got a partial answer", job);
	}
	if (a->outcome == SYC_NOT_RUN) {
		j->not_run++;
		if (has_started(j))
			record_error(sim, "job %zu not_run, but it ran (%s)",
				     job, syc_reason_name(a->reason));
	}
	j->failed += a->outcome == SYC_FAILED;
	j->unknown += a->outcome == SYC_UNKNOWN;
}

static void on_report_state(void *ctx, uint64_t tag, const char *state,
			    const struct syc_answer *a)
{
}

static void on_event(void *ctx, const char *event, const char *detail)
{
}

static void on_dial(void *ctx, const struct syc_addr *addr)
{
}

static struct syc_instance describe_node(const struct core_sim *sim, int node)
{
	struct syc_instance inst = {.id = sim->nodes[node].id};

	snprintf(inst.name, sizeof(inst.name), "n%d", node);
	snprintf(inst.domain, sizeof(inst.domain), "d%d",
		 core_sim_domain(node));
	snprintf(inst.rack, sizeof(inst.rack), "r%d", node / CORE_SIM_DOMAINS);
	strcpy(inst.peer_addr.ip, "127.0.0.1");
	inst.peer_addr.port = (uint16_t)(1000 + node);
	return inst;
}

/* Schedules the event that reports a link with `a` to `b`. */
static void schedule_link_up(struct core_sim *sim, int a, int b)
{
	struct syc_instance inst = describe_node(sim, a);
	struct syc_bytes data = {&inst, sizeof(inst)};

	schedule(sim, EVENT_LINK_UP, b, 1 + (int64_t)rng_below(&sim->rng, 5),
		 data);
}

/* Links a node with all running ones from which it is not cut off. */
static void link_all(struct core_sim *sim, int node)
{
	int i;

	for (i = 0; i < CORE_SIM_NODES; i++) {
		if (i == node || !sim->nodes[i].core)
			continue;
		if (sim->nodes[i].cut[node] || sim->nodes[node].cut[i])
			continue;
		schedule_link_up(sim, i, node);
		schedule_link_up(sim, node, i);
	}
}

static void schedule_link_down(struct core_sim *sim, uint64_t id, int node,
			       int64_t delay_ms)
{
	struct core_sim_event *e = schedule(sim, EVENT_LINK_DOWN, node,
					    delay_ms, no_data);

	e->from_id = id;
}

void core_sim_start(struct core_sim *sim, int node)
{
	struct core_sim_node *n = &sim->nodes[node];
	struct syc_core_options opt = {
		.seed = rng_next(&sim->rng),
		.heartbeat_ms = HEARTBEAT_MS,
		.suspect_ms = SUSPECT_MS,
		.queue_max = 1000,
		.claims_max = 10000,
		.answers_max_bytes = 1 << 20,
		.cluster_key = cluster_key,
		.stop_ms = STOP_MS,
		.list_interval_ms = 1000,
		.wall = {wall_now, sim},
		.trusted = &trusted,
		.n_trusted = 1,
		.ctx = &node_refs[node],
		.dial = on_dial,
		.send = on_send,
		.start = on_start,
		.stop = on_stop,
		.answer = on_answer,
		.report_state = on_report_state,
		.event = on_event,
	};
	int i;

	invariant(!n->core && sim->n_clients < 256);
	n->client = &sim->clients[sim->n_clients++];
	n->client->store = &sim->store;
	n->id = rng_next(&sim->rng) | 1;
	n->paused = false;
	n->stop_at = 0;
	for (i = 0; i < CORE_SIM_NODES; i++)
		n->cut[i] = false;
	node_refs[node].sim = sim;
	node_refs[node].node = node;
	opt.self = describe_node(sim, node);
	opt.store = fake_store_ops(n->client);
	n->core = syc_core_new(&opt, sim->now);
	link_all(sim, node);
}

void core_sim_kill(struct core_sim *sim, int node)
{
	struct core_sim_node *n = &sim->nodes[node];
	int i;

	if (!n->core)
		return;
	for (i = 0; i < CORE_SIM_NODES; i++)
		if (i != node && sim->nodes[i].core)
			schedule_link_down(sim, n->id, i, 1);
	fake_store_end_client(n->client);
	syc_core_free(n->core);
	n->core = NULL;
	n->stop_at = 0;
	sim->died_at[node] = sim->now;
	n->id = 0;
}

void core_sim_pause(struct core_sim *sim, int node)
{
	sim->nodes[node].paused = true;
	sim->nodes[node].client->paused = true;
}

void core_sim_resume(struct core_sim *sim, int node)
{
	sim->nodes[node].paused = false;
	if (sim->nodes[node].client)
		sim->nodes[node].client->paused = false;
}

void core_sim_stop(struct core_sim *sim, int node)
{
	if (!core_sim_is_running(sim, node))
		return;
	sim->nodes[node].stop_at = sim->now;
	syc_core_stop(sim->nodes[node].core, sim->now);
}

void core_sim_cut(struct core_sim *sim, int from, int to, bool cut)
{
	struct core_sim_node *a = &sim->nodes[from], *b = &sim->nodes[to];
	bool was_cut = a->cut[to] || b->cut[from];

	if (from == to)
		return;
	a->cut[to] = cut;
	if (!a->core || !b->core)
		return;
	if (cut && !was_cut) {
		schedule_link_down(sim, a->id, to, LINK_RETRY_MS);
		schedule_link_down(sim, b->id, from, LINK_RETRY_MS);
	} else if (was_cut && !a->cut[to] && !b->cut[from]) {
		schedule_link_up(sim, from, to);
		schedule_link_up(sim, to, from);
	}
}

void core_sim_cut_store(struct core_sim *sim, int node, bool cut)
{
	if (sim->nodes[node].client)
		sim->nodes[node].client->cut = cut;
}

void core_sim_cut_domain(struct core_sim *sim, int domain, bool cut)
{
	int a, b;

	for (a = 0; a < CORE_SIM_NODES; a++)
		for (b = 0; b < CORE_SIM_NODES; b++)
			if (core_sim_domain(a) == domain &&
			    core_sim_domain(b) != domain) {
				core_sim_cut(sim, a, b, cut);
				core_sim_cut(sim, b, a, cut);
			}
}

void core_sim_heal(struct core_sim *sim)
{
	int a, b;

	sim->store.down = false;
	sim->store.lost_reply_percent = 0;
	sim->store.stale_read_percent = 0;
	sim->drop_percent = 0;
	sim->repeat_percent = 0;
	for (a = 0; a < CORE_SIM_NODES; a++) {
		core_sim_resume(sim, a);
		core_sim_cut_store(sim, a, false);
		for (b = 0; b < CORE_SIM_NODES; b++)
			core_sim_cut(sim, a, b, false);
	}
}

static void deliver_result(struct core_sim *sim, struct core_sim_event *e)
{
	struct syc_send_result res = {.end = e->end, .status = 200};

	if (e->end == SYC_SEND_ANSWERED) {
		res.body.p = e->data;
		res.body.n = e->len;
	}
	syc_core_result(sim->nodes[e->node].core, sim->now, e->start_id, &res);
}

/* Links the nodes again after a broken link, unless they are cut off now. */
static void restore_link(struct core_sim *sim, int node, int from)
{
	if (from < 0 || sim->nodes[from].cut[node] ||
	    sim->nodes[node].cut[from])
		return;
	schedule_link_up(sim, from, node);
	schedule_link_up(sim, node, from);
}

static void deliver(struct core_sim *sim, struct core_sim_event *e)
{
	struct syc_core *core = sim->nodes[e->node].core;
	struct syc_bytes data = {e->data, e->len};
	struct syc_instance inst;

	switch (e->kind) {
	case EVENT_MESSAGE:
		syc_core_receive(core, sim->now, e->from_id, data);
		return;
	case EVENT_LINK_UP:
		memcpy(&inst, e->data, sizeof(inst));
		if (find_node(sim, inst.id) >= 0)
			syc_core_peer_up(core, sim->now, &inst);
		return;
	case EVENT_LINK_DOWN:
		syc_core_peer_down(core, sim->now, e->from_id);
		restore_link(sim, e->node, find_node(sim, e->from_id));
		return;
	case EVENT_RESULT:
		deliver_result(sim, e);
		return;
	}
}

/* A target frees its slot even if the sender has ended or is paused. */
static void release_slot(struct core_sim *sim, struct core_sim_event *e)
{
	if (e->kind != EVENT_RESULT || e->target < 0)
		return;
	if (e->end != SYC_SEND_REFUSED)
		sim->running[e->target]--;
	e->target = -1;
}

static void run_events(struct core_sim *sim)
{
	struct core_sim_event **at = &sim->events;

	while (*at && (*at)->at <= sim->now) {
		struct core_sim_event *e = *at;
		struct core_sim_node *n = &sim->nodes[e->node];

		release_slot(sim, e);
		if (n->core && n->id == e->to_id && n->paused) {
			at = &e->next;
			continue;
		}
		*at = e->next;
		if (n->core && n->id == e->to_id)
			deliver(sim, e);
		free(e);
		/*
		 * Delivery may have inserted events before those that a paused
		 * node keeps waiting.
		 */
		at = &sim->events;
		while (*at && (*at)->at <= sim->now &&
		       sim->nodes[(*at)->node].paused)
			at = &(*at)->next;
	}
}

static void tick_node(struct core_sim *sim, int node)
{
	struct core_sim_node *n = &sim->nodes[node];

	if (!n->core || n->paused)
		return;
	syc_core_tick(n->core, sim->now);
	if (n->stop_at && (syc_core_stopped(n->core) ||
			   sim->now - n->stop_at > STOP_MS + STOP_GRACE_MS))
		core_sim_kill(sim, node);
}

/* Updates the platform's list, which keeps dead instances for LIST_LAG_MS. */
static void list_entries(struct core_sim *sim)
{
	size_t n = 0;
	int i;

	for (i = 0; i < CORE_SIM_NODES; i++) {
		struct syc_instance inst = describe_node(sim, i);

		if (!sim->nodes[i].core &&
		    sim->now - sim->died_at[i] >= LIST_LAG_MS)
			continue;
		copy_text(sim->entries[n].name, SYC_NAME_MAX, inst.name);
		sim->entries[n++].addr = inst.peer_addr;
	}
	sim->store.entries = sim->entries;
	sim->store.n_entries = n;
}

void core_sim_run(struct core_sim *sim, int64_t ms)
{
	int64_t until = sim->now + ms;
	int i;

	for (; sim->now < until; sim->now++) {
		fake_store_run(&sim->store, sim->now);
		run_events(sim);
		if (sim->now % TICK_MS)
			continue;
		list_entries(sim);
		for (i = 0; i < CORE_SIM_NODES; i++)
			tick_node(sim, i);
	}
}

static void describe_target(struct core_sim *sim, int i)
{
	struct syc_target *t = &sim->targets[i];

	snprintf(t->name, sizeof(t->name), "t%d", i);
	strcpy(t->service, "work");
	snprintf(t->domain, sizeof(t->domain), "d%d", i % CORE_SIM_DOMAINS);
	snprintf(t->rack, sizeof(t->rack), "r%d", i);
	strcpy(t->addr.ip, "127.0.0.1");
	t->addr.port = (uint16_t)(2000 + i);
	t->cpus = 16;
	t->memory_mb = 65536;
}

void core_sim_setup(struct core_sim *sim, uint64_t seed)
{
	int i;

	memset(sim, 0, sizeof(*sim));
	log_init(&log_errors_only);
	invariant(sodium_init() >= 0);
	sim->rng.state = seed;
	sim->store.rng.state = seed + 1;
	sim->store.delay_ms = 2;
	sim->now = 1000;
	sim->store.now = sim->now;
	for (i = 0; i < CORE_SIM_TARGETS; i++)
		describe_target(sim, i);
	sim->store.targets = sim->targets;
	sim->store.n_targets = CORE_SIM_TARGETS;
	store_bundle(sim);
}

void core_sim_free(struct core_sim *sim)
{
	struct core_sim_event *e;
	int i;

	for (i = 0; i < CORE_SIM_NODES; i++)
		core_sim_kill(sim, i);
	while ((e = sim->events)) {
		sim->events = e->next;
		free(e);
	}
	fake_store_free(&sim->store);
}

size_t core_sim_add_job(struct core_sim *sim, const char *key, uint32_t n_tasks)
{
	struct core_sim_job *j = &sim->jobs[sim->n_jobs];

	invariant(sim->n_jobs < CORE_SIM_JOBS && n_tasks <= CORE_SIM_JOB_TASKS);
	copy_text(j->key, sizeof(j->key), key ? key : "");
	j->n_tasks = n_tasks;
	return sim->n_jobs++;
}

void core_sim_submit(struct core_sim *sim, size_t job, int node)
{
	struct core_sim_job *j = &sim->jobs[job];
	struct syc_task_spec tasks[CORE_SIM_JOB_TASKS] = {
		{{NULL, 0}, 0, 0, 0, 0}};
	char bodies[CORE_SIM_JOB_TASKS][32];
	struct syc_job_spec spec = {
		.caller = "shop",
		.kind = "pay",
		.n_tasks = j->n_tasks,
		.tasks = tasks,
	};
	uint32_t i;

	invariant(sim->nodes[node].core);
	for (i = 0; i < j->n_tasks; i++) {
		snprintf(bodies[i], sizeof(bodies[i]), "%zu/%u", job, i);
		tasks[i].body.p = bodies[i];
		tasks[i].body.n = strlen(bodies[i]);
	}
	j->submitted++;
	syc_core_submit(sim->nodes[node].core, sim->now,
			(uint64_t)job << 32 | j->submitted,
			*j->key ? j->key : NULL, &spec);
}

uint32_t core_sim_in_flight(const struct core_sim *sim)
{
	uint32_t n = 0;
	int i;

	for (i = 0; i < CORE_SIM_NODES; i++)
		if (sim->nodes[i].core)
			n += (uint32_t)syc_core_in_flight(sim->nodes[i].core);
	return n;
}
