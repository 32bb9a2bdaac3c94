#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/http_sock.h"
#include "util/alloc.h"

enum {
	FDS_STEP = 256, /* entries by which `by_fd` grows */
	IDLE_CHECK_S = 1,
	DISCARD_SIZE = 4096 /* bytes read at once */
};

struct http_sock {
	ev_io io;
	struct http_socks *socks;
	bool busy; /* used by a transfer */
	bool connected; /* curl has waited to read from it */
	double idle_since; /* loop time */
};

/*
 * Shuts the connection down and discards its input, so that curl finds it
 * closed and doesn't reuse it.
 */
static void disable_reuse(struct http_sock *s)
{
	char unwanted[DISCARD_SIZE];

	ev_io_stop(s->socks->loop, &s->io);
	shutdown(s->io.fd, SHUT_RDWR);
	while (recv(s->io.fd, unwanted, sizeof(unwanted), MSG_DONTWAIT) > 0)
		;
}

static void on_ready(struct ev_loop *loop, ev_io *w, int revents)
{
	struct http_sock *s = w->data;
	int flags = 0;

	if (!s->busy) {
		disable_reuse(s);
		return;
	}
	if (revents & EV_READ)
		flags |= CURL_CSELECT_IN;
	if (revents & EV_WRITE)
		flags |= CURL_CSELECT_OUT;
	s->socks->ready(s->socks->ctx, w->fd, flags);
}

void http_socks_close_idle(struct http_socks *socks, double now)
{
	struct http_sock *s;
	bool idle = false;
	size_t fd;

	for (fd = 0; fd < socks->cap; fd++) {
		s = socks->by_fd[fd];
		if (!s || s->busy || !ev_is_active(&s->io))
			continue;
		if (now - s->idle_since >= HTTP_IDLE_S)
			disable_reuse(s);
		else
			idle = true;
	}
	if (!idle)
		ev_timer_stop(socks->loop, &socks->idle_timer);
}

static void on_idle_check(struct ev_loop *loop, ev_timer *w, int revents)
{
	http_socks_close_idle(w->data, ev_now(loop));
}

void http_socks_init(struct http_socks *socks)
{
	ev_timer_init(&socks->idle_timer, on_idle_check, IDLE_CHECK_S,
		      IDLE_CHECK_S);
	socks->idle_timer.data = socks;
}

static void start_idle_time(struct http_sock *s)
{
	struct ev_timer *idle_timer = &s->socks->idle_timer;

	s->idle_since = ev_now(s->socks->loop);
	if (!ev_is_active(idle_timer))
		ev_timer_again(s->socks->loop, idle_timer);
}

static void reserve_fd(struct http_socks *socks, size_t fd)
{
	size_t cap = (fd / FDS_STEP + 1) * FDS_STEP;

	if (cap <= socks->cap)
		return;
	socks->by_fd = xrealloc(socks->by_fd, cap * sizeof(*socks->by_fd));
	memset(socks->by_fd + socks->cap, 0,
	       (cap - socks->cap) * sizeof(*socks->by_fd));
	socks->cap = cap;
}

static struct http_sock *find_sock(const struct http_socks *socks, size_t fd)
{
	return fd < socks->cap ? socks->by_fd[fd] : NULL;
}

static struct http_sock *add_sock(struct http_socks *socks, curl_socket_t fd)
{
	struct http_sock *s = xcalloc(1, sizeof(*s));

	reserve_fd(socks, (size_t)fd);
	socks->by_fd[fd] = s;
	s->socks = socks;
	ev_io_init(&s->io, on_ready, fd, 0);
	/*
	 * Events of idle sockets are handled before curl's timer, in which
	 * curl may reuse the sockets.
	 */
	ev_set_priority(&s->io, 1);
	s->io.data = s;
	return s;
}

/*
 * An idle socket stays watched, so that a transfer that waits for the same
 * events needs no system call.
 */
static void watch_events(struct http_sock *s, int events)
{
	if (ev_is_active(&s->io) &&
	    (s->io.events & (EV_READ | EV_WRITE)) == events)
		return;
	ev_io_stop(s->socks->loop, &s->io);
	ev_io_set(&s->io, s->io.fd, events);
	ev_io_start(s->socks->loop, &s->io);
}

static void remove_sock(struct http_socks *socks, size_t fd)
{
	struct http_sock *s = find_sock(socks, fd);

	if (!s)
		return;
	ev_io_stop(socks->loop, &s->io);
	free(s);
	socks->by_fd[fd] = NULL;
}

int http_socks_watch(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *unused)
{
	struct http_socks *socks = arg;
	struct http_sock *s = find_sock(socks, (size_t)fd);
	int events = 0;

	if (!s && what == CURL_POLL_REMOVE)
		return 0;
	/* curl never calls http_socks_close for an unconnected socket. */
	if (s && what == CURL_POLL_REMOVE && !s->connected) {
		remove_sock(socks, (size_t)fd);
		return 0;
	}
	if (!s)
		s = add_sock(socks, fd);
	s->connected |= what & CURL_POLL_IN;
	s->busy = what != CURL_POLL_REMOVE;
	if (what & CURL_POLL_IN || !s->busy)
		events |= EV_READ;
	if (what & CURL_POLL_OUT && s->busy)
		events |= EV_WRITE;
	if (!s->busy)
		start_idle_time(s);
	watch_events(s, events);
	return 0;
}

int http_socks_close(void *arg, curl_socket_t fd)
{
	remove_sock(arg, (size_t)fd);
	return close(fd);
}

void http_socks_free(struct http_socks *socks)
{
	size_t fd;

	ev_timer_stop(socks->loop, &socks->idle_timer);
	for (fd = 0; fd < socks->cap; fd++)
		remove_sock(socks, fd);
	free(socks->by_fd);
}
