/*
 * One dispatcher with fake callers and targets that record what it does. Its
 * bundle has the services "svc" and "gpu"; the callers "a" (share 3), "b"
 * (share 1), "few" (2 slots) and "metered" (5 submissions per second); and the
 * kinds "job", "print" (not idempotent), "view" (a request with 2 retries) and
 * "hedged" (a request that is sent a second time after 150 ms).
 */
#ifndef TEST_UNIT_DISPATCH_FAKE_H
#define TEST_UNIT_DISPATCH_FAKE_H

#include "sycamoreshore/dispatch.h"

enum { FAKE_SENDS_MAX = 8192, FAKE_ANSWERS_MAX = 4096, FAKE_RESULTS_MAX = 16 };

struct fake_send {
	uint64_t id;
	uint64_t task;
	uint32_t attempt;
	char target[SYC_NAME_MAX];
	char caller[SYC_NAME_MAX];
	char body[16];
	bool is_open;
	bool is_stopped;
};

struct fake_answer {
	int count; /* number of answers, 0 or 1 */
	struct syc_answer answer;
	char bodies[FAKE_RESULTS_MAX][16];
};

struct fake {
	struct syc_dispatch *d;
	int64_t now;
	uint64_t self;
	uint64_t owner; /* owner of every target */
	int n_sends;
	int n_open; /* sends that have not ended */
	int n_stops;
	int n_messages;
	struct fake_send sends[FAKE_SENDS_MAX];
	struct fake_answer answers[FAKE_ANSWERS_MAX]; /* by tag */
};

struct syc_bundle *fake_bundle(uint64_t version);
struct fake *fake_new(int n_targets);
void fake_free(struct fake *f);
/* Lists targets t0, t1 and so on of 8 processors and 8 GB, 4 per rack. */
void fake_list_targets(struct fake *f, int n, bool leaving);
/* Lists `n` targets of 4 processors in place of all others. */
void fake_list_small_targets(struct fake *f, int n);
/* Submits `n` tasks with bodies "0", "1" and so on. */
void fake_submit(struct fake *f, uint64_t tag, const char *caller,
		 const char *kind, uint32_t n, uint32_t deadline_ms);
/* Ends the send that started at position `i`, from 0. */
void fake_end(struct fake *f, int i, enum syc_send_end end, uint16_t status);
/* Ends all sends, oldest first, including those started meanwhile. */
void fake_end_all(struct fake *f, enum syc_send_end end);
/* Advances the clock by `ms` and calls the tick. */
void fake_tick(struct fake *f, int64_t ms);

#endif
