/* Tests handle tables, hash tables, buffers and metrics. */
#include <string.h>

#include "unit.h"
#include "util/buf.h"
#include "util/index.h"
#include "util/metrics.h"
#include "util/rng.h"
#include "util/table.h"

static void table_stale_handle_finds_nothing(void)
{
	struct table t;
	void *a, *b;
	uint64_t handle_a, handle_b;

	table_init(&t, sizeof(int));
	handle_a = table_add(&t, &a);
	table_del(&t, handle_a);
	handle_b = table_add(&t, &b);
	CU_ASSERT_PTR_EQUAL(a, b);
	CU_ASSERT_NOT_EQUAL(handle_a, handle_b);
	CU_ASSERT_PTR_NULL(table_get(&t, handle_a));
	CU_ASSERT_PTR_EQUAL(table_get(&t, handle_b), b);
	CU_ASSERT_PTR_NULL(table_get(&t, 0));
	table_free(&t);
}

static void table_items_stay_in_place(void)
{
	struct table t;
	void *first, *item;
	uint64_t h, handle;
	uint32_t pos = 0;
	int i, seen = 0;

	table_init(&t, sizeof(int));
	h = table_add(&t, &first);
	for (i = 1; i < 1000; i++)
		table_add(&t, &item);
	CU_ASSERT_PTR_EQUAL(table_get(&t, h), first);
	while (table_next(&t, &pos, &handle)) {
		table_del(&t, handle);
		seen++;
	}
	CU_ASSERT_EQUAL(seen, 1000);
	CU_ASSERT_EQUAL(t.used, 0);
	table_free(&t);
}

static void index_agrees_with_an_array(void)
{
	enum { N = 512 };
	struct index ix = {0};
	uint64_t expected[N] = {0}, val;
	struct rng r = {7};
	int i, k;

	for (i = 0; i < 20000; i++) {
		k = (int)rng_below(&r, N);
		if (rng_below(&r, 3)) {
			expected[k] = rng_next(&r) | 1;
			index_put(&ix, index_hash_number((uint64_t)k),
				  expected[k]);
		} else {
			expected[k] = 0;
			index_del(&ix, index_hash_number((uint64_t)k));
		}
	}
	for (k = 0; k < N; k++) {
		val = 0;
		CU_ASSERT_EQUAL(
			index_get(&ix, index_hash_number((uint64_t)k), &val),
			expected[k] != 0);
		CU_ASSERT_EQUAL(val, expected[k]);
	}
	index_free(&ix);
}

static void buf_grows_and_consumes(void)
{
	auto_buf struct buf b = {0};
	int i;

	for (i = 0; i < 1000; i++)
		buf_printf(&b, "%03d", i);
	CU_ASSERT_EQUAL(b.len, 3000);
	buf_consume(&b, 2997);
	CU_ASSERT_STRING_EQUAL(b.data, "999");
}

static void metrics_of_one_name_are_adjacent(void)
{
	struct metrics m = {0};
	auto_buf struct buf out = {0};

	*metrics_get(&m, METRIC_COUNTER, "a_total", "A.", "x=\"1\"") = 1;
	*metrics_get(&m, METRIC_GAUGE, "b", "B.", NULL) = 2;
	*metrics_get(&m, METRIC_COUNTER, "a_total", "A.", "x=\"2\"") = 3;
	metrics_render(&m, &out);
	CU_ASSERT_STRING_EQUAL(out.data, "# HELP a_total A.\n"
					 "# TYPE a_total counter\n"
					 "a_total{x=\"1\"} 1\n"
					 "a_total{x=\"2\"} 3\n"
					 "# HELP b B.\n"
					 "# TYPE b gauge\n"
					 "b 2\n");
	metrics_free(&m);
}

SUITE(util)
{
	TEST(table_stale_handle_finds_nothing);
	TEST(table_items_stay_in_place);
	TEST(index_agrees_with_an_array);
	TEST(buf_grows_and_consumes);
	TEST(metrics_of_one_name_are_adjacent);
}
