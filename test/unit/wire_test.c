/* Tests of writing and reading messages, with damaged and oversized ones. */
#include <string.h>

#include "protocol/wire.h"
#include "unit.h"
#include "util/rng.h"

static void write_sample(struct wire_out *w)
{
	wire_begin(w, SYC_PEER_SUBMIT, 5);
	wire_put_u64(w, 1ULL << 63);
	wire_put_i64(w, -5);
	wire_put_str(w, "caller");
	wire_put_array(w, 2);
	wire_put_bytes(w, "ab", 2);
	wire_put_bytes(w, "", 0);
	wire_put_bool(w, true);
}

static bool read_sample(struct syc_bytes msg)
{
	struct wire_in w;
	char name[8];
	bool ok;

	ok = wire_open(&w, msg) == SYC_PEER_SUBMIT;
	ok = wire_u64(&w) == 1ULL << 63 && ok;
	ok = wire_i64(&w) == -5 && ok;
	wire_str(&w, name, sizeof(name));
	ok = !strcmp(name, "caller") && ok;
	ok = wire_enter(&w, 2) == 2 && ok;
	ok = wire_view(&w).n == 2 && ok;
	ok = wire_view(&w).n == 0 && ok;
	wire_leave(&w);
	ok = wire_bool(&w) && ok;
	return wire_close(&w) && ok;
}

static void round_trip(void)
{
	auto_wire_out struct wire_out w;

	write_sample(&w);
	CU_ASSERT_TRUE(read_sample(wire_bytes(&w)));
}

/* The unpacker leaves the pointer of an empty string NULL. */
static void empty_string_is_read(void)
{
	auto_wire_out struct wire_out w;
	struct wire_in in;
	char name[4] = "x";

	wire_begin(&w, SYC_PEER_SUBMIT, 1);
	wire_put_str(&w, "");
	wire_open(&in, wire_bytes(&w));
	wire_str(&in, name, sizeof(name));
	CU_ASSERT_TRUE(wire_close(&in));
	CU_ASSERT_STRING_EQUAL(name, "");
}

static void oversized_fields_are_refused(void)
{
	auto_wire_out struct wire_out w;
	struct wire_in in;
	char name[6];

	write_sample(&w);
	wire_open(&in, wire_bytes(&w));
	wire_u64(&in);
	wire_i64(&in);
	wire_str(&in, name, sizeof(name));
	CU_ASSERT_FALSE(wire_close(&in));
	wire_open(&in, wire_bytes(&w));
	wire_u64(&in);
	wire_i64(&in);
	wire_str(&in, (char[8]){0}, 8);
	CU_ASSERT_EQUAL(wire_enter(&in, 1), 0);
	CU_ASSERT_FALSE(wire_close(&in));
}

/* Truncated messages are refused, and changed bytes cause no invalid access. */
static void damaged_messages_are_refused(void)
{
	auto_wire_out struct wire_out w;
	struct rng r = {11};
	char copy[256];
	struct syc_bytes msg;
	size_t i, cut;

	write_sample(&w);
	msg = wire_bytes(&w);
	CU_ASSERT_FATAL(msg.n < sizeof(copy));
	for (cut = 0; cut < msg.n; cut++) {
		struct syc_bytes part = {msg.p, cut};

		CU_ASSERT_FALSE(read_sample(part));
	}
	for (i = 0; i < 20000; i++) {
		struct syc_bytes bad = {copy, msg.n};

		memcpy(copy, msg.p, msg.n);
		copy[rng_below(&r, msg.n)] = (char)rng_next(&r);
		copy[rng_below(&r, msg.n)] = (char)rng_next(&r);
		read_sample(bad);
	}
}

SUITE(wire)
{
	TEST(round_trip);
	TEST(empty_string_is_read);
	TEST(oversized_fields_are_refused);
	TEST(damaged_messages_are_refused);
}
