#include <stdio.h>
#include <stdlib.h>

#include "util/invariant.h"

void invariant_failed(const char *file, int line, const char *text)
{
	fprintf(stderr, "sycamoreshore: invariant broken at %s:%d: %s\n", file,
		line, text);
	abort();
}
