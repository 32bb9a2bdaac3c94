/* Socket addresses, and TCP sockets that listen or connect. */
#ifndef TRANSPORT_ADDRESS_H
#define TRANSPORT_ADDRESS_H

#include <sys/socket.h>

#include "sycamoreshore/types.h"
#include "transport/transport_error.h"

enum {
	ADDR_TEXT_MAX = SYC_IP_MAX + 8 /* bytes of "[ip]:port" */
};

/*
 * Converts an IP address and a port to a socket address. Fails with
 * TRANSPORT_ADDRESS if `addr->ip` is not an IP address.
 */
enum transport_status addr_to_sock(const struct syc_addr *addr,
				   struct sockaddr_storage *ss, socklen_t *len);

/* Converts a socket address to an IP address and a port. */
void addr_from_sock(struct syc_addr *addr, const struct sockaddr_storage *ss);

bool addr_equal(const struct syc_addr *a, const struct syc_addr *b);

/* Writes "ip:port", or "[ip]:port" for IPv6, as URLs and logs need it. */
void addr_format(const struct syc_addr *addr, char out[ADDR_TEXT_MAX]);

/*
 * Listens on `addr` and sets `*port` to the bound port. Port 0 selects a free
 * port. Fails with TRANSPORT_ADDRESS, TRANSPORT_IN_USE or TRANSPORT_SYSTEM.
 */
enum transport_status addr_listen(const struct syc_addr *addr, int *fd,
				  uint16_t *port);

/*
 * Starts to connect to `addr` without blocking. Returns the descriptor, or
 * -1 with errno set.
 */
int addr_connect(const struct syc_addr *addr);

/*
 * Sets TCP options so that small writes are sent at once and the connection
 * ends when the other side no longer answers.
 */
void addr_set_tcp_options(int fd);

#endif
