#include <execinfo.h>
#include <signal.h>
#include <stddef.h>
#include <unistd.h>

#include "cmd/crash.h"

enum {
	FRAMES_MAX = 8,
	FRAMES_SKIPPED = 2 /* on_fatal and the signal trampoline */
};

static void on_fatal(int signum)
{
	void *frames[FRAMES_MAX];
	int n = backtrace(frames, FRAMES_MAX);

	if (n > FRAMES_SKIPPED)
		backtrace_symbols_fd(frames + FRAMES_SKIPPED,
				     n - FRAMES_SKIPPED, STDERR_FILENO);
	raise(signum);
}

void crash_report_init(void)
{
	static const int signals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL};
	struct sigaction act = {.sa_handler = on_fatal,
				.sa_flags = (int)SA_RESETHAND};
	void *frame;
	size_t i;

	backtrace(&frame, 1); /* loads a library, which is unsafe in on_fatal */
	for (i = 0; i < sizeof(signals) / sizeof(*signals); i++)
		sigaction(signals[i], &act, NULL);
}
