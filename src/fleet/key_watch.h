/*
 * Keeps the value of one key of the store known. A watch reports a change at
 * once. But a watch whose answer is lost looks like one without a change, so
 * reads prove that none was missed.
 *
 * What is known has an age: the time since the newest read was sent that was
 * answered, to this instance or to a peer that knows the same value. A read is
 * sent early enough that three may be lost before the age reaches the bound,
 * and more reads follow without waiting for the lost ones.
 */
#ifndef FLEET_KEY_WATCH_H
#define FLEET_KEY_WATCH_H

#include "sycamoreshore/clock.h"
#include "sycamoreshore/platform.h"

enum {
	KEY_MAX = 48, /* bytes with the terminator */
	KEY_READS_MAX = 4, /* in flight */
	KEY_WATCHES_MAX = 3 /* in flight, most of them lost */
};

struct key_watch;

/* A call in flight. */
struct key_call {
	struct key_watch *watch;
	uint64_t index; /* that a watch was sent with */
	int64_t sent_at;
	bool in_flight;
	bool is_lost; /* a watch that another one has replaced */
};

struct key_watch_options {
	struct syc_platform_ops store;
	struct syc_clock clock;
	char key[KEY_MAX];
	uint32_t bound_ms; /* an older value is reported in the log */
	/*
	 * The index is the store's, so it rises without a change of the value,
	 * and a watch that waits for an older index still reports all changes.
	 */
	bool index_rises;
	uint64_t id; /* of the instance; spreads the reads of the fleet */
	void *ctx;
	/* The key has another index or, with SYC_PLATFORM_ABSENT, no value. */
	void (*changed)(void *ctx, const struct syc_platform_value *v);
	/* The store does not answer any more, or answers again. */
	void (*reachable)(void *ctx, bool reachable, const char *why);
};

/* Its calls point into it, so it must not move while any is in flight. */
struct key_watch {
	struct key_watch_options opt;
	struct key_call reads[KEY_READS_MAX];
	struct key_call watches[KEY_WATCHES_MAX];
	bool is_known; /* a read was answered */
	uint64_t index; /* of the known value; zero: the key is absent */
	int64_t started_at;
	int64_t learned_at; /* when `index` was set */
	int64_t confirmed_at; /* zero: never */
	int64_t answered_at; /* when the newest answered call was sent */
	int64_t read_at; /* when the last read was sent */
	int64_t next_watch_at;
	bool wants_read; /* a peer knows a newer value */
	bool is_unreachable;
	bool lost_calls; /* without any answer, since it is unreachable */
	bool is_overdue; /* the age is above the bound */
};

void key_watch_init(struct key_watch *w, const struct key_watch_options *opt,
		    int64_t now);

/* What an instance does for the others, which learn from it. */
enum key_watch_role {
	KEY_WATCH_FOLLOWS, /* reads only what no other has read in time */
	KEY_WATCH_WATCHES, /* also keeps a watch */
	KEY_WATCH_LEADS /* also reads earlier */
};

/* Sends the calls that are due; to be called about every 10 ms. */
void key_watch_tick(struct key_watch *w, int64_t now, enum key_watch_role role);

/* A peer knows the same value, and a read of it sent at `at` was answered. */
void key_watch_confirm(struct key_watch *w, int64_t at);

/* A peer knows a newer value, so a read is due. */
void key_watch_note_newer(struct key_watch *w);

/* The caller knows the value of this index, by a write of its own or a peer. */
void key_watch_learned(struct key_watch *w, int64_t now, uint64_t index);

/* A call to the store that was sent at `sent_at` ended with this result. */
void key_watch_call_ended(struct key_watch *w, int64_t sent_at,
			  const struct syc_platform_value *v);

/* Sends a read now. */
void key_watch_read(struct key_watch *w, int64_t now);

/* The age of what is known, in ms; -1: it was never confirmed. */
int64_t key_watch_age_ms(const struct key_watch *w, int64_t now);

#endif
