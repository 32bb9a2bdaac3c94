#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy.h"
#include "sycamoreshore/clock.h"
#include "transport/address.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/invariant.h"

enum {
	CHUNK = 16384, /* bytes read at once */
	HELD_MAX = 4 * 1024 * 1024, /* bytes held back in one direction */
	TICK_MS = 5
};

/* Bytes of one direction that were read together. */
struct held {
	struct held *next;
	int64_t read_at_ms;
	size_t len, sent;
	char bytes[];
};

struct direction {
	struct proxy_conn *conn;
	int from, to;
	bool from_server;
	bool ended; /* `from` has no further bytes */
	ev_io readable;
	struct held *first, **end;
	size_t n_held;
};

struct proxy_conn {
	struct proxy *proxy;
	struct proxy_conn *next;
	struct direction ways[2];
	bool broken;
};

int64_t proxy_now_ms(void)
{
	return syc_now(&syc_clock_monotonic);
}

static struct held *take_first(struct direction *d)
{
	struct held *h = d->first;

	if (!h)
		return NULL;
	d->first = h->next;
	if (!d->first)
		d->end = &d->first;
	d->n_held -= h->len;
	return h;
}

static void free_conn(struct proxy_conn *c)
{
	struct held *h;
	int i;

	for (i = 0; i < 2; i++) {
		ev_io_stop(c->proxy->loop, &c->ways[i].readable);
		while ((h = take_first(&c->ways[i])))
			free(h);
	}
	close(c->ways[0].from);
	close(c->ways[0].to);
	free(c);
}

static void reset_on_close(int fd)
{
	struct linger linger = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static bool may_pass(const struct direction *d, const struct held *h)
{
	const struct proxy *p = d->conn->proxy;

	if (p->mode == PROXY_SILENT ||
	    (p->mode == PROXY_NO_ANSWERS && d->from_server))
		return false;
	return p->mode != PROXY_DELAY ||
	       proxy_now_ms() - h->read_at_ms >= p->delay_ms;
}

/* Sends what may pass. */
static void flush(struct direction *d)
{
	struct held *h;
	ssize_t n;

	while ((h = d->first) && may_pass(d, h)) {
		n = send(d->to, h->bytes + h->sent, h->len - h->sent,
			 MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINPROGRESS ||
			      errno == ENOTCONN))
			return;
		if (n < 0) {
			d->conn->broken = true;
			return;
		}
		h->sent += (size_t)n;
		if (h->sent < h->len)
			return;
		free(take_first(d));
	}
	if (d->ended && !d->first)
		d->conn->broken = true;
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct direction *d = w->data;
	char chunk[CHUNK];
	ssize_t n = recv(d->from, chunk, sizeof(chunk), MSG_DONTWAIT);
	struct held *h;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || d->n_held > HELD_MAX) {
		d->ended = true;
		ev_io_stop(loop, w);
	} else {
		h = xcalloc(1, sizeof(*h) + (size_t)n);
		h->read_at_ms = proxy_now_ms();
		h->len = (size_t)n;
		memcpy(h->bytes, chunk, h->len);
		*d->end = h;
		d->end = &h->next;
		d->n_held += h->len;
	}
	flush(d);
}

static void open_way(struct proxy_conn *c, int i, int from, int to)
{
	struct direction *d = &c->ways[i];

	d->conn = c;
	d->from = from;
	d->to = to;
	d->from_server = i == 1;
	d->end = &d->first;
	ev_io_init(&d->readable, on_readable, from, EV_READ);
	d->readable.data = d;
	ev_io_start(c->proxy->loop, &d->readable);
}

static void on_acceptable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct proxy *p = w->data;
	struct syc_addr to = {"127.0.0.1", p->to_port};
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct proxy_conn *c;
	int server;

	if (fd < 0)
		return;
	server = addr_connect(&to);
	if (server < 0) {
		reset_on_close(fd);
		close(fd);
		return;
	}
	c = xcalloc(1, sizeof(*c));
	c->proxy = p;
	c->next = p->conns;
	p->conns = c;
	open_way(c, 0, fd, server);
	open_way(c, 1, server, fd);
}

static void remove_broken(struct proxy *p)
{
	struct proxy_conn **at = &p->conns;
	struct proxy_conn *c;

	while ((c = *at)) {
		if (!c->broken) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		free_conn(c);
	}
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct proxy *p = w->data;
	struct proxy_conn *c;

	if (p->mode != PROXY_PASS) {
		p->disturbed_at_ms = proxy_now_ms();
		if (p->disturbed_at_ms >= p->disturbed_until_ms)
			p->mode = PROXY_PASS;
	}
	for (c = p->conns; c; c = c->next) {
		flush(&c->ways[0]);
		flush(&c->ways[1]);
	}
	remove_broken(p);
}

void proxy_open(struct proxy *p, struct ev_loop *loop)
{
	struct syc_addr any = {"127.0.0.1", 0};

	p->loop = loop;
	invariant(!addr_listen(&any, &p->fd, &p->port));
	ev_io_init(&p->acceptable, on_acceptable, p->fd, EV_READ);
	p->acceptable.data = p;
	ev_io_start(loop, &p->acceptable);
	ev_timer_init(&p->timer, on_tick, 0, TICK_MS / 1000.);
	p->timer.data = p;
	ev_timer_start(loop, &p->timer);
}

void proxy_reset(struct proxy *p)
{
	struct proxy_conn *c;

	for (c = p->conns; c; c = c->next) {
		reset_on_close(c->ways[0].from);
		reset_on_close(c->ways[0].to);
		c->broken = true;
	}
	p->disturbed_at_ms = proxy_now_ms();
	remove_broken(p);
}

void proxy_close(struct proxy *p)
{
	if (!p->loop)
		return;
	proxy_reset(p);
	ev_io_stop(p->loop, &p->acceptable);
	ev_timer_stop(p->loop, &p->timer);
	close(p->fd);
}

void proxy_disturb(struct proxy *p, enum proxy_mode mode, int64_t delay_ms,
		   int64_t ms)
{
	p->mode = mode;
	p->delay_ms = delay_ms;
	p->disturbed_until_ms = proxy_now_ms() + ms;
}
