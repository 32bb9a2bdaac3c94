/* The events of the simulated fleet and the functions that its files share. */
#ifndef TEST_FLEET_SIM_INTERNAL_H
#define TEST_FLEET_SIM_INTERNAL_H

#include "fleet_sim.h"

enum {
	TICK_MS = 10,
	DELAY_MS = 1, /* of a message, one way */
	STORE_TIMEOUT_MS = 1000,
	CALL_TIMEOUT_MS = 120, /* until a call counts as unanswered */
	RETRY_MS = 1300,
	DEADLINE_MS = 2200,
	EARLY_LEAVE_MS = 300,
	LINK_INTERVAL_MS = 200, /* between attempts to open links */
	START_MS = 3000, /* for the election of a driver */
	DAMAGED_BYTES_MAX = 4,
	DIAL_MS = 4, /* until a link is up */
	LEASE_MS = 1000,
	HOLD_WAIT_MS = 200,
	US_PER_MS = 1000,
	OLD_NUMBERS = 4, /* of a heartbeat of the first version */
	OLD_FLAGS = 3,
	RESTART_MS = 2000, /* from a worker's crash to its next life */
	CRASHING_RUN_MS = 80,
	CRASH_AFTER_MS = 10, /* from a task's start to its worker's crash */
	LATE_MIN_MS = 2000,
	LATE_SPREAD_MS = 10000,
	LIST_MS = 1000, /* between two lists, at most */
	ENTRY_LAG_MS = 600, /* until a new life replaces its entry, at most */
	BORN_SPREAD_MS = 4000 /* by which a worker's wall clock is set back */
};

enum event_kind {
	EVENT_MESSAGE,
	EVENT_CALL, /* a call reaches its worker */
	EVENT_ANSWER,
	EVENT_LIST,
	EVENT_CALLER_DISCONNECTED
};

enum call_kind { CALL_START, CALL_STOP, CALL_HOLD };

struct fsim_event {
	struct fsim_event *next;
	int64_t at;
	int64_t arrived_at; /* zero: not at a busy instance yet */
	enum event_kind kind;
	int instance; /* the receiver, or the sender of a call */
	uint64_t incarnation; /* incarnation of `instance` */
	uint64_t sender_or_tag; /* a message's sender, or a job's tag */
	void *bytes;
	size_t len;
	/* a call to a worker */
	enum call_kind call_kind;
	int worker;
	char worker_name[SYC_NAME_MAX];
	uint64_t call;
	struct drive_task task;
	uint32_t run;
	uint64_t fence, cursor;
	int64_t lease_expires_at;
	int64_t wait_until; /* a hold is answered then or at a run's end */
	int64_t sent_at;
	int64_t timeout_at; /* when the call counts as unanswered */
	bool late; /* carried out late, or lost, and never answered */
	struct drive_hold_answer lists;
};

/* fleet_sim.c */
struct fsim_event *fsim_event_new(enum event_kind kind, int64_t at,
				  const struct fsim_instance *i);
/* Inserts the event by its time. */
void fsim_event_push(struct fsim *s, struct fsim_event *e);
void fsim_event_free(struct fsim_event *e);
bool fsim_domains_reach(const struct fsim *s, int a, int b);
/* The instance is busy for that time when its other work is done. */
void fsim_use_processor(struct fsim_instance *i, uint32_t us);

/* fleet_sim_calls.c: the callbacks of an instance for calls to workers. */
void fsim_on_start(void *ctx, const struct drive_start *call);
void fsim_on_stop(void *ctx, const struct drive_stop *call);
void fsim_on_hold(void *ctx, const struct drive_hold *call);
/* A call reaches its worker, or its answer the instance. */
void fsim_execute_call(struct fsim *s, struct fsim_event *e);
void fsim_deliver_answer(struct fsim *s, struct fsim_instance *i,
			 struct fsim_event *e);

/* fleet_sim_callers.c */
void fsim_on_answer(void *ctx, uint64_t tag, const struct fleet_answer *answer);
/* The tag is the number of the job's first request, plus one. */
void fsim_on_cancelled(void *ctx, uint64_t tag, bool is_done);
void fsim_tick_caller(struct fsim *s, struct fsim_job *j);

/* fleet_sim_config.c */
uint64_t fsim_on_config(void *ctx, struct syc_bytes text, const char *from);
/* Checks that the instances that the store answers are up to date. */
void fsim_check_configs(struct fsim *s);
/* Whether that instance has to know what the store accepted a bound ago. */
bool fsim_is_in_touch(const struct fsim *s, const struct fsim_instance *i);

/* fleet_sim_evacuation.c */
/* Creates the set of evacuated domains, which is empty, in the store. */
void fsim_init_evacuations(struct fsim *s);
/* Checks the start that a call has just made. */
void fsim_check_evacuation(struct fsim *s, const struct fsim_event *e);

/* fleet_sim_drain.c */
/* A worker has carried out the call, a start. */
void fsim_check_drain(struct fsim *s, const struct fsim_event *e);

#endif
