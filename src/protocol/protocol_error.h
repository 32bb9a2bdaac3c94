/* Status codes of the protocol layer and the message of the last failure. */
#ifndef PROTOCOL_ERROR_H
#define PROTOCOL_ERROR_H

enum protocol_status {
	PROTOCOL_OK = 0,
	PROTOCOL_SYNTAX,
	PROTOCOL_RANGE,
	PROTOCOL_TRUNCATED,
	PROTOCOL_TYPE
};

/* Stores the message and returns `st`, for use in a return statement. */
enum protocol_status protocol_fail(enum protocol_status st, const char *fmt,
				   ...) __attribute__((format(printf, 2, 3)));

/* Returns the message of the last failure, never NULL. */
const char *protocol_last_error(void);

#endif
