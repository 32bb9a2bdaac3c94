#include "transport/transport_error.h"
#include "util/errmsg.h"

static struct errmsg last;

enum transport_status transport_fail(enum transport_status st, const char *fmt,
				     ...)
{
	va_list ap;

	va_start(ap, fmt);
	errmsg_set(&last, fmt, ap);
	va_end(ap);
	return st;
}

const char *transport_last_error(void)
{
	return last.text;
}
