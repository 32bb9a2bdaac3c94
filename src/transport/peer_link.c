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
	DIAL_BACKOFF_MAX_MS = 5000, /* used if the options state none */
	ACCEPT_BATCH = 64, /* connections accepted at once */
	ACCEPT_RETRY_MS = 100 /* pause after descriptors ran out */
};

/* An authenticated peer and its one or two connections. */
struct peer {
	struct peer *next;
	struct syc_instance instance;
	struct peer_conn *in;
	struct peer_conn *out;
};

struct peer_links {
	struct peer_links_options opt;
	struct peer_conns conns;
	struct peer_dials dials;
	struct peer *peers;
	int fd;
	uint16_t port; /* the port that `fd` is bound to */
	ev_io acceptable;
	ev_timer accept_retry;
};

static struct peer *find_peer(const struct peer_links *links, uint64_t id)
{
	struct peer *peer;

	for (peer = links->peers; peer; peer = peer->next)
		if (peer->instance.id == id)
			return peer;
	return NULL;
}

static bool has_outbound(void *ctx, uint64_t peer_id)
{
	const struct peer *peer = find_peer(ctx, peer_id);

	return peer && peer->out && peer->out->stage == PEER_UP;
}

static bool has_inbound(void *ctx, const struct syc_addr *addr)
{
	const struct peer_links *links = ctx;
	const struct peer *peer;

	for (peer = links->peers; peer; peer = peer->next)
		if (peer->in && addr_equal(&peer->instance.peer_addr, addr))
			return true;
	return false;
}

/*
 * Rejects connections to this instance itself, and to a peer that is already
 * reached by another address.
 */
static bool is_wanted(void *ctx, struct peer_conn *c)
{
	struct peer_links *links = ctx;
	struct peer_dial *d = peer_dials_find(&links->dials, c);

	if (!d)
		return false;
	if (c->peer.id == links->opt.self.id) {
		d->is_self = true;
		return false;
	}
	if (!has_outbound(links, c->peer.id))
		return true;
	d->alias_of = c->peer.id;
	return false;
}

/*
 * An address belongs to one incarnation, so a new one closes the connections of
 * the old one.
 */
static void close_old_incarnation(struct peer_links *links,
				  const struct syc_instance *inst)
{
	const struct peer *peer;

	for (peer = links->peers; peer; peer = peer->next) {
		if (peer->instance.id == inst->id ||
		    !addr_equal(&peer->instance.peer_addr, &inst->peer_addr))
			continue;
		if (peer->in)
			peer_conn_close(peer->in, NULL);
		if (peer->out)
			peer_conn_close(peer->out, NULL);
	}
	peer_conns_reap(&links->conns);
}

static struct peer *add_peer(struct peer_links *links,
			     const struct syc_instance *inst)
{
	struct peer *peer = find_peer(links, inst->id);

	if (peer)
		return peer;
	peer = xcalloc(1, sizeof(*peer));
	peer->instance = *inst;
	peer->next = links->peers;
	links->peers = peer;
	return peer;
}

static void on_up(void *ctx, struct peer_conn *c)
{
	struct peer_links *links = ctx;
	struct peer_conn **conn;
	struct peer_conn *old;
	struct peer *peer;

	close_old_incarnation(links, &c->peer);
	peer = add_peer(links, &c->peer);
	conn = c->outbound ? &peer->out : &peer->in;
	old = *conn;
	*conn = c;
	if (old)
		peer_conn_close(old, NULL);
	if (c->outbound)
		peer_dial_up(peer_dials_find(&links->dials, c));
	else
		peer_dials_add(&links->dials, &c->peer.peer_addr, true);
	links->opt.up(links->opt.ctx, &c->peer);
}

static void on_message(void *ctx, struct peer_conn *c, struct syc_bytes msg)
{
	struct peer_links *links = ctx;

	links->opt.receive(links->opt.ctx, c->peer.id, msg);
}

static void remove_peer(struct peer_links *links, struct peer *peer)
{
	struct peer **at = &links->peers;
	uint64_t id = peer->instance.id;

	while (*at != peer)
		at = &(*at)->next;
	*at = peer->next;
	free(peer);
	links->opt.down(links->opt.ctx, id);
}

static void remove_conn(struct peer_links *links, const struct peer_conn *c)
{
	struct peer *peer = find_peer(links, c->peer.id);

	if (!c->is_authenticated || !peer || (peer->in != c && peer->out != c))
		return;
	if (peer->in == c) {
		peer->in = NULL;
		peer_dials_inbound_closed(&links->dials,
					  &peer->instance.peer_addr);
	} else {
		peer->out = NULL;
	}
	if (!peer->in && !peer->out)
		remove_peer(links, peer);
}

static void on_closed(void *ctx, struct peer_conn *c)
{
	struct peer_links *links = ctx;
	struct peer_dial *d = peer_dials_find(&links->dials, c);
	char text[ADDR_TEXT_MAX];

	if (c->error) {
		addr_format(&c->addr, text);
		links->opt.rejected(links->opt.ctx, text, c->error);
	}
	if (d)
		peer_dial_closed(d);
	remove_conn(links, c);
}

static void on_acceptable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct peer_links *links = w->data;
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
		peer_conn_accept(&links->conns, fd, &addr);
	}
	if (i < ACCEPT_BATCH && (errno == EMFILE || errno == ENFILE)) {
		ev_io_stop(loop, w);
		ev_timer_start(loop, &links->accept_retry);
	}
}

static void on_accept_retry(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct peer_links *links = w->data;

	ev_io_start(loop, &links->acceptable);
}

static void start_links(struct peer_links *links)
{
	struct peer_conn_ops ops = {links, is_wanted, on_up, on_message,
				    on_closed};

	links->conns.loop = links->opt.loop;
	links->conns.ops = ops;
	links->conns.self = links->opt.self;
	links->conns.send_max = links->opt.send_max;
	memcpy(links->conns.cluster_key, links->opt.cluster_key, PEER_KEY_LEN);
	links->opt.cluster_key = links->conns.cluster_key;
	peer_conns_init(&links->conns);
	links->dials.conns = &links->conns;
	links->dials.ctx = links;
	links->dials.dial_backoff_max_ms =
		links->opt.dial_backoff_max_ms ? links->opt.dial_backoff_max_ms
					       : DIAL_BACKOFF_MAX_MS;
	links->dials.has_outbound = has_outbound;
	links->dials.has_inbound = has_inbound;
	randombytes_buf(&links->dials.rng, sizeof(links->dials.rng));
	ev_io_init(&links->acceptable, on_acceptable, links->fd, EV_READ);
	ev_timer_init(&links->accept_retry, on_accept_retry,
		      (double)ACCEPT_RETRY_MS / 1000, 0);
	links->acceptable.data = links->accept_retry.data = links;
	ev_io_start(links->opt.loop, &links->acceptable);
}

enum transport_status peer_links_new(struct peer_links **links,
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
	start_links(n);
	*links = n;
	return TRANSPORT_OK;
}

void peer_links_free(struct peer_links *links)
{
	struct peer *peer;

	if (!links)
		return;
	ev_io_stop(links->opt.loop, &links->acceptable);
	ev_timer_stop(links->opt.loop, &links->accept_retry);
	close(links->fd);
	peer_dials_free(&links->dials);
	peer_conns_free(&links->conns);
	while ((peer = links->peers)) {
		links->peers = peer->next;
		free(peer);
	}
	sodium_memzero(links->conns.cluster_key, PEER_KEY_LEN);
	free(links);
}

uint16_t peer_links_port(const struct peer_links *links)
{
	return links->port;
}

void peer_links_dial(struct peer_links *links, const struct syc_addr *addr)
{
	peer_dials_add(&links->dials, addr, false);
}

void peer_links_stop_dialling(struct peer_links *links,
			      const struct syc_addr *addr)
{
	peer_dials_remove(&links->dials, addr);
}

bool peer_links_send(struct peer_links *links, uint64_t to,
		     struct syc_bytes msg)
{
	const struct peer *peer = find_peer(links, to);

	return peer && peer->out && peer_conn_send(peer->out, msg);
}

void peer_links_traffic(const struct peer_links *links, uint64_t *sent,
			uint64_t *received)
{
	*sent = links->conns.sent;
	*received = links->conns.received;
}

size_t peer_links_unsent(const struct peer_links *links)
{
	const struct peer_conn *c;
	size_t n = 0;

	for (c = links->conns.first; c; c = c->next)
		n += c->out.len - c->out_sent;
	return n;
}
