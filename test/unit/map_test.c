/* The map's text and the planner by itself. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/map_plan.h"
#include "unit.h"
#include "util/cleanup.h"
#include "util/rng.h"

enum { STEPS_MAX = 40, RACK_SIZE = 4 };

static struct map current, next;
static struct plan_instance instances[PLAN_INSTANCES_MAX];

static void fill_instances(size_t n)
{
	size_t i;

	memset(instances, 0, sizeof(instances));
	for (i = 0; i < n; i++) {
		instances[i].member.id = i + 1;
		instances[i].is_alive = true;
		instances[i].complete_slices = ~0ULL;
		instances[i].member.addr.port = (uint16_t)(i + 1);
		snprintf(instances[i].member.name, SYC_NAME_MAX, "i%zu", i);
		snprintf(instances[i].member.rack, SYC_NAME_MAX, "r%zu",
			 i / RACK_SIZE);
		strcpy(instances[i].member.addr.ip, "127.0.0.1");
	}
}

static enum plan_result plan(size_t n)
{
	struct plan_input in = {
		.current = &current, .instances = instances, .n = n};

	return map_plan(&in, &next);
}

/* Plans until nothing changes; returns how many changes it took. */
static int settle(size_t n)
{
	int steps = 0;

	while (steps < STEPS_MAX && plan(n) != PLAN_UNCHANGED) {
		current = next;
		steps++;
	}
	return steps;
}

static unsigned load(uint64_t id, bool primary)
{
	unsigned s, n = 0;

	for (s = 0; s < SYC_SLICES; s++)
		n += (primary ? current.slices[s].primary
			      : current.slices[s].backup) == id;
	return n;
}

static void check_balance(size_t n)
{
	unsigned floor = SYC_SLICES / (unsigned)n;
	size_t i;

	for (i = 0; i < n; i++) {
		unsigned p = load(i + 1, true);

		CU_ASSERT_TRUE(p == floor || p == floor + 1);
	}
}

static void plans_settle_in_balance_for_every_size(void)
{
	size_t n;

	for (n = 1; n <= SYC_MEMBERS_MAX; n++) {
		memset(&current, 0, sizeof(current));
		fill_instances(n);
		CU_ASSERT_TRUE(settle(n) < STEPS_MAX);
		check_balance(n);
		CU_ASSERT_EQUAL(current.n_members, n);
	}
}

static void a_joiner_gets_its_share(void)
{
	memset(&current, 0, sizeof(current));
	fill_instances(7);
	settle(7);
	fill_instances(8);
	CU_ASSERT_TRUE(settle(8) < STEPS_MAX);
	check_balance(8);
}

static void backups_stand_in_another_rack(void)
{
	unsigned s;

	memset(&current, 0, sizeof(current));
	fill_instances(8);
	settle(8);
	for (s = 0; s < SYC_SLICES; s++)
		CU_ASSERT_NOT_EQUAL((current.slices[s].primary - 1) / RACK_SIZE,
				    (current.slices[s].backup - 1) / RACK_SIZE);
}

static void an_incomplete_backup_does_not_succeed(void)
{
	struct map_slice was;

	memset(&current, 0, sizeof(current));
	fill_instances(2);
	settle(2);
	was = current.slices[0];
	instances[was.primary - 1].is_alive = false;
	instances[was.backup - 1].complete_slices = 0;
	plan(2);
	CU_ASSERT_EQUAL(next.slices[0].primary, was.primary);
	instances[was.backup - 1].complete_slices = ~0ULL;
	CU_ASSERT_EQUAL(plan(2), PLAN_URGENT);
	CU_ASSERT_EQUAL(next.slices[0].primary, was.backup);
	CU_ASSERT_EQUAL(next.slices[0].primary_epoch, next.epoch);
	CU_ASSERT_EQUAL(next.slices[0].loss_epoch, 0);
}

static void a_loss_is_marked_and_leaps(void)
{
	struct plan_input in = {
		.current = &current, .instances = instances, .n = 3};

	memset(&current, 0, sizeof(current));
	fill_instances(2);
	settle(2);
	fill_instances(3);
	instances[0].is_alive = instances[1].is_alive = false;
	in.epoch_jump = 1000;
	map_plan(&in, &next);
	CU_ASSERT_EQUAL(next.slices[0].loss_epoch, 0);
	CU_ASSERT_EQUAL(next.slices[0].primary, current.slices[0].primary);
	instances[0].has_ended = instances[1].has_ended = true;
	CU_ASSERT_EQUAL(map_plan(&in, &next), PLAN_URGENT);
	CU_ASSERT_EQUAL(next.epoch, current.epoch + 1001);
	CU_ASSERT_EQUAL(next.slices[0].loss_epoch, next.epoch);
	CU_ASSERT_EQUAL(next.slices[0].primary, 3);
	CU_ASSERT_FALSE(map_has_epoch(&next, current.epoch + 1));
	CU_ASSERT_TRUE(map_has_epoch(&next, current.epoch));
	CU_ASSERT_TRUE(map_follows(&current, &next));
	next.ancestors[0].tag++;
	CU_ASSERT_FALSE(map_follows(&current, &next));
}

static enum coordination_status decode(const char *text, size_t n)
{
	struct syc_bytes b = {text, n};
	static struct map m;

	return map_decode(&m, b);
}

static void the_text_reads_back(void)
{
	static struct map back;
	auto_free char *text = NULL;
	struct syc_bytes b;

	memset(&current, 0, sizeof(current));
	fill_instances(5);
	settle(5);
	current.tag = UINT32_MAX;
	text = map_encode(&current);
	b.p = text;
	b.n = strlen(text);
	CU_ASSERT_EQUAL(map_decode(&back, b), COORDINATION_OK);
	CU_ASSERT_EQUAL(memcmp(&back, &current, sizeof(current)), 0);
}

static void bad_text_is_refused(void)
{
	static const char *const bad[] = {
		"",
		"null",
		"[]",
		"{}",
		"{\"epoch\":1}",
		"{\"epoch\":-1,\"tag\":1,\"past\":[],\"members\":[],"
		"\"slices\":[]}",
	};
	auto_free char *text = map_encode(&current);
	auto_free char *copy = strdup(text);
	size_t i, len = strlen(text);
	struct rng r = {5};

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		CU_ASSERT_EQUAL(decode(bad[i], strlen(bad[i])),
				COORDINATION_BAD_VALUE);
	for (i = 0; i < len; i += 7)
		CU_ASSERT_EQUAL(decode(text, i), COORDINATION_BAD_VALUE);
	for (i = 0; i < 2000; i++) {
		memcpy(copy, text, len);
		copy[rng_below(&r, len)] = (char)rng_next(&r);
		decode(copy, len);
	}
	CU_ASSERT_EQUAL(decode(text, MAP_BYTES_MAX + 1),
			COORDINATION_BAD_VALUE);
}

SUITE(map)
{
	TEST(plans_settle_in_balance_for_every_size);
	TEST(a_joiner_gets_its_share);
	TEST(backups_stand_in_another_rack);
	TEST(an_incomplete_backup_does_not_succeed);
	TEST(a_loss_is_marked_and_leaps);
	TEST(the_text_reads_back);
	TEST(bad_text_is_refused);
}
