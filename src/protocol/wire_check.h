/*
 * Check of msgpack bytes before they are unpacked. The unpacker allocates
 * as many elements as an array header states. This check refuses headers
 * that state more elements than the remaining bytes can hold.
 */
#ifndef PROTOCOL_WIRE_CHECK_H
#define PROTOCOL_WIRE_CHECK_H

#include <stdbool.h>

#include "sycamoreshore/types.h"

/* Whether `msg` is one complete msgpack value whose lengths are correct. */
bool wire_check(struct syc_bytes msg);

#endif
