/* Tests of slot messages: intact, damaged and unexpected ones. */
#include <string.h>

#include "dispatch_fake.h"
#include "state/slot_msgs.h"
#include "unit.h"
#include "util/rng.h"

enum { MESSAGES = 5, ROUNDS = 4000, PEER = 99 };

static void add_demand(struct slot_request *m, const char *caller,
		       uint32_t tasks)
{
	struct slot_demand demand = {0};

	strcpy(demand.caller, caller);
	demand.tasks = tasks;
	buf_add(&m->demands, &demand, sizeof(demand));
}

static void write_request(struct wire_out *w)
{
	struct slot_request m = {.service = "svc", .seq = 1, .sent_at = 5};
	struct slot_held held = {77, 1};

	m.time_limit_ms = 1000;
	add_demand(&m, "a", 3);
	add_demand(&m, "b", 0);
	buf_add(&m.held, &held, sizeof(held));
	slot_request_write(w, &m);
	slot_request_free(&m);
}

static void write_grant(struct wire_out *w)
{
	struct slot_grant m = {.service = "svc", .seq = 1, .echo_seq = 1};
	struct slot_new_grant grant = {.id = 5, .width = 1};
	struct slot_quota quota = {"a", 2};
	uint64_t id = 9;

	strcpy(grant.target, "t0");
	strcpy(grant.caller, "a");
	buf_add(&m.new_grants, &grant, sizeof(grant));
	buf_add(&m.quotas, &quota, sizeof(quota));
	buf_add(&m.not_renewed, &id, sizeof(id));
	slot_grant_write(w, &m);
	slot_grant_free(&m);
}

static void write_return(struct wire_out *w)
{
	struct slot_return m = {.service = "svc", .seq = 2};
	uint64_t id = 9;

	buf_add(&m.ids, &id, sizeof(id));
	buf_add(&m.failed_ids, &id, sizeof(id));
	slot_return_write(w, &m);
	slot_return_free(&m);
}

static void write_handover_request(struct wire_out *w)
{
	struct slot_handover_request m = {.service = "svc", .nonce = 3};
	struct slot_target_name name = {"t0"};

	buf_add(&m.targets, &name, sizeof(name));
	slot_handover_request_write(w, &m);
	slot_handover_request_free(&m);
}

static void write_handover_reply(struct wire_out *w)
{
	struct slot_handover_reply m = {.service = "svc", .nonce = 3};
	struct slot_handover_target target = {"t0", true, 7};
	struct slot_busy busy = {8, PEER, 0, 1, 900};

	buf_add(&m.targets, &target, sizeof(target));
	buf_add(&m.busy, &busy, sizeof(busy));
	slot_handover_reply_write(w, &m);
	slot_handover_reply_free(&m);
}

static void (*const writers[MESSAGES])(struct wire_out *w) = {
	write_request, write_grant, write_return, write_handover_request,
	write_handover_reply};

static void request_survives_round_trip(void)
{
	auto_wire_out struct wire_out w;
	struct slot_request m;

	write_request(&w);
	CU_ASSERT_TRUE(slot_request_read(wire_bytes(&w), &m));
	CU_ASSERT_STRING_EQUAL(m.service, "svc");
	CU_ASSERT_EQUAL(m.time_limit_ms, 1000);
	CU_ASSERT_EQUAL(SLOT_COUNT(&m.demands, struct slot_demand), 2);
	CU_ASSERT_EQUAL(SLOT_LIST(&m.demands, struct slot_demand)[0].tasks, 3);
	CU_ASSERT_EQUAL(SLOT_LIST(&m.held, struct slot_held)[0].id, 77);
	CU_ASSERT_EQUAL(SLOT_LIST(&m.held, struct slot_held)[0].demand_index,
			1);
	slot_request_free(&m);
}

static void each_message_is_accepted(void)
{
	struct fake *f = fake_new(2);
	int i;

	for (i = 0; i < MESSAGES; i++) {
		auto_wire_out struct wire_out w;

		writers[i](&w);
		CU_ASSERT_TRUE(syc_dispatch_receive(f->d, f->now, PEER,
						    wire_bytes(&w)));
	}
	fake_free(f);
}

/* A truncated or altered message does not harm the dispatcher. */
static void damaged_messages_do_no_harm(void)
{
	struct fake *f = fake_new(2);
	struct rng r = {21};
	char copy[512];
	int i, k;

	for (i = 0; i < MESSAGES * ROUNDS; i++) {
		auto_wire_out struct wire_out w;
		struct syc_bytes msg, bad = {copy, 0};

		writers[i % MESSAGES](&w);
		msg = wire_bytes(&w);
		CU_ASSERT_FATAL(msg.n <= sizeof(copy));
		memcpy(copy, msg.p, msg.n);
		bad.n = rng_below(&r, msg.n);
		CU_ASSERT_FALSE(syc_dispatch_receive(f->d, f->now, PEER, bad));
		bad.n = msg.n;
		for (k = 0; k < 2; k++)
			copy[rng_below(&r, msg.n)] = (char)rng_next(&r);
		syc_dispatch_receive(f->d, f->now, PEER, bad);
		if (!rng_below(&r, 50))
			fake_tick(f, 10);
	}
	fake_tick(f, 10000);
	fake_tick(f, 700000);
	fake_submit(f, 1, "a", "job", 8, 0);
	CU_ASSERT_EQUAL(f->n_open, 8);
	fake_free(f);
}

SUITE(dispatch_msgs)
{
	TEST(request_survives_round_trip);
	TEST(each_message_is_accepted);
	TEST(damaged_messages_do_no_harm);
}
