/* Stand-ins for the systems that the program works with, for tests only. */
#ifndef TEST_STANDIN_H
#define TEST_STANDIN_H

int standin_store(int argc, const char **argv);
int standin_fleet(int argc, const char **argv);
int standin_ask(int argc, const char **argv);
int standin_target(int argc, const char **argv);

#endif
