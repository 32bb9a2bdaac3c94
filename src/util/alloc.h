/*
 * Allocation functions that abort the process when memory runs out. That is
 * safe: an instance keeps nothing on disk, and its peers take over.
 */
#ifndef UTIL_ALLOC_H
#define UTIL_ALLOC_H

#include <stddef.h>

void *xcalloc(size_t n, size_t size);
void *xrealloc(void *p, size_t size);
void *xmemdup(const void *p, size_t n);
char *xstrdup(const char *s);

/*
 * Copies `src` into `dst` of `size` bytes. The copy is truncated to fit and
 * always terminated.
 */
void copy_text(char *dst, size_t size, const char *src);

#endif
