/* Tests of the driver with more jobs than it has room for. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "drive_fake.h"
#include "unit.h"

enum {
	RUN_MS = 100,
	HANG_S = 20, /* the alarm ends a driver that hangs */
	JOBS_MAX = 1024,
	RUNS_MAX = 8, /* on one worker */
	WORKERS = 4 /* places for eight tasks */
};

/* What callers get of a load. */
struct outcome {
	size_t n_jobs, n_served, n_at_once, n_after_wait;
	size_t by_route[2]; /* served */
};

struct play {
	struct drive_fake f;
	int64_t started_at[FAKE_CALLS_MAX];
	bool is_ended[FAKE_CALLS_MAX];
	size_t n_seen; /* starts */
	uint64_t sequence[FAKE_WORKERS_MAX];
	int64_t submitted_at[JOBS_MAX];
	size_t n_jobs, n_done_seen;
	struct outcome out;
};

static void note_starts(struct play *p)
{
	while (p->n_seen < p->f.n_starts) {
		drive_fake_answer_start(&p->f, p->n_seen, DRIVE_CALL_DONE);
		p->started_at[p->n_seen++] = p->f.now;
	}
}

static bool has_open_hold(const struct play *p, int worker)
{
	size_t i;

	for (i = 0; i < p->f.n_holds; i++)
		if (p->f.holds[i].worker == worker && !p->f.holds[i].answered)
			return true;
	return false;
}

/* Reports which runs of the worker are active, and those that have ended. */
static void answer_hold(struct play *p, int worker)
{
	struct drive_active_run running[RUNS_MAX];
	struct drive_ended_run ended[RUNS_MAX];
	size_t i, n_running = 0, n_ended = 0;

	for (i = 0; i < p->n_seen; i++) {
		const struct fake_call *c = &p->f.starts[i];

		if (c->worker != worker || p->is_ended[i])
			continue;
		if (p->f.now < p->started_at[i] + RUN_MS) {
			running[n_running++] = (struct drive_active_run){
				.task = c->task, .run = c->run};
			continue;
		}
		p->is_ended[i] = true;
		ended[n_ended++] = (struct drive_ended_run){
			.sequence = ++p->sequence[worker],
			.task = c->task,
			.run = c->run,
			.result = DRIVE_RUN_DONE,
		};
	}
	drive_fake_answer_hold(&p->f, worker, running, n_running, ended,
			       n_ended);
	note_starts(p);
}

static void answer_holds(struct play *p)
{
	int i;

	for (i = 0; i < WORKERS; i++)
		if (has_open_hold(p, i))
			answer_hold(p, i);
}

static void note_answers(struct play *p)
{
	for (; p->n_done_seen < p->f.n_jobs_done; p->n_done_seen++) {
		const struct drive_job_done *d =
			&p->f.jobs_done[p->n_done_seen];

		if (d->outcome == DRIVE_COMPLETED) {
			p->out.n_served++;
			p->out.by_route[d->tag % 2]++;
		} else if (p->submitted_at[d->tag] == p->f.now) {
			p->out.n_at_once++;
		} else {
			p->out.n_after_wait++;
		}
	}
}

/* Submits a job of two tasks of a route; it has 200 ms to begin. */
static void submit_one(struct play *p, uint32_t priority, const char *domain)
{
	struct drive_job j;
	char id[16];

	snprintf(id, sizeof(id), "j%zu", ++p->n_jobs);
	j = drive_fake_job(id, 2);
	j.route = p->n_jobs % 2 ? "odd" : "even";
	j.priority = priority;
	j.domain = domain;
	j.objective_add_ms = 200;
	p->submitted_at[p->n_jobs] = p->f.now;
	drive_fake_submit(&p->f, p->n_jobs, &j);
	note_starts(p);
	note_answers(p);
}

static void advance(struct play *p)
{
	drive_fake_advance(&p->f, 10, false);
	note_starts(p);
	answer_holds(p);
	note_answers(p);
}

/* Plays twice the load that fits, for a second. */
static void play_overload(struct play *p, uint32_t n_priorities)
{
	int i;

	memset(p, 0, sizeof(*p));
	drive_fake_init(&p->f, WORKERS);
	for (i = 0; i < 80; i++) {
		submit_one(p, (uint32_t)i % n_priorities, "d0");
		if (i % 5)
			advance(p);
	}
	for (i = 0; i < 50; i++)
		advance(p);
	p->out.n_jobs = p->n_jobs;
	drive_fake_free(&p->f);
}

static void overload_is_refused_at_once_and_who_waits_is_served(void)
{
	struct play p;
	const struct outcome *o = &p.out;

	play_overload(&p, 1);
	CU_ASSERT_EQUAL(o->n_served + o->n_at_once + o->n_after_wait,
			o->n_jobs);
	/* Four jobs run at a time: the fleet is never idle. */
	CU_ASSERT(o->n_served >= 30);
	CU_ASSERT(o->n_at_once >= 35);
	CU_ASSERT_EQUAL(o->n_after_wait, 0);
}

static void no_route_is_starved_within_a_priority(void)
{
	struct play p;

	play_overload(&p, 1);
	CU_ASSERT(p.out.by_route[0] * 3 >= p.out.by_route[1] * 2);
	CU_ASSERT(p.out.by_route[1] * 3 >= p.out.by_route[0] * 2);
}

/* Urgent jobs go before those that wait; the plan expects that. */
static void few_wait_in_vain_beside_urgent_jobs(void)
{
	struct play p;
	const struct outcome *o = &p.out;

	play_overload(&p, 2);
	CU_ASSERT(o->n_served >= 30);
	CU_ASSERT(o->n_after_wait * 5 <= o->n_jobs);
}

/*
 * Odd jobs come from callers of one domain at half of what fits, even ones from
 * another that asks for three times as much.
 */
static void burst_of_one_domain_is_not_paid_by_the_other(void)
{
	struct play p;
	size_t asked = 0;
	int i;

	memset(&p, 0, sizeof(p));
	drive_fake_init(&p.f, WORKERS);
	for (i = 0; i < 80; i++) {
		if (i % 4)
			p.n_jobs += p.n_jobs % 2 == 0;
		else
			p.n_jobs += p.n_jobs % 2;
		asked += !(i % 4);
		submit_one(&p, 0, i % 4 ? "many" : "few");
		advance(&p);
		if (i % 2)
			advance(&p);
	}
	for (i = 0; i < 50; i++)
		advance(&p);
	CU_ASSERT(p.out.by_route[1] * 10 >= asked * 9);
	drive_fake_free(&p.f);
}

static struct drive_job waiting_job(const char *id)
{
	struct drive_job j = drive_fake_job(id, 2);

	j.objective_add_ms = 150;
	return j;
}

static void waiting_job_is_refused_when_its_worker_is_lost(void)
{
	struct drive_job long_job = drive_fake_job("long", 2);
	struct drive_job j = waiting_job("waits");
	struct drive_fake f;
	struct drive_counts c;

	drive_fake_init(&f, 2);
	drive_fake_submit(&f, 1, &j);
	CU_ASSERT_EQUAL(f.n_starts, 2); /* on one worker */
	long_job.estimate_ms = 1000;
	drive_fake_submit(&f, 2, &long_job);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	j = waiting_job("behind");
	drive_fake_submit(&f, 3, &j);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	f.workers[f.starts[0].worker].leaving = true;
	drive_set_workers(f.drive, f.now, f.workers, f.n_workers);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].tag, 3);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_REFUSED);
	CU_ASSERT_STRING_EQUAL(f.jobs_done[0].reason, "room_was_lost");
	drive_get_counts(f.drive, &c);
	CU_ASSERT_EQUAL(c.waited, 1);
	CU_ASSERT_EQUAL(c.refused_room_lost, 1);
	drive_fake_free(&f);
}

/* Half of the work is done when all of it was expected to be. */
static void waiting_job_is_refused_when_runs_are_slow(void)
{
	struct drive_active_run rows[2];
	struct drive_job j = waiting_job("slow");
	struct drive_fake f;
	size_t i;

	drive_fake_init(&f, 1);
	drive_fake_submit(&f, 1, &j);
	j = waiting_job("behind");
	drive_fake_submit(&f, 2, &j);
	for (i = 0; i < 2; i++) {
		drive_fake_answer_start(&f, i, DRIVE_CALL_DONE);
		rows[i] = (struct drive_active_run){
			.task = f.starts[i].task,
			.run = f.starts[i].run,
			.percent = 50,
		};
	}
	drive_fake_advance(&f, 100, false);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_fake_answer_hold(&f, 0, rows, 2, NULL, 0);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(f.n_jobs_done, 1);
	CU_ASSERT_EQUAL(f.jobs_done[0].tag, 2);
	CU_ASSERT_EQUAL(f.jobs_done[0].outcome, DRIVE_REFUSED);
	CU_ASSERT_STRING_EQUAL(f.jobs_done[0].reason, "room_was_lost");
	drive_fake_free(&f);
}

/* Guards against review/7: the driver hung on a job that requests nothing. */
static void job_that_requests_nothing_is_planned_for(void)
{
	struct drive_job j;
	struct drive_fake f;
	uint64_t tag;

	drive_fake_init(&f, 2);
	for (tag = 1; tag <= 3; tag++) {
		char id[] = {'j', (char)('0' + tag), '\0'};

		j = waiting_job(id);
		j.memory_mb = f.workers[0].memory_mb / 2;
		drive_fake_submit(&f, tag, &j);
	}
	j = waiting_job("small");
	j.cpu_milli = j.memory_mb = 0;
	j.priority = 1; /* behind a more urgent one that waits */
	alarm(HANG_S);
	drive_fake_submit(&f, 4, &j);
	alarm(0);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_fake_advance(&f, 20, false);
	drive_fake_free(&f);
}

/* Tasks of no size run, as many on a worker as it has slots. */
static void slots_limit_tasks_of_no_size(void)
{
	struct drive_job j = drive_fake_job("many", 4);
	struct drive_fake f;
	size_t i, n[2] = {0};

	drive_fake_init(&f, 2);
	for (i = 0; i < 2; i++)
		f.workers[i].slots = 2;
	drive_set_workers(f.drive, f.now, f.workers, f.n_workers);
	j.cpu_milli = 0;
	drive_fake_submit(&f, 1, &j);
	for (i = 0; i < f.n_starts; i++) {
		n[f.starts[i].worker]++;
		drive_fake_answer_start(&f, i, DRIVE_CALL_DONE);
	}
	CU_ASSERT_EQUAL(n[0], 2);
	CU_ASSERT_EQUAL(n[1], 2);
	j = waiting_job("behind");
	j.n_tasks = 1;
	j.cpu_milli = 0;
	drive_fake_submit(&f, 2, &j);
	drive_fake_advance(&f, 40, false);
	CU_ASSERT_EQUAL(f.n_starts, 4);
	CU_ASSERT_EQUAL(f.n_jobs_done, 0);
	drive_fake_end_run(&f, 0, 1, DRIVE_RUN_DONE);
	drive_fake_advance(&f, 20, false);
	CU_ASSERT_EQUAL(f.n_starts, 5);
	drive_fake_free(&f);
}

SUITE(drive_room)
{
	TEST(overload_is_refused_at_once_and_who_waits_is_served);
	TEST(no_route_is_starved_within_a_priority);
	TEST(few_wait_in_vain_beside_urgent_jobs);
	TEST(burst_of_one_domain_is_not_paid_by_the_other);
	TEST(waiting_job_is_refused_when_its_worker_is_lost);
	TEST(waiting_job_is_refused_when_runs_are_slow);
	TEST(job_that_requests_nothing_is_planned_for);
	TEST(slots_limit_tasks_of_no_size);
}
