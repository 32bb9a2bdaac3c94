#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <microhttpd.h>

#include "transport/address.h"
#include "transport/http_conn.h"
#include "transport/http_server.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum {
	CONN_MEMORY = 16 * 1024, /* bytes for headers and buffers */
	IDLE_CHECK_S = 1,
	FINAL_RUNS = 8 /* runs of MHD that write answers before it stops */
};

static void run_mhd(struct http_server *s)
{
	MHD_UNSIGNED_LONG_LONG ms;

	MHD_run(s->daemon);
	ev_timer_stop(s->loop, &s->mhd_timer);
	if (MHD_get_timeout(s->daemon, &ms) != MHD_YES)
		return;
	ev_timer_set(&s->mhd_timer, (double)ms / 1000, 0);
	ev_timer_start(s->loop, &s->mhd_timer);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	run_mhd(w->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	run_mhd(w->data);
}

static void on_run_scheduled(struct ev_loop *loop, ev_prepare *w, int revents)
{
	run_mhd(w->data);
}

static void on_closed(struct ev_loop *loop, ev_io *w, int revents)
{
	http_conns_handle_closed(w->data);
}

static void on_idle_check(struct ev_loop *loop, ev_timer *w, int revents)
{
	http_conns_close_idle(w->data);
}

/* Writes all answers of one loop iteration together, at its end. */
void http_server_schedule_run(struct http_server *s)
{
	ev_feed_event(s->loop, &s->run_scheduled, EV_CUSTOM);
}

static enum transport_status start_daemon(struct http_server *s, int fd)
{
	unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	const struct http_server_options *opt = &s->opt;

	s->closed_epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (s->closed_epoll_fd < 0)
		return transport_fail(TRANSPORT_SYSTEM, "epoll_create1: %s",
				      strerror(errno));
	if (strchr(opt->listen.ip, ':'))
		flags |= MHD_USE_IPv6;
	s->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, http_conn_handle, s,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
		opt->conns_max, MHD_OPTION_CONNECTION_TIMEOUT, opt->idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONN_MEMORY,
		MHD_OPTION_NOTIFY_CONNECTION, http_conn_notify, s,
		MHD_OPTION_NOTIFY_COMPLETED, http_conn_request_completed, s,
		MHD_OPTION_SIGPIPE_HANDLED_BY_APP, 1, MHD_OPTION_END);
	if (s->daemon)
		return TRANSPORT_OK;
	close(s->closed_epoll_fd);
	return transport_fail(TRANSPORT_SYSTEM,
			      "cannot start the HTTP server: %s",
			      strerror(errno));
}

static void start_watchers(struct http_server *s)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		s->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	ev_io_init(&s->mhd_io, on_readable, info->epoll_fd, EV_READ);
	ev_timer_init(&s->mhd_timer, on_timer, 0, 0);
	ev_timer_init(&s->idle_timer, on_idle_check, IDLE_CHECK_S,
		      IDLE_CHECK_S);
	ev_io_init(&s->closed_io, on_closed, s->closed_epoll_fd, EV_READ);
	ev_prepare_init(&s->run_scheduled, on_run_scheduled);
	ev_set_priority(&s->run_scheduled, EV_MINPRI);
	s->mhd_io.data = s->mhd_timer.data = s->idle_timer.data = s;
	s->closed_io.data = s->run_scheduled.data = s;
	ev_io_start(s->loop, &s->mhd_io);
	ev_io_start(s->loop, &s->closed_io);
	ev_timer_start(s->loop, &s->idle_timer);
	http_server_schedule_run(s);
}

enum transport_status http_server_new(struct http_server **s,
				      const struct http_server_options *opt)
{
	struct http_server *n;
	enum transport_status st;
	uint16_t port;
	int fd;

	st = addr_listen(&opt->listen, &fd, &port);
	if (st)
		return st;
	signal(SIGPIPE, SIG_IGN);
	n = xcalloc(1, sizeof(*n));
	n->opt = *opt;
	n->loop = opt->loop;
	n->port = port;
	table_init(&n->requests, sizeof(struct http_exchange));
	st = start_daemon(n, fd);
	if (st) {
		close(fd);
		free(n);
		return st;
	}
	start_watchers(n);
	*s = n;
	return TRANSPORT_OK;
}

void http_server_set_draining(struct http_server *s, bool drain)
{
	s->draining = drain;
}

void http_server_quiesce(struct http_server *s)
{
	int fd;

	if (s->quiesced)
		return;
	s->quiesced = true;
	if (!s->in_callback) /* MHD_run is not reentrant */
		MHD_run(s->daemon); /* accepts the waiting connections */
	fd = MHD_quiesce_daemon(s->daemon);
	if (fd >= 0)
		close(fd);
	http_server_schedule_run(s);
}

size_t http_server_open_count(const struct http_server *s)
{
	return s->n_open;
}

size_t http_server_reading_count(const struct http_server *s)
{
	return s->n_reading;
}

uint16_t http_server_port(const struct http_server *s)
{
	return s->port;
}

void http_server_free(struct http_server *s)
{
	int i;

	if (!s)
		return;
	s->freeing = true;
	http_conns_abandon(s);
	for (i = 0; i < FINAL_RUNS; i++)
		MHD_run(s->daemon);
	ev_io_stop(s->loop, &s->mhd_io);
	ev_io_stop(s->loop, &s->closed_io);
	ev_timer_stop(s->loop, &s->mhd_timer);
	ev_timer_stop(s->loop, &s->idle_timer);
	ev_clear_pending(s->loop, &s->run_scheduled);
	MHD_stop_daemon(s->daemon);
	close(s->closed_epoll_fd);
	invariant(!s->conns);
	table_free(&s->requests);
	free(s);
}
