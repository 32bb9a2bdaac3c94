#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/address.h"
#include "transport_help.h"
#include "unit.h"
#include "util/alloc.h"

struct raw_conn {
	struct raw_conn *next;
	struct raw_server *server;
	int fd;
	ev_io io;
};

enum {
	STEP_MS = 5, /* between checks of the counter */
	TIMEOUT_MS = 20000, /* a test that waits longer fails */
	SHORT_RUN_MS = 200
};

static void on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
	++*(int *)w->data;
}

static bool run_steps(struct ev_loop *loop, const int *n, int expected, int max)
{
	ev_timer step;
	int steps = 0;

	ev_timer_init(&step, on_step, STEP_MS / 1000.0, STEP_MS / 1000.0);
	step.data = &steps;
	ev_timer_start(loop, &step);
	while (*n < expected && steps < max)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &step);
	return *n >= expected;
}

bool run_until(struct ev_loop *loop, const int *n, int expected)
{
	return run_steps(loop, n, expected, TIMEOUT_MS / STEP_MS);
}

void run_a_while(struct ev_loop *loop)
{
	int never = 0;

	run_steps(loop, &never, 1, SHORT_RUN_MS / STEP_MS);
}

struct syc_addr loopback(uint16_t port)
{
	struct syc_addr addr = {"127.0.0.1", port};

	return addr;
}

int raw_connect(uint16_t port)
{
	struct syc_addr addr = loopback(port);
	struct sockaddr_storage ss;
	socklen_t len;
	int fd;

	CU_ASSERT_EQUAL(addr_to_sock(&addr, &ss, &len), TRANSPORT_OK);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&ss, len), 0);
	return fd;
}

int raw_connect_begin(uint16_t port)
{
	struct syc_addr addr = loopback(port);

	return addr_connect(&addr);
}

void raw_send(int fd, const char *text)
{
	CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
			(ssize_t)strlen(text));
}

void raw_server_close(struct raw_server *s, int fd)
{
	struct raw_conn **at = &s->conns;
	struct raw_conn *c;

	while ((c = *at) && c->fd != fd)
		at = &c->next;
	if (!c)
		return;
	*at = c->next;
	ev_io_stop(s->loop, &c->io);
	close(fd);
	free(c);
}

void raw_server_close_all(struct raw_server *s)
{
	while (s->conns)
		raw_server_close(s, s->conns->fd);
}

void raw_server_send_all(struct raw_server *s, const char *text)
{
	const struct raw_conn *c;

	for (c = s->conns; c; c = c->next)
		raw_send(c->fd, text);
}

static void on_data(struct ev_loop *loop, ev_io *w, int revents)
{
	struct raw_conn *c = w->data;
	struct raw_server *s = c->server;
	char chunk[65536];
	ssize_t n = recv(c->fd, chunk, sizeof(chunk), 0);

	if (n <= 0) {
		s->n_closed++;
		raw_server_close(s, c->fd);
		return;
	}
	s->n_read++;
	buf_add(&s->in, chunk, (size_t)n);
	if (s->data)
		s->data(s, c->fd);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct raw_server *s = w->data;
	int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
	struct raw_conn *c;

	if (fd < 0)
		return;
	c = xcalloc(1, sizeof(*c));
	c->server = s;
	c->fd = fd;
	c->next = s->conns;
	s->conns = c;
	s->n_accepted++;
	ev_io_init(&c->io, on_data, fd, EV_READ);
	c->io.data = c;
	ev_io_start(loop, &c->io);
}

void raw_server_start(struct raw_server *s, struct ev_loop *loop)
{
	struct syc_addr addr = loopback(0);

	s->loop = loop;
	CU_ASSERT_EQUAL(addr_listen(&addr, &s->fd, &s->port), TRANSPORT_OK);
	ev_io_init(&s->io, on_accept, s->fd, EV_READ);
	s->io.data = s;
	ev_io_start(loop, &s->io);
}

void raw_server_stop(struct raw_server *s)
{
	raw_server_close_all(s);
	ev_io_stop(s->loop, &s->io);
	close(s->fd);
	buf_free(&s->in);
}
