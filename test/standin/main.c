#include <stdio.h>
#include <string.h>

#include "standin.h"

int main(int argc, const char **argv)
{
	if (argc > 1 && !strcmp(argv[1], "store"))
		return standin_store(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "target"))
		return standin_target(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "fleet"))
		return standin_fleet(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "ask"))
		return standin_ask(argc - 1, argv + 1);
	fputs("Usage: standin store|target|fleet|ask [OPTION...]\n", stderr);
	return 2;
}
