#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

static void *require_memory(void *p)
{
	if (p)
		return p;
	fputs("sycamoreshore: out of memory\n", stderr);
	abort();
}

void *xcalloc(size_t n, size_t size)
{
	return require_memory(calloc(n ? n : 1, size ? size : 1));
}

void *xrealloc(void *p, size_t size)
{
	return require_memory(realloc(p, size ? size : 1));
}

void *xmemdup(const void *p, size_t n)
{
	void *copy = require_memory(malloc(n ? n : 1));

	if (n)
		memcpy(copy, p, n);
	return copy;
}

char *xstrdup(const char *s)
{
	return xmemdup(s, strlen(s) + 1);
}

void copy_text(char *dst, size_t size, const char *src)
{
	size_t n = strnlen(src, size - 1);

	memmove(dst, src, n);
	dst[n] = '\0';
}
