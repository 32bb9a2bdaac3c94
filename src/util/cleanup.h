/*
 * Cleanup attributes. The memory that a variable with such an attribute points
 * to is freed when the variable goes out of scope. The variable must be
 * initialised, with NULL if it has no value yet.
 */
#ifndef UTIL_CLEANUP_H
#define UTIL_CLEANUP_H

#include <stdlib.h>

static inline void cleanup_free(void *p)
{
	free(*(void **)p);
}

#define auto_free __attribute__((cleanup(cleanup_free)))

/*
 * Takes the ownership from an auto_ variable: returns its value and sets the
 * variable to NULL.
 */
#define take_ptr(p)                         \
	({                                  \
		__typeof__(p) taken_ = (p); \
		(p) = NULL;                 \
		taken_;                     \
	})

#endif
