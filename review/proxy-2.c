/*
 * proxy-2 PORT DELAY_MS [LOG]: passes connections to 127.0.0.1:PORT on, and what comes
 * back DELAY_MS later. Prints the port it listens on. With LOG it appends a line for
 * each task that a worker behind it is told to start: when, in ms since 1970, and the
 * start of the call; and one for each answer on that connection.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { CONNS_MAX = 400, BYTES_MAX = 1 << 20, CHUNKS_MAX = 256 };

struct chunk {
	size_t n;
	int64_t due_ms;
	char *data;
};

/* One direction of a connection. */
struct pipe {
	int from, to;
	int64_t delay_ms;
	struct chunk chunks[CHUNKS_MAX];
	size_t n_chunks;
	int closed; /* `from` has ended */
};

struct conn {
	int used;
	int is_start; /* the last call on it starts a task */
	struct pipe up, down;
};

static struct conn *conns[CONNS_MAX];
static FILE *record;

static int64_t clock_ms(clockid_t id)
{
	struct timespec t;

	clock_gettime(id, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int socket_on(uint16_t port, int listens)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (listens ? bind(fd, (struct sockaddr *)&a, sizeof(a)) ||
			      listen(fd, 128)
		    : connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void log_text(const char *what, const char *text, size_t n)
{
	size_t i;

	fprintf(record, "%lld %s ", (long long)clock_ms(CLOCK_REALTIME), what);
	for (i = 0; i < n && i < 400; i++)
		fputc(text[i] < ' ' ? ' ' : text[i], record);
	fputc('\n', record);
	fflush(record);
}

static void look_at(struct conn *c, const struct pipe *p, const char *text,
		    size_t n)
{
	if (!record)
		return;
	if (p == &c->up && n > 4 && !memcmp(text, "POST", 4)) {
		c->is_start = n > 15 && !memcmp(text, "POST /run-start", 15);
		if (c->is_start)
			log_text("start", text, n);
	} else if (p == &c->down && c->is_start && n > 12 &&
		   !memcmp(text, "HTTP/1.1", 8)) {
		log_text("answer", text, 12);
	}
}

static void read_from(struct conn *c, struct pipe *p)
{
	static char buf[65536];
	struct chunk *k;
	ssize_t n;

	if (p->n_chunks == CHUNKS_MAX)
		return;
	n = recv(p->from, buf, sizeof(buf), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		p->closed = 1;
		return;
	}
	look_at(c, p, buf, (size_t)n);
	k = &p->chunks[p->n_chunks++];
	k->n = (size_t)n;
	k->due_ms = clock_ms(CLOCK_MONOTONIC) + p->delay_ms;
	k->data = malloc((size_t)n);
	memcpy(k->data, buf, (size_t)n);
}

/* Returns 0 when the connection is over. */
static int write_due(struct pipe *p)
{
	ssize_t n;

	while (p->n_chunks &&
	       p->chunks[0].due_ms <= clock_ms(CLOCK_MONOTONIC)) {
		struct chunk *k = &p->chunks[0];

		n = send(p->to, k->data, k->n, MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN || errno == EINTR;
		if ((size_t)n < k->n) {
			memmove(k->data, k->data + n, k->n - (size_t)n);
			k->n -= (size_t)n;
			return 1;
		}
		free(k->data);
		memmove(p->chunks, p->chunks + 1,
			--p->n_chunks * sizeof(*p->chunks));
	}
	return !p->closed || p->n_chunks;
}

static void end_conn(size_t i)
{
	struct conn *c = conns[i];
	size_t k;

	close(c->up.from);
	close(c->up.to);
	for (k = 0; k < c->up.n_chunks; k++)
		free(c->up.chunks[k].data);
	for (k = 0; k < c->down.n_chunks; k++)
		free(c->down.chunks[k].data);
	free(c);
	conns[i] = NULL;
}

static void accept_conn(int listener, uint16_t port, int64_t delay_ms)
{
	int a = accept(listener, NULL, NULL), b;
	size_t i;

	if (a < 0)
		return;
	fcntl(a, F_SETFL, O_NONBLOCK);
	b = socket_on(port, 0);
	for (i = 0; i < CONNS_MAX && conns[i]; i++)
		;
	if (b < 0 || i == CONNS_MAX) {
		close(a);
		if (b >= 0)
			close(b);
		return;
	}
	conns[i] = calloc(1, sizeof(*conns[i]));
	conns[i]->up.from = conns[i]->down.to = a;
	conns[i]->up.to = conns[i]->down.from = b;
	conns[i]->down.delay_ms = delay_ms;
}

int main(int argc, char **argv)
{
	static struct pollfd fds[2 * CONNS_MAX + 1];
	struct sockaddr_in a;
	socklen_t len = sizeof(a);
	uint16_t port;
	size_t i, n;
	int listener;

	if (argc < 3)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	port = (uint16_t)atoi(argv[1]);
	record = argc > 3 ? fopen(argv[3], "a") : NULL;
	listener = socket_on(0, 1);
	if (listener < 0)
		return 2;
	getsockname(listener, (struct sockaddr *)&a, &len);
	printf("proxy %u\n", ntohs(a.sin_port));
	fflush(stdout);
	for (;;) {
		n = 0;
		fds[n++] = (struct pollfd){listener, POLLIN, 0};
		for (i = 0; i < CONNS_MAX; i++) {
			if (!conns[i])
				continue;
			if (!conns[i]->up.closed)
				fds[n++] = (struct pollfd){conns[i]->up.from,
							   POLLIN, 0};
			if (!conns[i]->down.closed)
				fds[n++] = (struct pollfd){conns[i]->down.from,
							   POLLIN, 0};
		}
		poll(fds, n, 1);
		if (fds[0].revents)
			accept_conn(listener, port, atoi(argv[2]));
		for (i = 0; i < CONNS_MAX; i++) {
			if (!conns[i])
				continue;
			if (!conns[i]->up.closed)
				read_from(conns[i], &conns[i]->up);
			if (!conns[i]->down.closed)
				read_from(conns[i], &conns[i]->down);
			if (!write_due(&conns[i]->up) ||
			    !write_due(&conns[i]->down))
				end_conn(i);
		}
	}
}
