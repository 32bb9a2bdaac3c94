/* Tests how the HTTP client reports sent and unsent requests and answers. */
#include <fcntl.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/http_client.h"
#include "transport/http_sock.h"
#include "transport_help.h"
#include "unit.h"
#include "util/rng.h"

static const char ok_answer[] =
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct fixture {
	struct ev_loop *loop;
	struct http_client *client;
	struct raw_server server;
	int n_done;
	enum http_end end; /* end of the last request */
	unsigned status;
	char body[64];
	char not_run[16];
	char message[128];
};

static void setup(struct fixture *f)
{
	struct http_client_options opt = {.conns_per_host = 2,
					  .connect_ms = 1000};

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(0);
	opt.loop = f->loop;
	f->client = http_client_new(&opt);
	f->server.ctx = f;
	raw_server_start(&f->server, f->loop);
}

static void teardown(struct fixture *f)
{
	http_client_free(f->client);
	raw_server_stop(&f->server);
	ev_loop_destroy(f->loop);
}

static void on_done(void *arg, const struct http_answer *a)
{
	struct fixture *f = arg;

	f->n_done++;
	f->end = a->end;
	f->status = a->status;
	snprintf(f->body, sizeof(f->body), "%.*s", (int)a->body.n,
		 a->body.n ? (const char *)a->body.p : "");
	snprintf(f->not_run, sizeof(f->not_run), "%s",
		 a->not_run ? a->not_run : "");
	snprintf(f->message, sizeof(f->message), "%s", a->message);
}

static uint64_t post(struct fixture *f, uint32_t timeout_ms)
{
	static const char *const lines[] = {"Sycamoreshore-Task: 7", NULL};
	struct http_call call = {.method = "POST",
				 .addr = loopback(f->server.port),
				 .path = "/run",
				 .headers = lines,
				 .body = {"in", 2},
				 .timeout_ms = timeout_ms,
				 .body_max = 40};

	return http_client_send(f->client, &call, on_done, f);
}

static void send_ok_answer(struct raw_server *s, int fd)
{
	raw_send(fd, ok_answer);
}

static void answers_arrive_over_one_connection(void)
{
	struct fixture f;
	int i;

	setup(&f);
	f.server.data = send_ok_answer;
	for (i = 1; i <= 3; i++) {
		post(&f, 5000);
		CU_ASSERT_EQUAL(f.n_done, i - 1);
		CU_ASSERT(run_until(f.loop, &f.n_done, i));
		CU_ASSERT_EQUAL(f.end, HTTP_ANSWERED);
		CU_ASSERT_EQUAL(f.status, 200);
		CU_ASSERT_STRING_EQUAL(f.body, "ok");
	}
	CU_ASSERT_EQUAL(f.server.n_accepted, 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.server.in.data, "POST /run HTTP/1.1"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(f.server.in.data, "Sycamoreshore-Task: 7\r\n"));
	teardown(&f);
}

/* Answers the first request, and closes the connection after the second one. */
static void answer_once_then_close(struct raw_server *s, int fd)
{
	if (s->n_read == 1)
		raw_send(fd, ok_answer);
	else
		raw_server_close(s, fd);
}

static void request_on_closed_connection_is_not_sent_again(void)
{
	struct fixture f;

	setup(&f);
	f.server.data = answer_once_then_close;
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 2));
	run_a_while(f.loop);
	CU_ASSERT_EQUAL(f.end, HTTP_INCOMPLETE);
	CU_ASSERT_EQUAL(f.server.n_read, 2);
	teardown(&f);
}

static void idle_connection_closed_by_server_is_not_used(void)
{
	struct fixture f;

	setup(&f);
	f.server.data = send_ok_answer;
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	raw_server_close_all(&f.server);
	run_a_while(f.loop);
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 2));
	CU_ASSERT_EQUAL(f.end, HTTP_ANSWERED);
	CU_ASSERT_EQUAL(f.server.n_accepted, 2);
	CU_ASSERT_EQUAL(f.server.n_read, 2);
	teardown(&f);
}

static void request_to_closed_port_is_not_sent(void)
{
	struct fixture f;

	setup(&f);
	raw_server_stop(&f.server);
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_EQUAL(f.end, HTTP_NOT_SENT);
	CU_ASSERT_NOT_EQUAL(f.message[0], '\0');
	raw_server_start(&f.server, f.loop);
	teardown(&f);
}

static void timeout_distinguishes_sent_from_queued(void)
{
	struct fixture f;

	setup(&f);
	post(&f, 5000);
	post(&f, 5000);
	post(&f, 100); /* waits, because a host gets two connections */
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_EQUAL(f.end, HTTP_NOT_SENT);
	teardown(&f);
	setup(&f);
	post(&f, 100);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_EQUAL(f.end, HTTP_TIMEOUT);
	f.server.data = send_ok_answer;
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 2));
	/*
	 * The second request has its own connection, on which the late answer
	 * to the first one cannot arrive.
	 */
	CU_ASSERT_EQUAL(f.server.n_accepted, 2);
	teardown(&f);
}

/* The host accepts no connections, because its backlog is full. */
static void request_is_not_sent_if_connecting_times_out(void)
{
	enum { FILL = 4 };
	struct fixture f;
	int i, fds[FILL];

	setup(&f);
	ev_io_stop(f.loop, &f.server.io);
	CU_ASSERT_EQUAL(listen(f.server.fd, 0), 0);
	for (i = 0; i < FILL; i++)
		fds[i] = raw_connect_begin(f.server.port);
	run_a_while(f.loop);
	post(&f, 100);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_EQUAL(f.end, HTTP_NOT_SENT);
	run_a_while(f.loop); /* the closed descriptor must not be watched */
	for (i = 0; i < FILL; i++)
		close(fds[i]);
	teardown(&f);
}

/* Answers one request on each of `n` connections, from its own thread. */
struct quick_server {
	pthread_t thread;
	int fd;
	int n;
};

static void *run_quick_server(void *arg)
{
	const struct quick_server *s = arg;
	char request[1024];
	int i, fd;

	for (i = 0; i < s->n; i++) {
		fd = accept(s->fd, NULL, NULL);
		if (recv(fd, request, sizeof(request), 0) > 0)
			raw_send(fd, ok_answer);
		close(fd);
	}
	return NULL;
}

static void be_busy(struct ev_loop *loop, ev_prepare *w, int revents)
{
	usleep(60 * 1000);
}

static void late_loop_times_out_no_answered_call(void)
{
	struct quick_server s = {.n = 3};
	struct fixture f;
	ev_prepare busy;
	int i;

	setup(&f);
	ev_io_stop(f.loop, &f.server.io);
	s.fd = f.server.fd;
	fcntl(s.fd, F_SETFL, 0);
	pthread_create(&s.thread, NULL, run_quick_server, &s);
	ev_prepare_init(&busy, be_busy);
	ev_prepare_start(f.loop, &busy);
	for (i = 1; i <= s.n; i++) {
		post(&f, 120);
		CU_ASSERT(run_until(f.loop, &f.n_done, i));
		CU_ASSERT_EQUAL(f.end, HTTP_ANSWERED);
	}
	pthread_join(s.thread, NULL);
	teardown(&f);
}

static void cancel_distinguishes_sent_from_queued(void)
{
	struct fixture f;
	uint64_t call;

	setup(&f);
	call = post(&f, 5000);
	http_client_cancel(f.client, call);
	CU_ASSERT_EQUAL(f.n_done, 0);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_EQUAL(f.end, HTTP_NOT_SENT);
	CU_ASSERT_EQUAL(f.server.n_read, 0);
	call = post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.server.n_read, 1));
	http_client_cancel(f.client, call);
	http_client_cancel(f.client, call);
	CU_ASSERT(run_until(f.loop, &f.n_done, 2));
	CU_ASSERT_EQUAL(f.end, HTTP_CANCELLED);
	run_a_while(f.loop);
	CU_ASSERT_EQUAL(f.n_done, 2);
	teardown(&f);
}

struct answer_case {
	const char *answer;
	enum http_end end;
};

static const char *case_answer;

static void send_case_answer(struct raw_server *s, int fd)
{
	raw_send(fd, case_answer);
	raw_server_close(s, fd);
}

static void partial_answers_are_incomplete(void)
{
	static const struct answer_case cases[] = {
		{"", HTTP_INCOMPLETE},
		{"220 smtp.example ESMTP\r\n", HTTP_INCOMPLETE},
		{"\1\2\3\4\5\6\7\10", HTTP_INCOMPLETE},
		{"HTTP/1.1 200 OK\r\nContent-Le", HTTP_INCOMPLETE},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
		 HTTP_INCOMPLETE},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "2\r\nok\r\n",
		 HTTP_INCOMPLETE},
		{"HTTP/1.1 200 OK\r\n\r\nok", HTTP_INCOMPLETE},
		{"HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n"
		 "12345678901234567890123456789012345678901",
		 HTTP_INCOMPLETE},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "2\r\nok\r\n0\r\n\r\n",
		 HTTP_ANSWERED},
		{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", HTTP_ANSWERED},
		{"HTTP/1.1 204 No Content\r\n\r\n", HTTP_ANSWERED},
	};
	struct fixture f;
	size_t i;

	setup(&f);
	f.server.data = send_case_answer;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		case_answer = cases[i].answer;
		post(&f, 5000);
		CU_ASSERT(run_until(f.loop, &f.n_done, (int)i + 1));
		CU_ASSERT_EQUAL(f.end, cases[i].end);
		CU_ASSERT_EQUAL(f.server.n_read, (int)i + 1);
	}
	teardown(&f);
}

static void not_run_header_is_reported(void)
{
	struct fixture f;

	setup(&f);
	f.server.data = send_case_answer;
	case_answer = "HTTP/1.1 503 No\r\nsycamoreshore-not-run: 1\r\n"
		      "Content-Length: 0\r\n\r\n";
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_EQUAL(f.status, 503);
	CU_ASSERT_STRING_EQUAL(f.not_run, "1");
	teardown(&f);
}

/* Sends two answers to the first request. */
static void answer_twice(struct raw_server *s, int fd)
{
	static const char extra[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";

	raw_send(fd, ok_answer);
	if (s->n_read == 1)
		raw_send(fd, extra);
}

/* Bytes after an answer must not be taken for the answer to a later request. */
static void extra_answer_is_not_used_for_the_next_request(void)
{
	struct fixture f;

	setup(&f);
	f.server.data = answer_twice;
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_STRING_EQUAL(f.body, "ok");
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 2));
	CU_ASSERT_STRING_NOT_EQUAL(f.body, "extra");
	CU_ASSERT_EQUAL(f.server.n_accepted, 2);
	teardown(&f);
}

/*
 * An answer that arrives on an idle connection must not be taken for the answer
 * to the next request.
 */
static void late_answer_is_not_used_for_the_next_request(void)
{
	struct fixture f;

	setup(&f);
	f.server.data = send_ok_answer;
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	raw_server_send_all(&f.server,
			    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
			    "\r\nextra");
	run_a_while(f.loop);
	post(&f, 5000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 2));
	CU_ASSERT_STRING_NOT_EQUAL(f.body, "extra");
	teardown(&f);
}

/* Calls http_socks_close_idle with the time at which the socket expires. */
static void connection_idle_for_long_is_closed(void)
{
	struct http_socks socks = {.loop = ev_loop_new(0)};
	char byte;
	int fds[2];

	CU_ASSERT_EQUAL(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
	http_socks_init(&socks);
	http_socks_watch(NULL, fds[0], CURL_POLL_IN, &socks, NULL);
	CU_ASSERT_FALSE(ev_is_active(&socks.idle_timer));
	http_socks_watch(NULL, fds[0], CURL_POLL_REMOVE, &socks, NULL);
	CU_ASSERT(ev_is_active(&socks.idle_timer));
	http_socks_close_idle(&socks, ev_now(socks.loop));
	CU_ASSERT_EQUAL(recv(fds[1], &byte, 1, 0), -1); /* not yet */
	CU_ASSERT(ev_is_active(&socks.idle_timer));
	http_socks_close_idle(&socks, ev_now(socks.loop) + HTTP_IDLE_S);
	CU_ASSERT_EQUAL(recv(fds[1], &byte, 1, 0), 0);
	CU_ASSERT_FALSE(ev_is_active(&socks.idle_timer));
	http_socks_close(&socks, fds[0]);
	http_socks_free(&socks);
	close(fds[1]);
	ev_loop_destroy(socks.loop);
}

static void ipv6_address_is_reached(void)
{
	struct http_call call = {.method = "GET",
				 .path = "/v1/kv/a?index=7",
				 .timeout_ms = 5000,
				 .body_max = 40};
	struct fixture f;

	setup(&f);
	f.server.data = send_ok_answer;
	call.addr = loopback(f.server.port);
	strcpy(call.addr.ip, "::ffff:127.0.0.1");
	http_client_send(f.client, &call, on_done, &f);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_EQUAL(f.end, HTTP_ANSWERED);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(f.server.in.data, "GET /v1/kv/a?index=7 HTTP/1.1"));
	strcpy(call.addr.ip, "localhost");
	http_client_send(f.client, &call, on_done, &f);
	CU_ASSERT(run_until(f.loop, &f.n_done, 2));
	CU_ASSERT_EQUAL(f.end, HTTP_NOT_SENT);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "localhost"));
	teardown(&f);
}

static void send_random_bytes(struct raw_server *s, int fd)
{
	static const char line[] = "HTTP/1.1 200 OK\r\nContent-Length: ";
	struct rng r = {(uint64_t)s->n_read};
	char bytes[512];
	size_t i, n = 1 + rng_below(&r, sizeof(bytes) - 1);

	for (i = 0; i < n; i++)
		bytes[i] = (char)rng_next(&r);
	if (n > sizeof(line) && rng_below(&r, 2))
		memcpy(bytes, line, sizeof(line) - 1);
	send(fd, bytes, n, MSG_NOSIGNAL);
	raw_server_close(s, fd);
}

static void random_bytes_are_never_an_answer(void)
{
	struct fixture f;
	int i;

	setup(&f);
	f.server.data = send_random_bytes;
	for (i = 1; i <= 200; i++) {
		post(&f, 5000);
		CU_ASSERT(run_until(f.loop, &f.n_done, i));
		CU_ASSERT_EQUAL(f.end, HTTP_INCOMPLETE);
	}
	CU_ASSERT_EQUAL(f.server.n_read, 200);
	teardown(&f);
}

/* It may come from an entry in the store; the loop must not wait for it. */
static void address_that_cannot_be_reached_ends_only_its_request(void)
{
	static const struct syc_addr odd[] = {
		{.ip = "255.255.255.255", .port = 80},
		{.ip = "127.0.0.1", .port = 0},
		{.ip = "::1", .port = 0},
		{.ip = "host.example", .port = 80},
		{.ip = "", .port = 80},
	};
	struct http_call call = {.method = "GET",
				 .path = "/",
				 .timeout_ms = 200,
				 .body_max = 40};
	struct fixture f;
	size_t i;

	setup(&f);
	f.server.data = send_ok_answer;
	for (i = 0; i < sizeof(odd) / sizeof(*odd); i++) {
		call.addr = odd[i];
		f.n_done = 0;
		http_client_send(f.client, &call, on_done, &f);
		CU_ASSERT(run_until(f.loop, &f.n_done, 1));
		CU_ASSERT_EQUAL(f.end, HTTP_NOT_SENT);
	}
	f.n_done = 0;
	post(&f, 2000);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_EQUAL(f.end, HTTP_ANSWERED);
	teardown(&f);
}

SUITE(transport_client)
{
	TEST(answers_arrive_over_one_connection);
	TEST(request_on_closed_connection_is_not_sent_again);
	TEST(idle_connection_closed_by_server_is_not_used);
	TEST(request_to_closed_port_is_not_sent);
	TEST(timeout_distinguishes_sent_from_queued);
	TEST(request_is_not_sent_if_connecting_times_out);
	TEST(late_loop_times_out_no_answered_call);
	TEST(cancel_distinguishes_sent_from_queued);
	TEST(partial_answers_are_incomplete);
	TEST(not_run_header_is_reported);
	TEST(extra_answer_is_not_used_for_the_next_request);
	TEST(late_answer_is_not_used_for_the_next_request);
	TEST(connection_idle_for_long_is_closed);
	TEST(ipv6_address_is_reached);
	TEST(address_that_cannot_be_reached_ends_only_its_request);
	TEST(random_bytes_are_never_an_answer);
}
