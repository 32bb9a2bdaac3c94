/*
 * The target stand-in: several targets in one process, each on its own port.
 * A target answers a POST with the received body after the run time that the
 * body or the target's knobs state. It counts the tasks that it started.
 */
#ifndef TEST_TARGET_H
#define TEST_TARGET_H

#include <ev.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How a target handles the tasks that it receives. */
struct target_knobs {
	long run_ms; /* run time, unless the body states one */
	long slots; /* tasks at a time; more are refused; zero: no limit */
	bool refuse; /* 503 with Sycamoreshore-Not-Run; no start */
	bool fail; /* 500 at once; the start is counted */
	bool hang; /* gives no answer */
	bool die; /* closes the connection in the middle of the answer */
	bool garbage; /* answers with bytes that are not HTTP */
	bool leaving; /* starts are also counted in starts_leaving */
};

/* Counts how often each name was added. Names are compared by a hash. */
struct tally {
	struct tally_slot *slots;
	size_t cap;
	size_t distinct;
	uint64_t total;
	uint64_t most; /* largest number of additions of one name */
};

struct targets;

struct target {
	struct targets *all;
	int index;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer mhd_timer;
	uint16_t port;
	struct target_knobs knobs;
	uint64_t starts;
	uint64_t refused;
	uint64_t starts_leaving;
	uint64_t running;
	uint64_t most_running;
};

struct targets {
	struct ev_loop *loop;
	int n;
	struct target *target;
	struct tally tasks; /* starts by the header Sycamoreshore-Task */
	struct tally bodies; /* starts by the content of the body */
};

/* A request to a target, until MHD reports its completion. */
struct target_request {
	struct target *target;
	struct MHD_Connection *conn;
	char *body;
	size_t len, cap;
	ev_timer timer;
	bool running;
	bool ended;
};

void tally_add(struct tally *t, const void *name, size_t n);

/* Starts listening; returns false when the address cannot be bound. */
bool target_listen(struct target *t, const char *ip, uint16_t port);

/* Handles /standin/knobs and /standin/counts. */
enum MHD_Result target_control(struct target_request *r, const char *method,
			       const char *path);
enum MHD_Result target_reply(struct target_request *r, unsigned status,
			     const char *body, size_t len, bool not_run);

struct registration {
	const char *store; /* IP:PORT */
	const char *service;
	const char *domain;
	const char *ip;
	int racks;
	int cpus, memory_mb, accelerators;
	const char *prefix; /* prefix of the targets' IDs */
};

/* Registers a target in the store; returns false when that fails. */
bool target_register(const struct registration *reg, const struct target *t);

#endif
