/* Says where the program was when a fatal signal ends it. */
#ifndef CMD_CRASH_H
#define CMD_CRASH_H

/*
 * From now on SIGSEGV, SIGBUS, SIGFPE and SIGILL write the stack's addresses
 * to standard error before they end the process as usual.
 */
void crash_report_init(void);

#endif
