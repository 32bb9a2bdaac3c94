#include <execinfo.h>
#include <signal.h>
#include <stddef.h>
#include <unistd.h>

#include "cmd/crash.h"

enum {
	FRAMES_MAX = 8,
	FRAMES_OWN = 2 /* this handler and the signal's return */
};

static void on_fatal(int signum)
{
	void *frames[FRAMES_MAX];
	int n = backtrace(frames, FRAMES_MAX);

	if (n > FRAMES_OWN)
		backtrace_symbols_fd(frames + FRAMES_OWN, n - FRAMES_OWN,
				     STDERR_FILENO);
	raise(signum);
}

void crash_report_init(void)
{
	static const int signals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL};
	struct sigaction act = {.sa_handler = on_fatal,
				.sa_flags = (int)SA_RESETHAND};
	void *frame;
	size_t i;

	backtrace(&frame, 1); /* loads what it needs while that is safe */
	for (i = 0; i < sizeof(signals) / sizeof(*signals); i++)
		sigaction(signals[i], &act, NULL);
}
