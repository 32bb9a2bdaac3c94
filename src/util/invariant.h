/*
 * Invariants that are also checked in release builds. A violation ends the
 * process before it can act on invalid state: the peers take over, and nothing
 * is started twice.
 */
#ifndef UTIL_INVARIANT_H
#define UTIL_INVARIANT_H

void invariant_failed(const char *file, int line, const char *text)
	__attribute__((noreturn));

#define invariant(cond)                                              \
	do {                                                         \
		if (!(cond))                                         \
			invariant_failed(__FILE__, __LINE__, #cond); \
	} while (0)

#endif
