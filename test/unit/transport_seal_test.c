/* Tests handshakes and frames that are forged, altered or replayed. */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/peer_conn.h"
#include "transport/peer_seal.h"
#include "transport_help.h"
#include "unit.h"
#include "util/rng.h"

enum { BUF_SIZE = 4096 };

static const uint8_t key[PEER_KEY_LEN] = {9, 8, 7};

/* The accepting side of a connection over a socket pair, without peer_link. */
struct fixture {
	struct ev_loop *loop;
	struct peer_conns conns;
	int fd; /* the dialler's end, which the test uses */
	struct peer_seal seal;
	int n_up;
	int n_received;
	int n_closed;
	const char *error;
};

static bool on_wanted(void *ctx, struct peer_conn *c)
{
	return true;
}

static void on_up(void *ctx, struct peer_conn *c)
{
	((struct fixture *)ctx)->n_up++;
}

static void on_receive(void *ctx, struct peer_conn *c, struct syc_bytes msg)
{
	((struct fixture *)ctx)->n_received++;
}

static void on_closed(void *ctx, struct peer_conn *c)
{
	struct fixture *f = ctx;

	f->n_closed++;
	f->error = c->error;
}

static struct syc_instance make_instance(uint64_t id)
{
	struct syc_instance in = {.id = id, .name = "n", .domain = "d"};

	in.peer_addr = loopback(7);
	return in;
}

static void connect_pair(struct fixture *f)
{
	struct syc_addr addr = loopback(1);
	int fds[2];

	CU_ASSERT_EQUAL(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
	f->fd = fds[0];
	peer_conn_accept(&f->conns, fds[1], &addr);
}

static void setup(struct fixture *f)
{
	struct peer_conn_ops ops = {f, on_wanted, on_up, on_receive, on_closed};

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(0);
	f->conns.loop = f->loop;
	f->conns.ops = ops;
	f->conns.self = make_instance(1);
	f->conns.send_max = BUF_SIZE;
	memcpy(f->conns.cluster_key, key, sizeof(key));
	peer_conns_init(&f->conns);
	connect_pair(f);
}

static void teardown(struct fixture *f)
{
	peer_conns_free(&f->conns);
	close(f->fd);
	ev_loop_destroy(f->loop);
}

static void send_frame(struct fixture *f, const void *p, size_t n)
{
	uint32_t len = htonl((uint32_t)n);

	send(f->fd, &len, sizeof(len), MSG_NOSIGNAL);
	send(f->fd, p, n, MSG_NOSIGNAL);
}

/* Reads one frame of `n` bytes. */
static bool receive_frame(struct fixture *f, uint8_t *p, size_t n)
{
	uint8_t frame[BUF_SIZE];
	int i;
	ssize_t got = -1;

	for (i = 0; i < 1000 && got < 0 && !f->n_closed; i++) {
		ev_run(f->loop, EVRUN_NOWAIT);
		got = recv(f->fd, frame, sizeof(frame), 0);
	}
	if (got != (ssize_t)n + 4)
		return false;
	memcpy(p, frame + 4, n);
	return true;
}

static void run_loop(struct fixture *f)
{
	int i;

	for (i = 0; i < 20; i++)
		ev_run(f->loop, EVRUN_NOWAIT);
}

/* Sends a hello, checks the reply and makes a finish for the test to send. */
static void exchange_hello(struct fixture *f, uint64_t id,
			   const uint8_t *cluster_key,
			   uint8_t finish[SEAL_FINISH_LEN])
{
	struct syc_instance self = make_instance(id), peer;
	uint8_t reply[SEAL_REPLY_LEN];
	struct syc_bytes msg = {reply, sizeof(reply)};
	const char *error = NULL;

	seal_make_hello(&f->seal, &self);
	send_frame(f, f->seal.hello, SEAL_HELLO_LEN);
	CU_ASSERT(receive_frame(f, reply, sizeof(reply)));
	CU_ASSERT_EQUAL(
		seal_read_reply(&f->seal, msg, cluster_key, &peer, &error),
		cluster_key == key);
	seal_make_finish(&f->seal, cluster_key, finish);
}

static void open_session(struct fixture *f)
{
	uint8_t finish[SEAL_FINISH_LEN];

	setup(f);
	exchange_hello(f, 2, key, finish);
	send_frame(f, finish, sizeof(finish));
	run_loop(f);
	CU_ASSERT_EQUAL(f->n_up, 1);
}

static size_t seal_text(struct fixture *f, const char *text, uint8_t *out)
{
	struct syc_bytes msg = {text, strlen(text)};

	seal_frame(&f->seal, msg, out);
	return msg.n + SEAL_TAG_LEN;
}

static void expect_closed_and_teardown(struct fixture *f, const char *error)
{
	run_loop(f);
	CU_ASSERT_EQUAL(f->n_closed, 1);
	CU_ASSERT_PTR_NOT_NULL(f->error);
	if (f->error)
		CU_ASSERT_STRING_EQUAL(f->error, error);
	teardown(f);
}

static void replayed_frame_closes_connection(void)
{
	uint8_t frame[64];
	struct fixture f;
	size_t n;

	open_session(&f);
	n = seal_text(&f, "once", frame);
	send_frame(&f, frame, n);
	send_frame(&f, frame, n);
	run_loop(&f);
	CU_ASSERT_EQUAL(f.n_received, 1);
	expect_closed_and_teardown(&f, "a frame failed authentication");
}

static void reordered_frame_closes_connection(void)
{
	uint8_t first[64], second[64];
	struct fixture f;
	size_t n;

	open_session(&f);
	seal_text(&f, "first", first);
	n = seal_text(&f, "second", second);
	send_frame(&f, second, n);
	run_loop(&f);
	CU_ASSERT_EQUAL(f.n_received, 0);
	expect_closed_and_teardown(&f, "a frame failed authentication");
}

static void altered_frame_closes_connection(void)
{
	uint8_t frame[64];
	struct fixture f;
	size_t n, i;

	for (i = 0; i < strlen("bits") + SEAL_TAG_LEN; i++) {
		open_session(&f);
		n = seal_text(&f, "bits", frame);
		frame[i] ^= 0x10;
		send_frame(&f, frame, n);
		run_loop(&f);
		CU_ASSERT_EQUAL(f.n_received, 0);
		expect_closed_and_teardown(&f, "a frame failed authentication");
	}
}

static void length_out_of_range_closes_connection(void)
{
	static const uint32_t lens[] = {0, PEER_FRAME_MAX + SEAL_TAG_LEN + 1,
					0xffffffff};
	struct fixture f;
	uint32_t len;
	size_t i;

	for (i = 0; i < sizeof(lens) / sizeof(*lens); i++) {
		open_session(&f);
		len = htonl(lens[i]);
		send(f.fd, &len, sizeof(len), MSG_NOSIGNAL);
		expect_closed_and_teardown(&f,
					   "a frame's length is out of range");
	}
	setup(&f); /* the limit is lower before authentication */
	len = htonl(SEAL_REPLY_LEN + 1);
	send(f.fd, &len, sizeof(len), MSG_NOSIGNAL);
	expect_closed_and_teardown(&f, "a frame's length is out of range");
}

static void wrong_key_is_refused_by_the_acceptor(void)
{
	static const uint8_t other[PEER_KEY_LEN] = {9, 8, 6};
	uint8_t finish[SEAL_FINISH_LEN];
	struct fixture f;

	setup(&f);
	exchange_hello(&f, 2, other, finish);
	send_frame(&f, finish, sizeof(finish));
	run_loop(&f);
	CU_ASSERT_EQUAL(f.n_up, 0);
	expect_closed_and_teardown(&f, "wrong cluster key");
}

static void replayed_handshake_is_refused(void)
{
	uint8_t finish[SEAL_FINISH_LEN], hello[SEAL_HELLO_LEN];
	uint8_t reply[SEAL_REPLY_LEN];
	struct fixture f;

	setup(&f);
	exchange_hello(&f, 2, key, finish);
	memcpy(hello, f.seal.hello, sizeof(hello));
	teardown(&f);
	setup(&f);
	send_frame(&f, hello, sizeof(hello));
	CU_ASSERT(receive_frame(&f, reply, sizeof(reply)));
	send_frame(&f, finish, sizeof(finish));
	run_loop(&f);
	CU_ASSERT_EQUAL(f.n_up, 0);
	expect_closed_and_teardown(&f, "wrong cluster key");
}

static void own_identity_is_refused(void)
{
	uint8_t finish[SEAL_FINISH_LEN];
	struct fixture f;

	setup(&f);
	exchange_hello(&f, 1, key, finish);
	send_frame(&f, finish, sizeof(finish));
	expect_closed_and_teardown(&f, "dialled by itself");
}

static void handshake_times_out(void)
{
	struct fixture f;

	setup(&f);
	ev_invoke(f.loop, &f.conns.first->handshake_timer, EV_TIMER);
	expect_closed_and_teardown(&f, "the handshake took too long");
}

static void oldest_handshake_is_closed_at_the_limit(void)
{
	enum { OVER_LIMIT = 65 }; /* with a limit of 64 */
	int fds[OVER_LIMIT], i;
	struct fixture f;

	setup(&f);
	for (i = 0; i < OVER_LIMIT; i++) {
		fds[i] = f.fd;
		connect_pair(&f);
	}
	CU_ASSERT_EQUAL(f.conns.n_handshakes, 64);
	for (i = 0; i < OVER_LIMIT; i++)
		close(fds[i]);
	run_loop(&f);
	CU_ASSERT_EQUAL(f.conns.n_handshakes, 1);
	teardown(&f);
}

/* The dialler refuses a reply in which one bit of any byte is changed. */
static void altered_reply_is_refused(void)
{
	struct syc_instance a = make_instance(1), b = make_instance(2), peer;
	struct peer_seal dialler, acceptor, copy;
	uint8_t reply[SEAL_REPLY_LEN];
	struct syc_bytes msg = {reply, sizeof(reply)};
	const char *error;
	size_t i;

	seal_make_hello(&dialler, &a);
	msg.p = dialler.hello;
	msg.n = SEAL_HELLO_LEN;
	CU_ASSERT(seal_read_hello(&acceptor, msg, &peer, &error));
	seal_make_reply(&acceptor, &b, key);
	msg.p = reply;
	msg.n = SEAL_REPLY_LEN;
	for (i = 0; i < SEAL_REPLY_LEN; i++) {
		copy = dialler;
		memcpy(reply, acceptor.reply, sizeof(reply));
		reply[i] ^= (uint8_t)(1 << i % 8);
		CU_ASSERT_FALSE(
			seal_read_reply(&copy, msg, key, &peer, &error));
	}
	memcpy(reply, acceptor.reply, sizeof(reply));
	CU_ASSERT(seal_read_reply(&dialler, msg, key, &peer, &error));
	CU_ASSERT_EQUAL(peer.id, 2);
}

/* Some of the random bytes begin with a valid length or magic. */
static void random_bytes_are_never_accepted(void)
{
	uint8_t bytes[BUF_SIZE];
	struct fixture f;
	struct rng r;
	uint64_t seed;
	uint32_t len;
	size_t i, n;

	for (seed = 1; seed <= 300; seed++) {
		r.state = seed;
		if (seed % 3)
			setup(&f);
		else
			open_session(&f);
		n = 4 + rng_below(&r, sizeof(bytes) - 4);
		for (i = 0; i < n; i++)
			bytes[i] = (uint8_t)rng_next(&r);
		len = htonl(seed % 2 ? SEAL_HELLO_LEN : (uint32_t)n - 4);
		if (seed % 5)
			memcpy(bytes, &len, sizeof(len));
		if (seed % 7 && n > 12)
			memcpy(bytes + 4, "SYCPEER1", 8);
		send(f.fd, bytes, n, MSG_NOSIGNAL);
		shutdown(f.fd, SHUT_WR);
		run_loop(&f);
		CU_ASSERT_EQUAL(f.n_received, 0);
		CU_ASSERT_EQUAL(f.n_up, seed % 3 == 0);
		CU_ASSERT_EQUAL(f.n_closed, 1);
		teardown(&f);
	}
}

SUITE(transport_seal)
{
	TEST(replayed_frame_closes_connection);
	TEST(reordered_frame_closes_connection);
	TEST(altered_frame_closes_connection);
	TEST(length_out_of_range_closes_connection);
	TEST(wrong_key_is_refused_by_the_acceptor);
	TEST(replayed_handshake_is_refused);
	TEST(own_identity_is_refused);
	TEST(handshake_times_out);
	TEST(oldest_handshake_is_closed_at_the_limit);
	TEST(altered_reply_is_refused);
	TEST(random_bytes_are_never_accepted);
}
