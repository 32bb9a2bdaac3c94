#include <stdio.h>

#include "util/errmsg.h"

void errmsg_set(struct errmsg *e, const char *fmt, va_list ap)
{
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
}
