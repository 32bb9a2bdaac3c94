/*
 * A TCP proxy on loopback that disturbs the connections through it: bytes are
 * delayed, held back in one direction or both, or the connections are reset.
 */
#ifndef FLEET_SOAK_PROXY_H
#define FLEET_SOAK_PROXY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

enum proxy_mode {
	PROXY_PASS,
	PROXY_SILENT, /* neither direction passes */
	PROXY_NO_ANSWERS, /* bytes of the server are held back */
	PROXY_DELAY /* all bytes are delayed */
};

struct proxy_conn;

struct proxy {
	struct ev_loop *loop;
	uint16_t port;
	uint16_t to_port; /* of the server, on loopback */
	enum proxy_mode mode;
	int64_t delay_ms;
	int64_t disturbed_until_ms; /* by proxy_now_ms */
	int64_t disturbed_at_ms; /* when it last was not PROXY_PASS */
	int fd;
	ev_io acceptable;
	ev_timer timer;
	struct proxy_conn *conns;
};

int64_t proxy_now_ms(void);

/* Listens on a free port. */
void proxy_open(struct proxy *p, struct ev_loop *loop);
void proxy_close(struct proxy *p);
/* Disturbs all connections for `ms`, and passes what was held back after. */
void proxy_disturb(struct proxy *p, enum proxy_mode mode, int64_t delay_ms,
		   int64_t ms);
/* Resets all open connections. */
void proxy_reset(struct proxy *p);

#endif
