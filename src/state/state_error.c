#include "state/state_error.h"
#include "util/errmsg.h"

static struct errmsg last_error;

enum state_status state_fail(enum state_status status, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	errmsg_set(&last_error, fmt, ap);
	va_end(ap);
	return status;
}

const char *state_last_error(void)
{
	return last_error.text;
}
