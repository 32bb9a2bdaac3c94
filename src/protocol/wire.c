#include <string.h>

#include "protocol/wire.h"
#include "protocol/wire_check.h"

enum { DEPTH_MAX = 8 };

void wire_begin(struct wire_out *w, enum syc_peer_type type, size_t n_fields)
{
	msgpack_sbuffer_init(&w->buf);
	msgpack_packer_init(&w->pk, &w->buf, msgpack_sbuffer_write);
	msgpack_pack_array(&w->pk, n_fields + 1);
	msgpack_pack_uint64(&w->pk, type);
}

void wire_put_u64(struct wire_out *w, uint64_t v)
{
	msgpack_pack_uint64(&w->pk, v);
}

void wire_put_i64(struct wire_out *w, int64_t v)
{
	msgpack_pack_int64(&w->pk, v);
}

void wire_put_bool(struct wire_out *w, bool v)
{
	if (v)
		msgpack_pack_true(&w->pk);
	else
		msgpack_pack_false(&w->pk);
}

void wire_put_str(struct wire_out *w, const char *s)
{
	size_t n = strlen(s);

	msgpack_pack_str(&w->pk, n);
	msgpack_pack_str_body(&w->pk, s, n);
}

void wire_put_bytes(struct wire_out *w, const void *p, size_t n)
{
	msgpack_pack_bin(&w->pk, n);
	if (n)
		msgpack_pack_bin_body(&w->pk, p, n);
}

void wire_put_array(struct wire_out *w, size_t n)
{
	msgpack_pack_array(&w->pk, n);
}

struct syc_bytes wire_bytes(const struct wire_out *w)
{
	struct syc_bytes b = {w->buf.data, w->buf.size};

	return b;
}

void wire_free(struct wire_out *w)
{
	msgpack_sbuffer_destroy(&w->buf);
}

int wire_open(struct wire_in *w, struct syc_bytes msg)
{
	size_t off = 0;
	uint64_t type;

	memset(w, 0, sizeof(*w));
	msgpack_unpacked_init(&w->msg);
	w->depth = -1;
	if (!wire_check(msg) ||
	    msgpack_unpack_next(&w->msg, msg.p, msg.n, &off) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    off != msg.n || w->msg.data.type != MSGPACK_OBJECT_ARRAY) {
		w->failed = true;
		return 0;
	}
	w->depth = 0;
	w->stack[0] = &w->msg.data;
	type = wire_u64(w);
	if (w->failed || type > INT32_MAX)
		return 0;
	return (int)type;
}

/*
 * Returns the next element of the open array. Fails and returns NULL when
 * there is none or when it is not of `type`.
 */
static const msgpack_object *next_element(struct wire_in *w,
					  msgpack_object_type type)
{
	const msgpack_object *arr, *obj;

	if (w->failed || w->depth < 0)
		return NULL;
	arr = w->stack[w->depth];
	if (w->index[w->depth] >= arr->via.array.size) {
		w->failed = true;
		return NULL;
	}
	obj = &arr->via.array.ptr[w->index[w->depth]++];
	if (obj->type == type)
		return obj;
	w->failed = true;
	return NULL;
}

bool wire_has_more(const struct wire_in *w)
{
	return !w->failed && w->depth >= 0 &&
	       w->index[w->depth] < w->stack[w->depth]->via.array.size;
}

uint64_t wire_u64(struct wire_in *w)
{
	const msgpack_object *o = next_element(w,
					       MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

int64_t wire_i64(struct wire_in *w)
{
	const msgpack_object *arr;

	if (w->failed || w->depth < 0)
		return 0;
	arr = w->stack[w->depth];
	if (w->index[w->depth] < arr->via.array.size &&
	    arr->via.array.ptr[w->index[w->depth]].type ==
		    MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return arr->via.array.ptr[w->index[w->depth]++].via.i64;
	return (int64_t)wire_u64(w);
}

bool wire_bool(struct wire_in *w)
{
	const msgpack_object *o = next_element(w, MSGPACK_OBJECT_BOOLEAN);

	return o ? o->via.boolean : false;
}

void wire_str(struct wire_in *w, char *dst, size_t size)
{
	const msgpack_object *o = next_element(w, MSGPACK_OBJECT_STR);
	size_t n;

	dst[0] = '\0';
	if (!o)
		return;
	n = o->via.str.size;
	/* The unpacker sets no pointer for an empty string; it is NULL. */
	if (n >= size || (n && memchr(o->via.str.ptr, '\0', n))) {
		w->failed = true;
		return;
	}
	if (n)
		memcpy(dst, o->via.str.ptr, n);
	dst[n] = '\0';
}

struct syc_bytes wire_view(struct wire_in *w)
{
	const msgpack_object *o = next_element(w, MSGPACK_OBJECT_BIN);
	struct syc_bytes b = {NULL, 0};

	if (o) {
		b.p = o->via.bin.ptr;
		b.n = o->via.bin.size;
	}
	return b;
}

void wire_fixed(struct wire_in *w, void *dst, size_t n)
{
	struct syc_bytes b = wire_view(w);

	if (b.p && b.n == n) {
		memcpy(dst, b.p, n);
		return;
	}
	memset(dst, 0, n);
	w->failed = true;
}

uint32_t wire_enter(struct wire_in *w, uint32_t max)
{
	const msgpack_object *o = next_element(w, MSGPACK_OBJECT_ARRAY);

	if (!o)
		return 0;
	if (o->via.array.size > max || w->depth + 1 >= DEPTH_MAX) {
		w->failed = true;
		return 0;
	}
	w->depth++;
	w->stack[w->depth] = o;
	w->index[w->depth] = 0;
	return o->via.array.size;
}

void wire_leave(struct wire_in *w)
{
	if (w->failed)
		return;
	if (w->depth > 0)
		w->depth--;
	else
		w->failed = true;
}

bool wire_close(struct wire_in *w)
{
	msgpack_unpacked_destroy(&w->msg);
	return !w->failed;
}

int wire_type(struct syc_bytes msg)
{
	struct wire_in w;
	int type = wire_open(&w, msg);

	wire_close(&w);
	return type;
}
