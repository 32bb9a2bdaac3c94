#include "coordination/coordination_error.h"
#include "util/errmsg.h"

static struct errmsg last_error;

enum coordination_status coordination_fail(enum coordination_status status,
					   const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	errmsg_set(&last_error, fmt, ap);
	va_end(ap);
	return status;
}

const char *coordination_last_error(void)
{
	return last_error.text;
}
