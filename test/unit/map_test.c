/* Tests the stored text of the map, and the planner on its own. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/map_plan.h"
#include "unit.h"
#include "util/cleanup.h"
#include "util/rng.h"

enum { CHANGES_MAX = 40, RACK_SIZE = 4 };

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

/* Adopts plans until the map stays the same. Returns the number of changes. */
static int apply_plans(size_t n)
{
	int changes = 0;

	while (changes < CHANGES_MAX && plan(n) != PLAN_UNCHANGED) {
		current = next;
		changes++;
	}
	return changes;
}

static unsigned count_slices(uint64_t id, bool primary)
{
	unsigned s, n = 0;

	for (s = 0; s < SYC_SLICES; s++)
		n += (primary ? current.slices[s].primary
			      : current.slices[s].backup) == id;
	return n;
}

static void check_balance(size_t n)
{
	unsigned share = SYC_SLICES / (unsigned)n;
	size_t i;

	for (i = 0; i < n; i++) {
		unsigned n_primaries = count_slices(i + 1, true);

		CU_ASSERT_TRUE(n_primaries == share ||
			       n_primaries == share + 1);
	}
}

static void plans_converge_to_balance_for_every_size(void)
{
	size_t n;

	for (n = 1; n <= SYC_MEMBERS_MAX; n++) {
		memset(&current, 0, sizeof(current));
		fill_instances(n);
		CU_ASSERT_TRUE(apply_plans(n) < CHANGES_MAX);
		check_balance(n);
		CU_ASSERT_EQUAL(current.n_members, n);
	}
}

static void new_member_gets_its_share(void)
{
	memset(&current, 0, sizeof(current));
	fill_instances(7);
	apply_plans(7);
	fill_instances(8);
	CU_ASSERT_TRUE(apply_plans(8) < CHANGES_MAX);
	check_balance(8);
}

static void backups_are_in_another_rack(void)
{
	unsigned s;

	memset(&current, 0, sizeof(current));
	fill_instances(8);
	apply_plans(8);
	for (s = 0; s < SYC_SLICES; s++)
		CU_ASSERT_NOT_EQUAL((current.slices[s].primary - 1) / RACK_SIZE,
				    (current.slices[s].backup - 1) / RACK_SIZE);
}

static void incomplete_backup_does_not_become_primary(void)
{
	struct map_slice before;

	memset(&current, 0, sizeof(current));
	fill_instances(2);
	apply_plans(2);
	before = current.slices[0];
	instances[before.primary - 1].is_alive = false;
	instances[before.backup - 1].complete_slices = 0;
	plan(2);
	CU_ASSERT_EQUAL(next.slices[0].primary, before.primary);
	instances[before.backup - 1].complete_slices = ~0ULL;
	CU_ASSERT_EQUAL(plan(2), PLAN_URGENT);
	CU_ASSERT_EQUAL(next.slices[0].primary, before.backup);
	CU_ASSERT_EQUAL(next.slices[0].primary_epoch, next.epoch);
	CU_ASSERT_EQUAL(next.slices[0].loss_epoch, 0);
}

static void loss_is_marked_and_jumps_the_epoch(void)
{
	struct plan_input in = {
		.current = &current, .instances = instances, .n = 3};

	memset(&current, 0, sizeof(current));
	fill_instances(2);
	apply_plans(2);
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
	struct syc_bytes encoded = {text, n};
	static struct map m;

	return map_decode(&m, encoded);
}

static void encoded_map_decodes_to_the_same_map(void)
{
	static struct map decoded;
	auto_free char *text = NULL;
	struct syc_bytes encoded;

	memset(&current, 0, sizeof(current));
	fill_instances(5);
	apply_plans(5);
	current.tag = UINT32_MAX;
	text = map_encode(&current);
	encoded.p = text;
	encoded.n = strlen(text);
	CU_ASSERT_EQUAL(map_decode(&decoded, encoded), COORDINATION_OK);
	CU_ASSERT_EQUAL(memcmp(&decoded, &current, sizeof(current)), 0);
}

static void invalid_text_is_refused(void)
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
	TEST(plans_converge_to_balance_for_every_size);
	TEST(new_member_gets_its_share);
	TEST(backups_are_in_another_rack);
	TEST(incomplete_backup_does_not_become_primary);
	TEST(loss_is_marked_and_jumps_the_epoch);
	TEST(encoded_map_decodes_to_the_same_map);
	TEST(invalid_text_is_refused);
}
