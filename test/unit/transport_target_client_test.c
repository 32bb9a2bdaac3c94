/*
 * Guards against a wrong outcome of a task: the target client must send a
 * complete request and report how each send ends, among them refusals,
 * failures, incomplete answers, timeouts and stops.
 */
#include <stdlib.h>
#include <string.h>

#include "cmd/target_client.h"
#include "transport/http_server.h"
#include "transport_help.h"
#include "unit.h"
#include "util/alloc.h"

struct fixture {
	struct ev_loop *loop;
	struct target_client *client;
	struct raw_server server;
	const char *answer; /* to each request; the server closes then */
	int n_results;
	uint64_t id;
	struct syc_send_result last;
};

static void on_result(void *ctx, uint64_t id, const struct syc_send_result *res)
{
	struct fixture *f = ctx;

	f->n_results++;
	f->id = id;
	f->last = *res;
}

static void on_data(struct raw_server *s, int fd)
{
	const struct fixture *f = s->ctx;

	if (!f->answer)
		return;
	raw_send(fd, f->answer);
	raw_server_close(s, fd);
}

static void setup(struct fixture *f)
{
	struct target_client_options opt = {.ctx = f, .result = on_result};

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(0);
	opt.loop = f->loop;
	f->client = target_client_new(&opt);
	f->server.ctx = f;
	f->server.data = on_data;
	raw_server_start(&f->server, f->loop);
}

static void teardown(struct fixture *f)
{
	target_client_free(f->client);
	raw_server_stop(&f->server);
	ev_loop_destroy(f->loop);
}

static void start(struct fixture *f, uint64_t id, uint32_t limit_ms)
{
	struct syc_target target = {.addr = loopback(f->server.port)};
	struct syc_service service = {.path = "/run"};
	struct syc_start start = {.id = id,
				  .target = &target,
				  .service = &service,
				  .kind = "proof",
				  .caller = "mug-shop",
				  .task = 0xab,
				  .attempt = 2,
				  .time_limit_ms = limit_ms,
				  .body = {"{}", 2}};

	target_client_start(f->client, &start, 7);
}

static bool sent(const struct fixture *f, const char *line)
{
	return strstr(f->server.in.data, line) != NULL;
}

static void request_contains_the_task(void)
{
	struct fixture f;

	setup(&f);
	f.answer = "HTTP/1.1 201 Made\r\nContent-Length: 2\r\n\r\nok";
	start(&f, 5, 5000);
	CU_ASSERT_EQUAL(f.n_results, 0);
	CU_ASSERT(run_until(f.loop, &f.n_results, 1));
	CU_ASSERT_EQUAL(f.id, 5);
	CU_ASSERT_EQUAL(f.last.end, SYC_SEND_ANSWERED);
	CU_ASSERT_EQUAL(f.last.status, 201);
	CU_ASSERT_EQUAL(f.last.body.n, 2);
	CU_ASSERT(sent(&f, "POST /run HTTP/1.1\r\n"));
	CU_ASSERT(sent(&f, "Sycamoreshore-Task: 00000000000000ab\r\n"));
	CU_ASSERT(sent(&f, "Sycamoreshore-Attempt: 2\r\n"));
	CU_ASSERT(sent(&f, "Sycamoreshore-Epoch: 7\r\n"));
	CU_ASSERT(sent(&f, "Sycamoreshore-Kind: proof\r\n"));
	CU_ASSERT(sent(&f, "Sycamoreshore-Caller: mug-shop\r\n"));
	CU_ASSERT(sent(&f, "\r\n\r\n{}"));
	teardown(&f);
}

static void answers_are_mapped_to_ends(void)
{
	static const struct {
		const char *answer;
		enum syc_send_end end;
	} cases[] = {
		{"HTTP/1.1 503 No\r\nSycamoreshore-Not-Run: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 SYC_SEND_REFUSED},
		{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
		 SYC_SEND_FAILED},
		{"HTTP/1.1 500 No\r\nSycamoreshore-Not-Run: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 SYC_SEND_FAILED},
		{"HTTP/1.1 301 Moved\r\nLocation: /else\r\n"
		 "Content-Length: 0\r\n\r\n",
		 SYC_SEND_FAILED},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
		 SYC_SEND_BROKEN},
		{"HTTP/1.1 503 No\r\nSycamoreshore-Not-Run: 1\r\n"
		 "Content-Length: 3\r\n\r\n",
		 SYC_SEND_BROKEN},
		{"SSH-2.0-server\r\n", SYC_SEND_BROKEN},
	};
	struct fixture f;
	size_t i;

	setup(&f);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		f.answer = cases[i].answer;
		start(&f, i + 1, 5000);
		CU_ASSERT(run_until(f.loop, &f.n_results, (int)i + 1));
		CU_ASSERT_EQUAL(f.last.end, cases[i].end);
		CU_ASSERT_EQUAL(f.server.n_read, (int)i + 1);
	}
	teardown(&f);
}

struct big_target {
	struct http_server *server;
	char *text;
	size_t len;
};

static void on_request(void *ctx, uint64_t id, const struct http_request *req)
{
	struct big_target *b = ctx;
	struct http_reply reply = {.status = 200, .body = {b->text, b->len}};

	http_server_reply(b->server, id, &reply);
}

static void on_client_gone(void *ctx, uint64_t id)
{
}

static void answer_over_a_mebibyte_is_broken(void)
{
	enum { MAX = 1024 * 1024 };
	struct big_target b = {.text = xcalloc(1, MAX + 1), .len = MAX};
	struct http_server_options opt = {.listen = loopback(0),
					  .conns_max = 8,
					  .idle_s = 30,
					  .body_max = 100,
					  .ctx = &b,
					  .request = on_request,
					  .client_gone = on_client_gone};
	struct fixture f;
	uint16_t port;

	setup(&f);
	opt.loop = f.loop;
	CU_ASSERT_EQUAL(http_server_new(&b.server, &opt), TRANSPORT_OK);
	port = f.server.port;
	f.server.port = http_server_port(b.server);
	start(&f, 1, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_results, 1));
	CU_ASSERT_EQUAL(f.last.end, SYC_SEND_ANSWERED);
	b.len++;
	start(&f, 2, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_results, 2));
	CU_ASSERT_EQUAL(f.last.end, SYC_SEND_BROKEN);
	f.server.port = port;
	http_server_free(b.server);
	teardown(&f);
	free(b.text);
}

static void unresponsive_stopped_and_unreachable_targets(void)
{
	struct fixture f;

	setup(&f);
	start(&f, 1, 50);
	CU_ASSERT(run_until(f.loop, &f.n_results, 1));
	CU_ASSERT_EQUAL(f.last.end, SYC_SEND_TIMEOUT);
	start(&f, 2, 5000);
	target_client_stop(f.client, 2);
	CU_ASSERT_EQUAL(f.n_results, 1);
	CU_ASSERT(run_until(f.loop, &f.n_results, 2));
	CU_ASSERT_EQUAL(f.id, 2);
	CU_ASSERT_EQUAL(f.last.end, SYC_SEND_NOT_SENT);
	f.server.n_read = 0;
	start(&f, 3, 5000);
	CU_ASSERT(run_until(f.loop, &f.server.n_read, 1));
	target_client_stop(f.client, 3);
	CU_ASSERT(run_until(f.loop, &f.n_results, 3));
	CU_ASSERT_EQUAL(f.last.end, SYC_SEND_BROKEN);
	raw_server_stop(&f.server);
	start(&f, 4, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_results, 4));
	CU_ASSERT_EQUAL(f.last.end, SYC_SEND_NOT_SENT);
	target_client_stop(f.client, 4);
	raw_server_start(&f.server, f.loop);
	teardown(&f);
}

SUITE(transport_target_client)
{
	TEST(request_contains_the_task);
	TEST(answers_are_mapped_to_ends);
	TEST(answer_over_a_mebibyte_is_broken);
	TEST(unresponsive_stopped_and_unreachable_targets);
}
