#include <signal.h>
#include <stddef.h>

#include "cmd/held_signals.h"

static void set_mask(int how)
{
	static const int signals[] = {SIGTERM, SIGINT, SIGHUP, SIGUSR1};
	sigset_t set;
	size_t i;

	sigemptyset(&set);
	for (i = 0; i < sizeof(signals) / sizeof(*signals); i++)
		sigaddset(&set, signals[i]);
	sigprocmask(how, &set, NULL);
}

void held_signals_block(void)
{
	set_mask(SIG_BLOCK);
}

void held_signals_deliver(void)
{
	set_mask(SIG_UNBLOCK);
}
