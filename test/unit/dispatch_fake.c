#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_fake.h"
#include "util/alloc.h"

static void on_start(void *ctx, const struct syc_start *start)
{
	struct fake *f = ctx;
	struct fake_send *send = &f->sends[f->n_sends++];

	CU_ASSERT_FATAL(f->n_sends < FAKE_SENDS_MAX);
	send->id = start->id;
	send->task = start->task;
	send->attempt = start->attempt;
	copy_text(send->target, sizeof(send->target), start->target->name);
	copy_text(send->caller, sizeof(send->caller), start->caller);
	memcpy(send->body, start->body.p, start->body.n);
	send->is_open = true;
	f->n_open++;
}

static void on_stop(void *ctx, uint64_t id)
{
	struct fake *f = ctx;
	int i;

	f->n_stops++;
	for (i = 0; i < f->n_sends; i++)
		if (f->sends[i].id == id)
			f->sends[i].is_stopped = true;
}

static void send_message(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct fake *f = ctx;

	f->n_messages++;
}

static void on_done(void *ctx, uint64_t tag, const struct syc_answer *answer)
{
	struct fake *f = ctx;
	struct fake_answer *a = &f->answers[tag];
	uint32_t i;

	CU_ASSERT_EQUAL(a->count, 0);
	a->count++;
	a->answer = *answer;
	for (i = 0; i < answer->n_results && i < FAKE_RESULTS_MAX; i++)
		memcpy(a->bodies[i], answer->results[i].body.p,
		       answer->results[i].body.n);
}

static uint64_t find_owner(void *ctx, const char *name)
{
	struct fake *f = ctx;

	return f->owner;
}

static void set_kind(struct syc_kind *k, const char *name, const char *service,
		     bool non_idempotent)
{
	copy_text(k->name, sizeof(k->name), name);
	copy_text(k->service, sizeof(k->service), service);
	k->non_idempotent = non_idempotent;
	k->time_limit_ms = 2000;
}

static void set_caller(struct syc_caller *c, const char *name, uint32_t share)
{
	copy_text(c->name, sizeof(c->name), name);
	c->share = share;
}

struct syc_bundle *fake_bundle(uint64_t version)
{
	struct syc_bundle *b = xcalloc(1, sizeof(*b));

	b->refs = 1;
	b->version = version;
	b->retry_percent = 10;
	b->n_domains = 1;
	b->domains = xcalloc(1, sizeof(*b->domains));
	strcpy(b->domains[0], "d1");
	b->n_services = 2;
	b->services = xcalloc(2, sizeof(*b->services));
	strcpy(b->services[0].name, "svc");
	b->services[0].slots = 4;
	strcpy(b->services[1].name, "gpu");
	b->services[1].slots = 4;
	b->n_callers = 4;
	b->callers = xcalloc(4, sizeof(*b->callers));
	set_caller(&b->callers[0], "a", 3);
	set_caller(&b->callers[1], "b", 1);
	set_caller(&b->callers[2], "few", 1);
	b->callers[2].slots = 2;
	set_caller(&b->callers[3], "metered", 1);
	b->callers[3].rate = 5;
	b->n_kinds = 4;
	b->kinds = xcalloc(4, sizeof(*b->kinds));
	set_kind(&b->kinds[0], "job", "svc", false);
	set_kind(&b->kinds[1], "print", "svc", true);
	set_kind(&b->kinds[2], "view", "svc", false);
	b->kinds[2].retries = 2;
	set_kind(&b->kinds[3], "hedged", "svc", false);
	b->kinds[3].hedge_ms = 150;
	return b;
}

static void list_targets(struct fake *f, int n, const char *prefix,
			 uint32_t cpus, bool leaving)
{
	struct syc_target *targets = xcalloc((size_t)n, sizeof(*targets));
	int i;

	for (i = 0; i < n; i++) {
		snprintf(targets[i].name, sizeof(targets[i].name), "%s%d",
			 prefix, i);
		strcpy(targets[i].service, "svc");
		strcpy(targets[i].domain, "d1");
		snprintf(targets[i].rack, sizeof(targets[i].rack), "r%d",
			 i / 4);
		targets[i].cpus = cpus;
		targets[i].memory_mb = 8192;
		targets[i].leaving = leaving;
	}
	syc_dispatch_set_targets(f->d, f->now, "svc", targets, (size_t)n);
	free(targets);
}

void fake_list_targets(struct fake *f, int n, bool leaving)
{
	list_targets(f, n, "t", 8, leaving);
}

void fake_list_small_targets(struct fake *f, int n)
{
	list_targets(f, n, "s", 4, false);
}

struct fake *fake_new(int n_targets)
{
	struct fake *f = xcalloc(1, sizeof(*f));
	struct syc_dispatch_options opt = {0};
	struct syc_bundle *b = fake_bundle(1);

	f->now = 1000;
	f->self = f->owner = 7;
	opt.self = f->self;
	opt.domain = "d1";
	opt.rack = "r0";
	opt.seed = 1;
	opt.queue_max = 2000;
	opt.ctx = f;
	opt.start = on_start;
	opt.stop = on_stop;
	opt.send = send_message;
	opt.done = on_done;
	opt.find_owner = find_owner;
	f->d = syc_dispatch_new(&opt, f->now);
	syc_dispatch_set_first_map(f->d);
	syc_dispatch_set_bundle(f->d, f->now, b);
	syc_bundle_unref(b);
	fake_list_targets(f, n_targets, false);
	return f;
}

void fake_free(struct fake *f)
{
	syc_dispatch_free(f->d);
	free(f);
}

void fake_submit(struct fake *f, uint64_t tag, const char *caller,
		 const char *kind, uint32_t n, uint32_t deadline_ms)
{
	struct syc_task_spec *tasks = xcalloc(n, sizeof(*tasks));
	char(*bodies)[16] = xcalloc(n, sizeof(*bodies));
	struct syc_job_spec spec = {0};
	uint32_t i;

	for (i = 0; i < n; i++) {
		snprintf(bodies[i], sizeof(bodies[i]), "%u", i);
		tasks[i].body.p = bodies[i];
		tasks[i].body.n = strlen(bodies[i]);
		tasks[i].run_ms = 100;
	}
	spec.caller = caller;
	spec.kind = kind;
	spec.single = !strcmp(kind, "view") || !strcmp(kind, "hedged");
	spec.deadline_ms = deadline_ms;
	spec.n_tasks = n;
	spec.tasks = tasks;
	syc_dispatch_submit(f->d, f->now, tag, &spec);
	free(tasks);
	free(bodies);
}

void fake_end(struct fake *f, int i, enum syc_send_end end, uint16_t status)
{
	struct fake_send *send = &f->sends[i];
	struct syc_send_result result = {0};

	CU_ASSERT_TRUE_FATAL(send->is_open);
	send->is_open = false;
	f->n_open--;
	result.end = end;
	result.status = status;
	result.body.p = send->body;
	result.body.n = strlen(send->body);
	syc_dispatch_result(f->d, f->now, send->id, &result);
}

void fake_end_all(struct fake *f, enum syc_send_end end)
{
	int i;

	for (i = 0; i < f->n_sends; i++)
		if (f->sends[i].is_open)
			fake_end(f, i, end, 200);
}

void fake_tick(struct fake *f, int64_t ms)
{
	f->now += ms;
	syc_dispatch_tick(f->d, f->now);
}
