#include <signal.h>
#include <stdio.h>

#include "serve.h"

bool serve_options(const char *name, int argc, const char **argv,
		   const struct poptOption *options)
{
	poptContext ctx = poptGetContext(name, argc, argv, options, 0);
	int rc = poptGetNextOpt(ctx);
	bool ok = rc == -1 && !poptPeekArg(ctx);

	if (!ok)
		fprintf(stderr, "%s: unknown or invalid argument: %s\n", name,
			poptBadOption(ctx, 0));
	poptFreeContext(ctx);
	return ok;
}

static void on_stop_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

void serve_until_stopped(struct ev_loop *loop)
{
	static ev_signal term, intr;

	ev_signal_init(&term, on_stop_signal, SIGTERM);
	ev_signal_start(loop, &term);
	ev_signal_init(&intr, on_stop_signal, SIGINT);
	ev_signal_start(loop, &intr);
	ev_run(loop, 0);
}
