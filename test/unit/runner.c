#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "known_red.h"
#include "unit.h"

static struct suite *suites;

/* Sorts the suites by name, so that the linker doesn't decide their order. */
void suite_register(struct suite *suite)
{
	struct suite **at = &suites;

	while (*at && strcmp((*at)->name, suite->name) < 0)
		at = &(*at)->next;
	suite->next = *at;
	*at = suite;
}

/* Runs all suites, or the one named on the command line. */
int main(int argc, char **argv)
{
	const struct suite *s;
	unsigned failed;
	int found = 0;

	setvbuf(stdout, NULL, _IOLBF, 0);
	if (CU_initialize_registry() != CUE_SUCCESS)
		return 2;
	for (s = suites; s; s = s->next) {
		if (argc > 1 && strcmp(argv[1], s->name))
			continue;
		s->add_tests(CU_add_suite(s->name, NULL, NULL));
		found = 1;
	}
	if (!found) {
		fputs("unit: no such suite\n", stderr);
		return 2;
	}
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failed = known_red_count_others();
	CU_cleanup_registry();
	return failed ? 1 : 0;
}
