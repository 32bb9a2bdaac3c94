/* Reads command lines, lists of addresses and small files for the commands. */
#ifndef CMD_OPTIONS_H
#define CMD_OPTIONS_H

#include <popt.h>

#include "sycamoreshore/types.h"
#include "util/buf.h"

/*
 * Opens a command line with the options of `option_table`, which --help lists.
 * `args` describes the other arguments. Free with poptFreeContext.
 */
poptContext options_open(const char *name, int argc, const char **argv,
			 const struct poptOption *option_table,
			 const char *args);

/* Reads all options. On an invalid one prints an error and returns false. */
bool options_read(poptContext ctx, const char *name);

static inline void options_close(poptContext *ctx)
{
	poptFreeContext(*ctx);
}

#define auto_options __attribute__((cleanup(options_close)))

/* A list of addresses, written as "ip:port,ip:port". */
struct addr_list {
	size_t n;
	struct syc_addr addr[64];
};

/*
 * Reads a list that holds at least one address. Prints an error that names
 * `option` and returns false otherwise.
 */
bool addr_list_read(struct addr_list *list, const char *text,
		    const char *option);

/*
 * Appends the content of `path`, or of standard input for "-". On failure
 * prints an error and returns false.
 */
bool file_read(const char *path, struct buf *out);

/*
 * Reads a bearer token from the first line of the file `path`, or of standard
 * input for "-". On failure, also if the line is empty, prints an error and
 * returns false.
 */
bool token_read(const char *path, struct buf *out);

#endif
