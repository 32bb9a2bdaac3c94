/*
 * Parses a JSON text that holds items of several writers. An item that cannot be
 * parsed, because of its nesting, its numbers or the bytes of its texts, is
 * replaced by null, so that it does not cost the others.
 */
#ifndef PROTOCOL_JSON_ITEMS_H
#define PROTOCOL_JSON_ITEMS_H

#include <jansson.h>

#include "sycamoreshore/types.h"

/*
 * An item is an object or array that stands in `depth` others. Returns NULL, and
 * sets `err` unless it is NULL, if the text around the items cannot be parsed.
 */
json_t *json_load_items(struct syc_bytes text, unsigned depth, size_t flags,
			json_error_t *err);

#endif
