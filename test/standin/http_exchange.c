/* Blocking sockets suffice for the single requests of the stand-ins. */
#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_exchange.h"
#include "util/field.h"

enum { ANSWER_CHUNK = 64 * 1024 };

static int connect_to(const char *addr)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	struct syc_addr to;
	int fd;

	if (!field_parse_addr(addr, &to))
		return -1;
	sin.sin_port = htons(to.port);
	if (inet_pton(AF_INET, to.ip, &sin.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd >= 0 && connect(fd, (struct sockaddr *)&sin, sizeof(sin))) {
		close(fd);
		return -1;
	}
	return fd;
}

static int send_all(int fd, const char *p, size_t n)
{
	ssize_t sent;

	while (n) {
		sent = send(fd, p, n, MSG_NOSIGNAL);
		if (sent < 0)
			return -1;
		p += sent;
		n -= (size_t)sent;
	}
	return 0;
}

/* Receives until the end of the connection. */
static char *receive_all(int fd)
{
	size_t len = 0, cap = 0;
	char *text = NULL;
	ssize_t got;

	do {
		if (cap < len + ANSWER_CHUNK + 1) {
			cap = 2 * cap + ANSWER_CHUNK + 1;
			text = realloc(text, cap);
			if (!text)
				abort();
		}
		got = recv(fd, text + len, ANSWER_CHUNK, 0);
		if (got > 0)
			len += (size_t)got;
	} while (got > 0);
	text[len] = '\0';
	return text;
}

static void send_body(int fd, const char *body, size_t len, unsigned pause_ms)
{
	size_t n_last = len && pause_ms;

	if (send_all(fd, body, len - n_last) || !n_last)
		return;
	poll(NULL, 0, (int)pause_ms);
	send_all(fd, body + len - n_last, n_last);
}

char *http_exchange(const char *addr, const char *head, const char *body,
		    size_t body_len, unsigned pause_ms)
{
	int fd = connect_to(addr);
	char *text;

	if (fd < 0)
		return NULL;
	/* A server may answer and close before it has read everything. */
	if (!send_all(fd, head, strlen(head)))
		send_body(fd, body, body_len, pause_ms);
	text = receive_all(fd);
	close(fd);
	return text;
}
