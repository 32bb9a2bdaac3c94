/*
 * A growing byte buffer. A NUL byte always follows its content, so that
 * `data` can be read as a string.
 */
#ifndef UTIL_BUF_H
#define UTIL_BUF_H

#include <stddef.h>

struct buf {
	char *data; /* NULL until the first addition */
	size_t len;
	size_t cap;
};

void buf_add(struct buf *b, const void *p, size_t n);
void buf_puts(struct buf *b, const char *s);
void buf_printf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Removes the first `n` bytes. */
void buf_consume(struct buf *b, size_t n);
void buf_free(struct buf *b);

#define auto_buf __attribute__((cleanup(buf_free)))

#endif
