/* The status codes of the transport layer, and its last error message. */
#ifndef TRANSPORT_ERROR_H
#define TRANSPORT_ERROR_H

enum transport_status {
	TRANSPORT_OK = 0,
	TRANSPORT_ADDRESS,
	TRANSPORT_IN_USE,
	TRANSPORT_CLOSED,
	TRANSPORT_TOO_LONG,
	TRANSPORT_BAD_PEER,
	TRANSPORT_SYSTEM
};

/* Stores the message and returns `st`, so that callers can return it. */
enum transport_status transport_fail(enum transport_status st, const char *fmt,
				     ...) __attribute__((format(printf, 2, 3)));

/* Returns the message of the last failure; never NULL. */
const char *transport_last_error(void);

#endif
