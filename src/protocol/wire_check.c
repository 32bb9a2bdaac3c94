#include "protocol/wire_check.h"

enum {
	DEPTH_MAX = 8, /* nested arrays */
	FIXARRAY = 0x90, /* from "Formats" in the msgpack specification */
	FIXSTR = 0xa0,
	NIL = 0xc0,
	FALSE_VALUE = 0xc2,
	TRUE_VALUE = 0xc3,
	BIN8 = 0xc4,
	BIN32 = 0xc6,
	UINT8 = 0xcc,
	UINT64 = 0xcf,
	INT8 = 0xd0,
	INT64 = 0xd3,
	STR8 = 0xd9,
	STR32 = 0xdb,
	ARRAY16 = 0xdc,
	ARRAY32 = 0xdd,
	NEGATIVE_FIXINT = 0xe0
};

/* Reads a big-endian number of `width` bytes; false when they are missing. */
static bool read_big_endian(struct syc_bytes *b, size_t width, size_t *len)
{
	const unsigned char *p = b->p;
	size_t i;

	if (b->n < width)
		return false;
	*len = 0;
	for (i = 0; i < width; i++)
		*len = *len << 8 | p[i];
	b->p = p + width;
	b->n -= width;
	return true;
}

static bool skip(struct syc_bytes *b, size_t n)
{
	if (n > b->n)
		return false;
	b->p = (const char *)b->p + n;
	b->n -= n;
	return true;
}

static bool skip_prefixed(struct syc_bytes *b, size_t width)
{
	size_t len;

	return read_big_endian(b, width, &len) && skip(b, len);
}

/*
 * Skips a value. Of an array it skips only the header and sets `*elements`
 * to the length. Types that no message uses (nil, maps, floats, extensions)
 * are refused.
 */
static bool skip_value(struct syc_bytes *b, size_t *elements)
{
	size_t format;

	*elements = 0;
	if (!read_big_endian(b, 1, &format))
		return false;
	if (format < 0x80 || format >= NEGATIVE_FIXINT)
		return true;
	if (format >= FIXSTR && format < NIL)
		return skip(b, format & 0x1f);
	if (format >= FIXARRAY && format < FIXSTR) {
		*elements = format & 0x0f;
		return true;
	}
	if (format == FALSE_VALUE || format == TRUE_VALUE)
		return true;
	if (format >= BIN8 && format <= BIN32)
		return skip_prefixed(b, (size_t)1 << (format - BIN8));
	if (format >= STR8 && format <= STR32)
		return skip_prefixed(b, (size_t)1 << (format - STR8));
	if (format >= UINT8 && format <= UINT64)
		return skip(b, (size_t)1 << (format - UINT8));
	if (format >= INT8 && format <= INT64)
		return skip(b, (size_t)1 << (format - INT8));
	if (format == ARRAY16 || format == ARRAY32)
		return read_big_endian(b, format == ARRAY16 ? 2 : 4, elements);
	return false;
}

bool wire_check(struct syc_bytes msg)
{
	size_t remaining[DEPTH_MAX] = {1}; /* values to skip at each depth */
	size_t elements;
	int depth = 0;

	while (depth >= 0) {
		if (!remaining[depth]) {
			depth--;
			continue;
		}
		remaining[depth]--;
		if (!skip_value(&msg, &elements) || elements > msg.n)
			return false;
		if (!elements)
			continue;
		if (++depth == DEPTH_MAX)
			return false;
		remaining[depth] = elements;
	}
	return !msg.n;
}
