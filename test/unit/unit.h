/*
 * A file of unit tests ends with SUITE(name) { TEST(fn); ... }, which registers
 * the suite with the runner before main.
 */
#ifndef TEST_UNIT_H
#define TEST_UNIT_H

#include <CUnit/CUnit.h>

struct suite {
	struct suite *next;
	const char *name;
	void (*add_tests)(CU_pSuite suite);
};

void suite_register(struct suite *suite);

#define SUITE(suite_name)                                                \
	static void suite_name##_add(CU_pSuite suite_);                  \
	static struct suite suite_name##_suite = {NULL, #suite_name,     \
						  suite_name##_add};     \
	__attribute__((constructor)) static void suite_name##_init(void) \
	{                                                                \
		suite_register(&suite_name##_suite);                     \
	}                                                                \
	static void suite_name##_add(CU_pSuite suite_)

#define TEST(fn) CU_add_test(suite_, #fn, fn)

#endif
