/*
 * Typed fields of an INI section. A table states the type, range, unit, default
 * and help text of each key. Values are checked and stored at the offset of
 * the field.
 */
#ifndef UTIL_FIELD_H
#define UTIL_FIELD_H

#include <stdint.h>

#include "util/ini_text.h"

enum field_type {
	FIELD_NAME, /* char[SYC_NAME_MAX]: a-z, 0-9, '.', '_', '-' */
	FIELD_TEXT, /* char[max], at least `min` bytes and a terminator */
	FIELD_U32, /* uint32_t from `min` to `max` */
	FIELD_U64, /* uint64_t from `min` to `max` */
	/* uint32_t, thousandths of a decimal number from `min` to `max` */
	FIELD_MILLI,
	FIELD_BOOL, /* yes or no */
	FIELD_HEX, /* uint8_t[max] as hexadecimal */
	FIELD_IP, /* char[SYC_IP_MAX], may be empty */
	FIELD_ADDR, /* struct syc_addr as ip:port or [ip]:port */
	FIELD_LEVEL /* enum log_level */
};

struct field {
	const char *key; /* NULL in the entry that ends a table */
	enum field_type type;
	size_t offset;
	uint64_t min;
	uint64_t max;
	const char *unit; /* NULL: none */
	const char *default_text; /* NULL: the key is required */
	const char *help;
};

/*
 * Returns whether `name` is 1 to 31 bytes of a-z, 0-9, '.', '_' and '-' and
 * begins with neither '.' nor '-'.
 */
bool field_name_valid(const char *name);

/* Parses "ip:port" or "[ip]:port". Returns false if `text` is neither. */
bool field_parse_addr(const char *text, struct syc_addr *addr);

/*
 * Parses `n` bytes from exactly 2 * `n` lower-case hexadecimal digits. Returns
 * false if `text` is anything else.
 */
bool field_parse_hex(const char *text, uint8_t *out, size_t n);

/*
 * Stores `value` in the field of `base` that `key` names and sets the bit of
 * the field in `*seen`. Returns false after ini_fail if the key is unknown or
 * the value is invalid.
 */
bool field_set(const struct field *table, void *base, uint64_t *seen,
	       const struct ini_pos *pos, const char *key, const char *value);

/*
 * Stores the default of each field whose bit in `seen` is not set. Returns
 * false after ini_fail if a required key is missing.
 */
bool field_apply_defaults(const struct field *table, void *base, uint64_t seen,
			  const struct ini_pos *pos, const char *section);

/* Writes which values the field allows, with the range if it has one. */
void field_describe(const struct field *f, char *out, size_t n);

#endif
