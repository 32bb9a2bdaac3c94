/* Tests peer links: handshakes, messages and rejected connections. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sycamoreshore/clock.h"
#include "transport/address.h"
#include "transport/peer_link.h"
#include "transport/peer_seal.h"
#include "transport_help.h"
#include "unit.h"
#include "util/rng.h"

static const uint8_t key_a[PEER_KEY_LEN] = {1, 2, 3};
static const uint8_t key_b[PEER_KEY_LEN] = {1, 2, 4};

struct side {
	struct peer_links *links;
	int n_up;
	int n_down;
	int n_received;
	int n_rejected;
	uint64_t last_up;
	uint64_t last_down;
	uint64_t last_sender;
	char error[64];
	struct buf received_bytes;
};

static void on_up(void *ctx, const struct syc_instance *peer)
{
	struct side *s = ctx;

	s->n_up++;
	s->last_up = peer->id;
}

static void on_down(void *ctx, uint64_t peer)
{
	struct side *s = ctx;

	s->n_down++;
	s->last_down = peer;
}

static void on_receive(void *ctx, uint64_t from, struct syc_bytes msg)
{
	struct side *s = ctx;

	s->n_received++;
	s->last_sender = from;
	buf_add(&s->received_bytes, msg.p, msg.n);
}

static void on_rejected(void *ctx, const char *addr, const char *error)
{
	struct side *s = ctx;

	s->n_rejected++;
	snprintf(s->error, sizeof(s->error), "%s", error);
}

static uint16_t advertised_port; /* instead of the bound one; zero: none */

static enum transport_status open_side(struct side *s, struct ev_loop *loop,
				       uint64_t id, const uint8_t *key,
				       uint16_t port)
{
	struct peer_links_options opt = {
		.loop = loop,
		.listen = loopback(port),
		.cluster_key = key,
		.send_max = PEER_FRAME_MAX + 64,
		.ctx = s,
		.up = on_up,
		.down = on_down,
		.receive = on_receive,
		.rejected = on_rejected,
	};

	memset(s, 0, sizeof(*s));
	opt.self.id = id;
	strcpy(opt.self.name, "n");
	strcpy(opt.self.domain, "d");
	strcpy(opt.self.rack, "r");
	opt.self.peer_addr = loopback(advertised_port ? advertised_port : port);
	return peer_links_new(&s->links, &opt);
}

static void close_side(struct side *s)
{
	peer_links_free(s->links);
	buf_free(&s->received_bytes);
}

static void dial(struct side *from, struct side *to)
{
	struct syc_addr addr = loopback(peer_links_port(to->links));

	peer_links_dial(from->links, &addr);
}

static bool send_text(struct side *s, uint64_t to, const char *text)
{
	struct syc_bytes msg = {text, strlen(text)};

	return peer_links_send(s->links, to, msg);
}

static void one_dial_connects_both_directions(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	uint64_t sent, received;
	struct side a, b;

	CU_ASSERT_EQUAL(open_side(&a, loop, 1, key_a, 0), TRANSPORT_OK);
	CU_ASSERT_EQUAL(open_side(&b, loop, 2, key_a, 0), TRANSPORT_OK);
	CU_ASSERT_FALSE(send_text(&a, 2, "early"));
	dial(&a, &b);
	CU_ASSERT(run_until(loop, &a.n_up, 2)); /* in and out */
	CU_ASSERT(run_until(loop, &b.n_up, 2));
	CU_ASSERT_EQUAL(a.last_up, 2);
	CU_ASSERT(send_text(&a, 2, "one "));
	CU_ASSERT(send_text(&a, 2, "two"));
	CU_ASSERT(send_text(&b, 1, "back"));
	CU_ASSERT(run_until(loop, &b.n_received, 2));
	CU_ASSERT(run_until(loop, &a.n_received, 1));
	CU_ASSERT_STRING_EQUAL(b.received_bytes.data, "one two");
	CU_ASSERT_EQUAL(b.last_sender, 1);
	CU_ASSERT_STRING_EQUAL(a.received_bytes.data, "back");
	peer_links_traffic(a.links, &sent, &received);
	CU_ASSERT(sent > 0);
	CU_ASSERT(received > 0);
	close_side(&b);
	CU_ASSERT(run_until(loop, &a.n_down, 1));
	CU_ASSERT_FALSE(send_text(&a, 2, "late"));
	close_side(&a);
	ev_loop_destroy(loop);
}

static void wrong_cluster_key_is_refused(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct side a, b;

	open_side(&a, loop, 1, key_a, 0);
	open_side(&b, loop, 2, key_b, 0);
	dial(&a, &b);
	CU_ASSERT(run_until(loop, &a.n_rejected, 1));
	CU_ASSERT_STRING_EQUAL(a.error, "wrong cluster key");
	CU_ASSERT_EQUAL(a.n_up + b.n_up, 0);
	close_side(&a);
	close_side(&b);
	ev_loop_destroy(loop);
}

static void instance_is_never_its_own_peer(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct syc_addr other;
	struct side a;

	open_side(&a, loop, 1, key_a, 0);
	dial(&a, &a); /* is recognised as its own address */
	run_a_while(loop);
	CU_ASSERT_EQUAL(a.n_rejected, 0);
	close_side(&a);
	open_side(&a, loop, 1, key_a, 0);
	other = loopback(peer_links_port(a.links));
	strcpy(other.ip, "::ffff:127.0.0.1"); /* the same address */
	peer_links_dial(a.links, &other);
	CU_ASSERT(run_until(loop, &a.n_rejected, 1));
	run_a_while(loop);
	CU_ASSERT_EQUAL(a.n_rejected, 1); /* not dialled again */
	CU_ASSERT_EQUAL(a.n_up, 0);
	close_side(&a);
	ev_loop_destroy(loop);
}

static void second_address_of_a_peer_keeps_one_connection(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct syc_addr other;
	struct side a, b;

	open_side(&a, loop, 1, key_a, 0);
	open_side(&b, loop, 2, key_a, 0);
	dial(&a, &b);
	CU_ASSERT(run_until(loop, &a.n_up, 2));
	other = loopback(peer_links_port(b.links));
	strcpy(other.ip, "::ffff:127.0.0.1"); /* the same address */
	peer_links_dial(a.links, &other);
	run_a_while(loop);
	CU_ASSERT_EQUAL(a.n_up, 2);
	CU_ASSERT_EQUAL(a.n_down + b.n_down, 0);
	CU_ASSERT(send_text(&a, 2, "still"));
	CU_ASSERT(run_until(loop, &b.n_received, 1));
	close_side(&a);
	close_side(&b);
	ev_loop_destroy(loop);
}

static void new_incarnation_replaces_the_old(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct side a, b;
	uint16_t port;

	open_side(&a, loop, 1, key_a, 0);
	open_side(&b, loop, 2, key_a, 0);
	port = peer_links_port(b.links);
	dial(&a, &b);
	CU_ASSERT(run_until(loop, &b.n_up, 2));
	CU_ASSERT(run_until(loop, &a.n_up, 2));
	close_side(&b);
	CU_ASSERT_EQUAL(open_side(&b, loop, 3, key_a, port), TRANSPORT_OK);
	CU_ASSERT(run_until(loop, &b.n_up, 2));
	CU_ASSERT_EQUAL(a.n_down, 1);
	CU_ASSERT_EQUAL(a.last_down, 2);
	CU_ASSERT_EQUAL(a.last_up, 3);
	CU_ASSERT_FALSE(send_text(&a, 2, "old"));
	CU_ASSERT(send_text(&a, 3, "new"));
	CU_ASSERT(run_until(loop, &b.n_received, 1));
	close_side(&a);
	close_side(&b);
	ev_loop_destroy(loop);
}

/*
 * Guards against review/6: a peer that was killed, and is back, was not dialled
 * for 2 s if the connection that it had dialled ended before the other one.
 */
static void peer_that_is_back_is_dialled_at_once(bool dials)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct syc_addr addr;
	struct side a, b;
	uint16_t port;
	int64_t killed_at;

	open_side(&a, loop, 1, key_a, 0);
	open_side(&b, loop, 2, key_a, 0);
	addr = loopback(peer_links_port(a.links));
	port = peer_links_port(b.links);
	dial(&a, &b);
	CU_ASSERT(run_until(loop, &b.n_up, 2));
	CU_ASSERT(run_until(loop, &a.n_up, 2));
	peer_links_stop_dialling(b.links, &addr);
	run_a_while(loop);
	close_side(&b);
	run_a_while(loop);
	CU_ASSERT_EQUAL(open_side(&b, loop, 3, key_a, port), TRANSPORT_OK);
	killed_at = syc_now(&syc_clock_monotonic);
	if (dials)
		peer_links_dial(b.links, &addr);
	while (!send_text(&a, 3, "back") &&
	       syc_now(&syc_clock_monotonic) - killed_at < 3000)
		run_a_while(loop);
	CU_ASSERT(syc_now(&syc_clock_monotonic) - killed_at < 1000);
	close_side(&a);
	close_side(&b);
	ev_loop_destroy(loop);
}

static void killed_peer_is_dialled_after_the_backoff(void)
{
	peer_that_is_back_is_dialled_at_once(false);
}

static void killed_peer_that_dials_is_dialled_at_once(void)
{
	peer_that_is_back_is_dialled_at_once(true);
}

/* The old incarnation's connections may still be open, as after a crash. */
static void connections_of_old_incarnation_are_closed(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct side a, b, c;

	open_side(&a, loop, 1, key_a, 0);
	open_side(&b, loop, 2, key_a, 0);
	dial(&b, &a);
	CU_ASSERT(run_until(loop, &a.n_up, 2));
	advertised_port = peer_links_port(b.links);
	open_side(&c, loop, 3, key_a, 0);
	advertised_port = 0;
	dial(&c, &a);
	CU_ASSERT(run_until(loop, &a.n_down, 1));
	CU_ASSERT_EQUAL(a.last_down, 2);
	CU_ASSERT_EQUAL(a.last_up, 3);
	close_side(&a);
	close_side(&b);
	close_side(&c);
	ev_loop_destroy(loop);
}

static void removed_address_is_not_dialled_again(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct syc_addr addr;
	struct side a, b;

	open_side(&a, loop, 1, key_a, 0);
	open_side(&b, loop, 2, key_a, 0);
	addr = loopback(peer_links_port(b.links));
	dial(&a, &b);
	CU_ASSERT(run_until(loop, &b.n_up, 2));
	CU_ASSERT(run_until(loop, &a.n_up, 2));
	peer_links_stop_dialling(a.links, &addr);
	CU_ASSERT_EQUAL(a.n_down, 0); /* b still reaches a */
	CU_ASSERT_FALSE(send_text(&a, 2, "gone"));
	run_a_while(loop);
	CU_ASSERT_FALSE(send_text(&a, 2, "gone"));
	CU_ASSERT(send_text(&b, 1, "here"));
	CU_ASSERT(run_until(loop, &a.n_received, 1));
	close_side(&a);
	close_side(&b);
	ev_loop_destroy(loop);
}

static void port_in_use_is_reported(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct side a, b;

	open_side(&a, loop, 1, key_a, 0);
	CU_ASSERT_EQUAL(open_side(&b, loop, 2, key_a, peer_links_port(a.links)),
			TRANSPORT_IN_USE);
	CU_ASSERT_PTR_NOT_NULL(strstr(transport_last_error(), "127.0.0.1:"));
	close_side(&a);
	ev_loop_destroy(loop);
}

static void largest_message_is_delivered(void)
{
	static char big[PEER_FRAME_MAX + 1];
	struct ev_loop *loop = ev_loop_new(0);
	struct syc_bytes msg = {big, PEER_FRAME_MAX + 1};
	struct side a, b;

	open_side(&a, loop, 1, key_a, 0);
	open_side(&b, loop, 2, key_a, 0);
	dial(&a, &b);
	CU_ASSERT(run_until(loop, &a.n_up, 2));
	CU_ASSERT_FALSE(peer_links_send(a.links, 2, msg));
	msg.n = PEER_FRAME_MAX;
	memset(big, 'x', sizeof(big));
	CU_ASSERT(peer_links_send(a.links, 2, msg));
	CU_ASSERT_FALSE(peer_links_send(a.links, 2, msg)); /* queue full */
	CU_ASSERT(run_until(loop, &b.n_received, 1));
	CU_ASSERT_EQUAL(b.received_bytes.len, PEER_FRAME_MAX);
	CU_ASSERT(peer_links_send(a.links, 2, msg));
	close_side(&a);
	close_side(&b);
	ev_loop_destroy(loop);
}

static void peer_that_starts_later_is_reached(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct side a, b;
	uint16_t port;

	open_side(&a, loop, 1, key_a, 0);
	open_side(&b, loop, 2, key_a, 0);
	port = peer_links_port(b.links);
	dial(&a, &b);
	close_side(&b);
	run_a_while(loop);
	CU_ASSERT_EQUAL(a.n_up, 0);
	open_side(&b, loop, 2, key_a, port);
	CU_ASSERT(run_until(loop, &a.n_up, 1));
	close_side(&a);
	close_side(&b);
	ev_loop_destroy(loop);
}

static void send_random_bytes(struct raw_server *s, int fd)
{
	struct rng r = {(uint64_t)s->n_read};
	uint8_t bytes[600];
	size_t i, n = 1 + rng_below(&r, sizeof(bytes) - 1);

	for (i = 0; i < n; i++)
		bytes[i] = (uint8_t)rng_next(&r);
	if (n > 4 && rng_below(&r, 2)) {
		memset(bytes, 0, 3);
		bytes[3] = (uint8_t)(n - 4);
	}
	send(fd, bytes, n, MSG_NOSIGNAL);
	raw_server_close(s, fd);
}

/*
 * A dial hangs while the listener's queue is full, as it does while a machine is
 * down. When the peer is up and dials, it must not wait for TCP's next attempt.
 */
static void hanging_dial_is_begun_anew(void)
{
	enum { FILLERS = 4, CONNECT_MAX_MS = 600 };
	struct ev_loop *loop = ev_loop_new(0);
	struct syc_addr addr = loopback(0);
	int fd, i, fillers[FILLERS];
	struct side a, b;
	double begun_at;
	uint16_t port;

	CU_ASSERT_EQUAL(addr_listen(&addr, &fd, &port), TRANSPORT_OK);
	CU_ASSERT_EQUAL(listen(fd, 0), 0);
	for (i = 0; i < FILLERS; i++)
		fillers[i] = raw_connect_begin(port);
	CU_ASSERT_EQUAL(open_side(&a, loop, 1, key_a, 0), TRANSPORT_OK);
	addr = loopback(port);
	peer_links_dial(a.links, &addr);
	run_a_while(loop);
	CU_ASSERT_EQUAL(a.n_up, 0);
	for (i = 0; i < FILLERS; i++)
		close(fillers[i]);
	close(fd);
	CU_ASSERT_EQUAL(open_side(&b, loop, 2, key_a, port), TRANSPORT_OK);
	begun_at = ev_time();
	dial(&b, &a);
	CU_ASSERT(run_until(loop, &a.n_up, 2)); /* in and out */
	CU_ASSERT((ev_time() - begun_at) * 1000 < CONNECT_MAX_MS);
	CU_ASSERT(send_text(&a, 2, "up"));
	close_side(&b);
	close_side(&a);
	ev_loop_destroy(loop);
}

static void random_bytes_from_an_acceptor_are_rejected(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct raw_server server = {.data = send_random_bytes};
	struct syc_addr addr;
	struct side a;
	int i;

	open_side(&a, loop, 1, key_a, 0);
	raw_server_start(&server, loop);
	addr = loopback(server.port);
	for (i = 1; i <= 100; i++) {
		peer_links_dial(a.links, &addr);
		CU_ASSERT(run_until(loop, &a.n_rejected, i));
		peer_links_stop_dialling(a.links, &addr);
	}
	CU_ASSERT_EQUAL(a.n_up, 0);
	raw_server_stop(&server);
	close_side(&a);
	ev_loop_destroy(loop);
}

/*
 * Acts as the accepting side. It replies to the hello and then sends a frame,
 * which only the dialling side may do.
 */
static void accept_then_send(struct raw_server *s, int fd)
{
	uint8_t frame[4 + SEAL_REPLY_LEN] = {0, 0, 0, SEAL_REPLY_LEN};
	struct syc_instance self = {.id = 9, .name = "n"}, peer;
	struct syc_bytes hello = {s->in.data + 4, SEAL_HELLO_LEN};
	struct peer_seal seal;
	const char *error;

	self.peer_addr = loopback(s->port);
	if (s->n_read == 1) {
		CU_ASSERT(seal_read_hello(&seal, hello, &peer, &error));
		seal_make_reply(&seal, &self, key_a);
		memcpy(frame + 4, seal.reply, SEAL_REPLY_LEN);
	}
	send(fd, frame, sizeof(frame), MSG_NOSIGNAL);
}

static void acceptor_that_sends_is_closed(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct raw_server server = {.data = accept_then_send};
	struct syc_addr addr;
	struct side a;

	open_side(&a, loop, 1, key_a, 0);
	raw_server_start(&server, loop);
	addr = loopback(server.port);
	peer_links_dial(a.links, &addr);
	CU_ASSERT(run_until(loop, &a.n_up, 1));
	CU_ASSERT_EQUAL(a.last_up, 9);
	CU_ASSERT(run_until(loop, &a.n_down, 1));
	CU_ASSERT_STRING_EQUAL(a.error, "the accepting side sent a message");
	CU_ASSERT_EQUAL(a.n_received, 0);
	close_side(&a);
	raw_server_stop(&server);
	ev_loop_destroy(loop);
}

SUITE(transport_peer)
{
	TEST(one_dial_connects_both_directions);
	TEST(wrong_cluster_key_is_refused);
	TEST(instance_is_never_its_own_peer);
	TEST(second_address_of_a_peer_keeps_one_connection);
	TEST(new_incarnation_replaces_the_old);
	TEST(killed_peer_is_dialled_after_the_backoff);
	TEST(killed_peer_that_dials_is_dialled_at_once);
	TEST(connections_of_old_incarnation_are_closed);
	TEST(removed_address_is_not_dialled_again);
	TEST(port_in_use_is_reported);
	TEST(peer_that_starts_later_is_reached);
	TEST(hanging_dial_is_begun_anew);
	TEST(random_bytes_from_an_acceptor_are_rejected);
	TEST(acceptor_that_sends_is_closed);
	TEST(largest_message_is_delivered);
}
