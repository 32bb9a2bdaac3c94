#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "transport/address.h"
#include "util/alloc.h"

enum {
	LISTEN_BACKLOG = 1024, /* connections not yet accepted */
	KEEPALIVE_IDLE_S = 5,
	KEEPALIVE_INTERVAL_S = 2,
	KEEPALIVE_PROBES = 3,
	UNACKED_TIMEOUT_MS = 10000 /* then the connection is closed */
};

enum transport_status addr_to_sock(const struct syc_addr *addr,
				   struct sockaddr_storage *ss, socklen_t *len)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)ss;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)ss;

	memset(ss, 0, sizeof(*ss));
	*len = 0;
	if (inet_pton(AF_INET, addr->ip, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(addr->port);
		*len = sizeof(*v4);
		return TRANSPORT_OK;
	}
	if (inet_pton(AF_INET6, addr->ip, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(addr->port);
		*len = sizeof(*v6);
		return TRANSPORT_OK;
	}
	return transport_fail(TRANSPORT_ADDRESS, "'%s' is not an IP address",
			      addr->ip);
}

void addr_from_sock(struct syc_addr *addr, const struct sockaddr_storage *ss)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)ss;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)ss;

	memset(addr, 0, sizeof(*addr));
	if (ss->ss_family == AF_INET) {
		inet_ntop(AF_INET, &v4->sin_addr, addr->ip, SYC_IP_MAX);
		addr->port = ntohs(v4->sin_port);
	} else if (ss->ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &v6->sin6_addr, addr->ip, SYC_IP_MAX);
		addr->port = ntohs(v6->sin6_port);
	}
}

bool addr_equal(const struct syc_addr *a, const struct syc_addr *b)
{
	return a->port == b->port && !strcmp(a->ip, b->ip);
}

void addr_format(const struct syc_addr *addr, char out[ADDR_TEXT_MAX])
{
	const char *fmt = strchr(addr->ip, ':') ? "[%s]:%u" : "%s:%u";

	snprintf(out, ADDR_TEXT_MAX, fmt, addr->ip, (unsigned)addr->port);
}

static enum transport_status fail_listen(const struct syc_addr *addr, int fd)
{
	enum transport_status st = errno == EADDRINUSE ? TRANSPORT_IN_USE
						       : TRANSPORT_SYSTEM;
	char text[ADDR_TEXT_MAX];
	int err = errno;

	addr_format(addr, text);
	if (fd >= 0)
		close(fd);
	return transport_fail(st, "cannot listen on %s: %s", text,
			      strerror(err));
}

enum transport_status addr_listen(const struct syc_addr *addr, int *fd,
				  uint16_t *port)
{
	struct sockaddr_storage ss;
	struct syc_addr bound;
	enum transport_status st;
	socklen_t len;
	int s, on = 1;

	st = addr_to_sock(addr, &ss, &len);
	if (st)
		return st;
	s = socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (s < 0)
		return fail_listen(addr, s);
	setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(s, (struct sockaddr *)&ss, len) || listen(s, LISTEN_BACKLOG))
		return fail_listen(addr, s);
	if (getsockname(s, (struct sockaddr *)&ss, &len))
		return fail_listen(addr, s);
	addr_from_sock(&bound, &ss);
	*fd = s;
	*port = bound.port;
	return TRANSPORT_OK;
}

int addr_connect(const struct syc_addr *addr)
{
	struct sockaddr_storage ss;
	socklen_t len;
	int s, err;

	if (addr_to_sock(addr, &ss, &len)) {
		errno = EINVAL;
		return -1;
	}
	s = socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (s < 0)
		return -1;
	if (!connect(s, (struct sockaddr *)&ss, len) || errno == EINPROGRESS)
		return s;
	err = errno;
	close(s);
	errno = err;
	return -1;
}

static void set_tcp_option(int fd, int name, int val)
{
	setsockopt(fd, IPPROTO_TCP, name, &val, sizeof(val));
}

void addr_set_tcp_options(int fd)
{
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	set_tcp_option(fd, TCP_NODELAY, on);
	set_tcp_option(fd, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_tcp_option(fd, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_tcp_option(fd, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_tcp_option(fd, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS);
}
