/* Callers, who submit jobs to the simulated instances and submit them again. */
#include <stdio.h>

#include "fleet_sim_internal.h"
#include "util/alloc.h"
#include "util/invariant.h"
#include "util/log.h"

static struct fsim_job *first_of(struct fsim *s, const struct fsim_job *j)
{
	return &s->jobs[j->first];
}

/* A job fails only if two workers have crashed under one of its tasks. */
static void check_failure(struct fsim *s, const struct fsim_job *j,
			  const struct fleet_answer *answer)
{
	const struct fsim_job *first = first_of(s, j);
	size_t i;

	if (answer->outcome != FLEET_FAILED)
		return;
	for (i = 0; i < FSIM_TASKS; i++)
		if (first->crashes[i] >= 2)
			return;
	if (!s->n_false_failures++ && !*s->message)
		snprintf(s->message, sizeof(s->message),
			 "at %lld ms: %.20s failed (%.40s)", (long long)s->now,
			 j->id, answer->reason);
}

void fsim_on_answer(void *ctx, uint64_t tag, const struct fleet_answer *answer)
{
	struct fsim_instance *i = ctx;
	struct fsim *s = i->sim;
	struct fsim_job *j = &s->jobs[tag - 1];

	if (j->home != i - s->instances ||
	    j->home_incarnation != i->instance.id)
		return;
	j->home = -1;
	if (answer->outcome == FLEET_NOT_RUN && first_of(s, j)->started &&
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
	check_failure(s, j, answer);
	j->answered = true;
	j->outcome = answer->outcome;
	j->ended_at = s->now;
}

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

int fsim_pick_live(struct fsim *s)
{
	int k, at = (int)rng_below(&s->rng, s->n_instances);

	for (k = 0; k < s->n_instances; k++, at = (at + 1) % s->n_instances)
		if (s->instances[at].fleet &&
		    s->now >= s->instances[at].paused_until)
			return at;
	return -1;
}

static void submit_job(struct fsim *s, struct fsim_job *j, int home)
{
	struct drive_job spec = {
		.id = j->id,
		.service = "s",
		.route = "r",
		.label = "",
		.attempts_max = 3,
		.n_tasks = j->n_tasks,
		.cpu_milli = FSIM_TASK_CPU_MILLI,
		.memory_mb = 64,
		.estimate_ms = j->run_ms,
		.objective_percent = 160,
		.objective_add_ms = s->objective_add_ms,
		.deadline_ms = j->deadline_ms,
		.body = {"x", 1},
	};

	if (home < 0) {
		j->retry_at = s->now + RETRY_MS;
		return;
	}
	j->home = home;
	j->home_incarnation = s->instances[home].instance.id;
	j->sent_at = first_of(s, j)->last_sent_at = s->now;
	j->deadline_at = s->now + j->deadline_ms;
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
	e = fsim_event_new(EVENT_CALLER_DISCONNECTED, i->paused_until, i);
	e->sender_or_tag = tag;
	fsim_event_push(s, e);
}

/* No two requests for a job are sent in a shorter time than RETRY_MS. */
static void submit_later(struct fsim *s, struct fsim_job *j)
{
	const struct fsim_job *first = first_of(s, j);

	if (first->n_again && s->now < first->last_sent_at + RETRY_MS)
		return;
	submit_job(s, j,
		   s->callers_move ? fsim_pick_live(s)
				   : pick_home(s, j->domain));
}

void fsim_tick_caller(struct fsim *s, struct fsim_job *j)
{
	struct fsim_instance *i;

	if (j->answered || j->left)
		return;
	if (j->retry_at && s->now >= j->retry_at) {
		submit_later(s, j);
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

static struct fsim_job *add_job(struct fsim *s, int domain, uint32_t n_tasks,
				uint32_t run_ms)
{
	struct fsim_job *j;

	invariant(s->n_jobs < FSIM_JOBS);
	j = &s->jobs[s->n_jobs];
	j->first = s->n_jobs++;
	snprintf(j->id, sizeof(j->id), "%016llx",
		 (unsigned long long)rng_next(&s->rng));
	j->domain = domain;
	j->n_tasks = n_tasks;
	j->run_ms = run_ms;
	j->deadline_ms = s->deadline_ms;
	j->began_at = s->now;
	return j;
}

void fsim_submit(struct fsim *s, int domain, uint32_t n_tasks, uint32_t run_ms)
{
	struct fsim_job *j = add_job(s, domain, n_tasks, run_ms);

	submit_job(s, j, pick_home(s, domain));
}

void fsim_submit_crashing(struct fsim *s, int domain, uint32_t n_tasks)
{
	struct fsim_job *j = add_job(s, domain, n_tasks, CRASHING_RUN_MS);

	j->is_crashing = true;
	submit_job(s, j, pick_home(s, domain));
}

size_t fsim_submit_at(struct fsim *s, int instance, uint32_t n_tasks,
		      uint32_t run_ms)
{
	struct fsim_job *j = add_job(s, s->instances[instance].domain, n_tasks,
				     run_ms);

	submit_job(s, j, instance);
	return j->first;
}

size_t fsim_submit_again(struct fsim *s, size_t job, int instance)
{
	struct fsim_job *first = first_of(s, &s->jobs[job]);
	struct fsim_job *j;

	invariant(s->n_jobs < FSIM_JOBS);
	j = &s->jobs[s->n_jobs++];
	copy_text(j->id, sizeof(j->id), first->id);
	j->first = first->first;
	j->domain = s->instances[instance].domain;
	j->n_tasks = first->n_tasks;
	j->run_ms = first->run_ms;
	j->deadline_ms = first->deadline_ms;
	j->began_at = s->now;
	j->may_have_run = true;
	/* If it is refused now, the task may have been started for `j`. */
	first->may_have_run |= !first->started;
	first->n_again++;
	submit_job(s, j, instance);
	return (size_t)(j - s->jobs);
}

void fsim_cancel_id(struct fsim *s, size_t job, int instance)
{
	struct fsim_job *first = first_of(s, &s->jobs[job]);
	struct fsim_instance *i = &s->instances[instance];

	first->cancel_sent_at = s->now;
	log_context_set(i->instance.name);
	cells_cancel_id(i->cells, s->now, first->first + 1, first->id);
}

void fsim_on_cancelled(void *ctx, uint64_t tag, bool is_done)
{
	struct fsim_instance *i = ctx;
	struct fsim *s = i->sim;
	struct fsim_job *j = &s->jobs[tag - 1];

	if (!is_done)
		j->cancels_refused++;
	else if (!j->cancel_acked_at)
		j->cancel_acked_at = s->now;
}

void fsim_disconnect(struct fsim *s, size_t job)
{
	struct fsim_job *j = &s->jobs[job];
	struct fsim_instance *i;

	j->left = true;
	if (j->home < 0)
		return;
	i = &s->instances[j->home];
	if (i->fleet && i->instance.id == j->home_incarnation)
		cancel_at_home(s, i, j);
	j->home = -1;
}
