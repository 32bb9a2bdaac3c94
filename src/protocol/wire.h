/*
 * Packs and unpacks messages between instances with msgpack. A message is an
 * array of the type and its fields in order. The reader never reads past the
 * array. It records a failure, so callers check only once, in wire_close.
 */
#ifndef PROTOCOL_WIRE_H
#define PROTOCOL_WIRE_H

#include <msgpack.h>
#include <stdbool.h>

#include "sycamoreshore/peer_type.h"
#include "sycamoreshore/types.h"

/* Writes one message. Free with wire_free. */
struct wire_out {
	msgpack_sbuffer buf;
	msgpack_packer pk;
};

/* Begins a message of `type` with `n_fields` further fields. */
void wire_begin(struct wire_out *w, enum syc_peer_type type, size_t n_fields);
void wire_put_u64(struct wire_out *w, uint64_t v);
void wire_put_i64(struct wire_out *w, int64_t v);
void wire_put_bool(struct wire_out *w, bool v);
void wire_put_str(struct wire_out *w, const char *s);
void wire_put_bytes(struct wire_out *w, const void *p, size_t n);
/* Begins a field that is an array of `n` elements, which follow. */
void wire_put_array(struct wire_out *w, size_t n);
/* The bytes written so far; valid until the next write. */
struct syc_bytes wire_bytes(const struct wire_out *w);
void wire_free(struct wire_out *w);

#define auto_wire_out __attribute__((cleanup(wire_free)))

/* Reads one message; views point into the bytes given to wire_open. */
struct wire_in {
	msgpack_unpacked msg;
	const msgpack_object *stack[8]; /* open arrays, outermost first */
	uint32_t index[8]; /* of the next element of each open array */
	int depth; /* index of the innermost open array; -1: none */
	bool failed;
};

/*
 * Opens a message and returns its type, or zero when it is malformed. The
 * functions below read the next element; on a failure they set `failed` and
 * return zero, false or no bytes.
 */
int wire_open(struct wire_in *w, struct syc_bytes msg);
uint64_t wire_u64(struct wire_in *w);
int64_t wire_i64(struct wire_in *w);
bool wire_bool(struct wire_in *w);
/* Copies a string; fails when it has more than `size` - 1 bytes or a NUL. */
void wire_str(struct wire_in *w, char *dst, size_t size);
/* Returns a view of a byte string. */
struct syc_bytes wire_view(struct wire_in *w);
/* Copies a byte string; fails when its length is not `n`. */
void wire_fixed(struct wire_in *w, void *dst, size_t n);
/* Whether the open array has a further element, as of a newer version. */
bool wire_has_more(const struct wire_in *w);
/*
 * Enters an array and returns its number of elements; fails when there are
 * more than `max`. The caller leaves the array with wire_leave.
 */
uint32_t wire_enter(struct wire_in *w, uint32_t max);
void wire_leave(struct wire_in *w);
/* Frees the reader; returns whether all reads succeeded. Call it once. */
bool wire_close(struct wire_in *w);

/* Returns the type of a message; zero when it is malformed. */
int wire_type(struct syc_bytes msg);

#endif
