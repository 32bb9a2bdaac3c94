/*
 * The callers: each submits one job after another over connections that stay
 * open, and submits a job of unknown outcome again to any instance.
 */
#include <stdio.h>
#include <string.h>

#include "soak.h"

enum {
	DEADLINE_MS = 2200, /* that a caller states */
	/* An undisturbed instance answers this long after the deadline. */
	LATE_MAX_MS = 800,
	RESEND_MS = 1300,
	SENDS_MAX = 3,
	THINK_MAX_MS = 40, /* between two jobs of a caller */
	TASKS_MAX = 6,
	DISTURBED_MS = 4000, /* after a fault nearby, answers may be missing */
	JOBS_PER_CRASHING = 150 /* one job in this many crashes workers */
};

static void end_job(struct soak_caller *c, int64_t now)
{
	c->id[0] = '\0';
	c->next_at = now + (int64_t)rng_below(&c->soak->rng, THINK_MAX_MS);
}

/* Notes a job that ended with 200, or was refused in each attempt. */
static void record_end(struct soak_caller *c, const char *how)
{
	struct soak *s = c->soak;
	char path[SOAK_PATH_MAX + 80];
	FILE *f;

	snprintf(path, sizeof(path), "%s/ended", s->dir);
	f = fopen(path, "ae");
	if (!f)
		return;
	fprintf(f, "%s %s %d\n", c->id, how, c->n_tasks);
	fclose(f);
}

static bool was_disturbed(const struct soak *s, const struct soak_caller *c,
			  int64_t now)
{
	const struct soak_instance *i = &s->instances[c->home];

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

static void record_success(struct soak_caller *c, const struct http_answer *a)
{
	static const char failed[] = "\"failed\"";

	if (memmem(a->body.p, a->body.n, failed, sizeof(failed) - 1)) {
		c->soak->n_failed++;
		record_end(c, "failed");
		return;
	}
	c->soak->n_completed++;
	record_end(c, "completed");
}

static void on_answer(void *arg, const struct http_answer *a)
{
	struct soak_caller *c = arg;
	struct soak *s = c->soak;
	int64_t now = proxy_now_ms();

	c->in_flight = false;
	if (a->end == HTTP_ANSWERED && a->status == 200) {
		record_success(c, a);
		end_job(c, now);
		return;
	}
	if (a->end == HTTP_ANSWERED && (a->status == 503 || a->status == 429)) {
		s->n_refused++;
		if (!c->may_have_run)
			record_end(c, "refused");
		end_job(c, now);
		return;
	}
	if (a->end == HTTP_ANSWERED && a->status != 502)
		soak_violation(s, "job %s: status %u", c->id, a->status);
	if (a->end == HTTP_TIMEOUT && !was_disturbed(s, c, now))
		soak_violation(s, "job %s: no answer from %s", c->id,
			       s->instances[c->home].process.name);
	c->may_have_run |= a->end != HTTP_NOT_SENT;
	retry(c, now);
}

static void send_job(struct soak_caller *c, int64_t now)
{
	struct soak *s = c->soak;
	const char *headers[] = {"Content-Type: application/json",
				 "Deadline-Remaining-Ms: 2200", NULL};
	char path[64], body[256];
	struct http_call call = {
		.method = "POST",
		.addr = {"127.0.0.1", 0},
		.path = path,
		.headers = headers,
		.timeout_ms = DEADLINE_MS + LATE_MAX_MS,
		.body_max = 4096,
	};

	if (!c->is_probe || c->n_sent)
		c->home = (int)rng_below(&s->rng, (uint64_t)s->n_instances);
	call.addr.port = s->instances[c->home].callers.port;
	snprintf(path, sizeof(path), "/quick/%s", c->id);
	call.body.n = (size_t)snprintf(
		body, sizeof(body),
		"{\"taskSpec\":\"%s\",\"bestEffort\":true,\"steps\":[{"
		"\"count\":%d,\"cpu\":8000,\"memMb\":64,"
		"\"estimatedMs\":60}]}",
		c->is_crashing ? "crash" : "x", c->n_tasks);
	call.body.p = body;
	c->n_sent++;
	c->sent_at = now;
	c->in_flight = true;
	http_client_send(s->client, &call, on_answer, c);
}

static void begin_job(struct soak_caller *c)
{
	struct soak *s = c->soak;

	snprintf(c->id, sizeof(c->id), "%08llx%08llx",
		 (unsigned long long)(s->seed & 0xffffffff),
		 (unsigned long long)++s->next_job);
	c->n_tasks = 1 + (int)rng_below(&s->rng, TASKS_MAX);
	c->n_sent = 0;
	c->may_have_run = false;
	c->is_crashing = !s->calm && !rng_below(&s->rng, JOBS_PER_CRASHING);
	s->n_jobs++;
}

static void tick_caller(struct soak_caller *c, int64_t now)
{
	if (c->in_flight || now < c->next_at)
		return;
	if (!*c->id) {
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
	int64_t until = proxy_now_ms() +
			SENDS_MAX * (DEADLINE_MS + LATE_MAX_MS + RESEND_MS);
	bool busy = true;
	int k;

	while (busy && proxy_now_ms() < until) {
		soak_callers_tick(s, proxy_now_ms());
		soak_run(s, 20);
		busy = false;
		for (k = 0; k < s->n_callers; k++)
			busy |= *s->callers[k].id != '\0';
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
