/* Prints a backtrace when a fatal signal ends the program. */
#ifndef CMD_CRASH_H
#define CMD_CRASH_H

/*
 * Installs handlers of SIGSEGV, SIGBUS, SIGFPE and SIGILL that write the
 * stack's addresses to standard error before the signal ends the process.
 */
void crash_report_init(void);

#endif
