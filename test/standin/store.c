/* `standin store`: serves the stand-in of the store. */
#include <stdio.h>

#include "serve.h"
#include "standin.h"
#include "store.h"
#include "util/field.h"

static char *opt_listen = "127.0.0.1:0";

static const struct poptOption options[] = {
	{"listen", 0, POPT_ARG_STRING, &opt_listen, 0,
	 "address to listen on; port 0 takes a free port", "IP:PORT"},
	POPT_AUTOHELP POPT_TABLEEND};

int standin_store(int argc, const char **argv)
{
	static struct store s;
	struct syc_addr at;

	if (!serve_options("standin store", argc, argv, options) ||
	    !field_parse_addr(opt_listen, &at))
		return 2;
	s.loop = ev_default_loop(0);
	if (!store_listen(&s, at.ip, at.port)) {
		fprintf(stderr, "standin store: cannot listen on %s\n",
			opt_listen);
		return 1;
	}
	printf("listening %s:%d\n", at.ip, s.port);
	fflush(stdout);
	serve_until_stopped(s.loop);
	return 0;
}
