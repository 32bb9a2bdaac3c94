#include <stdlib.h>
#include <string.h>

#include "cmd/mailbox.h"
#include "util/alloc.h"

static struct mail *take_first_message(struct mailbox *b)
{
	struct mail *m = b->first;

	if (!m)
		return NULL;
	b->first = m->next;
	if (!b->first)
		b->end = &b->first;
	return m;
}

static void deliver_all(struct mailbox *b)
{
	struct mail *m;

	while ((m = take_first_message(b))) {
		b->deliver(b->ctx, m);
		free(m);
	}
}

/*
 * The prepare watcher delivers messages before the loop sleeps. The idle
 * watcher is active while messages wait; it keeps the loop from sleeping
 * when a delivery posts to a mailbox whose prepare watcher has already run.
 */
static void on_prepare(struct ev_loop *loop, struct ev_prepare *w, int revents)
{
	struct mailbox *b = w->data;

	deliver_all(b);
	ev_idle_stop(loop, &b->idle);
}

static void on_idle(struct ev_loop *loop, struct ev_idle *w, int revents)
{
	deliver_all(w->data);
	ev_idle_stop(loop, w);
}

void mailbox_init(struct mailbox *b, struct ev_loop *loop,
		  void (*deliver)(void *ctx, const struct mail *m), void *ctx)
{
	b->loop = loop;
	b->first = NULL;
	b->end = &b->first;
	b->deliver = deliver;
	b->ctx = ctx;
	ev_idle_init(&b->idle, on_idle);
	b->idle.data = b;
	ev_prepare_init(&b->prepare, on_prepare);
	b->prepare.data = b;
	ev_prepare_start(loop, &b->prepare);
}

void mailbox_free(struct mailbox *b)
{
	struct mail *m;

	ev_prepare_stop(b->loop, &b->prepare);
	ev_idle_stop(b->loop, &b->idle);
	while ((m = take_first_message(b)))
		free(m);
}

void mailbox_post(struct mailbox *b, enum mail_type type, uint64_t id,
		  struct syc_bytes head, struct syc_bytes body)
{
	size_t len = head.n + body.n;
	struct mail *m = xcalloc(1, sizeof(*m) + len);

	ev_idle_start(b->loop, &b->idle);
	m->type = type;
	m->id = id;
	m->len = len;
	if (head.n)
		memcpy(m->payload, head.p, head.n);
	if (body.n)
		memcpy(m->payload + head.n, body.p, body.n);
	*b->end = m;
	b->end = &m->next;
}
