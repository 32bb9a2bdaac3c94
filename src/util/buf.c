#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"
#include "util/buf.h"

static void reserve(struct buf *b, size_t more)
{
	size_t cap = b->cap ? b->cap : 64;

	while (cap < b->len + more + 1)
		cap *= 2;
	if (cap == b->cap)
		return;
	b->data = xrealloc(b->data, cap);
	b->cap = cap;
}

void buf_add(struct buf *b, const void *p, size_t n)
{
	reserve(b, n);
	if (n)
		memcpy(b->data + b->len, p, n);
	b->len += n;
	b->data[b->len] = '\0';
}

void buf_puts(struct buf *b, const char *s)
{
	buf_add(b, s, strlen(s));
}

void buf_printf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	reserve(b, (size_t)n);
	va_start(ap, fmt);
	vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
}

void buf_consume(struct buf *b, size_t n)
{
	if (n >= b->len) {
		b->len = 0;
		return;
	}
	memmove(b->data, b->data + n, b->len - n);
	b->len -= n;
	b->data[b->len] = '\0';
}

void buf_free(struct buf *b)
{
	free(b->data);
	b->data = NULL;
	b->len = 0;
	b->cap = 0;
}
