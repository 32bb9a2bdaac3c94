#include "protocol/protocol_error.h"
#include "util/errmsg.h"

static struct errmsg last;

enum protocol_status protocol_fail(enum protocol_status st, const char *fmt,
				   ...)
{
	va_list ap;

	va_start(ap, fmt);
	errmsg_set(&last, fmt, ap);
	va_end(ap);
	return st;
}

const char *protocol_last_error(void)
{
	return last.text;
}
