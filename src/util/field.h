/*
 * Typed fields of an INI section: one table states each key's type, range,
 * unit, default and help; values are checked and stored by offset.
 */
#ifndef UTIL_FIELD_H
#define UTIL_FIELD_H

#include <stdint.h>

#include "util/ini_text.h"

enum field_type {
	FIELD_NAME, /* char[SYC_NAME_MAX]: a-z, 0-9, '.', '_', '-' */
	FIELD_TEXT, /* char[max]; `max` counts the terminator */
	FIELD_U32,
	FIELD_U64,
	FIELD_BOOL, /* yes or no */
	FIELD_HEX, /* uint8_t[max] as hexadecimal */
	FIELD_IP, /* char[SYC_IP_MAX]; empty: none */
	FIELD_ADDR, /* struct syc_addr as ip:port or [ip]:port */
	FIELD_LEVEL /* enum log_level */
};

struct field {
	const char *key; /* NULL ends a table */
	enum field_type type;
	size_t offset;
	uint64_t min;
	uint64_t max;
	const char *unit; /* or NULL */
	const char *default_text; /* NULL: the key must be given */
	const char *help;
};

/* Whether `name` is 1 to 31 bytes of a-z, 0-9, '.', '_' and '-'. */
bool field_name_valid(const char *name);

/* Reads "ip:port" or "[ip]:port". Returns false when it is neither. */
bool field_parse_addr(const char *text, struct syc_addr *addr);

/* Reads exactly `n` bytes of hexadecimal. */
bool field_parse_hex(const char *text, uint8_t *out, size_t n);

/*
 * Stores `value` into the field named `key` of `base` and sets its bit in
 * `seen`. Returns false with a message on an unknown key or a bad value.
 */
bool field_set(const struct field *table, void *base, uint64_t *seen,
	       const struct ini_pos *pos, const char *key, const char *value);

/* Fills in the defaults of what was not seen; false when a key is missing. */
bool field_apply_defaults(const struct field *table, void *base, uint64_t seen,
			  const struct ini_pos *pos, const char *section);

/* The type in words, with the range where there is one. */
void field_describe(const struct field *f, char *out, size_t n);

#endif
