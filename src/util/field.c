#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"
#include "util/field.h"
#include "util/log.h"

enum { MILLI = 1000 /* thousandths in one */ };

bool field_name_valid(const char *name)
{
	size_t n = strlen(name);

	return n && n < SYC_NAME_MAX && name[0] != '-' && name[0] != '.' &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789._-") == n;
}

static bool is_ip(const char *text)
{
	unsigned char out[16];

	return inet_pton(AF_INET, text, out) == 1 ||
	       inet_pton(AF_INET6, text, out) == 1;
}

static bool parse_number(const char *text, uint64_t min, uint64_t max,
			 uint64_t *val)
{
	char *end;

	if (!isdigit((unsigned char)text[0]))
		return false;
	errno = 0;
	*val = strtoull(text, &end, 10);
	return !errno && !*end && *val >= min && *val <= max;
}

bool field_parse_addr(const char *text, struct syc_addr *addr)
{
	const char *colon = strrchr(text, ':');
	struct syc_addr a = {0};
	uint64_t port;
	size_t n;

	if (!colon || !parse_number(colon + 1, 0, UINT16_MAX, &port))
		return false;
	n = (size_t)(colon - text);
	if (n > 2 && text[0] == '[' && colon[-1] == ']') {
		text++;
		n -= 2;
	} else if (memchr(text, ':', n)) {
		return false;
	}
	if (!n || n >= sizeof(a.ip))
		return false;
	memcpy(a.ip, text, n);
	a.port = (uint16_t)port;
	if (!is_ip(a.ip))
		return false;
	*addr = a;
	return true;
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

bool field_parse_hex(const char *text, uint8_t *out, size_t n)
{
	size_t i;

	if (strlen(text) != 2 * n)
		return false;
	for (i = 0; i < n; i++) {
		int hi = hex_digit(text[2 * i]);
		int lo = hex_digit(text[2 * i + 1]);

		if (hi < 0 || lo < 0)
			return false;
		out[i] = (uint8_t)(hi << 4 | lo);
	}
	return true;
}

static bool set_number(const struct field *f, char *dst, const char *value)
{
	uint64_t val;
	uint32_t val32;

	if (!parse_number(value, f->min, f->max, &val))
		return false;
	val32 = (uint32_t)val;
	if (f->type == FIELD_U32)
		memcpy(dst, &val32, sizeof(val32));
	else
		memcpy(dst, &val, sizeof(val));
	return true;
}

static bool set_milli(const struct field *f, char *dst, const char *value)
{
	uint32_t milli;
	double val;
	char *end;

	if (!isdigit((unsigned char)value[0]) ||
	    strspn(value, "0123456789.") != strlen(value))
		return false;
	val = strtod(value, &end);
	if (*end || val < (double)f->min || val > (double)f->max)
		return false;
	milli = (uint32_t)(val * MILLI + 0.5);
	memcpy(dst, &milli, sizeof(milli));
	return true;
}

static bool set_bool(char *dst, const char *value)
{
	bool yes = !strcmp(value, "yes");

	if (!yes && strcmp(value, "no"))
		return false;
	memcpy(dst, &yes, sizeof(yes));
	return true;
}

static bool set_text(char *dst, size_t size, const char *value)
{
	if (strlen(value) >= size)
		return false;
	copy_text(dst, size, value);
	return true;
}

static bool set_value(const struct field *f, char *dst, const char *value)
{
	switch (f->type) {
	case FIELD_NAME:
		return field_name_valid(value) &&
		       set_text(dst, SYC_NAME_MAX, value);
	case FIELD_TEXT:
		return strlen(value) >= f->min &&
		       set_text(dst, (size_t)f->max, value);
	case FIELD_U32:
	case FIELD_U64:
		return set_number(f, dst, value);
	case FIELD_MILLI:
		return set_milli(f, dst, value);
	case FIELD_BOOL:
		return set_bool(dst, value);
	case FIELD_HEX:
		return field_parse_hex(value, (uint8_t *)dst, (size_t)f->max);
	case FIELD_IP:
		return (!*value || is_ip(value)) &&
		       set_text(dst, SYC_IP_MAX, value);
	case FIELD_ADDR:
		return field_parse_addr(value, (struct syc_addr *)(void *)dst);
	case FIELD_LEVEL:
		return log_level_parse(value, (enum log_level *)(void *)dst);
	}
	return false;
}

bool field_set(const struct field *table, void *base, uint64_t *seen,
	       const struct ini_pos *pos, const char *key, const char *value)
{
	char allowed[96];
	size_t i;

	for (i = 0; table[i].key && strcmp(table[i].key, key); i++)
		;
	if (!table[i].key)
		return ini_fail(pos, "unknown key '%s'", key);
	if (!set_value(&table[i], (char *)base + table[i].offset, value)) {
		field_describe(&table[i], allowed, sizeof(allowed));
		return ini_fail(pos, "%s = '%.40s' is not %s", key, value,
				allowed);
	}
	*seen |= 1ULL << i;
	return true;
}

bool field_apply_defaults(const struct field *table, void *base, uint64_t seen,
			  const struct ini_pos *pos, const char *section)
{
	size_t i;

	for (i = 0; table[i].key; i++) {
		if (seen & 1ULL << i)
			continue;
		if (!table[i].default_text)
			return ini_fail(pos, "key '%s' missing in [%s]",
					table[i].key, section);
		if (!field_set(table, base, &seen, pos, table[i].key,
			       table[i].default_text))
			return false;
	}
	return true;
}

void field_describe(const struct field *f, char *out, size_t n)
{
	switch (f->type) {
	case FIELD_NAME:
		snprintf(out, n, "a name of 1 to 31 of a-z 0-9 . _ -");
		break;
	case FIELD_TEXT:
		snprintf(out, n, "text of %d to %d bytes", (int)f->min,
			 (int)f->max - 1);
		break;
	case FIELD_U32:
	case FIELD_U64:
		snprintf(out, n, "a number from %" PRIu64 " to %" PRIu64,
			 f->min, f->max);
		break;
	case FIELD_MILLI:
		snprintf(out, n,
			 "a decimal number from %" PRIu64 " to %" PRIu64,
			 f->min, f->max);
		break;
	case FIELD_BOOL:
		snprintf(out, n, "yes or no");
		break;
	case FIELD_HEX:
		snprintf(out, n, "%d lower-case hexadecimal digits",
			 (int)f->max * 2);
		break;
	case FIELD_IP:
		snprintf(out, n, "an IP address or nothing");
		break;
	case FIELD_ADDR:
		snprintf(out, n, "ip:port or [ip]:port");
		break;
	case FIELD_LEVEL:
		snprintf(out, n, "error, warn, info or debug");
		break;
	}
}
