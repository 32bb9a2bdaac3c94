#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "transport/peer_conn.h"
#include "transport/peer_dial.h"
#include "transport/peer_link.h"
#include "util/alloc.h"

enum {
	DIAL_BACKOFF_MAX_MS = 5000, /* if the options state none */
	ACCEPT_BATCH = 64,
	ACCEPT_RETRY_MS = 100 /* after the descriptors ran out */
};

/* An authenticated peer and its one or two connections. */
struct peer {
	struct peer *next;
	struct syc_instance inst;
	struct peer_conn *in;
	struct peer_conn *out;
};

struct peer_links {
	struct peer_links_options opt;
	struct peer_conns conns;
	struct peer_dials dials;
	struct peer *peers;
	int fd;
	uint16_t port; /* the bound one */
	ev_io acceptable;
	ev_timer accept_retry;
};

static struct peer *find_peer(const struct peer_links *p, uint64_t id)
{
	struct peer *q;

	for (q = p->peers; q; q = q->next)
		if (q->inst.id == id)
			return q;
	return NULL;
}

static bool is_reached(void *ctx, uint64_t peer)
{
	const struct peer *q = find_peer(ctx, peer);

	return q && q->out && q->out->stage == PEER_UP;
}

static bool has_inbound(void *ctx, const struct syc_addr *addr)
{
	const struct peer_links *p = ctx;
	const struct peer *q;

	for (q = p->peers; q; q = q->next)
		if (q->in && addr_equal(&q->inst.peer_addr, addr))
			return true;
	return false;
}

/*
 * Rejects connections to this instance itself, and to a peer that is already
 * reached by another address.
 */
static bool is_wanted(void *ctx, struct peer_conn *c)
{
	struct peer_links *p = ctx;
	struct peer_dial *d = peer_dials_find(&p->dials, c);

	if (!d)
		return false;
	if (c->peer.id == p->opt.self.id) {
		d->is_self = true;
		return false;
	}
	if (!is_reached(p, c->peer.id))
		return true;
	d->alias_of = c->peer.id;
	return false;
}

/*
 * An address belongs to one incarnation, so a new one closes the connections of
 * the old one.
 */
static void close_old_incarnation(struct peer_links *p,
				  const struct syc_instance *now)
{
	const struct peer *q;

	for (q = p->peers; q; q = q->next) {
		if (q->inst.id == now->id ||
		    !addr_equal(&q->inst.peer_addr, &now->peer_addr))
			continue;
		if (q->in)
			peer_conn_close(q->in, NULL);
		if (q->out)
			peer_conn_close(q->out, NULL);
	}
	peer_conns_reap(&p->conns);
}

static struct peer *add_peer(struct peer_links *p,
			     const struct syc_instance *inst)
{
	struct peer *q = find_peer(p, inst->id);

	if (q)
		return q;
	q = xcalloc(1, sizeof(*q));
	q->inst = *inst;
	q->next = p->peers;
	p->peers = q;
	return q;
}

static void on_up(void *ctx, struct peer_conn *c)
{
	struct peer_links *p = ctx;
	struct peer_conn **conn;
	struct peer_conn *old;
	struct peer *q;

	close_old_incarnation(p, &c->peer);
	q = add_peer(p, &c->peer);
	conn = c->outbound ? &q->out : &q->in;
	old = *conn;
	*conn = c;
	if (old)
		peer_conn_close(old, NULL);
	if (c->outbound)
		peer_dial_up(peer_dials_find(&p->dials, c));
	else
		peer_dials_add(&p->dials, &c->peer.peer_addr, true);
	p->opt.up(p->opt.ctx, &c->peer);
}

static void on_message(void *ctx, struct peer_conn *c, struct syc_bytes msg)
{
	struct peer_links *p = ctx;

	p->opt.receive(p->opt.ctx, c->peer.id, msg);
}

static void remove_peer(struct peer_links *p, struct peer *q)
{
	struct peer **at = &p->peers;
	uint64_t id = q->inst.id;

	while (*at != q)
		at = &(*at)->next;
	*at = q->next;
	free(q);
	p->opt.down(p->opt.ctx, id);
}

static void remove_conn(struct peer_links *p, const struct peer_conn *c)
{
	struct peer *q = find_peer(p, c->peer.id);

	if (!c->is_authenticated || !q || (q->in != c && q->out != c))
		return;
	if (q->in == c)
		q->in = NULL;
	else
		q->out = NULL;
	if (!q->in && !q->out)
		remove_peer(p, q);
}

static void on_closed(void *ctx, struct peer_conn *c)
{
	struct peer_links *p = ctx;
	struct peer_dial *d = peer_dials_find(&p->dials, c);
	char text[ADDR_TEXT_MAX];

	if (c->error) {
		addr_format(&c->addr, text);
		p->opt.rejected(p->opt.ctx, text, c->error);
	}
	if (d)
		peer_dial_closed(d);
	remove_conn(p, c);
}

static void on_acceptable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct peer_links *p = w->data;
	struct sockaddr_storage ss;
	struct syc_addr addr;
	socklen_t len;
	int i, fd;

	for (i = 0; i < ACCEPT_BATCH; i++) {
		len = sizeof(ss);
		fd = accept4(w->fd, (struct sockaddr *)&ss, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			break;
		addr_from_sock(&addr, &ss);
		peer_conn_accept(&p->conns, fd, &addr);
	}
	if (i < ACCEPT_BATCH && (errno == EMFILE || errno == ENFILE)) {
		ev_io_stop(loop, w);
		ev_timer_start(loop, &p->accept_retry);
	}
}

static void on_accept_retry(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct peer_links *p = w->data;

	ev_io_start(loop, &p->acceptable);
}

static void start(struct peer_links *p)
{
	struct peer_conn_ops ops = {p, is_wanted, on_up, on_message, on_closed};

	p->conns.loop = p->opt.loop;
	p->conns.ops = ops;
	p->conns.self = p->opt.self;
	p->conns.send_max = p->opt.send_max;
	memcpy(p->conns.cluster_key, p->opt.cluster_key, PEER_KEY_LEN);
	p->opt.cluster_key = p->conns.cluster_key;
	peer_conns_init(&p->conns);
	p->dials.conns = &p->conns;
	p->dials.ctx = p;
	p->dials.dial_backoff_max_ms = p->opt.dial_backoff_max_ms
					       ? p->opt.dial_backoff_max_ms
					       : DIAL_BACKOFF_MAX_MS;
	p->dials.is_reached = is_reached;
	p->dials.has_inbound = has_inbound;
	randombytes_buf(&p->dials.rng, sizeof(p->dials.rng));
	ev_io_init(&p->acceptable, on_acceptable, p->fd, EV_READ);
	ev_timer_init(&p->accept_retry, on_accept_retry,
		      (double)ACCEPT_RETRY_MS / 1000, 0);
	p->acceptable.data = p->accept_retry.data = p;
	ev_io_start(p->opt.loop, &p->acceptable);
}

enum transport_status peer_links_new(struct peer_links **p,
				     const struct peer_links_options *opt)
{
	enum transport_status st;
	struct peer_links *n;
	uint16_t port;
	int fd;

	if (sodium_init() < 0)
		return transport_fail(TRANSPORT_SYSTEM,
				      "libsodium cannot start");
	st = addr_listen(&opt->listen, &fd, &port);
	if (st)
		return st;
	n = xcalloc(1, sizeof(*n));
	n->opt = *opt;
	n->fd = fd;
	n->port = port;
	if (!n->opt.self.peer_addr.port)
		n->opt.self.peer_addr.port = port;
	start(n);
	*p = n;
	return TRANSPORT_OK;
}

void peer_links_free(struct peer_links *p)
{
	struct peer *q;

	if (!p)
		return;
	ev_io_stop(p->opt.loop, &p->acceptable);
	ev_timer_stop(p->opt.loop, &p->accept_retry);
	close(p->fd);
	peer_dials_free(&p->dials);
	peer_conns_free(&p->conns);
	while ((q = p->peers)) {
		p->peers = q->next;
		free(q);
	}
	sodium_memzero(p->conns.cluster_key, PEER_KEY_LEN);
	free(p);
}

uint16_t peer_links_port(const struct peer_links *p)
{
	return p->port;
}

void peer_links_dial(struct peer_links *p, const struct syc_addr *addr)
{
	peer_dials_add(&p->dials, addr, false);
}

void peer_links_stop_dialling(struct peer_links *p, const struct syc_addr *addr)
{
	peer_dials_remove(&p->dials, addr);
}

bool peer_links_send(struct peer_links *p, uint64_t to, struct syc_bytes msg)
{
	const struct peer *q = find_peer(p, to);

	return q && q->out && peer_conn_send(q->out, msg);
}

void peer_links_traffic(const struct peer_links *p, uint64_t *sent,
			uint64_t *received)
{
	*sent = p->conns.sent;
	*received = p->conns.received;
}
