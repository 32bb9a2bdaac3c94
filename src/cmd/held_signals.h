/*
 * Holds signals back while a daemon starts, so that one that is sent meanwhile
 * is handled by the loop and does not end the process.
 */
#ifndef CMD_HELD_SIGNALS_H
#define CMD_HELD_SIGNALS_H

/* Blocks SIGTERM, SIGINT, SIGHUP and SIGUSR1. */
void held_signals_block(void);

/* Delivers what was sent since; to be called when all have a handler. */
void held_signals_deliver(void);

#endif
