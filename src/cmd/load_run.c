#include <ev.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/load_probe.h"
#include "cmd/load_run.h"
#include "util/alloc.h"

enum {
	CONNS_PER_HOST = 4096,
	CONNECT_TIMEOUT_MS = 2000,
	RETRY_DELAY_MS = 200,
	PROGRESS_MS = 500,
	RESUBMIT_EXTRA_MS = 20, /* longest delay beyond 2 * longest_ms */
	DIRECT_ANSWER_MAX = 1 << 24, /* bytes */
	ANSWER_MAX = 1 << 28 /* bytes */
};

struct load_state {
	const struct load_options *opt;
	struct load_stats *stats;
	struct ev_loop *loop;
	struct http_client *client;
	struct rng rng;
	ev_timer arrival_timer;
	ev_timer progress_timer;
	double began_ms;
	double due_ms; /* time of the next arrival since `began_ms` */
	uint64_t next_serial;
	uint64_t n_sends; /* only with --direct: every second one is direct */
	size_t open; /* calls not ended yet */
	bool is_over; /* no further arrivals */
};

/* A submission in flight, or a resubmission of it. */
struct call {
	struct load_state *run;
	struct load_job job;
	size_t entry_index; /* in opt->entries */
	uint32_t attempts;
	bool is_resubmission; /* planned by the profile, not a retry */
	bool is_direct; /* sent to a target, not to an entry */
	double sent_ms;
	ev_timer timer; /* runs until a delayed send */
};

static void send_call(struct call *call);
static void add_arrival(struct load_state *run);

static void end_call(struct call *call)
{
	struct load_state *run = call->run;
	bool refill = !call->is_resubmission && run->opt->in_flight;

	run->open--;
	ev_timer_stop(run->loop, &call->timer);
	free(call);
	if (refill && !run->is_over)
		add_arrival(run);
	if (run->is_over && !run->open)
		ev_break(run->loop, EVBREAK_ALL);
}

static void on_send_time(struct ev_loop *loop, ev_timer *w, int events)
{
	send_call(w->data);
}

static void send_later(struct call *call, double ms)
{
	ev_timer_init(&call->timer, on_send_time, ms / 1000, 0);
	call->timer.data = call;
	ev_timer_start(call->run->loop, &call->timer);
}

static void record_whole_answer(struct call *call, double ms)
{
	struct load_stats *s = call->run->stats;
	double ideal = call->job.longest_ms + s->round_trip_ms;

	s->whole++;
	samples_add(&s->response_ms, ms);
	samples_add(&s->added_ms, ms - call->job.longest_ms);
	if (ideal > 0)
		samples_add(&s->over_ideal, ms / ideal);
}

/* Counts an answer with another outcome than completed. */
static void record_other_outcome(struct call *call,
				 const struct load_check *check)
{
	if (call->is_resubmission)
		load_stats_count(call->run->stats, "resubmitted",
				 check->reason);
	else
		load_stats_count(call->run->stats, check->outcome,
				 check->reason);
}

static void record_wrong(struct call *call, const struct http_answer *a)
{
	call->run->stats->wrong++;
	fprintf(stderr,
		"load: wrong answer to submission %" PRIu64
		", status %u: %.*s\n",
		call->job.serial, a->status,
		(int)(a->body.n < 200 ? a->body.n : 200),
		a->body.n ? (const char *)a->body.p : "");
}

static void record_answer(struct call *call, const struct http_answer *a,
			  const struct load_check *check)
{
	struct load_stats *s = call->run->stats;
	double ms = load_now_ms() - call->sent_ms;

	if (check->finding == LOAD_WRONG) {
		record_wrong(call, a);
	} else if (check->finding == LOAD_OTHER) {
		record_other_outcome(call, check);
	} else if (call->is_resubmission) {
		s->resubmitted_whole++;
	} else {
		load_stats_count(s, check->outcome, check->reason);
		record_whole_answer(call, ms);
	}
}

/*
 * Sends the call again to the next entry after a delay. Returns false when no
 * retry is left.
 */
static bool retry(struct call *call)
{
	const struct load_options *opt = call->run->opt;

	if (call->attempts > opt->retries)
		return false;
	call->run->stats->retried++;
	call->entry_index = (call->entry_index + 1) % opt->entries.n;
	send_later(call, RETRY_DELAY_MS);
	return true;
}

static const char *loss_reason(enum http_end end)
{
	switch (end) {
	case HTTP_NOT_SENT:
		return "not_sent";
	case HTTP_TIMEOUT:
		return "timeout";
	default:
		return "broken";
	}
}

/*
 * Without an answer, a retry is safe only if the submission has a key or if
 * nothing of it was sent.
 */
static void handle_lost_answer(struct call *call, const struct http_answer *a)
{
	if ((a->end == HTTP_NOT_SENT || call->job.kind->keyed) && retry(call))
		return;
	load_stats_count(call->run->stats,
			 call->is_resubmission ? "resubmitted" : "no_answer",
			 loss_reason(a->end));
	end_call(call);
}

static void on_answer(void *arg, const struct http_answer *a)
{
	struct call *call = arg;
	struct load_check check;

	if (a->end != HTTP_ANSWERED) {
		handle_lost_answer(call, a);
		return;
	}
	load_job_check(&call->job, a->status, a->body, &check);
	if (check.finding == LOAD_OTHER && !strcmp(check.outcome, "not_run") &&
	    retry(call))
		return;
	record_answer(call, a, &check);
	end_call(call);
}

static void on_direct(void *arg, const struct http_answer *a)
{
	struct call *call = arg;
	double ms = load_now_ms() - call->sent_ms;

	if (a->end == HTTP_ANSWERED && a->status == 200)
		samples_add(&call->run->stats->direct_ms,
			    ms - load_task_ms(&call->job, 0));
	else
		load_stats_count(call->run->stats, "direct", a->message);
	end_call(call);
}

static void send_direct(struct call *call)
{
	const struct load_options *opt = call->run->opt;
	struct buf auto_buf body = {0};
	struct http_call http = {
		.method = "POST",
		.addr = opt->direct.addr[call->job.serial % opt->direct.n],
		.path = opt->direct_path,
		.timeout_ms = opt->timeout_ms,
		.body_max = DIRECT_ANSWER_MAX,
	};

	/* Differs from the job's body, because targets count starts by body. */
	buf_printf(&body, "{\"run_ms\":%.0f,\"direct\":%" PRIu64 "}",
		   load_task_ms(&call->job, 0), call->run->n_sends);
	http.body = (struct syc_bytes){body.data, body.len};
	call->sent_ms = load_now_ms();
	http_client_send(call->run->client, &http, on_direct, call);
}

static void send_call(struct call *call)
{
	const struct load_options *opt = call->run->opt;
	struct buf auto_buf body = {0}, auth = {0}, key = {0};
	const char *headers[4] = {"Content-Type: application/json"};
	char name[SYC_KEY_MAX];
	struct http_call http = {
		.method = "POST",
		.addr = opt->entries.addr[call->entry_index],
		.path = call->job.kind->single ? "/v1/requests" : "/v1/jobs",
		.headers = headers,
		.timeout_ms = opt->timeout_ms,
		.body_max = ANSWER_MAX,
	};

	buf_printf(&auth, "Authorization: Bearer %s",
		   opt->tokens[call->job.caller]);
	headers[1] = auth.data;
	if (call->job.kind->keyed) {
		load_job_key(&call->job, name, sizeof(name));
		buf_printf(&key, "Idempotency-Key: %s", name);
		headers[2] = key.data;
	}
	load_job_text(&call->job, &body);
	http.body = (struct syc_bytes){body.data, body.len};
	if (!call->attempts++)
		call->sent_ms = load_now_ms();
	http_client_send(call->run->client, &http, on_answer, call);
}

static struct call *new_call(struct load_state *run, const struct load_job *job)
{
	struct call *call = xcalloc(1, sizeof(*call));

	call->run = run;
	call->job = *job;
	call->entry_index = rng_below(&run->rng, run->opt->entries.n);
	run->open++;
	return call;
}

/* Sends the submission again after a random delay. */
static void resubmit(struct load_state *run, const struct call *first)
{
	struct call *call = new_call(run, &first->job);
	uint64_t max_ms = (uint64_t)(2 * first->job.longest_ms) +
			  RESUBMIT_EXTRA_MS;

	call->is_resubmission = true;
	run->stats->resubmitted++;
	send_later(call, (double)rng_below(&run->rng, max_ms));
}

static void add_arrival(struct load_state *run)
{
	const struct load_options *opt = run->opt;
	struct load_job job;
	struct call *call;

	load_plan_job(&opt->plan, run->next_serial, &job);
	call = new_call(run, &job);
	call->is_direct = opt->direct.n && run->n_sends++ % 2;
	if (call->is_direct) {
		send_direct(call);
	} else {
		run->next_serial++;
		run->stats->sent++;
		run->stats->tasks += job.n_tasks;
		send_call(call);
		if (job.resubmit)
			resubmit(run, call);
	}
	if ((opt->submissions && run->stats->sent >= opt->submissions) ||
	    (opt->seconds > 0 &&
	     load_now_ms() - run->began_ms >= opt->seconds * 1000))
		run->is_over = true;
}

static void on_arrival(struct ev_loop *loop, ev_timer *w, int events)
{
	struct load_state *run = w->data;
	const struct load_options *opt = run->opt;
	double at = load_now_ms() - run->began_ms;

	while (!run->is_over && run->due_ms <= at) {
		samples_add(&run->stats->late_ms, at - run->due_ms);
		add_arrival(run);
		run->due_ms += load_ms_to_next_arrival(
			opt->plan.profile, opt->rate, run->due_ms, &run->rng);
		at = load_now_ms() - run->began_ms;
	}
	if (run->is_over)
		return;
	ev_now_update(loop);
	ev_timer_set(w, (run->due_ms - at) / 1000, 0);
	ev_timer_start(loop, w);
}

static void on_progress(struct ev_loop *loop, ev_timer *w, int events)
{
	const struct load_state *run = w->data;
	const struct load_stats *s = run->stats;

	fprintf(stderr,
		"\r%6.1f s  sent %" PRIu64 "  whole %" PRIu64
		"  open %zu  wrong %" PRIu64 " ",
		(load_now_ms() - run->began_ms) / 1000, s->sent, s->whole,
		run->open, s->wrong);
}

static void begin_load(struct load_state *run)
{
	uint32_t i;

	run->began_ms = load_now_ms();
	ev_timer_init(&run->arrival_timer, on_arrival, 0, 0);
	run->arrival_timer.data = run;
	if (!run->opt->in_flight)
		ev_timer_start(run->loop, &run->arrival_timer);
	for (i = 0; i < run->opt->in_flight && !run->is_over; i++)
		add_arrival(run);
	ev_timer_init(&run->progress_timer, on_progress, PROGRESS_MS / 1000.0,
		      PROGRESS_MS / 1000.0);
	run->progress_timer.data = run;
	if (run->opt->print_progress)
		ev_timer_start(run->loop, &run->progress_timer);
}

void load_run(const struct load_options *opt, struct load_stats *stats)
{
	struct load_state run = {
		.opt = opt, .stats = stats, .rng = {opt->plan.seed}};
	struct http_client_options client = {
		.conns_per_host = CONNS_PER_HOST,
		.connect_ms = CONNECT_TIMEOUT_MS,
	};

	run.loop = client.loop = ev_loop_new(0);
	run.client = http_client_new(&client);
	stats->round_trip_ms = load_round_trip_ms(run.loop, run.client,
						  &opt->entries.addr[0]);
	begin_load(&run);
	ev_run(run.loop, 0);
	stats->seconds = (load_now_ms() - run.began_ms) / 1000;
	if (opt->print_progress)
		fputc('\n', stderr);
	http_client_free(run.client);
	ev_loop_destroy(run.loop);
}
