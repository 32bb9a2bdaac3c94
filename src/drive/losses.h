/*
 * Remembers which runs were lost with their worker, by task, and why the worker
 * was lost, so that a task that crashes its workers is given up by whichever
 * instance drives. A loss is counted as a crash only on evidence: another
 * incarnation at the worker's address. All times are in milliseconds.
 */
#ifndef DRIVE_LOSSES_H
#define DRIVE_LOSSES_H

#include "drive/drive.h"

enum loss_cause {
	LOSS_UNEXPLAINED = 0,
	LOSS_CRASH, /* the worker's process ended without notice */
	LOSS_OTHER /* it left in a planned way, or still runs */
};

/* The loss of one run. */
struct loss {
	struct drive_task task;
	uint32_t run; /* number of the run that was lost */
	char worker[SYC_NAME_MAX];
	int64_t born_ms; /* names the incarnation that was lost; zero: not known */
	struct syc_addr addr;
	enum loss_cause cause;
	bool alone; /* no other task ran there */
	bool newest; /* it, or one started with it, was started last there */
	bool refused; /* nothing listened at the address; hints at a crash */
	bool seen; /* the worker had answered that it runs */
	int64_t at;
	int64_t drop_at;
	uint64_t version; /* higher for each change to any loss */
};

enum loss_verdict {
	LOSS_HARMLESS = 0, /* nothing speaks against another start */
	LOSS_SUSPECT, /* the next start is to be apart from other tasks */
	LOSS_WAIT, /* no start before more is known */
	LOSS_CRASHING, /* it crashed two workers or more */
	LOSS_EXHAUSTED /* lost too often without an explanation */
};

struct losses;

struct losses *losses_new(void);
void losses_free(struct losses *l);

/* Records the loss of a run; of a known one, what is new. */
void losses_add(struct losses *l, int64_t now, const struct loss *loss);

/* Sets the cause of all losses with that incarnation of the worker. */
void losses_explain(struct losses *l, const struct drive_worker *worker,
		    enum loss_cause cause);

/* The same with its earlier incarnations, if they are not explained yet. */
void losses_explain_earlier(struct losses *l, const struct drive_worker *worker,
			    enum loss_cause cause);

/* Explains losses by other incarnations at the addresses of lost workers. */
void losses_check_list(struct losses *l, const struct drive_worker *list,
		       size_t n);

enum loss_verdict losses_judge(const struct losses *l, int64_t now,
			       const struct drive_task *task);

/* Whether the task was among those started last on each worker it lost. */
bool losses_is_newest(const struct losses *l, const struct drive_task *task);

/* Drops what is too old to matter. */
void losses_tick(struct losses *l, int64_t now);

/* The version of the last change; zero: nothing was ever lost. */
uint64_t losses_version(const struct losses *l);

/* Returns the next loss, or NULL; `*pos` is zero before the first call. */
const struct loss *losses_next(const struct losses *l, uint32_t *pos);

#endif
