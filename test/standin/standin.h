/* Stand-ins for the systems around the product. Test code, no product code. */
#ifndef TEST_STANDIN_H
#define TEST_STANDIN_H

int standin_store(int argc, const char **argv);
int standin_fleet(int argc, const char **argv);
int standin_ask(int argc, const char **argv);
int standin_target(int argc, const char **argv);

#endif
