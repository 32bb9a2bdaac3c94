/* Tests the platform operations with a server that gives set answers. */
#include <stdio.h>
#include <string.h>

#include "cmd/platform_client.h"
#include "transport/http_server.h"
#include "unit.h"

enum { SHORT_MS = 100, LONG_MS = 5000, NO_ANSWER = 0 };

#define KEY_ANSWER "[{\"Value\":\"aGVsbG8=\",\"ModifyIndex\":42}]"

/* The server, its next answer and the last request. */
static struct fixture {
	struct ev_loop *loop;
	struct http_server *server;
	struct platform_client *client;
	struct syc_platform_ops ops;
	unsigned status; /* NO_ANSWER: the server does not answer */
	const char *body;
	char method[16], path[128], index[16], wait[16], cas[16], sent[64];
	/* the results of the last call */
	int done;
	struct syc_platform_value value;
	char text[64];
	enum syc_platform_status list_status;
	bool list_null;
	size_t n;
	struct syc_target target;
} fixture;

static void copy_optional_text(char *dst, size_t size, const char *src)
{
	snprintf(dst, size, "%s", src ? src : "");
}

static void on_request(void *ctx, uint64_t id, const struct http_request *req)
{
	struct http_reply reply = {
		.status = fixture.status,
		.content_type = "application/json",
		.body = {fixture.body, fixture.body ? strlen(fixture.body) : 0},
	};

	copy_optional_text(fixture.method, sizeof(fixture.method), req->method);
	copy_optional_text(fixture.path, sizeof(fixture.path), req->path);
	copy_optional_text(fixture.index, sizeof(fixture.index),
			   http_query(req, "index"));
	copy_optional_text(fixture.wait, sizeof(fixture.wait),
			   http_query(req, "wait"));
	copy_optional_text(fixture.cas, sizeof(fixture.cas),
			   http_query(req, "cas"));
	snprintf(fixture.sent, sizeof(fixture.sent), "%.*s", (int)req->body.n,
		 req->body.n ? (const char *)req->body.p : "");
	if (fixture.status != NO_ANSWER)
		http_server_reply(fixture.server, id, &reply);
}

static void on_client_gone(void *ctx, uint64_t id)
{
}

static void on_value(void *arg, const struct syc_platform_value *v)
{
	fixture.done++;
	fixture.value = *v;
	CU_ASSERT_PTR_NOT_NULL(v->message);
	snprintf(fixture.text, sizeof(fixture.text), "%.*s", (int)v->value.n,
		 v->value.n ? (const char *)v->value.p : "");
	ev_break(fixture.loop, EVBREAK_ALL);
}

static void on_list(void *arg, enum syc_platform_status st,
		    const struct syc_target *targets, size_t n)
{
	fixture.done++;
	fixture.list_status = st;
	fixture.list_null = !targets;
	fixture.n = n;
	if (n)
		fixture.target = targets[0];
	ev_break(fixture.loop, EVBREAK_ALL);
}

static void start_server_and_client(uint32_t timeout_ms)
{
	struct http_server_options http = {
		.listen = {"127.0.0.1", 0},
		.body_max = 4096,
		.conns_max = 16,
		.idle_s = 30,
		.request = on_request,
		.client_gone = on_client_gone,
	};
	struct platform_client_options opt = {
		.store = {"127.0.0.1", 0},
		.timeout_ms = timeout_ms,
		.token = "secret",
	};

	memset(&fixture, 0, sizeof(fixture));
	fixture.loop = opt.loop = http.loop = ev_loop_new(0);
	CU_ASSERT_EQUAL_FATAL(http_server_new(&fixture.server, &http),
			      TRANSPORT_OK);
	opt.store.port = http_server_port(fixture.server);
	fixture.client = platform_client_new(&opt);
	fixture.ops = platform_client_ops(fixture.client);
}

static void stop_server_and_client(void)
{
	platform_client_free(fixture.client);
	if (fixture.server)
		http_server_free(fixture.server);
	ev_loop_destroy(fixture.loop);
}

static void call_get(unsigned status, const char *body)
{
	fixture.status = status;
	fixture.body = body;
	fixture.done = 0;
	fixture.ops.get(fixture.ops.ctx, "a/b", on_value, NULL);
	CU_ASSERT_EQUAL(fixture.done, 0);
	ev_run(fixture.loop, 0);
	CU_ASSERT_EQUAL(fixture.done, 1);
}

static enum syc_platform_status call_cas(unsigned status, const char *body)
{
	struct syc_bytes value = {"value", 5};

	fixture.status = status;
	fixture.body = body;
	fixture.done = 0;
	fixture.ops.cas(fixture.ops.ctx, "a/b", 7, value, on_value, NULL);
	ev_run(fixture.loop, 0);
	CU_ASSERT_EQUAL(fixture.done, 1);
	return fixture.value.status;
}

static void reads_report_value_absence_or_error(void)
{
	start_server_and_client(LONG_MS);
	call_get(200, KEY_ANSWER);
	CU_ASSERT_EQUAL(fixture.value.status, SYC_PLATFORM_OK);
	CU_ASSERT_EQUAL(fixture.value.index, 42);
	CU_ASSERT_STRING_EQUAL(fixture.text, "hello");
	CU_ASSERT_STRING_EQUAL(fixture.method, "GET");
	CU_ASSERT_STRING_EQUAL(fixture.path, "/v1/kv/a/b");
	call_get(404, "");
	CU_ASSERT_EQUAL(fixture.value.status, SYC_PLATFORM_ABSENT);
	CU_ASSERT_EQUAL(fixture.value.index, 0);
	call_get(500, "no leader");
	CU_ASSERT_EQUAL(fixture.value.status, SYC_PLATFORM_ERROR);
	call_get(200, "garbage");
	CU_ASSERT_EQUAL(fixture.value.status, SYC_PLATFORM_ERROR);
	CU_ASSERT_EQUAL(platform_client_calls(fixture.client), 4);
	stop_server_and_client();
}

static void watch_sends_index_and_wait_time(void)
{
	start_server_and_client(LONG_MS);
	fixture.status = 200;
	fixture.body = KEY_ANSWER;
	fixture.ops.watch(fixture.ops.ctx, "a/b", 41, 3000, on_value, NULL);
	ev_run(fixture.loop, 0);
	CU_ASSERT_EQUAL(fixture.value.status, SYC_PLATFORM_OK);
	CU_ASSERT_STRING_EQUAL(fixture.index, "41");
	CU_ASSERT_STRING_EQUAL(fixture.wait, "3000ms");
	stop_server_and_client();
}

static void writes_report_success_conflict_or_error(void)
{
	start_server_and_client(LONG_MS);
	CU_ASSERT_EQUAL(call_cas(200, "true"), SYC_PLATFORM_OK);
	CU_ASSERT_STRING_EQUAL(fixture.method, "PUT");
	CU_ASSERT_STRING_EQUAL(fixture.cas, "7");
	CU_ASSERT_STRING_EQUAL(fixture.sent, "value");
	CU_ASSERT_EQUAL(call_cas(200, "false"), SYC_PLATFORM_CONFLICT);
	CU_ASSERT_EQUAL(call_cas(413, "too long"), SYC_PLATFORM_ERROR);
	stop_server_and_client();
}

/* A write that may have taken effect must not be reported as failed. */
static void writes_without_a_clear_answer_are_uncertain(void)
{
	start_server_and_client(SHORT_MS);
	CU_ASSERT_EQUAL(call_cas(500, "rpc error"), SYC_PLATFORM_UNCERTAIN);
	CU_ASSERT_EQUAL(call_cas(200, "maybe"), SYC_PLATFORM_UNCERTAIN);
	CU_ASSERT_EQUAL(call_cas(NO_ANSWER, NULL), SYC_PLATFORM_UNCERTAIN);
	call_get(NO_ANSWER, NULL);
	CU_ASSERT_EQUAL(fixture.value.status, SYC_PLATFORM_UNREACHABLE);
	stop_server_and_client();
}

static void refused_connection_is_unreachable(void)
{
	start_server_and_client(LONG_MS);
	http_server_free(fixture.server);
	fixture.server = NULL;
	CU_ASSERT_EQUAL(call_cas(200, "true"), SYC_PLATFORM_UNREACHABLE);
	call_get(200, KEY_ANSWER);
	CU_ASSERT_EQUAL(fixture.value.status, SYC_PLATFORM_UNREACHABLE);
	stop_server_and_client();
}

static void call_list(unsigned status, const char *body)
{
	fixture.status = status;
	fixture.body = body;
	fixture.ops.list(fixture.ops.ctx, "work", on_list, NULL);
	ev_run(fixture.loop, 0);
}

static void targets_are_listed(void)
{
	start_server_and_client(LONG_MS);
	call_list(200, "[{\"Service\":{\"ID\":\"t1\",\"Service\":\"work\","
		       "\"Address\":\"10.0.0.1\",\"Port\":80,\"Meta\":"
		       "{\"domain\":\"east\"}},\"Checks\":[]}]");
	CU_ASSERT_EQUAL(fixture.list_status, SYC_PLATFORM_OK);
	CU_ASSERT_EQUAL(fixture.n, 1);
	CU_ASSERT_STRING_EQUAL(fixture.target.name, "t1");
	CU_ASSERT_STRING_EQUAL(fixture.path, "/v1/health/service/work");
	call_list(200, "[]");
	CU_ASSERT_EQUAL(fixture.list_status, SYC_PLATFORM_OK);
	CU_ASSERT_FALSE(fixture.list_null);
	CU_ASSERT_EQUAL(fixture.n, 0);
	call_list(500, "no leader");
	CU_ASSERT_EQUAL(fixture.list_status, SYC_PLATFORM_ERROR);
	CU_ASSERT_TRUE(fixture.list_null);
	call_list(200, "{}");
	CU_ASSERT_EQUAL(fixture.list_status, SYC_PLATFORM_ERROR);
	CU_ASSERT_TRUE(fixture.list_null);
	stop_server_and_client();
}

static void freeing_the_client_drops_open_calls(void)
{
	start_server_and_client(LONG_MS);
	fixture.status = NO_ANSWER;
	fixture.ops.get(fixture.ops.ctx, "a", on_value, NULL);
	fixture.ops.list(fixture.ops.ctx, "work", on_list, NULL);
	stop_server_and_client();
	CU_ASSERT_EQUAL(fixture.done, 0);
}

SUITE(platform_client)
{
	TEST(reads_report_value_absence_or_error);
	TEST(watch_sends_index_and_wait_time);
	TEST(writes_report_success_conflict_or_error);
	TEST(writes_without_a_clear_answer_are_uncertain);
	TEST(refused_connection_is_unreachable);
	TEST(targets_are_listed);
	TEST(freeing_the_client_drops_open_calls);
}
