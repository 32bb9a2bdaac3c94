/* Status codes of calls into the state layer and the last error message. */
#ifndef STATE_ERROR_H
#define STATE_ERROR_H

enum state_status {
	STATE_OK = 0,
	STATE_SYNTAX,
	STATE_RANGE,
	STATE_SIGNATURE,
	STATE_UNKNOWN_NAME,
	STATE_FULL
};

/* Stores the message and returns `status`. */
enum state_status state_fail(enum state_status status, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* The message of the last failure; never NULL. */
const char *state_last_error(void);

#endif
