/* A blocking HTTP exchange over a new connection. */
#ifndef TEST_HTTP_EXCHANGE_H
#define TEST_HTTP_EXCHANGE_H

#include <stddef.h>

/*
 * Connects to `addr`, an IP:PORT, sends `head` and `body` unchanged and
 * returns all bytes received until the connection ends. It waits for `pause_ms`
 * before it sends the last byte. The caller frees the result, which is NULL when
 * the connection cannot be opened.
 */
char *http_exchange(const char *addr, const char *head, const char *body,
		    size_t body_len, unsigned pause_ms);

#endif
