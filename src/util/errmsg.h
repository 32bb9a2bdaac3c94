/*
 * The last error message of a layer. Every layer has its own status enum and
 * its own message. A caller in another layer converts the message into one of
 * its own layer.
 */
#ifndef UTIL_ERRMSG_H
#define UTIL_ERRMSG_H

#include <stdarg.h>

struct errmsg {
	char text[256];
};

void errmsg_set(struct errmsg *e, const char *fmt, va_list ap)
	__attribute__((format(printf, 2, 0)));

#endif
