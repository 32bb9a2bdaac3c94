/* Tests the caller server over HTTP on loopback with a fake core. */
#include <sodium.h>
#include <string.h>

#include "cmd/caller_server.h"
#include "transport/http_client.h"
#include "unit.h"
#include "util/alloc.h"

static const char token[] = "s3cret";

/* The server, the fake core's calls and the last answer. */
struct fixture {
	struct ev_loop *loop;
	struct http_client *client;
	struct caller_server *server;
	struct settings settings;
	struct metrics metrics;
	struct syc_bundle *bundle;
	bool answers_at_once; /* the fake core answers within submit */
	int submits, cancels, shows, clients_gone;
	uint64_t tag;
	char key[SYC_KEY_MAX];
	char caller[SYC_NAME_MAX];
	uint32_t n_tasks;
	/* The last answer. */
	bool done;
	unsigned status;
	char body[1024];
};

static const struct syc_task_result one_result = {
	SYC_COMPLETED, SYC_REASON_NONE, 200, {"hello", 5}};
static const struct syc_answer one_answer = {
	.outcome = SYC_COMPLETED, .n_results = 1, .results = &one_result};

static struct syc_bundle *get_bundle(void *ctx)
{
	return ((struct fixture *)ctx)->bundle;
}

static void on_submit(void *ctx, uint64_t tag, const char *key,
		      const struct syc_job_spec *spec)
{
	struct fixture *f = ctx;

	f->submits++;
	f->tag = tag;
	f->n_tasks = spec->n_tasks;
	copy_text(f->key, sizeof(f->key), key ? key : "");
	copy_text(f->caller, sizeof(f->caller), spec->caller);
	if (f->answers_at_once)
		caller_server_answer(f->server, tag, &one_answer);
}

static void on_cancel(void *ctx, uint64_t tag, const char *caller,
		      const char *key)
{
	struct fixture *f = ctx;

	f->cancels++;
	copy_text(f->key, sizeof(f->key), key);
	caller_server_answer_state(f->server, tag, "not_found", NULL);
}

static void on_show(void *ctx, uint64_t tag, const char *caller,
		    const char *key)
{
	struct fixture *f = ctx;

	f->shows++;
	caller_server_answer_state(f->server, tag, "ended", &one_answer);
}

static void on_client_gone(void *ctx, uint64_t tag)
{
	struct fixture *f = ctx;

	CU_ASSERT_EQUAL(tag, f->tag);
	f->clients_gone++;
}

static bool issue_ticket(void *ctx, const char *caller, char *out)
{
	copy_text(out, SYC_KEY_MAX, "ticket");
	return true;
}

static void make_bundle(struct fixture *f)
{
	uint8_t hash[SYC_DIGEST_LEN];
	char hex[2 * SYC_DIGEST_LEN + 1], text[512], err[256] = "";
	int n;

	crypto_generichash(hash, sizeof(hash), (const uint8_t *)token,
			   strlen(token), NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	n = snprintf(text, sizeof(text),
		     "[bundle]\nversion = 1\nsignoffs = 1\n[signer op]\n"
		     "[domain a]\n"
		     "[service s]\npath = /task\nslots = 8\n"
		     "[caller shop]\nowner = op\nshare = 1\ntoken_hash = %s\n"
		     "[kind proof]\nservice = s\nnon_idempotent = yes\n"
		     "time_limit_ms = 1000\n",
		     hex);
	f->bundle = syc_bundle_parse_draft((struct syc_bytes){text, (size_t)n},
					   err, sizeof(err));
	if (!f->bundle)
		puts(err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->bundle);
}

static void open_fixture(struct fixture *f)
{
	struct caller_server_options opt = {
		.settings = &f->settings,
		.metrics = &f->metrics,
		.ctx = f,
		.bundle = get_bundle,
		.submit = on_submit,
		.cancel = on_cancel,
		.show = on_show,
		.client_gone = on_client_gone,
		.issue_ticket = issue_ticket,
	};
	struct http_client_options client = {.conns_per_host = 8,
					     .connect_ms = 1000};

	memset(f, 0, sizeof(*f));
	f->answers_at_once = true;
	copy_text(f->settings.callers.ip, SYC_IP_MAX, "127.0.0.1");
	f->settings.body_max = 4096;
	f->settings.connections_max = 16;
	f->settings.idle_s = 30;
	f->loop = opt.loop = client.loop = ev_loop_new(0);
	f->client = http_client_new(&client);
	make_bundle(f);
	CU_ASSERT_EQUAL_FATAL(caller_server_new(&f->server, &opt),
			      TRANSPORT_OK);
}

static void close_fixture(struct fixture *f)
{
	caller_server_free(f->server);
	http_client_free(f->client);
	ev_loop_destroy(f->loop);
	syc_bundle_unref(f->bundle);
	metrics_free(&f->metrics);
}

static void on_answer(void *arg, const struct http_answer *a)
{
	struct fixture *f = arg;
	size_t n = a->body.n < sizeof(f->body) ? a->body.n
					       : sizeof(f->body) - 1;

	f->done = true;
	f->status = a->end == HTTP_ANSWERED ? a->status : 0;
	if (n)
		memcpy(f->body, a->body.p, n);
	f->body[n] = '\0';
}

static uint64_t begin_call(struct fixture *f, const char *method,
			   const char *path, const char *auth, const char *key,
			   const char *body)
{
	const char *headers[3] = {auth, key};
	struct http_call call = {
		.method = method,
		.addr = f->settings.callers,
		.path = path,
		.headers = headers,
		.body = {body, body ? strlen(body) : 0},
		.timeout_ms = 5000,
		.body_max = sizeof(f->body),
	};

	call.addr.port = caller_server_port(f->server);
	f->done = false;
	return http_client_send(f->client, &call, on_answer, f);
}

static unsigned call_and_wait(struct fixture *f, const char *method,
			      const char *path, const char *auth,
			      const char *key, const char *body)
{
	begin_call(f, method, path, auth, key, body);
	while (!f->done)
		ev_run(f->loop, EVRUN_ONCE);
	return f->status;
}

static void on_watchdog(struct ev_loop *loop, ev_timer *w, int events)
{
	*(bool *)w->data = true;
}

/* Runs the loop until `*count` is not zero; fails after 20 s. */
static void wait_until_set(struct fixture *f, const int *count)
{
	bool expired = false;
	ev_timer watchdog;

	ev_timer_init(&watchdog, on_watchdog, 20, 0);
	watchdog.data = &expired;
	ev_timer_start(f->loop, &watchdog);
	while (!*count && !expired)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &watchdog);
	CU_ASSERT_FATAL(*count);
}

static const char valid_auth[] = "Authorization: Bearer s3cret";
static const char job[] = "{\"kind\":\"proof\",\"tasks\":[{\"body\":\"x\"}]}";

static void valid_job_is_submitted_and_answered(void)
{
	struct fixture f;

	open_fixture(&f);
	CU_ASSERT_EQUAL(call_and_wait(&f, "POST", "/v1/jobs", valid_auth,
				      "Idempotency-Key: k1", job),
			200);
	CU_ASSERT_STRING_EQUAL(f.body,
			       "{\"outcome\":\"completed\",\"results\":"
			       "[{\"status\":200,\"body\":\"hello\"}]}");
	CU_ASSERT_STRING_EQUAL(f.key, "k1");
	CU_ASSERT_STRING_EQUAL(f.caller, "shop");
	CU_ASSERT_EQUAL(f.n_tasks, 1);
	CU_ASSERT_EQUAL(call_and_wait(&f, "POST", "/v1/requests", valid_auth,
				      NULL, "{\"kind\":\"proof\",\"body\":{}}"),
			200);
	CU_ASSERT_STRING_EQUAL(f.key, "");
	CU_ASSERT_EQUAL(f.submits, 2);
	close_fixture(&f);
}

static void invalid_requests_reach_no_callback(void)
{
	static const struct {
		const char *method, *path, *auth, *key, *body;
		unsigned status;
	} cases[] = {
		{"POST", "/v1/none", valid_auth, NULL, job, 404},
		{"POST", "/v1/jobs/k", valid_auth, NULL, job, 405},
		{"PUT", "/v1/jobs", valid_auth, NULL, job, 405},
		{"GET", "/v1/tickets", valid_auth, NULL, NULL, 405},
		{"POST", "/v1/jobs", NULL, NULL, job, 401},
		{"POST", "/v1/jobs", "Authorization: Bearer s3creT", NULL, job,
		 401},
		{"POST", "/v1/jobs", "Authorization: Basic s3cret", NULL, job,
		 401},
		{"POST", "/v1/jobs", valid_auth, NULL, "{", 400},
		{"POST", "/v1/jobs", valid_auth, NULL,
		 "{\"kind\":\"none\",\"tasks\":[{}]}", 400},
		{"POST", "/v1/jobs", valid_auth, "Idempotency-Key: a b", job,
		 400},
		{"POST", "/v1/tickets?count=0", valid_auth, NULL, "", 400},
		{"POST", "/v1/tickets?count=1001", valid_auth, NULL, "", 400},
		{"POST", "/v1/tickets?count=1x", valid_auth, NULL, "", 400},
	};
	struct fixture f;
	size_t i;

	open_fixture(&f);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		CU_ASSERT_EQUAL(call_and_wait(&f, cases[i].method,
					      cases[i].path, cases[i].auth,
					      cases[i].key, cases[i].body),
				cases[i].status);
		CU_ASSERT_PTR_NOT_NULL(strstr(f.body, "\"not_run\""));
	}
	CU_ASSERT_EQUAL(f.submits + f.cancels + f.shows, 0);
	close_fixture(&f);
}

static void requests_without_a_bundle_are_refused(void)
{
	struct fixture f;
	struct syc_bundle *b;

	open_fixture(&f);
	b = f.bundle;
	f.bundle = NULL;
	CU_ASSERT_EQUAL(
		call_and_wait(&f, "POST", "/v1/jobs", valid_auth, NULL, job),
		503);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.body, "\"not_ready\""));
	f.bundle = b;
	CU_ASSERT_EQUAL(f.submits, 0);
	close_fixture(&f);
}

static void jobs_are_shown_and_cancelled_and_tickets_issued(void)
{
	struct fixture f;

	open_fixture(&f);
	CU_ASSERT_EQUAL(
		call_and_wait(&f, "GET", "/v1/jobs/k", valid_auth, NULL, NULL),
		200);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.body, "{\"state\":\"ended\",\"answer\""
					      ":{\"outcome\":"));
	CU_ASSERT_EQUAL(call_and_wait(&f, "DELETE", "/v1/jobs/k%2F2",
				      valid_auth, NULL, NULL),
			404);
	CU_ASSERT_STRING_EQUAL(f.body, "{\"state\":\"not_found\"}");
	CU_ASSERT_STRING_EQUAL(f.key, "k/2");
	CU_ASSERT_EQUAL(call_and_wait(&f, "POST", "/v1/tickets?count=2",
				      valid_auth, NULL, ""),
			200);
	CU_ASSERT_STRING_EQUAL(f.body, "{\"tickets\":[\"ticket\",\"ticket\"]}");
	close_fixture(&f);
}

static void answer_to_a_closed_connection_is_dropped(void)
{
	struct fixture f;
	uint64_t call;

	open_fixture(&f);
	f.answers_at_once = false;
	call = begin_call(&f, "POST", "/v1/jobs", valid_auth, NULL, job);
	wait_until_set(&f, &f.submits);
	http_client_cancel(f.client, call);
	wait_until_set(&f, &f.clients_gone);
	/* A late answer is dropped, and the server stays usable. */
	caller_server_answer(f.server, f.tag, &one_answer);
	CU_ASSERT_EQUAL(caller_server_open(f.server), 0);
	CU_ASSERT_EQUAL(
		call_and_wait(&f, "GET", "/v1/jobs/k", valid_auth, NULL, NULL),
		200);
	CU_ASSERT_EQUAL(f.clients_gone, 1);
	close_fixture(&f);
}

static void requests_are_counted_by_route_and_status(void)
{
	struct buf auto_buf text = {0};
	struct fixture f;

	open_fixture(&f);
	call_and_wait(&f, "POST", "/v1/jobs", valid_auth, NULL, job);
	call_and_wait(&f, "POST", "/v1/jobs", NULL, NULL, job);
	call_and_wait(&f, "POST", "/v1/jobs", NULL, NULL, job);
	metrics_render(&f.metrics, &text);
	CU_ASSERT_PTR_NOT_NULL(strstr(text.data,
				      "sycamoreshore_requests_total{route="
				      "\"/v1/jobs\",status=\"200\"} 1\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text.data,
				      "sycamoreshore_requests_total{route="
				      "\"/v1/jobs\",status=\"401\"} 2\n"));
	close_fixture(&f);
}

SUITE(caller_server)
{
	TEST(valid_job_is_submitted_and_answered);
	TEST(invalid_requests_reach_no_callback);
	TEST(requests_without_a_bundle_are_refused);
	TEST(jobs_are_shown_and_cancelled_and_tickets_issued);
	TEST(answer_to_a_closed_connection_is_dropped);
	TEST(requests_are_counted_by_route_and_status);
}
