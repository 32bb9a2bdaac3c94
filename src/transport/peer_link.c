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
	PAUSE_MAX_MS = 5000, /* between tries to dial, if not said */
	ACCEPT_BATCH = 64,
	ACCEPT_PAUSE_MS = 100 /* after running out of descriptors */
};

/* A proved peer and its at most two connections. */
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
	uint16_t port; /* bound */
	ev_io acceptable;
	ev_timer accept_again;
};

static struct peer *find_peer(const struct peer_links *p, uint64_t id)
{
	struct peer *q;

	for (q = p->peers; q; q = q->next)
		if (q->inst.id == id)
			return q;
	return NULL;
}

static bool reached(void *ctx, uint64_t peer)
{
	const struct peer *q = find_peer(ctx, peer);

	return q && q->out && q->out->stage == PEER_UP;
}

static bool heard(void *ctx, const struct syc_addr *addr)
{
	const struct peer_links *p = ctx;
	const struct peer *q;

	for (q = p->peers; q; q = q->next)
		if (q->in && addr_equal(&q->inst.peer_addr, addr))
			return true;
	return false;
}

/* A peer reached by another address already, or ourselves, is not wanted. */
static bool wanted(void *ctx, struct peer_conn *c)
{
	struct peer_links *p = ctx;
	struct peer_dial *d = peer_dials_of(&p->dials, c);

	if (!d)
		return false;
	if (c->peer.id == p->opt.self.id) {
		d->self = true;
		return false;
	}
	if (!reached(p, c->peer.id))
		return true;
	d->alias = c->peer.id;
	return false;
}

/* An address has one incarnation: a new one ends what the old one left. */
static void replace_old(struct peer_links *p, const struct syc_instance *now)
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
	struct peer_conn **place;
	struct peer_conn *old;
	struct peer *q;

	replace_old(p, &c->peer);
	q = add_peer(p, &c->peer);
	place = c->outbound ? &q->out : &q->in;
	old = *place;
	*place = c;
	if (old)
		peer_conn_close(old, NULL);
	if (c->outbound)
		peer_dial_up(peer_dials_of(&p->dials, c));
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

static void leave_peer(struct peer_links *p, const struct peer_conn *c)
{
	struct peer *q = find_peer(p, c->peer.id);

	if (!c->proved || !q || (q->in != c && q->out != c))
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
	struct peer_dial *d = peer_dials_of(&p->dials, c);
	char text[ADDR_TEXT_MAX];

	if (c->why) {
		addr_print(&c->addr, text);
		p->opt.rejected(p->opt.ctx, text, c->why);
	}
	if (d)
		peer_dial_closed(d);
	leave_peer(p, c);
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
		ev_timer_start(loop, &p->accept_again);
	}
}

static void on_accept_again(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct peer_links *p = w->data;

	ev_io_start(loop, &p->acceptable);
}

static void start(struct peer_links *p)
{
	struct peer_conn_ops ops = {p, wanted, on_up, on_message, on_closed};

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
					       : PAUSE_MAX_MS;
	p->dials.reached = reached;
	p->dials.heard = heard;
	randombytes_buf(&p->dials.rng, sizeof(p->dials.rng));
	ev_io_init(&p->acceptable, on_acceptable, p->fd, EV_READ);
	ev_timer_init(&p->accept_again, on_accept_again,
		      (double)ACCEPT_PAUSE_MS / 1000, 0);
	p->acceptable.data = p->accept_again.data = p;
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
	ev_timer_stop(p->opt.loop, &p->accept_again);
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

void peer_links_forget(struct peer_links *p, const struct syc_addr *addr)
{
	peer_dials_forget(&p->dials, addr);
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
