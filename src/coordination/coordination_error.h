/* Status codes of the coordination layer and the last error message. */
#ifndef COORDINATION_ERROR_H
#define COORDINATION_ERROR_H

enum coordination_status {
	COORDINATION_OK = 0,
	COORDINATION_STALE,
	COORDINATION_CONFLICT,
	COORDINATION_UNAVAILABLE,
	COORDINATION_BAD_VALUE
};

/* Stores the message and returns `status`, so that callers can return it. */
enum coordination_status coordination_fail(enum coordination_status status,
					   const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Returns the message of the last failure; never NULL. */
const char *coordination_last_error(void);

#endif
