#include <stdlib.h>
#include <string.h>

#include "core/job_msgs.h"
#include "util/alloc.h"

enum {
	REQUEST_FIELDS = 9,
	TASK_FIELDS = 5,
	ANSWER_FIELDS = 7,
	RESULT_FIELDS = 4
};

struct job_request job_request_make(enum job_action action, const char *caller,
				    const char *key,
				    const struct syc_job_spec *spec)
{
	struct job_request m = {.action = action};

	copy_text(m.caller, sizeof(m.caller), caller);
	copy_text(m.key, sizeof(m.key), key ? key : "");
	if (spec) {
		copy_text(m.kind, sizeof(m.kind), spec->kind);
		m.spec = *spec;
	}
	return m;
}

static void put_task(struct wire_out *w, const struct syc_task_spec *t)
{
	wire_put_array(w, TASK_FIELDS);
	wire_put_bytes(w, t->body.p, t->body.n);
	wire_put_u64(w, t->run_ms);
	wire_put_u64(w, t->cpus);
	wire_put_u64(w, t->memory_mb);
	wire_put_u64(w, t->accelerators);
}

void job_request_pack(struct wire_out *w, const struct job_request *m)
{
	uint32_t i;

	wire_begin(w, SYC_PEER_SUBMIT, REQUEST_FIELDS);
	wire_put_u64(w, m->request_id);
	wire_put_u64(w, m->action);
	wire_put_u64(w, m->hops);
	wire_put_str(w, m->caller);
	wire_put_str(w, m->key);
	wire_put_str(w, m->kind);
	wire_put_bool(w, m->spec.single);
	wire_put_u64(w, m->spec.deadline_ms);
	wire_put_array(w, m->spec.n_tasks);
	for (i = 0; i < m->spec.n_tasks; i++)
		put_task(w, &m->spec.tasks[i]);
}

/* Reads a number; fails when it exceeds 32 bits. */
static uint32_t read_u32(struct wire_in *w)
{
	uint64_t v = wire_u64(w);

	if (v > UINT32_MAX)
		w->failed = true;
	return (uint32_t)v;
}

static void read_task(struct wire_in *w, struct syc_task_spec *t)
{
	wire_enter(w, TASK_FIELDS);
	t->body = wire_view(w);
	t->run_ms = read_u32(w);
	t->cpus = read_u32(w);
	t->memory_mb = read_u32(w);
	t->accelerators = read_u32(w);
	wire_leave(w);
}

static void read_tasks(struct wire_in *w, struct job_request *m)
{
	uint32_t i, n = wire_enter(w, SYC_TASKS_MAX);

	m->tasks = xcalloc(n, sizeof(*m->tasks));
	for (i = 0; i < n; i++)
		read_task(w, &m->tasks[i]);
	wire_leave(w);
	m->spec.n_tasks = n;
	m->spec.tasks = m->tasks;
}

bool job_request_unpack(struct wire_in *w, struct syc_bytes msg,
			struct job_request *m)
{
	uint64_t action;

	memset(m, 0, sizeof(*m));
	if (wire_open(w, msg) != SYC_PEER_SUBMIT)
		w->failed = true;
	m->request_id = wire_u64(w);
	action = wire_u64(w);
	m->action = (enum job_action)action;
	m->hops = read_u32(w);
	wire_str(w, m->caller, sizeof(m->caller));
	wire_str(w, m->key, sizeof(m->key));
	wire_str(w, m->kind, sizeof(m->kind));
	m->spec.caller = m->caller;
	m->spec.kind = m->kind;
	m->spec.single = wire_bool(w);
	m->spec.deadline_ms = read_u32(w);
	read_tasks(w, m);
	if (action < JOB_SUBMIT || action > JOB_QUERY ||
	    (action == JOB_SUBMIT && !m->spec.n_tasks))
		w->failed = true;
	if (!w->failed)
		return true;
	job_request_free(w, m);
	return false;
}

void job_request_free(struct wire_in *w, struct job_request *m)
{
	free(m->tasks);
	m->tasks = NULL;
	wire_close(w);
}

static void put_result(struct wire_out *w, const struct syc_task_result *r)
{
	wire_put_array(w, RESULT_FIELDS);
	wire_put_u64(w, r->outcome);
	wire_put_u64(w, r->reason);
	wire_put_u64(w, r->status);
	wire_put_bytes(w, r->body.p, r->body.n);
}

void job_answer_pack(struct wire_out *w, uint64_t request_id, const char *state,
		     const struct syc_answer *answer)
{
	uint32_t i;

	wire_begin(w, SYC_PEER_ANSWER, ANSWER_FIELDS);
	wire_put_u64(w, request_id);
	wire_put_str(w, state);
	wire_put_u64(w, answer->outcome);
	wire_put_u64(w, answer->reason);
	wire_put_u64(w, answer->retry_after_ms);
	wire_put_str(w, answer->detail);
	wire_put_array(w, answer->n_results);
	for (i = 0; i < answer->n_results; i++)
		put_result(w, &answer->results[i]);
}

static enum syc_outcome read_outcome(struct wire_in *w)
{
	uint64_t v = wire_u64(w);

	if (v < SYC_COMPLETED || v > SYC_UNKNOWN)
		w->failed = true;
	return (enum syc_outcome)v;
}

static enum syc_reason read_reason(struct wire_in *w)
{
	uint64_t v = wire_u64(w);

	if (v >= SYC_REASON_COUNT)
		w->failed = true;
	return (enum syc_reason)v;
}

static void read_results(struct wire_in *w, struct job_answer *m)
{
	uint32_t i, n = wire_enter(w, SYC_TASKS_MAX);

	m->results = xcalloc(n, sizeof(*m->results));
	for (i = 0; i < n; i++) {
		struct syc_task_result *r = &m->results[i];

		wire_enter(w, RESULT_FIELDS);
		r->outcome = read_outcome(w);
		r->reason = read_reason(w);
		r->status = (uint16_t)wire_u64(w);
		r->body = wire_view(w);
		wire_leave(w);
	}
	wire_leave(w);
	m->answer.n_results = n;
	m->answer.results = m->results;
}

bool job_answer_unpack(struct wire_in *w, struct syc_bytes msg,
		       struct job_answer *m)
{
	memset(m, 0, sizeof(*m));
	if (wire_open(w, msg) != SYC_PEER_ANSWER)
		w->failed = true;
	m->request_id = wire_u64(w);
	wire_str(w, m->state, sizeof(m->state));
	m->answer.outcome = read_outcome(w);
	m->answer.reason = read_reason(w);
	m->answer.retry_after_ms = read_u32(w);
	wire_str(w, m->answer.detail, sizeof(m->answer.detail));
	read_results(w, m);
	if (!w->failed)
		return true;
	job_answer_free(w, m);
	return false;
}

void job_answer_free(struct wire_in *w, struct job_answer *m)
{
	free(m->results);
	m->results = NULL;
	wire_close(w);
}
