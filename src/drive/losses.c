#include <stdlib.h>
#include <string.h>

#include "drive/losses.h"
#include "util/alloc.h"
#include "util/index.h"
#include "util/log.h"
#include "util/table.h"

enum {
	KEEP_MS = 120000, /* longer than a caller submits a job again */
	LOSSES_MAX = 8192,
	/*
	 * A task is given up after this many crashes, one of them while it was
	 * alone, or else after one more.
	 */
	CRASHES_MAX = 2,
	/* Losses that may be crashes; the last start is after the third. */
	UNEXPLAINED_MAX = 4,
	/* After this time no new incarnation is expected at the address. */
	EVIDENCE_WAIT_MS = 6000
};

struct losses {
	struct table table; /* of struct loss */
	struct index tasks; /* that have a loss */
	uint64_t version;
};

struct losses *losses_new(void)
{
	struct losses *l = xcalloc(1, sizeof(*l));

	table_init(&l->table, sizeof(struct loss));
	return l;
}

void losses_free(struct losses *l)
{
	if (!l)
		return;
	table_free(&l->table);
	index_free(&l->tasks);
	free(l);
}

static struct loss *next_loss(const struct losses *l, uint32_t *pos)
{
	uint64_t handle;

	return table_next(&l->table, pos, &handle);
}

const struct loss *losses_next(const struct losses *l, uint32_t *pos)
{
	return next_loss(l, pos);
}

uint64_t losses_version(const struct losses *l)
{
	return l->version;
}

static struct index_key task_key(const struct drive_task *task)
{
	return index_hash_bytes(task, sizeof(*task));
}

static bool same_task(const struct drive_task *a, const struct drive_task *b)
{
	return !memcmp(a, b, sizeof(*a));
}

static struct loss *find_loss(const struct losses *l, const struct loss *wanted)
{
	struct loss *x;
	uint32_t pos = 0;

	while ((x = next_loss(l, &pos)))
		if (x->run == wanted->run && x->born_ms == wanted->born_ms &&
		    same_task(&x->task, &wanted->task) &&
		    !strcmp(x->worker, wanted->worker))
			return x;
	return NULL;
}

static void log_loss(const char *event, const struct loss *x)
{
	static const char *const causes[] = {"unexplained", "crash", "other"};

	log_info(event, LOG_S("job", x->task.job), LOG_U("task", x->task.index),
		 LOG_S("worker", x->worker), LOG_S("cause", causes[x->cause]),
		 LOG_U("alone", x->alone), LOG_U("refused", x->refused));
}

static void set_cause(struct losses *l, struct loss *x, enum loss_cause cause)
{
	/* Another incarnation is certain; that the first one left is not. */
	if (x->cause == cause || x->cause == LOSS_CRASH)
		return;
	x->cause = cause;
	x->version = ++l->version;
	log_loss("loss_explained", x);
}

/*
 * A run that was lost with a silent worker may have ended with its lease before
 * the worker crashed, and one that was not seen may never have begun. If nothing
 * listened at the worker's address, it had crashed.
 */
static void explain(struct losses *l, struct loss *x, enum loss_cause cause)
{
	if (cause != LOSS_CRASH || (x->refused && x->seen))
		set_cause(l, x, cause);
}

static void update_loss(struct losses *l, struct loss *x,
			const struct loss *other)
{
	if (other->refused && !x->refused) {
		x->refused = true;
		x->version = ++l->version;
	}
	if (other->cause)
		set_cause(l, x, other->cause);
}

/* A task is forgotten as a whole. */
static void keep_task(struct losses *l, const struct drive_task *task,
		      int64_t drop_at)
{
	struct loss *x;
	uint32_t pos = 0;

	index_put(&l->tasks, task_key(task), 1);
	while ((x = next_loss(l, &pos)))
		if (same_task(&x->task, task))
			x->drop_at = drop_at;
}

void losses_add(struct losses *l, int64_t now, const struct loss *loss)
{
	struct loss *x = find_loss(l, loss);
	void *item;

	if (x) {
		update_loss(l, x, loss);
		return;
	}
	if (l->table.used >= LOSSES_MAX) {
		log_warn("too_many_losses", LOG_S("job", loss->task.job));
		return;
	}
	table_add(&l->table, &item);
	x = item;
	*x = *loss;
	keep_task(l, &x->task, now + KEEP_MS);
	x->version = ++l->version;
	log_loss("loss_recorded", x);
}

/* Whether both times of birth are known, and differ. */
static bool is_other_incarnation(const struct loss *x,
				 const struct drive_worker *worker)
{
	return x->born_ms && worker->born_ms && x->born_ms != worker->born_ms;
}

void losses_explain(struct losses *l, const struct drive_worker *worker,
		    enum loss_cause cause)
{
	struct loss *x;
	uint32_t pos = 0;

	while ((x = next_loss(l, &pos)))
		if (!strcmp(x->worker, worker->name) &&
		    !is_other_incarnation(x, worker))
			explain(l, x, cause);
}

void losses_explain_earlier(struct losses *l, const struct drive_worker *worker,
			    enum loss_cause cause)
{
	struct loss *x;
	uint32_t pos = 0;

	while ((x = next_loss(l, &pos)))
		if (x->cause == LOSS_UNEXPLAINED &&
		    !strcmp(x->worker, worker->name) &&
		    is_other_incarnation(x, worker))
			explain(l, x, cause);
}

/* Whether the list has another incarnation at the lost worker's address. */
static bool is_address_reused(const struct loss *x,
			      const struct drive_worker *list, size_t n)
{
	bool reused = false;
	size_t i;

	for (i = 0; i < n; i++) {
		/* An entry of a younger incarnation speaks of a new process. */
		if (!strcmp(list[i].name, x->worker) &&
		    (!x->born_ms || list[i].born_ms <= x->born_ms))
			return false;
		reused |= list[i].addr.port == x->addr.port &&
			  !strcmp(list[i].addr.ip, x->addr.ip);
	}
	return reused;
}

void losses_check_list(struct losses *l, const struct drive_worker *list,
		       size_t n)
{
	struct loss *x;
	uint32_t pos = 0;

	while ((x = next_loss(l, &pos)))
		if (x->cause == LOSS_UNEXPLAINED &&
		    is_address_reused(x, list, n))
			explain(l, x, LOSS_CRASH);
}

enum loss_verdict losses_judge(const struct losses *l, int64_t now,
			       const struct drive_task *task)
{
	uint32_t n_crashes = 0, n_alone = 0, n_open = 0, pos = 0;
	bool suspect = false, wait = false;
	const struct loss *x;
	uint64_t known;

	if (!index_get(&l->tasks, task_key(task), &known))
		return LOSS_HARMLESS;
	while ((x = next_loss(l, &pos))) {
		if (!same_task(&x->task, task) || x->cause == LOSS_OTHER)
			continue;
		if (x->cause == LOSS_CRASH) {
			n_crashes++;
			n_alone += x->alone;
		} else {
			n_open++;
			wait |= now < x->at + EVIDENCE_WAIT_MS;
		}
		suspect |= x->refused || x->cause == LOSS_CRASH;
	}
	if (n_crashes > CRASHES_MAX || (n_crashes == CRASHES_MAX && n_alone))
		return LOSS_CRASHING;
	if (n_crashes + n_open >= UNEXPLAINED_MAX)
		return wait ? LOSS_WAIT : LOSS_EXHAUSTED;
	if (wait && n_crashes + n_open >= CRASHES_MAX)
		return LOSS_WAIT;
	return suspect ? LOSS_SUSPECT : LOSS_HARMLESS;
}

bool losses_is_newest(const struct losses *l, const struct drive_task *task)
{
	const struct loss *x;
	uint32_t pos = 0;

	while ((x = next_loss(l, &pos)))
		if (same_task(&x->task, task) && x->cause != LOSS_OTHER &&
		    !x->newest)
			return false;
	return true;
}

void losses_tick(struct losses *l, int64_t now)
{
	struct loss *x;
	uint64_t handle;
	uint32_t pos = 0;

	while ((x = table_next(&l->table, &pos, &handle)))
		if (now >= x->drop_at) {
			index_del(&l->tasks, task_key(&x->task));
			table_del(&l->table, handle);
		}
}
