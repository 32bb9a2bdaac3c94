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
} b;

static void copy_text(char *dst, size_t size, const char *src)
{
	snprintf(dst, size, "%s", src ? src : "");
}

static void on_request(void *ctx, uint64_t id, const struct http_request *req)
{
	struct http_reply reply = {
		.status = b.status,
		.content_type = "application/json",
		.body = {b.body, b.body ? strlen(b.body) : 0},
	};

	copy_text(b.method, sizeof(b.method), req->method);
	copy_text(b.path, sizeof(b.path), req->path);
	copy_text(b.index, sizeof(b.index), http_query(req, "index"));
	copy_text(b.wait, sizeof(b.wait), http_query(req, "wait"));
	copy_text(b.cas, sizeof(b.cas), http_query(req, "cas"));
	snprintf(b.sent, sizeof(b.sent), "%.*s", (int)req->body.n,
		 req->body.n ? (const char *)req->body.p : "");
	if (b.status != NO_ANSWER)
		http_server_reply(b.server, id, &reply);
}

static void on_gone(void *ctx, uint64_t id)
{
}

static void on_value(void *arg, const struct syc_platform_value *v)
{
	b.done++;
	b.value = *v;
	CU_ASSERT_PTR_NOT_NULL(v->message);
	snprintf(b.text, sizeof(b.text), "%.*s", (int)v->value.n,
		 v->value.n ? (const char *)v->value.p : "");
	ev_break(b.loop, EVBREAK_ALL);
}

static void on_list(void *arg, enum syc_platform_status st,
		    const struct syc_target *targets, size_t n)
{
	b.done++;
	b.list_status = st;
	b.list_null = !targets;
	b.n = n;
	if (n)
		b.target = targets[0];
	ev_break(b.loop, EVBREAK_ALL);
}

static void begin(uint32_t timeout_ms)
{
	struct http_server_options http = {
		.listen = {"127.0.0.1", 0},
		.body_max = 4096,
		.conns_max = 16,
		.idle_s = 30,
		.request = on_request,
		.gone = on_gone,
	};
	struct platform_client_options opt = {
		.store = {"127.0.0.1", 0},
		.timeout_ms = timeout_ms,
		.token = "secret",
	};

	memset(&b, 0, sizeof(b));
	b.loop = opt.loop = http.loop = ev_loop_new(0);
	CU_ASSERT_EQUAL_FATAL(http_server_new(&b.server, &http), TRANSPORT_OK);
	opt.store.port = http_server_port(b.server);
	b.client = platform_client_new(&opt);
	b.ops = platform_client_ops(b.client);
}

static void end(void)
{
	platform_client_free(b.client);
	if (b.server)
		http_server_free(b.server);
	ev_loop_destroy(b.loop);
}

static void get(unsigned status, const char *body)
{
	b.status = status;
	b.body = body;
	b.done = 0;
	b.ops.get(b.ops.ctx, "a/b", on_value, NULL);
	CU_ASSERT_EQUAL(b.done, 0);
	ev_run(b.loop, 0);
	CU_ASSERT_EQUAL(b.done, 1);
}

static enum syc_platform_status cas(unsigned status, const char *body)
{
	struct syc_bytes value = {"value", 5};

	b.status = status;
	b.body = body;
	b.done = 0;
	b.ops.cas(b.ops.ctx, "a/b", 7, value, on_value, NULL);
	ev_run(b.loop, 0);
	CU_ASSERT_EQUAL(b.done, 1);
	return b.value.status;
}

static void reads_report_value_absence_or_error(void)
{
	begin(LONG_MS);
	get(200, KEY_ANSWER);
	CU_ASSERT_EQUAL(b.value.status, SYC_PLATFORM_OK);
	CU_ASSERT_EQUAL(b.value.index, 42);
	CU_ASSERT_STRING_EQUAL(b.text, "hello");
	CU_ASSERT_STRING_EQUAL(b.method, "GET");
	CU_ASSERT_STRING_EQUAL(b.path, "/v1/kv/a/b");
	get(404, "");
	CU_ASSERT_EQUAL(b.value.status, SYC_PLATFORM_ABSENT);
	CU_ASSERT_EQUAL(b.value.index, 0);
	get(500, "no leader");
	CU_ASSERT_EQUAL(b.value.status, SYC_PLATFORM_ERROR);
	get(200, "garbage");
	CU_ASSERT_EQUAL(b.value.status, SYC_PLATFORM_ERROR);
	CU_ASSERT_EQUAL(platform_client_calls(b.client), 4);
	end();
}

static void watch_sends_index_and_wait_time(void)
{
	begin(LONG_MS);
	b.status = 200;
	b.body = KEY_ANSWER;
	b.ops.watch(b.ops.ctx, "a/b", 41, 3000, on_value, NULL);
	ev_run(b.loop, 0);
	CU_ASSERT_EQUAL(b.value.status, SYC_PLATFORM_OK);
	CU_ASSERT_STRING_EQUAL(b.index, "41");
	CU_ASSERT_STRING_EQUAL(b.wait, "3000ms");
	end();
}

static void writes_report_success_conflict_or_error(void)
{
	begin(LONG_MS);
	CU_ASSERT_EQUAL(cas(200, "true"), SYC_PLATFORM_OK);
	CU_ASSERT_STRING_EQUAL(b.method, "PUT");
	CU_ASSERT_STRING_EQUAL(b.cas, "7");
	CU_ASSERT_STRING_EQUAL(b.sent, "value");
	CU_ASSERT_EQUAL(cas(200, "false"), SYC_PLATFORM_CONFLICT);
	CU_ASSERT_EQUAL(cas(413, "too long"), SYC_PLATFORM_ERROR);
	end();
}

/* A write that may have taken effect must not be reported as failed. */
static void writes_without_a_clear_answer_are_uncertain(void)
{
	begin(SHORT_MS);
	CU_ASSERT_EQUAL(cas(500, "rpc error"), SYC_PLATFORM_UNCERTAIN);
	CU_ASSERT_EQUAL(cas(200, "maybe"), SYC_PLATFORM_UNCERTAIN);
	CU_ASSERT_EQUAL(cas(NO_ANSWER, NULL), SYC_PLATFORM_UNCERTAIN);
	get(NO_ANSWER, NULL);
	CU_ASSERT_EQUAL(b.value.status, SYC_PLATFORM_UNREACHABLE);
	end();
}

static void refused_connection_is_unreachable(void)
{
	begin(LONG_MS);
	http_server_free(b.server);
	b.server = NULL;
	CU_ASSERT_EQUAL(cas(200, "true"), SYC_PLATFORM_UNREACHABLE);
	get(200, KEY_ANSWER);
	CU_ASSERT_EQUAL(b.value.status, SYC_PLATFORM_UNREACHABLE);
	end();
}

static void list(unsigned status, const char *body)
{
	b.status = status;
	b.body = body;
	b.ops.list(b.ops.ctx, "work", on_list, NULL);
	ev_run(b.loop, 0);
}

static void targets_are_listed(void)
{
	begin(LONG_MS);
	list(200, "[{\"Service\":{\"ID\":\"t1\",\"Service\":\"work\","
		  "\"Address\":\"10.0.0.1\",\"Port\":80,\"Meta\":"
		  "{\"domain\":\"east\"}},\"Checks\":[]}]");
	CU_ASSERT_EQUAL(b.list_status, SYC_PLATFORM_OK);
	CU_ASSERT_EQUAL(b.n, 1);
	CU_ASSERT_STRING_EQUAL(b.target.name, "t1");
	CU_ASSERT_STRING_EQUAL(b.path, "/v1/health/service/work");
	list(200, "[]");
	CU_ASSERT_EQUAL(b.list_status, SYC_PLATFORM_OK);
	CU_ASSERT_FALSE(b.list_null);
	CU_ASSERT_EQUAL(b.n, 0);
	list(500, "no leader");
	CU_ASSERT_EQUAL(b.list_status, SYC_PLATFORM_ERROR);
	CU_ASSERT_TRUE(b.list_null);
	list(200, "{}");
	CU_ASSERT_EQUAL(b.list_status, SYC_PLATFORM_ERROR);
	CU_ASSERT_TRUE(b.list_null);
	end();
}

static void freeing_the_client_drops_open_calls(void)
{
	begin(LONG_MS);
	b.status = NO_ANSWER;
	b.ops.get(b.ops.ctx, "a", on_value, NULL);
	b.ops.list(b.ops.ctx, "work", on_list, NULL);
	end();
	CU_ASSERT_EQUAL(b.done, 0);
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
