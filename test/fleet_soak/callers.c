/*
 * The callers: each submits one job after another over connections that stay
 * open, and submits a job of unknown outcome again to any instance. In a fleet
 * in cells some jobs run for seconds, and some are also submitted again while
 * their first request is open, or seconds after their answer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"
#include "util/alloc.h"

enum {
	DEADLINE_MS = 2200, /* that a caller states */
	LONG_DEADLINE_MS = 9000, /* the same, of a long job */
	/* An undisturbed instance answers this long after the deadline. */
	LATE_MAX_MS = 800,
	RESEND_MS = 1300,
	SENDS_MAX = 3,
	THINK_MAX_MS = 40, /* between two jobs of a caller */
	TASKS_MAX = 6,
	DISTURBED_MS = 4000, /* after a fault nearby, answers may be missing */
	JOBS_PER_CRASHING = 150, /* one job in this many crashes workers */
	JOBS_PER_LONG = 12, /* one job in this many runs for seconds */
	LONG_TASKS_MAX = 2,
	LONG_RUN_MIN_MS = 2000,
	LONG_RUN_SPREAD_MS = 2000,
	USUAL_RUN_MS = 60,
	JOBS_PER_COPY = 3, /* one of the others in this many is copied */
	COPY_SPREAD_MS = 1500, /* after RESEND_MS */
	/* A copy after the answer comes at least RESEND_MS and up to this. */
	LATE_COPY_SPREAD_MS = 4000
};

/* A job, until its caller and its requests are done with it. */
struct soak_job {
	char id[SOAK_ID_MAX];
	int n_tasks;
	int run_ms; /* zero: as the stand-in's other tasks */
	int n_users;
	bool was_refused; /* by an attempt at least */
	bool may_have_run; /* an attempt was neither refused nor unsent */
	bool is_crashing; /* its first task crashes each worker */
	bool is_copied; /* it is submitted again while it is open, or after */
};

struct attempt {
	struct soak *soak;
	struct soak_caller *caller; /* NULL: a copy, for which nobody waits */
	struct soak_job *job;
	int home;
};

/* Notes how a job ended, for the check at the end. */
static void record_end(const struct soak *s, const struct soak_job *j,
		       const char *how)
{
	char path[SOAK_PATH_MAX + 80];
	FILE *f;

	snprintf(path, sizeof(path), "%s/ended", s->dir);
	f = fopen(path, "ae");
	if (!f)
		return;
	fprintf(f, "%s %s %d\n", j->id, how, j->n_tasks);
	fclose(f);
}

/* A job that was refused in each attempt was not started. */
static void release_job(const struct soak *s, struct soak_job *j)
{
	if (--j->n_users)
		return;
	if (j->was_refused && !j->may_have_run)
		record_end(s, j, "refused");
	free(j);
}

static void end_job(struct soak_caller *c, int64_t now)
{
	release_job(c->soak, c->job);
	c->job = NULL;
	c->next_at = now + (int64_t)rng_below(&c->soak->rng, THINK_MAX_MS);
}

static bool was_disturbed(const struct soak *s, int home, int64_t now)
{
	const struct soak_instance *i = &s->instances[home];

	return i->continue_at || !i->process.pid ||
	       now - i->process.disturbed_at < DISTURBED_MS ||
	       i->callers.mode != PROXY_PASS ||
	       now - i->callers.disturbed_at_ms < DISTURBED_MS;
}

static void retry(struct soak_caller *c, int64_t now)
{
	struct soak *s = c->soak;

	if (c->n_sent < SENDS_MAX) {
		c->next_at = now + RESEND_MS;
		return;
	}
	s->n_unknown++;
	end_job(c, now);
}

static bool is_failed(const struct http_answer *a)
{
	static const char failed[] = "\"failed\"";

	return memmem(a->body.p, a->body.n, failed, sizeof(failed) - 1);
}

/* Lets the job be submitted again some seconds after its answer. */
static void plan_late_copy(struct soak_caller *c, int64_t now)
{
	struct soak *s = c->soak;

	if (!c->job->is_copied || c->late_copy)
		return;
	c->late_copy = c->job;
	c->job->n_users++;
	c->late_copy_at = now + RESEND_MS +
			  (int64_t)rng_below(&s->rng, LATE_COPY_SPREAD_MS);
}

static void end_attempt(struct soak_caller *c, const struct http_answer *a,
			int64_t now)
{
	struct soak *s = c->soak;
	bool answered = a->end == HTTP_ANSWERED;

	c->in_flight = false;
	if (answered && a->status == 200) {
		if (is_failed(a))
			s->n_failed++;
		else
			s->n_completed++;
		plan_late_copy(c, now);
		end_job(c, now);
		return;
	}
	if (answered && (a->status == 503 || a->status == 429)) {
		s->n_refused++;
		end_job(c, now);
		return;
	}
	retry(c, now);
}

static void record_answer(const struct attempt *t, const struct http_answer *a,
			  int64_t now)
{
	struct soak_job *j = t->job;
	bool answered = a->end == HTTP_ANSWERED;

	if (answered && a->status == 200) {
		record_end(t->soak, j, is_failed(a) ? "failed" : "completed");
	} else if (answered && (a->status == 503 || a->status == 429)) {
		j->was_refused = true;
		return;
	} else if (answered && a->status != 502) {
		soak_violation(t->soak, "job %s: status %u", j->id, a->status);
	} else if (a->end == HTTP_TIMEOUT &&
		   !was_disturbed(t->soak, t->home, now)) {
		soak_violation(t->soak, "job %s: no answer from %s", j->id,
			       t->soak->instances[t->home].process.name);
	}
	j->may_have_run |= a->end != HTTP_NOT_SENT;
}

static void on_answer(void *arg, const struct http_answer *a)
{
	struct attempt *t = arg;
	int64_t now = proxy_now_ms();

	record_answer(t, a, now);
	if (t->caller)
		end_attempt(t->caller, a, now);
	else
		t->soak->n_open_copies--;
	release_job(t->soak, t->job);
	free(t);
}

static void write_spec(const struct soak_job *j, char *text, size_t size)
{
	if (j->run_ms)
		snprintf(text, size, "run %d", j->run_ms);
	else
		snprintf(text, size, "%s", j->is_crashing ? "crash" : "x");
}

/* `caller` is NULL for a copy. */
static void send_attempt(struct soak *s, struct soak_caller *caller,
			 struct soak_job *j, int home)
{
	int deadline_ms = j->run_ms ? LONG_DEADLINE_MS : DEADLINE_MS;
	char deadline[64], path[64], spec[32], body[256];
	const char *headers[] = {"Content-Type: application/json", deadline,
				 NULL};
	struct http_call call = {
		.method = "POST",
		.addr = {"127.0.0.1", s->instances[home].callers.port},
		.path = path,
		.headers = headers,
		.timeout_ms = (uint32_t)(deadline_ms + LATE_MAX_MS),
		.body_max = 4096,
	};
	struct attempt *t = xcalloc(1, sizeof(*t));

	t->soak = s;
	t->caller = caller;
	t->job = j;
	t->home = home;
	j->n_users++;
	write_spec(j, spec, sizeof(spec));
	snprintf(deadline, sizeof(deadline), "Deadline-Remaining-Ms: %d",
		 deadline_ms);
	snprintf(path, sizeof(path), "/quick/%s", j->id);
	call.body.n = (size_t)snprintf(
		body, sizeof(body),
		"{\"taskSpec\":\"%s\",\"bestEffort\":true,\"steps\":[{"
		"\"count\":%d,\"cpu\":8000,\"memMb\":64,"
		"\"estimatedMs\":%d}]}",
		spec, j->n_tasks, j->run_ms ? j->run_ms : USUAL_RUN_MS);
	call.body.p = body;
	http_client_send(s->client, &call, on_answer, t);
}

static void send_job(struct soak_caller *c, int64_t now)
{
	struct soak *s = c->soak;

	if (!c->is_probe || c->n_sent)
		c->home = (int)rng_below(&s->rng, (uint64_t)s->n_instances);
	c->n_sent++;
	c->in_flight = true;
	c->copy_at = 0;
	if (c->job->is_copied)
		c->copy_at = now + RESEND_MS +
			     (int64_t)rng_below(&s->rng, COPY_SPREAD_MS);
	send_attempt(s, c, c->job, c->home);
}

/* Submits the job again, to another instance than the caller's last one. */
static void send_copy(struct soak_caller *c, struct soak_job *j)
{
	struct soak *s = c->soak;
	int further = 1 +
		      (int)rng_below(&s->rng, (uint64_t)(s->n_instances - 1));

	s->n_copies++;
	s->n_open_copies++;
	send_attempt(s, NULL, j, (c->home + further) % s->n_instances);
}

static void choose_run_time(struct soak *s, struct soak_job *j)
{
	if (rng_below(&s->rng, JOBS_PER_LONG)) {
		j->is_copied = !rng_below(&s->rng, JOBS_PER_COPY);
		return;
	}
	j->n_tasks = 1 + (int)rng_below(&s->rng, LONG_TASKS_MAX);
	j->run_ms = LONG_RUN_MIN_MS +
		    (int)rng_below(&s->rng, LONG_RUN_SPREAD_MS);
	j->is_copied = true;
}

static void begin_job(struct soak_caller *c)
{
	struct soak *s = c->soak;
	struct soak_job *j = xcalloc(1, sizeof(*j));

	snprintf(j->id, sizeof(j->id), "%08llx%08llx",
		 (unsigned long long)(s->seed & 0xffffffff),
		 (unsigned long long)++s->next_job);
	j->n_users = 1;
	j->n_tasks = 1 + (int)rng_below(&s->rng, TASKS_MAX);
	j->is_crashing = !s->calm && !rng_below(&s->rng, JOBS_PER_CRASHING);
	if (s->divided && !s->calm && !j->is_crashing && s->n_instances > 1)
		choose_run_time(s, j);
	c->job = j;
	c->n_sent = 0;
	s->n_jobs++;
}

static void tick_copies(struct soak_caller *c, int64_t now)
{
	struct soak_job *late = c->late_copy;

	if (c->in_flight && c->copy_at && now >= c->copy_at) {
		c->copy_at = 0;
		send_copy(c, c->job);
	}
	if (!late || (!c->soak->calm && now < c->late_copy_at))
		return;
	c->late_copy = NULL;
	if (!c->soak->calm)
		send_copy(c, late);
	release_job(c->soak, late);
}

static void tick_caller(struct soak_caller *c, int64_t now)
{
	tick_copies(c, now);
	if (c->in_flight || now < c->next_at)
		return;
	if (!c->job) {
		if (c->soak->calm)
			return;
		begin_job(c);
	}
	send_job(c, now);
}

void soak_callers_tick(struct soak *s, int64_t now)
{
	int k;

	for (k = 0; k < s->n_callers; k++)
		tick_caller(&s->callers[k], now);
}

static void wait_for_callers(struct soak *s)
{
	int64_t until = proxy_now_ms() + SENDS_MAX * (LONG_DEADLINE_MS +
						      LATE_MAX_MS + RESEND_MS);
	bool busy = true;
	int k;

	while (busy && proxy_now_ms() < until) {
		soak_callers_tick(s, proxy_now_ms());
		soak_run(s, 20);
		busy = s->n_open_copies > 0;
		for (k = 0; k < s->n_callers; k++)
			busy |= s->callers[k].job != NULL;
	}
	if (busy)
		soak_violation(s, "a caller still waits");
}

int soak_count_unserved(struct soak *s, int64_t within_ms)
{
	unsigned completed;
	int i;

	wait_for_callers(s);
	completed = s->n_completed;
	for (i = 0; i < s->n_instances; i++) {
		struct soak_caller *c = &s->callers[i];

		c->is_probe = true;
		c->home = i;
		begin_job(c);
		send_job(c, proxy_now_ms());
	}
	soak_run(s, within_ms);
	wait_for_callers(s);
	return s->n_instances - (int)(s->n_completed - completed);
}
