/*
 * Tests the HTTP server: its limits, bad and slow clients, and replies during
 * the callback and later.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/http_server.h"
#include "transport_help.h"
#include "unit.h"
#include "util/alloc.h"
#include "util/rng.h"

enum { BODY_MAX = 1000, IDS_MAX = 16 };

struct fixture {
	struct ev_loop *loop;
	struct http_server *server;
	bool replies_in_callback;
	/* Called at the end of on_request, or NULL. */
	void (*extra_callback)(void *ctx, uint64_t id);
	int n_requests;
	int n_gone;
	uint64_t ids[IDS_MAX];
	uint64_t gone_id;
	char path[32];
	char key[32];
	char query[32];
	size_t body_len;
	int n_bytes; /* received by the client */
	int n_closed;
	struct buf received;
	ev_io io;
	int fd; /* the client's socket; -1: none */
};

static void reply_text(struct fixture *f, uint64_t id, const char *text)
{
	struct http_reply reply = {.status = 200,
				   .content_type = "text/plain",
				   .retry_after_s = 3,
				   .body = {text, strlen(text)}};

	http_server_reply(f->server, id, &reply);
}

static void copy_optional_text(char *dst, size_t size, const char *src)
{
	snprintf(dst, size, "%s", src ? src : "");
}

static void on_request(void *ctx, uint64_t id, const struct http_request *req)
{
	struct fixture *f = ctx;

	f->ids[f->n_requests++ % IDS_MAX] = id;
	copy_optional_text(f->path, sizeof(f->path), req->path);
	copy_optional_text(f->key, sizeof(f->key), req->idempotency_key);
	copy_optional_text(f->query, sizeof(f->query),
			   http_query(req, "count"));
	f->body_len = req->body.n;
	if (f->replies_in_callback)
		reply_text(f, id, "now");
	if (f->extra_callback)
		f->extra_callback(f, id);
}

static void on_client_gone(void *ctx, uint64_t id)
{
	struct fixture *f = ctx;

	f->n_gone++;
	f->gone_id = id;
}

static void on_bytes(struct ev_loop *loop, ev_io *w, int revents)
{
	struct fixture *f = w->data;
	char chunk[4096];
	ssize_t n = recv(w->fd, chunk, sizeof(chunk), MSG_DONTWAIT);

	if (n <= 0) {
		ev_io_stop(loop, w);
		f->n_closed++;
		return;
	}
	f->n_bytes += (int)n;
	buf_add(&f->received, chunk, (size_t)n);
}

static void client_open(struct fixture *f)
{
	f->fd = raw_connect(http_server_port(f->server));
	f->received.len = 0;
	f->n_bytes = f->n_closed = 0;
	ev_io_init(&f->io, on_bytes, f->fd, EV_READ);
	f->io.data = f;
	ev_io_start(f->loop, &f->io);
}

static void client_close(struct fixture *f)
{
	if (f->fd < 0)
		return;
	ev_io_stop(f->loop, &f->io);
	close(f->fd);
	f->fd = -1;
}

static void setup_with_idle_s(struct fixture *f, unsigned idle_s)
{
	struct http_server_options opt = {.listen = loopback(0),
					  .body_max = BODY_MAX,
					  .conns_max = 8,
					  .idle_s = idle_s,
					  .ctx = f,
					  .request = on_request,
					  .client_gone = on_client_gone};

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(0);
	opt.loop = f->loop;
	CU_ASSERT_EQUAL(http_server_new(&f->server, &opt), TRANSPORT_OK);
	client_open(f);
}

static void setup(struct fixture *f)
{
	setup_with_idle_s(f, 30);
}

static void teardown(struct fixture *f)
{
	client_close(f);
	http_server_free(f->server);
	buf_free(&f->received);
	ev_loop_destroy(f->loop);
}

static bool has_received(const struct fixture *f, const char *text)
{
	return f->received.len && strstr(f->received.data, text);
}

static bool wait_closed(struct fixture *f)
{
	return run_until(f->loop, &f->n_closed, 1);
}

static bool wait_for_text(struct fixture *f, const char *text)
{
	while (!has_received(f, text))
		if (!run_until(f->loop, &f->n_bytes, f->n_bytes + 1))
			return false;
	return true;
}

static const char post[] = "POST /v1/jobs?count=5 HTTP/1.1\r\nHost: a\r\n"
			   "Idempotency-Key: k1\r\nContent-Length: 4\r\n\r\n"
			   "body";

static void replies_in_callback_on_one_connection(void)
{
	struct fixture f;

	setup(&f);
	f.replies_in_callback = true;
	raw_send(f.fd, post);
	CU_ASSERT(wait_for_text(&f, "now"));
	CU_ASSERT(has_received(&f, "HTTP/1.1 200 OK"));
	CU_ASSERT(has_received(&f, "Retry-After: 3"));
	CU_ASSERT_STRING_EQUAL(f.path, "/v1/jobs");
	CU_ASSERT_STRING_EQUAL(f.key, "k1");
	CU_ASSERT_STRING_EQUAL(f.query, "5");
	CU_ASSERT_EQUAL(f.body_len, 4);
	f.received.len = 0;
	raw_send(f.fd, post);
	CU_ASSERT(wait_for_text(&f, "now"));
	CU_ASSERT_EQUAL(f.n_requests, 2);
	CU_ASSERT_EQUAL(http_server_open_count(f.server), 0);
	teardown(&f);
}

static void replies_after_callback_only_once(void)
{
	struct fixture f;

	setup(&f);
	raw_send(f.fd, post);
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	run_a_while(f.loop);
	CU_ASSERT_EQUAL(f.n_bytes, 0);
	CU_ASSERT_EQUAL(http_server_open_count(f.server), 1);
	reply_text(&f, f.ids[0], "later");
	reply_text(&f, f.ids[0], "again");
	CU_ASSERT(wait_for_text(&f, "later"));
	run_a_while(f.loop);
	CU_ASSERT_FALSE(has_received(&f, "again"));
	CU_ASSERT_EQUAL(http_server_open_count(f.server), 0);
	reply_text(&f, f.ids[0], "stale");
	teardown(&f);
}

static void pipelined_requests_are_answered_in_order(void)
{
	struct fixture f;

	setup(&f);
	raw_send(f.fd, post);
	raw_send(f.fd, post);
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	run_a_while(f.loop);
	CU_ASSERT_EQUAL(f.n_requests, 1);
	reply_text(&f, f.ids[0], "first");
	CU_ASSERT(run_until(f.loop, &f.n_requests, 2));
	reply_text(&f, f.ids[1], "second");
	CU_ASSERT(wait_for_text(&f, "second"));
	CU_ASSERT(has_received(&f, "first"));
	teardown(&f);
}

static void reply_to_both_requests(void *ctx, uint64_t id)
{
	struct fixture *f = ctx;

	if (f->n_requests != 2)
		return;
	reply_text(f, f->ids[0], "joined one");
	reply_text(f, id, "joined two");
}

/* Two requests have one key, and the callback of the second replies to both. */
static void callback_may_reply_to_several_requests(void)
{
	struct fixture f;
	int fd;

	setup(&f);
	f.extra_callback = reply_to_both_requests;
	fd = raw_connect(http_server_port(f.server));
	raw_send(f.fd, post);
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	raw_send(fd, post);
	CU_ASSERT(wait_for_text(&f, "joined one"));
	CU_ASSERT_EQUAL(f.n_requests, 2);
	run_a_while(f.loop);
	CU_ASSERT_EQUAL(http_server_open_count(f.server), 0);
	close(fd);
	teardown(&f);
}

static void quiesce_in_callback(void *ctx, uint64_t id)
{
	struct fixture *f = ctx;

	http_server_quiesce(f->server);
	reply_text(f, id, "stopping");
}

static void callback_may_quiesce(void)
{
	struct fixture f;

	setup(&f);
	f.extra_callback = quiesce_in_callback;
	raw_send(f.fd, post);
	CU_ASSERT(wait_for_text(&f, "stopping"));
	CU_ASSERT(wait_closed(&f));
	teardown(&f);
}

static void disconnected_client_is_reported(void)
{
	struct fixture f;

	setup(&f);
	raw_send(f.fd, post);
	raw_send(f.fd, "GET /next HTTP/1.1\r\n"); /* a partial request */
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	client_close(&f);
	CU_ASSERT(run_until(f.loop, &f.n_gone, 1));
	CU_ASSERT_EQUAL(f.gone_id, f.ids[0]);
	reply_text(&f, f.ids[0], "void");
	run_a_while(f.loop);
	CU_ASSERT_EQUAL(http_server_open_count(f.server), 0);
	CU_ASSERT_EQUAL(f.n_gone, 1);
	teardown(&f);
}

static void expect_status(const char *request, const char *status)
{
	struct fixture f;

	setup(&f);
	f.replies_in_callback = true;
	raw_send(f.fd, request);
	CU_ASSERT(wait_for_text(&f, status));
	CU_ASSERT_EQUAL(f.n_requests, 0);
	teardown(&f);
}

static void bad_requests_get_their_status(void)
{
	static char huge[40000];
	static char chunked[4000];
	size_t n;

	expect_status("POST / HTTP/1.1\r\nHost: a\r\n"
		      "Content-Length: 1001\r\n\r\n",
		      "HTTP/1.1 413");
	n = (size_t)snprintf(chunked, sizeof(chunked),
			     "POST / HTTP/1.1\r\nHost: a\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n5dc\r\n");
	memset(chunked + n, 'x', 1500);
	strcpy(chunked + n + 1500, "\r\n0\r\n\r\n");
	expect_status(chunked, "HTTP/1.1 413");
	expect_status(chunked, "\"reason\":\"too_large\"");
	n = (size_t)snprintf(huge, sizeof(huge),
			     "GET / HTTP/1.1\r\nHost: a\r\nX: ");
	memset(huge + n, 'x', 30000);
	strcpy(huge + n + 30000, "\r\n\r\n");
	expect_status(huge, "HTTP/1.1 431");
	expect_status("POST / HTTP/1.1\r\nHost: a\r\n"
		      "Content-Length: many\r\n\r\n",
		      "HTTP/1.1 400");
}

static void largest_body_is_accepted(void)
{
	static char request[2000];
	struct fixture f;
	size_t n;

	setup(&f);
	f.replies_in_callback = true;
	n = (size_t)snprintf(request, sizeof(request),
			     "POST / HTTP/1.1\r\nHost: a\r\n"
			     "Content-Length: %d\r\n\r\n",
			     BODY_MAX);
	memset(request + n, 'x', BODY_MAX);
	raw_send(f.fd, request);
	CU_ASSERT(wait_for_text(&f, "now"));
	CU_ASSERT_EQUAL(f.body_len, BODY_MAX);
	teardown(&f);
}

static void endless_chunked_body_ends_the_connection(void)
{
	static char chunk[600];
	struct fixture f;
	int i;

	setup(&f);
	raw_send(f.fd, "POST / HTTP/1.1\r\nHost: a\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n");
	strcpy(chunk, "200\r\n");
	memset(chunk + 5, 'x', 512);
	strcpy(chunk + 517, "\r\n");
	for (i = 0; i < 160; i++)
		raw_send(f.fd, chunk);
	CU_ASSERT(wait_closed(&f));
	CU_ASSERT_EQUAL(f.n_requests, 0);
	teardown(&f);
}

static void idle_client_is_closed(void)
{
	struct fixture f;

	setup_with_idle_s(&f, 1);
	CU_ASSERT(wait_closed(&f));
	teardown(&f);
}

static void send_one_byte(struct ev_loop *loop, ev_timer *w, int revents)
{
	const struct fixture *f = w->data;

	send(f->fd, "x", 1, MSG_NOSIGNAL);
}

static void slow_client_is_closed(void)
{
	struct fixture f;
	ev_timer t;

	setup_with_idle_s(&f, 1);
	raw_send(f.fd, "POST / HTTP/1.1\r\nHost: a\r\n"
		       "Content-Length: 900\r\n\r\n");
	ev_timer_init(&t, send_one_byte, 0.1, 0.1);
	t.data = &f;
	ev_timer_start(f.loop, &t);
	CU_ASSERT(wait_closed(&f));
	CU_ASSERT_EQUAL(f.n_requests, 0);
	ev_timer_stop(f.loop, &t);
	teardown(&f);
}

static void client_awaiting_reply_is_not_closed_as_idle(void)
{
	struct fixture f;
	int i;

	setup_with_idle_s(&f, 1);
	raw_send(f.fd, post);
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	for (i = 0; i < 14; i++)
		run_a_while(f.loop);
	reply_text(&f, f.ids[0], "patience");
	CU_ASSERT(wait_for_text(&f, "patience"));
	teardown(&f);
}

static void quiesced_server_answers_open_requests(void)
{
	struct fixture f;
	int fd;

	setup(&f);
	raw_send(f.fd, post);
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	http_server_quiesce(f.server);
	http_server_quiesce(f.server);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	close(fd);
	reply_text(&f, f.ids[0], "last");
	CU_ASSERT(wait_for_text(&f, "last"));
	CU_ASSERT(wait_closed(&f));
	CU_ASSERT(has_received(&f, "onnection: close"));
	teardown(&f);
}

static void draining_server_closes_connections_and_accepts_new_ones(void)
{
	struct fixture f;
	int fd;

	setup(&f);
	http_server_set_draining(f.server, true);
	raw_send(f.fd, post);
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	reply_text(&f, f.ids[0], "elsewhere");
	CU_ASSERT(wait_for_text(&f, "elsewhere"));
	CU_ASSERT(wait_closed(&f));
	CU_ASSERT(has_received(&f, "onnection: close"));
	fd = raw_connect(http_server_port(f.server));
	CU_ASSERT(fd >= 0);
	raw_send(fd, post);
	CU_ASSERT(run_until(f.loop, &f.n_requests, 2));
	close(fd);
	teardown(&f);
}

/* Guards against a stop that takes a request in part for an idle client. */
static void request_read_in_part_is_counted(void)
{
	struct fixture f;

	setup(&f);
	raw_send(f.fd, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
		       "\r\n1");
	while (!http_server_reading_count(f.server))
		run_a_while(f.loop);
	CU_ASSERT_EQUAL(http_server_open_count(f.server), 0);
	http_server_quiesce(f.server);
	raw_send(f.fd, "2");
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	CU_ASSERT_EQUAL(http_server_reading_count(f.server), 0);
	reply_text(&f, f.ids[0], "whole");
	CU_ASSERT(wait_for_text(&f, "whole"));
	teardown(&f);
	setup(&f);
	raw_send(f.fd, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
		       "\r\n1");
	while (!http_server_reading_count(f.server))
		run_a_while(f.loop);
	client_close(&f);
	while (http_server_reading_count(f.server))
		run_a_while(f.loop);
	teardown(&f);
}

/* The same for one that comes just before the end of the process. */
static void request_read_while_freeing_is_answered(void)
{
	char text[512] = "";
	struct fixture f;
	ssize_t n;

	setup(&f);
	run_a_while(f.loop);
	raw_send(f.fd, post);
	http_server_free(f.server);
	f.server = NULL;
	n = recv(f.fd, text, sizeof(text) - 1, 0);
	CU_ASSERT(n > 0);
	CU_ASSERT(strstr(text, " 503 ") != NULL);
	CU_ASSERT_EQUAL(f.n_requests, 0);
	teardown(&f);
}

static void free_closes_open_connections(void)
{
	struct fixture f;

	setup(&f);
	raw_send(f.fd, post);
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	teardown(&f);
	CU_ASSERT_EQUAL(f.n_gone, 0);
}

static void port_in_use_is_reported(void)
{
	struct http_server_options opt = {.conns_max = 1, .idle_s = 1};
	struct http_server *other;
	struct fixture f;
	char expected[32];

	setup(&f);
	opt.loop = f.loop;
	opt.listen = loopback(http_server_port(f.server));
	snprintf(expected, sizeof(expected), "127.0.0.1:%u", opt.listen.port);
	CU_ASSERT_EQUAL(http_server_new(&other, &opt), TRANSPORT_IN_USE);
	CU_ASSERT_PTR_NOT_NULL(strstr(transport_last_error(), expected));
	strcpy(opt.listen.ip, "localhost");
	CU_ASSERT_EQUAL(http_server_new(&other, &opt), TRANSPORT_ADDRESS);
	teardown(&f);
}

static void client_that_never_reads_is_closed(void)
{
	enum { BIG = 32 * 1024 * 1024 };
	struct http_reply reply = {.status = 200};
	char *body = xcalloc(1, BIG);
	struct fixture f;
	int i;

	setup_with_idle_s(&f, 1);
	ev_io_stop(f.loop, &f.io);
	raw_send(f.fd, post);
	CU_ASSERT(run_until(f.loop, &f.n_requests, 1));
	reply.body.p = body;
	reply.body.n = BIG;
	http_server_reply(f.server, f.ids[0], &reply);
	for (i = 0; i < 100 && http_server_open_count(f.server); i++)
		run_a_while(f.loop);
	CU_ASSERT_EQUAL(http_server_open_count(f.server), 0);
	teardown(&f);
	free(body);
}

static void idle_clients_do_not_exclude_others(void)
{
	enum { CONNS_MAX = 8 };
	int fds[CONNS_MAX], i;
	struct fixture f;

	setup_with_idle_s(&f, 1);
	client_close(&f);
	for (i = 0; i < CONNS_MAX; i++)
		fds[i] = raw_connect(http_server_port(f.server));
	run_a_while(f.loop);
	f.replies_in_callback = true;
	client_open(&f);
	raw_send(f.fd, post);
	CU_ASSERT(wait_for_text(&f, "now"));
	for (i = 0; i < CONNS_MAX; i++)
		close(fds[i]);
	teardown(&f);
}

static void server_survives_random_bytes(void)
{
	char bytes[2048];
	struct fixture f;
	struct rng r;
	size_t i, n;
	int fd;

	setup(&f);
	f.replies_in_callback = true;
	for (r.state = 1; r.state <= 200; r.state++) {
		struct rng one = r;

		n = 1 + rng_below(&one, sizeof(bytes) - 1);
		for (i = 0; i < n; i++)
			bytes[i] = (char)rng_next(&one);
		if (rng_below(&one, 2))
			memcpy(bytes, "POST /", n < 6 ? n : 6);
		for (i = 0; i < n / 40; i++)
			bytes[rng_below(&one, n)] = "\r\n: "[i % 4];
		fd = raw_connect(http_server_port(f.server));
		send(fd, bytes, n, MSG_NOSIGNAL);
		for (i = 0; i < 5; i++)
			ev_run(f.loop, EVRUN_NOWAIT);
		close(fd);
	}
	raw_send(f.fd, post);
	CU_ASSERT(wait_for_text(&f, "now"));
	CU_ASSERT_EQUAL(http_server_open_count(f.server), 0);
	teardown(&f);
}

SUITE(transport_server)
{
	TEST(replies_in_callback_on_one_connection);
	TEST(replies_after_callback_only_once);
	TEST(pipelined_requests_are_answered_in_order);
	TEST(callback_may_reply_to_several_requests);
	TEST(callback_may_quiesce);
	TEST(disconnected_client_is_reported);
	TEST(bad_requests_get_their_status);
	TEST(largest_body_is_accepted);
	TEST(endless_chunked_body_ends_the_connection);
	TEST(idle_client_is_closed);
	TEST(slow_client_is_closed);
	TEST(client_that_never_reads_is_closed);
	TEST(idle_clients_do_not_exclude_others);
	TEST(server_survives_random_bytes);
	TEST(client_awaiting_reply_is_not_closed_as_idle);
	TEST(quiesced_server_answers_open_requests);
	TEST(draining_server_closes_connections_and_accepts_new_ones);
	TEST(request_read_in_part_is_counted);
	TEST(request_read_while_freeing_is_answered);
	TEST(free_closes_open_connections);
	TEST(port_in_use_is_reported);
}
