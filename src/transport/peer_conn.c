#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "transport/peer_conn.h"
#include "util/alloc.h"

enum {
	FRAME_HEADER_LEN = 4, /* bytes; holds the frame's length */
	READ_MAX = 64 * 1024, /* bytes read at once */
	EMPTY_BUF_MAX = 256 * 1024, /* bytes an empty buffer may keep */
	HANDSHAKE_TIMEOUT_S = 5,
	HANDSHAKES_MAX = 64 /* inbound handshakes in progress */
};

static void on_flush(struct ev_loop *loop, ev_prepare *w, int revents);

void peer_conns_init(struct peer_conns *cs)
{
	ev_prepare_init(&cs->flush, on_flush);
	ev_set_priority(&cs->flush, EV_MINPRI);
	cs->flush.data = cs;
}

static void schedule_flush(struct peer_conns *cs)
{
	ev_feed_event(cs->loop, &cs->flush, EV_CUSTOM);
}

static bool is_inbound_handshake(const struct peer_conn *c)
{
	return !c->outbound && !c->is_authenticated && c->stage != PEER_CLOSED;
}

void peer_conn_close(struct peer_conn *c, const char *error)
{
	struct peer_conns *cs = c->conns;

	if (c->stage == PEER_CLOSED)
		return;
	if (is_inbound_handshake(c))
		cs->n_handshakes--;
	c->stage = PEER_CLOSED;
	c->error = error;
	ev_io_stop(cs->loop, &c->readable);
	ev_io_stop(cs->loop, &c->writable);
	ev_timer_stop(cs->loop, &c->handshake_timer);
	close(c->fd);
	schedule_flush(cs);
}

static void free_conn(struct peer_conn *c)
{
	buf_free(&c->in);
	buf_free(&c->out);
	sodium_memzero(&c->seal, sizeof(c->seal));
	free(c);
}

void peer_conns_reap(struct peer_conns *cs)
{
	struct peer_conn **at = &cs->first;
	struct peer_conn *c, *closed = NULL;

	while ((c = *at)) {
		if (c->stage != PEER_CLOSED) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		c->next = closed;
		closed = c;
	}
	while ((c = closed)) {
		closed = c->next;
		cs->ops.closed(cs->ops.ctx, c);
		free_conn(c);
	}
}

void peer_conns_free(struct peer_conns *cs)
{
	struct peer_conn *c, *next;

	for (c = cs->first; c; c = next) {
		next = c->next;
		peer_conn_close(c, NULL);
		free_conn(c);
	}
	cs->first = NULL;
	ev_clear_pending(cs->loop, &cs->flush);
}

static void clear_buf(struct buf *b)
{
	if (b->cap > EMPTY_BUF_MAX)
		buf_free(b);
	b->len = 0;
}

static void flush_conn(struct peer_conn *c)
{
	ssize_t n;

	while (c->out_sent < c->out.len) {
		n = send(c->fd, c->out.data + c->out_sent,
			 c->out.len - c->out_sent, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			peer_conn_close(c, NULL);
			return;
		}
		c->conns->sent += (uint64_t)n;
		c->out_sent += (size_t)n;
	}
	if (c->out_sent < c->out.len) {
		ev_io_start(c->conns->loop, &c->writable);
		return;
	}
	ev_io_stop(c->conns->loop, &c->writable);
	c->out_sent = 0;
	clear_buf(&c->out);
}

static void on_flush(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct peer_conns *cs = w->data;
	struct peer_conn *c;

	for (c = cs->first; c; c = c->next) {
		if (!c->needs_flush)
			continue;
		c->needs_flush = false;
		if (c->stage != PEER_CLOSED && !ev_is_active(&c->writable))
			flush_conn(c);
	}
	peer_conns_reap(cs);
}

static void begin_frame(struct peer_conn *c, size_t n)
{
	uint32_t len = htonl((uint32_t)n);

	if (c->out_sent > c->out.len / 2) {
		buf_consume(&c->out, c->out_sent);
		c->out_sent = 0;
	}
	buf_add(&c->out, &len, sizeof(len));
	c->needs_flush = true;
	schedule_flush(c->conns);
}

static void send_plain_frame(struct peer_conn *c, const uint8_t *p, size_t n)
{
	begin_frame(c, n);
	buf_add(&c->out, p, n);
}

bool peer_conn_send(struct peer_conn *c, struct syc_bytes msg)
{
	static const uint8_t tag[SEAL_TAG_LEN];
	size_t n = msg.n + SEAL_TAG_LEN;
	struct syc_bytes in_place;
	uint8_t *at;

	if (c->stage != PEER_UP || !c->outbound || msg.n > PEER_FRAME_MAX)
		return false;
	if (c->out.len - c->out_sent + FRAME_HEADER_LEN + n >
	    c->conns->send_max)
		return false;
	begin_frame(c, n);
	buf_add(&c->out, msg.p, msg.n);
	buf_add(&c->out, tag, sizeof(tag));
	at = (uint8_t *)c->out.data + c->out.len - n;
	in_place.p = at;
	in_place.n = msg.n;
	seal_frame(&c->seal, in_place, at);
	return true;
}

static void complete_handshake(struct peer_conn *c)
{
	if (is_inbound_handshake(c))
		c->conns->n_handshakes--;
	c->is_authenticated = true;
	c->stage = PEER_UP;
	ev_timer_stop(c->conns->loop, &c->handshake_timer);
	c->conns->ops.up(c->conns->ops.ctx, c);
}

static void handle_hello(struct peer_conn *c, struct syc_bytes msg)
{
	const char *error;

	if (!seal_read_hello(&c->seal, msg, &c->peer, &error)) {
		peer_conn_close(c, error);
		return;
	}
	seal_make_reply(&c->seal, &c->conns->self, c->conns->cluster_key);
	send_plain_frame(c, c->seal.reply, SEAL_REPLY_LEN);
	c->stage = PEER_AWAIT_FINISH;
}

static void handle_reply(struct peer_conn *c, struct syc_bytes msg)
{
	const uint8_t *key = c->conns->cluster_key;
	uint8_t finish[SEAL_FINISH_LEN];
	const char *error;

	if (!seal_read_reply(&c->seal, msg, key, &c->peer, &error)) {
		peer_conn_close(c, error);
		return;
	}
	if (!c->conns->ops.is_wanted(c->conns->ops.ctx, c)) {
		peer_conn_close(c, NULL);
		return;
	}
	seal_make_finish(&c->seal, key, finish);
	send_plain_frame(c, finish, sizeof(finish));
	complete_handshake(c);
}

static void handle_finish(struct peer_conn *c, struct syc_bytes msg)
{
	const char *error;

	if (c->peer.id == c->conns->self.id)
		peer_conn_close(c, "dialled by itself");
	else if (!seal_read_finish(&c->seal, msg, c->conns->cluster_key,
				   &error))
		peer_conn_close(c, error);
	else
		complete_handshake(c);
}

static void handle_message(struct peer_conn *c, uint8_t *frame, size_t n)
{
	struct syc_bytes msg;

	if (c->outbound)
		peer_conn_close(c, "the accepting side sent a message");
	else if (!seal_open_frame(&c->seal, frame, n, &msg))
		peer_conn_close(c, "a frame failed authentication");
	else
		c->conns->ops.receive(c->conns->ops.ctx, c, msg);
}

static void handle_frame(struct peer_conn *c, uint8_t *frame, size_t n)
{
	struct syc_bytes msg = {frame, n};

	switch (c->stage) {
	case PEER_AWAIT_HELLO:
		handle_hello(c, msg);
		break;
	case PEER_AWAIT_REPLY:
		handle_reply(c, msg);
		break;
	case PEER_AWAIT_FINISH:
		handle_finish(c, msg);
		break;
	case PEER_UP:
		handle_message(c, frame, n);
		break;
	case PEER_CONNECTING:
	case PEER_CLOSED:
		break;
	}
}

static size_t frame_len_max(const struct peer_conn *c)
{
	return c->is_authenticated ? (size_t)PEER_FRAME_MAX + SEAL_TAG_LEN
				   : (size_t)SEAL_REPLY_LEN;
}

static void handle_frames(struct peer_conn *c)
{
	size_t n, at = 0;
	uint32_t len;

	while (c->stage != PEER_CLOSED && c->in.len - at >= FRAME_HEADER_LEN) {
		memcpy(&len, c->in.data + at, FRAME_HEADER_LEN);
		n = ntohl(len);
		if (!n || n > frame_len_max(c)) {
			peer_conn_close(c, "a frame's length is out of range");
			return;
		}
		if (c->in.len - at - FRAME_HEADER_LEN < n)
			break;
		handle_frame(c, (uint8_t *)c->in.data + at + FRAME_HEADER_LEN,
			     n);
		at += FRAME_HEADER_LEN + n;
	}
	buf_consume(&c->in, at);
	if (!c->in.len)
		clear_buf(&c->in);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	static char chunk[READ_MAX];
	struct peer_conn *c = w->data;
	ssize_t n = recv(c->fd, chunk, sizeof(chunk), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		peer_conn_close(c, c->is_authenticated
					   ? NULL
					   : "closed during the handshake");
		return;
	}
	c->conns->received += (uint64_t)n;
	buf_add(&c->in, chunk, (size_t)n);
	handle_frames(c);
}

static void start_handshake(struct peer_conn *c)
{
	socklen_t len = sizeof(int);
	int err = 0;

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		peer_conn_close(c, NULL);
		return;
	}
	ev_io_stop(c->conns->loop, &c->writable);
	ev_io_start(c->conns->loop, &c->readable);
	seal_make_hello(&c->seal, &c->conns->self);
	send_plain_frame(c, c->seal.hello, SEAL_HELLO_LEN);
	c->stage = PEER_AWAIT_REPLY;
}

static void on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct peer_conn *c = w->data;

	if (c->stage == PEER_CONNECTING)
		start_handshake(c);
	else
		flush_conn(c);
}

static void on_handshake_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct peer_conn *c = w->data;

	peer_conn_close(c, c->stage == PEER_CONNECTING
				   ? NULL
				   : "the handshake took too long");
}

static struct peer_conn *add_conn(struct peer_conns *cs, int fd,
				  const struct syc_addr *addr)
{
	struct peer_conn *c = xcalloc(1, sizeof(*c));

	addr_set_tcp_options(fd);
	c->conns = cs;
	c->fd = fd;
	c->addr = *addr;
	c->next = cs->first;
	cs->first = c;
	ev_io_init(&c->readable, on_readable, fd, EV_READ);
	ev_io_init(&c->writable, on_writable, fd, EV_WRITE);
	ev_timer_init(&c->handshake_timer, on_handshake_timeout,
		      HANDSHAKE_TIMEOUT_S, 0);
	c->readable.data = c->writable.data = c->handshake_timer.data = c;
	ev_timer_start(cs->loop, &c->handshake_timer);
	return c;
}

/*
 * Closes the oldest inbound handshake, so that connections that send nothing
 * cannot use up HANDSHAKES_MAX.
 */
static void close_oldest_handshake(struct peer_conns *cs)
{
	struct peer_conn *c, *oldest = NULL;

	for (c = cs->first; c; c = c->next)
		if (is_inbound_handshake(c))
			oldest = c;
	if (oldest)
		peer_conn_close(oldest, "too many handshakes at once");
}

void peer_conn_accept(struct peer_conns *cs, int fd,
		      const struct syc_addr *addr)
{
	struct peer_conn *c;

	if (cs->n_handshakes >= HANDSHAKES_MAX)
		close_oldest_handshake(cs);
	c = add_conn(cs, fd, addr);
	c->stage = PEER_AWAIT_HELLO;
	cs->n_handshakes++;
	ev_io_start(cs->loop, &c->readable);
}

struct peer_conn *peer_conn_dial(struct peer_conns *cs,
				 const struct syc_addr *addr)
{
	struct peer_conn *c;
	int fd = addr_connect(addr);

	if (fd < 0)
		return NULL;
	c = add_conn(cs, fd, addr);
	c->outbound = true;
	ev_io_start(cs->loop, &c->writable);
	return c;
}
