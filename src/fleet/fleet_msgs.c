/* Packs and unpacks the message that submits a job to the driver. */
#include "fleet/fleet_state.h"

enum { JOB_FIELDS = 21 };

void msg_job_pack(struct wire_out *w, uint64_t tag, const struct drive_job *job)
{
	wire_begin(w, SYC_PEER_JOB, JOB_FIELDS);
	wire_put_u64(w, tag);
	wire_put_str(w, job->id);
	wire_put_str(w, job->service);
	wire_put_str(w, job->route);
	wire_put_str(w, job->label);
	wire_put_str(w, job->domain);
	wire_put_u64(w, job->generation);
	wire_put_u64(w, job->priority);
	wire_put_u64(w, job->attempts_max);
	wire_put_u64(w, job->n_tasks);
	wire_put_u64(w, job->per_worker_max);
	wire_put_u64(w, job->cpu_milli);
	wire_put_u64(w, job->memory_mb);
	wire_put_u64(w, job->accelerators);
	wire_put_u64(w, job->estimate_ms);
	wire_put_u64(w, job->objective_percent);
	wire_put_u64(w, job->objective_add_ms);
	wire_put_u64(w, job->age_ms);
	wire_put_u64(w, job->deadline_ms);
	wire_put_bytes(w, job->body.p, job->body.n);
	wire_put_bool(w, job->may_be_old);
}

bool msg_job_unpack(struct wire_in *w, struct syc_bytes msg, struct msg_job *m)
{
	struct drive_job *job = &m->job;

	wire_open(w, msg);
	m->tag = wire_u64(w);
	wire_str(w, m->id, sizeof(m->id));
	wire_str(w, m->service, sizeof(m->service));
	wire_str(w, m->route, sizeof(m->route));
	wire_str(w, m->label, sizeof(m->label));
	wire_str(w, m->domain, sizeof(m->domain));
	job->id = m->id;
	job->service = m->service;
	job->route = m->route;
	job->label = m->label;
	job->domain = m->domain;
	job->generation = (uint32_t)wire_u64(w);
	job->priority = (uint32_t)wire_u64(w);
	job->attempts_max = (uint32_t)wire_u64(w);
	job->n_tasks = (uint32_t)wire_u64(w);
	job->per_worker_max = (uint32_t)wire_u64(w);
	job->cpu_milli = (uint32_t)wire_u64(w);
	job->memory_mb = (uint32_t)wire_u64(w);
	job->accelerators = (uint32_t)wire_u64(w);
	job->estimate_ms = (uint32_t)wire_u64(w);
	job->objective_percent = (uint32_t)wire_u64(w);
	job->objective_add_ms = (uint32_t)wire_u64(w);
	job->age_ms = (uint32_t)wire_u64(w);
	job->deadline_ms = (uint32_t)wire_u64(w);
	job->body = wire_view(w);
	/* Earlier versions do not send it. */
	job->may_be_old = wire_has_more(w) && wire_bool(w);
	return !w->failed && job->n_tasks && job->n_tasks <= SYC_TASKS_MAX;
}
